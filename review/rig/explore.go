package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// explore: all kinds of jobs under random disruptions.
func explore(d *deployment, trouble bool) error {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	r := rand.New(rand.NewPCG(seed, 1))
	for i := range 8 {
		var labels []string
		if i%4 == 0 {
			labels = []string{"special"}
		}
		if _, err := d.addMinion("service-1", 8000, labels...); err != nil {
			return err
		}
	}
	const prefix = "/jobs/"
	routes := []route{{name: "route-1", prefix: prefix, service: "service-1", attempts: 4}}
	if err := d.up(configuration(1, routes, []string{"service-1"})); err != nil {
		return err
	}
	var mu sync.Mutex
	ids := map[string]string{}
	var wg sync.WaitGroup
	until := time.Now().Add(45 * time.Second)
	wg.Go(func() {
		for i := 0; time.Now().Before(until); i++ {
			kind, p := randomJob(r, i)
			wg.Go(func() {
				if id, err := d.submit(prefix, p); err == nil {
					mu.Lock()
					ids[id] = kind
					mu.Unlock()
				}
			})
			time.Sleep(time.Duration(50+rand.IntN(250)) * time.Millisecond)
		}
	})
	if trouble {
		mode := os.Getenv("MODE")
		if strings.Contains(mode, "l") {
			for _, m := range d.minions {
				d.set(m, func() { m.lateShare = .055 }, "some orders late")
			}
		}
		busy := make([]sync.Mutex, len(d.minions))
		var leaderBusy sync.Mutex
		for range 4 {
			wg.Go(func() {
				for time.Now().Before(until) {
					time.Sleep(time.Duration(300+rand.IntN(1500)) * time.Millisecond)
					mi := rand.IntN(len(d.minions))
					m := d.minions[mi]
					k := rand.IntN(5)
					lock := &busy[mi]
					if k >= 3 {
						lock = &leaderBusy
					}
					if !lock.TryLock() {
						continue
					}
					switch {
					case k == 0 && strings.Contains(mode, "c"):
						id := m.id
						if rand.IntN(2) == 0 {
							id = "i-" + randomHex(5)
						}
						m.crash()
						time.Sleep(time.Duration(rand.IntN(2000)) * time.Millisecond)
						if err := m.reopen(id); err != nil {
							d.w.logf("%v", err)
						}
					case k == 1 && strings.Contains(mode, "s"):
						d.set(m, func() { m.silent = true }, "silent")
						time.Sleep(time.Duration(500+rand.IntN(6000)) * time.Millisecond)
						d.set(m, func() { m.silent = false }, "not silent")
					case k == 2 && strings.Contains(mode, "g"):
						d.set(m, func() { m.sheds = true }, "sheds")
						time.Sleep(time.Duration(500+rand.IntN(4000)) * time.Millisecond)
						d.set(m, func() { m.sheds = false }, "sheds no more")
					case k == 3 && strings.Contains(mode, "k"):
						if l := d.leader(); l != nil {
							d.signal(l, syscall.SIGKILL)
							time.Sleep(time.Duration(rand.IntN(2000)) * time.Millisecond)
							_ = d.start(l)
							time.Sleep(time.Second)
						}
					case k == 4 && strings.Contains(mode, "f"):
						if l := d.leader(); l != nil {
							d.signal(l, syscall.SIGSTOP)
							time.Sleep(time.Duration(300+rand.IntN(5000)) * time.Millisecond)
							d.signal(l, syscall.SIGCONT)
						}
					}
					lock.Unlock()
				}
			})
		}
	}
	wg.Wait()
	d.w.logf("calm")
	end := time.Now().Add(25 * time.Second)
	for time.Now().Before(end) {
		time.Sleep(time.Second)
		open := 0
		for id := range ids {
			_, text := d.state(prefix, id, apiKey)
			if !strings.Contains(text, "completed") && !strings.Contains(text, "failed") {
				open++
			}
		}
		if open == 0 {
			break
		}
	}
	for id, kind := range ids {
		status, text := d.state(prefix, id, apiKey)
		if !strings.Contains(text, "completed") {
			d.w.mu.Lock()
			d.w.breakRule("LOST", "job %s (%s) is %d %s", id, kind, status, text)
			d.w.mu.Unlock()
		}
	}
	d.w.mu.Lock()
	defer d.w.mu.Unlock()
	for _, e := range d.w.executions {
		if e.how == "alone" {
			d.w.logLocked("ALONE %s run %d on %s", e.task, e.run, e.minion.name)
		}
	}
	return nil
}

func (d *deployment) set(m *minion, fn func(), what string) {
	m.mu.Lock()
	fn()
	m.mu.Unlock()
	d.w.logf("%s: %s", m.name, what)
}

func randomJob(r *rand.Rand, i int) (string, *plan) {
	p := &plan{
		work: func(taskID, int) time.Duration { return time.Duration(100+rand.IntN(1500)) * time.Millisecond },
		end: func(taskID, int) string {
			if rand.IntN(30) == 0 {
				return "failed"
			}
			return "done"
		},
	}
	p.job.Specification = fmt.Sprintf("job %d <&> é", i)
	s := func() step {
		return step{Count: uint32(1 + r.IntN(6)), CPU: uint32(200 + r.IntN(2000)), MemoryMB: 100, EstimatedMS: 800}
	}
	switch i % 5 {
	case 0:
		g := s()
		g.Gang, g.SameRack = true, r.IntN(2) == 0
		p.job.Steps = []step{g}
		return "gang", p
	case 1:
		a, b := s(), s()
		b.After = []uint32{0}
		a.Gang = r.IntN(2) == 0
		b.Gang = r.IntN(2) == 0
		p.job.Steps = []step{a, b}
		return "chain", p
	case 2:
		p.job.Steps = []step{s()}
		p.job.FirstRunMS, p.job.IntervalMS, p.job.Repetitions = time.Now().UnixMilli()+int64(r.IntN(3000)), uint32(500+r.IntN(2000)), 4
		p.job.Steps[0].Gang = r.IntN(2) == 0
		return "timed", p
	case 3:
		a := s()
		a.MaxPerMinion = 1
		p.job.Steps = []step{a}
		return "apart", p
	}
	a := s()
	a.Count = 2
	a.RequiredLabel = "special"
	p.job.Steps = []step{a}
	return "label", p
}
