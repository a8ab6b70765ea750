package soak

import (
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// faultInjector injects random faults into the processes and links of a cluster
// from outside. The seed fixes their order; they may overlap, and a process may
// be restarted several times in a row.
type faultInjector struct {
	cluster *cluster
	rand    *rand.Rand
	wg      sync.WaitGroup
	log     func(format string, args ...any)

	mu sync.Mutex
	// affected holds the cores and fronts that have a fault now.
	affected map[*proc]bool
	// lastWipe is when a core last lost its data.
	lastWipe time.Time
}

// catchUpTime is how long a core that lost its data may need to get it back from
// the others; until then no other core's data is removed.
const catchUpTime = 6 * time.Second

// platformFaults returns the faults of processes, links and minions, some of them
// several times, so that they are drawn more often.
func (f *faultInjector) platformFaults() []func() {
	return []func(){
		f.killCore, f.pauseCore, f.stopCore, f.killCore, f.wipeCore, f.killAllCores, f.disruptFront, f.reloadSettings,
		f.crashMinion, f.failMinionRuns, f.crashMinion, f.disturbLink, f.disturbLink, f.disturbLink, f.resetConnections,
	}
}

// run injects faults of the given kinds at random intervals until stop is closed,
// and returns once the last fault is over.
func (f *faultInjector) run(stop <-chan struct{}, kinds []func()) {
	for {
		select {
		case <-stop:
			f.wg.Wait()
			return
		case <-time.After(time.Duration(200+f.rand.IntN(2500)) * time.Millisecond):
		}
		kinds[f.rand.IntN(len(kinds))]()
	}
}

// reserve marks a process as affected. It returns false if the process has a
// fault already.
func (f *faultInjector) reserve(p *proc) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.affected[p] {
		return false
	}
	f.affected[p] = true
	return true
}

func (f *faultInjector) release(p *proc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.affected, p)
}

func (f *faultInjector) pickProc(list []*proc) *proc { return list[f.rand.IntN(len(list))] }

func (f *faultInjector) randomDuration(maxSeconds int) time.Duration {
	return time.Duration(f.rand.IntN(maxSeconds*1000)) * time.Millisecond
}

// inject causes a fault on a process with do and ends it after d with undo, both
// in the background. It does nothing if the process has a fault already.
func (f *faultInjector) inject(kind string, p *proc, d time.Duration, do, undo func()) {
	if !f.reserve(p) {
		return
	}
	f.log("%s %s for %v", kind, p.name, d)
	f.cluster.checker.recordFault(time.Now().Add(d + 2*time.Second))
	f.wg.Go(func() {
		defer f.release(p)
		if p.role == coreRole {
			f.cluster.checker.coreFaultStarted()
			defer f.cluster.checker.coreFaultEnded()
		}
		do()
		time.Sleep(d)
		undo()
		f.cluster.checker.recordFault(time.Now())
	})
}

func (f *faultInjector) restart(p *proc) {
	if err := p.start(); err != nil {
		f.cluster.checker.addViolation("%s does not start: %v", p.name, err)
	}
}

func (f *faultInjector) killCore() {
	p := f.pickProc(f.cluster.cores)
	f.inject("kill", p, f.randomDuration(3), func() { p.stop(syscall.SIGKILL) }, func() { f.restart(p) })
}

func (f *faultInjector) stopCore() {
	p := f.pickProc(f.cluster.cores)
	f.inject("stop", p, f.randomDuration(2), func() { p.stop(syscall.SIGTERM) }, func() { f.restart(p) })
}

func (f *faultInjector) pauseCore() {
	p := f.pickProc(f.cluster.cores)
	f.inject("pause", p, f.randomDuration(5), func() { p.signal(syscall.SIGSTOP) }, func() { p.signal(syscall.SIGCONT) })
}

// killAllCores kills every core without a fault. The data folders remain, so
// nothing that was acknowledged may be lost.
func (f *faultInjector) killAllCores() {
	d := f.randomDuration(2)
	for _, p := range f.cluster.cores {
		f.inject("kill", p, d, func() { p.stop(syscall.SIGKILL) }, func() { f.restart(p) })
	}
}

