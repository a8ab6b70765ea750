package batch

import (
	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

// Limits on one job. docs/reference.md lists them.
const (
	// MaxSpecificationBytes is the limit on a job's specification.
	MaxSpecificationBytes = 4000
	// MaxSteps is the limit on the steps of a job.
	MaxSteps = 8192
	// MaxNameBytes is the limit on the label, the rack and the image that a step names.
	MaxNameBytes = 256
	// maxDependencies is the limit on the dependencies between steps, summed over all
	// occurrences (the repetitions of a recurring job).
	maxDependencies = 100_000
)

// JobLimit is a limit on one job, for the documentation.
type JobLimit struct {
	Field string
	Limit int
	Doc   string
}

// JobLimits returns the limits on one job.
func JobLimits() []JobLimit {
	return []JobLimit{
		{"specification", MaxSpecificationBytes, "Bytes."},
		{"steps", MaxSteps, "Steps of a job."},
		{"required_label, preferred_rack, image", MaxNameBytes, "Bytes of each, in a step."},
		{"count", maxTasks, "Tasks of a job, summed over all steps and repetitions. A step without tasks counts as one."},
		{"after", maxDependencies, "Dependencies of a job, summed over all steps and repetitions."},
	}
}

// CheckSubmission returns why a new job is refused: TOO_LARGE for one beyond the limits on
// one job, and the errors of CheckJob. Jobs that were accepted before by other limits stay.
func CheckSubmission(j *apiv1.BatchJob) *result.Error {
	if n := len(j.Specification); n > MaxSpecificationBytes {
		return tooLarge("specification has %d bytes, at most %d are allowed: store the rest elsewhere and name it", n, MaxSpecificationBytes)
	}
	if n := len(j.Steps); n > MaxSteps {
		return tooLarge("steps has %d entries, at most %d are allowed: divide the job", n, MaxSteps)
	}
	occurrences, tasks, dependencies := uint64(max(j.Repetitions, 1)), uint64(0), uint64(0)
	for i, s := range j.Steps {
		for _, name := range []struct{ field, value string }{{"required label", s.RequiredLabel}, {"preferred rack", s.PreferredRack}, {"image", s.Image}} {
			if n := len(name.value); n > MaxNameBytes {
				return tooLarge("steps[%d]: the %s has %d bytes, at most %d are allowed: use a shorter one", i, name.field, n, MaxNameBytes)
			}
		}
		tasks += uint64(max(s.Count, 1))
		dependencies += uint64(len(s.After))
	}
	if err := CheckJob(j); err != nil {
		return err
	}
	// Divided, since the products may exceed what their type holds.
	switch {
	case tasks > maxTasks/occurrences:
		return tooLarge("steps has %d tasks in each of %d repetitions, at most %d are allowed together: divide the job", tasks, occurrences, maxTasks)
	case dependencies > maxDependencies/occurrences:
		return tooLarge("after has %d dependencies in each of %d repetitions, at most %d are allowed together: divide the job", dependencies, occurrences, maxDependencies)
	}
	return nil
}

func tooLarge(format string, args ...any) *result.Error {
	return result.NotRun(apiv1.ResultCode_RESULT_CODE_TOO_LARGE, format, args...)
}
