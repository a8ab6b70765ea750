package daemon

import (
	"errors"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
)

// Millis converts a setting in milliseconds to a duration.
func Millis(v uint32) time.Duration { return time.Duration(v) * time.Millisecond }

// Serve runs serve, which serves the named listener, and logs its error unless
// the server was shut down.
func Serve(log *logrus.Entry, listener string, serve func() error) {
	if err := serve(); err != nil && !errors.Is(err, http.ErrServerClosed) {
		log.WithError(err).WithField("listener", listener).Error("server of the listener failed")
	}
}
