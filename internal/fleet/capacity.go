package fleet

import (
	"cmp"
	"slices"
	"strings"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

const (
	// milli is the number of milli-VMs in a VM, and the scale of fractions in
	// integer arithmetic.
	milli = 1000
	// defaultMoveCost is the smallest shortage, in milli-VMs, for which a VM is moved
	// by default. A move takes a VM out of use for a while; for a smaller shortage
	// that costs more than the move gains.
	defaultMoveCost = 100
	// maxMovesPerRound bounds the moves planned in one round, a call of PlanCapacity.
	maxMovesPerRound = 64
)

// CapacityInput is the state for which PlanCapacity plans moves.
type CapacityInput struct {
	WaveInput
	// Demand is the work running and waiting per pool, in milli-VMs. It should
	// be smoothed over at least the duration of a move.
	Demand map[string]uint64
	// MoveCost is the smallest shortage, in milli-VMs, for which a VM is moved. 0
	// means the default of 100.
	MoveCost uint64
}

// poolState is one pool as it will be when the moves in progress are done.
type poolState struct {
	pool   *apiv1.Pool
	policy *apiv1.CapacityPolicy // nil if the pool has none
	demand uint64                // in milli-VMs
	// vms are the available VMs now in the pool, which may be moved out.
	vms []*apiv1.Vm
	// up counts vms and the VMs that are moving in, and zones counts them per
	// availability zone.
	up    uint64
	zones map[string]uint64
	// remaining counts the VMs now in the pool, available or not, that no move
	// takes away.
	remaining uint32
	// lastMovedMS is the latest time, in Unix milliseconds, at which one of the
	// remaining VMs was moved into the pool.
	lastMovedMS int64
}

// capacityPlanner plans one round of moves. Its counts are updated with each
// planned move, so that the moves of a round fit together.
type capacityPlanner struct {
	in    CapacityInput
	spare *poolState // nil if no pool is spare
	pools map[string]*poolState
	names []string // of pools, sorted
	down  map[string]*downCount
	// planned holds the ids of the VMs with a planned move.
	planned map[string]bool
	ids     operationIDs
	intents []*apiv1.Intent
}

// PlanCapacity returns intents (recorded operations) to move VMs from the spare
// pool, which keeps VMs for other pools, to pools with a shortage, from pools with
// surplus VMs to the spare pool, and from pools that no longer exist to the spare
// pool. It returns nil if no pool is spare. The gap between the thresholds for
// growing and shrinking, the move cooldown and the cost of a move keep VMs from
// moving back and forth.
func PlanCapacity(in CapacityInput) []*apiv1.Intent {
	if in.MoveCost == 0 {
		in.MoveCost = defaultMoveCost
	}
	c := newCapacityPlanner(in)
	if c.spare == nil {
		return nil
	}
	c.moveOrphans()
	c.grow()
	for _, name := range c.names {
		c.shrink(c.pools[name])
	}
	return c.intents
}

func newCapacityPlanner(in CapacityInput) *capacityPlanner {
	c := &capacityPlanner{in: in, pools: map[string]*poolState{}, down: map[string]*downCount{}, planned: map[string]bool{}, ids: in.operationIDs()}
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
		c.countVM(vm, moves[vm.OperationId])
	}
	return c
}

// countVM adds vm to the counts of its pool and, if move is not nil, of the pool
// to which move takes it.
func (c *capacityPlanner) countVM(vm *apiv1.Vm, move *apiv1.Intent) {
	s, ok := c.pools[vm.Pool]
	if ok && !Available(vm, c.in.Index) {
		c.down[vm.Pool].add(vm)
	}
	if move != nil {
		if to, ok := c.pools[move.ToPool]; ok && !vm.Down && c.in.Index.IsZoneIn(vm.AvailabilityZone) {
			to.addVM(vm)
		}
		return
	}
	if !ok {
		return
	}
	s.remaining++
	s.lastMovedMS = max(s.lastMovedMS, vm.LastMovedUnixMs)
	if Available(vm, c.in.Index) {
		s.vms = append(s.vms, vm)
		s.addVM(vm)
	}
}

// addVM counts vm as up in s. It leaves vms alone, because a VM that is still
// moving in cannot be moved out.
func (s *poolState) addVM(vm *apiv1.Vm) {
	s.up++
	s.zones[vm.AvailabilityZone]++
}

