package rpc

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

// dialTimeout bounds one dial and its handshake. A packet that opens a
// connection is sent again after a second.
const dialTimeout = 1500 * time.Millisecond

var errClosed = errors.New("client is closed")

// TransportError means that no answer came: the call may or may not have been
// carried out.
type TransportError struct {
	Address string
	// MaybeSent is false when the request certainly did not leave this process.
	MaybeSent bool
	Err       error
}

// Error implements the error interface.
func (e *TransportError) Error() string {
	return fmt.Sprintf("call to %s failed: %v", e.Address, e.Err)
}

// Unwrap returns the underlying network error.
func (e *TransportError) Unwrap() error { return e.Err }

// Client holds one yamux session to each address it calls.
type Client struct {
	secret []byte
	mu     sync.Mutex
	peers  map[string]*peer
	closed bool
}

type peer struct {
	mu      sync.Mutex
	session *yamux.Session
	// dial is under way; all calls that need a session wait for it.
	dial *dialAttempt
}

// dialAttempt is one dial. Its result may be read once done is closed.
type dialAttempt struct {
	done    chan struct{}
	session *yamux.Session
	err     error
}

// NewClient returns a client that proves secret to its peers.
func NewClient(secret []byte) *Client {
	return &Client{secret: secret, peers: map[string]*peer{}}
}

// Close ends all sessions; calls in flight fail.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	peers := c.peers
	c.peers = map[string]*peer{}
	c.mu.Unlock()
	for _, p := range peers {
		p.mu.Lock()
		if p.session != nil {
			p.session.Close()
		}
		p.mu.Unlock()
	}
}

// Call sends req to address and decodes the answer into resp. It returns
// *result.Error for an answer with a code, *TransportError when none came.
func (c *Client) Call(ctx context.Context, address, method string, req, resp proto.Message) error {
	body, err := proto.Marshal(req)
	if err != nil {
		return fmt.Errorf("marshal request of %s: %w", method, err)
	}
	session, err := c.session(ctx, address)
	if err != nil {
		return &TransportError{Address: address, Err: err}
	}
	stream, err := session.OpenStream()
	if err != nil {
		session.Close()
		return &TransportError{Address: address, Err: err}
	}
	defer stream.Close()
	return c.exchange(ctx, address, stream, &apiv1.RpcRequest{Method: method, Body: body}, resp)
}

func (c *Client) exchange(ctx context.Context, address string, stream *yamux.Stream, frame *apiv1.RpcRequest, resp proto.Message) error {
	deadline := time.Now().Add(defaultCallTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	stream.SetDeadline(deadline)
	stop := context.AfterFunc(ctx, func() { stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	frame.TimeoutMs = uint32(max(time.Until(deadline).Milliseconds(), 1))
	if err := writeFrame(stream, frame); err != nil {
		return &TransportError{Address: address, MaybeSent: true, Err: contextCause(ctx, err)}
	}
	answer := &apiv1.RpcResponse{}
	if err := readFrame(stream, answer); err != nil {
		return &TransportError{Address: address, MaybeSent: true, Err: contextCause(ctx, err)}
	}
	if err := result.FromStatus(answer.Status); err != nil {
		return err
	}
	if err := proto.Unmarshal(answer.Body, resp); err != nil {
		return &TransportError{Address: address, MaybeSent: true, Err: fmt.Errorf("answer of %s does not decode: %w", frame.Method, err)}
	}
	return nil
}

func contextCause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

func (c *Client) session(ctx context.Context, address string) (*yamux.Session, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, errClosed
	}
	p, ok := c.peers[address]
	if !ok {
		p = &peer{}
		c.peers[address] = p
	}
	c.mu.Unlock()
	attempt := c.join(p, address)
	select {
	case <-attempt.done:
		return attempt.session, attempt.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// join returns the open session, the dial under way or a new one. A dial
// outlives the call that began it, so that a call with little time left does
// not fail the others.
func (c *Client) join(p *peer, address string) *dialAttempt {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.session != nil && !p.session.IsClosed() {
		open := &dialAttempt{done: make(chan struct{}), session: p.session}
		close(open.done)
		return open
	}
	if p.dial == nil {
		p.dial = &dialAttempt{done: make(chan struct{})}
		go c.finishDial(p, p.dial, address)
	}
	return p.dial
}

func (c *Client) finishDial(p *peer, attempt *dialAttempt, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	session, err := c.dial(ctx, address)
	c.mu.Lock()
	closed := c.closed
	c.mu.Unlock()
	if err == nil && closed {
		session.Close()
		err = errClosed
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil {
		p.session, attempt.session = session, session
	}
	attempt.err = err
	p.dial = nil
	close(attempt.done)
}

func (c *Client) dial(ctx context.Context, address string) (*yamux.Session, error) {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if err := handshake(conn, c.secret, true); err != nil {
		conn.Close()
		return nil, err
	}
	session, err := yamux.Client(conn, yamuxConfig())
	if err != nil {
		conn.Close()
		return nil, err
	}
	return session, nil
}
