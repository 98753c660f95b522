package resp

import (
	"testing"
	"time"

	"larchusher/gateway"
	"larchusher/routing"
)

// What a store says of how it served is taken as far as it is understood. Neither a word that nobody knows nor a field that
// can't be read closes the connection, which others share.
func TestWordsOfAnswers(t *testing.T) {
	c := &conn{pool: &Pool{cfg: Config{LoadReportFields: []string{"cpu_share", "x1"}}}}
	for _, w := range []struct {
		fields string
		note   routing.Reason
		wait   time.Duration
	}{
		{"why=warm", routing.ReasonHit, 0},
		{"why=deep_fill,first=12.5", routing.ReasonFilledByOrigin, 12500 * time.Microsecond},
		{"why=bounced", routing.ReasonSourceRejected, 0}, {"why=dropped", routing.ReasonSourceLost, 0},
		{"why=lacking", routing.ReasonSourceMiss, 0}, {"why=jammed", routing.ReasonNoFillSlot, 0},
		{"why=backfire", routing.ReasonOriginFailed, 0},
		{"why=sideways", routing.ReasonNone, 0}, {"digest=ab,dated=17", routing.ReasonNone, 0}, {"-", routing.ReasonNone, 0},
		{"first=-3", routing.ReasonNone, 0}, {"first=soon", routing.ReasonNone, 0}, {"first=1e300", routing.ReasonNone, 0},
		{"first=NaN", routing.ReasonNone, 0},
	} {
		var res gateway.Result
		if err := c.parseFields(w.fields, &res); err != nil || res.Reason != w.note || res.FillWait != w.wait {
			t.Errorf("%s: note %v, wait %v, %v", w.fields, res.Reason, res.FillWait, err)
		}
	}
}

// The answer to a test of a connection says that it works, also where the store says that it isn't fit.
func TestUnfitStoresAnswerTests(t *testing.T) {
	for _, word := range []string{"FIT", "UNFIT"} {
		c := &conn{pool: &Pool{}, pingID: "t1"}
		err := c.handleAnswer([][]byte{[]byte("t1"), []byte(word), []byte("rep=cpu_share:0.4"), nil}, time.Time{})
		if err != nil || c.pingID != "" {
			t.Errorf("%s: %v, test %q is still out", word, err, c.pingID)
		}
	}
}

// Settings name the values of a report in the simulator's words or in those of its wire; stores may use the others.
func TestReportsAreReadByEitherName(t *testing.T) {
	for _, fields := range [][]string{{"util", "x1", "inflight"}, {"cpu_share", "x1", "busy_reqs"}} {
		c := &conn{pool: &Pool{cfg: Config{LoadReportFields: fields}}}
		for _, report := range []string{"inflight:7;util:0.61;x1:0.2", "busy_reqs:7;cpu_share:0.61;x1:0.2;new:3"} {
			if got := c.parseLoadReport(report); got[0] != 0.61 || got[1] != 0.2 || got[2] != 7 {
				t.Errorf("%v of %q: %v", fields, report, got)
			}
		}
	}
}
