package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime/debug"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/rpc"
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

// exhaustedListener fails to accept its first connections.
type exhaustedListener struct {
	net.Listener
	failures int
	err      error
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: l.err}
	}
	return l.Listener.Accept()
}

// Guards against a listener that is gone for the rest of its process's life after an
// error of accept that passes.
func TestListenersAcceptAgainAfterErrors(t *testing.T) {
	for _, cause := range []syscall.Errno{syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPERM, syscall.EPROTO} {
		g := NewWithT(t)
		opened, err := Listen("127.0.0.1:0", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		for _, l := range opened {
			inner := l.(*retryListener)
			inner.Listener = &exhaustedListener{inner.Listener, 2, cause}
		}
		log := logrus.New()
		log.SetOutput(io.Discard)
		httpServer := NewHTTPServer(http.NotFoundHandler())
		go httpServer.Serve(opened[0])
		client := http.Client{Timeout: 20 * time.Second}
		resp, err := client.Get("http://" + opened[0].Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		resp.Body.Close()
		rpcServer := rpc.NewServer([]byte("secret"), logrus.NewEntry(log))
		rpc.Register(rpcServer, "Test.Call", func(context.Context, *apiv1.Empty) (*apiv1.Empty, error) { return &apiv1.Empty{}, nil })
		go rpcServer.Serve(opened[1])
		rpcClient := rpc.NewClient([]byte("secret"))
		g.Expect(rpcClient.Call(t.Context(), opened[1].Addr().String(), "Test.Call", &apiv1.Empty{}, &apiv1.Empty{})).To(Succeed())
		rpcClient.Close()
		rpcServer.Close()
		httpServer.Close()
	}
}

// Guards against a process whose heap grows to a multiple of its live data, beyond the
// memory that it may use, before it is collected.
func TestGarbageIsCollectedWithinTheMemoryOfTheProcess(t *testing.T) {
	g := NewWithT(t)
	before := debug.SetMemoryLimit(-1)
	defer debug.SetMemoryLimit(before)
	LimitMemory(0)
	g.Expect(debug.SetMemoryLimit(-1)).To(Equal(before), "no limit is set")
	LimitMemory(280 << 20)
	g.Expect(debug.SetMemoryLimit(-1)).To(BeEquivalentTo(224 << 20))
}
