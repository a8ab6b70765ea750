package entry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

const (
	// Responses up to this size are read completely before the status is sent
	// to the caller; larger ones are streamed.
	maxBufferedResponseBytes = 1 << 20
	// Request bodies up to this size are written before the response is read.
	// Larger ones are written while it is read, because a minion may respond
	// before it has read the whole body.
	maxInlineBodyBytes = 64 << 10
	// Responses with a lower status are interim (1xx) and are skipped.
	minFinalStatus = 200
)

var (
	errWrongID  = errors.New("the response carries another request id")
	errNoLength = errors.New("the response has no Content-Length")
)

// response is the response of a minion, a process that serves requests to a
// service. Its body is complete unless rest is set.
type response struct {
	status      int
	contentType string
	length      int64 // Content-Length sent by the minion
	body        []byte
	rest        io.Reader // the part of the body after the first maxBufferedResponseBytes; nil if none
	reusable    bool      // the connection may carry another request
	conn        *minionConn
	pool        *connPool
	// stopWatch stops the function that closes conn when the request's context
	// ends. It reports whether it did so before that function was started.
	stopWatch func() bool
}

// close ends the use of the connection. It returns the connection to the pool
// if the response is complete and nothing else was received on it, and closes it
// otherwise.
func (r *response) close(complete bool) {
	stopped := r.stopWatch()
	if complete && stopped && r.reusable && r.conn.reader.Buffered() == 0 {
		r.pool.put(r.conn)
		return
	}
	r.pool.drop(r.conn)
}

// failure describes an attempt that returned no response. A grant is the
// permission, from the host of the service's scheduler shard, to send one request
// to one minion.
type failure struct {
	err     *result.Error      // for the caller
	outcome apiv1.GrantOutcome // for the shard host, which made the grant
	// stalled means that the connection made no progress or was already
	// unusable; the minion may be healthy.
	stalled bool
	// replaceGrant means that nothing was written and another grant may succeed.
	replaceGrant bool
	// permanent means that no retry can help.
	permanent bool
}

// sendAttempt sends the request once to the grant's minion, with id in the
// request-id header. newConn asks for a new connection. The attempt fails when
// no byte is transferred for progressTimeout.
func (s *Server) sendAttempt(q *request, h *heldGrant, id string, newConn bool, progressTimeout time.Duration) (*response, *failure) {
	p := s.pools.get(h.Address)
	conn, err := p.get(q.ctx, newConn, int(h.MaxConnections))
	if err != nil {
		return nil, s.connectFailure(q, h, err)
	}
	conn.beginRequest(func() *result.Error { return s.checkBeforeSend(q, h) }, progressTimeout)
	stop := context.AfterFunc(q.ctx, func() { conn.Close() })
	start := time.Now()
	resp, err := exchange(conn, q, id)
	q.sentBytes = q.sentBytes || conn.sentBytes.Load()
	if err != nil {
		stop()
		f := s.classifyFailure(q, h, conn, err)
		p.drop(conn)
		return nil, f
	}
	s.progressTimeouts.observe(q.service, time.Since(start))
	resp.conn, resp.pool, resp.stopWatch = conn, p, stop
	return resp, nil
}

// exchange writes the request, with id in the request-id header, and reads the
// header of the response and up to maxBufferedResponseBytes of its body. A
// response with another id, or without a Content-Length, is an error.
func exchange(conn *minionConn, q *request, id string) (*response, error) {
	head := requestHead(conn.RemoteAddr().String(), q, id)
	if len(q.body) <= maxInlineBodyBytes {
		if _, err := conn.Write(append(head, q.body...)); err != nil {
			return nil, err
		}
		return readResponse(conn, q, id)
	}
	written := make(chan error, 1)
	go func() {
		err := writeLarge(conn, head, q.body)
		if err != nil {
			conn.Close() // unblocks the read of the response
		}
		written <- err
	}()
	resp, err := readResponse(conn, q, id)
	if err != nil {
		conn.Close()
		return nil, errors.Join(<-written, err)
	}
	select {
	case werr := <-written:
		resp.reusable = resp.reusable && werr == nil
	default:
		resp.reusable = false // the minion responded before it read the whole request
	}
	return resp, nil
}

func writeLarge(conn *minionConn, head, body []byte) error {
	if _, err := conn.Write(head); err != nil {
		return err
	}
	_, err := conn.Write(body)
	return err
}

