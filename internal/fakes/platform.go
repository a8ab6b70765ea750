package fakes

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"bergamotdrum.example/bergamotdrum/internal/clock"
	"bergamotdrum.example/bergamotdrum/internal/vmapi"
)

// Execution is an operation that the platform has started.
type Execution struct {
	vmapi.Operation
	// Started and Ends are readings of the platform's clock.
	Started, Ends time.Duration
}

// PlatformOptions configure a fake platform.
type PlatformOptions struct {
	Clock clock.Clock // clock.Boot when nil
	// OperationDuration is how long each operation runs.
	OperationDuration time.Duration
	// OnStart is called once when an operation starts. OnEnd is called once after
	// an operation has succeeded, when its state is next requested. Either may be
	// nil. They must not call methods of the platform.
	OnStart, OnEnd func(op vmapi.Operation)
}

// Platform is a fake of the VM platform's HTTP API. A repeated request to start
// an operation with the same id starts nothing.
type Platform struct {
	opts PlatformOptions
	mux  *http.ServeMux

	mu          sync.Mutex
	executions  []*Execution
	endNotified map[string]bool
	failures    map[string]string
	// loseRequests and loseAnswers are the numbers of further calls whose request
	// or response is lost.
	loseRequests, loseAnswers int
	unavailable               bool
}

// NewPlatform returns a platform without operations.
func NewPlatform(o PlatformOptions) *Platform {
	if o.Clock == nil {
		o.Clock = clock.Boot{}
	}
	p := &Platform{opts: o, mux: http.NewServeMux(), failures: map[string]string{}, endNotified: map[string]bool{}}
	p.mux.HandleFunc("POST /v1/operations", p.handleStart)
	p.mux.HandleFunc("GET /v1/operations/{id}", p.handleGet)
	return p
}

// SetOperationDuration sets how long operations run that start from now on.
func (p *Platform) SetOperationDuration(d time.Duration) {
	p.set(func() { p.opts.OperationDuration = d })
}

// FailOperations makes operations on a VM that start from now on fail with the
// given reason. With an empty reason they succeed again.
func (p *Platform) FailOperations(vm, reason string) { p.set(func() { p.failures[vm] = reason }) }

// LoseRequests closes the connections of the next n calls before the call is
// carried out.
func (p *Platform) LoseRequests(n int) { p.set(func() { p.loseRequests = n }) }

// LoseAnswers closes the connections of the next n calls after the call has been
// carried out, without a response.
func (p *Platform) LoseAnswers(n int) { p.set(func() { p.loseAnswers = n }) }

// SetUnavailable sets whether all calls fail with HTTP status 503.
func (p *Platform) SetUnavailable(u bool) { p.set(func() { p.unavailable = u }) }

// Executions returns copies of all executions in the order of their start.
func (p *Platform) Executions() []Execution {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]Execution, len(p.executions))
	for i, e := range p.executions {
		list[i] = *e
	}
	return list
}

func (p *Platform) set(fn func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fn()
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if p.consume(&p.loseRequests) {
		panic(http.ErrAbortHandler)
	}
	if p.isUnavailable() {
		writeError(w, http.StatusServiceUnavailable, "platform is unavailable")
		return
	}
	if p.consume(&p.loseAnswers) {
		p.mux.ServeHTTP(discardResponse{}, r)
		panic(http.ErrAbortHandler)
	}
	p.mux.ServeHTTP(w, r)
}

// consume decrements n unless it is 0, and reports whether it did.
func (p *Platform) consume(n *int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if *n == 0 {
		return false
	}
	*n--
	return true
}

func (p *Platform) isUnavailable() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unavailable
}

func (p *Platform) handleStart(w http.ResponseWriter, r *http.Request) {
	var op vmapi.Operation
	if err := json.NewDecoder(r.Body).Decode(&op); err != nil || op.OperationID == "" || op.VM == "" {
		writeError(w, http.StatusBadRequest, "operation_id, kind and vm are required")
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.find(op.OperationID)
	if e == nil {
		e = p.execute(op)
	}
	p.writeState(w, e)
}

func (p *Platform) execute(op vmapi.Operation) *Execution {
	if p.opts.OnStart != nil {
		p.opts.OnStart(op)
	}
	now := p.opts.Clock.Now()
	op.Error = p.failures[op.VM]
	e := &Execution{Operation: op, Started: now, Ends: now + p.opts.OperationDuration}
	p.executions = append(p.executions, e)
	return e
}

func (p *Platform) handleGet(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.find(r.PathValue("id"))
	if e == nil {
		writeError(w, http.StatusNotFound, "operation is not known")
		return
	}
	p.writeState(w, e)
}

func (p *Platform) find(id string) *Execution {
	i := slices.IndexFunc(p.executions, func(e *Execution) bool { return e.OperationID == id })
	if i < 0 {
		return nil
	}
	return p.executions[i]
}

// writeState responds with the state of an operation.
func (p *Platform) writeState(w http.ResponseWriter, e *Execution) {
	op := vmapi.Operation{OperationID: e.OperationID, State: vmapi.StateRunning}
	if p.opts.Clock.Now() >= e.Ends {
		op.State, op.Error = vmapi.StateDone, e.Error
		if e.Error != "" {
			op.State = vmapi.StateFailed
		}
		p.notifyEnd(e)
	}
	w.Header().Set("Content-Type", "application/json")
	// A write error needs no handling: the client sees a truncated response and
	// asks again.
	_ = json.NewEncoder(w).Encode(op)
}

// notifyEnd calls OnEnd unless the operation failed or OnEnd was already called
// for it.
func (p *Platform) notifyEnd(e *Execution) {
	if p.opts.OnEnd != nil && e.Error == "" && !p.endNotified[e.OperationID] {
		p.opts.OnEnd(e.Operation)
	}
	p.endNotified[e.OperationID] = true
}

func writeError(w http.ResponseWriter, status int, reason string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]string{"error": reason})
}

// discardResponse is a ResponseWriter for a response that is lost.
type discardResponse struct{}

func (discardResponse) Header() http.Header         { return http.Header{} }
func (discardResponse) Write(b []byte) (int, error) { return len(b), nil }
func (discardResponse) WriteHeader(int)             {}
