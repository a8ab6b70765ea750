package rpc

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/fakes"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

func discardLogger() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

func startServer(t *testing.T, secret string) (*Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	s := NewServer([]byte(secret), discardLogger())
	Register(s, "Control.GetJob", func(_ context.Context, req *apiv1.GetJob) (*apiv1.Job, error) {
		if req.JobId == "" {
			return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_JOB_NOT_FOUND, "job id is empty")
		}
		return &apiv1.Job{JobId: req.JobId}, nil
	})
	go s.Serve(l)
	t.Cleanup(s.Close)
	return s, l.Addr().String()
}

// Guards against a response or an error's code and NotRun flag being lost between
// server and client.
func TestCallReturnsAnswerOrTypedError(t *testing.T) {
	g := NewWithT(t)
	_, addr := startServer(t, "secret")
	c := NewClient([]byte("secret"))
	defer c.Close()
	resp := &apiv1.Job{}
	g.Expect(c.Call(t.Context(), addr, "Control.GetJob", &apiv1.GetJob{JobId: "a"}, resp)).To(Succeed())
	g.Expect(resp.JobId).To(Equal("a"))
	err := c.Call(t.Context(), addr, "Control.GetJob", &apiv1.GetJob{}, resp)
	g.Expect(result.CodeOf(err)).To(Equal(apiv1.ResultCode_RESULT_CODE_JOB_NOT_FOUND))
	g.Expect(result.From(err).NotRun).To(BeTrue())
}

// Guards against accepting calls from a process that doesn't know the cluster
// secret.
func TestPeerWithWrongSecretIsRefused(t *testing.T) {
	g := NewWithT(t)
	_, addr := startServer(t, "secret")
	c := NewClient([]byte("other"))
	defer c.Close()
	err := c.Call(t.Context(), addr, "Control.GetJob", &apiv1.GetJob{JobId: "a"}, &apiv1.Job{})
	var te *TransportError
	g.Expect(errors.As(err, &te)).To(BeTrue())
	g.Expect(te.MaybeSent).To(BeFalse())
}

// Guards against a client that fails for good after its server restarted.
func TestClientReconnects(t *testing.T) {
	g := NewWithT(t)
	s, addr := startServer(t, "secret")
	c := NewClient([]byte("secret"))
	defer c.Close()
	call := func() error {
		return c.Call(t.Context(), addr, "Control.GetJob", &apiv1.GetJob{JobId: "a"}, &apiv1.Job{})
	}
	g.Expect(call()).To(Succeed())
	s.Close()
	g.Expect(call()).NotTo(Succeed())
	l, err := net.Listen("tcp", addr)
	g.Expect(err).NotTo(HaveOccurred())
	s2 := NewServer([]byte("secret"), discardLogger())
	Register(s2, "Control.GetJob", func(context.Context, *apiv1.GetJob) (*apiv1.Job, error) { return &apiv1.Job{}, nil })
	go s2.Serve(l)
	defer s2.Close()
	g.Eventually(call).Should(Succeed())
}

// Guards against a client that keeps a stalled connection, such as one that a
// firewall has forgotten: calls over it never complete, while new connections work.
func TestClientReplacesStalledConnection(t *testing.T) {
	g := NewWithT(t)
	_, addr := startServer(t, "secret")
	relay, err := fakes.StartRelay(addr)
	g.Expect(err).NotTo(HaveOccurred())
	defer relay.Close()
	c := NewClient([]byte("secret"))
	defer c.Close()
	call := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		return c.Call(ctx, relay.Address(), "Control.GetJob", &apiv1.GetJob{JobId: "a"}, &apiv1.Job{})
	}
	g.Expect(call()).To(Succeed())
	relay.StallOpenConns()
	g.Expect(call()).NotTo(Succeed())
	g.Eventually(call).WithTimeout(20 * time.Second).Should(Succeed())
}

// Guards against a process that ends because one call makes its handler panic. The
// call may have had an effect before.
func TestPanicEndsOnlyItsCall(t *testing.T) {
	g := NewWithT(t)
	s, addr := startServer(t, "secret")
	Register(s, "Control.GetView", func(context.Context, *apiv1.GetView) (*apiv1.View, error) {
		var missing *apiv1.View
		return &apiv1.View{Version: missing.Version}, nil
	})
	c := NewClient([]byte("secret"))
	defer c.Close()
	err := c.Call(t.Context(), addr, "Control.GetView", &apiv1.GetView{}, &apiv1.View{})
	g.Expect(result.CodeOf(err)).To(Equal(apiv1.ResultCode_RESULT_CODE_INTERNAL))
	g.Expect(result.From(err).NotRun).To(BeFalse())
	g.Expect(c.Call(t.Context(), addr, "Control.GetJob", &apiv1.GetJob{JobId: "a"}, &apiv1.Job{})).To(Succeed())
}

// Guards against a server that gives a call up when the client does: its answer, that
// nothing was done, comes too late.
func TestServerHasLessTimeThanItsClient(t *testing.T) {
	g := NewWithT(t)
	for _, left := range []time.Duration{4 * time.Millisecond, 50 * time.Millisecond, time.Second} {
		g.Expect(serverTimeout(left)).To(BeNumerically("<", left))
		g.Expect(serverTimeout(left)).To(BeNumerically(">=", left*3/4))
	}
}
