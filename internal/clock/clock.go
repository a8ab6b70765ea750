// Package clock provides the time source for leases and sessions.
package clock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells the time since an arbitrary fixed point. It never steps back.
type Clock interface {
	Now() time.Duration
}

// Boot reads CLOCK_BOOTTIME, which keeps running while a VM is suspended.
// Go's own monotonic clock reads CLOCK_MONOTONIC and stands still meanwhile,
// so a suspended VM would resume with leases that seem valid.
type Boot struct{}

// Now returns the time since boot.
func (Boot) Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Fake is a clock that tests advance by hand.
type Fake struct {
	mu  sync.Mutex
	now time.Duration
}

// Now returns the time set last.
func (f *Fake) Now() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Advance moves the clock forward by d.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now += d
}
