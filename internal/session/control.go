package session

import (
	"context"
	"errors"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
	"bergamotdrum.example/bergamotdrum/internal/rpc"
)

const (
	// DefaultAttemptTimeout bounds one call to one replica. It is half the
	// session TTL, 2 s in the setting session_ttl_ms, so that after a replica stops
	// answering there is time to renew through another one.
	DefaultAttemptTimeout = time.Second
	// renewAttemptTimeout bounds one attempt to renew, which the leader delays by
	// up to 400 ms (longPollTimeout in package control) as a long poll. After the
	// loss of the leader there is time for a second attempt before the TTL of 2 s
	// ends.
	renewAttemptTimeout = 750 * time.Millisecond
	// leaderSearchDelay is the wait after all addresses were tried without
	// reaching the leader; an election takes about a second.
	leaderSearchDelay = 50 * time.Millisecond
	// defaultTotalTimeout bounds a call, with all its attempts, whose context
	// has no deadline.
	defaultTotalTimeout = 10 * time.Second
	// maxRedirects is the number of redirects followed without a delay. It ends
	// loops between replicas that each name the other as leader.
	maxRedirects = 4
)

const methodRenew = "Control.RenewSession"

// RPCClient makes one remote call; *rpc.Client implements it.
type RPCClient interface {
	Call(ctx context.Context, address, method string, req, resp proto.Message) error
}

// ControlClient is a client of the control group, the replicas that keep the
// replicated state. It sends each call to the group's leader, which it finds by
// trying the addresses and by following redirects. It is safe for concurrent
// use.
type ControlClient struct {
	client         RPCClient
	addresses      []string
	attemptTimeout time.Duration

	mu     sync.Mutex
	leader string // address to send calls to; empty when the leader is unknown
	next   int    // index of the next address to try while it is unknown
}

// NewControlClient returns a client of the replicas at addresses (ip:port).
func NewControlClient(client RPCClient, addresses []string) *ControlClient {
	return &ControlClient{client: client, addresses: addresses, attemptTimeout: DefaultAttemptTimeout}
}

// Execute commits cmd and returns its result. A command that was refused is
// returned as *result.Error. When the answer is lost, a command that is not
// idempotent returns OUTCOME_UNKNOWN; an idempotent one is sent again until ctx
// ends. NO_QUORUM means that no leader was reached and nothing was executed.
func (c *ControlClient) Execute(ctx context.Context, cmd *apiv1.Command) (*apiv1.CommandResult, error) {
	res := &apiv1.CommandResult{}
	kind := once
	if IsIdempotent(cmd) {
		kind = repeatable
	}
	if err := c.call(ctx, "Control.Execute", cmd, res, kind); err != nil {
		return nil, err
	}
	if err := result.FromStatus(res.Status); err != nil {
		return nil, err
	}
	return res, nil
}

// RenewSession renews a session, the lease of an entry process with the control
// group, once. The leader may delay its answer until there is a newer view, the
// part of the replicated state that entry processes receive (long poll).
func (c *ControlClient) RenewSession(ctx context.Context, req *apiv1.RenewSession) (*apiv1.SessionRenewal, error) {
	resp := &apiv1.SessionRenewal{}
	return resp, c.call(ctx, methodRenew, req, resp, repeatable)
}

// GetView returns the leader's current view. The configuration is left out when
// req says that the caller already has it.
func (c *ControlClient) GetView(ctx context.Context, req *apiv1.GetView) (*apiv1.View, error) {
	resp := &apiv1.View{}
	return resp, c.call(ctx, "Control.GetView", req, resp, query)
}

// ReportWorkers forwards heartbeats of workers. It is not sent again after a
// lost answer, because workers send a newer heartbeat each second.
func (c *ControlClient) ReportWorkers(ctx context.Context, req *apiv1.WorkerBatch) (*apiv1.WorkerBatchReply, error) {
	resp := &apiv1.WorkerBatchReply{}
	return resp, c.call(ctx, "Control.ReportWorkers", req, resp, once)
}

// GetJob returns a job of the client account that req names; operators name
// none and get a job of any account.
func (c *ControlClient) GetJob(ctx context.Context, req *apiv1.GetJob) (*apiv1.Job, error) {
	resp := &apiv1.Job{}
	return resp, c.call(ctx, "Control.GetJob", req, resp, query)
}

// IsIdempotent reports whether committing cmd twice has the same effect as
// committing it once. ReportDemand, which states the slots that the teams want
// from one service, counts as not idempotent: the control group refuses a report
// that is older than the last one applied, since newer numbers have replaced it.
// Commands that are not listed count as not idempotent too.
func IsIdempotent(cmd *apiv1.Command) bool {
	switch cmd.Body.(type) {
	case *apiv1.Command_PublishConfig, *apiv1.Command_OpenSession, *apiv1.Command_ExpireSessions,
		*apiv1.Command_ReleaseSessions, *apiv1.Command_FinishRecovery, *apiv1.Command_StartRequest,
		*apiv1.Command_FinishRequest, *apiv1.Command_SubmitJob, *apiv1.Command_CancelJobs:
		return true
	}
	return false
}

// SetAttemptTimeout sets the timeout of one call to one replica, which is
// DefaultAttemptTimeout otherwise. SetAttemptTimeout must be called before the
// first call.
func (c *ControlClient) SetAttemptTimeout(d time.Duration) { c.attemptTimeout = d }

// SetLeader makes address the one that calls are sent to until the replica there
// fails or redirects.
func (c *ControlClient) SetLeader(address string) { c.setLeader(address) }

