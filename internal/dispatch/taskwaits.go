package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"bergamotdrum.example/bergamotdrum/internal/batch"
	"bergamotdrum.example/bergamotdrum/internal/placement"
)

const (
	// waitLogInterval is the time between two logs of why tasks wait.
	waitLogInterval     = time.Second
	waitingTasksMessage = "tasks wait for a minion"
)

// logWaitingTasks logs why tasks wait, a line for each pool.
func (d *Dispatcher) logWaitingTasks(now time.Duration, waiting map[string]placement.TaskWaits) {
	d.waitsLoggedAt = now
	for _, pool := range slices.Sorted(maps.Keys(waiting)) {
		w := waiting[pool]
		d.log.WithFields(logrus.Fields{
			"pool": pool, "long_running": countsByName(w.LongRunning), "finite": countsByName(w.Finite), "examples": examplesByName(w.Examples),
		}).Info(waitingTasksMessage)
	}
}

func countsByName(counts map[placement.WaitReason]int) map[string]int {
	out := make(map[string]int, len(counts))
	for reason, n := range counts {
		out[reason.String()] = n
	}
	return out
}

func examplesByName(examples map[placement.WaitReason]batch.TaskRef) map[string]string {
	out := make(map[string]string, len(examples))
	for reason, ref := range examples {
		out[reason.String()] = ref.String()
	}
	return out
}
