package snapshot

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"larchusher/internal/snapshot/snapshotpb"
	"larchusher/warmstart"
)

// encoder appends records to the content of a file.
type encoder struct {
	b       []byte
	records uint32
	err     error // of all records that could not be appended; nil: none
}

// add appends a record with its length and checksum. Errors are collected in err.
func (e *encoder) add(r *snapshotpb.Record) {
	at := len(e.b)
	e.b = append(e.b, make([]byte, frameBytes)...)
	b, err := (proto.MarshalOptions{}).MarshalAppend(e.b, r)
	e.b = b
	if err != nil {
		e.err = errors.Join(e.err, err)
		return
	}
	frame, payload := e.b[at:at+frameBytes], e.b[at+frameBytes:]
	if len(payload) > maxRecordBytes {
		e.err = errors.Join(e.err, fmt.Errorf("record of %d bytes exceeds the maximum of 4 KiB", len(payload)))
	}
	binary.BigEndian.PutUint32(frame, uint32(len(payload)))
	binary.BigEndian.PutUint32(frame[4:], recordChecksum(frame[:4], payload))
	e.records++
}

// initialFileBytes is the capacity that is allocated for a file at first.
const initialFileBytes = 64 << 10

// Encode encodes a snapshot as the content of a file, with a MAC if there is a key. It fails if the file or one of its records is
// longer than Decode accepts.
func Encode(s *warmstart.Snapshot, key []byte) ([]byte, error) {
	e := &encoder{b: append(make([]byte, 0, initialFileBytes), magic...)}
	e.b = binary.BigEndian.AppendUint16(e.b, Version)
	e.b = append(e.b, 0, 0)
	e.add(headRecord(s))
	for _, d := range s.Directors {
		e.add(directorRecord(d))
		for _, p := range d.Purges {
			e.add(purgeRecord(p))
		}
		for _, h := range d.Endpoints {
			e.add(endpointRecord(h))
		}
		for _, l := range d.Listings {
			e.add(listingRecord(l))
		}
	}
	tail := &snapshotpb.Tail{Records: e.records, Sum: xxhash.Sum64(e.b)}
	if len(key) > 0 {
		tail.Mac = computeMAC(e.b, key)
	}
	e.add(&snapshotpb.Record{Is: &snapshotpb.Record_Tail{Tail: tail}})
	if len(e.b) > maxFileBytes {
		e.err = errors.Join(e.err, fmt.Errorf("%w: %d bytes, more than 64 MiB", ErrTooLong, len(e.b)))
	}
	if e.err != nil {
		return nil, fmt.Errorf("snapshot: encoding: %w", e.err)
	}
	return e.b, nil
}
