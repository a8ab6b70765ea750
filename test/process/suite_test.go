// Package process_test starts the real programs as separate processes, with fakes
// of minions, workers and the platform's VM interface, and causes failures by
// signals.
package process_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	_ "bergamotdrum.example/bergamotdrum/internal/testseed"
)

// stateTimeout bounds the wait for an expected state. It is long because the
// machine may be busy; no test asserts a duration.
const stateTimeout = 60 * time.Second

var controlProgram, entryProgram string

func TestProcess(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(stateTimeout)
	SetDefaultEventuallyPollingInterval(50 * time.Millisecond)
	RunSpecs(t, "Processes")
}

var _ = BeforeSuite(func() {
	var err error
	controlProgram, err = gexec.Build("bergamotdrum.example/bergamotdrum/cmd/bergamot-control")
	Expect(err).NotTo(HaveOccurred())
	entryProgram, err = gexec.Build("bergamotdrum.example/bergamotdrum/cmd/bergamot-entry")
	Expect(err).NotTo(HaveOccurred())
})

var _ = AfterSuite(gexec.CleanupBuildArtifacts)
