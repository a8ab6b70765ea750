package rpc

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

const (
	// keepAliveInterval is the time between yamux pings. A stalled connection
	// must be detected and replaced within the TTL of an entry process's session
	// with the control group, 2 s (setting session_ttl_ms); detecting it takes up
	// to one keepAliveInterval and one writeTimeout, together 1.3 s.
	keepAliveInterval = 300 * time.Millisecond
	// writeTimeout is how long a peer may leave a ping or a new stream
	// unacknowledged before the connection is closed. It also bounds the writing
	// of a response.
	writeTimeout = time.Second
	// defaultCallTimeout bounds a call on both sides when no shorter deadline is
	// given.
	defaultCallTimeout = 30 * time.Second
)

// yamuxConfig returns the settings of the yamux sessions, here called
// connections, of both clients and servers.
func yamuxConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = true
	cfg.KeepAliveInterval = keepAliveInterval
	cfg.ConnectionWriteTimeout = writeTimeout
	cfg.StreamOpenTimeout = writeTimeout
	cfg.LogOutput = io.Discard
	return cfg
}

// handler decodes a request's body, calls a method and returns its response.
type handler func(ctx context.Context, body []byte) (proto.Message, error)

// Server accepts connections on one listener and serves the calls that arrive on
// them, each in its own goroutine.
type Server struct {
	secret   []byte
	log      *logrus.Entry
	mu       sync.Mutex
	handlers map[string]handler
	// streamHandlers serve streams, by method.
	streamHandlers map[string]StreamHandler
	conns          map[*yamux.Session]struct{}
	listener       net.Listener
	closed         bool
	wg             sync.WaitGroup
	ctx            context.Context
	cancel         context.CancelFunc
}

// NewServer returns a server that accepts peers which know the cluster secret. It
// logs panics of handlers to log.
func NewServer(secret []byte, log *logrus.Entry) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{
		secret:         secret,
		log:            log,
		handlers:       map[string]handler{},
		streamHandlers: map[string]StreamHandler{},
		conns:          map[*yamux.Session]struct{}{},
		ctx:            ctx,
		cancel:         cancel,
	}
}

// Register adds a handler for a method. It must be called before Serve. Errors of
// the handler that are not a *result.Error reach the client with code INTERNAL. A
// request that can't be decoded is refused with INVALID_ARGUMENT.
func Register[Req, Resp any, PReq interface {
	*Req
	proto.Message
}, PResp interface {
	*Resp
	proto.Message
}](s *Server, method string, fn func(context.Context, PReq) (PResp, error)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handlers[method] = func(ctx context.Context, body []byte) (proto.Message, error) {
		req := PReq(new(Req))
		if err := proto.Unmarshal(body, req); err != nil {
			return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "request of %s does not decode: %v", method, err)
		}
		resp, err := fn(ctx, req)
		if err != nil {
			return nil, err
		}
		return resp, nil
	}
}

// Serve accepts connections on l until Close, and then returns nil. It returns an
// error when accepting fails otherwise.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return l.Close()
	}
	s.listener = l
	s.mu.Unlock()
	for {
		conn, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return fmt.Errorf("accept: %w", err)
		}
		s.wg.Go(func() { s.serveConn(conn) })
	}
}

// Close closes the listener and all connections, cancels the contexts of running
// handlers and waits until they have returned.
func (s *Server) Close() {
	s.cancel()
	s.mu.Lock()
	s.closed = true
	if s.listener != nil {
		s.listener.Close()
	}
	for conn := range s.conns {
		conn.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// serveConn authenticates a peer and serves its streams until the connection
// closes. A peer that fails the handshake is disconnected.
func (s *Server) serveConn(conn net.Conn) {
	if err := handshake(conn, s.secret, false); err != nil {
		conn.Close()
		return
	}
	session, err := yamux.Server(conn, yamuxConfig())
	if err != nil {
		conn.Close()
		return
	}
	if !s.track(session) {
		session.Close()
		return
	}
	defer s.untrack(session)
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		s.wg.Go(func() { s.serveStream(stream) })
	}
}

// track adds a connection to those that Close closes. It reports whether the server
// is still open.
func (s *Server) track(conn *yamux.Session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

// untrack closes a connection and removes it from those that Close closes.
func (s *Server) untrack(conn *yamux.Session) {
	conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// serveStream serves one call, or a stream if the method has streams. The handler's context ends at the timeout that the
// client stated, when the client closes the stream, or when the server closes.
func (s *Server) serveStream(stream *yamux.Stream) {
	defer stream.Close()
	stream.SetReadDeadline(time.Now().Add(defaultCallTimeout))
	req := &apiv1.RpcRequest{}
	if err := readFrame(stream, req); err != nil {
		return
	}
	if s.serveHandler(stream, req.Method) {
		return
	}
	timeout := defaultCallTimeout
	if req.TimeoutMs > 0 {
		timeout = time.Duration(req.TimeoutMs) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(s.ctx, timeout)
	defer cancel()
	go cancelWhenClosed(stream, cancel)
	resp := s.callHandler(ctx, req)
	stream.SetWriteDeadline(time.Now().Add(writeTimeout))
	_ = writeFrame(stream, resp) // on an error the client sees a closed stream and reports it
}

// cancelWhenClosed cancels a call whose client has disconnected or canceled it.
func cancelWhenClosed(stream *yamux.Stream, cancel context.CancelFunc) {
	stream.SetReadDeadline(time.Time{})
	var b [1]byte
	stream.Read(b[:]) // blocks until the stream is closed: clients send nothing after the request
	cancel()
}

// callHandler calls the method's handler and turns an error into a status.
func (s *Server) callHandler(ctx context.Context, req *apiv1.RpcRequest) *apiv1.RpcResponse {
	s.mu.Lock()
	h, ok := s.handlers[req.Method]
	s.mu.Unlock()
	if !ok {
		return &apiv1.RpcResponse{Status: errUnknownMethod(req.Method).Status()}
	}
	m, err := s.runHandler(ctx, h, req)
	if err != nil {
		return &apiv1.RpcResponse{Status: result.From(err).Status()}
	}
	body, err := proto.Marshal(m)
	if err != nil {
		return &apiv1.RpcResponse{Status: result.From(err).Status()}
	}
	return &apiv1.RpcResponse{Body: body}
}

// runHandler calls a handler. A panic ends only this call, whose outcome is unknown
// then.
func (s *Server) runHandler(ctx context.Context, h handler, req *apiv1.RpcRequest) (m proto.Message, err error) {
	defer func() {
		if r := recover(); r != nil {
			s.logRecovered(req.Method, r)
			err = result.New(apiv1.ResultCode_RESULT_CODE_INTERNAL, "%s failed unexpectedly; it may have been carried out", req.Method)
		}
	}()
	return h(ctx, req.Body)
}

// logPanic keeps a panic of a stream's handler from ending the process.
func (s *Server) logPanic(method string) {
	if r := recover(); r != nil {
		s.logRecovered(method, r)
	}
}

func (s *Server) logRecovered(method string, r any) {
	s.log.WithFields(logrus.Fields{"method": method, "panic": fmt.Sprint(r), "stack": string(debug.Stack())}).Error("call panicked")
}
