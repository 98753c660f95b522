package metrics

import (
	"bytes"
	"strconv"
)

// StatsD words values as lines of the StatsD protocol, PREFIX.NAME.LABEL:VALUE|TYPE, where the value of each label follows
// the name. Counters are told in whole, as they stand since the start. Summaries are left out.
func StatsD(prefix string, values []Value) []byte {
	var b bytes.Buffer
	for _, v := range values {
		kind := "c"
		switch v.Kind {
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
