package command

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/objects"
	"bergamotdrum.example/bergamotdrum/internal/operator"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

// maxEditAttempts limits the attempts of one edit. An attempt fails when another
// operator publishes between its fetch and its publish.
const maxEditAttempts = 5

// editFlags are the common flags of the commands that change the current
// objects: the pools, teams, queues and the like of the newest configuration.
type editFlags struct {
	Comment string        `help:"Reason of the change, shown by history."`
	Wait    time.Duration `help:"How long to wait until the change is in force." default:"30s"`
}

// edit fetches the current objects, applies change to them, publishes the result
// with the fetched version as the expected one, and waits until it is in force.
// After a version conflict it starts again from the objects that are current
// then, with a new request id. If change returns an error, edit returns it and
// publishes nothing. The summary is the comment of the version unless the
// operator gave one.
func (a *app) edit(ctx context.Context, f editFlags, summary string, change func(*objects.Index) error) error {
	client, reply, err := a.publishEdit(ctx, f, summary, change)
	if err != nil {
		return err
	}
	return a.waitInForce(ctx, client, reply, f.Wait)
}

// publishEdit is edit without the wait. It returns the client and the reply for
// the caller to wait with.
func (a *app) publishEdit(ctx context.Context, f editFlags, summary string, change func(*objects.Index) error) (*operator.Client, *apiv1.PublishReply, error) {
	client, err := a.client()
	if err != nil {
		return nil, nil, err
	}
	if f.Comment == "" {
		f.Comment = summary
	}
	for attempt := 1; ; attempt++ {
		reply, err := a.attemptEdit(ctx, client, f.Comment, change)
		if err == nil || result.CodeOf(err) != apiv1.ResultCode_RESULT_CODE_VERSION_CONFLICT || attempt == maxEditAttempts {
			return client, reply, err
		}
	}
}

// attemptEdit fetches, changes and publishes the objects once. If nothing
// changed, it publishes no new version and returns the current one.
func (a *app) attemptEdit(ctx context.Context, client *operator.Client, comment string, change func(*objects.Index) error) (*apiv1.PublishReply, error) {
	config, err := client.Config(ctx, 0)
	if err != nil {
		return nil, err
	}
	set := &apiv1.ObjectSet{}
	proto.Merge(set, config.Objects)
	if err := change(objects.NewIndex(set)); err != nil {
		return nil, err
	}
	if proto.Equal(set, config.Objects) {
		return &apiv1.PublishReply{Version: config.Version}, nil // not known to be in force, so the caller waits for it
	}
	objects.SortSet(set)
	return client.Publish(ctx, &apiv1.PublishConfig{
		ExpectedVersion: config.Version, RequestId: operator.NewRequestID(), Objects: set, Comment: comment,
	})
}

// notFound returns a NOT_FOUND error for an object of the given kind and name.
func notFound(kind, name string) error {
	return result.NotRun(apiv1.ResultCode_RESULT_CODE_NOT_FOUND, "there is no %s; see bergamotctl get", objects.Title(kind, name))
}
