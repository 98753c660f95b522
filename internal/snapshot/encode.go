// Package snapshot keeps what a gateway has learned in files that survive crashes: versioned, with a checksum for each
// record and one over all, written beside the old ones and put in place whole.
//
// A file begins with the four bytes "LKSN", two of its version and two that are 0; then come records, each of four bytes of
// length, four of CRC-32C (Castagnoli) over the length and what follows, and a protobuf message (snapshotpb.Record). The
// last is the tail, with the number of records and an xxHash64 over all bytes before it, and an HMAC-SHA-256 of the same
// where there is a key. Numbers are big-endian.
package snapshot

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"larchusher/internal/snapshot/snapshotpb"
	"larchusher/routing"
	"larchusher/warmstart"
)

// Version is that of the files that are written, and the newest that is read. There is no older one yet.
const Version = 1

const (
	magic          = "LKSN"
	headerBytes    = 8
	frameBytes     = 8
	maxRecordBytes = 4 << 10  // bytes of one record
	maxFileBytes   = 64 << 20 // and of a file: nothing longer is read
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

// Encode words a snapshot.
func Encode(s *warmstart.Snapshot, key []byte) ([]byte, error) {
	b := append(make([]byte, 0, 64<<10), magic...)
	b = binary.BigEndian.AppendUint16(b, Version)
	b = append(b, 0, 0)
	records := uint32(0)
	var err error
	add := func(r *snapshotpb.Record) {
		at := len(b)
		b = append(b, make([]byte, frameBytes)...)
		var e error
		if b, e = (proto.MarshalOptions{}).MarshalAppend(b, r); e != nil {
			err = errors.Join(err, e)
			return
		}
		n := len(b) - at - frameBytes
		if n > maxRecordBytes {
			err = errors.Join(err, fmt.Errorf("a record of %d bytes", n))
		}
		binary.BigEndian.PutUint32(b[at:], uint32(n))
		binary.BigEndian.PutUint32(b[at+4:], recordChecksum(b[at:at+4], b[at+frameBytes:]))
		records++
	}
	add(&snapshotpb.Record{Is: &snapshotpb.Record_Head{Head: &snapshotpb.Head{Made: int64(s.Made), Gateway: s.Gateway, Settings: s.Settings,
		Position: s.Position}}})
	for _, d := range s.Directors {
		add(&snapshotpb.Record{Is: &snapshotpb.Record_Director{Director: &snapshotpb.Director{At: int64(d.At), Zone: d.Zone}}})
		for _, p := range d.Purges {
			add(&snapshotpb.Record{Is: &snapshotpb.Record_Purge{Purge: &snapshotpb.Purge{Name: p.Name, At: int64(p.At)}}})
		}
		for _, h := range d.Endpoints {
			add(&snapshotpb.Record{Is: &snapshotpb.Record_Server{Server: &snapshotpb.Server{Server: h.Endpoint, Boot: int64(h.Incarnation), Seen: int64(h.LastAnswer),
				Failing: h.ErrorRate, Ejected: int64(h.EjectedUntil), Penalty: int64(h.Backoff), Quick: int64(h.FillLatency), QuickAt: int64(h.FillLatencyAt),
				Most: h.ConcurrencyLimit, Late: h.LateShare}}})
		}
		for _, l := range d.Listings {
			add(&snapshotpb.Record{Is: &snapshotpb.Record_Listing{Listing: &snapshotpb.Listing{Key: l.Key, Server: l.Endpoint, Boot: int64(l.Incarnation),
				HitAt: int64(l.HitAt), Last: int64(l.LastRequest), Gap: int64(l.MeanGap), Count: l.Count, Work: int64(l.TransferTime)}}})
		}
	}
	tail := &snapshotpb.Tail{Records: records, Sum: xxhash.Sum64(b)}
	if len(key) > 0 {
		tail.Mac = computeMAC(b, key)
	}
	add(&snapshotpb.Record{Is: &snapshotpb.Record_Tail{Tail: tail}})
	if len(b) > maxFileBytes {
		err = errors.Join(err, fmt.Errorf("%w: %d bytes", ErrTooLong, len(b)))
	}
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	return b, nil
}

func recordChecksum(length, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(length, castagnoli), castagnoli, payload)
}

func computeMAC(b, key []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(b)
	return h.Sum(nil)
}

// Damage is what was found wrong with a file that can be used all the same.
type Damage struct {
	BadRecords     int  // records whose checksum is wrong, or that can't be read: each costs itself
	UnknownRecords int  // records of a kind that is not known here
	Truncated      bool // the file ends within a record, or a length can't be
	Whole          bool // the tail is there and agrees: the file is as it was written
}