// wipeCore kills a core and removes its data folder, unless another process has a
// fault. The platform tolerates the loss of two of the five disks, and a core
// that is down counts as a lost disk.
func (f *faultInjector) wipeCore() {
	f.mu.Lock()
	allowed := len(f.affected) == 0 && time.Since(f.lastWipe) > catchUpTime
	if allowed {
		f.lastWipe = time.Now()
	}
	f.mu.Unlock()
	if !allowed {
		return
	}
	p := f.pickProc(f.cluster.cores)
	f.inject("wipe", p, f.randomDuration(2), func() {
		p.stop(syscall.SIGKILL)
		if err := os.RemoveAll(f.cluster.dataFolder(p)); err != nil {
			f.log("removing the data of %s failed: %v", p.name, err)
		}
	}, func() { f.restart(p) })
}

// disruptFront kills, stops or pauses a front.
func (f *faultInjector) disruptFront() {
	p := f.pickProc(f.cluster.fronts)
	d := f.randomDuration(3)
	switch f.rand.IntN(3) {
	case 0:
		f.inject("kill", p, d, func() { p.stop(syscall.SIGKILL) }, func() { f.restart(p) })
	case 1:
		f.inject("stop", p, d, func() { p.stop(syscall.SIGTERM) }, func() { f.restart(p) })
	default:
		f.inject("pause", p, d, func() { p.signal(syscall.SIGSTOP) }, func() { p.signal(syscall.SIGCONT) })
	}
}

// reloadSettings makes every process read its settings again.
func (f *faultInjector) reloadSettings() {
	f.log("reload the settings of all processes")
	for _, p := range f.cluster.cores {
		p.signal(syscall.SIGHUP)
	}
	for _, p := range f.cluster.fronts {
		p.signal(syscall.SIGHUP)
	}
}

// crashMinion crashes a minion. Its next incarnation starts later under the same
// id and at the same address.
func (f *faultInjector) crashMinion() {
	i := f.rand.IntN(len(f.cluster.minions))
	m, d := f.cluster.minions[i], f.randomDuration(3)
	f.cluster.provider.mu.Lock()
	defer f.cluster.provider.mu.Unlock()
	m.mu.Lock()
	up := m.up
	m.mu.Unlock()
	if !up || f.cluster.provider.state[i] != "" {
		return
	}
	f.log("crash %s for %v", m.id, d)
	f.cluster.provider.state[i] = "down"
	m.crash(endCrashedByFault)
	f.wg.Go(func() {
		time.Sleep(d)
		f.cluster.provider.mu.Lock()
		defer f.cluster.provider.mu.Unlock()
		f.cluster.provider.state[i] = ""
		m.startIncarnation()
	})
}

// failMinionRuns makes the runs on a minion end as failed for a while, although
// the minion answers all requests.
func (f *faultInjector) failMinionRuns() {
	m, d := f.cluster.minions[f.rand.IntN(len(f.cluster.minions))], f.randomDuration(4)
	f.log("fail runs on %s for %v", m.id, d)
	m.mu.Lock()
	m.failUntil = time.Now().Add(d)
	m.mu.Unlock()
}

// disturbLink gives a random link a fault for a while. It resets the connections
// at the end, as some of them may have lost bytes.
func (f *faultInjector) disturbLink() {
	links := f.cluster.allLinks()
	l := links[f.rand.IntN(len(links))]
	kind := linkFault(1 + f.rand.IntN(int(numLinkFaults)-1))
	d := f.randomDuration(6)
	f.log("link to %s fault %d for %v", l.target, kind, d)
	f.cluster.checker.recordFault(time.Now().Add(d + 5*time.Second))
	l.setFault(kind, 5*time.Second)
	f.wg.Go(func() {
		time.Sleep(d)
		l.setFault(linkHealthy, 0)
		l.reset()
	})
}

// resetConnections resets the open connections of about a third of the links.
func (f *faultInjector) resetConnections() {
	links := f.cluster.allLinks()
	f.log("reset connections")
	f.cluster.checker.recordFault(time.Now())
	for _, l := range links {
		if f.rand.IntN(3) == 0 {
			l.recordReset()
			l.reset()
		}
	}
}

// dataFolder returns the data folder of a core.
func (c *cluster) dataFolder(p *proc) string {
	return c.dir + "/data-" + strings.TrimPrefix(p.name, "core-")
}
