package httpapi

import (
	"testing"
	"time"

	"larchusher/gateway"
)

// Guards against a Retry-After of one second in rejections without backoff advice.
func TestRetryAfterOnlyWithBackoff(t *testing.T) {
	for backoff, want := range map[time.Duration]string{0: "", time.Millisecond: "1", 1001 * time.Millisecond: "2"} {
		rejected := (&API{}).Respond(&AdmittedRequest{}, gateway.Answer{Outcome: gateway.OutcomeRejected, RetryAfter: backoff}, time.Time{})
		for name, header := range map[string][][2]string{"rejected": rejected.Header, "overloaded": Overloaded(backoff).Response().Header} {
			got := ""
			for _, field := range header {
				if field[0] == "Retry-After" {
					got = field[1]
				}
			}
			if got != want {
				t.Errorf("%s with backoff %v: Retry-After is %q, want %q", name, backoff, got, want)
			}
		}
	}
}
