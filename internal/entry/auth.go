package entry

import (
	"net/http"
	"strings"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/objects"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

const bearerPrefix = "Bearer "

// identity is the client account and the team that a request counts for.
type identity struct {
	account string // empty for a request without a key on an open queue
	team    string
}

// credentialOf returns the bearer token of the request, "<key id>.<secret>", or
// "" when there is none.
func credentialOf(r *http.Request) string {
	value, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !ok {
		return ""
	}
	return strings.TrimSpace(value)
}

// authorize authenticates the credential and checks that the queue takes requests
// of the credential's team. It runs when the request arrives and again right
// before the first byte is sent to a minion (a process that serves the service),
// because keys and queues may have changed in between.
func authorize(ix *objects.Index, credential string, queue *apiv1.Queue) (identity, *result.Error) {
	if credential == "" && queue.Open && queue.OpenTeam != "" {
		return identity{team: queue.OpenTeam}, nil
	}
	account, team, err := ix.Authenticate(credential)
	if err != nil {
		return identity{}, err
	}
	if !ix.CanUseQueue(queue, team.Name) {
		return identity{}, result.NotRun(apiv1.ResultCode_RESULT_CODE_QUEUE_NOT_ALLOWED, "team %q may not use queue %q", team.Name, queue.Name)
	}
	return identity{account: account.Name, team: team.Name}, nil
}

// queueForService returns the named queue, or UNKNOWN_QUEUE when it does not
// exist or takes no requests for the service.
func queueForService(ix *objects.Index, name, service string) (*apiv1.Queue, *result.Error) {
	queue, ok := ix.Queues[name]
	if !ok {
		return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_UNKNOWN_QUEUE, "queue %q does not exist; name one in the header %s", name, headerQueue)
	}
	if queue.Service != service {
		return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_UNKNOWN_QUEUE, "queue %q does not take requests for service %q", name, service)
	}
	return queue, nil
}
