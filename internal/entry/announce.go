package entry

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
	"bergamotdrum.example/bergamotdrum/internal/result"
)

const (
	maxAnnouncementBytes = 64 << 10
	// Timeout for sending one batch. A lost batch is not sent again, because
	// minions announce themselves again after a second.
	batchTimeout = 2 * time.Second
)

// announcementBuffer holds the latest announcement of each minion (a process that
// serves callers' requests) and of the VM that the announcement names, until the
// next batch.
type announcementBuffer struct {
	mu      sync.Mutex
	minions map[string]*apiv1.MinionAnnouncement // by service, NUL and minion id
	vms     map[string]*apiv1.VmObservation      // by VM
}

func newAnnouncementBuffer() *announcementBuffer {
	return &announcementBuffer{minions: map[string]*apiv1.MinionAnnouncement{}, vms: map[string]*apiv1.VmObservation{}}
}

func (b *announcementBuffer) add(m *apiv1.MinionAnnouncement) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.minions[m.Service+"\x00"+m.MinionId] = m
	b.vms[m.Vm] = &apiv1.VmObservation{Vm: m.Vm, Pool: m.Pool, AvailabilityZone: m.AvailabilityZone, Rack: m.Rack}
}

// takeAll removes and returns what was announced, sorted by minion id and by VM.
func (b *announcementBuffer) takeAll() ([]*apiv1.MinionAnnouncement, []*apiv1.VmObservation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	minions := make([]*apiv1.MinionAnnouncement, 0, len(b.minions))
	for _, m := range b.minions {
		minions = append(minions, m)
	}
	vms := make([]*apiv1.VmObservation, 0, len(b.vms))
	for _, v := range b.vms {
		vms = append(vms, v)
	}
	clear(b.minions)
	clear(b.vms)
	slices.SortFunc(minions, func(x, y *apiv1.MinionAnnouncement) int { return strings.Compare(x.MinionId, y.MinionId) })
	slices.SortFunc(vms, func(x, y *apiv1.VmObservation) int { return strings.Compare(x.Vm, y.Vm) })
	return minions, vms
}

// serveAnnouncement handles POST /v1/announce/minion.
func (s *Server) serveAnnouncement(w http.ResponseWriter, r *http.Request) {
	m := &apiv1.MinionAnnouncement{}
	if err := s.decodeFromTarget(w, r, m, maxAnnouncementBytes); err != nil {
		s.writeError(w, "", err)
		return
	}
	if err := checkAnnouncement(m); err != nil {
		s.writeError(w, "", err)
		return
	}
	s.announcements.add(m)
	s.setCallerDeadline(w)
	w.Header().Set(headerResult, resultOK)
	w.WriteHeader(http.StatusNoContent)
}

// decodeFromTarget reads protobuf JSON from a target, a minion or a worker.
// Without a valid session with the control group it returns NO_SESSION, upon
// which the target tries another entry process.
func (s *Server) decodeFromTarget(w http.ResponseWriter, r *http.Request, m proto.Message, limit int64) *result.Error {
	if !s.opts.Session.IsValid() {
		return noSession()
	}
	return s.decode(w, r, m, limit)
}

// decode reads a request body of at most limit bytes as protobuf JSON into m.
func (s *Server) decode(w http.ResponseWriter, r *http.Request, m proto.Message, limit int64) *result.Error {
	body, err := s.readBody(w, r, limit)
	if err != nil {
		return err
	}
	if err := protojson.Unmarshal(body, m); err != nil {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "the body is not a %s: %v", m.ProtoReflect().Descriptor().Name(), err)
	}
	return nil
}

func checkAnnouncement(m *apiv1.MinionAnnouncement) *result.Error {
	for name, value := range map[string]string{
		"minion_id": m.MinionId, "service": m.Service, "vm": m.Vm, "availability_zone": m.AvailabilityZone,
	} {
		if value == "" {
			return result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "the announcement lacks %s", name)
		}
	}
	if _, err := netip.ParseAddrPort(m.Address); err != nil {
		return result.NotRun(apiv1.ResultCode_RESULT_CODE_INVALID_ARGUMENT, "address %q of minion %q is not ip:port", m.Address, m.MinionId)
	}
	return nil
}

// flush sends on what arrived since the last call. It does not wait for the
// replies, so that an unreachable shard host does not delay the others. Without a
// valid session the workers get an error and the announcements are kept.
func (s *Server) flush(ctx context.Context) {
	s.pools.closeIdleLongerThan(maxIdleTime)
	if !s.opts.Session.IsValid() {
		s.heartbeats.failAll(noSession())
		return
	}
	minions, vms := s.announcements.takeAll()
	for host, batch := range s.groupByHost(minions) {
		s.inFlight.runBackground(func() { s.sendAnnouncements(ctx, host, batch) })
	}
	heartbeats := s.heartbeats.takeAll()
	if len(heartbeats) > 0 || len(vms) > 0 {
		s.inFlight.runBackground(func() { s.sendHeartbeats(ctx, heartbeats, vms) })
	}
}

// groupByHost groups the minions by the RPC address of the host of their
// service's shard, the process that grants the slots of the service's minions.
// Minions of a service without a host are dropped, as they announce themselves
// again.
func (s *Server) groupByHost(minions []*apiv1.MinionAnnouncement) map[string]*apiv1.MinionBatch {
	batches := map[string]*apiv1.MinionBatch{}
	for _, m := range minions {
		host := s.shardHost(m.Service)
		if host == nil {
			continue
		}
		if batches[host.RpcAddress] == nil {
			batches[host.RpcAddress] = &apiv1.MinionBatch{}
		}
		batches[host.RpcAddress].Minions = append(batches[host.RpcAddress].Minions, m)
	}
	return batches
}

func (s *Server) sendAnnouncements(ctx context.Context, host string, batch *apiv1.MinionBatch) {
	ctx, cancel := context.WithTimeout(ctx, batchTimeout)
	defer cancel()
	if err := s.opts.RPCClient.Call(ctx, host, "Shard.Announce", batch, &apiv1.Empty{}); err != nil {
		s.metrics.batchFailures.WithLabelValues("announcements").Inc()
		s.opts.Log.WithError(err).Debug("failed to send announcements to the shard host")
	}
}
