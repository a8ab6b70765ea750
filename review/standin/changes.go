package main

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// memoryLimitMB is a core machine's memory on the small sites. The platform kills a
	// process that uses more.
	memoryLimitMB = 280
	// A configuration of the small sites has idleRoutes and some more routes. A big_config
	// of these sites adds 350; the case has six of them.
	idleRoutes, bigRoutes = 110, 6 * 350
	maxChanges            = 400
	// changeInterval is the gap_s of a config_storm of the small sites.
	changeInterval = 330 * time.Millisecond
	changesTime    = 95 * time.Second
	restartDelay   = time.Second
	// The rule is broken when processes end by themselves endsInLoop times on a tenth of
	// the machines in use, two at least: on two of the eight here.
	endsInLoop, maxLoops = 3, 2
)

func init() { cases["changes"] = changes }

// changes publishes one configuration after the other, which differ in a time-out, while
// the platform watches the memory of the core processes.
func changes(c *cluster, trouble bool) (bool, error) {
	w := &watcher{c: c, stop: make(chan struct{})}
	for i := range numCores {
		c.wg.Go(func() { w.watch(i) })
	}
	defer close(w.stop)
	next := baseConfiguration()
	for i := range idleRoutes + bigRoutes {
		r := next.Routes[0]
		r.Name, r.Host, r.PathPrefix, r.Public = fmt.Sprint("r-big-", i), "idle.example", fmt.Sprintf("/idle%d/", i), true
		next.Routes = append(next.Routes, r)
	}
	end := time.Now().Add(changesTime)
	for i := range maxChanges {
		if time.Now().After(end) || w.loops() >= maxLoops {
			break
		}
		sentAt := time.Now()
		next.Version++
		next.Routes[0].TimeoutMs = 2000 + i%1000
		if !trouble && i > 0 {
			time.Sleep(time.Until(end.Add(-changesTime / 2)))
			break // a single change
		}
		if err := c.client.operator("PUT", "/configuration", next.encode(), 20*time.Second); err != nil {
			c.rec.add("%v", err)
		}
		time.Sleep(time.Until(sentAt.Add(changeInterval)))
	}
	c.rec.add("%d versions were sent; %d of %d core processes ended %d times or more", next.Version-1, w.loops(), numCores, endsInLoop)
	return w.loops() >= maxLoops, nil
}

// watcher stands in for the platform: it kills core processes that use too much memory
// and starts them again.
type watcher struct {
	c    *cluster
	stop chan struct{}
	ends [numCores]atomic.Int32
}

// loops returns how many core processes are in a crash loop.
func (w *watcher) loops() int {
	n := 0
	for i := range w.ends {
		if w.ends[i].Load() >= endsInLoop {
			n++
		}
	}
	return n
}

func (w *watcher) watch(i int) {
	last := int32(0)
	for {
		select {
		case <-w.stop:
			return
		case <-w.c.stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		p := w.c.procs[i]
		used := anonymousMB(p.cmd.Process.Pid)
		if used >= last+20 {
			last = used
			w.c.rec.add("%s uses %d MB", p.name, used)
		}
		if used <= memoryLimitMB {
			continue
		}
		w.ends[i].Add(1)
		w.c.rec.add("%s uses %d MB, the limit is %d MB; it is killed", p.name, used, memoryLimitMB)
		_ = p.cmd.Process.Signal(syscall.SIGKILL) // it runs until then
		<-p.exited
		time.Sleep(restartDelay)
		if err := w.c.restart(i); err != nil {
			w.c.rec.add("%s can't start again: %v", p.name, err)
			return
		}
		last = 0
	}
}

// anonymousMB returns the memory of a process that isn't backed by files, zero when it
// is not known.
func anonymousMB(pid int) int32 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(data) {
		if fields := bytes.Fields(line); len(fields) > 1 && string(fields[0]) == "RssAnon:" {
			kb, _ := strconv.Atoi(string(fields[1])) // zero counts as not known
			return int32(kb / 1024)
		}
	}
	return 0
}
