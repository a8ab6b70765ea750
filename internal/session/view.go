package session

import (
	"context"
	"fmt"

	"github.com/prometheus/client_golang/prometheus"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/objects"
)

// fetchView gets the leader's view, the part of the replicated state that entry
// processes get, and makes it this process's current one. It fails when the view
// is older than the versions in the reply to the renewal, so that the session's
// validity is not extended with an older view.
func (s *Session) fetchView(ctx context.Context, renewal *apiv1.SessionRenewal) error {
	view, err := s.opts.Control.GetView(ctx, &apiv1.GetView{HaveConfigVersion: s.currentConfigVersion()})
	if err != nil {
		return fmt.Errorf("fetch view: %w", err)
	}
	if view.Version < renewal.ViewVersion || view.ConfigVersion < renewal.ConfigVersion {
		return fmt.Errorf("fetched view version %d with configuration version %d is older than the renewal's", view.Version, view.ConfigVersion)
	}
	snap, err := s.newSnapshot(view)
	if err != nil {
		return err
	}
	s.snapshot.Store(snap)
	s.mu.Lock()
	listeners := s.listeners
	s.mu.Unlock()
	for _, fn := range listeners {
		fn(snap)
	}
	s.setVersions(view)
	return nil
}

// newSnapshot checks the view's versions and returns a snapshot of it. The
// configuration version never decreases within a process, the view version never
// within a session. A view without its configuration gets the current one, whose
// version must be the one that the view names.
func (s *Session) newSnapshot(view *apiv1.View) (*Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if view.Version < s.viewVersion {
		return nil, fmt.Errorf("view version %d is older than the current version %d", view.Version, s.viewVersion)
	}
	if view.ConfigVersion < s.configVersion {
		return nil, fmt.Errorf("configuration version %d is older than the current version %d", view.ConfigVersion, s.configVersion)
	}
	old := s.snapshot.Load()
	if view.Config != nil {
		return &Snapshot{View: view, Index: objects.NewIndex(view.Config.Objects)}, nil
	}
	if view.ConfigVersion != old.View.GetConfigVersion() {
		return nil, fmt.Errorf("view version %d does not contain its configuration version %d", view.Version, view.ConfigVersion)
	}
	view.Config = old.View.GetConfig()
	return &Snapshot{View: view, Index: old.Index}, nil
}

func (s *Session) currentConfigVersion() uint64 {
	return s.Snapshot().View.GetConfigVersion()
}

// setVersions sets the versions that the next renewal acknowledges to the leader.
func (s *Session) setVersions(view *apiv1.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.viewVersion = view.Version
	s.configVersion = view.ConfigVersion
	s.metrics.config.Set(float64(view.ConfigVersion))
	s.metrics.view.Set(float64(view.Version))
}

type metrics struct {
	opened, failures prometheus.Counter
	config, view     prometheus.Gauge
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		opened:   prometheus.NewCounter(prometheus.CounterOpts{Name: "bergamot_session_opened_total", Help: "Sessions opened by this process."}),
		failures: prometheus.NewCounter(prometheus.CounterOpts{Name: "bergamot_session_renewal_failures_total", Help: "Renewals that failed."}),
		config:   prometheus.NewGauge(prometheus.GaugeOpts{Name: "bergamot_session_config_version", Help: "Configuration version in force."}),
		view:     prometheus.NewGauge(prometheus.GaugeOpts{Name: "bergamot_session_view_version", Help: "View version in force."}),
	}
	if r != nil {
		r.MustRegister(m.opened, m.failures, m.config, m.view)
	}
	return m
}
