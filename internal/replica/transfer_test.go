package replica

import (
	"testing"

	. "github.com/onsi/gomega"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// Guards against a snapshot put together from parts of two, or with a part
// missing or repeated.
func TestSnapshotChunksMustFollowEachOther(t *testing.T) {
	g := NewWithT(t)
	a := &assembly{}
	add := func(index, offset uint64, data string) (*apiv1.RaftMessage, error) {
		head := &apiv1.RaftMessage{Snapshot: &apiv1.Snapshot{Meta: &apiv1.SnapshotMeta{Index: index}}}
		return a.add(&apiv1.SnapshotChunk{Message: head, Offset: offset, TotalBytes: 6, Data: []byte(data)})
	}
	refused := func(index, offset uint64, data string) {
		t.Helper()
		_, err := add(index, offset, data)
		g.Expect(err).To(HaveOccurred())
	}
	refused(1, 3, "def")
	g.Expect(add(1, 0, "abc")).To(BeNil())
	refused(2, 3, "xyz")
	refused(1, 2, "cd")
	refused(1, 4, "ef")
	refused(1, 3, "defg")
	m, err := add(1, 3, "def")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(m.Snapshot.Data)).To(Equal("abcdef"))
	refused(1, 3, "def")
}
