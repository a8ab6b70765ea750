package measure

import (
	"fmt"
	"io"
	"time"

	"bergamotdrum.example/bergamotdrum/internal/objects"
)

// Report runs all measurements with the object set ix and writes their tables as
// Markdown under the heading name. It fails if the object set has no queue that
// Share can measure; errors of w are ignored.
func Report(w io.Writer, name string, ix *objects.Index, seed uint64) error {
	fmt.Fprintf(w, "## %s\n\n", name)
	shares, err := Share(ix, seed)
	if err != nil {
		return err
	}
	reportShare(w, shares)
	reportZone(w, Zone(ix, seed))
	reportBurst(w, Burst(ix, seed))
	reportWave(w, Wave(ix, seed))
	reportCapacity(w, Capacity(ix, seed))
	return nil
}

func reportShare(w io.Writer, results []ShareResult) {
	fmt.Fprintf(w, "### Closeness to share under full load, windows of 10 s\n\n")
	fmt.Fprintf(w, "| policy | largest deviation | mean deviation | slot time used | violations |\n|---|---|---|---|---|\n")
	for _, r := range results {
		fmt.Fprintf(w, "| %s | %.2f %% | %.2f %% | %.1f %% | %d |\n", r.Policy, r.MaxDeviationPercent, r.MeanDeviationPercent, r.UsedPercent, r.Violations)
	}
	fmt.Fprintln(w)
}

func reportZone(w io.Writer, results []ZoneResult) {
	fmt.Fprintf(w, "### An availability zone leaves for 60 s and returns, under full load\n\n")
	fmt.Fprintf(w, "| case | work done, of what the remaining minions could do | starts in the zone while out | zone in full use again after | violations |\n|---|---|---|---|---|\n")
	for _, r := range results {
		fmt.Fprintf(w, "| %s | %.1f %% | %d | %v | %d |\n", r.Scenario, r.WorkPercent, r.StartsInZone, r.RecoveryTime, r.Violations)
	}
	fmt.Fprintln(w)
}

func reportBurst(w io.Writer, results []BurstResult) {
	fmt.Fprintf(w, "### Time to start under demand by turns (5 times the mean for 5 s, a twentieth for 20 s)\n\n")
	fmt.Fprintf(w, "| service | priority | timeout | burst, of the pool | requests | p50 | p99 | p99 of one ideal queue | longest | answered \"not run\" | violations |\n|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, r := range results {
		fmt.Fprintf(w, "| %s | %s | %v | %.2f | %d | %v | %v | %v | %v | %.1f %% | %d |\n", r.Service, r.Priority, r.Timeout, r.PeakDemand, r.Requests,
			r.P50.Round(time.Millisecond), r.P99.Round(time.Millisecond), r.IdealP99.Round(time.Millisecond), r.MaxWait.Round(time.Millisecond), r.NotRunPercent, r.Violations)
	}
	fmt.Fprintln(w)
}

func reportWave(w io.Writer, results []WaveResult) {
	fmt.Fprintf(w, "### One maintenance wave over a pool of 10 VMs, with VM failures\n\n")
	fmt.Fprintf(w, "| policy | pool | roll-out | finished | budget violations |\n|---|---|---|---|---|\n")
	for _, r := range results {
		fmt.Fprintf(w, "| %s | %s | %v | %v | %d |\n", r.Policy, r.Pool, r.RollOut, r.Finished, r.Violations)
	}
	fmt.Fprintln(w)
}

func reportCapacity(w io.Writer, results []CapacityResult) {
	fmt.Fprintf(w, "### Buffer cost over 4 h, one pool at a time asking for 14 VMs and the others for 1.5\n\n")
	fmt.Fprintf(w, "| policy | idle VM-hours | unmet VM-hours | VM moves | budget violations |\n|---|---|---|---|---|\n")
	for _, r := range results {
		fmt.Fprintf(w, "| %s | %.1f | %.1f | %d | %d |\n", r.Policy, r.IdleVMHours, r.UnmetVMHours, r.Moves, r.Violations)
	}
	fmt.Fprintln(w)
}
