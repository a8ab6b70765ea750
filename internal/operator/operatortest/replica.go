// Package operatortest provides a fake control replica with the operators' HTTP
// API, for tests of the API's clients.
package operatortest

import (
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/objects"
	"bergamotdrum.example/bergamotdrum/internal/operator"
	"bergamotdrum.example/bergamotdrum/internal/publish"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

// Replica is a fake control replica. It acts as the leader unless LeaderAddress
// is set. Tests set the exported fields before the requests to which they apply.
type Replica struct {
	// Address is the operator address (ip:port) that the fake listens on.
	Address string
	// Keys authenticates the requests.
	Keys *operator.Keys

	mu    sync.Mutex
	state *publish.State
	// LeaderAddress makes the replica a follower that refuses requests with
	// NOT_LEADER and this address. With "-" the follower does not know the leader.
	LeaderAddress string
	// LoseAnswers is the number of replies to truncate after the request took
	// effect.
	LoseAnswers int
	// BeforePublish is called once, before the next publish takes effect.
	BeforePublish func(*publish.State)
	// NotInForceReplies is the number of replies, to a publish or an in-force
	// request, that say that the version is not in force yet.
	NotInForceReplies int
	// FixedReplies maps paths to replies that are sent instead of the usual ones.
	FixedReplies map[string]proto.Message
	// Members lists the replicas of the control group. A learner becomes a voter
	// at the next request that names it.
	Members []*apiv1.ControlReplicaStatus
	// Requests records "METHOD path?query" of each request, in order.
	Requests []string
	// Bodies records the bodies of Requests.
	Bodies [][]byte
}

// StartReplica starts a fake replica on a loopback port. It returns the
// credential of the only operator, ada, and a function that stops the replica.
func StartReplica() (r *Replica, credential string, stop func()) {
	line, secret := operator.NewKeyLine("ada")
	keys, _ := operator.ParseKeys("", []byte(line))
	r = &Replica{Keys: keys, state: publish.New(), FixedReplies: map[string]proto.Message{}}
	server := httptest.NewServer(http.HandlerFunc(r.serve))
	r.Address = server.Listener.Addr().String()
	return r, "ada." + secret, server.Close
}

// Publish publishes a configuration directly, without an HTTP request. It panics
// when the publish is refused.
func (r *Replica) Publish(cmd *apiv1.PublishConfig) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, err := r.state.Publish(0, cmd); err != nil {
		panic(err)
	}
}

// Current returns the current configuration version with its objects.
func (r *Replica) Current() *apiv1.Config {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Current()
}

func (r *Replica) serve(w http.ResponseWriter, req *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	body, _ := io.ReadAll(req.Body)
	r.Requests = append(r.Requests, req.Method+" "+req.URL.RequestURI())
	r.Bodies = append(r.Bodies, body)
	reply, err := r.answer(req, body)
	status, message := http.StatusOK, reply
	if err != nil {
		status, message = result.HTTPStatus(err.Code), err.Status()
	}
	data, _ := protojson.Marshal(message)
	w.Header().Set("Bergamot-Result", strconv.Itoa(int(result.CodeOf(errorOrNil(err)))))
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	if r.LoseAnswers > 0 {
		r.LoseAnswers--
		data = data[:len(data)/2]
	}
	_, _ = w.Write(data)
}

// errorOrNil converts to error without turning a nil pointer into a non-nil
// interface value.
func errorOrNil(err *result.Error) error {
	if err == nil {
		return nil
	}
	return err
}

