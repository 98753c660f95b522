package snapshot

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"larchusher/warmstart"
)

// Names of files: a prefix, the number of the generation in generationDigits hexadecimal digits, and a suffix. One that is being
// written has temporarySuffix as well.
const (
	filePrefix       = "knowledge-"
	fileSuffix       = ".lks"
	temporarySuffix  = ".tmp"
	generationDigits = 16
)

// keptGenerations is the number of generations that are kept: the latest one, and one to fall back on.
const keptGenerations = 2

// Store keeps generations of snapshots in a folder. Its methods block for as long as the folder does. It is not safe for concurrent
// use.
type Store struct {
	fs               FS
	key              []byte // of the MAC; empty: none
	latestGeneration uint64
}

// NewStore returns a store. key is that of the MAC; empty: files have none.
func NewStore(fs FS, key []byte) *Store { return &Store{fs: fs, key: key} }

// generationOf returns the generation in the name of a file; false if it is no snapshot's.
func generationOf(name string) (generation uint64, ok bool) {
	digits, hasPrefix := strings.CutPrefix(name, filePrefix)
	digits, hasSuffix := strings.CutSuffix(digits, fileSuffix)
	generation, err := strconv.ParseUint(digits, 16, 64)
	return generation, hasPrefix && hasSuffix && len(digits) == generationDigits && err == nil
}

func fileName(generation uint64) string {
	return fmt.Sprintf("%s%0*x%s", filePrefix, generationDigits, generation, fileSuffix)
}

// list returns the generations, the newest first, and the names of files of writes that did not end.
func (s *Store) list() (generations []uint64, unfinished []string, err error) {
	names, err := s.fs.List()
	if err != nil {
		return nil, nil, fmt.Errorf("snapshot: listing: %w", err)
	}
	for _, name := range names {
		if generation, ok := generationOf(name); ok {
			generations = append(generations, generation)
		} else if strings.HasPrefix(name, filePrefix) && strings.HasSuffix(name, temporarySuffix) {
			unfinished = append(unfinished, name)
		}
	}
	slices.Sort(generations)
	slices.Reverse(generations)
	return generations, unfinished, nil
}

// Save writes a snapshot as a new generation, and removes old ones. Until the new one is complete the old ones are what is
// read. It returns the size of the file in bytes.
func (s *Store) Save(snap *warmstart.Snapshot) (size int, err error) {
	data, err := Encode(snap, s.key)
	if err != nil {
		return 0, err
	}
	generations, unfinished, err := s.list()
	if err != nil {
		return 0, err
	}
	for _, generation := range generations {
		s.latestGeneration = max(s.latestGeneration, generation)
	}
	s.latestGeneration++
	if err := s.writeFile(fileName(s.latestGeneration), data); err != nil {
		return 0, err
	}
	for _, name := range unfinished {
		_ = s.fs.Remove(name) // the next Save tries again
	}
	s.removeOld(generations)
	return len(data), nil
}

// writeFile writes a file under a temporary name and puts it in place once it is on disk.
func (s *Store) writeFile(name string, data []byte) error {
	temporary := name + temporarySuffix
	f, err := s.fs.Create(temporary)
	if err != nil {
		return fmt.Errorf("snapshot: creating %s: %w", temporary, err)
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync() // or the name could be there before the bytes
	}
	if err = errors.Join(err, f.Close()); err != nil {
		_ = s.fs.Remove(temporary) // the next Save tries again
		return fmt.Errorf("snapshot: writing %s: %w", temporary, err)
	}
	if err := s.fs.Rename(temporary, name); err != nil {
		_ = s.fs.Remove(temporary) // the next Save tries again
		return fmt.Errorf("snapshot: putting %s in place: %w", name, err)
	}
	if err := s.fs.SyncDir(); err != nil {
		return fmt.Errorf("snapshot: the folder: %w", err)
	}
	return nil
}

// removeOld removes all but the newest of the generations that were there before the latest Save. Files of newer versions are
// not ours to remove.
func (s *Store) removeOld(generations []uint64) {
	if len(generations) < keptGenerations {
		return
	}
	for _, generation := range generations[keptGenerations-1:] {
		if name := fileName(generation); !s.isNewerVersion(name) {
			_ = s.fs.Remove(name) // the next Save tries again
		}
	}
}

// isNewerVersion reports whether a file is of a newer version of the format.
func (s *Store) isNewerVersion(name string) bool {
	data, err := s.fs.Read(name, maxFileBytes)
	if err != nil {
		return false
	}
	_, _, err = Decode(data, nil)
	return errors.Is(err, ErrNewerVersion)
}

// LoadedFile is a file that was read.
type LoadedFile struct {
	Name     string
	Size     int // bytes
	Damage   Damage
	Err      error // why nothing of it is used; nil: it is
	Snapshot *warmstart.Snapshot
}

// Inspect reads all generations, the newest first.
func (s *Store) Inspect() (all []LoadedFile, err error) {
	generations, _, err := s.list()
	if err != nil {
		return nil, err
	}
	for _, generation := range generations {
		all = append(all, s.inspectFile(fileName(generation)))
	}
	return all, nil
}

func (s *Store) inspectFile(name string) LoadedFile {
	data, err := s.fs.Read(name, maxFileBytes)
	f := LoadedFile{Name: name, Size: len(data), Err: err}
	if err == nil {
		f.Snapshot, f.Damage, f.Err = Decode(data, s.key)
	}
	return f
}

// Load reads all generations, and returns as best the newest one that is complete, or else the newest of which anything can be
// used; nil if there is none.
func (s *Store) Load() (best *LoadedFile, all []LoadedFile, err error) {
	if all, err = s.Inspect(); err != nil {
		return nil, nil, err
	}
	for i := range all {
		f := &all[i]
		if f.Err != nil {
			continue
		}
		if f.Damage.Complete {
			return f, all, nil
		}
		if best == nil {
			best = f
		}
	}
	return best, all, nil
}

// Prune removes all files but the one that [Store.Load] prefers and those of newer versions, and returns the names of those
// that it removed.
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
	_, unfinished, listErr := s.list()
	for _, name := range unfinished {
		if err := s.fs.Remove(name); err != nil {
			return removed, fmt.Errorf("snapshot: removing %s: %w", name, err)
		}
		removed = append(removed, name)
	}
	return removed, errors.Join(listErr, s.fs.SyncDir())
}
