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

// example is a snapshot of n listings, whose values follow from the number.
func example(n int) *warmstart.Snapshot {
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

func TestWhatIsWrittenIsRead(t *testing.T) {
	for _, key := range [][]byte{nil, testKey} {
		want := example(100)
		data, err := Encode(want, key)
		if err != nil {
			t.Fatal(err)
		}
		got, d, err := Decode(data, key)
		if err != nil || !d.Complete || !reflect.DeepEqual(got, want) {
			t.Errorf("%+v, %v", d, err)
		}
	}
	if _, err := Encode(&warmstart.Snapshot{Gateway: strings.Repeat("x", 5000)}, nil); err == nil {
		t.Error("a record that nobody would read is written")
	}
}

// checkSound fails if a decoded snapshot has anything in it that was not written.
func checkSound(t *testing.T, what string, s, want *warmstart.Snapshot) {
	t.Helper()
	if s == nil {
		return
	}
	if s.Gateway != want.Gateway || s.CreatedAt != want.CreatedAt || s.SettingsFingerprint != want.SettingsFingerprint {
		t.Fatalf("%s: the head is %+v", what, s)
	}
	known := map[routing.Listing]bool{}
	for _, l := range want.Directors[0].Listings {
		known[l] = true
	}
	for _, d := range s.Directors {
		for _, l := range d.Listings {
			if !known[l] {
				t.Fatalf("%s: %+v was never written", what, l)
			}
		}
		for _, h := range d.Endpoints {
			if h != want.Directors[0].Endpoints[0] {
				t.Fatalf("%s: %+v was never written", what, h)
			}
		}
	}
}

// encoded is a file without a MAC.
func encoded(t *testing.T, s *warmstart.Snapshot) []byte {
	t.Helper()
	data, err := Encode(s, nil)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// splitRecords returns the records of a file, with their frames.
func splitRecords(data []byte) (records [][]byte) {
	for rest := data[headerBytes:]; len(rest) > 0; {
		n := frameBytes + int(binary.BigEndian.Uint32(rest))
		records, rest = append(records, rest[:n]), rest[n:]
	}
	return records
}

// Every bit flipped: what is read was written, and damage is told.
func TestFlippedBitsAreFound(t *testing.T) {
	want := example(12)
	data := encoded(t, want)
	for i := range data {
		for bit := range 8 {
			spoilt := bytes.Clone(data)
			spoilt[i] ^= 1 << bit
			s, d, err := Decode(spoilt, nil)
			if err == nil && d.Complete {
				t.Fatalf("byte %d, bit %d: it is called whole", i, bit)
			}
			checkSound(t, fmt.Sprintf("byte %d, bit %d", i, bit), s, want)
			if _, _, err := Decode(spoilt, testKey); err == nil {
				t.Fatalf("byte %d, bit %d: it is used without its MAC", i, bit)
			}
		}
	}
}

// Every cut: what is read was written, and damage is told.
func TestCutsAreFound(t *testing.T) {
	want := example(12)
	data := encoded(t, want)
	for n := range data {
		s, d, err := Decode(data[:n], nil)
		if err == nil && d.Complete {
			t.Fatalf("%d of %d bytes are called whole", n, len(data))
		}
		checkSound(t, fmt.Sprintf("cut at %d", n), s, want)
	}
}

// Records swapped, repeated and left out: what is read was written, and damage is told.
func TestMisplacedRecordsAreFound(t *testing.T) {
	want := example(12)
	data := encoded(t, want)
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
		"left out":       append([]int{0, 1, 2, 3, 4}, all[6:]...),
		"after the tail": append(slices.Clone(all), 5),
		"head last":      append(all[1:len(all):len(all)], 0),
	} {
		s, d, err := Decode(build(order...), nil)
		if err == nil && d.Complete {
			t.Errorf("%s: it is called whole", name)
		}
		checkSound(t, name, s, want)
	}
}

// A damaged record costs itself, and a length that claims much costs the rest.
func TestDamagedRecords(t *testing.T) {
	data := encoded(t, example(12))
	records := splitRecords(data)
	spoilt := bytes.Clone(data)
	at := headerBytes
	for _, r := range records[:8] {
		at += len(r)
	}
	spoilt[at+frameBytes+3] ^= 1 // in a listing
	if s, d, err := Decode(spoilt, nil); err != nil || d.BadRecords != 1 || len(s.Directors[0].Listings) != 11 || len(s.Directors) != 2 {
		t.Errorf("one record: %+v, %v", d, err)
	}
	binary.BigEndian.PutUint32(spoilt[headerBytes:], 1<<31)
	if _, _, err := Decode(spoilt, nil); !errors.Is(err, ErrHeader) {
		t.Errorf("a length of 2 GB: %v", err)
	}
}

func TestVersionsAndKeys(t *testing.T) {
	data, _ := Encode(example(3), testKey)
	for name, c := range map[string]struct {
		spoil func([]byte)
		key   []byte
		want  error
	}{"newer": {func(b []byte) { b[5] = Version + 1 }, testKey, ErrNewerVersion}, "none": {func(b []byte) { b[5] = 0 }, testKey, ErrNotSnapshot},
		"another file": {func(b []byte) { b[0] = 'X' }, testKey, ErrNotSnapshot}, "another key": {func([]byte) {}, []byte("fedcba9876543210"), ErrMAC},
		"whole": {func([]byte) {}, testKey, nil}, "read without a key": {func([]byte) {}, nil, nil}} {
		b := bytes.Clone(data)
		c.spoil(b)
		if _, _, err := Decode(b, c.key); !errors.Is(err, c.want) {
			t.Errorf("%s: %v", name, err)
		}
	}
	plain, _ := Encode(example(3), nil)
	if _, _, err := Decode(plain, testKey); !errors.Is(err, ErrMAC) {
		t.Errorf("without a MAC where there is a key: %v", err)
	}
}

func FuzzDecode(f *testing.F) {
	whole, _ := Encode(example(5), nil)
	signed, _ := Encode(example(1), testKey)
	for _, b := range [][]byte{whole, signed, whole[:len(whole)-9], []byte(magic), nil} {
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		s, d, err := Decode(b, nil)
		if err == nil && s == nil || err != nil && s != nil {
			t.Fatalf("%v, %+v, %v", s, d, err)
		}
		if s == nil {
			return
		}
		n := 0
		for _, m := range s.Directors {
			n += len(m.Listings) + len(m.Endpoints) + len(m.Purges)
		}
		if n > len(b)/frameBytes {
			t.Fatalf("%d records of %d bytes", n, len(b))
		}
	})
}

func BenchmarkEncodeDecode(b *testing.B) {
	for _, n := range []int{3072, 49152} {
		s := example(n)
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
