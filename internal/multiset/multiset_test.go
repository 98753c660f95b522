package multiset

import (
	"testing"

	"pgregory.net/rapid"
)

// A Set contains an element as long as it was added more often than removed, and removals of what it does not contain have no effect.
func TestSetCountsItsElements(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Set[string]
		counts, size := map[string]int{}, 0
		for range rapid.IntRange(0, 50).Draw(t, "steps") {
			e := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "element")
			switch add := rapid.Bool().Draw(t, "add"); {
			case add:
				s.Add(e)
				counts[e]++
				size++
			case counts[e] > 0:
				s.Remove(e)
				counts[e]--
				size--
			default:
				s.Remove(e)
			}
			if s.Contains(e) != (counts[e] > 0) || s.Empty() != (size == 0) {
				t.Fatalf("contains %s: %v, empty: %v; want count %d of %d elements", e, s.Contains(e), s.Empty(), counts[e], size)
			}
		}
	})
}
