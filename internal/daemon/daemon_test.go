package daemon

import (
	"context"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	_ "bergamotdrum.example/bergamotdrum/internal/testseed"
)

// Guards against a process that runs without a cluster secret when the setting
// was merely forgotten.
func TestNoSecretMustBeAllowed(t *testing.T) {
	g := NewWithT(t)
	_, err := ClusterSecret("", false)
	g.Expect(err).To(MatchError(ContainSubstring("allow_no_secret")))
	secret, err := ClusterSecret("", true)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(secret).To(BeEmpty())
	path := filepath.Join(t.TempDir(), "secret")
	g.Expect(os.WriteFile(path, []byte("0123456789abcdef"), 0o600)).To(Succeed())
	g.Expect(ClusterSecret(path, true)).To(Equal([]byte("0123456789abcdef")))
}

// Guards against a changed settings file that goes unnoticed without SIGHUP, and
// against an invalid file that is applied or stops the reloader.
func TestSettingsAreReloaded(t *testing.T) {
	g := NewWithT(t)
	g.SetDefaultEventuallyTimeout(20 * time.Second)
	path := filepath.Join(t.TempDir(), "client.ini")
	write := func(addresses string) {
		text := "[client]\noperator_addresses = " + addresses + "\noperator_name = ada\noperator_key_file = ada.key\n"
		g.Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	}
	write("10.0.0.1:1")
	log := logrus.New()
	log.SetOutput(io.Discard)
	applied := make(chan string, 10)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		SettingsReloader[*apiv1.ClientSettings]{
			Path: path, Section: "client", Log: logrus.NewEntry(log),
			New:   func() *apiv1.ClientSettings { return &apiv1.ClientSettings{} },
			Apply: func(s *apiv1.ClientSettings) { applied <- s.OperatorAddresses[0] },
		}.Run(ctx)
	}()
	time.Sleep(reloadInterval / 2)
	write("not an address")
	time.Sleep(reloadInterval * 3 / 2)
	g.Expect(applied).To(BeEmpty())
	write("10.0.0.2:1")
	g.Eventually(applied).Should(Receive(Equal("10.0.0.2:1")))
	cancel()
	<-ended
}

// Guards against calls to minions that take the descriptors which the log, the
// snapshots and the other replicas need, at any limit.
func TestDescriptorsAreReserved(t *testing.T) {
	g := NewWithT(t)
	for _, limit := range []int{0, 64, 1024, 4096, 65_536} {
		b := PlanDescriptors(limit)
		g.Expect(b.Reserved).To(BeNumerically(">=", minReservedDescriptors))
		g.Expect(b.MinionCalls).To(BeNumerically(">=", 0))
		g.Expect(b.MinionCalls).To(BeNumerically("<=", max(limit-b.Reserved, 0)))
	}
	limit, err := DescriptorLimit(0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(DescriptorLimit(100)).To(Equal(min(limit, 100)))
}

// failedService is a daemon whose indispensable part has stopped.
type failedService struct{ failed, stopped chan struct{} }

func (s *failedService) Failed() <-chan struct{} { return s.failed }

func (s *failedService) Stop() error {
	close(s.stopped)
	return nil
}

// Guards against a process that goes on, and counts as running, after its replica has
// stopped for good.
func TestProgramEndsWhenItsServiceHasFailed(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "client.ini")
	text := "[client]\noperator_addresses = 10.0.0.1:1\noperator_name = ada\noperator_key_file = ada.key\n"
	g.Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	service := &failedService{failed: make(chan struct{}), stopped: make(chan struct{})}
	ended := make(chan error, 1)
	go func() {
		ended <- Program[*apiv1.ClientSettings]{
			Section: "client", Settings: &apiv1.ClientSettings{},
			Start: func(*apiv1.ClientSettings) (Service, error) { return service, nil },
		}.Run(path, false)
	}()
	close(service.failed)
	g.Eventually(ended).WithTimeout(20 * time.Second).Should(Receive(MatchError(errServiceFailed)))
	g.Expect(service.stopped).To(BeClosed())
}
