package snapshot

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"larchusher/routing"
	"larchusher/warmstart"
)

// exampleSnapshot returns a snapshot with n listings. n determines all its values.
func exampleSnapshot(n int) *warmstart.Snapshot {
	s := &warmstart.Snapshot{CreatedAt: time.Duration(n+1) * time.Hour, Gateway: "n1", SettingsFingerprint: "abc", JournalPosition: int64(n)}
	m := routing.LearnedState{
		At:     s.CreatedAt,
		Zone:   "edge-1",
		Purges: []routing.PurgeRecord{{Name: "7f3a9c21e0b4d655", At: time.Hour}, {Name: " 17", At: time.Minute}},
		Endpoints: []routing.EndpointHealth{{
			Endpoint:         "s-1",
			Incarnation:      5,
			LastAnswer:       9,
			ErrorRate:        0.25,
			EjectedUntil:     7,
			Backoff:          time.Second,
			FillLatency:      time.Millisecond,
			FillLatencyAt:    3,
			ConcurrencyLimit: 12.5,
			LateShare:        0.1,
		}},
	}
	for i := range n {
		m.Listings = append(m.Listings, routing.Listing{
			Key:          uint64(i) * 7919,
			Endpoint:     "s-1",
			Incarnation:  5,
			HitAt:        3,
			LastRequest:  time.Duration(i),
			MeanGap:      time.Second,
			Count:        float64(n),
			TransferTime: 4,
		})
	}
	s.Directors = []routing.LearnedState{m, {At: 1, Zone: "edge-2"}}
	return s
}

var testKey = []byte("0123456789abcdef")

func TestEncodeDecodeRoundTrip(t *testing.T) {
	for _, key := range [][]byte{nil, testKey} {
		want := exampleSnapshot(100)
		data, err := Encode(want, key)
		if err != nil {
			t.Fatal(err)
		}
		got, d, err := Decode(data, key)
		if err != nil || !d.Complete || !reflect.DeepEqual(got, want) {
			t.Errorf("decoding what was encoded: damage %+v, error %v, or another snapshot", d, err)
		}
	}
	if _, err := Encode(&warmstart.Snapshot{Gateway: strings.Repeat("x", 5000)}, nil); err == nil {
		t.Error("Encode accepts a record of more than maxRecordBytes")
	}
}

// checkOnlyWrittenData fails the test if a decoded snapshot contains anything that was not encoded.
func checkOnlyWrittenData(t *testing.T, what string, s, want *warmstart.Snapshot) {
	t.Helper()
	if s == nil {
		return
	}
	if s.Gateway != want.Gateway || s.CreatedAt != want.CreatedAt || s.SettingsFingerprint != want.SettingsFingerprint {
		t.Fatalf("%s: head %+v was never encoded", what, s)
	}
	known := map[routing.Listing]bool{}
	for _, l := range want.Directors[0].Listings {
		known[l] = true
	}
	for _, d := range s.Directors {
		for _, l := range d.Listings {
			if !known[l] {
				t.Fatalf("%s: %+v was never encoded", what, l)
			}
		}
		for _, h := range d.Endpoints {
			if h != want.Directors[0].Endpoints[0] {
				t.Fatalf("%s: %+v was never encoded", what, h)
			}
		}
	}
}

