package hotrestart

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// Files in the folder that the processes share.
const (
	activeLockFile    = "active.lock"  // locked by the active process
	successorLockFile = "next.lock"    // locked by the successor while both run
	servingLockFile   = "serving.lock" // locked by the successor while it serves clients and both run
	requestFile       = "request"      // written by the successor: its token
	statePrefix       = "state-"       // followed by a token; written by the active process
	socketPrefix      = "s-"           // followed by a token: the successor's Unix socket; short because a socket's path has 107 bytes at most
	temporarySuffix   = ".tmp"

	folderMode = 0o700
	fileMode   = 0o600
)

// ensurePrivateFolder creates the folder, or checks that it belongs to this user and that no other user has any access: in a
// temporary folder that all users share, another user may have created it.
func ensurePrivateFolder(dir string) error {
	if err := os.Mkdir(dir, folderMode); err != nil && !errors.Is(err, os.ErrExist) {
		return fmt.Errorf("creating the handover folder: %w", err)
	}
	var st unix.Stat_t
	if err := unix.Lstat(dir, &st); err != nil {
		return fmt.Errorf("checking the handover folder %s: %w", dir, err)
	}
	isFolder := st.Mode&unix.S_IFMT == unix.S_IFDIR
	isPrivate := int(st.Uid) == os.Geteuid() && st.Mode&0o077 == 0
	if !isFolder || !isPrivate {
		return fmt.Errorf("%s: %w", dir, ErrFolderNotPrivate)
	}
	return nil
}

func openLockFile(dir, name string) (*os.File, error) {
	f, err := os.OpenFile(filepath.Join(dir, name), os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, fmt.Errorf("opening a lock file of the handover folder: %w", err)
	}
	return f, nil
}

// tryLock locks a file without blocking. It reports false if another open file holds a conflicting lock, or on any other error. how
// is unix.LOCK_EX or unix.LOCK_SH.
func tryLock(f *os.File, how int) bool {
	for {
		err := unix.Flock(int(f.Fd()), how|unix.LOCK_NB)
		if !errors.Is(err, unix.EINTR) {
			return err == nil
		}
	}
}

// closeLockFile closes a lock file, which releases its lock. An error is ignored, because nothing was written to the file and the
// lock is released in any case.
func closeLockFile(f *os.File) { _ = f.Close() }
