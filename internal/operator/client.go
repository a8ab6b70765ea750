// Package operator implements clients of the operators' HTTP API and of the
// admin pages about batch jobs, and the keys that authenticate operators.
package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/dghubble/sling"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

const (
	// maxReplyBytes limits the size of a reply. A state dump is the largest one.
	maxReplyBytes = 256 << 20
	// defaultPublishAttemptTimeout must be longer than 8 s: the control leader
	// delays the reply to a publish for up to that time, until the version is in
	// force (control.inForceTimeout). An attempt that times out earlier has an
	// unknown outcome.
	defaultPublishAttemptTimeout = 10 * time.Second
	// initialBackoff and maxBackoff limit the wait between two attempts. An
	// election of a control leader takes about a second.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = time.Second
)

// Options configures a Client.
type Options struct {
	// Addresses are the operator addresses (ip:port) of control replicas. At
	// least one is required.
	Addresses []string
	// Credential is "<operator name>.<secret>", as ReadCredential returns it.
	Credential string
	// Timeout limits a whole call except a publish. One attempt gets half of it,
	// so that a stalled connection leaves time to try another replica.
	Timeout time.Duration
	// PublishAttemptTimeout limits one attempt of a publish; the whole publish
	// gets twice that time. Zero means 10 s.
	PublishAttemptTimeout time.Duration
}

// Client calls the operators' HTTP API of the control leader. Each attempt uses
// a new connection, because an idle one may have stalled unnoticed. A Client is
// not safe for concurrent use.
type Client struct {
	opts Options
	http *http.Client
	// nextAddress is where the next attempt goes.
	nextAddress string
}

// NewClient returns a client whose first attempt goes to the first address. The
// error is INVALID_ARGUMENT when there is no address.
func NewClient(o Options) (*Client, error) {
	if len(o.Addresses) == 0 {
		return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "no operator address is configured; set operator_addresses")
	}
	if o.PublishAttemptTimeout == 0 {
		o.PublishAttemptTimeout = defaultPublishAttemptTimeout
	}
	transport := &http.Transport{DisableKeepAlives: true}
	return &Client{
		opts: o,
		http: &http.Client{
			Transport: transport,
			// The API has no redirects. Following one would send the credential to
			// another server.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		nextAddress: o.Addresses[0],
	}, nil
}

// apiCall is one request of the API. It may be sent more than once, because
// every call of the API is a read or idempotent.
type apiCall struct {
	method, path string
	query        any           // struct with url tags; nil for no query
	body         proto.Message // nil for no body
	reply        any           // proto.Message or *[]byte
	// attemptTimeout limits one attempt; the whole call gets twice that time.
	// Zero means half of Options.Timeout.
	attemptTimeout time.Duration
}

