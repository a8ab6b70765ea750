package batchservice

import (
	"net/http"
	"strconv"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/state"
)

// defaultPage is the number of jobs on a page when the query has no limit.
const defaultPage = 100

// Pages returns what operators may look at on the admin listener, by pattern. A
// replica that does not lead shows its own state, which may lag.
func Pages(m *state.Machine) map[string]http.HandlerFunc {
	p := &pages{m}
	return map[string]http.HandlerFunc{
		"GET /batch/status":    p.status,
		"GET /batch/jobs":      p.jobs,
		"GET /batch/jobs/{id}": p.job,
	}
}

type pages struct{ machine *state.Machine }

func (p *pages) status(w http.ResponseWriter, _ *http.Request) {
	var out *apiv1.BatchStatus
	p.machine.Read(func(st *state.State) { out = st.Batch.Status() })
	writePage(w, out)
}

func (p *pages) jobs(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := defaultPage
	if text := q.Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			http.Error(w, "limit is not a positive number", http.StatusBadRequest)
			return
		}
		limit = n
	}
	var out *apiv1.BatchJobList
	p.machine.Read(func(st *state.State) {
		out = st.Batch.JobPage(q.Get("queue"), q.Get("after"), q.Get("all") == "true", limit)
	})
	writePage(w, out)
}

func (p *pages) job(w http.ResponseWriter, r *http.Request) {
	var out *apiv1.BatchJobView
	p.machine.Read(func(st *state.State) {
		if j := st.Batch.Job(r.PathValue("id")); j != nil {
			out = j.View()
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
	_, _ = w.Write(data) // the reader is gone when it cannot be written
}
