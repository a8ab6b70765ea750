package rpc

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/proto"

	apiv1 "bergamotdrum.example/bergamotdrum/api/v1"
)

// Guards against a frame from a peer that makes the reader panic, and against one
// that is accepted but decodes differently after it is encoded again.
func FuzzReadFrame(f *testing.F) {
	var buf bytes.Buffer
	if err := writeFrame(&buf, &apiv1.RpcRequest{Method: "Control.GetJob", TimeoutMs: 5, Body: []byte("b")}); err != nil {
		f.Fatal(err)
	}
	f.Add(buf.Bytes())
	f.Add(buf.Bytes()[:buf.Len()-1])
	f.Add([]byte{0, 0, 0, 0})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		m := &apiv1.RpcRequest{}
		if readFrame(bytes.NewReader(data), m) != nil {
			return
		}
		var out bytes.Buffer
		if err := writeFrame(&out, m); err != nil {
			t.Fatal(err)
		}
		again := &apiv1.RpcRequest{}
		if err := readFrame(&out, again); err != nil || !proto.Equal(m, again) {
			t.Fatalf("%v reads as %v, %v", m, again, err)
		}
	})
}
