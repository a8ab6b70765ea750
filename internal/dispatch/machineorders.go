package dispatch

import (
	"maps"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// maxPendingOrders bounds the orders that the provider has not answered yet.
	maxPendingOrders = 64
	// burstDivisor divides the orders per second into the largest burst.
	burstDivisor = 4
)

// machineAnswer is the result of an order for a machine.
type machineAnswer struct {
	call machineCall
	err  error
}

// machineOrders limits the rate and the number of orders to the machine provider
// (to move a machine to another pool or take it down for maintenance), and
// admits one order for a machine at a time.
type machineOrders struct {
	limiter *rate.Limiter

	mu sync.Mutex
	// pending holds the ids of machines that are locked, or have an order that is
	// unanswered or whose answer takeAnswers has not returned yet.
	pending map[string]bool
	// answers are those that takeAnswers has not returned yet.
	answers []machineAnswer
}

// newMachineOrders returns a limit of perSecond orders per second, or of
// maxPendingOrders alone when perSecond is zero.
func newMachineOrders(perSecond int) *machineOrders {
	limit, burst := rate.Limit(perSecond), max(perSecond/burstDivisor, 1)
	if perSecond == 0 {
		limit, burst = rate.Inf, maxPendingOrders
	}
	return &machineOrders{limiter: rate.NewLimiter(limit, burst), pending: map[string]bool{}}
}

// limiterTime converts a reading of the boot clock for the limiter, which only
// compares times with each other.
func limiterTime(now time.Duration) time.Time { return time.Unix(0, int64(now)) }

// available returns how many orders may be sent now.
func (o *machineOrders) available(now time.Duration) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	free := maxPendingOrders - len(o.pending)
	return max(min(free, int(o.limiter.TokensAt(limiterTime(now)))), 0)
}

// tryBegin records that an order for a machine is about to be sent. It returns
// false and records nothing when the order must wait.
func (o *machineOrders) tryBegin(machine string, now time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.pending) >= maxPendingOrders || o.pending[machine] || !o.limiter.AllowN(limiterTime(now), 1) {
		return false
	}
	o.pending[machine] = true
	return true
}

// recordAnswer records the answer to an order that tryBegin began. The machine stays
// pending until takeAnswers returns the answer: a round that has not handled the
// answer would repeat a failed order at once, or trust a list of machines that is
// older than the order.
func (o *machineOrders) recordAnswer(a machineAnswer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.answers = append(o.answers, a)
}

// takeAnswers returns the answers that arrived since its last call, and ends their
// orders.
func (o *machineOrders) takeAnswers() []machineAnswer {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := o.answers
	o.answers = nil
	for _, a := range out {
		delete(o.pending, a.call.machine)
	}
	return out
}

// isPending reports whether a machine has an order whose answer is not handled, or is
// locked.
func (o *machineOrders) isPending(machine string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.pending[machine]
}

// pendingMachines returns the machines that have an order whose answer is not handled,
// or are locked, in no order.
func (o *machineOrders) pendingMachines() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Collect(maps.Keys(o.pending))
}

// tryLock prevents orders for a machine until unlock. It returns false when the
// machine has an order whose answer is not handled, or is locked already.
func (o *machineOrders) tryLock(machine string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.pending[machine] {
		return false
	}
	o.pending[machine] = true
	return true
}

// unlock permits orders for a machine that tryLock locked.
func (o *machineOrders) unlock(machine string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.pending, machine)
}
