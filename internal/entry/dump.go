package entry

import (
	"cmp"
	"slices"
)

// Dump is the entry process's section of the process's state dump. It contains no
// credentials, bodies or paths.
type Dump struct {
	Requests   int            `json:"requests_in_flight"`
	Background int            `json:"background_calls"`
	Draining   bool           `json:"draining"`
	Grants     []GrantDump    `json:"held_grants"`
	Pools      []ConnPoolDump `json:"connection_pools"`
}

// GrantDump describes a held grant, the permission to send one request to one
// minion.
type GrantDump struct {
	Service     string `json:"service"`
	Epoch       uint64 `json:"epoch"`
	GrantID     uint64 `json:"grant_id"`
	MinionID    string `json:"minion_id"`
	Team        string `json:"team"`
	RemainingMS int64  `json:"remaining_ms"` // until the request's deadline; negative after it
}

// ConnPoolDump counts the connections to one minion.
type ConnPoolDump struct {
	Address string `json:"address"`
	Open    int    `json:"open"`
	Idle    int    `json:"idle"`
}

// Dump returns the current state as a Dump value. It is an observe.Dumper.
func (s *Server) Dump() any {
	d := Dump{Grants: s.grants.dump()}
	d.Requests, d.Background, d.Draining = s.inFlight.counts()
	for _, p := range s.pools.list() {
		open, idle := p.counts()
		d.Pools = append(d.Pools, ConnPoolDump{Address: p.address, Open: open, Idle: idle})
	}
	slices.SortFunc(d.Pools, func(a, b ConnPoolDump) int { return cmp.Compare(a.Address, b.Address) })
	return d
}

func (r *grantRegistry) dump() []GrantDump {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	list := make([]GrantDump, 0, len(r.held))
	for _, h := range r.held {
		list = append(list, GrantDump{
			Service:     h.Service,
			Epoch:       h.Epoch,
			GrantID:     h.GrantId,
			MinionID:    h.MinionId,
			Team:        h.Team,
			RemainingMS: (h.deadline - now).Milliseconds(),
		})
	}
	slices.SortFunc(list, func(a, b GrantDump) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.GrantID, b.GrantID))
	})
	return list
}
