package consensus

import (
	"slices"

	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// groupVersion is a configuration of the group of replicas, which is in force
// from the log entry at index until the next version. The membership changes in
// this file change the group; they have nothing to do with package membership,
// which keeps the sessions (leases) of the processes that pass callers' requests
// on.
type groupVersion struct {
	index uint64
	group *apiv1.GroupConfig
}

func cloneGroup(g *apiv1.GroupConfig) *apiv1.GroupConfig {
	if g == nil {
		return &apiv1.GroupConfig{}
	}
	return proto.CloneOf(g)
}

// Group returns the group in force: the newest one in the log, committed or not.
// The caller must not modify it.
func (c *Core) Group() *apiv1.GroupConfig { return c.group() }

func (c *Core) group() *apiv1.GroupConfig { return c.groupHistory[len(c.groupHistory)-1].group }

func (c *Core) latestGroupIndex() uint64 { return c.groupHistory[len(c.groupHistory)-1].index }

// groupAtIndex returns the group in force after the entry at index.
func (c *Core) groupAtIndex(index uint64) *apiv1.GroupConfig {
	g := c.groupHistory[0].group
	for _, at := range c.groupHistory {
		if at.index <= index {
			g = at.group
		}
	}
	return g
}

// applyConfChanges puts the membership changes among newly appended entries into
// force.
func (c *Core) applyConfChanges(entries []*apiv1.LogEntry) {
	for _, e := range entries {
		if e.Kind != apiv1.EntryKind_ENTRY_KIND_CONF_CHANGE {
			continue
		}
		change := &apiv1.ConfChange{}
		if err := proto.Unmarshal(e.Data, change); err != nil {
			continue
		}
		c.groupHistory = append(c.groupHistory, groupVersion{index: e.Index, group: applyChange(c.group(), change)})
		c.syncProgress()
	}
}

// revertGroups undoes the membership changes of the entries from index on, which
// are about to be overwritten.
func (c *Core) revertGroups(index uint64) {
	for len(c.groupHistory) > 1 && c.latestGroupIndex() >= index {
		c.groupHistory = c.groupHistory[:len(c.groupHistory)-1]
	}
}

// compactGroups discards the groups before the one in force at index.
func (c *Core) compactGroups(index uint64) {
	for len(c.groupHistory) > 1 && c.groupHistory[1].index <= index {
		c.groupHistory = c.groupHistory[1:]
	}
}

func findReplica(g *apiv1.GroupConfig, id uint64) *apiv1.Replica {
	i := slices.IndexFunc(g.Replicas, func(r *apiv1.Replica) bool { return r.Id == id })
	if i < 0 {
		return nil
	}
	return g.Replicas[i]
}

// applyChange returns the group after the change. A change that doesn't fit the
// group has no effect.
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

// ProposeConfChange appends a membership change to the leader's log and returns
// the index and term of its entry. The change takes effect at once, and the next
// one fails with ErrChangePending until it is committed, so that a quorum of the
// old group and one of the new group always share a replica.
//
// Other errors are ErrNotLeader, ErrNotCaughtUp for the promotion of a learner
// whose log isn't synced up to the commit index, and ErrInvalidChange for a
// change that doesn't fit the group.
func (c *Core) ProposeConfChange(change *apiv1.ConfChange) (index, term uint64, err error) {
	if c.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if err := c.validateChange(change); err != nil {
		return 0, 0, err
	}
	data, err := proto.Marshal(change)
	if err != nil {
		return 0, 0, err
	}
	return c.appendOwn(apiv1.EntryKind_ENTRY_KIND_CONF_CHANGE, data), c.term, nil
}

// validateChange returns the error with which ProposeConfChange must refuse the
// change, if any. It refuses all changes until the first entry of the leader's
// term is committed: a change by an earlier leader may be uncommitted until then.
func (c *Core) validateChange(change *apiv1.ConfChange) error {
	if c.latestGroupIndex() > c.log.committed || c.noopIndex > c.log.committed {
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
		if c.progressOf[id].match < c.log.committed {
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

// syncProgress adds and removes entries of progressOf to match the group in force.
// On replicas that don't lead it does nothing.
func (c *Core) syncProgress() {
	if c.progressOf == nil {
		return
	}
	for _, r := range c.group().Replicas {
		if c.progressOf[r.Id] == nil {
			c.progressOf[r.Id] = &progress{next: c.log.lastIndex() + 1}
		}
	}
	for id := range c.progressOf {
		if findReplica(c.group(), id) == nil {
			delete(c.progressOf, id)
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

// quorumValue returns the highest number that value reaches on a quorum of the
// voters.
func (c *Core) quorumValue(value func(*progress) uint64) uint64 {
	values := make([]uint64, 0, len(c.progressOf))
	for _, r := range c.group().Replicas {
		if !r.Learner {
			values = append(values, value(c.progressOf[r.Id]))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-c.quorum()]
}
