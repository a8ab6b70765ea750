package soak

import (
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// faults strikes the processes and links of a site from outside, by a seed.
// Faults come in series and overlap; restarts follow each other.
type faults struct {
	s    *site
	rand *rand.Rand
	wg   sync.WaitGroup
	log  func(format string, args ...any)

	mu sync.Mutex
	// busy cores and fronts are struck by a fault already.
	busy map[*proc]bool
	// wiped tells that a core lost its data and may not have caught up.
	wiped time.Time
}

// catchUp is how long a core that lost its data counts as lost.
const catchUp = 6 * time.Second

func (f *faults) run(stop <-chan struct{}) {
	kinds := []func(){
		f.killCore, f.pauseCore, f.stopCore, f.killCore, f.wipeCore, f.killAllCores, f.strikeFront, f.reload,
		f.crashMinion, f.greyMinion, f.crashMinion, f.link, f.link, f.link, f.reset,
	}
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

// take marks a process as struck; false when it is already.
func (f *faults) take(p *proc) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.busy[p] {
		return false
	}
	f.busy[p] = true
	return true
}

func (f *faults) release(p *proc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.busy, p)
}

func (f *faults) pick(list []*proc) *proc { return list[f.rand.IntN(len(list))] }

func (f *faults) seconds(most int) time.Duration {
	return time.Duration(f.rand.IntN(most*1000)) * time.Millisecond
}

// strike carries out a fault on a process in the background; undo ends it.
func (f *faults) strike(what string, p *proc, d time.Duration, do, undo func()) {
	if !f.take(p) {
		return
	}
	f.log("%s %s for %v", what, p.name, d)
	f.s.t.disturb(time.Now().Add(d + 2*time.Second))
	f.wg.Go(func() {
		defer f.release(p)
		do()
		time.Sleep(d)
		undo()
		f.s.t.disturb(time.Now())
	})
}

func (f *faults) restart(p *proc) {
	if err := p.start(); err != nil {
		f.s.t.wrong("%s does not start: %v", p.name, err)
	}
}

func (f *faults) killCore() {
	p := f.pick(f.s.cores)
	f.strike("kill", p, f.seconds(3), func() { p.stop(syscall.SIGKILL) }, func() { f.restart(p) })
}

func (f *faults) stopCore() {
	p := f.pick(f.s.cores)
	f.strike("stop", p, f.seconds(2), func() { p.stop(syscall.SIGTERM) }, func() { f.restart(p) })
}

func (f *faults) pauseCore() {
	p := f.pick(f.s.cores)
	f.strike("pause", p, f.seconds(5), func() { p.signal(syscall.SIGSTOP) }, func() { p.signal(syscall.SIGCONT) })
}

// killAllCores keeps the data: nothing acknowledged may be lost.
func (f *faults) killAllCores() {
	d := f.seconds(2)
	for _, p := range f.s.cores {
		f.strike("kill", p, d, func() { p.stop(syscall.SIGKILL) }, func() { f.restart(p) })
	}
}

// wipeCore takes a core's data while no other core is struck: two disks may be
// lost, and a core that is down counts as one.
func (f *faults) wipeCore() {
	f.mu.Lock()
	allowed := len(f.busy) == 0 && time.Since(f.wiped) > catchUp
	if allowed {
		f.wiped = time.Now()
	}
	f.mu.Unlock()
	if !allowed {
		return
	}
	p := f.pick(f.s.cores)
	f.strike("wipe", p, f.seconds(2), func() {
		p.stop(syscall.SIGKILL)
		if err := os.RemoveAll(f.s.dataOf(p)); err != nil {
			f.log("data of %s cannot be removed: %v", p.name, err)
		}
	}, func() { f.restart(p) })
}

func (f *faults) strikeFront() {
	p := f.pick(f.s.fronts)
	d := f.seconds(3)
	switch f.rand.IntN(3) {
	case 0:
		f.strike("kill", p, d, func() { p.stop(syscall.SIGKILL) }, func() { f.restart(p) })
	case 1:
		f.strike("stop", p, d, func() { p.stop(syscall.SIGTERM) }, func() { f.restart(p) })
	default:
		f.strike("pause", p, d, func() { p.signal(syscall.SIGSTOP) }, func() { p.signal(syscall.SIGCONT) })
	}
}

// reload announces changed settings to every process.
func (f *faults) reload() {
	f.log("reload all")
	for _, p := range f.s.cores {
		p.signal(syscall.SIGHUP)
	}
	for _, p := range f.s.fronts {
		p.signal(syscall.SIGHUP)
	}
}

// crashMinion ends a minion's life; the next one begins under the same id and at
// the same address.
func (f *faults) crashMinion() {
	i := f.rand.IntN(len(f.s.minions))
	m, d := f.s.minions[i], f.seconds(3)
	f.s.cloud.mu.Lock()
	defer f.s.cloud.mu.Unlock()
	m.mu.Lock()
	up := m.up
	m.mu.Unlock()
	if !up || f.s.cloud.state[i] != "" {
		return
	}
	f.log("crash %s for %v", m.id, d)
	f.s.cloud.state[i] = "down"
	m.crash()
	f.wg.Go(func() {
		time.Sleep(d)
		f.s.cloud.mu.Lock()
		defer f.s.cloud.mu.Unlock()
		f.s.cloud.state[i] = ""
		m.begin()
	})
}

// greyMinion makes a minion fail what it runs.
func (f *faults) greyMinion() {
	m, d := f.s.minions[f.rand.IntN(len(f.s.minions))], f.seconds(4)
	f.log("grey %s for %v", m.id, d)
	m.mu.Lock()
	m.grey = time.Now().Add(d)
	m.mu.Unlock()
}

// link makes one link faulty for a while.
func (f *faults) link() {
	links := f.s.links()
	l := links[f.rand.IntN(len(links))]
	kind := linkFault(1 + f.rand.IntN(int(linkFaults)-1))
	d := f.seconds(6)
	f.log("link to %s fault %d for %v", l.target, kind, d)
	f.s.t.disturb(time.Now().Add(d + 5*time.Second))
	l.begin(kind, 5*time.Second)
	f.wg.Go(func() {
		time.Sleep(d)
		l.begin(linkSound, 0)
		l.reset()
	})
}

func (f *faults) reset() {
	links := f.s.links()
	f.log("reset connections")
	f.s.t.disturb(time.Now())
	for _, l := range links {
		if f.rand.IntN(3) == 0 {
			l.reset()
		}
	}
}

// dataOf is the data folder of a core.
func (s *site) dataOf(p *proc) string {
	return s.dir + "/data-" + strings.TrimPrefix(p.name, "core-")
}
