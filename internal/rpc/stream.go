package rpc

import (
	"context"
	"fmt"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

// Stream carries messages in both directions until one side closes it. One goroutine
// may send and another one receive at the same time.
type Stream struct{ stream *yamux.Stream }

// Send sends a message. It fails when the peer takes nothing for timeout.
func (s *Stream) Send(m proto.Message, timeout time.Duration) error {
	s.stream.SetWriteDeadline(time.Now().Add(timeout))
	return writeFrame(s.stream, m)
}

// Receive receives a message into m. It fails when none arrives for timeout.
func (s *Stream) Receive(m proto.Message, timeout time.Duration) error {
	s.stream.SetReadDeadline(time.Now().Add(timeout))
	return readFrame(s.stream, m)
}

// Close closes the stream for both sides. Calls in progress fail.
func (s *Stream) Close() error { return s.stream.Close() }

// StreamHandler serves a stream until the stream or ctx ends.
type StreamHandler func(ctx context.Context, s *Stream)

// RegisterStream adds a handler for the streams of a method. It must be called before
// Serve.
func RegisterStream(s *Server, method string, fn StreamHandler) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streamHandlers[method] = fn
}

// serveHandler serves the stream if its method has streams, and reports whether it does.
func (s *Server) serveHandler(stream *yamux.Stream, method string) bool {
	s.mu.Lock()
	h, ok := s.streamHandlers[method]
	s.mu.Unlock()
	if !ok {
		return false
	}
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	defer s.logPanic(method)
	h(ctx, &Stream{stream})
	return true
}

// OpenStream opens a stream of a method at address.
func (c *Client) OpenStream(ctx context.Context, address, method string) (*Stream, error) {
	conn, err := c.connection(ctx, address)
	if err != nil {
		return nil, &TransportError{Address: address, Err: err}
	}
	stream, err := conn.OpenStream()
	if err != nil {
		conn.Close()
		return nil, &TransportError{Address: address, Err: err}
	}
	out := &Stream{stream}
	if err := out.Send(&apiv1.RpcRequest{Method: method}, writeTimeout); err != nil {
		out.Close()
		return nil, &TransportError{Address: address, MaybeSent: true, Err: fmt.Errorf("open stream: %w", err)}
	}
	return out, nil
}

// errUnknownMethod is the answer to a call of a method that the server doesn't have.
func errUnknownMethod(method string) *result.Error {
	return result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "method %q does not exist here", method)
}
