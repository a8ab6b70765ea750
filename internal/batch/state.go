// Package batch is the replicated state of batch jobs: the catalog of queues,
// pools and client accounts; jobs, which consist of steps, their equal tasks and
// the runs (executions) of these; minions, the worker processes that tasks run
// on; zones out of service; maintenance waves, lists of machines to be maintained;
// the longest lease that leaders give to minions; and the lifetimes of minions that
// have ended and for which calls may still be carried out. The package is
// deterministic: it does no I/O and reads no clock, and time enters only as the log
// time of a command, the largest time that a command so far carries.
//
// A machine here is what a minion runs on, under the name that the machine
// provider gives it. The schema calls the maintenance of one machine of a wave
// its service.
//
// Each committed state has these invariants:
//   - a task has more than one active run only when its step is speculative, that
//     is, marked as one whose tasks may run twice at a time;
//   - a run starts only when its step's predecessors are done, its minion
//     accepts work, the minion's capacity still holds with it, and the account is
//     below its limit before it (see Usage.Allows);
//   - a run number of a task is never used twice, and a task of a step that is
//     not long-running never starts again once it is done or has failed
//     max_attempts times;
//   - a task of any step never starts again once MaxCrashes minions, or maxLosses for
//     a long-running step, have crashed under it, as crashes are counted (see
//     countCrash);
//   - an ended job never runs again.
package batch

import (
	"cmp"
	"slices"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

// State is the part of the replicated state that concerns batch jobs. It is not
// safe for concurrent use.
type State struct {
	catalog *catalog
	// formerPools holds the names of pools that an earlier catalog had and the one in
	// force doesn't, and perhaps of others that it has again.
	formerPools map[string]bool
	// zonesOut is the set of zones that are out of service.
	zonesOut map[string]bool
	jobs     map[string]*Job
	// jobMemory is what the jobs take. It follows from the jobs and isn't replicated.
	jobMemory JobMemory
	// active holds the jobs that have not ended, in the order of submission.
	active []*Job
	// minions holds the latest known incarnation (lifetime of the process) of each
	// minion, by id.
	minions map[string]*apiv1.BatchMinion
	// orderedMinions holds the same, ordered by id.
	orderedMinions  []*apiv1.BatchMinion
	minionsRevision uint64
	// loads holds the load of each incarnation that has runs.
	loads map[Incarnation]*Load
	// usage holds the resources of the active runs by client account.
	usage map[string]Usage
	waves map[uint64]*apiv1.MaintenanceWave
	// recentUse holds what the finite tasks of accounts took lately. Shares of room
	// depend on it, and it outlives the leader; no command is decided by it.
	recentUse map[useKey]periodUse
	// losses holds the tasks under which an incarnation was lost for an unknown reason.
	losses map[Incarnation][]TaskRef
	// ended holds the ended incarnations for which calls may still be carried out, by
	// the minion's id.
	ended map[string]endedIncarnations
	// longestLeaseMS is described at LongestLeaseMS.
	longestLeaseMS uint32
	// revision increases whenever a run starts, ends or becomes obsolete (no
	// longer needed). It is not replicated.
	revision uint64
	// changes holds the incarnations of the latest changes of loads. The last one is
	// that of revision, and each earlier one that of the revision before.
	changes []Incarnation
}

// New returns an empty state.
func New() *State {
	return &State{
		catalog:     newCatalog(nil),
		formerPools: map[string]bool{},
		zonesOut:    map[string]bool{},
		jobs:        map[string]*Job{},
		jobMemory:   JobMemory{ByAccount: map[string]int64{}},
		minions:     map[string]*apiv1.BatchMinion{},
		loads:       map[Incarnation]*Load{},
		usage:       map[string]Usage{},
		waves:       map[uint64]*apiv1.MaintenanceWave{},
		recentUse:   map[useKey]periodUse{},
		losses:      map[Incarnation][]TaskRef{},
		ended:       map[string]endedIncarnations{},
	}
}

// Apply applies one committed command. logTimeMS is the log time, the largest
// proposal time of all commands so far, in Unix milliseconds. The result carries
// the version of the catalog in force even when the command is refused.
func (s *State) Apply(logTimeMS int64, cmd *apiv1.BatchCommand) (*apiv1.BatchResult, *result.Error) {
	res := &apiv1.BatchResult{}
	var err *result.Error
	switch c := cmd.Body.(type) {
	case *apiv1.BatchCommand_PutCatalog:
		s.putCatalog(c.PutCatalog)
	case *apiv1.BatchCommand_SetZone:
		s.setZone(c.SetZone)
	case *apiv1.BatchCommand_StartWave:
		s.startWave(c.StartWave)
	case *apiv1.BatchCommand_Submit:
		err = s.submit(logTimeMS, c.Submit)
	case *apiv1.BatchCommand_Cancel:
		err = s.cancel(logTimeMS, c.Cancel)
	case *apiv1.BatchCommand_UpdateRuns:
		res.Runs = s.updateRuns(logTimeMS, c.UpdateRuns)
	case *apiv1.BatchCommand_ObserveMinions:
		s.observeMinions(logTimeMS, c.ObserveMinions)
	case *apiv1.BatchCommand_UpdateServices:
		err = s.updateServices(c.UpdateServices)
	case *apiv1.BatchCommand_ForgetJobs:
		s.forgetJobs(c.ForgetJobs.EndedBeforeUnixMs)
		s.forgetUse(logTimeMS)
	case *apiv1.BatchCommand_RecordLongestLease:
		s.recordLongestLease(c.RecordLongestLease)
		res.LongestLeaseMs = s.longestLeaseMS
	default:
		err = result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "the batch command has no body that this version knows")
	}
	res.CatalogVersion = s.catalog.Version
	return res, err
}

