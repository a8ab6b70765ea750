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
	// Responses up to this size are complete before the caller sees a status.
	maxBufferedAnswerBytes = 1 << 20
	// Request bodies up to this size are written before the response is read;
	// larger ones at the same time, as a minion may answer early.
	maxInlineBodyBytes = 64 << 10
	statusInformation  = 200 // responses below are interim
)

var (
	errWrongID  = errors.New("the response carries another request id")
	errNoLength = errors.New("the response has no Content-Length")
)

// answer is a minion's response. Its body is whole unless rest is set.
type answer struct {
	status      int
	contentType string
	length      int64 // as declared by the minion
	body        []byte
	rest        io.Reader // what follows body
	reusable    bool
	conn        *minionConn
	pool        *pool
	stop        func() bool // ends the watch on the request's context
}

// close gives the connection back to the pool when it is clean.
func (a *answer) close(whole bool) {
	stopped := a.stop()
	if whole && stopped && a.reusable && a.conn.reader.Buffered() == 0 {
		a.pool.put(a.conn)
		return
	}
	a.pool.drop(a.conn)
}

// failure is an attempt that brought no answer.
type failure struct {
	err     *result.Error
	outcome apiv1.GrantOutcome
	// silent means that a connection, not the minion, is suspected.
	silent bool
	// regrant means that nothing was written and another grant may succeed.
	regrant bool
	// final means that no retry can help.
	final bool
}

// send runs one attempt under the grant. The minion sees id as request id.
func (s *Server) send(q *request, h *heldGrant, id string, fresh bool, silence time.Duration) (*answer, *failure) {
	p := s.pools.get(h.Address)
	conn, err := p.get(q.ctx, fresh, int(h.MaxConnections))
	if err != nil {
		return nil, s.notConnected(q, h, err)
	}
	conn.arm(func() *result.Error { return s.mayStart(q, h) }, silence)
	stop := context.AfterFunc(q.ctx, func() { conn.Close() })
	began := time.Now()
	ans, err := exchange(conn, q, id)
	q.wrote = q.wrote || conn.wrote.Load()
	if err != nil {
		stop()
		f := s.classify(q, h, conn, err)
		p.drop(conn)
		return nil, f
	}
	s.silence.observe(q.service, time.Since(began))
	ans.conn, ans.pool, ans.stop = conn, p, stop
	return ans, nil
}

// exchange writes the request and reads the response's header and up to
// maxBufferedAnswerBytes of its body.
func exchange(conn *minionConn, q *request, id string) (*answer, error) {
	head := requestHead(conn.RemoteAddr().String(), q, id)
	if len(q.body) <= maxInlineBodyBytes {
		if _, err := conn.Write(append(head, q.body...)); err != nil {
			return nil, err
		}
		return readAnswer(conn, q, id)
	}
	written := make(chan error, 1)
	go func() {
		err := writeLarge(conn, head, q.body)
		if err != nil {
			conn.Close() // ends the reader as well
		}
		written <- err
	}()
	ans, err := readAnswer(conn, q, id)
	if err != nil {
		conn.Close()
		return nil, errors.Join(<-written, err)
	}
	select {
	case werr := <-written:
		ans.reusable = ans.reusable && werr == nil
	default:
		ans.reusable = false // the minion answered before it read everything
	}
	return ans, nil
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

func readAnswer(conn *minionConn, q *request, id string) (*answer, error) {
	resp, err := readHeader(conn, q.method) //nolint:bodyclose // the body is a part of the connection, which answer.close ends
	if err != nil {
		return nil, err
	}
	if resp.Header.Get(headerRequestID) != id {
		return nil, errWrongID
	}
	ans := &answer{
		status:      resp.StatusCode,
		contentType: resp.Header.Get("Content-Type"),
		length:      resp.ContentLength,
		reusable:    !resp.Close,
	}
	if !hasBody(q.method, resp.StatusCode) {
		return ans, nil
	}
	if resp.ContentLength < 0 {
		return nil, errNoLength
	}
	ans.body = make([]byte, min(resp.ContentLength, maxBufferedAnswerBytes))
	if _, err := io.ReadFull(resp.Body, ans.body); err != nil {
		return nil, fmt.Errorf("response of %d bytes: %w", resp.ContentLength, noEOF(err))
	}
	if resp.ContentLength > maxBufferedAnswerBytes {
		ans.rest = resp.Body
	}
	return ans, nil
}

func readHeader(conn *minionConn, method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(conn.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= statusInformation {
			conn.headerDone()
			return resp, nil
		}
	}
}

func hasBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func (s *Server) notConnected(q *request, h *heldGrant, err error) *failure {
	if q.ctx.Err() != nil {
		return &failure{err: deadlineTooShort(), outcome: apiv1.GrantOutcome_GRANT_OUTCOME_NOT_STARTED, final: true}
	}
	return &failure{
		err:     result.NotRun(apiv1.ResultCode_RESULT_CODE_TARGET_FAILED, "minion %q could not be connected: %v", h.MinionId, err),
		outcome: apiv1.GrantOutcome_GRANT_OUTCOME_TARGET_FAILED,
	}
}

// classify turns an error of exchange into what the caller and the shard are
// told.
func (s *Server) classify(q *request, h *heldGrant, conn *minionConn, err error) *failure {
	if refused, ok := errors.AsType[*result.Error](err); ok {
		return refusal(refused)
	}
	if q.ctx.Err() != nil {
		return timedOut(q)
	}
	f := &failure{outcome: apiv1.GrantOutcome_GRANT_OUTCOME_TARGET_FAILED}
	code := apiv1.ResultCode_RESULT_CODE_TARGET_FAILED
	switch {
	case errors.Is(err, errSilent), conn.reused && !conn.read:
		// A reused connection may have been closed or frozen before this
		// request, which says nothing about the minion.
		f.outcome = apiv1.GrantOutcome_GRANT_OUTCOME_CONNECTION_SILENT
		f.silent = true
	case conn.read:
		code = apiv1.ResultCode_RESULT_CODE_INCOMPLETE_ANSWER
	}
	f.err = result.New(code, "minion %q gave no complete answer: %v", h.MinionId, err)
	return f
}

// refusal is an attempt that the last check stopped.
func refusal(err *result.Error) *failure {
	f := &failure{err: err, outcome: apiv1.GrantOutcome_GRANT_OUTCOME_NOT_STARTED}
	switch err.Code {
	case apiv1.ResultCode_RESULT_CODE_ZONE_OUT, apiv1.ResultCode_RESULT_CODE_STALE_GRANT:
		f.regrant = true
	default:
		f.final = true
	}
	return f
}

// timedOut does not blame the minion: the caller may have set a timeout that
// is too short, or have left.
func timedOut(q *request) *failure {
	f := &failure{
		err:     result.New(apiv1.ResultCode_RESULT_CODE_TIMEOUT, "the request did not finish within %v", q.timeout),
		outcome: apiv1.GrantOutcome_GRANT_OUTCOME_DONE,
		final:   true,
	}
	if errors.Is(q.ctx.Err(), context.Canceled) {
		f.err.Message = "the caller closed the connection before the answer"
	}
	return f
}
