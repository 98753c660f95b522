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

// encoder appends records to a file.
type encoder struct {
	b       []byte
	records uint32
	err     error // of all records that could not be appended
}

// add appends a record.
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
		e.err = errors.Join(e.err, fmt.Errorf("a record of %d bytes", len(payload)))
	}
	binary.BigEndian.PutUint32(frame, uint32(len(payload)))
	binary.BigEndian.PutUint32(frame[4:], recordChecksum(frame[:4], payload))
	e.records++
}

// initialFileBytes is the capacity with which a file is begun.
const initialFileBytes = 64 << 10

// Encode returns a snapshot as a file, with a MAC if there is a key. It fails if the file or a record is too long to be read.
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
		e.err = errors.Join(e.err, fmt.Errorf("%w: %d bytes", ErrTooLong, len(e.b)))
	}
	if e.err != nil {
		return nil, fmt.Errorf("snapshot: %w", e.err)
	}
	return e.b, nil
}
