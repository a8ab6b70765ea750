// Package observe gives each process its JSON log, metrics, readiness and a
// dump of its state.
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

// Dumper returns a part of the process's state that marshals to JSON. It must
// hold no secrets.
type Dumper func() any

// Process bundles what operators use to look into one process.
type Process struct {
	Log      *logrus.Entry
	Registry *prometheus.Registry
	out      *logWriter
	ready    atomic.Bool
	mu       sync.Mutex
	dumpers  map[string]Dumper
	pages    map[string]http.HandlerFunc
	probes   []func() error
}

// NewProcess returns a process that is not ready yet. Level is a logrus level
// name.
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
		Log:      log.WithFields(logrus.Fields{"role": role, "process_id": processID}),
		Registry: reg,
		out:      out,
		dumpers:  map[string]Dumper{},
		pages:    map[string]http.HandlerFunc{},
	}, nil
}

// Close writes the log lines that wait. The process ends afterwards.
func (p *Process) Close() { p.out.flush() }

// AddDumper adds one named part of the state dump.
func (p *Process) AddDumper(name string, d Dumper) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dumpers[name] = d
}

// AddPage serves one more page on the admin listener; call it before Handler.
func (p *Process) AddPage(pattern string, h http.HandlerFunc) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pages[pattern] = h
}

// AddReadinessCheck adds a condition of readiness.
func (p *Process) AddReadinessCheck(probe func() error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.probes = append(p.probes, probe)
}

// SetReady tells the balancer whether to send work, subject to the probes.
func (p *Process) SetReady(ready bool) { p.ready.Store(ready) }

// CheckReady returns nil when the process should receive work.
func (p *Process) CheckReady() error {
	if !p.ready.Load() {
		return errors.New("process is starting or shutting down")
	}
	p.mu.Lock()
	probes := p.probes
	p.mu.Unlock()
	for _, probe := range probes {
		if err := probe(); err != nil {
			return err
		}
	}
	return nil
}

// Dump returns the whole state as indented JSON.
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

// Handler serves /metrics, /ready, /healthz, /debug/state, /debug/pprof and the
// pages that were added.
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

// AdminServer returns the HTTP server for Handler with its timeouts set.
func (p *Process) AdminServer() *http.Server {
	return &http.Server{Handler: p.Handler(), ReadHeaderTimeout: readHeaderTimeout, WriteTimeout: writeTimeout}
}

// DumpOnSignal logs the state on each SIGUSR1 until ctx ends.
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
