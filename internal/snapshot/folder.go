package snapshot

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// FS is the folder that a [Store] uses. Each method is a step that can fail by itself, so that tests can inject faults.
type FS interface {
	Create(name string) (File, error) // truncates an existing file
	Rename(from, to string) error     // replaces an existing file, atomically
	SyncDir() error                   // makes renames and removals survive a loss of power
	List() ([]string, error)
	Read(name string, maxBytes int) ([]byte, error) // fails for a file of more than maxBytes
	Remove(name string) error
}

// File is a file that is being written.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// Folder is an [FS] on a folder of the operating system, given by its path.
type Folder string

const (
	lockName = "lock"
	fileMode = 0o600
)

func (f Folder) path(name string) string { return filepath.Join(string(f), name) }

// Create creates a file for writing, or truncates an existing one.
func (f Folder) Create(name string) (File, error) {
	return os.OpenFile(f.path(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
}

// Rename renames a file atomically, and replaces an existing one.
func (f Folder) Rename(from, to string) error { return os.Rename(f.path(from), f.path(to)) }

// SyncDir syncs the folder itself to disk.
func (f Folder) SyncDir() error {
	d, err := os.Open(string(f))
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// List returns the names of all entries of the folder.
func (f Folder) List() (names []string, err error) {
	entries, err := os.ReadDir(string(f))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, err
}

// Read returns the content of a regular file. It fails with [ErrTooLong] if the file has more than maxBytes.
func (f Folder) Read(name string, maxBytes int) ([]byte, error) {
	file, err := os.Open(f.path(name))
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // an error has no effect, since nothing was written
	info, err := file.Stat()
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() {
		return nil, errors.New("not a regular file")
	}
	if info.Size() > int64(maxBytes) { // checked before memory is allocated for the content
		return nil, fmt.Errorf("%w: %d bytes", ErrTooLong, info.Size())
	}
	b, err := io.ReadAll(io.LimitReader(file, int64(maxBytes)+1)) // the file may have grown since
	if err == nil && len(b) > maxBytes {
		err = ErrTooLong
	}
	return b, err
}

// Remove removes a file.
func (f Folder) Remove(name string) error { return os.Remove(f.path(name)) }

// Lock locks the folder for this process, until unlock is called or the process ends. It does not block, and fails if another process
// or another call holds the lock.
func (f Folder) Lock() (unlock func(), err error) {
	file, err := os.OpenFile(f.path(lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	closeFile := func() { _ = file.Close() } // releases the lock even if it fails; nothing was written
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		closeFile()
		return nil, fmt.Errorf("%s is locked by another process: %w", file.Name(), err)
	}
	return closeFile, nil
}