func requestHead(host string, q *request, id string) []byte {
	b := bytes.NewBuffer(make([]byte, 0, 512+min(len(q.body), maxInlineBodyBytes)))
	fmt.Fprintf(b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n", q.method, q.path, host, headerRequestID, id)
	if q.contentType != "" {
		fmt.Fprintf(b, "Content-Type: %s\r\n", q.contentType)
	}
	if len(q.body) > 0 || !q.repeatable || q.method == http.MethodPost || q.method == http.MethodPut {
		fmt.Fprintf(b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

func readResponse(conn *minionConn, q *request, id string) (*response, error) {
	httpResp, err := readHeader(conn, q.method) //nolint:bodyclose // the body is read from the connection, which response.close ends
	if err != nil {
		return nil, err
	}
	if httpResp.Header.Get(headerRequestID) != id {
		return nil, errWrongID
	}
	resp := &response{
		status:      httpResp.StatusCode,
		contentType: httpResp.Header.Get("Content-Type"),
		length:      httpResp.ContentLength,
		reusable:    !httpResp.Close,
	}
	if !hasBody(q.method, httpResp.StatusCode) {
		return resp, nil
	}
	if httpResp.ContentLength < 0 {
		return nil, errNoLength
	}
	resp.body = make([]byte, min(httpResp.ContentLength, maxBufferedResponseBytes))
	if _, err := io.ReadFull(httpResp.Body, resp.body); err != nil {
		return nil, fmt.Errorf("response of %d bytes: %w", httpResp.ContentLength, toUnexpectedEOF(err))
	}
	if httpResp.ContentLength > maxBufferedResponseBytes {
		resp.rest = httpResp.Body
	}
	return resp, nil
}

// readHeader reads the header of the final response and skips interim ones.
func readHeader(conn *minionConn, method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(conn.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= minFinalStatus {
			conn.endHeader()
			return resp, nil
		}
	}
}

// hasBody reports whether a final response with the status to a request with
// the method has a body.
func hasBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// toUnexpectedEOF replaces io.EOF, which is an error inside a message.
func toUnexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// connectFailure describes an attempt that got no connection.
func (s *Server) connectFailure(q *request, h *heldGrant, err error) *failure {
	if q.ctx.Err() != nil {
		return &failure{err: deadlineTooShort(), outcome: apiv1.GrantOutcome_GRANT_OUTCOME_NOT_STARTED, permanent: true}
	}
	return &failure{
		err:     result.NotRun(apiv1.ResultCode_RESULT_CODE_TARGET_FAILED, "minion %q could not be connected: %v", h.MinionId, err),
		outcome: apiv1.GrantOutcome_GRANT_OUTCOME_TARGET_FAILED,
	}
}

// classifyFailure returns what to report to the caller and the shard host for
// an error of exchange.
func (s *Server) classifyFailure(q *request, h *heldGrant, conn *minionConn, err error) *failure {
	if refused, ok := errors.AsType[*result.Error](err); ok {
		return refusedFailure(refused)
	}
	if q.ctx.Err() != nil {
		return timeoutFailure(q)
	}
	f := &failure{outcome: apiv1.GrantOutcome_GRANT_OUTCOME_TARGET_FAILED}
	code := apiv1.ResultCode_RESULT_CODE_TARGET_FAILED
	switch {
	case errors.Is(err, errNoProgress), conn.reused && !conn.receivedBytes:
		// A reused connection may have been closed or stalled before this
		// request, so the error says nothing about the minion.
		f.outcome = apiv1.GrantOutcome_GRANT_OUTCOME_CONNECTION_SILENT
		f.stalled = true
	case conn.receivedBytes:
		code = apiv1.ResultCode_RESULT_CODE_INCOMPLETE_ANSWER
	}
	f.err = result.New(code, "minion %q gave no complete answer: %v", h.MinionId, err)
	return f
}

// refusedFailure describes an attempt that checkBeforeSend refused.
func refusedFailure(err *result.Error) *failure {
	f := &failure{err: err, outcome: apiv1.GrantOutcome_GRANT_OUTCOME_NOT_STARTED}
	switch err.Code {
	case apiv1.ResultCode_RESULT_CODE_ZONE_OUT, apiv1.ResultCode_RESULT_CODE_STALE_GRANT:
		f.replaceGrant = true
	default:
		f.permanent = true
	}
	return f
}

// timeoutFailure does not count as a failure of the minion: the caller may have
// set too short a timeout, or closed its connection.
func timeoutFailure(q *request) *failure {
	f := &failure{
		err:       result.New(apiv1.ResultCode_RESULT_CODE_TIMEOUT, "the request did not finish within %v", q.timeout),
		outcome:   apiv1.GrantOutcome_GRANT_OUTCOME_DONE,
		permanent: true,
	}
	if errors.Is(q.ctx.Err(), context.Canceled) {
		f.err.Message = "the caller closed the connection before the answer"
	}
	return f
}
