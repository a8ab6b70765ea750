package consensus

import (
	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// raftLog holds the entries after base. Entries are immutable once appended.
type raftLog struct {
	base     uint64
	baseTerm uint64
	entries  []*apiv1.LogEntry
	// unstable is the first index that was not handed out for storage.
	unstable  uint64
	committed uint64
	applied   uint64
}

func (l *raftLog) reset(index, term uint64) {
	*l = raftLog{base: index, baseTerm: term, unstable: index + 1, committed: index, applied: index}
}

func (l *raftLog) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *raftLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns false for an index outside the log.
func (l *raftLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.last():
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

// from returns the entries from index on; the caller must not change them.
func (l *raftLog) from(index uint64) []*apiv1.LogEntry {
	if index > l.last() {
		return nil
	}
	tail := l.entries[index-l.base-1:]
	return tail[:len(tail):len(tail)]
}

// limited returns entries from index on that fit into maxBytes, at least one.
func (l *raftLog) limited(index uint64, maxBytes int) []*apiv1.LogEntry {
	all := l.from(index)
	size := 0
	for i, e := range all {
		size += proto.Size(e)
		if i > 0 && size > maxBytes {
			return all[:i]
		}
	}
	return all
}

// append adds entries that follow the last one.
func (l *raftLog) append(entries []*apiv1.LogEntry) {
	l.entries = append(l.entries, entries...)
}

// truncate drops the entries from index on. Committed entries are never
// dropped: a request to do so means that two leaders committed at one index.
func (l *raftLog) truncate(index uint64) {
	if index <= l.committed {
		panic("consensus: a committed entry would be overwritten")
	}
	// The slice is capped so that entries handed out before stay unchanged.
	keep := index - l.base - 1
	l.entries = l.entries[:keep:keep]
	l.unstable = min(l.unstable, index)
}

func (l *raftLog) commitTo(index uint64) {
	l.committed = max(l.committed, min(index, l.last()))
}

// compact drops the entries up to index, which must be applied.
func (l *raftLog) compact(index uint64) {
	if index <= l.base || index > l.applied {
		return
	}
	t, _ := l.term(index)
	l.entries = append([]*apiv1.LogEntry(nil), l.entries[index-l.base:]...)
	l.base, l.baseTerm = index, t
}

// upToDate tells whether a log that ends with (index, term) holds at least
// what this one does.
func (l *raftLog) upToDate(index, term uint64) bool {
	return term > l.lastTerm() || term == l.lastTerm() && index >= l.last()
}

// conflictHint returns where a leader should try next after the entry at index
// did not match: before the follower's entries of the mismatching term.
func (l *raftLog) conflictHint(index uint64) uint64 {
	if index > l.last() {
		return l.last()
	}
	bad, ok := l.term(index)
	if !ok {
		return l.committed
	}
	for index > l.committed {
		t, ok := l.term(index)
		if !ok || t != bad {
			break
		}
		index--
	}
	return index
}
