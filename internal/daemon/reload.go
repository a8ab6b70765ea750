package daemon

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"bergamotdrum.example/bergamotdrum/internal/settings"
)

// reloadInterval is how often the settings file is compared with what is in
// use; the file may change without a signal.
const reloadInterval = time.Second

// SettingsReloader describes how a daemon follows its settings file.
type SettingsReloader[S proto.Message] struct {
	Path, Section string
	// New returns a message to decode into.
	New func() S
	// Apply takes over what may change while the process runs.
	Apply func(S)
	Log   *logrus.Entry
}

// Run applies each valid change of the file until ctx ends. An invalid file is
// logged and changes nothing.
func (r SettingsReloader[S]) Run(ctx context.Context) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	current, err := os.ReadFile(r.Path)
	if err != nil {
		r.Log.WithError(err).Warn("settings file cannot be read; its next version is taken")
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			r.Log.Info("asked to reload the settings")
		case <-ticker.C:
		}
		current = r.check(current)
	}
}

func (r SettingsReloader[S]) check(current []byte) []byte {
	data, err := os.ReadFile(r.Path)
	if err != nil {
		r.Log.WithError(err).Warn("settings file cannot be read; the settings in use stay")
		return current
	}
	if bytes.Equal(data, current) {
		return current
	}
	next := r.New()
	if err := settings.JoinErrors(settings.LoadBytes(r.Path, data, r.Section, next)); err != nil {
		r.Log.WithError(err).Error("changed settings are refused; those in use stay")
		return data
	}
	r.Apply(next)
	r.Log.Info("settings reloaded")
	return data
}
