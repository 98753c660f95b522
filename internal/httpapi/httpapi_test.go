package httpapi

import (
	"testing"
	"time"

	"larchusher/gateway"
)

// A rejection without advice carried a Retry-After of a second.
func TestRetryAfterIsSentWhereThereIsAdvice(t *testing.T) {
	for advice, want := range map[time.Duration]string{0: "", time.Millisecond: "1", 1001 * time.Millisecond: "2"} {
		rejected := (&API{}).Respond(&AdmittedRequest{}, gateway.Answer{Outcome: gateway.OutcomeRejected, RetryAfter: advice}, time.Time{})
		for name, header := range map[string][][2]string{"rejected": rejected.Header, "overloaded": Overloaded(advice).Response().Header} {
			got := ""
			for _, field := range header {
				if field[0] == "Retry-After" {
					got = field[1]
				}
			}
			if got != want {
				t.Errorf("%s, %v: %q, want %q", name, advice, got, want)
			}
		}
	}
}
