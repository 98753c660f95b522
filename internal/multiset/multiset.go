// Package multiset has a set for concurrent use that counts how often each element was added.
package multiset

import (
	"sync"
	"sync/atomic"
)

// Set is a multiset that is safe for concurrent use. The zero value is empty.
type Set[E comparable] struct {
	size   atomic.Int64
	mu     sync.Mutex
	counts map[E]int
}

// Add adds an element once.
func (s *Set[E]) Add(e E) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counts == nil {
		s.counts = map[E]int{}
	}
	s.counts[e]++
	s.size.Add(1)
}

// Remove undoes one Add of an element. It does nothing if the set does not contain the element.
func (s *Set[E]) Remove(e E) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counts[e] == 0 {
		return
	}
	s.counts[e]--
	if s.counts[e] == 0 {
		delete(s.counts, e)
	}
	s.size.Add(-1)
}

// Contains reports whether an element was added more often than removed. For an empty set it costs one atomic load.
func (s *Set[E]) Contains(e E) bool {
	if s.Empty() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts[e] > 0
}

// Empty reports whether the set has no elements.
func (s *Set[E]) Empty() bool { return s.size.Load() == 0 }
