package dispatch

import (
	"maps"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// maxPendingOrders bounds the orders that the platform has not answered yet.
	maxPendingOrders = 64
	// burstDivisor: this fraction of a second's orders may leave at once.
	burstDivisor = 4
)

// machineAnswer is how an order ended.
type machineAnswer struct {
	call machineCall
	err  error
}

// machineOrders holds the orders that are on their way to the platform.
type machineOrders struct {
	limiter *rate.Limiter

	mu      sync.Mutex
	pending map[string]bool
	answers []machineAnswer
}

func newMachineOrders(perSecond int) *machineOrders {
	limit, burst := rate.Limit(perSecond), max(perSecond/burstDivisor, 1)
	if perSecond == 0 {
		limit, burst = rate.Inf, maxPendingOrders
	}
	return &machineOrders{limiter: rate.NewLimiter(limit, burst), pending: map[string]bool{}}
}

// limiterTime converts a time of the boot clock for the limiter, which only
// compares.
func limiterTime(now time.Duration) time.Time { return time.Unix(0, int64(now)) }

// available returns how many orders may leave now.
func (o *machineOrders) available(now time.Duration) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	free := maxPendingOrders - len(o.pending)
	return max(min(free, int(o.limiter.TokensAt(limiterTime(now)))), 0)
}

// tryBegin notes an order that is about to leave; false when it must wait.
func (o *machineOrders) tryBegin(machine string, now time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.pending) >= maxPendingOrders || o.pending[machine] || !o.limiter.AllowN(limiterTime(now), 1) {
		return false
	}
	o.pending[machine] = true
	return true
}

func (o *machineOrders) recordAnswer(a machineAnswer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.pending, a.call.machine)
	o.answers = append(o.answers, a)
}

// take returns the answers that came since the last call.
func (o *machineOrders) takeAnswers() []machineAnswer {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := o.answers
	o.answers = nil
	return out
}

// isPending tells that an order for a machine is not answered yet.
func (o *machineOrders) isPending(machine string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.pending[machine]
}

// pendingMachines lists those with an order that is not answered yet.
func (o *machineOrders) pendingMachines() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Collect(maps.Keys(o.pending))
}

// tryLock keeps orders for a machine back until release; false when one is on its
// way.
func (o *machineOrders) tryLock(machine string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.pending[machine] {
		return false
	}
	o.pending[machine] = true
	return true
}

func (o *machineOrders) unlock(machine string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.pending, machine)
}
