package snapshot

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"larchusher/routing"
	"larchusher/warmstart"
)

// example is a snapshot of n listings, whose values follow from the number.
func example(n int) *warmstart.Snapshot {
	s := &warmstart.Snapshot{Made: time.Duration(n+1) * time.Hour, Gateway: "n1", Settings: "abc", Position: int64(n)}
	m := routing.LearnedState{At: s.Made, Zone: "edge-1", Purges: []routing.PurgeRecord{{Name: "7f3a9c21e0b4d655", At: time.Hour}, {Name: " 17", At: time.Minute}},
		Endpoints: []routing.EndpointHealth{{Endpoint: "s-1", Incarnation: 5, LastAnswer: 9, ErrorRate: 0.25, EjectedUntil: 7, Backoff: time.Second, FillLatency: time.Millisecond, FillLatencyAt: 3, ConcurrencyLimit: 12.5, LateShare: 0.1}}}
	for i := range n {
		m.Listings = append(m.Listings, routing.Listing{Key: uint64(i) * 7919, Endpoint: "s-1", Incarnation: 5, HitAt: 3, LastRequest: time.Duration(i), MeanGap: time.Second, Count: float64(n), TransferTime: 4})
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
		if err != nil || !d.Whole || !reflect.DeepEqual(got, want) {
			t.Errorf("%+v, %v", d, err)
		}
	}
	if _, err := Encode(&warmstart.Snapshot{Gateway: strings.Repeat("x", 5000)}, nil); err == nil {
		t.Error("a record that nobody would read is written")
	}
}

