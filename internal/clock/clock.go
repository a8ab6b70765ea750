// Package clock provides the monotonic time source of leases and sessions.
package clock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Clock is a source of monotonic time.
type Clock interface {
	// Now returns the time since an arbitrary fixed point. It never goes back.
	Now() time.Duration
}

// Boot is the clock of production code. It reads CLOCK_BOOTTIME, which keeps running
// while a VM is suspended. The monotonic clock of package time reads
// CLOCK_MONOTONIC, which stops meanwhile, so that leases and sessions would still
// seem valid after a VM was resumed.
type Boot struct{}

// Now returns the time since the system booted, including suspended time.
func (Boot) Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Fake is a clock for tests. It starts at zero and moves only with Advance. Its
// methods may be called concurrently.
type Fake struct {
	mu  sync.Mutex
	now time.Duration
}

// Now returns the current time of the fake clock.
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
