package batch

import (
	"slices"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

// startWave records a maintenance wave: an operator's request for the
// maintenance of a list of machines, of which at most max_down are down at the
// same time. A command that is sent again changes nothing.
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

// Wave returns the wave of that number, nil when there is none.
func (s *State) Wave(number uint64) *apiv1.MaintenanceWave { return s.waves[number] }

// OpenWaves returns the waves that are not completed, ordered by number.
func (s *State) OpenWaves() []*apiv1.MaintenanceWave {
	var out []*apiv1.MaintenanceWave
	for _, n := range sortedKeys(s.waves) {
		if !s.waves[n].Completed {
			out = append(out, s.waves[n])
		}
	}
	return out
}

// IsDownForMaintenance reports whether a machine counts as down for
// maintenance: from the order of its maintenance until that is finished or the
// machine is gone. To the provider, the service that manages the machines, the
// machine may still be up until the order is carried out.
func IsDownForMaintenance(st apiv1.MachineServiceState) bool {
	return st == apiv1.MachineServiceState_MACHINE_SERVICE_STATE_ORDERED || st == apiv1.MachineServiceState_MACHINE_SERVICE_STATE_STARTED
}

// MaintenanceDone reports whether the maintenance of a machine is over: it is
// finished, or the machine has left the fleet.
func MaintenanceDone(st apiv1.MachineServiceState) bool {
	return st >= apiv1.MachineServiceState_MACHINE_SERVICE_STATE_FINISHED
}

// DownMachines returns the set of machines that are down for any of the waves.
func DownMachines(waves []*apiv1.MaintenanceWave) map[string]bool {
	down := map[string]bool{}
	for _, w := range waves {
		for _, sv := range w.Services {
			if IsDownForMaintenance(sv.State) {
				down[sv.Machine] = true
			}
		}
	}
	return down
}

// MaintenanceOrderedSince reports whether the maintenance of a machine was ordered,
// or may have been, at or after a time in Unix milliseconds, and whether such an order
// was certainly carried out. An empty machine stands for any.
func (s *State) MaintenanceOrderedSince(machine string, sinceMS int64) (ordered, carriedOut bool) {
	for _, w := range s.waves {
		for _, sv := range w.Services {
			if sv.State == apiv1.MachineServiceState_MACHINE_SERVICE_STATE_UNSPECIFIED || sv.OrderedUnixMs < sinceMS || machine != "" && sv.Machine != machine {
				continue
			}
			ordered = true
			carriedOut = carriedOut || sv.State == apiv1.MachineServiceState_MACHINE_SERVICE_STATE_STARTED || sv.State == apiv1.MachineServiceState_MACHINE_SERVICE_STATE_FINISHED
		}
	}
	return ordered, carriedOut
}

// DownInWave returns how many machines of a wave are in down, the set of machines
// that are down for any wave.
func DownInWave(w *apiv1.MaintenanceWave, down map[string]bool) uint32 {
	n := uint32(0)
	for _, sv := range w.Services {
		if down[sv.Machine] {
			n++
		}
	}
	return n
}

// validTransition reports whether the maintenance of a machine may go from one
// state to another. States only advance, except that an order that the machine
// provider refused is withdrawn.
func validTransition(from, to apiv1.MachineServiceState) bool {
	return to >= from || from == apiv1.MachineServiceState_MACHINE_SERVICE_STATE_ORDERED
}

// updateServices applies all of the changes or none. It returns NOT_FOUND for an
// unknown wave, VM_UNKNOWN for an unknown machine or an invalid transition, and
// BUDGET_EXCEEDED when the changes would raise the number of down machines of any
// open wave beyond its max_down. A machine may belong to several waves.
func (s *State) updateServices(cmd *apiv1.UpdateServices) *result.Error {
	w := s.waves[cmd.Wave]
	if w == nil {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_NOT_FOUND, "no wave %d", cmd.Wave)
	}
	next := slices.Clone(w.Services)
	for _, change := range cmd.Services {
		i := slices.IndexFunc(next, func(sv *apiv1.MachineService) bool { return sv.Machine == change.Machine })
		if i < 0 || !validTransition(next[i].State, change.State) {
			return result.NotRun(apiv1.ResultCode_RESULT_CODE_VM_UNKNOWN, "wave %d has no such step for machine %s", w.Number, change.Machine)
		}
		next[i] = change
	}
	before, previous := DownMachines(s.OpenWaves()), w.Services
	w.Services = next
	after := DownMachines(s.OpenWaves())
	for _, other := range s.OpenWaves() {
		if n := DownInWave(other, after); n > other.MaxDown && n > DownInWave(other, before) {
			w.Services = previous
			return result.NotRun(apiv1.ResultCode_RESULT_CODE_BUDGET_EXCEEDED, "wave %d may have %d machines down", other.Number, other.MaxDown)
		}
	}
	w.Completed = !slices.ContainsFunc(next, func(sv *apiv1.MachineService) bool { return !MaintenanceDone(sv.State) })
	return nil
}
