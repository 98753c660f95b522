package overload

import "testing"

// The larger the share of requests that is rejected, the longer their Retry-After: from a quarter
// to four fifths of the longest one.
func TestRetryAfterShare(t *testing.T) {
	for _, c := range []struct{ rejected, want float64 }{{0, 0.25}, {0.5, 0.525}, {1, 0.8}, {1.5, 0.8}} {
		if got := RetryAfterShare(c.rejected); got < c.want-1e-12 || got > c.want+1e-12 {
			t.Errorf("rejected share %v: share of the longest Retry-After %v, want %v", c.rejected, got, c.want)
		}
	}
}
