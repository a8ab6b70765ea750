package storage

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
)

// A record is the framed unit of a file: a header and a payload. The payload of a
// kindBatch record is an apiv1.LogBatch, which holds apiv1.LogRecord messages; these
// have no frame of their own.

// recordKind is the type of a record's payload. The values are stored in files.
type recordKind uint8

const (
	kindHeader   recordKind = 1 // apiv1.SegmentHeader, or apiv1.ReplicaIdentity in the identity file
	kindBatch    recordKind = 2 // apiv1.LogBatch
	kindSnapshot recordKind = 3 // apiv1.Snapshot
)

const (
	// recordHeaderBytes is the size of a record's header: the length of the
	// payload (4 bytes), the checksum (4 bytes), both little-endian, and the
	// kind (1 byte).
	recordHeaderBytes = 9
	// maxRecordBytes bounds a payload. The largest is a snapshot, which holds the
	// whole replicated state; a greater length means that the header is corrupt.
	maxRecordBytes = 1 << 30
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	// errBadRecord reports that no intact record starts at an offset.
	errBadRecord = errors.New("record is damaged or cut off")
)

// checksum returns the CRC-32C of a record's offset in its file, length, kind and
// payload, which may be in parts. The offset is included so that a copy of a record inside a payload
// is not mistaken for a record at that place of the file.
func checksum(offset int64, kind recordKind, payload ...[]byte) uint32 {
	var head [13]byte
	binary.LittleEndian.PutUint64(head[:8], uint64(offset))
	binary.LittleEndian.PutUint32(head[8:12], uint32(totalBytes(payload)))
	head[12] = byte(kind)
	sum := crc32.Checksum(head[:], castagnoli)
	for _, part := range payload {
		sum = crc32.Update(sum, castagnoli, part)
	}
	return sum
}

func totalBytes(parts [][]byte) int {
	size := 0
	for _, part := range parts {
		size += len(part)
	}
	return size
}

// appendRecord appends a record to buf and returns the extended buffer. Offset
// is where the record will be in its file.
func appendRecord(buf []byte, offset int64, kind recordKind, payload []byte) []byte {
	start := len(buf)
	buf = append(buf, make([]byte, recordHeaderBytes)...)
	buf = append(buf, payload...)
	fillHeader(buf[start:], offset, kind)
	return buf
}

// fillHeader writes the header of a record whose payload is already in place, but for rest,
// which is to follow it. Offset is where the record will be in its file.
func fillHeader(record []byte, offset int64, kind recordKind, rest ...[]byte) {
	payload := append([][]byte{record[recordHeaderBytes:]}, rest...)
	binary.LittleEndian.PutUint32(record, uint32(totalBytes(payload)))
	binary.LittleEndian.PutUint32(record[4:], checksum(offset, kind, payload...))
	record[8] = byte(kind)
}

// decodeRecord decodes the record at offset of data, the contents of a whole
// file. It returns the offset of the next record; the payload shares memory with
// data. The error is errBadRecord when the record is incomplete or corrupt.
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

// hasIntactRecordAfter reports whether an intact record starts at any byte after
// offset.
func hasIntactRecordAfter(data []byte, offset int64) bool {
	for o := offset + 1; o+recordHeaderBytes <= int64(len(data)); o++ {
		if _, _, _, err := decodeRecord(data, o); err == nil {
			return true
		}
	}
	return false
}
