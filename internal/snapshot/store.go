package snapshot

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"larchusher/warmstart"
)

// A file's name is filePrefix, the number of the generation in generationDigits hexadecimal digits, and fileSuffix. A file that is
// being written has temporarySuffix in addition.
const (
	filePrefix       = "knowledge-"
	fileSuffix       = ".lks"
	temporarySuffix  = ".tmp"
	generationDigits = 16
)

// keptGenerations is the number of generations that Save keeps: the latest one, and one as a fallback.
const keptGenerations = 2

// Store stores generations of snapshots in a folder. Its methods block on the folder. It is not safe for concurrent use.
type Store struct {
	fs               FS
	key              []byte // key of the MAC; empty: files have no MAC
	latestGeneration uint64
}

// NewStore returns a store. key is the key of the files' MACs; empty: the files have none.
func NewStore(fs FS, key []byte) *Store { return &Store{fs: fs, key: key} }

// generationOf returns the generation in a file's name, or false if the name is not that of a snapshot.
func generationOf(name string) (generation uint64, ok bool) {
	digits, hasPrefix := strings.CutPrefix(name, filePrefix)
	digits, hasSuffix := strings.CutSuffix(digits, fileSuffix)
	generation, err := strconv.ParseUint(digits, 16, 64)
	return generation, hasPrefix && hasSuffix && len(digits) == generationDigits && err == nil
}

func fileName(generation uint64) string {
	return fmt.Sprintf("%s%0*x%s", filePrefix, generationDigits, generation, fileSuffix)
}

// list returns the generations, newest first, and the names of temporary files of writes that were not completed.
func (s *Store) list() (generations []uint64, unfinished []string, err error) {
	names, err := s.fs.List()
	if err != nil {
		return nil, nil, fmt.Errorf("snapshot: listing the folder: %w", err)
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

// Save writes a snapshot as a new generation and removes old generations. Until the new file is complete, Load returns an older one. It
// returns the size of the file in bytes.
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
		_ = s.fs.Remove(name) // if this fails the next Save tries again
	}
	s.removeOldGenerations(generations)
	return len(data), nil
}

// writeFile writes a file under a temporary name, syncs it and renames it.
func (s *Store) writeFile(name string, data []byte) error {
	temporary := name + temporarySuffix
	f, err := s.fs.Create(temporary)
	if err != nil {
		return fmt.Errorf("snapshot: creating %s: %w", temporary, err)
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync() // without it the renamed file could be there before its data
	}
	if err = errors.Join(err, f.Close()); err != nil {
		_ = s.fs.Remove(temporary) // if this fails the next Save tries again
		return fmt.Errorf("snapshot: writing %s: %w", temporary, err)
	}
	if err := s.fs.Rename(temporary, name); err != nil {
		_ = s.fs.Remove(temporary) // if this fails the next Save tries again
		return fmt.Errorf("snapshot: renaming the temporary file to %s: %w", name, err)
	}
	if err := s.fs.SyncDir(); err != nil {
		return fmt.Errorf("snapshot: syncing the folder: %w", err)
	}
	return nil
}

// removeOldGenerations removes all but the newest of the generations that existed before the current Save. It does not remove files of
// newer versions of the format, which another program wrote.
func (s *Store) removeOldGenerations(generations []uint64) {
	if len(generations) < keptGenerations {
		return
	}
	for _, generation := range generations[keptGenerations-1:] {
		if name := fileName(generation); !s.isNewerVersion(name) {
			_ = s.fs.Remove(name) // if this fails the next Save tries again
		}
	}
}

// isNewerVersion reports whether a file has a newer version of the format.
func (s *Store) isNewerVersion(name string) bool {
	data, err := s.fs.Read(name, maxFileBytes)
	if err != nil {
		return false
	}
	_, _, err = Decode(data, nil)
	return errors.Is(err, ErrNewerVersion)
}

// LoadedFile is the result of reading a file.
type LoadedFile struct {
	Name     string
	Size     int // in bytes
	Damage   Damage
	Err      error // why nothing of the file can be used; nil: it can
	Snapshot *warmstart.Snapshot
}

// Inspect reads all generations and returns them, newest first.
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

// Load reads all generations. best is the newest one that is complete, or else the newest one that can be used in part; nil if there
// is none.
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

// Prune removes all files except the one that [Store.Load] returns as best and those of newer versions. It returns the names of the
// removed files.
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
