package overload

import "testing"

// The more is rejected, the longer clients are told to wait: from a quarter to four fifths of the longest Retry-After.
func TestRetryAfterShare(t *testing.T) {
	for _, c := range []struct{ rejected, want float64 }{{0, 0.25}, {0.5, 0.525}, {1, 0.8}, {1.5, 0.8}} {
		if got := RetryAfterShare(c.rejected); got < c.want-1e-12 || got > c.want+1e-12 {
			t.Errorf("%v rejected: share %v, want %v", c.rejected, got, c.want)
		}
	}
}
