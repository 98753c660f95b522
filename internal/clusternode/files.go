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
	acceptorFile = "fleet-vote"
	viewFile     = "fleet-view"
	tempSuffix   = ".tmp"
	maxFileBytes = 2 << 20
)

// errCorrupt says that a file is not what was written.
var errCorrupt = errors.New("the file is spoilt")

// writeFile writes a file so that it is there whole, or as it was before, whatever happens on the way.
func writeFile(fs snapshot.FS, name string, key, data []byte) error {
	f, err := fs.Create(name + tempSuffix)
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
		err = fs.Rename(name+tempSuffix, name)
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
	b, err := dir.Read(name, maxFileBytes)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if len(b) < sha256.Size {
		return nil, fmt.Errorf("%s: %w", name, errCorrupt)
	}
	h := hmac.New(sha256.New, key)
	h.Write(b[sha256.Size:])
	if !hmac.Equal(b[:sha256.Size], h.Sum(nil)) {
		return nil, fmt.Errorf("%s: %w", name, errCorrupt)
	}
	return b[sha256.Size:], nil
}

// fileWriter writes files beside the loop, one at a time; of those that wait for the same name the newest.
type fileWriter struct {
	fs      snapshot.FS
	key     []byte
	mu      sync.Mutex
	cond    *sync.Cond
	pending map[string]pendingFile
	closing bool
	done    chan struct{}
}

type pendingFile struct {
	data    []byte
	written func(error)
}

func newFileWriter(fs snapshot.FS, key []byte) *fileWriter {
	k := &fileWriter{fs: fs, key: key, pending: map[string]pendingFile{}, done: make(chan struct{})}
	k.cond = sync.NewCond(&k.mu)
	go k.run()
	return k
}

// write has a file written, and after called from elsewhere once it lasts.
func (k *fileWriter) write(name string, data []byte, after func(error)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pending[name] = pendingFile{data, after}
	k.cond.Signal()
}

func (k *fileWriter) run() {
	defer close(k.done)
	for {
		k.mu.Lock()
		for len(k.pending) == 0 && !k.closing {
			k.cond.Wait()
		}
		all := k.pending
		k.pending = map[string]pendingFile{}
		ends := k.closing
		k.mu.Unlock()
		if len(all) == 0 && ends {
			return
		}
		for _, name := range [...]string{acceptorFile, viewFile} {
			if j, ok := all[name]; ok {
				j.written(writeFile(k.fs, name, k.key, j.data))
			}
		}
	}
}

// close ends the writing, after what waits.
func (k *fileWriter) close() {
	k.mu.Lock()
	k.closing = true
	k.cond.Signal()
	k.mu.Unlock()
	<-k.done
}
