// Package rpc carries unary protobuf calls between bergamotdrum's processes
// over yamux sessions, one stream a call.
package rpc

import (
	"encoding/binary"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"
)

// MaxFrameBytes bounds one message; snapshots of the control group are the
// largest.
const MaxFrameBytes = 64 << 20

const frameHeaderBytes = 4

func writeFrame(w io.Writer, m proto.Message) error {
	buf := make([]byte, frameHeaderBytes, frameHeaderBytes+proto.Size(m))
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, m)
	if err != nil {
		return fmt.Errorf("marshal frame: %w", err)
	}
	size := len(buf) - frameHeaderBytes
	if size > MaxFrameBytes {
		return fmt.Errorf("frame of %d bytes exceeds the limit of %d", size, MaxFrameBytes)
	}
	binary.BigEndian.PutUint32(buf, uint32(size))
	_, err = w.Write(buf)
	return err
}

func readFrame(r io.Reader, m proto.Message) error {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > MaxFrameBytes {
		return fmt.Errorf("frame of %d bytes exceeds the limit of %d", size, MaxFrameBytes)
	}
	body, err := io.ReadAll(io.LimitReader(r, int64(size)))
	if err != nil {
		return err
	}
	if len(body) != int(size) {
		return io.ErrUnexpectedEOF
	}
	return proto.Unmarshal(body, m)
}
