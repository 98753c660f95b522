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

// Damage is what was found wrong with a file that can be used all the same.
type Damage struct {
	BadRecords     int  // records with a wrong checksum, or that can't be read: each costs itself
	UnknownRecords int  // records of an unknown kind
	Truncated      bool // the file ends within a record, or a length can't be
	Complete       bool // the tail is there and agrees: the file is complete, as it was written
}

// decoder reads a file record by record.
type decoder struct {
	data, rest []byte
	key        []byte
	s          *warmstart.Snapshot
	damage     Damage
	records    uint32 // before the tail
	hasHead    bool
	signed     bool // the tail has the key's MAC
}

// Decode reads a snapshot from a file, and checks its MAC if there is a key. An error, one of this package's, says that nothing
// of the file may be used; else damage says what is missing.
func Decode(data, key []byte) (s *warmstart.Snapshot, damage Damage, err error) {
	if err := checkHeader(data); err != nil {
		return nil, Damage{}, err
	}
	d := &decoder{data: data, rest: data[headerBytes:], key: key, s: &warmstart.Snapshot{}}
	for more := true; more && len(d.rest) > 0; {
		more = d.decodeRecord()
	}
	authentic := d.signed && d.damage.Complete
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
		return fmt.Errorf("%w: %d bytes", ErrTooLong, len(data))
	}
	if len(data) < headerBytes || !bytes.HasPrefix(data, []byte(magic)) {
		return ErrNotSnapshot
	}
	version := binary.BigEndian.Uint16(data[4:])
	if version > Version {
		return fmt.Errorf("%w: %d, and %d is read here", ErrNewerVersion, version, Version)
	}
	if version == 0 || data[6] != 0 || data[7] != 0 {
		return ErrNotSnapshot
	}
	return nil
}

// decodeRecord reads the next record, and reports whether another may follow.
func (d *decoder) decodeRecord() (more bool) {
	before := d.data[:len(d.data)-len(d.rest)]
	frame, payload, ok := d.cutRecord()
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

// cutRecord cuts the next record off the rest; false if that can't be one.
func (d *decoder) cutRecord() (frame, payload []byte, ok bool) {
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

// checkTail compares the tail with the bytes before it.
func (d *decoder) checkTail(tail *snapshotpb.Tail, before []byte) {
	isLast := len(d.rest) == 0
	agrees := tail.GetRecords() == d.records && tail.GetSum() == xxhash.Sum64(before)
	d.damage.Complete = isLast && d.damage.BadRecords == 0 && agrees
	d.signed = len(d.key) > 0 && hmac.Equal(tail.GetMac(), computeMAC(before, d.key))
	if !isLast {
		d.damage.Truncated = true
	}
}

// addRecord adds a record to the snapshot. Records after a director's are that director's.
func (d *decoder) addRecord(r *snapshotpb.Record) {
	if director := r.GetDirector(); director != nil {
		d.s.Directors = append(d.s.Directors, learnedState(director))
		return
	}
	if len(d.s.Directors) == 0 { // its director's record has been lost
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
