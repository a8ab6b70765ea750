// Package rpc carries unary protobuf calls between the processes of bergamotdrum.
// A client keeps one TCP connection to each server, on which both have proved that
// they know the cluster secret. Each call is a yamux stream of that connection with
// one request and one response frame.
package rpc

import (
	"encoding/binary"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"
)

// MaxFrameBytes bounds the encoded message of a frame. The largest messages hold
// snapshots of the control group's state.
const MaxFrameBytes = 64 << 20

// frameHeaderBytes is the size of the length that precedes each message, in
// big-endian order.
const frameHeaderBytes = 4

// writeFrame writes m with its length in one call of w.Write.
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

// readFrame reads one frame and decodes it into m. It returns
// io.ErrUnexpectedEOF when the stream ends within the message.
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