// removeVM takes an available VM of the pool, which is about to move out, from all
// counts.
func (s *poolState) removeVM(vm *apiv1.Vm) {
	s.up--
	s.remaining--
	s.zones[vm.AvailabilityZone]--
	s.vms = slices.DeleteFunc(s.vms, func(v *apiv1.Vm) bool { return v == vm })
}

// upAfterZoneLoss returns how many VMs are left if the availability zone with the
// most VMs of the pool fails.
func (s *poolState) upAfterZoneLoss() uint64 {
	largest := uint64(0)
	for _, n := range s.zones {
		largest = max(largest, n)
	}
	return s.up - largest
}

// target returns the demand plus the buffer of the policy, in milli-VMs.
func (s *poolState) target() uint64 {
	return s.demand * uint64(100+s.policy.BufferPercent) / 100
}

// shortage returns how many milli-VMs the pool is missing to reach its target and to
// bring its utilization down to GrowAtPercent. The shortage is 0 while the
// utilization doesn't exceed GrowAtPercent.
func (s *poolState) shortage() uint64 {
	up := s.up * milli
	if s.demand*100 <= up*uint64(s.policy.GrowAtPercent) {
		return 0
	}
	return saturatingSub(max(s.target(), s.demand*100/uint64(max(s.policy.GrowAtPercent, 1))), up)
}

// reserveShortage returns how many milli-VMs would be missing for the demand if
// the availability zone with the most VMs failed, or 0 if the policy asks for no
// such reserve.
func (s *poolState) reserveShortage() uint64 {
	if !s.policy.ReserveZoneLoss {
		return 0
	}
	return saturatingSub(s.demand, s.upAfterZoneLoss()*milli)
}

// saturatingSub returns a-b, or 0 if b is larger.
func saturatingSub(a, b uint64) uint64 {
	if b >= a {
		return 0
	}
	return a - b
}

// moveOrphans moves VMs whose pool was removed from the configuration to the
// spare pool.
func (c *capacityPlanner) moveOrphans() {
	for _, vm := range c.in.VMs {
		if _, ok := c.pools[vm.Pool]; !ok && vm.OperationId == "" && len(c.intents) < maxMovesPerRound {
			c.addMove(vm, c.spare)
		}
	}
}

// grow moves one spare VM at a time to the pool with the most urgent shortage. A
// pool for which no spare VM is suitable is skipped from then on.
func (c *capacityPlanner) grow() {
	noCandidate := map[string]bool{}
	for len(c.intents) < maxMovesPerRound {
		s := c.poolToGrow(noCandidate)
		if s == nil {
			return
		}
		if vm := c.selectIncoming(s); vm != nil {
			c.move(vm, c.spare, s)
		} else {
			noCandidate[s.pool.Name] = true
		}
	}
}

// poolToGrow returns the pool with the most urgent shortage of at least the cost
// of a move, or nil if there is none outside noCandidate.
func (c *capacityPlanner) poolToGrow(noCandidate map[string]bool) *poolState {
	var best *poolState
	var highest uint64
	for _, name := range c.names {
		s := c.pools[name]
		if s.policy == nil || s == c.spare || noCandidate[name] {
			continue
		}
		// The shortages are in thousandths of the demand. A reserve shortage is
		// below 1000, so a shortage for present work always comes before the
		// reserve for a zone failure that may never happen.
		urgency := uint64(0)
		if short := s.shortage(); short >= c.in.MoveCost {
			urgency = milli*milli + short*milli/(s.demand+1)
		} else if s.reserveShortage() >= c.in.MoveCost {
			urgency = s.reserveShortage() * milli / (s.demand + 1)
		}
		if urgency > highest {
			best, highest = s, urgency
		}
	}
	return best
}

// selectIncoming returns the spare VM to move into s: the least loaded one, and
// among these one in the availability zone where s has the fewest VMs. It returns
// nil if no spare VM is suitable.
func (c *capacityPlanner) selectIncoming(s *poolState) *apiv1.Vm {
	var best *apiv1.Vm
	for _, vm := range c.spare.vms {
		if !c.canMove(vm, c.spare, s.policy) || !s.hasUseFor(vm, c.in.MoveCost) {
			continue
		}
		if best == nil || c.compare(vm, best, s, 1) < 0 {
			best = vm
		}
	}
	return best
}

