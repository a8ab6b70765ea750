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

// Client calls methods of other processes, over one connection per address. It
// connects on the first call to an address and again after the connection has
// closed. Its methods may be called concurrently.
type Client struct {
	secret []byte
	mu     sync.Mutex
	peers  map[string]*peer
	closed bool
}

// peer holds the connection to one address. A connection is a yamux session; the
// word session is left to those of entry processes with the control group.
type peer struct {
	mu   sync.Mutex
	conn *yamux.Session
	// dial is the dial under way, if any; every call that needs a connection waits
	// for it.
	dial *dialAttempt
}

// dialAttempt is a dial whose outcome several calls wait for. Conn and err may be
// read once done is closed.
type dialAttempt struct {
	done chan struct{}
	conn *yamux.Session
	err  error
}

// NewClient returns a client that authenticates with the cluster secret.
func NewClient(secret []byte) *Client {
	return &Client{secret: secret, peers: map[string]*peer{}}
}

// Close closes all connections. Calls in flight and later calls fail.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	peers := c.peers
	c.peers = map[string]*peer{}
	c.mu.Unlock()
	for _, p := range peers {
		p.mu.Lock()
		if p.conn != nil {
			p.conn.Close()
		}
		p.mu.Unlock()
	}
}

// Call sends req to the method at address and decodes the response into resp. It
// returns a *result.Error when the server returned one, and a *TransportError when
// no response came or it could not be decoded. A call takes at most
// defaultCallTimeout after it has a connection, less when ctx has an earlier
// deadline.
func (c *Client) Call(ctx context.Context, address, method string, req, resp proto.Message) error {
	body, err := proto.Marshal(req)
	if err != nil {
		return fmt.Errorf("marshal request of %s: %w", method, err)
	}
	conn, err := c.connection(ctx, address)
	if err != nil {
		return &TransportError{Address: address, Err: err}
	}
	stream, err := conn.OpenStream()
	if err != nil {
		conn.Close()
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
	frame.TimeoutMs = uint32(max(serverTimeout(time.Until(deadline)).Milliseconds(), 1))
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

// maxAnswerMargin is the longest time that is left for the answer of a server that gives
// a call up.
const maxAnswerMargin = 20 * time.Millisecond

// serverTimeout returns the time that a server may take of what is left to the client.
// The server's answer, which may say that nothing was done, has to arrive before the
// client gives up.
func serverTimeout(left time.Duration) time.Duration { return left - min(left/4, maxAnswerMargin) }

// contextError returns ctx's error in place of err once ctx is done, since err then
// only says that the stream's deadline passed.
func contextError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// connection returns the connection to address and waits for a dial if there is
// none.
func (c *Client) connection(ctx context.Context, address string) (*yamux.Session, error) {
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
	attempt := c.connectionOrDial(p, address)
	select {
	case <-attempt.done:
		return attempt.conn, attempt.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// connectionOrDial returns a completed attempt with the open connection, the dial
// under way, or a new dial. A dial doesn't end with the call that started it, so
// that a call with little time left doesn't make the others fail.
func (c *Client) connectionOrDial(p *peer, address string) *dialAttempt {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil && !p.conn.IsClosed() {
		open := &dialAttempt{done: make(chan struct{}), conn: p.conn}
		close(open.done)
		return open
	}
	if p.dial == nil {
		p.dial = &dialAttempt{done: make(chan struct{})}
		go c.runDial(p, p.dial, address)
	}
	return p.dial
}

// runDial dials address, publishes the outcome in attempt and keeps the connection.
// It closes the connection at once if the client was closed meanwhile.
func (c *Client) runDial(p *peer, attempt *dialAttempt, address string) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := c.dial(ctx, address)
	c.mu.Lock()
	closed := c.closed
	c.mu.Unlock()
	if err == nil && closed {
		conn.Close()
		err = errClosed
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil {
		p.conn, attempt.conn = conn, conn
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
