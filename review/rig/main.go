// Command rig runs the cases of the review that are scripts: it starts the project's
// programs as a small deployment with stand-ins for minions, clients and the operator.
package main

import (
	"fmt"
	"io"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario runs a case. trouble says whether the disruption is caused.
type scenario func(d *deployment, trouble bool) error

var scenarios = map[string]scenario{"beside": beside, "public": public, "waiting": waiting, "wave": wave}

func main() {
	if len(os.Args) != 4 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE PROGRAM RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, binary, record string) int {
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer file.Close()
	w := newWorld(io.MultiWriter(file, os.Stdout))
	trouble := os.Getenv("TROUBLE") != "0"
	w.logf("case %s, trouble: %v", name, trouble)
	d, err := newDeployment(w, binary, name == "wave")
	if err != nil {
		w.logf("the case couldn't run: %v", err)
		return exitNotRun
	}
	defer d.down(os.Getenv("KEEP") != "")
	if err := scenarios[name](d, trouble); err != nil {
		w.logf("the case couldn't run: %v", err)
		return exitNotRun
	}
	w.summary()
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.broken) > 0 {
		w.logLocked("the rule was broken")
		return exitBroken
	}
	w.logLocked("the rule held")
	return exitHeld
}
