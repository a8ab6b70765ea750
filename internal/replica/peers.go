package replica

import "context"

// PeerProgress is what the leader knows of one replica, itself included.
type PeerProgress struct {
	ReplicaID uint64
	// MatchIndex is the last log index known to be synced there.
	MatchIndex uint64
	// Reachable is true when it answered within the last election timeout.
	Reachable bool
}

// Peers returns the leader's view of all replicas; on a follower nothing is
// reachable.
func (n *Node) Peers(ctx context.Context) ([]PeerProgress, error) {
	var out []PeerProgress
	err := n.do(ctx, func() {
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