// sound fails if a decoded snapshot has anything in it that was not written.
func sound(t *testing.T, what string, s, want *warmstart.Snapshot) {
	t.Helper()
	if s == nil {
		return
	}
	if s.Gateway != want.Gateway || s.Made != want.Made || s.Settings != want.Settings {
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

// Every bit flipped, every cut, records swapped and repeated, lengths that claim much: what is read was written, damage is
// told, and one record costs itself.
func TestDamageIsFound(t *testing.T) {
	want := example(12)
	data, err := Encode(want, nil)
	if err != nil {
		t.Fatal(err)
	}
	for i := range data {
		for bit := range 8 {
			spoilt := bytes.Clone(data)
			spoilt[i] ^= 1 << bit
			s, d, err := Decode(spoilt, nil)
			if err == nil && d.Whole {
				t.Fatalf("byte %d, bit %d: it is called whole", i, bit)
			}
			sound(t, fmt.Sprintf("byte %d, bit %d", i, bit), s, want)
			if _, _, err := Decode(spoilt, testKey); err == nil {
				t.Fatalf("byte %d, bit %d: it is used without its MAC", i, bit)
			}
		}
	}
	for n := range data {
		s, d, err := Decode(data[:n], nil)
		if err == nil && d.Whole {
			t.Fatalf("%d of %d bytes are called whole", n, len(data))
		}
		sound(t, fmt.Sprintf("cut at %d", n), s, want)
	}
	var records [][]byte
	for rest := data[headerBytes:]; len(rest) > 0; {
		n := frameBytes + int(binary.BigEndian.Uint32(rest))
		records, rest = append(records, rest[:n]), rest[n:]
	}
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
	for name, order := range map[string][]int{"swapped": append([]int{0, 1, 2, 3, 4, 6, 5}, all[7:]...), "repeated": append([]int{0, 1, 2, 3, 4, 5, 5}, all[6:]...),
		"left out": append([]int{0, 1, 2, 3, 4}, all[6:]...), "after the tail": append(slices.Clone(all), 5), "head last": append(all[1:len(all):len(all)], 0)} {
		s, d, err := Decode(build(order...), nil)
		if err == nil && d.Whole {
			t.Errorf("%s: it is called whole", name)
		}
		sound(t, name, s, want)
	}
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

// disk is a file system in memory that fails, or loses its power, at a step. What is not synced by then is lost, or there
// in part; a rename that is not synced has happened, or not.
type disk struct {
	files   map[string][]byte // as processes see them
	durable map[string][]byte // as they are after the power is back
	names   map[string]string // renames that the folder does not hold for sure: by new name
	steps   int
	fail    int // the step that fails; 0: none
	power   bool
	off     bool
	rng     *rand.Rand
}

var errDisk = errors.New("the disk failed")

func newDisk(seed uint64) *disk {
	return &disk{files: map[string][]byte{}, durable: map[string][]byte{}, names: map[string]string{}, rng: rand.New(rand.NewPCG(seed, 1))}
}

func (d *disk) step() error {
	if d.off {
		return errDisk
	}
	if d.steps++; d.fail > 0 && d.steps == d.fail {
		d.off = d.power
		return errDisk
	}
	return nil
}

func (d *disk) Create(name string) (File, error) {
	if err := d.step(); err != nil {
		return nil, err
	}
	d.files[name] = nil
	return &diskFile{d, name}, nil
}

type diskFile struct {
	d    *disk
	name string
}

func (f *diskFile) Write(b []byte) (int, error) {
	if err := f.d.step(); err != nil {
		n := f.d.rng.IntN(len(b)) // full in the middle
		f.d.files[f.name] = append(f.d.files[f.name], b[:n]...)
		return n, err
	}
	f.d.files[f.name] = append(f.d.files[f.name], b...)
	return len(b), nil
}

func (f *diskFile) Sync() error {
	if err := f.d.step(); err != nil {
		return err
	}
	f.d.durable[f.name] = bytes.Clone(f.d.files[f.name])
	return nil
}

func (f *diskFile) Close() error { return f.d.step() }

func (d *disk) Rename(from, to string) error {
	if err := d.step(); err != nil {
		return err
	}
	d.files[to] = d.files[from]
	delete(d.files, from)
	d.names[to] = from
	return nil
}

func (d *disk) SyncDir() error {
	if err := d.step(); err != nil {
		return err
	}
	for to, from := range d.names {
		if b, ok := d.durable[from]; ok {
			d.durable[to] = b
			delete(d.durable, from)
		}
	}
	clear(d.names)
	for name := range d.durable {
		if _, ok := d.files[name]; !ok {
			delete(d.durable, name)
		}
	}
	return nil
}

func (d *disk) List() (names []string, err error) {
	if err := d.step(); err != nil {
		return nil, err
	}
	for name := range d.files {
		names = append(names, name)
	}
	slices.Sort(names)
	return names, nil
}

func (d *disk) Read(name string, _ int) ([]byte, error) {
	if err := d.step(); err != nil {
		return nil, err
	}
	b, ok := d.files[name]
	if !ok {
		return nil, os.ErrNotExist
	}
	return b, nil
}

func (d *disk) Remove(name string) error {
	if err := d.step(); err != nil {
		return err
	}
	delete(d.files, name)
	return nil
}

// back is the disk after a loss of power: of what was not synced any part may be there.
func (d *disk) back() *disk {
	next := newDisk(d.rng.Uint64())
	add := func(name string, b []byte) { next.files[name], next.durable[name] = bytes.Clone(b), bytes.Clone(b) }
	for name, b := range d.durable {
		add(name, b)
	}
	for name, b := range d.files { // written and not synced: lost, there in part, or whole
		if _, ok := d.durable[name]; !ok && len(b) > 0 && d.rng.IntN(2) == 0 && d.names[name] == "" {
			add(name, b[:d.rng.IntN(len(b)+1)])
		}
	}
	for to, from := range d.names { // the rename may have come before the power went
		if b, ok := d.durable[from]; ok && d.rng.IntN(2) == 0 {
			add(to, b)
			delete(next.files, from)
			delete(next.durable, from)
		}
	}
	return next
}

// The disk fails, or its power does, at each step of each of some writes: what is read afterwards is whole, and no older
// than the latest write that went well.
func TestFaultsAtEveryStep(t *testing.T) {
	for _, power := range []bool{false, true} {
		for fail := 1; fail < 60; fail++ {
			for seed := range uint64(4) {
				d := newDisk(seed)
				d.fail, d.power = fail, power
				store := NewStore(d, testKey)
				good := -1
				for n := range 6 {
					if _, err := store.Save(example(n)); err == nil {
						good = n
					}
				}
				d.fail = 0
				if power {
					d = d.back()
				}
				best, all, err := NewStore(d, testKey).Load()
				if err != nil {
					t.Fatal(err)
				}
				got := -1
				if best != nil {
					if !best.Damage.Whole || !reflect.DeepEqual(best.Snap, example(int(best.Snap.Position))) {
						t.Fatalf("step %d, power %v: %+v is read", fail, power, best.Damage)
					}
					got = int(best.Snap.Position)
				}
				if got < good {
					t.Fatalf("step %d, power %v, seed %d: write %d went well, and %d is read (%d files)", fail, power, seed, good, got, len(all))
				}
				if len(all) > keptGenerations+2 {
					t.Errorf("step %d: %d files", fail, len(all))
				}
			}
		}
	}
}

// Two generations both torn: the rest of the newer one is used. A file of a newer version is left where it is.
func TestTornGenerationsAndNewerFiles(t *testing.T) {
	d := newDisk(1)
	store := NewStore(d, nil)
	for n := range 3 {
		if _, err := store.Save(example(n + 5)); err != nil {
			t.Fatal(err)
		}
	}
	for name, b := range d.files {
		d.files[name] = b[:len(b)-30]
	}
	if best, all, err := store.Load(); err != nil || best == nil || best.Damage.Whole || best.Snap.Position != 7 || len(all) != 2 {
		t.Errorf("%+v, %v", best, err)
	}
	newer := bytes.Clone(d.files[fileName(3)])
	newer[5] = Version + 1
	d.files[fileName(1)] = newer
	for n := range 4 {
		if _, err := store.Save(example(n)); err != nil {
			t.Fatal(err)
		}
	}
	if removed, err := store.Prune(); err != nil || len(removed) != 1 || !bytes.Equal(d.files[fileName(1)], newer) {
		t.Errorf("removed %v, %v", removed, err)
	}
	if best, _, err := store.Load(); err != nil || best.Snap.Position != 3 {
		t.Errorf("%+v, %v", best, err)
	}
}

// A process that writes all the time is killed at random moments: what is there can always be read, and is no older than
// what it said it had written. LARCHUSHER_LONG=20 makes it 1,000 kills, for docs/measurements/state.md.
func TestKilledWriters(t *testing.T) {
	folder := t.TempDir()
	if dir := os.Getenv("LARCHUSHER_WRITER"); dir != "" {
		writer(dir)
		return
	}
	kills := 50
	if n, err := strconv.Atoi(os.Getenv("LARCHUSHER_LONG")); err == nil {
		kills *= n
	}
	rng := rand.New(rand.NewPCG(1, 1))
	last := int64(-1)
	for k := range kills {
		cmd := exec.Command(os.Args[0], "-test.run=^TestKilledWriters$")
		cmd.Env = append(os.Environ(), "LARCHUSHER_WRITER="+folder)
		out, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		said := make(chan int64, 1)
		began := make(chan bool)
		go func() {
			var n, latest int64
			latest = -1
			for first := true; ; first = false {
				_, err := fmt.Fscanln(out, &n)
				if first { // it writes, or has ended without a word
					close(began)
				}
				if err != nil {
					break
				}
				latest = n
			}
			said <- latest
		}()
		<-began
		time.Sleep(time.Duration(rng.IntN(5000)) * time.Microsecond) // the moment is what is tried
		_ = cmd.Process.Kill()
		written := <-said
		_ = cmd.Wait()
		best, all, err := NewStore(Folder(folder), testKey).Load()
		if err != nil || best == nil {
			t.Fatalf("kill %d: %v, %v", k, best, err)
		}
		for _, f := range all {
			if f.Err != nil || !f.Damage.Whole {
				t.Errorf("kill %d: %s: %+v, %v", k, f.Name, f.Damage, f.Err)
			}
		}
		if p := best.Snap.Position; p < max(last, written) || !reflect.DeepEqual(best.Snap, numbered(p)) {
			t.Fatalf("kill %d: %d is read, %d was written and %d before", k, p, written, last)
		}
		last = best.Snap.Position
	}
	names, err := Folder(folder).List()
	if err != nil || len(names) > keptGenerations+3 {
		t.Errorf("%v are left, %v", names, err)
	}
}

func numbered(n int64) *warmstart.Snapshot {
	s := example(200)
	s.Position = n
	return s
}

// writer writes until it is killed, and says what it has written.
func writer(folder string) {
	unlock, err := Folder(folder).Lock()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	defer unlock()
	store := NewStore(Folder(folder), testKey)
	n := int64(0)
	if best, _, err := store.Load(); err == nil && best != nil {
		n = best.Snap.Position + 1
	}
	for ; ; n++ {
		if _, err := store.Save(numbered(n)); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		fmt.Println(n)
	}
}

// Two processes, or two keepers, do not share a folder; a folder that can't be used is told; a failing one is tried again.
func TestKeepers(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	folder := t.TempDir()
	k, found, err := Open(folder, nil, log)
	if err != nil || found != nil {
		t.Fatal(found, err)
	}
	if _, _, err := Open(folder, nil, log); err == nil {
		t.Error("two hold it")
	}
	if _, _, err := Open(filepath.Join(folder, "nowhere"), nil, log); err == nil {
		t.Error("it is nowhere")
	}
	posted := make(chan func(), 10)
	n := 0
	k.Start(time.Second, func(f func()) bool { posted <- f; return true }, func() *warmstart.Snapshot { n++; s := example(3); s.Made = time.Duration(n); return s })
	now := time.Hour
	beat := func() {
		k.Tick(now)
		(<-posted)()
	}
	beat()
	if k.schedule.Written != 1 || k.Size == 0 {
		t.Errorf("%+v", k.schedule)
	}
	if err := os.Chmod(folder, 0); err != nil {
		t.Fatal(err)
	}
	moved := folder + "-away"
	if err := os.Rename(folder, moved); err != nil {
		t.Fatal(err)
	}
	now += 2 * time.Second
	beat()
	if k.schedule.Failed != 1 {
		t.Errorf("it writes to nowhere: %+v", k.schedule)
	}
	if err := errors.Join(os.Rename(moved, folder), os.Chmod(folder, 0o700)); err != nil {
		t.Fatal(err)
	}
	now += 10 * time.Second
	beat()
	if k.schedule.Written != 2 || k.schedule.Due(now) {
		t.Errorf("%+v", k.schedule)
	}
	k.SaveNow(now)
	(<-posted)()
	k.Close(time.Second)
	if _, found, err = Open(folder, nil, log); err != nil || found == nil || found.Made != time.Duration(n) {
		t.Errorf("%v, %v", found, err)
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
