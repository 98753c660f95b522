package locality

import (
	"testing"

	"larchusher/routing"
)

func TestClassifyResult(t *testing.T) {
	for _, c := range []struct {
		status                  routing.Status
		cache, late, collateral bool
		want                    Result
	}{{routing.OK, true, false, false, ResultSuccess}, {routing.OK, true, true, false, ResultLate}, {routing.OK, false, false, false, ResultFailure},
		{routing.Reset, true, false, false, ResultFailure}, {routing.Reset, true, false, true, ResultNeutral}, {routing.TimedOut, true, false, false, ResultFailure},
		{routing.Rejected, true, false, false, ResultRejected}, {routing.Canceled, true, false, false, ResultNeutral}, {routing.NotSent, false, false, false, ResultNeutral},
		{routing.Miss, true, false, false, ResultNeutral}} {
		if got := ClassifyResult(c.status, c.cache, c.late, c.collateral); got != c.want {
			t.Errorf("attempt and wanted result %+v: got %v", c, got)
		}
	}
}
