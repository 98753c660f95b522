package resp

import "sync"

// favoredIDs is the set of the IDs of requests in flight on a connection whose answers are kept a little beyond the memory for answers:
// their clients do not cause the shortage. The loop changes it, and the poller reads it. The zero value is an empty set.
type favoredIDs struct {
	mu  sync.Mutex
	ids map[string]bool
}

// add adds an ID.
func (f *favoredIDs) add(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ids == nil {
		f.ids = map[string]bool{}
	}
	f.ids[id] = true
}

// remove removes an ID, if it is in the set.
func (f *favoredIDs) remove(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.ids, id)
}

// contains reports whether an ID is in the set.
func (f *favoredIDs) contains(id []byte) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ids[string(id)]
}
