package storage

import (
	"bytes"
	"os"
	"path/filepath"
	"runtime"
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// allocated returns the bytes that fn allocates.
func allocated(fn func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	fn()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// Guards against replicas that hold several copies of a large snapshot while it is written
// or sent, and against a file that another version can't read.
func TestSnapshotIsWrittenAndReadWithoutACopy(t *testing.T) {
	g := NewWithT(t)
	f, _, err := Open(t.TempDir())
	g.Expect(err).NotTo(HaveOccurred())
	defer f.Close()
	const size = 8 << 20
	want := &apiv1.Snapshot{Meta: &apiv1.SnapshotMeta{Index: 1, Term: 1}, Data: bytes.Repeat([]byte("snapshot"), size/8)}
	g.Expect(allocated(func() { g.Expect(f.WriteSnapshot(want)).To(Succeed()) })).To(BeNumerically("<", size/2))
	file, err := os.ReadFile(filepath.Join(f.path, snapshotName(1)))
	g.Expect(err).NotTo(HaveOccurred())
	message, err := proto.Marshal(want)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(bytes.Equal(file, appendRecord(nil, 0, kindSnapshot, message))).To(BeTrue())
	var got *apiv1.Snapshot
	g.Expect(allocated(func() {
		got, err = readSnapshot(f.path, want.Meta)
		g.Expect(err).NotTo(HaveOccurred())
	})).To(BeNumerically("<", size*3/2), "the contents of the file")
	g.Expect(proto.Equal(got, want)).To(BeTrue())
}

// Guards against a snapshot that is read otherwise than the message says: one of a later
// version, with further fields, an empty one, and a message that is cut off.
func TestSnapshotMessageIsDecodedAsProtobuf(t *testing.T) {
	g := NewWithT(t)
	message, err := proto.Marshal(&apiv1.Snapshot{Meta: &apiv1.SnapshotMeta{Index: 7, Term: 3}, Data: []byte("data")})
	g.Expect(err).NotTo(HaveOccurred())
	extended := protowire.AppendVarint(protowire.AppendTag(bytes.Clone(message), 9, protowire.VarintType), 300)
	for _, m := range [][]byte{nil, message, extended} {
		want := &apiv1.Snapshot{}
		g.Expect(proto.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(m, want)).To(Succeed())
		got, err := decodeSnapshot(m)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(proto.Equal(got, want)).To(BeTrue())
	}
	for n := 1; n < len(message); n++ {
		got, err := decodeSnapshot(message[:n])
		if err == nil { // cut between two fields
			g.Expect(proto.Unmarshal(message[:n], &apiv1.Snapshot{})).To(Succeed(), "%d: %v", n, got)
		}
	}
}