// Decode reads a snapshot. An error says that nothing of it may be used.
func Decode(data, key []byte) (s *warmstart.Snapshot, d Damage, err error) {
	if len(data) > maxFileBytes {
		return nil, d, fmt.Errorf("%w: %d bytes", ErrTooLong, len(data))
	}
	if len(data) < headerBytes || !bytes.HasPrefix(data, []byte(magic)) {
		return nil, d, ErrNotSnapshot
	}
	if v := binary.BigEndian.Uint16(data[4:]); v > Version {
		return nil, d, fmt.Errorf("%w: %d, and %d is read here", ErrNewerVersion, v, Version)
	} else if v == 0 || data[6] != 0 || data[7] != 0 {
		return nil, d, ErrNotSnapshot
	}
	s = &warmstart.Snapshot{}
	rest, records, headed, signed := data[headerBytes:], uint32(0), false, false
	for len(rest) > 0 {
		if len(rest) < frameBytes {
			d.Truncated = true
			break
		}
		n := int(binary.BigEndian.Uint32(rest))
		if n > maxRecordBytes || n > len(rest)-frameBytes {
			d.Truncated = true
			break
		}
		payload := rest[frameBytes : frameBytes+n]
		before := data[:len(data)-len(rest)]
		good := binary.BigEndian.Uint32(rest[4:]) == recordChecksum(rest[:4], payload)
		rest = rest[frameBytes+n:]
		var r snapshotpb.Record
		if !good || proto.Unmarshal(payload, &r) != nil {
			d.BadRecords++
			records++
			continue
		}
		if t := r.GetTail(); t != nil {
			d.Whole = len(rest) == 0 && d.BadRecords == 0 && t.GetRecords() == records && t.GetSum() == xxhash.Sum64(before)
			signed = len(key) > 0 && hmac.Equal(t.GetMac(), computeMAC(before, key))
			if len(rest) > 0 {
				d.Truncated = true
			}
			break
		}
		records++
		if h := r.GetHead(); h != nil && records == 1 {
			s.Made, s.Gateway, s.Settings, s.Position = time.Duration(h.GetMade()), h.GetGateway(), h.GetSettings(), h.GetPosition()
			headed = true
			continue
		}
		d.addRecord(s, &r)
	}
	switch {
	case len(key) > 0 && !(signed && d.Whole):
		return nil, d, ErrMAC
	case !headed:
		return nil, d, ErrHeader
	}
	return s, d, nil
}

// addRecord adds a record to a snapshot.
func (d *Damage) addRecord(s *warmstart.Snapshot, r *snapshotpb.Record) {
	if x := r.GetDirector(); x != nil {
		s.Directors = append(s.Directors, routing.LearnedState{At: time.Duration(x.GetAt()), Zone: x.GetZone()})
		return
	}
	if len(s.Directors) == 0 { // whose it was has been lost
		d.BadRecords++
		return
	}
	m := &s.Directors[len(s.Directors)-1]
	switch x := r.GetIs().(type) {
	case *snapshotpb.Record_Listing:
		l := x.Listing
		m.Listings = append(m.Listings, routing.Listing{Key: l.GetKey(), Endpoint: l.GetServer(), Incarnation: time.Duration(l.GetBoot()),
			HitAt: time.Duration(l.GetHitAt()), LastRequest: time.Duration(l.GetLast()), MeanGap: time.Duration(l.GetGap()), Count: l.GetCount(),
			TransferTime: time.Duration(l.GetWork())})
	case *snapshotpb.Record_Server:
		h := x.Server
		m.Endpoints = append(m.Endpoints, routing.EndpointHealth{Endpoint: h.GetServer(), Incarnation: time.Duration(h.GetBoot()), LastAnswer: time.Duration(h.GetSeen()),
			ErrorRate: h.GetFailing(), EjectedUntil: time.Duration(h.GetEjected()), Backoff: time.Duration(h.GetPenalty()),
			FillLatency: time.Duration(h.GetQuick()), FillLatencyAt: time.Duration(h.GetQuickAt()), ConcurrencyLimit: h.GetMost(), LateShare: h.GetLate()})
	case *snapshotpb.Record_Purge:
		m.Purges = append(m.Purges, routing.PurgeRecord{Name: x.Purge.GetName(), At: time.Duration(x.Purge.GetAt())})
	default:
		d.UnknownRecords++
	}
}
