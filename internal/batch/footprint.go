package batch

import (
	"maps"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// Memory that the parts of a job take at most, in bytes, as heap profiles show it, with
// what the allocator adds. An occurrence is a repetition of a recurring job; any other job
// has one.
const (
	jobBytes        = 1536
	stepBytes       = 256
	dependencyBytes = 8
	// stepStateBytes and taskBytes are taken for each occurrence.
	stepStateBytes = 160
	taskBytes      = 160
	// endedJobBytes is what is left of a job that has ended and has no runs.
	endedJobBytes = 640
)

// Footprint returns the memory, in bytes, that a job takes until it has ended, with all of
// its occurrences begun. It depends on the job as it was submitted alone, so it is the same
// on every replica.
func Footprint(j *apiv1.BatchJob) int64 {
	state := int64(0)
	for _, s := range j.Steps {
		state += stepStateBytes + taskBytes*int64(s.Count)
	}
	return MessageFootprint(j) + state*int64(max(j.Repetitions, 1))
}

// MessageFootprint returns the memory, in bytes, that the message of a job takes of which
// nothing has begun.
func MessageFootprint(j *apiv1.BatchJob) int64 {
	size := int64(jobBytes + len(j.Specification))
	for _, s := range j.Steps {
		size += stepBytes + dependencyBytes*int64(len(s.After)) + int64(len(s.RequiredLabel)+len(s.PreferredRack)+len(s.Image))
	}
	return size
}

// JobMemory is the memory that the jobs of the state take, in bytes.
type JobMemory struct {
	Total int64
	// Released is what came back since this replica built its state. It isn't replicated.
	Released int64
	// ByAccount holds the part of each client account. Jobs that were submitted without a
	// key have the empty account.
	ByAccount map[string]int64
}

// JobMemory returns the memory that the jobs take.
func (s *State) JobMemory() JobMemory {
	memory := s.jobMemory
	memory.ByAccount = maps.Clone(s.jobMemory.ByAccount)
	return memory
}

// JobMemoryTotal returns the memory that the jobs take together, in bytes.
func (s *State) JobMemoryTotal() int64 { return s.jobMemory.Total }

// account changes the memory that a job is known to take.
func (s *State) account(j *Job, bytes int64) {
	change := bytes - j.footprint
	j.footprint = bytes
	s.jobMemory.Total += change
	s.jobMemory.Released += max(-change, 0)
	if left := s.jobMemory.ByAccount[j.Account] + change; left != 0 {
		s.jobMemory.ByAccount[j.Account] = left
	} else {
		delete(s.jobMemory.ByAccount, j.Account)
	}
}