// do sends the call until a replica returns a final reply or the call times
// out. After a timeout the code is OUTCOME_UNKNOWN if any attempt may have
// reached a replica, and NO_QUORUM if none did.
func (c *Client) do(ctx context.Context, call apiCall) error {
	if call.attemptTimeout == 0 {
		call.attemptTimeout = c.opts.Timeout / 2
	}
	ctx, cancel := context.WithTimeout(ctx, 2*call.attemptTimeout)
	defer cancel()
	backoff := initialBackoff
	var maybeSent bool
	for {
		err := c.attempt(ctx, call)
		if err == nil || isFinal(err) {
			return err
		}
		maybeSent = maybeSent || !result.From(err).NotRun
		c.chooseNext(result.From(err).LeaderAddress)
		select {
		case <-ctx.Done():
			return timeoutError(maybeSent, err)
		case <-time.After(backoff):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// timeoutError returns the error of a call that timed out after the given last
// failure. With maybeSent the call may have taken effect.
func timeoutError(maybeSent bool, last error) error {
	message := result.From(last).Message
	if maybeSent {
		return result.New(apiv1.ResultCode_RESULT_CODE_OUTCOME_UNKNOWN, "no final answer in time; the call may have taken effect; last failure: %s", message)
	}
	return result.NotRun(apiv1.ResultCode_RESULT_CODE_NO_QUORUM, "no control leader answered in time; last failure: %s", message)
}

// isFinal reports whether the call must not be retried, because another attempt
// would end with the same error.
func isFinal(err error) bool {
	switch result.CodeOf(err) {
	case apiv1.ResultCode_RESULT_CODE_NOT_LEADER, apiv1.ResultCode_RESULT_CODE_NO_QUORUM,
		apiv1.ResultCode_RESULT_CODE_OUTCOME_UNKNOWN, apiv1.ResultCode_RESULT_CODE_TIMEOUT,
		apiv1.ResultCode_RESULT_CODE_INCOMPLETE_ANSWER, apiv1.ResultCode_RESULT_CODE_SHUTTING_DOWN:
		return false
	}
	return true
}

// chooseNext selects the address of the next attempt: the leader's, or the next
// configured one when the leader is unknown or is the replica that just failed.
func (c *Client) chooseNext(leader string) {
	if _, err := netip.ParseAddrPort(leader); err == nil && leader != c.nextAddress {
		c.nextAddress = leader
		return
	}
	i := slices.Index(c.opts.Addresses, c.nextAddress)
	c.nextAddress = c.opts.Addresses[(i+1)%len(c.opts.Addresses)]
}

// attempt sends the call once. An error is marked as not run only when the
// request cannot have taken effect.
func (c *Client) attempt(ctx context.Context, call apiCall) error {
	ctx, cancel := context.WithTimeout(ctx, call.attemptTimeout)
	defer cancel()
	s := sling.New().Client(c.http).Base("http://"+c.nextAddress).
		Set("Authorization", "Bearer "+c.opts.Credential).
		ResponseDecoder(replyDecoder{})
	switch call.method {
	case http.MethodPost:
		s = s.Post(call.path)
	default:
		s = s.Get(call.path)
	}
	if call.query != nil {
		s = s.QueryStruct(call.query)
	}
	if call.body != nil {
		s = s.BodyProvider(jsonBody{call.body})
	}
	req, err := s.Request()
	if err != nil {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "the request cannot be built: %v", err)
	}
	status := &apiv1.Status{}
	resp, err := s.Do(req.WithContext(ctx), call.reply, status) //nolint:bodyclose // sling closes it
	if op, ok := errors.AsType[*net.OpError](err); ok && op.Op == "dial" {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_INCOMPLETE_ANSWER, "%s cannot be reached: %v", c.nextAddress, err)
	}
	if refused, ok := errors.AsType[*result.Error](err); ok {
		return refused
	}
	if err != nil {
		return result.New(apiv1.ResultCode_RESULT_CODE_INCOMPLETE_ANSWER, "no complete answer from %s: %v", c.nextAddress, err)
	}
	if resp.StatusCode/100 == 2 {
		return nil
	}
	if err := result.FromStatus(status); err != nil {
		return err
	}
	return result.New(apiv1.ResultCode_RESULT_CODE_INTERNAL, "%s answered HTTP %d without a result code; check operator_addresses", c.nextAddress, resp.StatusCode)
}

// jsonBody is a request body with a message as protobuf JSON.
type jsonBody struct{ message proto.Message }

// ContentType implements sling.BodyProvider.
func (jsonBody) ContentType() string { return "application/json" }

// Body implements sling.BodyProvider.
func (b jsonBody) Body() (io.Reader, error) {
	data, err := protojson.Marshal(b.message)
	if err != nil {
		return nil, fmt.Errorf("encode the request: %w", err)
	}
	return bytes.NewReader(data), nil
}

// replyDecoder reads a reply completely before it decodes it, so that a
// truncated reply is an error and not a partial message.
type replyDecoder struct{}

// Decode implements sling.ResponseDecoder.
func (replyDecoder) Decode(resp *http.Response, into any) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes+1))
	if err != nil {
		return fmt.Errorf("read the answer: %w", err)
	}
	if len(data) > maxReplyBytes {
		return fmt.Errorf("the answer has more than %d bytes", maxReplyBytes)
	}
	switch reply := into.(type) {
	case *[]byte:
		*reply = data
		return nil
	case *apiv1.Status:
		// The error page of a proxy is not protobuf JSON. With an empty status,
		// attempt reports the HTTP status instead.
		if protojson.Unmarshal(data, reply) != nil {
			reply.Reset()
		}
		return nil
	case *apiv1.Config:
		return decodeConfig(data, reply)
	case proto.Message:
		// A newer server may send fields that this client does not know.
		return protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(data, reply)
	}
	return fmt.Errorf("a reply cannot be decoded into %T", into)
}

// decodeConfig decodes a configuration and returns an error for unknown fields.
// An edit publishes the decoded objects again, so ignoring a field that a newer
// server stores in them would silently delete it.
func decodeConfig(data []byte, to *apiv1.Config) error {
	if !json.Valid(data) {
		return errors.New("the answer is not JSON")
	}
	if err := protojson.Unmarshal(data, to); err != nil {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_INTERNAL, "the configuration cannot be read by this release of bergamotctl; use the release of the control VMs: %v", err)
	}
	return nil
}
