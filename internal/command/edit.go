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

// maxEditTries bounds how often an edit is made again after another operator
// published in between.
const maxEditTries = 5

// editFlags are the flags of commands that change the current objects.
type editFlags struct {
	Comment string        `help:"Reason of the change, shown by history."`
	Wait    time.Duration `help:"How long to wait until the change is in force." default:"30s"`
}

// edit fetches the current objects, applies change and publishes with the
// fetched version. After a version conflict it starts over, because change
// applies to whatever is current. A change may return an error to stop. Each
// try has its own request id.
func (a *app) edit(ctx context.Context, f editFlags, what string, change func(*objects.Index) error) error {
	client, reply, err := a.publishEdit(ctx, f, what, change)
	if err != nil {
		return err
	}
	return a.waitInForce(ctx, client, reply, f.Wait)
}

func (a *app) publishEdit(ctx context.Context, f editFlags, what string, change func(*objects.Index) error) (*operator.Client, *apiv1.PublishReply, error) {
	client, err := a.client()
	if err != nil {
		return nil, nil, err
	}
	if f.Comment == "" {
		f.Comment = what
	}
	for try := 1; ; try++ {
		reply, err := a.tryEdit(ctx, client, f.Comment, change)
		if err == nil || result.CodeOf(err) != apiv1.ResultCode_RESULT_CODE_VERSION_CONFLICT || try == maxEditTries {
			return client, reply, err
		}
	}
}

func (a *app) tryEdit(ctx context.Context, client *operator.Client, comment string, change func(*objects.Index) error) (*apiv1.PublishReply, error) {
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
		return &apiv1.PublishReply{Version: config.Version}, nil // waits until the current version is in force
	}
	objects.SortSet(set)
	return client.Publish(ctx, &apiv1.PublishConfig{
		ExpectedVersion: config.Version, RequestId: operator.NewRequestID(), Objects: set, Comment: comment,
	})
}

func notFound(kind, name string) error {
	return result.NotRun(apiv1.ResultCode_RESULT_CODE_NOT_FOUND, "there is no %s; see bergamotctl get", objects.Title(kind, name))
}
