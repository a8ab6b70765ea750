package consensus

import (
	"slices"

	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// groupAt is the group from a log index on.
type groupAt struct {
	index uint64
	group *apiv1.GroupConfig
}

func cloneGroup(g *apiv1.GroupConfig) *apiv1.GroupConfig {
	if g == nil {
		return &apiv1.GroupConfig{}
	}
	return proto.CloneOf(g)
}

// Group returns the newest group of the log; the caller must not change it.
func (c *Core) Group() *apiv1.GroupConfig { return c.group() }

func (c *Core) group() *apiv1.GroupConfig { return c.groups[len(c.groups)-1].group }

func (c *Core) groupIndex() uint64 { return c.groups[len(c.groups)-1].index }

func (c *Core) groupAtIndex(index uint64) *apiv1.GroupConfig {
	g := c.groups[0].group
	for _, at := range c.groups {
		if at.index <= index {
			g = at.group
		}
	}
	return g
}

// addGroups takes over the membership changes among entries just appended.
func (c *Core) addGroups(entries []*apiv1.LogEntry) {
	for _, e := range entries {
		if e.Kind != apiv1.EntryKind_ENTRY_KIND_CONF_CHANGE {
			continue
		}
		change := &apiv1.ConfChange{}
		if err := proto.Unmarshal(e.Data, change); err != nil {
			continue
		}
		c.groups = append(c.groups, groupAt{index: e.Index, group: applyChange(c.group(), change)})
		c.syncPeers()
	}
}

// dropGroups undoes the changes of entries that are overwritten from index on.
func (c *Core) dropGroups(index uint64) {
	for len(c.groups) > 1 && c.groupIndex() >= index {
		c.groups = c.groups[:len(c.groups)-1]
	}
}

// forgetGroups keeps the group in force at index and the later ones.
func (c *Core) forgetGroups(index uint64) {
	for len(c.groups) > 1 && c.groups[1].index <= index {
		c.groups = c.groups[1:]
	}
}

func findReplica(g *apiv1.GroupConfig, id uint64) *apiv1.Replica {
	i := slices.IndexFunc(g.Replicas, func(r *apiv1.Replica) bool { return r.Id == id })
	if i < 0 {
		return nil
	}
	return g.Replicas[i]
}

func applyChange(g *apiv1.GroupConfig, change *apiv1.ConfChange) *apiv1.GroupConfig {
	out := cloneGroup(g)
	id := change.GetReplica().GetId()
	r := findReplica(out, id)
	switch change.Kind {
	case apiv1.ConfChangeKind_CONF_CHANGE_KIND_ADD_LEARNER:
		if r == nil {
			out.Replicas = append(out.Replicas, &apiv1.Replica{Id: id, RpcAddress: change.Replica.RpcAddress, Learner: true})
		}
	case apiv1.ConfChangeKind_CONF_CHANGE_KIND_PROMOTE:
		if r != nil {
			r.Learner = false
		}
	case apiv1.ConfChangeKind_CONF_CHANGE_KIND_REMOVE:
		out.Replicas = slices.DeleteFunc(out.Replicas, func(r *apiv1.Replica) bool { return r.Id == id })
	}
	return out
}

// ProposeConfChange appends a membership change. It takes effect at once, and the
// next one is refused until it is committed, so that any two groups that can
// decide at the same time share a replica.
func (c *Core) ProposeConfChange(change *apiv1.ConfChange) (index, term uint64, err error) {
	if c.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if err := c.checkChange(change); err != nil {
		return 0, 0, err
	}
	data, err := proto.Marshal(change)
	if err != nil {
		return 0, 0, err
	}
	return c.appendOwn(apiv1.EntryKind_ENTRY_KIND_CONF_CHANGE, data), c.term, nil
}

// checkChange also waits for the leader's own first entry: a change of an
// earlier leader may still be uncommitted before it.
func (c *Core) checkChange(change *apiv1.ConfChange) error {
	if c.groupIndex() > c.log.committed || c.noopIndex > c.log.committed {
		return ErrChangePending
	}
	id := change.GetReplica().GetId()
	r := findReplica(c.group(), id)
	switch change.Kind {
	case apiv1.ConfChangeKind_CONF_CHANGE_KIND_ADD_LEARNER:
		if r != nil || id == 0 || change.Replica.RpcAddress == "" {
			return ErrInvalidChange
		}
	case apiv1.ConfChangeKind_CONF_CHANGE_KIND_PROMOTE:
		if r == nil || !r.Learner {
			return ErrInvalidChange
		}
		if c.peers[id].match < c.log.committed {
			return ErrNotCaughtUp
		}
	case apiv1.ConfChangeKind_CONF_CHANGE_KIND_REMOVE:
		if r == nil || !r.Learner && c.voterCount() == 1 {
			return ErrInvalidChange
		}
	default:
		return ErrInvalidChange
	}
	return nil
}

// syncPeers makes the leader's view of its peers fit the group.
func (c *Core) syncPeers() {
	if c.peers == nil {
		return
	}
	for _, r := range c.group().Replicas {
		if c.peers[r.Id] == nil {
			c.peers[r.Id] = &progress{next: c.log.last() + 1}
		}
	}
	for id := range c.peers {
		if findReplica(c.group(), id) == nil {
			delete(c.peers, id)
		}
	}
}

func (c *Core) isVoter(id uint64) bool {
	r := findReplica(c.group(), id)
	return r != nil && !r.Learner
}

func (c *Core) voterCount() int {
	n := 0
	for _, r := range c.group().Replicas {
		if !r.Learner {
			n++
		}
	}
	return n
}

func (c *Core) quorum() int { return c.voterCount()/2 + 1 }

// quorumIndex returns the highest value that a quorum of voters reaches.
func (c *Core) quorumIndex(value func(*progress) uint64) uint64 {
	values := make([]uint64, 0, len(c.peers))
	for _, r := range c.group().Replicas {
		if !r.Learner {
			values = append(values, value(c.peers[r.Id]))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-c.quorum()]
}
