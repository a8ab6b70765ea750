package daemon

import (
	"errors"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
)

// Millis converts a setting in milliseconds.
func Millis(v uint32) time.Duration { return time.Duration(v) * time.Millisecond }

// Serve runs a listener's server and logs why it ended, unless it was shut down.
func Serve(log *logrus.Entry, listener string, serve func() error) {
	if err := serve(); err != nil && !errors.Is(err, http.ErrServerClosed) {
		log.WithError(err).WithField("listener", listener).Error("listener ended")
	}
}
