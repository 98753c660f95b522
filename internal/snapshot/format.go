// Package snapshot stores what a gateway has learned in files that survive crashes. Each file has a version, a checksum for each
// record and one over the file, and is written under a temporary name and then renamed.
//
// A file begins with the four bytes "LKSN", two bytes with its version, and two bytes that are 0. Records follow. Each has four bytes
// with its length, four with a CRC-32C (Castagnoli) over the length and the payload, and the payload, a protobuf message
// (snapshotpb.Record). The last record is the tail. It has the number of records before it, an xxHash64 over all bytes before
// it, and, if there is a key, an HMAC-SHA-256 over the same bytes. Numbers are big-endian.
//
// [Encode] and [Decode] do no I/O. A [Store] does I/O on the goroutine that calls it, a [Saver] on a goroutine of its own.
package snapshot

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"hash/crc32"
)

// Version is the version of the files that Encode writes, and the newest that Decode reads. It is the first version.
const Version = 1

// Parts of a file and their limits, in bytes.
const (
	magic          = "LKSN"
	headerBytes    = 8
	frameBytes     = 8        // length and checksum of a record
	maxRecordBytes = 4 << 10  // limit of a record's payload
	maxFileBytes   = 64 << 20 // limit of a file, for reading and writing
)

// Errors for which nothing of a file is used, for errors.Is.
var (
	ErrNotSnapshot  = errors.New("file is not a snapshot")
	ErrNewerVersion = errors.New("snapshot has a newer version than this program reads; it is neither used nor removed")
	ErrHeader       = errors.New("snapshot's head record is missing or can't be decoded")
	ErrMAC          = errors.New("snapshot is incomplete, or its MAC is missing or does not match the key")
	ErrTooLong      = errors.New("file is too long")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// recordChecksum returns the CRC-32C of a record, over its encoded length and its payload.
func recordChecksum(length, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(length, castagnoli), castagnoli, payload)
}

// computeMAC returns the HMAC-SHA-256 of the bytes of a file before its tail.
func computeMAC(b, key []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(b)
	return h.Sum(nil)
}
