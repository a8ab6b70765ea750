// Package operator holds the client of the operators' HTTP API and the
// operators' keys.
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
	// maxReplyBytes bounds a reply; a state dump is the largest.
	maxReplyBytes = 256 << 20
	// defaultPublishWait is longer than the 8 s for which the control leader holds
	// the answer to a publish that is not yet in force; a shorter attempt would
	// end as an unknown outcome.
	defaultPublishWait = 10 * time.Second
	// firstPause and maxPause bound the wait between two attempts. An election
	// takes about a second.
	firstPause = 50 * time.Millisecond
	maxPause   = time.Second
)

// Options configure a client.
type Options struct {
	// Addresses are operator addresses (ip:port) of control replicas.
	Addresses []string
	// Credential is "<operator name>.<secret>".
	Credential string
	// Timeout bounds a whole call; one attempt gets half of it, so that a
	// connection that went silent leaves time for another replica.
	Timeout time.Duration
	// PublishAttemptTimeout is the time for one attempt of a publish, which gets twice of
	// it as a whole; zero means 10 s.
	PublishAttemptTimeout time.Duration
}

// Client calls the control leader. Each attempt uses a fresh connection,
// because an open one may have gone silent. It is not safe for concurrent use.
type Client struct {
	options Options
	http    *http.Client
	// next is the address of the next attempt.
	next string
}

// NewClient returns a client that first asks the first address.
func NewClient(o Options) (*Client, error) {
	if len(o.Addresses) == 0 {
		return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "no operator address is configured; set operator_addresses")
	}
	if o.PublishAttemptTimeout == 0 {
		o.PublishAttemptTimeout = defaultPublishWait
	}
	transport := &http.Transport{DisableKeepAlives: true}
	return &Client{
		options: o,
		http: &http.Client{
			Transport: transport,
			// The API has no redirects; following one would send the credential on.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		next: o.Addresses[0],
	}, nil
}

// call is one request that may be sent again: every call of the API is either
// a read or has the same effect when repeated.
type call struct {
	method, path string
	query        any           // struct with url tags, or nil
	body         proto.Message // nil for none
	reply        any           // proto.Message or *[]byte
	// attempt bounds one attempt; the whole call gets twice of it.
	attempt time.Duration
}

// do repeats the call until a replica gives a final reply or the timeout ends.
// After a timeout the code is OUTCOME_UNKNOWN when some attempt may have
// reached a replica, else NO_QUORUM.
func (c *Client) do(ctx context.Context, k call) error {
	if k.attempt == 0 {
		k.attempt = c.options.Timeout / 2
	}
	ctx, cancel := context.WithTimeout(ctx, 2*k.attempt)
	defer cancel()
	pause := firstPause
	var sent bool
	for {
		err := c.attempt(ctx, k)
		if err == nil || final(err) {
			return err
		}
		sent = sent || !result.From(err).NotRun
		c.chooseNext(result.From(err).LeaderAddress)
		select {
		case <-ctx.Done():
			return gaveUp(sent, err)
		case <-time.After(pause):
		}
		pause = min(2*pause, maxPause)
	}
}

func gaveUp(sent bool, last error) error {
	message := result.From(last).Message
	if sent {
		return result.New(apiv1.ResultCode_RESULT_CODE_OUTCOME_UNKNOWN, "no final answer in time; the call may have taken effect; last failure: %s", message)
	}
	return result.NotRun(apiv1.ResultCode_RESULT_CODE_NO_QUORUM, "no control leader answered in time; last failure: %s", message)
}

// final reports whether another attempt cannot help.
func final(err error) bool {
	switch result.CodeOf(err) {
	case apiv1.ResultCode_RESULT_CODE_NOT_LEADER, apiv1.ResultCode_RESULT_CODE_NO_QUORUM,
		apiv1.ResultCode_RESULT_CODE_OUTCOME_UNKNOWN, apiv1.ResultCode_RESULT_CODE_TIMEOUT,
		apiv1.ResultCode_RESULT_CODE_INCOMPLETE_ANSWER, apiv1.ResultCode_RESULT_CODE_SHUTTING_DOWN:
		return false
	}
	return true
}

