package dispatch

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/batch"
	"bergamotdrum.example/bergamotdrum/internal/jobmemory"
	"bergamotdrum.example/bergamotdrum/internal/placement"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

// Reasons for which jobs are refused since the replicas can't hold them.
const (
	// reasonMemory means that accepted jobs take the memory for them, and reasonLog that
	// the log has to be compacted first.
	reasonMemory placement.Reason = "job_memory"
	reasonLog    placement.Reason = "log"
	// reasonTooLarge means that the memory doesn't hold the job when it is alone.
	reasonTooLarge placement.Reason = "job_size"
)

// maxSubmissions bounds the submissions of a job that are proposed at the same time. They
// count once in the memory for jobs, and each takes room in the log.
const maxSubmissions = 8

// replicaRefusal refuses a job that the replicas can't hold; the caller holds the lock.
// What the state holds is read under it, so that a job whose commit ends meanwhile counts
// in the state or as proposed.
func (a *admission) replicaRefusal(now time.Duration, j *apiv1.BatchJob) placement.Refusal {
	bytes := proposalBytes(j)
	if a.memory.Limit() > 0 && !a.memory.AllowsWithin(a.state.usedJobMemory(), bytes) {
		used, weights := a.state.jobMemory()
		a.memory.SetWeights(weights)
		if bytes > a.memory.LargestJob(j.Account) {
			return placement.Refusal{Reason: reasonTooLarge}
		}
		if !a.memory.Allows(used, j.Account, bytes) {
			return placement.Refusal{Reason: reasonMemory, RetryAfter: a.memory.Refuse(now, used, j.Account, bytes)}
		}
	}
	if a.logRoom != nil && a.memory.ProposedBytes()+batch.MessageFootprint(j) > a.logRoom() {
		return placement.Refusal{Reason: reasonLog, RetryAfter: minSubmitRetryAfter}
	}
	return placement.Refusal{}
}

// proposalBytes returns the memory that a job takes while it is proposed: that of the state
// and that of the message.
func proposalBytes(j *apiv1.BatchJob) int64 { return batch.Footprint(j) + batch.MessageFootprint(j) }

// jobState is what admission reads of the replicated state while it holds its lock.
type jobState struct{ machine *state.Machine }

// usedJobMemory returns the memory that the jobs of the state take.
func (s jobState) usedJobMemory() (bytes int64) {
	s.machine.Read(func(st *state.State) { bytes = st.Batch.JobMemoryTotal() })
	return bytes
}

// jobMemory returns the memory that the jobs of each account take, and the weights of the
// accounts.
func (s jobState) jobMemory() (used jobmemory.Usage, weights map[string]int64) {
	weights = map[string]int64{}
	s.machine.Read(func(st *state.State) {
		used = jobmemory.Usage(st.Batch.JobMemory())
		for _, account := range st.Batch.Catalog().Accounts {
			weights[account.Name] = int64(account.Weight)
		}
	})
	return used, weights
}

const (
	// Names of rows for operators: all accounts, and callers without a key.
	totalName = "total"
	noKeyName = "(no key)"
	// memoryLogInterval is the shortest time between two logs of the memory.
	memoryLogInterval = 10 * time.Second
)

// JobMemory returns the memory that accepted and proposed jobs take, by account, after a
// row for all together.
func (d *Dispatcher) JobMemory() []*apiv1.BatchJobMemory {
	d.admission.mu.Lock()
	defer d.admission.mu.Unlock()
	return d.admission.memoryRows()
}

// memoryRows is JobMemory for a caller that holds the lock.
func (a *admission) memoryRows() []*apiv1.BatchJobMemory {
	used, weights := a.state.jobMemory()
	a.memory.SetWeights(weights)
	return memoryRows(used, a.memory)
}

// JobMemoryOf returns the memory that the jobs of a state take, by account, on a replica
// that doesn't lead.
func JobMemoryOf(m *state.Machine) []*apiv1.BatchJobMemory {
	used, _ := jobState{m}.jobMemory()
	return memoryRows(used, jobmemory.New(0))
}

func memoryRows(used jobmemory.Usage, b *jobmemory.Budget) []*apiv1.BatchJobMemory {
	accounts := b.Accounts()
	for account := range used.ByAccount {
		accounts[account] = true
	}
	total := &apiv1.BatchJobMemory{
		Account: totalName, UsedBytes: uint64(used.Total), ProposedBytes: uint64(b.ProposedBytes()), GuaranteedBytes: uint64(b.Limit()),
	}
	rows := []*apiv1.BatchJobMemory{total}
	for _, account := range slices.Sorted(maps.Keys(accounts)) {
		row := &apiv1.BatchJobMemory{
			Account: account, UsedBytes: uint64(used.ByAccount[account]), ProposedBytes: uint64(b.ProposedBytesOf(account)),
			GuaranteedBytes: uint64(b.Guarantee(account)), Refused: b.Refused(account),
		}
		if account == "" {
			row.Account = noKeyName
		}
		total.Refused += row.Refused
		rows = append(rows, row)
	}
	return rows
}

// logMemory logs, while jobs are refused for it, what the memory of accepted jobs holds.
func (a *admission) logMemory(now time.Duration, log *logrus.Entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now-a.memoryLoggedAt < memoryLogInterval {
		return
	}
	a.memoryLoggedAt = now
	rows := a.memoryRows()
	if refused := rows[0].Refused; refused > a.memoryRefused {
		log.WithFields(logrus.Fields{
			"used_bytes": rows[0].UsedBytes, "proposed_bytes": rows[0].ProposedBytes, "limit_bytes": rows[0].GuaranteedBytes,
			"refused": refused - a.memoryRefused, "accounts": len(rows) - 1,
		}).Warn("memory for accepted jobs is short")
		a.memoryRefused = refused
	}
}
