package scheduler

import (
	"context"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

// Acquire serves Shard.Acquire: it answers with a grant, or with the reason
// why the request did not start within its time.
func (h *Host) Acquire(ctx context.Context, req *apiv1.AcquireRequest) (*apiv1.Grant, error) {
	sh, err := h.findShard(req.Service)
	if err != nil {
		return nil, err
	}
	ticket, answer, err := sh.enqueue(req)
	if err != nil {
		return nil, err
	}
	select {
	case out := <-answer:
		if out.Err != nil {
			return nil, out.Err
		}
		return out.Grant, nil
	case <-ctx.Done():
		sh.abandon(ticket, answer)
		return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_TIMEOUT, "the caller no longer waits for a slot of %s", req.Service)
	}
}

// Release serves Shard.Release. It may be repeated.
func (h *Host) Release(_ context.Context, req *apiv1.ReleaseRequest) (*apiv1.Empty, error) {
	sh, err := h.findShard(req.Service)
	if err != nil {
		return nil, err
	}
	sh.release(req)
	return &apiv1.Empty{}, nil
}

// Announce serves Shard.Announce. Minions of shards hosted here are taken over
// even when others of the batch belong elsewhere.
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
