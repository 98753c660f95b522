package snapshot

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"os"
	"slices"
)

// disk is an FS in memory, of which one step fails or loses power. After a loss of power, data that was not synced is missing or
// partly there, and a rename that was not synced may or may not have happened.
type disk struct {
	files           map[string][]byte // files as processes see them, by name
	durable         map[string][]byte // files as they are after a loss of power, except for what unsynced data and renames may add
	unsyncedRenames map[string]string // old names of renames that were not followed by SyncDir, by new name
	steps           int
	failAt          int // number of the step that fails, from 1; 0: none
	losesPower      bool
	poweredOff      bool
	rng             *rand.Rand
}

var errDisk = errors.New("injected disk failure")

func newDisk(seed uint64) *disk {
	return &disk{files: map[string][]byte{}, durable: map[string][]byte{}, unsyncedRenames: map[string]string{}, rng: rand.New(rand.NewPCG(seed, 1))}
}

// step counts a step. It fails at step failAt, and at each later one if the disk has lost power.
func (d *disk) step() error {
	if d.poweredOff {
		return errDisk
	}
	if d.steps++; d.failAt > 0 && d.steps == d.failAt {
		d.poweredOff = d.losesPower
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
		n := f.d.rng.IntN(len(b)) // a write that fails has written a part
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
	d.unsyncedRenames[to] = from
	return nil
}

func (d *disk) SyncDir() error {
	if err := d.step(); err != nil {
		return err
	}
	for to, from := range d.unsyncedRenames {
		if b, ok := d.durable[from]; ok {
			d.durable[to] = b
			delete(d.durable, from)
		}
	}
	clear(d.unsyncedRenames)
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

// afterPowerLoss returns a disk with a possible content after a loss of power: of data and renames that were not synced, random
// parts are there.
func (d *disk) afterPowerLoss() *disk {
	next := newDisk(d.rng.Uint64())
	add := func(name string, b []byte) { next.files[name], next.durable[name] = bytes.Clone(b), bytes.Clone(b) }
	for name, b := range d.durable {
		add(name, b)
	}
	for name, b := range d.files { // written but not synced: missing, partly there, or complete
		if _, ok := d.durable[name]; !ok && len(b) > 0 && d.rng.IntN(2) == 0 && d.unsyncedRenames[name] == "" {
			add(name, b[:d.rng.IntN(len(b)+1)])
		}
	}
	for to, from := range d.unsyncedRenames { // the rename may have happened before the loss of power
		if b, ok := d.durable[from]; ok && d.rng.IntN(2) == 0 {
			add(to, b)
			delete(next.files, from)
			delete(next.durable, from)
		}
	}
	return next
}
