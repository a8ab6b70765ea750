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
	// Bounds one batch; minions announce again after a second.
	batchTimeout = 2 * time.Second
)

// announcementBuffer holds the newest announcement of each minion until the next
// batch.
type announcementBuffer struct {
	mu      sync.Mutex
	minions map[string]*apiv1.MinionAnnouncement // by service and minion id
	vms     map[string]*apiv1.VmObservation      // by VM
}

func newAnnouncementBuffer() *announcementBuffer {
	return &announcementBuffer{minions: map[string]*apiv1.MinionAnnouncement{}, vms: map[string]*apiv1.VmObservation{}}
}

func (a *announcementBuffer) add(m *apiv1.MinionAnnouncement) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.minions[m.Service+"\x00"+m.MinionId] = m
	a.vms[m.Vm] = &apiv1.VmObservation{Vm: m.Vm, Pool: m.Pool, AvailabilityZone: m.AvailabilityZone, Rack: m.Rack}
}

// takeAll returns and forgets what was announced, in a fixed order.
func (a *announcementBuffer) takeAll() ([]*apiv1.MinionAnnouncement, []*apiv1.VmObservation) {
	a.mu.Lock()
	defer a.mu.Unlock()
	minions := make([]*apiv1.MinionAnnouncement, 0, len(a.minions))
	for _, m := range a.minions {
		minions = append(minions, m)
	}
	vms := make([]*apiv1.VmObservation, 0, len(a.vms))
	for _, v := range a.vms {
		vms = append(vms, v)
	}
	clear(a.minions)
	clear(a.vms)
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

// decodeFromTarget reads a target's protobuf JSON. Without a valid session the
// target is sent to another entry.
func (s *Server) decodeFromTarget(w http.ResponseWriter, r *http.Request, m proto.Message, limit int64) *result.Error {
	if !s.opts.Session.Valid() {
		return noSession()
	}
	return s.decode(w, r, m, limit)
}

func (s *Server) decode(w http.ResponseWriter, r *http.Request, m proto.Message, limit int64) *result.Error {
	body, free, err := s.readBody(w, r, limit)
	if err != nil {
		return err
	}
	defer free()
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

// flush passes on what arrived since the last call, without waiting for the
// answers, so that one unreachable host delays no other.
func (s *Server) flush(ctx context.Context) {
	s.pools.closeIdleLongerThan(maxIdleTime)
	if !s.opts.Session.Valid() {
		s.heartbeats.failAll(noSession())
		return
	}
	minions, vms := s.announcements.takeAll()
	for host, batch := range s.groupByHost(minions) {
		s.inFlight.runBackground(func() { s.sendAnnouncements(ctx, host, batch) })
	}
	waiting := s.heartbeats.takeAll()
	if len(waiting) > 0 || len(vms) > 0 {
		s.inFlight.runBackground(func() { s.sendWorkers(ctx, waiting, vms) })
	}
}

// groupByHost groups the minions by the address of the host of their service's
// shard. Those without a host are dropped; they announce themselves again.
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
		s.opts.Log.WithError(err).Debug("announcements could not be passed on")
	}
}
