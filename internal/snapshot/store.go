package snapshot

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"

	"larchusher/warmstart"
)

const (
	filePrefix      = "knowledge-"
	fileSuffix      = ".lks"
	temporarySuffix = ".tmp"
	lockName        = "lock"
	keptGenerations = 2 // that are kept
)

// FS is the folder that a Store writes to. Its methods are those steps of a write that can fail by themselves.
type FS interface {
	Create(name string) (File, error) // empties what is there
	Rename(from, to string) error
	SyncDir() error // what was renamed or removed stays so
	List() ([]string, error)
	Read(name string, most int) ([]byte, error) // an error for a file that is longer
	Remove(name string) error
}

// File is one that is written.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// Folder is an FS of the operating system's.
type Folder string

// Create makes a file.
func (f Folder) Create(name string) (File, error) {
	return os.OpenFile(filepath.Join(string(f), name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
}

// Rename puts a file in the place of another, at once.
func (f Folder) Rename(from, to string) error {
	return os.Rename(filepath.Join(string(f), from), filepath.Join(string(f), to))
}

// SyncDir has the folder itself written.
func (f Folder) SyncDir() error {
	d, err := os.Open(string(f))
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// List names the folder's files.
func (f Folder) List() (names []string, err error) {
	all, err := os.ReadDir(string(f))
	for _, e := range all {
		names = append(names, e.Name())
	}
	return names, err
}

// Read reads a file whole, if it is no longer than most.
func (f Folder) Read(name string, most int) ([]byte, error) {
	file, err := os.Open(filepath.Join(string(f), name))
	if err != nil {
		return nil, err
	}
	defer file.Close()
	info, err := file.Stat()
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() {
		return nil, errors.New("not a regular file")
	}
	if info.Size() > int64(most) { // before anything is allocated for it
		return nil, fmt.Errorf("%w: %d bytes", ErrTooLong, info.Size())
	}
	b, err := io.ReadAll(io.LimitReader(file, int64(most)+1))
	if err == nil && len(b) > most {
		err = ErrTooLong
	}
	return b, err
}

// Remove removes a file.
func (f Folder) Remove(name string) error { return os.Remove(filepath.Join(string(f), name)) }

// Lock holds a folder for this process until it ends or Unlock is called. Guards against two processes that write there.
func (f Folder) Lock() (unlock func(), err error) {
	file, err := os.OpenFile(filepath.Join(string(f), lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		file.Close()
		return nil, fmt.Errorf("%s is held by another process: %w", file.Name(), err)
	}
	return func() { file.Close() }, nil
}

// Store keeps generations of snapshots in a folder. It is not safe for concurrent use.
type Store struct {
	fs               FS
	key              []byte // of the MAC; empty: none
	latestGeneration uint64 // generation
}

// NewStore returns a store; key may be empty.
func NewStore(fs FS, key []byte) *Store { return &Store{fs: fs, key: key} }

// generationOf is the generation of a file; false: it is none.
func generationOf(name string) (n uint64, ok bool) {
	x, ok1 := strings.CutPrefix(name, filePrefix)
	x, ok2 := strings.CutSuffix(x, fileSuffix)
	n, err := strconv.ParseUint(x, 16, 64)
	return n, ok1 && ok2 && len(x) == 16 && err == nil
}

func fileName(n uint64) string { return fmt.Sprintf("%s%016x%s", filePrefix, n, fileSuffix) }

// list names the generations, the newest first, and what was left of writes that did not end.
func (s *Store) list() (numbers []uint64, left []string, err error) {
	names, err := s.fs.List()
	if err != nil {
		return nil, nil, fmt.Errorf("snapshot: listing: %w", err)
	}
	for _, name := range names {
		if n, ok := generationOf(name); ok {
			numbers = append(numbers, n)
		} else if strings.HasPrefix(name, filePrefix) && strings.HasSuffix(name, temporarySuffix) {
			left = append(left, name)
		}
	}
	slices.Sort(numbers)
	slices.Reverse(numbers)
	return numbers, left, nil
}

// Save writes a snapshot as a new generation, and drops those before the one before it. Until it is all there, the old ones
// are what is read.
func (s *Store) Save(k *warmstart.Snapshot) (size int, err error) {
	data, err := Encode(k, s.key)
	if err != nil {
		return 0, err
	}
	numbers, left, err := s.list()
	if err != nil {
		return 0, err
	}
	for _, n := range numbers {
		s.latestGeneration = max(s.latestGeneration, n)
	}
	s.latestGeneration++
	temp, name := fileName(s.latestGeneration)+temporarySuffix, fileName(s.latestGeneration)
	f, err := s.fs.Create(temp)
	if err != nil {
		return 0, fmt.Errorf("snapshot: creating %s: %w", temp, err)
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync() // or the name could be there before the bytes
	}
	if err = errors.Join(err, f.Close()); err != nil {
		_ = s.fs.Remove(temp) // what stays is removed by the next
		return 0, fmt.Errorf("snapshot: writing %s: %w", temp, err)
	}
	if err := s.fs.Rename(temp, name); err != nil {
		_ = s.fs.Remove(temp)
		return 0, fmt.Errorf("snapshot: putting %s in place: %w", name, err)
	}
	if err := s.fs.SyncDir(); err != nil {
		return 0, fmt.Errorf("snapshot: the folder: %w", err)
	}
	for _, l := range left {
		_ = s.fs.Remove(l)
	}
	kept := 1
	for _, n := range numbers {
		if kept < keptGenerations {
			kept++
			continue
		}
		if !s.isNewerVersion(fileName(n)) {
			_ = s.fs.Remove(fileName(n))
		}
	}
	return len(data), nil
}

// isNewerVersion says that a file is of a newer version, which is not ours to remove.
func (s *Store) isNewerVersion(name string) bool {
	data, err := s.fs.Read(name, maxFileBytes)
	if err != nil {
		return false
	}
	_, _, err = Decode(data, nil)
	return errors.Is(err, ErrNewerVersion)
}

// Found is one file that was looked at.
type Found struct {
	Name   string
	Size   int
	Damage Damage
	Err    error // why nothing of it is used
	Snap   *warmstart.Snapshot
}

// Inspect reads all generations, the newest first.
func (s *Store) Inspect() (all []Found, err error) {
	numbers, _, err := s.list()
	if err != nil {
		return nil, err
	}
	for _, n := range numbers {
		f := Found{Name: fileName(n)}
		data, err := s.fs.Read(f.Name, maxFileBytes)
		if f.Size = len(data); err != nil {
			f.Err = err
		} else {
			f.Snap, f.Damage, f.Err = Decode(data, s.key)
		}
		all = append(all, f)
	}
	return all, nil
}

// Load returns the newest generation that is whole, else the newest of which anything can be used; nil: there is none.
func (s *Store) Load() (best *Found, all []Found, err error) {
	if all, err = s.Inspect(); err != nil {
		return nil, nil, err
	}
	for i := range all {
		if f := &all[i]; f.Err == nil && (best == nil || f.Damage.Whole && !best.Damage.Whole) {
			if best = f; f.Damage.Whole {
				break
			}
		}
	}
	return best, all, nil
}

// Prune removes all but the newest generation that is whole, and what can't be read; files of newer versions stay. It
// returns what it removed.
func (s *Store) Prune() (removed []string, err error) {
	best, all, err := s.Load()
	if err != nil {
		return nil, err
	}
	for _, f := range all {
		if best != nil && f.Name == best.Name || errors.Is(f.Err, ErrNewerVersion) {
			continue
		}
		if err := s.fs.Remove(f.Name); err != nil {
			return removed, fmt.Errorf("snapshot: removing %s: %w", f.Name, err)
		}
		removed = append(removed, f.Name)
	}
	_, left, err := s.list()
	for _, name := range left {
		if e := s.fs.Remove(name); e != nil {
			return removed, fmt.Errorf("snapshot: removing %s: %w", name, e)
		}
		removed = append(removed, name)
	}
	return removed, errors.Join(err, s.fs.SyncDir())
}
