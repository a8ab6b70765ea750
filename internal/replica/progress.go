package replica

import "context"

// PeerProgress is how far the leader knows a replica's log to be replicated.
type PeerProgress struct {
	ReplicaID uint64
	// MatchIndex is the highest log index that is known to be synced to the
	// replica's disk.
	MatchIndex uint64
	// Reachable means that the replica answered the leader within the last election
	// timeout.
	Reachable bool
}

// Peers returns the progress of all replicas of the group, including the leader.
// Only the leader knows the progress: on a follower no other replica is
// reachable. The error is *result.Error.
func (n *Node) Peers(ctx context.Context) ([]PeerProgress, error) {
	var out []PeerProgress
	err := n.runInLoop(ctx, func() {
		for _, r := range n.core.Group().GetReplicas() {
			out = append(out, PeerProgress{
				ReplicaID:  r.Id,
				MatchIndex: n.core.MatchIndex(r.Id),
				Reachable:  r.Id == n.core.ID() || n.core.IsReachable(r.Id),
			})
		}
	})
	if err != nil {
		return nil, errShuttingDown()
	}
	return out, nil
}
