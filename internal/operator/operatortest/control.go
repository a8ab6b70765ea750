// Package operatortest is a stand-in for the operators' HTTP API of a control
// replica, for tests of its clients.
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

// Replica is one replica that leads unless LeaderAddress is set. The fields are set
// before the requests they apply to.
type Replica struct {
	Address string
	Keys    *operator.Keys

	mu    sync.Mutex
	state *publish.State
	// LeaderAddress, when set, is the address this follower sends operators to; "-" for
	// a follower that does not know the leader.
	LeaderAddress string
	// LoseAnswers is the number of answers to cut after the request took effect.
	LoseAnswers int
	// BeforePublish runs once, before the next publish takes effect.
	BeforePublish func(*publish.State)
	// NotInForceReplies is the number of in-force questions answered with no.
	NotInForceReplies int
	// FixedReplies are fixed answers by path.
	FixedReplies map[string]proto.Message
	// Members is the control group; a learner votes at the next request after
	// the one that added it.
	Members []*apiv1.ControlReplicaStatus
	// Requests lists "METHOD path?query" of each request, in order.
	Requests []string
	// Bodies are the bodies of Requests.
	Bodies [][]byte
}

// StartReplica starts a stand-in on a loopback port and returns the credential of its
// one operator. Stop ends it.
func StartReplica() (c *Replica, credential string, stop func()) {
	line, secret := operator.NewKeyLine("ada")
	keys, _ := operator.ParseKeys("", []byte(line))
	c = &Replica{Keys: keys, state: publish.New(), FixedReplies: map[string]proto.Message{}}
	server := httptest.NewServer(http.HandlerFunc(c.serve))
	c.Address = server.Listener.Addr().String()
	return c, "ada." + secret, server.Close
}

// Publish changes the configuration behind the clients' back.
func (c *Replica) Publish(cmd *apiv1.PublishConfig) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, err := c.state.Publish(0, cmd); err != nil {
		panic(err)
	}
}

// Current returns the current configuration.
func (c *Replica) Current() *apiv1.Config {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state.Current()
}

func (c *Replica) serve(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	body, _ := io.ReadAll(r.Body)
	c.Requests = append(c.Requests, r.Method+" "+r.URL.RequestURI())
	c.Bodies = append(c.Bodies, body)
	reply, err := c.answer(r, body)
	status, message := http.StatusOK, reply
	if err != nil {
		status, message = result.HTTPStatus(err.Code), err.Status()
	}
	data, _ := protojson.Marshal(message)
	w.Header().Set("Bergamot-Result", strconv.Itoa(int(result.CodeOf(asError(err)))))
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	if c.LoseAnswers > 0 {
		c.LoseAnswers--
		data = data[:len(data)/2]
	}
	_, _ = w.Write(data)
}

// asError avoids an error value that holds a nil pointer.
func asError(err *result.Error) error {
	if err == nil {
		return nil
	}
	return err
}

func (c *Replica) answer(r *http.Request, body []byte) (proto.Message, *result.Error) {
	if c.LeaderAddress != "" {
		err := result.NotRun(apiv1.ResultCode_RESULT_CODE_NOT_LEADER, "ask the leader")
		err.LeaderAddress = strings.Trim(c.LeaderAddress, "-")
		return nil, err
	}
	name, err := c.Keys.Authenticate(r.Header.Get("Authorization"))
	if err != nil {
		return nil, err
	}
	if reply := c.FixedReplies[r.URL.Path]; reply != nil {
		return reply, nil
	}
	switch r.Method + " " + r.URL.Path {
	case "GET /v1/config":
		return c.config(r.URL.Query().Get("version"))
	case "GET /v1/config/history":
		return c.history(), nil
	case "POST /v1/config/check":
		return c.check(body)
	case "POST /v1/config/publish":
		return c.publish(name, body)
	case "POST /v1/control/members":
		return c.members(body)
	case "GET /v1/config/in-force":
		version, _ := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
		return c.inForce(version), nil
	}
	return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_NOT_FOUND, "no such path")
}

func (c *Replica) config(version string) (proto.Message, *result.Error) {
	if version == "" {
		return c.state.Current(), nil
	}
	for _, v := range c.state.History() {
		if strconv.FormatUint(v.Version, 10) == version {
			return v, nil
		}
	}
	return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_NOT_FOUND, "version %s is not in the history", version)
}

func (c *Replica) history() proto.Message {
	reply := &apiv1.ConfigHistory{}
	for _, v := range c.state.History() {
		entry := &apiv1.ConfigVersion{Version: v.Version, PublishedUnixMs: v.PublishedUnixMs, Author: v.Author, Comment: v.Comment}
		reply.Versions = append([]*apiv1.ConfigVersion{entry}, reply.Versions...)
	}
	return reply
}

func (c *Replica) check(body []byte) (proto.Message, *result.Error) {
	var cmd apiv1.CheckConfig
	if err := protojson.Unmarshal(body, &cmd); err != nil {
		return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "%v", err)
	}
	problems := objects.ConfigProblems(objects.Check(cmd.Objects))
	return &apiv1.CheckReply{ConfigVersion: c.state.Current().Version, Problems: problems}, nil
}

func (c *Replica) publish(author string, body []byte) (proto.Message, *result.Error) {
	var cmd apiv1.PublishConfig
	if err := protojson.Unmarshal(body, &cmd); err != nil {
		return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "%v", err)
	}
	if race := c.BeforePublish; race != nil {
		c.BeforePublish = nil
		race(c.state)
	}
	cmd.Author = author
	res, err := c.state.Publish(0, &cmd)
	if err != nil {
		return nil, err
	}
	return c.inForce(res.Version), nil
}

func (c *Replica) inForce(version uint64) *apiv1.PublishReply {
	if c.NotInForceReplies == 0 {
		return &apiv1.PublishReply{Version: version, InForce: true}
	}
	c.NotInForceReplies--
	return &apiv1.PublishReply{Version: version, WaitingFor: []*apiv1.WaitingSession{
		{SessionId: 7, ProcessId: "entry-1", AvailabilityZone: "az-a"},
	}}
}

// members adds the new replica, or removes the old one when no new one is
// named, as the control leader does.
func (c *Replica) members(body []byte) (proto.Message, *result.Error) {
	var cmd apiv1.ReplaceReplica
	if err := protojson.Unmarshal(body, &cmd); err != nil {
		return nil, result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "%v", err)
	}
	is := func(id uint64) func(*apiv1.ControlReplicaStatus) bool {
		return func(r *apiv1.ControlReplicaStatus) bool { return r.ReplicaId == id }
	}
	if cmd.NewReplicaId == 0 {
		c.Members = slices.DeleteFunc(c.Members, is(cmd.OldReplicaId))
	} else if i := slices.IndexFunc(c.Members, is(cmd.NewReplicaId)); i >= 0 {
		c.Members[i].Learner = false
	} else {
		added := &apiv1.ControlReplicaStatus{ReplicaId: cmd.NewReplicaId, RpcAddress: cmd.NewRpcAddress, Learner: true}
		c.Members = append(c.Members, added)
	}
	return &apiv1.ControlMembers{Replicas: c.Members, Pending: slices.ContainsFunc(c.Members, is(cmd.OldReplicaId))}, nil
}
