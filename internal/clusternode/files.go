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

// errCorrupt reports that a file is not as it was written.
var errCorrupt = errors.New("the file is spoilt")

// authenticate is the code that stands before the data of a file.
func authenticate(key, data []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(data)
	return h.Sum(nil)
}

// writeFile replaces a file atomically: it is complete, or as it was before.
func writeFile(dir snapshot.FS, name string, key, data []byte) error {
	if err := replaceFile(dir, name, append(authenticate(key, data), data...)); err != nil {
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

// readFile reads what writeFile wrote; nil: there is no file.
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
	code, data := b[:sha256.Size], b[sha256.Size:]
	if !hmac.Equal(code, authenticate(key, data)) {
		return nil, fmt.Errorf("%s: %w", name, errCorrupt)
	}
	return data, nil
}

// fileWriter writes files in a goroutine of its own, one at a time. Of the writes that wait for one name, the latest is made.
type fileWriter struct {
	dir     snapshot.FS
	key     []byte
	mu      sync.Mutex
	changed *sync.Cond
	pending map[string]pendingFile // by name
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

// write has a file written. It does not block; written is called in the writer's goroutine once the file is durable, unless a
// later write of the name replaces this one.
func (w *fileWriter) write(name string, data []byte, written func(error)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending[name] = pendingFile{data, written}
	w.changed.Signal()
}

func (w *fileWriter) run() {
	defer close(w.done)
	for {
		pending, closing := w.take()
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

// take waits for something to write, or for the end, and takes all that waits.
func (w *fileWriter) take() (pending map[string]pendingFile, closing bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.pending) == 0 && !w.closing {
		w.changed.Wait()
	}
	pending, w.pending = w.pending, map[string]pendingFile{}
	return pending, w.closing
}

// close ends the writer after what waits. It blocks until then.
func (w *fileWriter) close() {
	w.mu.Lock()
	w.closing = true
	w.changed.Signal()
	w.mu.Unlock()
	<-w.done
}
