// Command standin runs one case of the review against the project's own programs. It
// starts them as separate processes on loopback addresses, with stand-ins for clients,
// the operator, minions and the platform's machine API, and writes to a record what was
// sent, answered and run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTimeout ends a case that takes longer than a script may.
const caseTimeout = 112 * time.Second

// cases are the cases by name. A case returns whether the rule was broken, or an error
// when it could not run.
var cases = map[string]func(c *cluster, trouble bool) (broken bool, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

// runCase runs one case and returns the exit code.
func runCase(name, recordPath string) int {
	trouble := os.Getenv("TROUBLE") != "0"
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	rec.add("case %s, trouble %t", name, trouble)
	c, err := newCluster(rec)
	if err != nil {
		rec.add("the case could not run: %v", err)
		return exitNotRun
	}
	defer c.close()
	if name == "lease" {
		c.maxHoldMS = 10_000 // maxHoldMs of foulee-sahel
	}
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		var o outcome
		if o.err = c.start(); o.err == nil {
			o.broken, o.err = cases[name](c, trouble)
		}
		done <- o
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case o := <-done:
		return report(rec, o.broken, o.err)
	case <-signals:
		return report(rec, false, fmt.Errorf("it was interrupted"))
	case <-time.After(caseTimeout):
		return report(rec, false, fmt.Errorf("it took longer than %s", caseTimeout))
	}
}

// report records how the case ended and returns its exit code.
func report(rec *record, broken bool, err error) int {
	switch {
	case err != nil:
		rec.add("the case could not run: %v", err)
		return exitNotRun
	case broken:
		rec.add("result: the rule was broken")
		return exitBroken
	}
	rec.add("result: the rule held")
	return exitHeld
}
