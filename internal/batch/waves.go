package batch

import (
	"slices"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

// startWave records a wave once; a resend changes nothing.
func (s *State) startWave(w *apiv1.MaintenanceWave) {
	if s.waves[w.Number] != nil {
		return
	}
	w.Services = nil
	for _, m := range w.Machines {
		w.Services = append(w.Services, &apiv1.MachineService{Machine: m})
	}
	w.Completed = len(w.Machines) == 0
	s.waves[w.Number] = w
}

// Wave returns a wave, nil when there is none of that number.
func (s *State) Wave(number uint64) *apiv1.MaintenanceWave { return s.waves[number] }

// OpenWaves returns the waves that are not completed, by number.
func (s *State) OpenWaves() []*apiv1.MaintenanceWave {
	var out []*apiv1.MaintenanceWave
	for _, n := range sortedKeys(s.waves) {
		if !s.waves[n].Completed {
			out = append(out, s.waves[n])
		}
	}
	return out
}

// MachineDown tells whether a service is under way, from its order on.
func MachineDown(st apiv1.MachineServiceState) bool {
	return st == apiv1.MachineServiceState_MACHINE_SERVICE_STATE_ORDERED || st == apiv1.MachineServiceState_MACHINE_SERVICE_STATE_STARTED
}

// MachineServed tells whether nothing is left to do for the machine.
func MachineServed(st apiv1.MachineServiceState) bool {
	return st >= apiv1.MachineServiceState_MACHINE_SERVICE_STATE_FINISHED
}

// DownMachines returns the machines that are down for any of the waves.
func DownMachines(waves []*apiv1.MaintenanceWave) map[string]bool {
	down := map[string]bool{}
	for _, w := range waves {
		for _, sv := range w.Services {
			if MachineDown(sv.State) {
				down[sv.Machine] = true
			}
		}
	}
	return down
}

// DownOfWave counts the machines of a wave that are down, whatever for.
func DownOfWave(w *apiv1.MaintenanceWave, down map[string]bool) uint32 {
	n := uint32(0)
	for _, sv := range w.Services {
		if down[sv.Machine] {
			n++
		}
	}
	return n
}

// mayFollow tells whether a machine's service may go from one state to another.
// An order that the platform refused is taken back.
func mayFollow(from, to apiv1.MachineServiceState) bool {
	return to >= from || from == apiv1.MachineServiceState_MACHINE_SERVICE_STATE_ORDERED
}

// updateServices applies all of the changes or none: an order that would take
// more machines of a wave down than it allows is refused. A machine may belong
// to several waves.
func (s *State) updateServices(cmd *apiv1.UpdateServices) *result.Error {
	w := s.waves[cmd.Wave]
	if w == nil {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_NOT_FOUND, "no wave %d", cmd.Wave)
	}
	next := slices.Clone(w.Services)
	for _, change := range cmd.Services {
		i := slices.IndexFunc(next, func(sv *apiv1.MachineService) bool { return sv.Machine == change.Machine })
		if i < 0 || !mayFollow(next[i].State, change.State) {
			return result.NotRun(apiv1.ResultCode_RESULT_CODE_VM_UNKNOWN, "wave %d has no such step for machine %s", w.Number, change.Machine)
		}
		next[i] = change
	}
	before, previous := DownMachines(s.OpenWaves()), w.Services
	w.Services = next
	after := DownMachines(s.OpenWaves())
	for _, other := range s.OpenWaves() {
		if n := DownOfWave(other, after); n > other.MaxDown && n > DownOfWave(other, before) {
			w.Services = previous
			return result.NotRun(apiv1.ResultCode_RESULT_CODE_BUDGET_EXCEEDED, "wave %d may have %d machines down", other.Number, other.MaxDown)
		}
	}
	w.Completed = !slices.ContainsFunc(next, func(sv *apiv1.MachineService) bool { return !MachineServed(sv.State) })
	return nil
}
