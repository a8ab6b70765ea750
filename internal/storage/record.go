package storage

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
)

// recordKind tells what the payload of a record is.
type recordKind uint8

const (
	kindHeader   recordKind = 1 // SegmentHeader
	kindBatch    recordKind = 2 // LogBatch
	kindSnapshot recordKind = 3 // Snapshot
)

const (
	// A record starts with its payload's length (4 bytes), CRC32C (4) and kind (1).
	recordHeaderBytes = 9
	// maxRecordBytes bounds a payload, which for a snapshot is the whole state:
	// a larger length is damage.
	maxRecordBytes = 1 << 30
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	// errBadRecord means that no intact record starts at an offset.
	errBadRecord = errors.New("record is damaged or cut off")
)

// checksum covers the offset as well, so that bytes of a payload that look
// like a record are not taken for one at another place of the file.
func checksum(offset int64, kind recordKind, payload []byte) uint32 {
	var head [13]byte
	binary.LittleEndian.PutUint64(head[:8], uint64(offset))
	binary.LittleEndian.PutUint32(head[8:12], uint32(len(payload)))
	head[12] = byte(kind)
	return crc32.Update(crc32.Checksum(head[:], castagnoli), castagnoli, payload)
}

// appendRecord adds the record that is written at offset to buf.
func appendRecord(buf []byte, offset int64, kind recordKind, payload []byte) []byte {
	buf = binary.LittleEndian.AppendUint32(buf, uint32(len(payload)))
	buf = binary.LittleEndian.AppendUint32(buf, checksum(offset, kind, payload))
	buf = append(buf, byte(kind))
	return append(buf, payload...)
}

// decodeRecord reads the record at offset of data, which is a whole file. The
// payload is a part of data.
func decodeRecord(data []byte, offset int64) (kind recordKind, payload []byte, next int64, err error) {
	rest := data[offset:]
	if len(rest) < recordHeaderBytes {
		return 0, nil, 0, errBadRecord
	}
	size := int64(binary.LittleEndian.Uint32(rest))
	if size > maxRecordBytes || size > int64(len(rest)-recordHeaderBytes) {
		return 0, nil, 0, errBadRecord
	}
	kind = recordKind(rest[8])
	if kind < kindHeader || kind > kindSnapshot {
		return 0, nil, 0, errBadRecord
	}
	payload = rest[recordHeaderBytes : recordHeaderBytes+size]
	if binary.LittleEndian.Uint32(rest[4:]) != checksum(offset, kind, payload) {
		return 0, nil, 0, errBadRecord
	}
	return kind, payload, offset + recordHeaderBytes + size, nil
}

// intactAfter tells whether an intact record starts anywhere after offset.
func intactAfter(data []byte, offset int64) bool {
	for o := offset + 1; o+recordHeaderBytes <= int64(len(data)); o++ {
		if _, _, _, err := decodeRecord(data, o); err == nil {
			return true
		}
	}
	return false
}