// hasUseFor reports whether vm would reduce a shortage of s. A VM in the zone
// with the most VMs adds nothing to the reserve for the failure of that zone.
func (s *poolState) hasUseFor(vm *apiv1.Vm, moveCost uint64) bool {
	if s.shortage() >= moveCost {
		return true
	}
	largest := s.up - s.upAfterZoneLoss()
	return s.zones[vm.AvailabilityZone] < largest || largest == 0
}

// shrink moves VMs back to the spare pool while the utilization is below
// ShrinkAtPercent and the remaining VMs are enough, so that the pool doesn't have
// to grow again. shrink does nothing before the move cooldown after the last VM that
// moved in is over.
func (c *capacityPlanner) shrink(s *poolState) {
	if s.policy == nil || s == c.spare || c.in.NowMS-s.lastMovedMS < int64(s.policy.MoveCooldownMs) {
		return
	}
	for len(c.intents) < maxMovesPerRound && s.demand*100 < s.up*milli*uint64(s.policy.ShrinkAtPercent) {
		vm := c.selectOutgoing(s)
		if vm == nil {
			return
		}
		c.move(vm, s, c.spare)
	}
}

// selectOutgoing returns the VM to move out of s: the least loaded one, and among
// these one in the availability zone where s has the most VMs. It returns nil if
// no VM may leave.
func (c *capacityPlanner) selectOutgoing(s *poolState) *apiv1.Vm {
	var best *apiv1.Vm
	for _, vm := range s.vms {
		if !c.canMove(vm, s, s.policy) || !s.hasEnoughWithout(vm) {
			continue
		}
		if best == nil || c.compare(vm, best, s, -1) < 0 {
			best = vm
		}
	}
	return best
}

// hasEnoughWithout reports whether s would reach its target and have no shortage
// without vm.
func (s *poolState) hasEnoughWithout(vm *apiv1.Vm) bool {
	s.up--
	s.zones[vm.AvailabilityZone]--
	enough := s.up*milli >= s.target() && s.shortage() == 0 && s.reserveShortage() == 0
	s.up++
	s.zones[vm.AvailabilityZone]++
	return enough
}

// canMove reports whether vm may leave the pool from: the cooldown of the policy
// is over, no move of vm is planned yet, the pool has more than its MinVms left,
// and its availability budget (the most VMs of the pool, a zone or a rack that may
// be down at once) allows one more VM down. The replicated state checks MinVms and
// the budget again when the move is committed.
func (c *capacityPlanner) canMove(vm *apiv1.Vm, from *poolState, policy *apiv1.CapacityPolicy) bool {
	cooledDown := vm.LastMovedUnixMs == 0 || c.in.NowMS-vm.LastMovedUnixMs >= int64(policy.MoveCooldownMs)
	return cooledDown && !c.planned[vm.Id] && from.remaining > from.pool.MinVms &&
		c.down[vm.Pool].check(vm, budgetOf(vm.Pool, c.in.Index)) == nil
}

// compare orders VMs by load, then by the number of VMs that s has in their
// availability zone, ascending for sign 1 and descending for sign -1, then by id.
func (c *capacityPlanner) compare(a, b *apiv1.Vm, s *poolState, sign int) int {
	return cmp.Or(
		cmp.Compare(c.in.load(a.Id), c.in.load(b.Id)),
		sign*cmp.Compare(s.zones[a.AvailabilityZone], s.zones[b.AvailabilityZone]),
		strings.Compare(a.Id, b.Id),
	)
}

func (c *capacityPlanner) move(vm *apiv1.Vm, from, to *poolState) {
	c.down[vm.Pool].add(vm)
	from.removeVM(vm)
	to.addVM(vm)
	c.addMove(vm, to)
}

func (c *capacityPlanner) addMove(vm *apiv1.Vm, to *poolState) {
	c.planned[vm.Id] = true
	c.intents = append(c.intents, &apiv1.Intent{
		OperationId: c.ids.newID("move", vm.Id),
		Vm:          vm.Id, Kind: apiv1.IntentKind_INTENT_KIND_MOVE, FromPool: vm.Pool, ToPool: to.pool.Name,
	})
}
