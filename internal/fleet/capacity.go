package fleet

import (
	"cmp"
	"slices"
	"strings"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

const (
	// milli is the number of milli-VMs in a VM.
	milli = 1000
	// defaultMoveCost is the shortage in milli-VMs below which a move, which
	// takes a VM out of use for a while, costs more than it brings.
	defaultMoveCost = 100
	// maxMoves bounds the moves of one round.
	maxMoves = 64
)

// CapacityInput is the state that moves are planned for.
type CapacityInput struct {
	WaveInput
	// Demand per pool is the work running and waiting, in milli-VMs. It should
	// be smoothed over at least the time of a move.
	Demand map[string]uint64
	// MoveCost in milli-VMs, 0 for the default.
	MoveCost uint64
}

// poolState is one pool as it will be when the moves in progress are done.
type poolState struct {
	pool   *apiv1.Pool
	policy *apiv1.CapacityPolicy
	demand uint64
	// vms are in the pool and available; up includes moves on their way in.
	vms   []*apiv1.Vm
	up    uint64
	zones map[string]uint64
	// staying counts every VM that no move takes away.
	staying uint32
	movedMS int64
}

type capacity struct {
	in    CapacityInput
	spare *poolState
	pools map[string]*poolState
	names []string
	down  map[string]*downCount
	taken map[string]bool
	ids   operationIDs
	out   []*apiv1.Intent
}

// PlanCapacity returns moves from the spare pool to pools in need and back. The
// gap between the thresholds for growing and shrinking, the cooldown and the
// cost of a move keep VMs from going back and forth.
func PlanCapacity(in CapacityInput) []*apiv1.Intent {
	if in.MoveCost == 0 {
		in.MoveCost = defaultMoveCost
	}
	c := newCapacity(in)
	if c.spare == nil {
		return nil
	}
	c.collectOrphans()
	c.grow()
	for _, name := range c.names {
		c.shrink(c.pools[name])
	}
	return c.out
}

func newCapacity(in CapacityInput) *capacity {
	c := &capacity{in: in, pools: map[string]*poolState{}, down: map[string]*downCount{}, taken: map[string]bool{}, ids: in.operationIDs()}
	for _, p := range in.Index.Set.Pool {
		s := &poolState{pool: p, policy: in.Index.Policies[p.CapacityPolicy], demand: in.Demand[p.Name], zones: map[string]uint64{}}
		c.pools[p.Name] = s
		c.names = append(c.names, p.Name)
		c.down[p.Name] = countDown(nil, in.Index)
		if p.Spare && c.spare == nil {
			c.spare = s
		}
	}
	slices.Sort(c.names)
	moves := map[string]*apiv1.Intent{}
	for _, it := range in.Intents {
		if it.Kind == apiv1.IntentKind_INTENT_KIND_MOVE && !Finished(it.Phase) {
			moves[it.OperationId] = it
		}
	}
	for _, vm := range in.VMs {
		c.count(vm, moves[vm.OperationId])
	}
	return c
}

func (c *capacity) count(vm *apiv1.Vm, move *apiv1.Intent) {
	s, ok := c.pools[vm.Pool]
	if ok && !Available(vm, c.in.Index) {
		c.down[vm.Pool].add(vm)
	}
	if move != nil {
		if to, ok := c.pools[move.ToPool]; ok && !vm.Down && c.in.Index.IsZoneIn(vm.AvailabilityZone) {
			to.join(vm)
		}
		return
	}
	if !ok {
		return
	}
	s.staying++
	s.movedMS = max(s.movedMS, vm.LastMovedUnixMs)
	if Available(vm, c.in.Index) {
		s.vms = append(s.vms, vm)
		s.join(vm)
	}
}

func (s *poolState) join(vm *apiv1.Vm) {
	s.up++
	s.zones[vm.AvailabilityZone]++
}

func (s *poolState) leave(vm *apiv1.Vm) {
	s.up--
	s.staying--
	s.zones[vm.AvailabilityZone]--
	s.vms = slices.DeleteFunc(s.vms, func(v *apiv1.Vm) bool { return v == vm })
}

// survivors returns the VMs left when the largest availability zone is lost.
func (s *poolState) survivors() uint64 {
	largest := uint64(0)
	for _, n := range s.zones {
		largest = max(largest, n)
	}
	return s.up - largest
}

// target is the number of milli-VMs for the demand with its buffer.
func (s *poolState) target() uint64 {
	return s.demand * uint64(100+s.policy.BufferPercent) / 100
}

// shortage is how many milli-VMs are missing once the use exceeds the growing
// threshold, 0 below it.
func (s *poolState) shortage() uint64 {
	up := s.up * milli
	if s.demand*100 <= up*uint64(s.policy.GrowAtPercent) {
		return 0
	}
	return less(max(s.target(), s.demand*100/uint64(max(s.policy.GrowAtPercent, 1))), up)
}

// reserveShortage is how many milli-VMs would be missing with the largest zone
// lost.
func (s *poolState) reserveShortage() uint64 {
	if !s.policy.ReserveZoneLoss {
		return 0
	}
	return less(s.demand, s.survivors()*milli)
}

func less(a, b uint64) uint64 {
	if b >= a {
		return 0
	}
	return a - b
}

// collectOrphans moves VMs of pools that were removed from the configuration.
func (c *capacity) collectOrphans() {
	for _, vm := range c.in.VMs {
		if _, ok := c.pools[vm.Pool]; !ok && vm.OperationId == "" && len(c.out) < maxMoves {
			c.emit(vm, c.spare)
		}
	}
}

// grow gives one VM at a time to the pool with the largest need.
func (c *capacity) grow() {
	full := map[string]bool{}
	for len(c.out) < maxMoves {
		s := c.neediest(full)
		if s == nil {
			return
		}
		if vm := c.incoming(s); vm != nil {
			c.move(vm, c.spare, s)
		} else {
			full[s.pool.Name] = true
		}
	}
}

func (c *capacity) neediest(full map[string]bool) *poolState {
	var best *poolState
	var most uint64
	for _, name := range c.names {
		s := c.pools[name]
		if s.policy == nil || s == c.spare || full[name] {
			continue
		}
		// Work that waits now goes before work after a loss that may come.
		need := uint64(0)
		if short := s.shortage(); short >= c.in.MoveCost {
			need = milli*milli + short*milli/(s.demand+1)
		} else if s.reserveShortage() >= c.in.MoveCost {
			need = s.reserveShortage() * milli / (s.demand + 1)
		}
		if need > most {
			best, most = s, need
		}
	}
	return best
}

// incoming returns the VM of the spare pool that serves s best: an empty one, in
// the availability zone with the least capacity of s.
func (c *capacity) incoming(s *poolState) *apiv1.Vm {
	var best *apiv1.Vm
	for _, vm := range c.spare.vms {
		if !c.movable(vm, c.spare, s.policy) || !s.helps(vm, c.in.MoveCost) {
			continue
		}
		if best == nil || c.order(vm, best, s, 1) < 0 {
			best = vm
		}
	}
	return best
}

// helps reports whether vm brings s what it lacks. A VM in the largest zone
// adds nothing to the reserve for the loss of that zone.
func (s *poolState) helps(vm *apiv1.Vm, moveCost uint64) bool {
	if s.shortage() >= moveCost {
		return true
	}
	largest := s.up - s.survivors()
	return s.zones[vm.AvailabilityZone] < largest || largest == 0
}

// shrink returns VMs to the spare pool while the use stays below the shrinking
// threshold and nothing that remains would have to grow again.
func (c *capacity) shrink(s *poolState) {
	if s.policy == nil || s == c.spare || c.in.NowMS-s.movedMS < int64(s.policy.MoveCooldownMs) {
		return
	}
	for len(c.out) < maxMoves && s.demand*100 < s.up*milli*uint64(s.policy.ShrinkAtPercent) {
		vm := c.outgoing(s)
		if vm == nil {
			return
		}
		c.move(vm, s, c.spare)
	}
}

func (c *capacity) outgoing(s *poolState) *apiv1.Vm {
	var best *apiv1.Vm
	for _, vm := range s.vms {
		if !c.movable(vm, s, s.policy) || !s.enoughWithout(vm) {
			continue
		}
		if best == nil || c.order(vm, best, s, -1) < 0 {
			best = vm
		}
	}
	return best
}

func (s *poolState) enoughWithout(vm *apiv1.Vm) bool {
	s.up--
	s.zones[vm.AvailabilityZone]--
	enough := s.up*milli >= s.target() && s.shortage() == 0 && s.reserveShortage() == 0
	s.up++
	s.zones[vm.AvailabilityZone]++
	return enough
}

// movable verifies what the commit verifies, and the cooldown of the policy.
func (c *capacity) movable(vm *apiv1.Vm, from *poolState, policy *apiv1.CapacityPolicy) bool {
	cool := vm.LastMovedUnixMs == 0 || c.in.NowMS-vm.LastMovedUnixMs >= int64(policy.MoveCooldownMs)
	return cool && !c.taken[vm.Id] && from.staying > from.pool.MinVms &&
		c.down[vm.Pool].allows(vm, budgetOf(vm.Pool, c.in.Index)) == nil
}

// order prefers the least loaded VM, then the availability zone in which s has
// the least capacity (sign 1) or the most (sign -1), then the id.
func (c *capacity) order(a, b *apiv1.Vm, s *poolState, sign int) int {
	return cmp.Or(
		cmp.Compare(c.in.load(a.Id), c.in.load(b.Id)),
		sign*cmp.Compare(s.zones[a.AvailabilityZone], s.zones[b.AvailabilityZone]),
		strings.Compare(a.Id, b.Id),
	)
}

func (c *capacity) move(vm *apiv1.Vm, from, to *poolState) {
	c.down[vm.Pool].add(vm)
	from.leave(vm)
	to.join(vm)
	c.emit(vm, to)
}

func (c *capacity) emit(vm *apiv1.Vm, to *poolState) {
	c.taken[vm.Id] = true
	c.out = append(c.out, &apiv1.Intent{
		OperationId: c.ids.next("move", vm.Id),
		Vm:          vm.Id, Kind: apiv1.IntentKind_INTENT_KIND_MOVE, FromPool: vm.Pool, ToPool: to.pool.Name,
	})
}
