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
	tempSuffix   = ".tmp"
	maxFileBytes = 2 << 20
)

// errCorrupt reports that the MAC of a file does not match its data, or that the file is shorter than a MAC.
var errCorrupt = errors.New("file is damaged or was written with another key: its MAC is missing or does not match")

// computeMAC returns the HMAC-SHA-256 of a file's data. It is stored before the data.
func computeMAC(key, data []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(data)
	return h.Sum(nil)
}

// writeFile replaces a file atomically: after a crash the file has either the old content or the new one, complete.
func writeFile(dir snapshot.FS, name string, key, data []byte) error {
	if err := replaceFile(dir, name, append(computeMAC(key, data), data...)); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

func replaceFile(dir snapshot.FS, name string, data []byte) error {
	f, err := dir.Create(name + tempSuffix)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return err
	}
	if err := dir.Rename(name+tempSuffix, name); err != nil {
		return err
	}
	return dir.SyncDir()
}

// readFile returns the data that writeFile wrote, or nil if there is no such file. It fails with errCorrupt if the MAC is
// missing or does not match.
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
	mac, data := b[:sha256.Size], b[sha256.Size:]
	if !hmac.Equal(mac, computeMAC(key, data)) {
		return nil, fmt.Errorf("%s: %w", name, errCorrupt)
	}
	return data, nil
}

// fileWriter writes files on a goroutine of its own, one at a time. If several writes of one file are waiting, only the latest is
// made.
type fileWriter struct {
	dir     snapshot.FS
	key     []byte
	mu      sync.Mutex
	changed *sync.Cond
	pending map[string]pendingFile // the next write of each file, by name
	closing bool
	done    chan struct{} // closed once the goroutine has ended
}

type pendingFile struct {
	data    []byte
	written func(error)
}

func newFileWriter(dir snapshot.FS, key []byte) *fileWriter {
	w := &fileWriter{dir: dir, key: key, pending: map[string]pendingFile{}, done: make(chan struct{})}
	w.changed = sync.NewCond(&w.mu)
	go w.run()
	return w
}

// write schedules the replacement of a file and does not block. The writer's goroutine calls written once the file is durable or
// the write has failed, unless a later write of the same file replaces this one first. It may be called from any goroutine.
func (w *fileWriter) write(name string, data []byte, written func(error)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending[name] = pendingFile{data, written}
	w.changed.Signal()
}

func (w *fileWriter) run() {
	defer close(w.done)
	for {
		pending, closing := w.takePending()
		if len(pending) == 0 && closing {
			return
		}
		for _, name := range [...]string{acceptorFile, viewFile} {
			if f, ok := pending[name]; ok {
				f.written(writeFile(w.dir, name, w.key, f.data))
			}
		}
	}
}

// takePending waits until there is something to write or close was called, and returns all waiting writes.
func (w *fileWriter) takePending() (pending map[string]pendingFile, closing bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.pending) == 0 && !w.closing {
		w.changed.Wait()
	}
	pending, w.pending = w.pending, map[string]pendingFile{}
	return pending, w.closing
}

// close makes the waiting writes, ends the writer's goroutine, and blocks until that has ended.
func (w *fileWriter) close() {
	w.mu.Lock()
	w.closing = true
	w.changed.Signal()
	w.mu.Unlock()
	<-w.done
}
