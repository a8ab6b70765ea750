package fleet

import (
	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/objects"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

const (
	// quarantineFailures in a row, over quarantineJobs jobs, quarantine a
	// worker. Fewer jobs would blame the worker for one bad job.
	quarantineFailures = 5
	quarantineJobs     = 3
)

// Observe takes over what announcements say about VMs. A VM enters the fleet at
// its first observation; an observation never changes the pool of a known VM.
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
		s.change(o.Vm, func(vm *apiv1.Vm) { update(vm, o) })
		return nil
	}
	if o.Down {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_VM_UNKNOWN, "VM %s was never announced", o.Vm)
	}
	pool := firstPool(o.Pool, ix)
	if pool == "" {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_VM_UNKNOWN,
			"VM %s names pool %q, which does not exist, and no pool is spare; publish one of them", o.Vm, o.Pool)
	}
	vm := &apiv1.Vm{Id: o.Vm, Pool: pool}
	update(vm, o)
	s.add(vm)
	return nil
}

// update copies what o tells. Announcements of minions carry no capacity and
// no worker, so unset fields keep their value.
func update(vm *apiv1.Vm, o *apiv1.VmObservation) {
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

// firstPool returns the announced pool when it exists, else the spare pool.
func firstPool(announced string, ix *objects.Index) string {
	if _, ok := ix.Pools[announced]; ok {
		return announced
	}
	return sparePool(ix)
}

func sparePool(ix *objects.Index) string {
	for _, p := range ix.Set.Pool {
		if p.Spare {
			return p.Name
		}
	}
	return ""
}

// RecordSuccess ends the VM's row of failures.
func (s *State) RecordSuccess(vm string) {
	if v, ok := s.vms[vm]; ok && v.ConsecutiveFailures > 0 {
		s.change(vm, clearFailures)
	}
}

// RecordFailure counts a failed run and quarantines the VM's worker after a row
// of failures over several jobs, when the availability budget allows it.
func (s *State) RecordFailure(vm, jobID string, ix *objects.Index) {
	if _, ok := s.vms[vm]; !ok {
		return
	}
	s.change(vm, func(v *apiv1.Vm) {
		v.ConsecutiveFailures++
		v.FailedJobs = append(v.FailedJobs, jobID)
		if extra := len(v.FailedJobs) - quarantineFailures; extra > 0 {
			v.FailedJobs = v.FailedJobs[extra:]
		}
	})
	v := s.vms[vm]
	if v.Quarantined || v.ConsecutiveFailures < quarantineFailures || distinct(v.FailedJobs) < quarantineJobs {
		return
	}
	if s.checkBudget(v, ix) == nil {
		s.change(vm, func(v *apiv1.Vm) { v.Quarantined = true })
	}
}

func clearFailures(vm *apiv1.Vm) {
	vm.ConsecutiveFailures = 0
	vm.FailedJobs = nil
}

func distinct(list []string) int {
	seen := map[string]bool{}
	for _, s := range list {
		seen[s] = true
	}
	return len(seen)
}