func (s *State) setZone(cmd *apiv1.SetZoneService) {
	if cmd.Out {
		s.zonesOut[cmd.AvailabilityZone] = true
		return
	}
	delete(s.zonesOut, cmd.AvailabilityZone)
}

// IsZoneOut reports whether operators took the zone out of service.
func (s *State) IsZoneOut(zone string) bool { return s.zonesOut[zone] }

// ZonesOut returns the zones that are out of service, sorted.
func (s *State) ZonesOut() []string { return sortedKeys(s.zonesOut) }

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// Snapshot returns the whole state. It shares memory with the state, so later
// commands may change it.
func (s *State) Snapshot() *apiv1.BatchSnapshot {
	snap := &apiv1.BatchSnapshot{Catalog: s.catalog.Catalog, ZonesOut: s.ZonesOut(), LongestLeaseMs: s.longestLeaseMS, EndedLives: s.snapshotEnded()}
	snap.FormerPools = sortedKeys(s.formerPools)
	snap.RecentUse = s.snapshotUse()
	for _, id := range sortedKeys(s.jobs) {
		snap.Jobs = append(snap.Jobs, s.jobs[id].BatchJob)
	}
	snap.Minions = slices.Clone(s.orderedMinions)
	for _, n := range sortedKeys(s.waves) {
		snap.Waves = append(snap.Waves, s.waves[n])
	}
	return snap
}

// Restore replaces the state by a snapshot. It keeps references to the snapshot,
// so the caller must not use that afterwards. Revisions do not start over.
func (s *State) Restore(snap *apiv1.BatchSnapshot) {
	revision, minionsRevision := s.revision, s.minionsRevision
	*s = *New()
	// The revision is raised without an entry in changes, since all loads may differ.
	s.revision, s.minionsRevision = revision+1, minionsRevision+1
	s.catalog = newCatalog(snap.GetCatalog())
	s.longestLeaseMS = snap.GetLongestLeaseMs()
	s.restoreEnded(snap.GetEndedLives())
	s.restoreUse(snap.GetRecentUse())
	for _, p := range snap.GetFormerPools() {
		s.formerPools[p] = true
	}
	for _, z := range snap.GetZonesOut() {
		s.zonesOut[z] = true
	}
	for _, m := range snap.GetMinions() {
		s.setMinion(m)
	}
	for _, w := range snap.GetWaves() {
		s.waves[w.Number] = w
	}
	for _, j := range snap.GetJobs() {
		s.restoreJob(j)
	}
	slices.SortFunc(s.active, compareSubmission)
}

func (s *State) restoreJob(j *apiv1.BatchJob) {
	job := newJob(j)
	s.jobs[j.Id] = job
	for _, o := range j.Occurrences {
		job.occurrences[o.Number] = o
		for step, st := range o.Steps {
			for index, task := range st.Tasks {
				if task.Done {
					job.remaining--
				}
				ref := TaskRef{Job: j.Id, Occurrence: o.Number, Step: uint32(step), Index: uint32(index)}
				for _, run := range task.Runs {
					s.track(job, ref, task, run)
				}
				s.restoreLosses(ref, st, task)
			}
			job.recount(o.Number, uint32(step))
		}
	}
	if !Ended(j.State) {
		s.active = append(s.active, job)
	}
	if Ended(j.State) && job.runs == 0 {
		job.occurrences, job.progress = nil, nil
		s.account(job, endedJobBytes)
	} else {
		s.account(job, Footprint(j))
	}
}
