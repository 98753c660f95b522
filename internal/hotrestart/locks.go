package hotrestart

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// Files of the folder that the processes share.
const (
	activeLockFile    = "active.lock"  // locked by the active process
	successorLockFile = "next.lock"    // locked by its successor while both run
	servingLockFile   = "serving.lock" // locked by the successor while it serves clients and both run
	requestFile       = "request"      // written by the successor: its token
	statePrefix       = "state-"       // followed by the token: written by the active process
	socketPrefix      = "s-"           // followed by the token: the successor's Unix socket; short, as a path has 107 bytes at most
	temporarySuffix   = ".tmp"

	folderMode = 0o700
	fileMode   = 0o600
)

// ensurePrivateFolder makes the folder, or checks that it is this user's and closed to everyone else: in a temporary folder that
// all users share, another user may have made it.
func ensurePrivateFolder(dir string) error {
	if err := os.Mkdir(dir, folderMode); err != nil && !errors.Is(err, os.ErrExist) {
		return fmt.Errorf("the handover's folder: %w", err)
	}
	var st unix.Stat_t
	if err := unix.Lstat(dir, &st); err != nil {
		return fmt.Errorf("the handover's folder %s: %w", dir, err)
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
		return nil, fmt.Errorf("the handover's lock: %w", err)
	}
	return f, nil
}

// tryLock locks a file, and reports false if another process holds a lock on it. how is unix.LOCK_EX or unix.LOCK_SH.
func tryLock(f *os.File, how int) bool {
	for {
		err := unix.Flock(int(f.Fd()), how|unix.LOCK_NB)
		if !errors.Is(err, unix.EINTR) {
			return err == nil
		}
	}
}

// closeLockFile closes a file that nothing was written to, which releases its lock whatever it returns.
func closeLockFile(f *os.File) { _ = f.Close() }
