package metrics

import (
	"bytes"
	"strconv"
)

// StatsD formats values as lines of the StatsD protocol, PREFIX.NAME.LABEL:VALUE|TYPE, where LABEL stands for the values of the
// labels, joined by dots. Counters are sent as totals since the start, not as increments. Summaries are left out.
func StatsD(prefix string, values []Value) []byte {
	var b bytes.Buffer
	for _, v := range values {
		var kind string
		switch v.Kind {
		case Counter:
			kind = "c"
		case Gauge:
			kind = "g"
		case Summary:
			continue
		}
		b.WriteString(prefix + "." + v.Name)
		for _, l := range v.Labels {
			b.WriteString("." + l.Value)
		}
		b.WriteString(":" + strconv.FormatFloat(v.Value, 'f', -1, 64) + "|" + kind + "\n")
	}
	return b.Bytes()
}
