package rpc

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

const streamTimeout = 5 * time.Second

// startStreams starts a server with a method that echoes messages and one that panics.
// ended is closed when the first echo has ended.
func startStreams(t *testing.T) (c *Client, address string, ended chan struct{}) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	s := NewServer(nil, discardLogger())
	ended = make(chan struct{})
	RegisterStream(s, "Echo", func(_ context.Context, stream *Stream) {
		defer close(ended)
		m := &apiv1.Job{}
		for stream.Receive(m, streamTimeout) == nil && stream.Send(m, streamTimeout) == nil {
			m.Reset()
		}
	})
	RegisterStream(s, "Panic", func(context.Context, *Stream) { panic("a message that nobody expected") })
	Register(s, "Control.GetJob", func(_ context.Context, req *apiv1.GetJob) (*apiv1.Job, error) {
		return &apiv1.Job{JobId: req.JobId}, nil
	})
	go s.Serve(l)
	t.Cleanup(s.Close)
	c = NewClient(nil)
	t.Cleanup(c.Close)
	return c, l.Addr().String(), ended
}

// Guards against messages of a stream that are lost or out of order, and against a
// handler that goes on after its client has closed the stream.
func TestStreamCarriesMessagesUntilItIsClosed(t *testing.T) {
	g := NewWithT(t)
	c, address, ended := startStreams(t)
	stream, err := c.OpenStream(t.Context(), address, "Echo")
	g.Expect(err).NotTo(HaveOccurred())
	for _, id := range []string{"a", "b", "c"} {
		g.Expect(stream.Send(&apiv1.Job{JobId: id}, streamTimeout)).To(Succeed())
	}
	for _, id := range []string{"a", "b", "c"} {
		m := &apiv1.Job{}
		g.Expect(stream.Receive(m, streamTimeout)).To(Succeed())
		g.Expect(m.JobId).To(Equal(id))
	}
	g.Expect(stream.Receive(&apiv1.Job{}, 20*time.Millisecond)).NotTo(Succeed(), "nothing was sent")
	g.Expect(stream.Close()).To(Succeed())
	g.Eventually(ended, streamTimeout).Should(BeClosed())
}

// Guards against one unexpected message on a stream that ends the whole process, and
// against a client that waits on a server without such streams.
func TestStreamFailureEndsOnlyTheStream(t *testing.T) {
	g := NewWithT(t)
	c, address, _ := startStreams(t)
	for _, method := range []string{"Panic", "Control.NoSuchStream"} {
		stream, err := c.OpenStream(t.Context(), address, method)
		g.Expect(err).NotTo(HaveOccurred())
		m := &apiv1.RelayAnswers{}
		if stream.Receive(m, streamTimeout) == nil { // the answer to an unknown call
			g.Expect(m.ReplicaTimeUs).To(BeZero())
			g.Expect(stream.Receive(m, streamTimeout)).NotTo(Succeed())
		}
	}
	resp := &apiv1.Job{}
	g.Expect(c.Call(t.Context(), address, "Control.GetJob", &apiv1.GetJob{JobId: "a"}, resp)).To(Succeed())
}
