package soak

import "time"

const (
	// unguardedPool is the number of the pool whose minions start what they are ordered
	// to start, also beyond their capacity.
	unguardedPool = 1
	// minionMemory is a minion's memory in MB, unless it has shrunk.
	minionMemory = 64_000
	// taskMemory is the memory of each task in MB.
	taskMemory = 100
	// roomGrace is how long a capacity that has shrunk still counts.
	roomGrace = contactTime + beatInterval
	// A minion shrinks to between one eighth and seven eighths of its room.
	shrinkParts = 8
	// maxShrinks is the largest number of minions that shrink at the same time by one
	// fault.
	maxShrinks = 3
)

// room is a minion's capacity from a moment on.
type room struct {
	since       time.Time
	cpu, memory int
}

// currentRoom returns the capacity that the minion has now. The caller holds mu.
func (m *minion) currentRoom() room {
	if len(m.rooms) == 0 {
		return room{cpu: m.cpu, memory: minionMemory}
	}
	return m.rooms[len(m.rooms)-1]
}

// countedRoom returns the largest capacity of the last roomGrace. The caller holds
// mu.
func (m *minion) countedRoom() room {
	if len(m.rooms) == 0 {
		return m.currentRoom()
	}
	widest := m.currentRoom()
	for i := len(m.rooms) - 1; i >= 0 && time.Since(m.rooms[i].since) < roomGrace; i-- {
		before := room{cpu: m.cpu, memory: minionMemory}
		if i > 0 {
			before = m.rooms[i-1]
		}
		widest.cpu, widest.memory = max(widest.cpu, before.cpu), max(widest.memory, before.memory)
	}
	return widest
}

// setRoom changes the capacity; the next heartbeat announces it.
func (m *minion) setRoom(cpu, memory int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rooms = append(m.rooms, room{time.Now(), cpu, memory})
}

// fits reports whether a task with the given CPU fits into the room beside all that
// runs. The caller holds mu.
func (m *minion) fits(r room, cpu int) bool {
	return m.usedCPU+cpu <= r.cpu && (len(m.running)+1)*taskMemory <= r.memory
}

// guardsCapacity reports whether the minion refuses what exceeds its capacity. The
// caller holds mu.
func (m *minion) guardsCapacity() bool { return m.pool != poolName(unguardedPool) }

// checkRoom checks a start on a minion that does not guard its capacity against the
// rule LIMIT. A capacity that shrank within roomGrace counts in full. So does one
// that shrank at any time if the minion's link had a fault within contactTime, as
// the order may be late then. The caller holds mu.
func (m *minion) checkRoom(name string, cpu int) {
	if m.guardsCapacity() {
		return
	}
	counted, current := m.countedRoom(), m.currentRoom()
	if !m.link.isCalm(contactTime) {
		counted = room{cpu: m.cpu, memory: minionMemory}
	}
	m.checker.recordRoom(current.cpu < m.cpu || current.memory < minionMemory, !m.fits(current, cpu))
	if !m.fits(counted, cpu) && m.reportedRoom != current {
		m.reportedRoom = current // one violation for each change of the capacity is enough
		m.checker.addViolation("LIMIT: %s starts on %s with %d runs and CPU %d in use; its room is CPU %d and memory %d for %v, what counts is CPU %d and memory %d; in touch: %v",
			name, m.id, len(m.running), m.usedCPU, current.cpu, current.memory, time.Since(current.since), counted.cpu, counted.memory, m.inTouch())
	}
}

// recordRoom counts a start on a minion that does not guard its capacity.
func (c *checker) recordRoom(shrunk, over bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if shrunk {
		c.shrunkStarts++
	}
	if over {
		c.overRoomStarts++
	}
}

// shrinkMinions shrinks the CPU, the memory or both of up to maxShrinks minions for
// a while. The memory shrinks to a share of what a minion full of tasks needs, as
// the tasks take only a small part of it.
func (f *faultInjector) shrinkMinions() {
	for range 1 + f.rand.IntN(maxShrinks) {
		m, d := f.cluster.minions[f.rand.IntN(len(f.cluster.minions))], f.randomDuration(9)
		part, kind := 1+f.rand.IntN(shrinkParts-1), f.rand.IntN(3)
		cpu, memory := m.cpu, minionMemory
		if kind != 0 {
			cpu = m.cpu * part / shrinkParts
		}
		if kind != 1 {
			memory = m.cpu / 1000 * taskMemory * part / shrinkParts
		}
		f.log("shrink %s to CPU %d and memory %d for %v", m.link.target, cpu, memory, d)
		f.cluster.checker.mu.Lock()
		f.cluster.checker.shrinks++
		f.cluster.checker.mu.Unlock()
		m.setRoom(cpu, memory)
		f.wg.Go(func() {
			time.Sleep(d)
			m.setRoom(m.cpu, minionMemory)
		})
	}
}