func (r *Replica) answer(req *http.Request, body []byte) (proto.Message, *result.Error) {
	if r.LeaderAddress != "" {
		err := result.NotRun(apiv1.ResultCode_RESULT_CODE_NOT_LEADER, "ask the leader")
		err.LeaderAddress = strings.Trim(r.LeaderAddress, "-")
		return nil, err
	}
	name, err := r.Keys.Authenticate(req.Header.Get("Authorization"))
	if err != nil {
		return nil, err
	}
	if reply := r.FixedReplies[req.URL.Path]; reply != nil {
		return reply, nil
	}
	switch req.Method + " " + req.URL.Path {
	case "GET /v1/config":
		return r.config(req.URL.Query().Get("version"))
	case "GET /v1/config/history":
		return r.history(), nil
	case "POST /v1/config/check":
		return r.check(body)
	case "POST /v1/config/publish":
		return r.publish(name, body)
	case "POST /v1/control/members":
		return r.members(body)
	case "GET /v1/config/in-force":
		version, _ := strconv.ParseUint(req.URL.Query().Get("version"), 10, 64)
		return r.inForce(version), nil
	}
	return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_NOT_FOUND, "no such path")
}

func (r *Replica) config(version string) (proto.Message, *result.Error) {
	if version == "" {
		return r.state.Current(), nil
	}
	for _, v := range r.state.History() {
		if strconv.FormatUint(v.Version, 10) == version {
			return v, nil
		}
	}
	return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_NOT_FOUND, "version %s is not in the history", version)
}

func (r *Replica) history() proto.Message {
	reply := &apiv1.ConfigHistory{}
	for _, v := range r.state.History() {
		entry := &apiv1.ConfigVersion{Version: v.Version, PublishedUnixMs: v.PublishedUnixMs, Author: v.Author, Comment: v.Comment}
		reply.Versions = append([]*apiv1.ConfigVersion{entry}, reply.Versions...)
	}
	return reply
}

func (r *Replica) check(body []byte) (proto.Message, *result.Error) {
	var cmd apiv1.CheckConfig
	if err := protojson.Unmarshal(body, &cmd); err != nil {
		return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "%v", err)
	}
	problems := objects.ConfigProblems(objects.Check(cmd.Objects))
	return &apiv1.CheckReply{ConfigVersion: r.state.Current().Version, Problems: problems}, nil
}

func (r *Replica) publish(author string, body []byte) (proto.Message, *result.Error) {
	var cmd apiv1.PublishConfig
	if err := protojson.Unmarshal(body, &cmd); err != nil {
		return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "%v", err)
	}
	if hook := r.BeforePublish; hook != nil {
		r.BeforePublish = nil
		hook(r.state)
	}
	cmd.Author = author
	res, err := r.state.Publish(0, &cmd)
	if err != nil {
		return nil, err
	}
	return r.inForce(res.Version), nil
}

func (r *Replica) inForce(version uint64) *apiv1.PublishReply {
	if r.NotInForceReplies == 0 {
		return &apiv1.PublishReply{Version: version, InForce: true}
	}
	r.NotInForceReplies--
	return &apiv1.PublishReply{Version: version, WaitingFor: []*apiv1.WaitingSession{
		{SessionId: 7, ProcessId: "entry-1", AvailabilityZone: "az-a"},
	}}
}

// members handles a change of the control group as the control leader does: it
// adds the new replica as a learner or makes it a voter, or removes the old
// replica if the request names no new one.
func (r *Replica) members(body []byte) (proto.Message, *result.Error) {
	var cmd apiv1.ReplaceReplica
	if err := protojson.Unmarshal(body, &cmd); err != nil {
		return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "%v", err)
	}
	hasID := func(id uint64) func(*apiv1.ControlReplicaStatus) bool {
		return func(r *apiv1.ControlReplicaStatus) bool { return r.ReplicaId == id }
	}
	if cmd.NewReplicaId == 0 {
		r.Members = slices.DeleteFunc(r.Members, hasID(cmd.OldReplicaId))
	} else if i := slices.IndexFunc(r.Members, hasID(cmd.NewReplicaId)); i >= 0 {
		r.Members[i].Learner = false
	} else {
		added := &apiv1.ControlReplicaStatus{ReplicaId: cmd.NewReplicaId, RpcAddress: cmd.NewRpcAddress, Learner: true}
		r.Members = append(r.Members, added)
	}
	return &apiv1.ControlMembers{Replicas: r.Members, Pending: slices.ContainsFunc(r.Members, hasID(cmd.OldReplicaId))}, nil
}
