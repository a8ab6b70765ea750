// Package observe provides what operators need to look into a process: a JSON log
// on standard output, metrics, readiness, a dump of its state and the admin pages
// that serve them.
package observe

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/pprof"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"
)

const (
	readHeaderTimeout = 5 * time.Second
	writeTimeout      = 60 * time.Second
)

// Dumper returns one part of the process's state, as a value that marshals to JSON.
// The state dump is logged and served, so the value must contain no secrets. A
// Dumper may be called concurrently.
type Dumper func() any

// Process holds the log, the metrics and the admin pages of one process.
type Process struct {
	Log       *logrus.Entry
	Registry  *prometheus.Registry
	logWriter *logWriter
	ready     atomic.Bool
	// mu guards the fields below.
	mu              sync.Mutex
	dumpers         map[string]Dumper
	pages           map[string]http.HandlerFunc
	readinessChecks []func() error
}

// NewProcess returns the log, metrics and admin pages of a process that is not
// ready yet. Level is the name of a logrus level, such as info; it returns an error
// for other names. Role and processID become fields of every log line.
func NewProcess(role, processID, level string) (*Process, error) {
	lvl, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level %q: use debug, info, warn or error", level)
	}
	log := logrus.New()
	log.SetLevel(lvl)
	reg := prometheus.NewRegistry()
	out := newLogWriter(os.Stdout, reg)
	log.SetFormatter(out)
	log.SetOutput(out)
	reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return &Process{
		Log:       log.WithFields(logrus.Fields{"role": role, "process_id": processID}),
		Registry:  reg,
		logWriter: out,
		dumpers:   map[string]Dumper{},
		pages:     map[string]http.HandlerFunc{},
	}, nil
}

// Close writes the log lines that are still queued. It is called once the process is
// about to exit; lines logged later are lost.
func (p *Process) Close() { p.logWriter.flush() }

// AddDumper adds a part to the state dump, under a name of its own.
func (p *Process) AddDumper(name string, d Dumper) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dumpers[name] = d
}

// AddPage adds a page to the admin pages. It must be called before Handler. The
// pattern is one of http.ServeMux.
func (p *Process) AddPage(pattern string, h http.HandlerFunc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pages[pattern] = h
}

// AddReadinessCheck adds a condition of readiness. The process is ready only while
// check returns nil.
func (p *Process) AddReadinessCheck(check func() error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readinessChecks = append(p.readinessChecks, check)
}

// SetReady sets whether the process wants to receive work, which load balancers ask
// on /ready. It is ready only while all readiness checks pass, too.
func (p *Process) SetReady(ready bool) { p.ready.Store(ready) }

// CheckReady returns nil when the process is ready to receive work, and otherwise
// an error with the reason.
func (p *Process) CheckReady() error {
	if !p.ready.Load() {
		return errors.New("process is starting or shutting down")
	}
	p.mu.Lock()
	checks := p.readinessChecks
	p.mu.Unlock()
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// Dump returns the state of all dumpers as an indented JSON object.
func (p *Process) Dump() ([]byte, error) {
	p.mu.Lock()
	parts := make(map[string]Dumper, len(p.dumpers))
	for name, d := range p.dumpers {
		parts[name] = d
	}
	p.mu.Unlock()
	state := make(map[string]any, len(parts))
	for name, d := range parts {
		state[name] = d()
	}
	return json.MarshalIndent(state, "", "  ")
}

// Handler returns the admin pages: /metrics, /ready, /healthz, /debug/state,
// /debug/pprof and those added by AddPage.
func (p *Process) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(p.Registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET /ready", p.serveReady)
	mux.HandleFunc("GET /debug/state", p.serveDump)
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	p.mu.Lock()
	defer p.mu.Unlock()
	for pattern, h := range p.pages {
		mux.HandleFunc(pattern, h)
	}
	return mux
}

// AdminServer returns an HTTP server for Handler with read and write timeouts.
func (p *Process) AdminServer() *http.Server {
	return &http.Server{Handler: p.Handler(), ReadHeaderTimeout: readHeaderTimeout, WriteTimeout: writeTimeout}
}

// DumpOnSignal logs the state dump on each SIGUSR1. It returns when ctx is done.
func (p *Process) DumpOnSignal(ctx context.Context) {
	ch := make(chan os.Signal, 1)
	signal.Notify(ch, syscall.SIGUSR1)
	defer signal.Stop(ch)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ch:
			p.logDump()
		}
	}
}

func (p *Process) logDump() {
	state, err := p.Dump()
	if err != nil {
		p.Log.WithError(err).Error("state dump failed")
		return
	}
	p.Log.WithField("state", json.RawMessage(state)).Info("state dump")
}

func (p *Process) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := p.CheckReady(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

func (p *Process) serveDump(w http.ResponseWriter, _ *http.Request) {
	state, err := p.Dump()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(state)
}
