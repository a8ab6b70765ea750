package replica

import (
	"testing"

	. "github.com/onsi/gomega"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// Guards against a snapshot assembled from chunks of two snapshots, or with a
// chunk missing or repeated.
func TestSnapshotChunksMustFollowEachOther(t *testing.T) {
	g := NewWithT(t)
	a := &snapshotAssembler{}
	add := func(index, offset uint64, data string) (*apiv1.RaftMessage, error) {
		header := &apiv1.RaftMessage{Snapshot: &apiv1.Snapshot{Meta: &apiv1.SnapshotMeta{Index: index}}}
		return a.addChunk(&apiv1.SnapshotChunk{Message: header, Offset: offset, TotalBytes: 6, Data: []byte(data)})
	}
	expectRefused := func(index, offset uint64, data string) {
		t.Helper()
		_, err := add(index, offset, data)
		g.Expect(err).To(HaveOccurred())
	}
	expectRefused(1, 3, "def")
	g.Expect(add(1, 0, "abc")).To(BeNil())
	expectRefused(2, 3, "xyz")
	expectRefused(1, 2, "cd")
	expectRefused(1, 4, "ef")
	expectRefused(1, 3, "defg")
	m, err := add(1, 3, "def")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(m.Snapshot.Data)).To(Equal("abcdef"))
	expectRefused(1, 3, "def")
}