// Invoke makes a call of the given method that has the same effect when it is
// executed twice, and sends it again after a lost answer. Errors are as with
// Execute.
func (c *ControlClient) Invoke(ctx context.Context, method string, req, resp proto.Message) error {
	return c.call(ctx, method, req, resp, repeatable)
}

// Query is Invoke for a method that changes nothing.
func (c *ControlClient) Query(ctx context.Context, method string, req, resp proto.Message) error {
	return c.call(ctx, method, req, resp, query)
}

// SetAddresses replaces the addresses (ip:port) at which the leader is searched
// for.
func (c *ControlClient) SetAddresses(addresses []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addresses = addresses
}

func (c *ControlClient) addressCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(len(c.addresses), 1)
}

// callKind says what follows when the answer to a call is lost.
type callKind int

const (
	// once means that the call is not sent again; its outcome is unknown.
	once callKind = iota
	// repeatable means that the call is sent again: executing it twice has the same
	// effect as executing it once.
	repeatable
	// query means that the call is sent again and changes nothing, so that what a
	// later answer says holds whatever became of the earlier attempts.
	query
)

func (c *ControlClient) call(ctx context.Context, method string, req, resp proto.Message, kind callKind) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultTotalTimeout)
		defer cancel()
	}
	anyExecuted := false // whether any attempt so far may have been executed
	redirects := 0       // followed since the last delay
	for tries := 1; ; tries++ {
		address := c.nextAddress()
		err := c.attempt(ctx, address, method, req, resp)
		if err == nil {
			c.setLeader(address)
			return nil
		}
		retry, maybeExecuted := c.classify(address, err)
		if !retry {
			if anyExecuted && kind != query && dependsOnState(err) {
				return newUnknownOutcomeError(method, err)
			}
			return err
		}
		anyExecuted = anyExecuted || maybeExecuted
		if maybeExecuted && kind == once {
			return newUnknownOutcomeError(method, err)
		}
		if c.isRedirect(err) && redirects < maxRedirects {
			redirects++
			tries--
			continue
		}
		if tries%c.addressCount() == 0 {
			redirects = 0
			if !sleep(ctx, leaderSearchDelay) {
				return c.finalError(method, err, anyExecuted)
			}
		}
		if ctx.Err() != nil {
			return c.finalError(method, err, anyExecuted)
		}
	}
}

func (c *ControlClient) attempt(ctx context.Context, address, method string, req, resp proto.Message) error {
	timeout := c.attemptTimeout
	if method == methodRenew {
		timeout = min(timeout, renewAttemptTimeout)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	proto.Reset(resp)
	return c.client.Call(ctx, address, method, req, resp)
}

// classify reports whether to try again, possibly at another replica, and
// whether the failed attempt may have been executed.
func (c *ControlClient) classify(address string, err error) (retry, maybeExecuted bool) {
	if te, ok := errors.AsType[*rpc.TransportError](err); ok {
		c.forgetLeader(address)
		return true, te.MaybeSent
	}
	re, ok := errors.AsType[*result.Error](err)
	if !ok {
		return false, false
	}
	switch re.Code {
	case apiv1.ResultCode_RESULT_CODE_NOT_LEADER:
		c.forgetLeader(address)
		c.setLeader(re.LeaderAddress)
		return true, false
	case apiv1.ResultCode_RESULT_CODE_NO_QUORUM:
		c.forgetLeader(address)
		return true, !re.NotRun
	}
	return false, false
}

// dependsOnState reports whether a refusal may have another reason than the
// content of the request. If so, it doesn't say that an earlier attempt of the same
// call was refused as well.
func dependsOnState(err error) bool {
	re, ok := errors.AsType[*result.Error](err)
	if !ok || !re.NotRun {
		return false
	}
	switch re.Code {
	case apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, apiv1.ResultCode_RESULT_CODE_CONFIG_INVALID,
		apiv1.ResultCode_RESULT_CODE_TOO_LARGE, apiv1.ResultCode_RESULT_CODE_JOB_NOT_FOUND:
		return false
	}
	return true
}

func (c *ControlClient) isRedirect(err error) bool {
	re, ok := errors.AsType[*result.Error](err)
	return ok && re.LeaderAddress != ""
}

func (c *ControlClient) nextAddress() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" {
		return c.leader
	}
	if len(c.addresses) == 0 {
		return ""
	}
	address := c.addresses[c.next%len(c.addresses)]
	c.next++
	return address
}

func (c *ControlClient) setLeader(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = address
}

func (c *ControlClient) forgetLeader(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == address {
		c.leader = ""
	}
}

// finalError returns the error of a call that found no leader in time; err is
// that of the last attempt.
func (c *ControlClient) finalError(method string, err error, maybeExecuted bool) error {
	if maybeExecuted {
		return newUnknownOutcomeError(method, err)
	}
	return result.NotRun(apiv1.ResultCode_RESULT_CODE_NO_QUORUM, "%s reached no leader of the control group: %v", method, err)
}

// UnknownOutcomeError is the error of a call that was sent and may have been
// executed or not: the answer was lost, or the leader lost its quorum before it
// knew the outcome. Its code is OUTCOME_UNKNOWN.
type UnknownOutcomeError struct{ Err *result.Error }

// Error implements the error interface.
func (e *UnknownOutcomeError) Error() string { return e.Err.Error() }

// Unwrap returns the error with the result code.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

func newUnknownOutcomeError(method string, err error) error {
	return &UnknownOutcomeError{result.New(apiv1.ResultCode_RESULT_CODE_OUTCOME_UNKNOWN, "%s was sent and its answer was lost; it may have been carried out: %v", method, err)}
}

// sleep waits for d and reports whether ctx is still active.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
