package session

import (
	"context"
	"fmt"

	"github.com/prometheus/client_golang/prometheus"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/objects"
)

// fetch gets the leader's view and puts it in force. It fails when the view is
// older than the renewal announced, so that the validity is not extended on it.
func (s *Session) fetch(ctx context.Context, want *apiv1.SessionRenewal) error {
	view, err := s.o.Control.GetView(ctx, &apiv1.GetView{HaveConfigVersion: s.haveConfig()})
	if err != nil {
		return fmt.Errorf("fetch view: %w", err)
	}
	if view.Version < want.ViewVersion || view.ConfigVersion < want.ConfigVersion {
		return fmt.Errorf("fetched view %d with configuration %d is older than announced", view.Version, view.ConfigVersion)
	}
	snap, err := s.accept(view)
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
	s.acknowledge(view)
	return nil
}

// accept checks the versions and builds the snapshot. A configuration never
// goes back within a process, a view never within a session.
func (s *Session) accept(view *apiv1.View) (*Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if view.Version < s.viewVersion {
		return nil, fmt.Errorf("view version %d is older than %d in force", view.Version, s.viewVersion)
	}
	if view.ConfigVersion < s.configVersion {
		return nil, fmt.Errorf("configuration version %d is older than %d in force", view.ConfigVersion, s.configVersion)
	}
	old := s.snapshot.Load()
	if view.Config != nil {
		return &Snapshot{View: view, Index: objects.NewIndex(view.Config.Objects)}, nil
	}
	if view.ConfigVersion != old.View.GetConfigVersion() {
		return nil, fmt.Errorf("view %d lacks configuration version %d", view.Version, view.ConfigVersion)
	}
	view.Config = old.View.GetConfig()
	return &Snapshot{View: view, Index: old.Index}, nil
}

func (s *Session) haveConfig() uint64 {
	return s.Snapshot().View.GetConfigVersion()
}

func (s *Session) acknowledge(view *apiv1.View) {
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