// encodeWithoutKey returns the content of a file without a MAC.
func encodeWithoutKey(t *testing.T, s *warmstart.Snapshot) []byte {
	t.Helper()
	data, err := Encode(s, nil)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// splitRecords returns the records of a file, each with its length and checksum.
func splitRecords(data []byte) (records [][]byte) {
	for rest := data[headerBytes:]; len(rest) > 0; {
		n := frameBytes + int(binary.BigEndian.Uint32(rest))
		records, rest = append(records, rest[:n]), rest[n:]
	}
	return records
}

// For each single flipped bit, the file is not taken for complete, what is decoded was encoded, and with a key nothing is decoded.
func TestDecodeDetectsFlippedBits(t *testing.T) {
	want := exampleSnapshot(12)
	data := encodeWithoutKey(t, want)
	for i := range data {
		for bit := range 8 {
			damaged := bytes.Clone(data)
			damaged[i] ^= 1 << bit
			s, d, err := Decode(damaged, nil)
			if err == nil && d.Complete {
				t.Fatalf("byte %d, bit %d: the file is taken for complete", i, bit)
			}
			checkOnlyWrittenData(t, fmt.Sprintf("byte %d, bit %d", i, bit), s, want)
			if _, _, err := Decode(damaged, testKey); err == nil {
				t.Fatalf("byte %d, bit %d: the file is used although it has no MAC", i, bit)
			}
		}
	}
}

// For each truncation, the file is not taken for complete, and what is decoded was encoded.
func TestDecodeDetectsTruncation(t *testing.T) {
	want := exampleSnapshot(12)
	data := encodeWithoutKey(t, want)
	for n := range data {
		s, d, err := Decode(data[:n], nil)
		if err == nil && d.Complete {
			t.Fatalf("%d of %d bytes are taken for the complete file", n, len(data))
		}
		checkOnlyWrittenData(t, fmt.Sprintf("truncated to %d bytes", n), s, want)
	}
}

// If records are swapped, repeated or missing, the file is not taken for complete, and what is decoded was encoded.
func TestDecodeDetectsMisplacedRecords(t *testing.T) {
	want := exampleSnapshot(12)
	data := encodeWithoutKey(t, want)
	records := splitRecords(data)
	build := func(order ...int) []byte {
		b := bytes.Clone(data[:headerBytes])
		for _, i := range order {
			b = append(b, records[i]...)
		}
		return b
	}
	var all []int
	for i := range records {
		all = append(all, i)
	}
	for name, order := range map[string][]int{
		"swapped":        append([]int{0, 1, 2, 3, 4, 6, 5}, all[7:]...),
		"repeated":       append([]int{0, 1, 2, 3, 4, 5, 5}, all[6:]...),
		"missing":        append([]int{0, 1, 2, 3, 4}, all[6:]...),
		"after the tail": append(slices.Clone(all), 5),
		"head last":      append(all[1:len(all):len(all)], 0),
	} {
		s, d, err := Decode(build(order...), nil)
		if err == nil && d.Complete {
			t.Errorf("%s: the file is taken for complete", name)
		}
		checkOnlyWrittenData(t, name, s, want)
	}
}

// Of a file with one wrong checksum only that record is skipped. After an impossible length nothing more is decoded.
func TestDamagedRecords(t *testing.T) {
	data := encodeWithoutKey(t, exampleSnapshot(12))
	records := splitRecords(data)
	damaged := bytes.Clone(data)
	at := headerBytes
	for _, r := range records[:8] {
		at += len(r)
	}
	damaged[at+frameBytes+3] ^= 1 // in a listing
	if s, d, err := Decode(damaged, nil); err != nil || d.BadRecords != 1 || len(s.Directors[0].Listings) != 11 || len(s.Directors) != 2 {
		t.Errorf("one damaged record: damage %+v, error %v, want one bad record and all others decoded", d, err)
	}
	binary.BigEndian.PutUint32(damaged[headerBytes:], 1<<31)
	if _, _, err := Decode(damaged, nil); !errors.Is(err, ErrHeader) {
		t.Errorf("length of 2 GiB in the first record: error %v, want ErrHeader", err)
	}
}

func TestVersionsAndKeys(t *testing.T) {
	data, _ := Encode(exampleSnapshot(3), testKey)
	for name, c := range map[string]struct {
		damage func([]byte)
		key    []byte
		want   error
	}{"newer version": {func(b []byte) { b[5] = Version + 1 }, testKey, ErrNewerVersion}, "version 0": {func(b []byte) { b[5] = 0 }, testKey, ErrNotSnapshot},
		"another file": {func(b []byte) { b[0] = 'X' }, testKey, ErrNotSnapshot}, "another key": {func([]byte) {}, []byte("fedcba9876543210"), ErrMAC},
		"undamaged": {func([]byte) {}, testKey, nil}, "read without a key": {func([]byte) {}, nil, nil}} {
		b := bytes.Clone(data)
		c.damage(b)
		if _, _, err := Decode(b, c.key); !errors.Is(err, c.want) {
			t.Errorf("%s: decoded with error %v, want the error of this case", name, err)
		}
	}
	plain, _ := Encode(exampleSnapshot(3), nil)
	if _, _, err := Decode(plain, testKey); !errors.Is(err, ErrMAC) {
		t.Errorf("file without a MAC, read with a key: error %v, want ErrMAC", err)
	}
}

func FuzzDecode(f *testing.F) {
	complete, _ := Encode(exampleSnapshot(5), nil)
	signed, _ := Encode(exampleSnapshot(1), testKey)
	for _, b := range [][]byte{complete, signed, complete[:len(complete)-9], []byte(magic), nil} {
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		s, d, err := Decode(b, nil)
		if err == nil && s == nil || err != nil && s != nil {
			t.Fatalf("snapshot %v, damage %+v, error %v: want either a snapshot or an error", s, d, err)
		}
		if s == nil {
			return
		}
		n := 0
		for _, m := range s.Directors {
			n += len(m.Listings) + len(m.Endpoints) + len(m.Purges)
		}
		if n > len(b)/frameBytes {
			t.Fatalf("%d records decoded from %d bytes, too few for their headers", n, len(b))
		}
	})
}

func BenchmarkEncodeDecode(b *testing.B) {
	for _, n := range []int{3072, 49152} {
		s := exampleSnapshot(n)
		data, _ := Encode(s, nil)
		b.Run(fmt.Sprintf("encode-%d", n), func(b *testing.B) {
			b.SetBytes(int64(len(data)))
			for range b.N {
				_, _ = Encode(s, nil)
			}
		})
		b.Run(fmt.Sprintf("decode-%d", n), func(b *testing.B) {
			b.SetBytes(int64(len(data)))
			for range b.N {
				_, _, _ = Decode(data, nil)
			}
		})
	}
}
