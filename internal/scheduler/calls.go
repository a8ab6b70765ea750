package scheduler

import (
	"context"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

// Acquire serves Shard.Acquire, with which an entry process asks a shard, the
// scheduler of one service, for a grant: the permission to send one request to one
// minion. It blocks until the request has a grant, or returns the reason why the
// request did not get one before its deadline.
func (h *Host) Acquire(ctx context.Context, req *apiv1.AcquireRequest) (*apiv1.Grant, error) {
	sh, err := h.findShard(req.Service)
	if err != nil {
		return nil, err
	}
	ticket, waiter, err := sh.enqueue(req)
	if err != nil {
		return nil, err
	}
	select {
	case out := <-waiter:
		if out.Err != nil {
			return nil, out.Err
		}
		return out.Grant, nil
	case <-ctx.Done():
		sh.abandon(ticket, waiter)
		return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_TIMEOUT, "the caller no longer waits for a slot of %s", req.Service)
	}
}

// Release serves Shard.Release, which ends a grant. It is idempotent.
func (h *Host) Release(_ context.Context, req *apiv1.ReleaseRequest) (*apiv1.Empty, error) {
	sh, err := h.findShard(req.Service)
	if err != nil {
		return nil, err
	}
	sh.release(req)
	return &apiv1.Empty{}, nil
}

// Announce serves Shard.Announce. When a minion of the batch belongs to a shard
// that is not hosted here, it returns an error, but still applies the
// announcements for the shards hosted here.
func (h *Host) Announce(_ context.Context, batch *apiv1.MinionBatch) (*apiv1.Empty, error) {
	var failed *result.Error
	for _, m := range batch.Minions {
		sh, err := h.findShard(m.Service)
		if err != nil {
			failed = err
			continue
		}
		sh.announce(m)
	}
	if failed != nil {
		return nil, failed
	}
	return &apiv1.Empty{}, nil
}
