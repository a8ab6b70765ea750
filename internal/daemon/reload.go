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

// reloadInterval is the time between two checks of the settings file, which may
// change without a SIGHUP.
const reloadInterval = time.Second

// SettingsReloader applies changes of a settings file to a running daemon. It
// checks the file every second and on SIGHUP.
type SettingsReloader[S proto.Message] struct {
	// Path is the INI file, Section the section to read.
	Path, Section string
	// New returns an empty message to decode the section into.
	New func() S
	// Apply takes over those settings that can change while the process runs and
	// ignores the others. It is called with valid settings only.
	Apply func(S)
	Log   *logrus.Entry
}

// Run applies each valid change of the file until ctx ends. An invalid or
// unreadable file is logged, and the settings in use are kept.
func (r SettingsReloader[S]) Run(ctx context.Context) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	current, err := os.ReadFile(r.Path)
	if err != nil {
		r.Log.WithError(err).Warn("cannot read the settings file; its contents will be applied when it becomes readable")
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			r.Log.Info("SIGHUP received; checking the settings file")
		case <-ticker.C:
		}
		current = r.check(current)
	}
}

// check applies the file if it differs from current, and returns the contents to
// compare with next time. An invalid file is returned too, so that it is logged
// once only.
func (r SettingsReloader[S]) check(current []byte) []byte {
	data, err := os.ReadFile(r.Path)
	if err != nil {
		r.Log.WithError(err).Warn("cannot read the settings file; keeping the settings in use")
		return current
	}
	if bytes.Equal(data, current) {
		return current
	}
	next := r.New()
	if err := settings.JoinErrors(settings.LoadBytes(r.Path, data, r.Section, next)); err != nil {
		r.Log.WithError(err).Error("changed settings are invalid; keeping those in use")
		return data
	}
	r.Apply(next)
	r.Log.Info("settings reloaded")
	return data
}
