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

// dialTimeout bounds connecting to a peer, and is long enough for one retry of
// TCP, which sends a lost SYN again after a second. The handshake that follows is
// bounded by handshakeTimeout.
const dialTimeout = 1500 * time.Millisecond

var errClosed = errors.New("client is closed")

// TransportError is the error of a call that got no usable response. Unless the
// request was never sent, the server may have executed the call.
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

// Client calls methods of other processes, over one yamux session per address. It
// connects on the first call to an address and again after the session has
// closed. Its methods may be called concurrently.
type Client struct {
	secret []byte
	mu     sync.Mutex
	peers  map[string]*peer
	closed bool
}

type peer struct {
	mu      sync.Mutex
	session *yamux.Session
	// dial is the dial under way, if any; every call that needs a session waits
	// for it.
	dial *dialAttempt
}

// dialAttempt is a dial whose outcome several calls wait for. Session and err may
// be read once done is closed.
type dialAttempt struct {
	done    chan struct{}
	session *yamux.Session
	err     error
}

// NewClient returns a client that authenticates with the cluster secret.
func NewClient(secret []byte) *Client {
	return &Client{secret: secret, peers: map[string]*peer{}}
}

// Close closes all sessions. Calls in flight and later calls fail.
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

// Call sends req to the method at address and decodes the response into resp. It
// returns a *result.Error when the server returned one, and a *TransportError when
// no response came or it could not be decoded. A call takes at most
// defaultCallTimeout after it has a session, less when ctx has an earlier
// deadline.
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
	return c.roundTrip(ctx, address, stream, &apiv1.RpcRequest{Method: method, Body: body}, resp)
}

// roundTrip sends the request on stream and reads the response. The request
// carries the time left, in milliseconds, so that the server stops in time.
func (c *Client) roundTrip(ctx context.Context, address string, stream *yamux.Stream, frame *apiv1.RpcRequest, resp proto.Message) error {
	deadline := time.Now().Add(defaultCallTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	stream.SetDeadline(deadline)
	stop := context.AfterFunc(ctx, func() { stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	frame.TimeoutMs = uint32(max(time.Until(deadline).Milliseconds(), 1))
	if err := writeFrame(stream, frame); err != nil {
		return &TransportError{Address: address, MaybeSent: true, Err: contextError(ctx, err)}
	}
	response := &apiv1.RpcResponse{}
	if err := readFrame(stream, response); err != nil {
		return &TransportError{Address: address, MaybeSent: true, Err: contextError(ctx, err)}
	}
	if err := result.FromStatus(response.Status); err != nil {
		return err
	}
	if err := proto.Unmarshal(response.Body, resp); err != nil {
		return &TransportError{Address: address, MaybeSent: true, Err: fmt.Errorf("answer of %s does not decode: %w", frame.Method, err)}
	}
	return nil
}

// contextError returns ctx's error in place of err once ctx is done, since err then
// only says that the stream's deadline passed.
func contextError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// session returns the session to address and waits for a dial if there is none.
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
	attempt := c.sessionOrDial(p, address)
	select {
	case <-attempt.done:
		return attempt.session, attempt.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// sessionOrDial returns a completed attempt with the open session, the dial under
// way, or a new dial. A dial doesn't end with the call that started it, so that a
// call with little time left doesn't make the others fail.
func (c *Client) sessionOrDial(p *peer, address string) *dialAttempt {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.session != nil && !p.session.IsClosed() {
		open := &dialAttempt{done: make(chan struct{}), session: p.session}
		close(open.done)
		return open
	}
	if p.dial == nil {
		p.dial = &dialAttempt{done: make(chan struct{})}
		go c.runDial(p, p.dial, address)
	}
	return p.dial
}

// runDial dials address, publishes the outcome in attempt and keeps the session.
// It closes the session at once if the client was closed meanwhile.
func (c *Client) runDial(p *peer, attempt *dialAttempt, address string) {
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

// dial connects to address, authenticates and starts a yamux session.
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
