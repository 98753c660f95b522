package snapshot

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"os"
	"slices"
)

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
