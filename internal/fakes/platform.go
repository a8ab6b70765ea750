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

// Execution is one operation that the platform carried out.
type Execution struct {
	vmapi.Operation
	// Started and Ends are times of the platform's clock.
	Started, Ends time.Duration
}

// PlatformOptions describe a fake platform.
type PlatformOptions struct {
	Clock clock.Clock // clock.Boot when nil
	// OperationDuration is the time that an operation runs.
	OperationDuration time.Duration
	// OnStart is called once per operation before it runs, OnEnd once it has
	// ended without an error. Either may be nil.
	OnStart, OnEnd func(op vmapi.Operation)
}

// Platform serves the platform's HTTP API. An operation id never runs twice.
type Platform struct {
	o   PlatformOptions
	mux *http.ServeMux

	mu         sync.Mutex
	executions []*Execution
	ended      map[string]bool
	failures   map[string]string
	// loseRequests and loseAnswers count the calls to come that are cut off.
	loseRequests, loseAnswers int
	unavailable               bool
}

// NewPlatform returns a platform without operations.
func NewPlatform(o PlatformOptions) *Platform {
	if o.Clock == nil {
		o.Clock = clock.Boot{}
	}
	p := &Platform{o: o, mux: http.NewServeMux(), failures: map[string]string{}, ended: map[string]bool{}}
	p.mux.HandleFunc("POST /v1/operations", p.start)
	p.mux.HandleFunc("GET /v1/operations/{id}", p.get)
	return p
}

// SetOperationDuration sets the time that operations started from now on run.
func (p *Platform) SetOperationDuration(d time.Duration) { p.set(func() { p.o.OperationDuration = d }) }

// FailOperations makes operations on the VM that start from now on fail with the reason;
// an empty reason ends that.
func (p *Platform) FailOperations(vm, reason string) { p.set(func() { p.failures[vm] = reason }) }

// LoseRequests cuts off the next n calls before they have an effect.
func (p *Platform) LoseRequests(n int) { p.set(func() { p.loseRequests = n }) }

// LoseAnswers cuts off the next n calls after their effect.
func (p *Platform) LoseAnswers(n int) { p.set(func() { p.loseAnswers = n }) }

// SetUnavailable makes every call answer HTTP status 503 or not.
func (p *Platform) SetUnavailable(u bool) { p.set(func() { p.unavailable = u }) }

// Executions returns a copy of what was carried out, in the order of the starts.
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
	if p.take(&p.loseRequests) {
		panic(http.ErrAbortHandler)
	}
	if p.down() {
		fail(w, http.StatusServiceUnavailable, "platform is unavailable")
		return
	}
	if p.take(&p.loseAnswers) {
		p.mux.ServeHTTP(discard{}, r)
		panic(http.ErrAbortHandler)
	}
	p.mux.ServeHTTP(w, r)
}

func (p *Platform) take(n *int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if *n == 0 {
		return false
	}
	*n--
	return true
}

func (p *Platform) down() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unavailable
}

func (p *Platform) start(w http.ResponseWriter, r *http.Request) {
	var op vmapi.Operation
	if err := json.NewDecoder(r.Body).Decode(&op); err != nil || op.OperationID == "" || op.VM == "" {
		fail(w, http.StatusBadRequest, "operation_id, kind and vm are required")
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.find(op.OperationID)
	if e == nil {
		e = p.execute(op)
	}
	p.answer(w, e)
}

func (p *Platform) execute(op vmapi.Operation) *Execution {
	if p.o.OnStart != nil {
		p.o.OnStart(op)
	}
	now := p.o.Clock.Now()
	op.Error = p.failures[op.VM]
	e := &Execution{Operation: op, Started: now, Ends: now + p.o.OperationDuration}
	p.executions = append(p.executions, e)
	return e
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.find(r.PathValue("id"))
	if e == nil {
		fail(w, http.StatusNotFound, "operation is not known")
		return
	}
	p.answer(w, e)
}

func (p *Platform) find(id string) *Execution {
	i := slices.IndexFunc(p.executions, func(e *Execution) bool { return e.OperationID == id })
	if i < 0 {
		return nil
	}
	return p.executions[i]
}

func (p *Platform) answer(w http.ResponseWriter, e *Execution) {
	op := vmapi.Operation{OperationID: e.OperationID, State: vmapi.StateRunning}
	if p.o.Clock.Now() >= e.Ends {
		op.State, op.Error = vmapi.StateDone, e.Error
		if e.Error != "" {
			op.State = vmapi.StateFailed
		}
		p.end(e)
	}
	w.Header().Set("Content-Type", "application/json")
	// The caller sees a cut-off answer as an error and asks again.
	_ = json.NewEncoder(w).Encode(op)
}

func (p *Platform) end(e *Execution) {
	if p.o.OnEnd != nil && e.Error == "" && !p.ended[e.OperationID] {
		p.o.OnEnd(e.Operation)
	}
	p.ended[e.OperationID] = true
}

func fail(w http.ResponseWriter, status int, reason string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]string{"error": reason})
}

// discard takes an answer that is lost.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) WriteHeader(int)             {}
