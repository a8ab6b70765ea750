package batchservice

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

const (
	// announceDelay is how long an announcement waits for others that go to the leader
	// with it.
	announceDelay = 20 * time.Millisecond
	// announceTimeout bounds the call for a group. Minions wait for a second.
	announceTimeout = 800 * time.Millisecond
)

// announcer hands on minions' announcements to the leader in groups. Each minion
// announces itself every second or two, so that the calls of a large fleet would take
// the leader more time than what they say.
type announcer struct {
	control Invoker

	mu      sync.Mutex
	waiting []waitingAnnouncement
}

// waitingAnnouncement is an announcement whose result is sent to done, which has a buffer
// of one.
type waitingAnnouncement struct {
	req  *apiv1.AnnounceMinionRequest
	done chan error
}

// announce returns nil once the leader has taken note of the announcement. One that can't
// be encoded, since a text in it isn't UTF-8, is refused: its whole group would fail.
func (a *announcer) announce(ctx context.Context, req *apiv1.AnnounceMinionRequest) error {
	if _, err := proto.Marshal(req); err != nil {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "announcement of minion %q can't be encoded: %v", req.Minion.GetLife().GetId(), err)
	}
	w := waitingAnnouncement{req, make(chan error, 1)}
	a.mu.Lock()
	a.waiting = append(a.waiting, w)
	if len(a.waiting) == 1 {
		time.AfterFunc(announceDelay, a.send)
	}
	a.mu.Unlock()
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
		return result.New(apiv1.ResultCode_RESULT_CODE_OUTCOME_UNKNOWN, "the announcement is not confirmed: %v", ctx.Err())
	}
}

// send sends the announcements that wait, in one call.
func (a *announcer) send() {
	a.mu.Lock()
	group := a.waiting
	a.waiting = nil
	a.mu.Unlock()
	req := &apiv1.AnnounceMinionsRequest{}
	for _, w := range group {
		req.Announcements = append(req.Announcements, w.req)
	}
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	resp := &apiv1.AnnounceMinionsResponse{}
	err := a.control.Invoke(ctx, MethodAnnounceAll, req, resp)
	if err == nil && len(resp.Results) != len(group) {
		err = result.New(apiv1.ResultCode_RESULT_CODE_INTERNAL, "%d results for %d announcements", len(resp.Results), len(group))
	}
	for i, w := range group {
		if err != nil {
			w.done <- err
			continue
		}
		w.done <- result.FromStatus(resp.Results[i])
	}
}
