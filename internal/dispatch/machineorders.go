package dispatch

import (
	"maps"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// maxOpenOrders bounds the orders that the platform has not answered yet.
	maxOpenOrders = 64
	// orderBurst: this fraction of a second's orders may leave at once.
	orderBurst = 4
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
	waiting map[string]bool
	answers []machineAnswer
}

func newMachineOrders(perSecond int) *machineOrders {
	limit, burst := rate.Limit(perSecond), max(perSecond/orderBurst, 1)
	if perSecond == 0 {
		limit, burst = rate.Inf, maxOpenOrders
	}
	return &machineOrders{limiter: rate.NewLimiter(limit, burst), waiting: map[string]bool{}}
}

// limiterTime converts a time of the boot clock for the limiter, which only
// compares.
func limiterTime(now time.Duration) time.Time { return time.Unix(0, int64(now)) }

// room returns how many orders may leave now.
func (o *machineOrders) room(now time.Duration) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	free := maxOpenOrders - len(o.waiting)
	return max(min(free, int(o.limiter.TokensAt(limiterTime(now)))), 0)
}

// begin notes an order that is about to leave; false when it must wait.
func (o *machineOrders) begin(machine string, now time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.waiting) >= maxOpenOrders || o.waiting[machine] || !o.limiter.AllowN(limiterTime(now), 1) {
		return false
	}
	o.waiting[machine] = true
	return true
}

func (o *machineOrders) answered(a machineAnswer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.waiting, a.call.machine)
	o.answers = append(o.answers, a)
}

// take returns the answers that came since the last call.
func (o *machineOrders) take() []machineAnswer {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := o.answers
	o.answers = nil
	return out
}

// open tells that an order for a machine is not answered yet.
func (o *machineOrders) open(machine string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.waiting[machine]
}

// machines lists those with an order that is not answered yet.
func (o *machineOrders) machines() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Collect(maps.Keys(o.waiting))
}

// hold keeps orders for a machine back until release; false when one is on its
// way.
func (o *machineOrders) hold(machine string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.waiting[machine] {
		return false
	}
	o.waiting[machine] = true
	return true
}

func (o *machineOrders) release(machine string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.waiting, machine)
}
