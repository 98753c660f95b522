package snapshot

import (
	"bytes"
	"crypto/hmac"
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"larchusher/internal/snapshot/snapshotpb"
	"larchusher/warmstart"
)

// Damage describes what was found wrong with a file that can be used in spite of it.
type Damage struct {
	BadRecords     int  // records skipped for a wrong checksum, a payload that can't be decoded, or a missing director's record before them
	UnknownRecords int  // records skipped for an unknown kind
	Truncated      bool // the file ends within a record, a record's length is impossible, or bytes follow the tail
	Complete       bool // the tail is present and matches the bytes before it: the file is as it was written
}

// decoder decodes a file record by record.
type decoder struct {
	data, rest  []byte
	key         []byte
	s           *warmstart.Snapshot
	damage      Damage
	records     uint32 // number of records before the tail, decoded or not
	hasHead     bool
	hasValidMAC bool // the tail has the MAC that the key gives for the bytes before it
}

// Decode decodes a snapshot from the content of a file. With a key, the file must be complete and its MAC must be valid. If err is not
// nil it wraps an error of this package, and nothing of the file may be used; otherwise damage describes what is missing.
func Decode(data, key []byte) (s *warmstart.Snapshot, damage Damage, err error) {
	if err := checkHeader(data); err != nil {
		return nil, Damage{}, err
	}
	d := &decoder{data: data, rest: data[headerBytes:], key: key, s: &warmstart.Snapshot{}}
	for more := true; more && len(d.rest) > 0; {
		more = d.decodeRecord()
	}
	authentic := d.hasValidMAC && d.damage.Complete
	if len(key) > 0 && !authentic {
		return nil, d.damage, ErrMAC
	}
	if !d.hasHead {
		return nil, d.damage, ErrHeader
	}
	return d.s, d.damage, nil
}

func checkHeader(data []byte) error {
	if len(data) > maxFileBytes {
		return fmt.Errorf("%w: %d bytes, more than 64 MiB", ErrTooLong, len(data))
	}
	if len(data) < headerBytes || !bytes.HasPrefix(data, []byte(magic)) {
		return ErrNotSnapshot
	}
	version := binary.BigEndian.Uint16(data[4:])
	if version > Version {
		return fmt.Errorf("%w: version %d, and the newest that this program reads is %d", ErrNewerVersion, version, Version)
	}
	if version == 0 || data[6] != 0 || data[7] != 0 {
		return ErrNotSnapshot
	}
	return nil
}

// decodeRecord decodes the next record, and reports whether another may follow.
func (d *decoder) decodeRecord() (more bool) {
	before := d.data[:len(d.data)-len(d.rest)]
	frame, payload, ok := d.nextRecord()
	if !ok {
		d.damage.Truncated = true
		return false
	}
	var r snapshotpb.Record
	if binary.BigEndian.Uint32(frame[4:]) != recordChecksum(frame[:4], payload) || proto.Unmarshal(payload, &r) != nil {
		d.damage.BadRecords++
		d.records++
		return true
	}
	if tail := r.GetTail(); tail != nil {
		d.checkTail(tail, before)
		return false
	}
	d.records++
	if head := r.GetHead(); head != nil && d.records == 1 {
		setHead(d.s, head)
		d.hasHead = true
		return true
	}
	d.addRecord(&r)
	return true
}

// nextRecord removes the next record from the rest. It reports false if the rest is too short for a record of the encoded length, or
// that length exceeds maxRecordBytes.
func (d *decoder) nextRecord() (frame, payload []byte, ok bool) {
	if len(d.rest) < frameBytes {
		return nil, nil, false
	}
	n := int(binary.BigEndian.Uint32(d.rest))
	if n > maxRecordBytes || n > len(d.rest)-frameBytes {
		return nil, nil, false
	}
	frame, payload = d.rest[:frameBytes], d.rest[frameBytes:frameBytes+n]
	d.rest = d.rest[frameBytes+n:]
	return frame, payload, true
}

// checkTail checks whether the tail is the last record, and compares it with the bytes before it.
func (d *decoder) checkTail(tail *snapshotpb.Tail, before []byte) {
	isLast := len(d.rest) == 0
	agrees := tail.GetRecords() == d.records && tail.GetSum() == xxhash.Sum64(before)
	d.damage.Complete = isLast && d.damage.BadRecords == 0 && agrees
	d.hasValidMAC = len(d.key) > 0 && hmac.Equal(tail.GetMac(), computeMAC(before, d.key))
	if !isLast {
		d.damage.Truncated = true
	}
}

// addRecord adds a record to the snapshot. Records that follow a director's record belong to that director.
func (d *decoder) addRecord(r *snapshotpb.Record) {
	if director := r.GetDirector(); director != nil {
		d.s.Directors = append(d.s.Directors, learnedState(director))
		return
	}
	if len(d.s.Directors) == 0 { // the director's record was lost
		d.damage.BadRecords++
		return
	}
	m := &d.s.Directors[len(d.s.Directors)-1]
	switch x := r.GetIs().(type) {
	case *snapshotpb.Record_Listing:
		m.Listings = append(m.Listings, listing(x.Listing))
	case *snapshotpb.Record_Server:
		m.Endpoints = append(m.Endpoints, endpointHealth(x.Server))
	case *snapshotpb.Record_Purge:
		m.Purges = append(m.Purges, purge(x.Purge))
	default:
		d.damage.UnknownRecords++
	}
}