// chooseNext follows the leader's address, or goes on to the next configured
// address when the leader is not known.
func (c *Client) chooseNext(leader string) {
	if _, err := netip.ParseAddrPort(leader); err == nil && leader != c.next {
		c.next = leader
		return
	}
	i := slices.Index(c.options.Addresses, c.next)
	c.next = c.options.Addresses[(i+1)%len(c.options.Addresses)]
}

func (c *Client) attempt(ctx context.Context, k call) error {
	ctx, cancel := context.WithTimeout(ctx, k.attempt)
	defer cancel()
	s := sling.New().Client(c.http).Base("http://"+c.next).
		Set("Authorization", "Bearer "+c.options.Credential).
		ResponseDecoder(decoder{})
	switch k.method {
	case http.MethodPost:
		s = s.Post(k.path)
	default:
		s = s.Get(k.path)
	}
	if k.query != nil {
		s = s.QueryStruct(k.query)
	}
	if k.body != nil {
		s = s.BodyProvider(body{k.body})
	}
	req, err := s.Request()
	if err != nil {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "the request cannot be built: %v", err)
	}
	status := &apiv1.Status{}
	resp, err := s.Do(req.WithContext(ctx), k.reply, status) //nolint:bodyclose // sling closes it
	if op, ok := errors.AsType[*net.OpError](err); ok && op.Op == "dial" {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_INCOMPLETE_ANSWER, "%s cannot be reached: %v", c.next, err)
	}
	if refused, ok := errors.AsType[*result.Error](err); ok {
		return refused
	}
	if err != nil {
		return result.New(apiv1.ResultCode_RESULT_CODE_INCOMPLETE_ANSWER, "no complete answer from %s: %v", c.next, err)
	}
	if resp.StatusCode/100 == 2 {
		return nil
	}
	if err := result.FromStatus(status); err != nil {
		return err
	}
	return result.New(apiv1.ResultCode_RESULT_CODE_INTERNAL, "%s answered HTTP %d without a result code; check operator_addresses", c.next, resp.StatusCode)
}

// body sends a message as protobuf JSON.
type body struct{ message proto.Message }

// ContentType implements sling.BodyProvider.
func (body) ContentType() string { return "application/json" }

// Body implements sling.BodyProvider.
func (b body) Body() (io.Reader, error) {
	data, err := protojson.Marshal(b.message)
	if err != nil {
		return nil, fmt.Errorf("encode the request: %w", err)
	}
	return bytes.NewReader(data), nil
}

// decoder reads a whole reply before it is used, so that a cut reply is an
// error and never a part of a message.
type decoder struct{}

// Decode implements sling.ResponseDecoder.
func (decoder) Decode(resp *http.Response, v any) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes+1))
	if err != nil {
		return fmt.Errorf("read the answer: %w", err)
	}
	if len(data) > maxReplyBytes {
		return fmt.Errorf("the answer has more than %d bytes", maxReplyBytes)
	}
	switch to := v.(type) {
	case *[]byte:
		*to = data
		return nil
	case *apiv1.Status:
		// A proxy's error page is not protobuf JSON; attempt reports its HTTP status.
		if protojson.Unmarshal(data, to) != nil {
			to.Reset()
		}
		return nil
	case *apiv1.Config:
		return decodeConfig(data, to)
	case proto.Message:
		// A newer server may send fields this client does not know.
		return protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(data, to)
	}
	return fmt.Errorf("a reply cannot be decoded into %T", v)
}

// decodeConfig refuses fields it does not know: an edit publishes the objects
// back, and would silently remove what a newer server keeps in them.
func decodeConfig(data []byte, to *apiv1.Config) error {
	if !json.Valid(data) {
		return errors.New("the answer is not JSON")
	}
	if err := protojson.Unmarshal(data, to); err != nil {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_INTERNAL, "the configuration cannot be read by this release of bergamotctl; use the release of the control VMs: %v", err)
	}
	return nil
}
