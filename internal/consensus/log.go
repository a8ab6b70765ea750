package consensus

import (
	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// raftLog holds the log entries after index base; the earlier ones are compacted
// into a snapshot. Entries must not be modified once appended.
type raftLog struct {
	base     uint64
	baseTerm uint64 // term of the entry at base
	entries  []*apiv1.LogEntry
	bytes    int // size of entries, see EntryBytes
	// firstUnsynced is the index of the first entry that isn't synced yet; it
	// is lastIndex+1 if all are.
	firstUnsynced uint64
	committed     uint64 // highest index known to be committed
	applied       uint64 // highest index applied to the state machine
}

// entryOverheadBytes is what an entry takes beside its data, roughly.
const entryOverheadBytes = 128

// EntryBytes returns the memory that a log entry takes, roughly.
func EntryBytes(e *apiv1.LogEntry) int { return len(e.Data) + entryOverheadBytes }

func sizeOf(entries []*apiv1.LogEntry) int {
	size := 0
	for _, e := range entries {
		size += EntryBytes(e)
	}
	return size
}

// reset discards all entries; the log then starts after a snapshot whose last
// entry has the given index and term.
func (l *raftLog) reset(index, term uint64) {
	*l = raftLog{base: index, baseTerm: term, firstUnsynced: index + 1, committed: index, applied: index}
}

func (l *raftLog) lastIndex() uint64 { return l.base + uint64(len(l.entries)) }

func (l *raftLog) lastTerm() uint64 {
	t, _ := l.term(l.lastIndex())
	return t
}

// term returns the term of the entry at index. It returns false for an index
// below base or after the last entry.
func (l *raftLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.base:
		return l.baseTerm, true
	case index < l.base || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

// entriesFrom returns the entries from index on; index must be above base. The
// caller must not modify them.
func (l *raftLog) entriesFrom(index uint64) []*apiv1.LogEntry {
	if index > l.lastIndex() {
		return nil
	}
	entries := l.entries[index-l.base-1:]
	return entries[:len(entries):len(entries)]
}

// entriesUpToSize returns the entries from index on whose encoded size is at most
// maxBytes in total, but at least one if there is any.
func (l *raftLog) entriesUpToSize(index uint64, maxBytes int) []*apiv1.LogEntry {
	all := l.entriesFrom(index)
	size := 0
	for i, e := range all {
		size += proto.Size(e)
		if i > 0 && size > maxBytes {
			return all[:i]
		}
	}
	return all
}

// append appends entries; the index of the first must be lastIndex+1.
func (l *raftLog) append(entries []*apiv1.LogEntry) {
	l.entries = append(l.entries, entries...)
	l.bytes += sizeOf(entries)
}

// truncate drops the entries from index on. It panics if one of them is
// committed, since then two leaders have committed different entries at the same
// index.
func (l *raftLog) truncate(index uint64) {
	if index <= l.committed {
		panic("consensus: a committed entry would be overwritten")
	}
	// The capacity is limited so that the next append copies the slice: a slice
	// that entriesFrom returned before must keep its entries.
	keep := index - l.base - 1
	l.bytes -= sizeOf(l.entries[keep:])
	l.entries = l.entries[:keep:keep]
	l.firstUnsynced = min(l.firstUnsynced, index)
}

// commitTo raises the commit index to index, or to the last entry if that is
// lower.
func (l *raftLog) commitTo(index uint64) {
	l.committed = max(l.committed, min(index, l.lastIndex()))
}

// compact drops the entries up to and including index. It does nothing if index
// isn't applied yet or already compacted.
func (l *raftLog) compact(index uint64) {
	if index <= l.base || index > l.applied {
		return
	}
	t, _ := l.term(index)
	l.bytes -= sizeOf(l.entries[:index-l.base])
	l.entries = append([]*apiv1.LogEntry(nil), l.entries[index-l.base:]...)
	l.base, l.baseTerm = index, t
}

// startOfTail returns the lowest index at which the log may start so that the entries
// from there up to index are at most maxEntries, and at most maxBytes in total.
func (l *raftLog) startOfTail(index uint64, maxEntries, maxBytes int) uint64 {
	start := index
	for bytes := 0; start > l.base && index-start < uint64(maxEntries); start-- {
		if bytes += EntryBytes(l.entries[start-l.base-1]); bytes > maxBytes {
			break
		}
	}
	return start
}

// upToDate reports whether a log whose last entry has the given index and term
// is at least as up to date as this one, which its owner needs to get a vote.
func (l *raftLog) upToDate(index, term uint64) bool {
	return term > l.lastTerm() || term == l.lastTerm() && index >= l.lastIndex()
}

// conflictHint returns the index at which the leader should check next for
// matching logs after the entry at index didn't match. It skips all of this
// log's entries of the conflicting term, so that the leader needs one round trip
// per term and not per entry.
func (l *raftLog) conflictHint(index uint64) uint64 {
	if index > l.lastIndex() {
		return l.lastIndex()
	}
	conflictTerm, ok := l.term(index)
	if !ok {
		return l.committed
	}
	for index > l.committed {
		t, ok := l.term(index)
		if !ok || t != conflictTerm {
			break
		}
		index--
	}
	return index
}
