package fleet

import (
	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/objects"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

const (
	// A worker (the process that runs jobs on a VM) is quarantined after
	// quarantineFailures consecutive failed runs, provided that they belong to at
	// least quarantineJobs jobs. With fewer jobs, one faulty job would get its
	// workers quarantined.
	quarantineFailures = 5
	quarantineJobs     = 3
)

// Observe updates VMs from the announcements of their workers, which run jobs, and
// minions, which serve requests, and from the leader's finding that announcements
// have stopped. It returns the observations that are rejected. A VM enters the fleet
// with its first observation; an observation never changes the pool of a known VM.
// The log time is not used.
func (s *State) Observe(_ int64, cmd *apiv1.ObserveVms, ix *objects.Index) []*apiv1.Rejection {
	var out []*apiv1.Rejection
	for _, o := range cmd.Observations {
		if err := s.observe(o, ix); err != nil {
			out = append(out, &apiv1.Rejection{Id: o.Vm, Status: err.Status()})
		}
	}
	return out
}

func (s *State) observe(o *apiv1.VmObservation, ix *objects.Index) *result.Error {
	if o.Vm == "" {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "observation without VM id")
	}
	if _, known := s.vms[o.Vm]; known {
		s.updateVM(o.Vm, func(vm *apiv1.Vm) { applyObservation(vm, o) })
		return nil
	}
	if o.Down {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_VM_UNKNOWN, "VM %s was never announced", o.Vm)
	}
	pool := initialPool(o.Pool, ix)
	if pool == "" {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_VM_UNKNOWN,
			"VM %s names pool %q, which does not exist, and no pool is spare; publish one of them", o.Vm, o.Pool)
	}
	vm := &apiv1.Vm{Id: o.Vm, Pool: pool}
	applyObservation(vm, o)
	s.addVM(vm)
	return nil
}

// applyObservation copies Down and the other fields that are set in o to vm.
// Announcements of minions carry no capacity and no worker, so unset fields keep
// their value.
func applyObservation(vm *apiv1.Vm, o *apiv1.VmObservation) {
	vm.Down = o.Down
	if o.AvailabilityZone != "" {
		vm.AvailabilityZone = o.AvailabilityZone
	}
	if o.Rack != "" {
		vm.Rack = o.Rack
	}
	if o.Capacity != nil {
		vm.Capacity = o.Capacity
	}
	if o.WorkerId != "" {
		vm.WorkerId = o.WorkerId
	}
}

// initialPool returns the announced pool if it exists, else the spare pool, which
// keeps VMs for other pools, or an empty string if there is none.
func initialPool(announced string, ix *objects.Index) string {
	if _, ok := ix.Pools[announced]; ok {
		return announced
	}
	return sparePool(ix)
}

// sparePool returns the name of the first spare pool, or an empty string.
func sparePool(ix *objects.Index) string {
	for _, p := range ix.Set.Pool {
		if p.Spare {
			return p.Name
		}
	}
	return ""
}

// RecordSuccess resets the count of consecutive failures of the VM. It does not
// end a quarantine.
func (s *State) RecordSuccess(vm string) {
	if v, ok := s.vms[vm]; ok && v.ConsecutiveFailures > 0 {
		s.updateVM(vm, clearFailures)
	}
}

// RecordFailure counts a failed run of the job on the VM. After several
// consecutive failures of different jobs it quarantines the VM's worker, if the
// availability budget (the most VMs of a pool, zone or rack that may be down at once)
// allows one more VM to be down; otherwise the next failure tries again.
func (s *State) RecordFailure(vm, jobID string, ix *objects.Index) {
	if _, ok := s.vms[vm]; !ok {
		return
	}
	s.updateVM(vm, func(v *apiv1.Vm) {
		v.ConsecutiveFailures++
		v.FailedJobs = append(v.FailedJobs, jobID)
		if extra := len(v.FailedJobs) - quarantineFailures; extra > 0 {
			v.FailedJobs = v.FailedJobs[extra:]
		}
	})
	v := s.vms[vm]
	if v.Quarantined || v.ConsecutiveFailures < quarantineFailures || countDistinct(v.FailedJobs) < quarantineJobs {
		return
	}
	if s.checkBudget(v, ix) == nil {
		s.updateVM(vm, func(v *apiv1.Vm) { v.Quarantined = true })
	}
}

func clearFailures(vm *apiv1.Vm) {
	vm.ConsecutiveFailures = 0
	vm.FailedJobs = nil
}

func countDistinct(list []string) int {
	seen := map[string]bool{}
	for _, s := range list {
		seen[s] = true
	}
	return len(seen)
}
