package fleet

import (
	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/objects"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

// downCount counts the VMs of one pool that are not available, for any cause.
type downCount struct {
	pool  uint32
	zones map[string]uint32
	// racks is keyed by zone and rack, because rack names may repeat between zones.
	racks map[rackKey]uint32
}

type rackKey struct{ zone, rack string }

func rackOf(vm *apiv1.Vm) rackKey { return rackKey{vm.AvailabilityZone, vm.Rack} }

func countDown(vms []*apiv1.Vm, ix *objects.Index) *downCount {
	c := &downCount{zones: map[string]uint32{}, racks: map[rackKey]uint32{}}
	for _, vm := range vms {
		if !Available(vm, ix) {
			c.add(vm)
		}
	}
	return c
}

func (c *downCount) add(vm *apiv1.Vm) {
	c.pool++
	c.zones[vm.AvailabilityZone]++
	c.racks[rackOf(vm)]++
}

// check returns nil if the availability budget b (the most VMs of a pool, zone or
// rack that may be down at once) allows vm to be taken down in addition to the VMs
// counted, and an error with code BUDGET_EXCEEDED otherwise. A limit of 0 per zone
// or rack means no limit; a MaxDown of 0 allows no VM to be down.
func (c *downCount) check(vm *apiv1.Vm, b *apiv1.AvailabilityBudget) *result.Error {
	if c.pool >= b.MaxDown {
		return budgetExceeded("pool %s has %d VMs down of at most %d", vm.Pool, c.pool, b.MaxDown)
	}
	zone := c.zones[vm.AvailabilityZone]
	if b.MaxDownPerZone > 0 && zone >= b.MaxDownPerZone {
		return budgetExceeded("pool %s has %d VMs down in availability zone %s of at most %d",
			vm.Pool, zone, vm.AvailabilityZone, b.MaxDownPerZone)
	}
	rack := c.racks[rackOf(vm)]
	if b.MaxDownPerRack > 0 && rack >= b.MaxDownPerRack {
		return budgetExceeded("pool %s has %d VMs down in rack %s of at most %d", vm.Pool, rack, vm.Rack, b.MaxDownPerRack)
	}
	return nil
}

// budgetExceeded returns the error for a VM that must not leave service because
// of the availability budget or the minimum size of its pool.
func budgetExceeded(format string, args ...any) *result.Error {
	return result.NotRun(apiv1.ResultCode_RESULT_CODE_BUDGET_EXCEEDED, format, args...)
}

// checkBudget returns nil if the budget of vm's pool allows vm to be taken down now.
// A VM that is not available is already counted and uses no further budget.
func (s *State) checkBudget(vm *apiv1.Vm, ix *objects.Index) *result.Error {
	if !Available(vm, ix) {
		return nil
	}
	return countDown(s.InPool(vm.Pool), ix).check(vm, budgetOf(vm.Pool, ix))
}

// budgetOf returns the availability budget of the pool. For a pool or budget that
// does not exist it returns an empty budget, which allows no VM to be taken down.
func budgetOf(pool string, ix *objects.Index) *apiv1.AvailabilityBudget {
	if p, ok := ix.Pools[pool]; ok {
		if b, ok := ix.Budgets[p.AvailabilityBudget]; ok {
			return b
		}
	}
	return &apiv1.AvailabilityBudget{}
}
