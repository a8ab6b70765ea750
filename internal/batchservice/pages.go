package batchservice

import (
	"net/http"
	"strconv"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

// defaultPageSize is the number of jobs on a page when the request has no limit.
const defaultPageSize = 100

// Pages returns the handlers of the operators' pages on the admin listener, by
// pattern. They read the local replica's state, which on a follower may lag
// behind the leader's.
func Pages(m *state.Machine, v LeaderView) map[string]http.HandlerFunc {
	p := &pages{m, v}
	return map[string]http.HandlerFunc{
		"GET /batch/status":    p.status,
		"GET /batch/jobs":      p.jobs,
		"GET /batch/jobs/{id}": p.job,
	}
}

// LeaderView is what a replica knows while it leads.
type LeaderView interface {
	// Forecasts returns the forecasts of the pools, none on a follower.
	Forecasts() []*apiv1.BatchForecast
	// JobMemory returns the memory that accepted jobs take, by account. On a follower it is
	// what the state knows.
	JobMemory() []*apiv1.BatchJobMemory
}

type pages struct {
	stateMachine *state.Machine
	leader       LeaderView
}

func (p *pages) status(w http.ResponseWriter, _ *http.Request) {
	var out *apiv1.BatchStatus
	p.stateMachine.Read(func(st *state.State) { out = st.Batch.Status() })
	out.Forecasts, out.JobMemory = p.leader.Forecasts(), p.leader.JobMemory()
	writePage(w, out)
}

func (p *pages) jobs(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := defaultPageSize
	if text := q.Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			http.Error(w, "limit is not a positive number", http.StatusBadRequest)
			return
		}
		limit = n
	}
	var out *apiv1.BatchJobList
	p.stateMachine.Read(func(st *state.State) {
		out = st.Batch.JobPage(q.Get("queue"), q.Get("after"), q.Get("all") == "true", limit)
	})
	writePage(w, out)
}

func (p *pages) job(w http.ResponseWriter, r *http.Request) {
	var out *apiv1.BatchJobView
	p.stateMachine.Read(func(st *state.State) {
		if j := st.Batch.Job(r.PathValue("id")); j != nil {
			out = st.Batch.View(j)
		}
	})
	if out == nil {
		http.Error(w, "no such job", http.StatusNotFound)
		return
	}
	writePage(w, out)
}

func writePage(w http.ResponseWriter, m proto.Message) {
	data, err := protojson.Marshal(m)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data) // fails only if the client has disconnected
}
