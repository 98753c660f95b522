// Package clusternode runs a gateway's part in its fleet: package cluster on the loop, its link, and the files that must last.
package clusternode

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"fmt"
	"io/fs"
	"sync"

	"larchusher/internal/snapshot"
)

const (
	voteFile = "fleet-vote"
	viewFile = "fleet-view"
	partial  = ".tmp"
	fileMost = 2 << 20
)

// errSpoilt says that a file is not what was written.
var errSpoilt = errors.New("the file is spoilt")

// keepFile writes a file so that it is there whole, or as it was before, whatever happens on the way.
func keepFile(fs snapshot.FS, name string, key, data []byte) error {
	f, err := fs.Create(name + partial)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	h := hmac.New(sha256.New, key)
	h.Write(data)
	_, err = f.Write(append(h.Sum(nil), data...))
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err == nil {
		err = fs.Rename(name+partial, name)
	}
	if err == nil {
		err = fs.SyncDir()
	}
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// readFile reads what keepFile wrote; nil: there is none.
func readFile(dir snapshot.FS, name string, key []byte) ([]byte, error) {
	b, err := dir.Read(name, fileMost)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if len(b) < sha256.Size {
		return nil, fmt.Errorf("%s: %w", name, errSpoilt)
	}
	h := hmac.New(sha256.New, key)
	h.Write(b[sha256.Size:])
	if !hmac.Equal(b[:sha256.Size], h.Sum(nil)) {
		return nil, fmt.Errorf("%s: %w", name, errSpoilt)
	}
	return b[sha256.Size:], nil
}

// keeper writes files beside the loop, one at a time; of those that wait for the same name the newest.
type keeper struct {
	fs   snapshot.FS
	key  []byte
	mu   sync.Mutex
	cond *sync.Cond
	next map[string]job
	ends bool
	done chan struct{}
}

type job struct {
	data  []byte
	after func(error)
}

func newKeeper(fs snapshot.FS, key []byte) *keeper {
	k := &keeper{fs: fs, key: key, next: map[string]job{}, done: make(chan struct{})}
	k.cond = sync.NewCond(&k.mu)
	go k.run()
	return k
}

// write has a file written, and after called from elsewhere once it lasts.
func (k *keeper) write(name string, data []byte, after func(error)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.next[name] = job{data, after}
	k.cond.Signal()
}

func (k *keeper) run() {
	defer close(k.done)
	for {
		k.mu.Lock()
		for len(k.next) == 0 && !k.ends {
			k.cond.Wait()
		}
		all := k.next
		k.next = map[string]job{}
		ends := k.ends
		k.mu.Unlock()
		if len(all) == 0 && ends {
			return
		}
		for _, name := range [...]string{voteFile, viewFile} {
			if j, ok := all[name]; ok {
				j.after(keepFile(k.fs, name, k.key, j.data))
			}
		}
	}
}

// close ends the writing, after what waits.
func (k *keeper) close() {
	k.mu.Lock()
	k.ends = true
	k.cond.Signal()
	k.mu.Unlock()
	<-k.done
}
