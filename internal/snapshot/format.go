// Package snapshot keeps what a gateway has learned in files that survive crashes: versioned, with a checksum for each
// record and one over all, written beside the old ones and put in place as a whole.
//
// A file begins with the four bytes "LKSN", two of its version and two that are 0. Then come records, each of four bytes of
// length, four of CRC-32C (Castagnoli) over the length and what follows, and a protobuf message (snapshotpb.Record). The
// last is the tail, with the number of records and an xxHash64 over all bytes before it, and an HMAC-SHA-256 of the same
// where there is a key. Numbers are big-endian.
//
// [Encode] and [Decode] do no I/O. A [Store] does, on the goroutine that calls it. A [Saver] writes on a goroutine of its own.
package snapshot

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"hash/crc32"
)

// Version is the version of the files that are written, and the newest that is read. There is no older one yet.
const Version = 1

// Parts of a file, and bounds, in bytes.
const (
	magic          = "LKSN"
	headerBytes    = 8
	frameBytes     = 8        // of a record: length and checksum
	maxRecordBytes = 4 << 10  // of a record without its frame
	maxFileBytes   = 64 << 20 // nothing longer is read or written
)

// Errors of a file of which nothing is used, to be told apart by errors.Is.
var (
	ErrNotSnapshot  = errors.New("not a snapshot")
	ErrNewerVersion = errors.New("of a newer version; left alone")
	ErrHeader       = errors.New("its head can't be read")
	ErrMAC          = errors.New("its MAC is missing or not the key's")
	ErrTooLong      = errors.New("too long")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// recordChecksum is the checksum of a record, over its length and its payload.
func recordChecksum(length, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(length, castagnoli), castagnoli, payload)
}

// computeMAC authenticates the bytes of a file before its tail.
func computeMAC(b, key []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(b)
	return h.Sum(nil)
}
