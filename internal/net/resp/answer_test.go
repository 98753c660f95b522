package resp

import (
	"testing"
	"time"

	"larchusher/gateway"
	"larchusher/routing"
)

// The fields of an answer are parsed as far as they are understood. Neither an unknown word nor an unreadable number
// closes the connection, which other attempts share.
func TestParseFields(t *testing.T) {
	c := &conn{pool: &Pool{cfg: Config{LoadReportFields: []string{"cpu_share", "x1"}}}}
	for _, w := range []struct {
		fields string
		reason routing.Reason
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
		if err := c.parseFields(w.fields, &res); err != nil || res.Reason != w.reason || res.FillWait != w.wait {
			t.Errorf("%s: reason %v, fill wait %v, error %v, want those of the table and no error", w.fields, res.Reason, res.FillWait, err)
		}
	}
}

// The answer to a ping shows that the connection works, even if the endpoint reports itself unfit.
func TestPingAnswerOfUnfitEndpoint(t *testing.T) {
	for _, word := range []string{"FIT", "UNFIT"} {
		c := &conn{pool: &Pool{}, pingID: "t1"}
		err := c.handleAnswer([][]byte{[]byte("t1"), []byte(word), []byte("rep=cpu_share:0.4"), nil}, time.Time{})
		if err != nil || c.pingID != "" {
			t.Errorf("%s: error %v, unanswered ping %q, want neither", word, err, c.pingID)
		}
	}
}

// Settings may name the fields of a load report as the simulator does or as the protocol does, and endpoints may use
// the other names.
func TestLoadReportFieldAliases(t *testing.T) {
	for _, fields := range [][]string{{"util", "x1", "inflight"}, {"cpu_share", "x1", "busy_reqs"}} {
		c := &conn{pool: &Pool{cfg: Config{LoadReportFields: fields}}}
		for _, report := range []string{"inflight:7;util:0.61;x1:0.2", "busy_reqs:7;cpu_share:0.61;x1:0.2;new:3"} {
			if got := c.parseLoadReport(report); got[0] != 0.61 || got[1] != 0.2 || got[2] != 7 {
				t.Errorf("fields %v of report %q: got %v, want 0.61, 0.2 and 7", fields, report, got)
			}
		}
	}
}
