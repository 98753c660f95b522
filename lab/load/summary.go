package load

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/parquet-go/parquet-go"
)

// ClassSummary summarizes the requests of one class.
type ClassSummary struct {
	Class      string         `json:"Class"`
	Asked      int            `json:"Asked"`
	Outcomes   map[string]int `json:"Outcomes"`
	InAim      int            `json:"InAim"` // served within the latency objective
	Late       int            `json:"Late"`  // served after the latency objective
	P50        time.Duration  `json:"P50"`
	P99        time.Duration  `json:"P99"`
	P999       time.Duration  `json:"P999"`
	RefusedP50 time.Duration  `json:"RefusedP50"`
	RefP99     time.Duration  `json:"RefP99"` // 99th percentile of the time until a rejection
}

// Share returns n as a percentage of the class's requests.
func (c ClassSummary) Share(n int) float64 { return 100 * float64(n) / float64(max(1, c.Asked)) }

// Summary holds the figures of a run or of one window of it. Percentiles of latency count from the scheduled arrival.
type Summary struct {
	Seconds      float64        `json:"Seconds"`
	Offered      float64        `json:"Offered"` // requests per second
	Worth        float64        `json:"Worth"`   // priority weight served within the objective, per second
	WorthOffered float64        `json:"WorthOffered"`
	Classes      []ClassSummary `json:"Classes"`
	P50          time.Duration  `json:"P50"`
	P99          time.Duration  `json:"P99"`
	P999         time.Duration  `json:"P999"` // of all served requests
	Silent       int            `json:"Silent"`
	Second       uint64         `json:"Second"`
	Spoilt       uint64         `json:"Spoilt"`
	Later50      int            `json:"Later50"` // median Retry-After of rejections, milliseconds
	Lag99        time.Duration  `json:"Lag99"`
	Lag999       time.Duration  `json:"Lag999"` // 99.9th percentile of the delay caused by the load generator itself
}

// Summarize computes the figures of the requests that were due at or after from and before to; to = 0 stands for the end
// of the run. Second and Spoilt always cover the whole run.
func (r *Result) Summarize(from, to time.Duration) Summary {
	if to <= 0 {
		to = r.Spec.For
	}
	hist := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3) }
	s := Summary{Seconds: (to - from).Seconds(), Second: r.Second, Spoilt: r.Spoilt}
	all, later, lag := hist(), hist(), hist()
	served, refused := make([]*hdrhistogram.Histogram, len(r.Spec.Mix)), make([]*hdrhistogram.Histogram, len(r.Spec.Mix))
	for i, c := range r.Spec.Mix {
		s.Classes = append(s.Classes, ClassSummary{Class: c.Name, Outcomes: map[string]int{}})
		served[i], refused[i] = hist(), hist()
	}
	for i := range r.Rows {
		row := &r.Rows[i]
		if due := time.Duration(row.DueUs) * time.Microsecond; due < from || due >= to {
			continue
		}
		class := &r.Spec.Mix[row.class]
		c := &s.Classes[row.class]
		c.Asked++
		_ = lag.RecordValue(row.LagUs)
		c.Outcomes[row.Outcome]++
		s.WorthOffered += class.Worth
		switch row.outcome {
		case Served:
			_ = served[row.class].RecordValue(row.TookUs)
			_ = all.RecordValue(row.TookUs)
			if time.Duration(row.TookUs)*time.Microsecond <= class.Aim {
				c.InAim++
				s.Worth += class.Worth
			} else {
				c.Late++
			}
		case Rejected:
			_ = refused[row.class].RecordValue(row.TookUs)
			_ = later.RecordValue(int64(row.LaterMs))
		case TimedOut:
			s.Silent++
		default: // Outcomes counts it
		}
	}
	at := func(h *hdrhistogram.Histogram, p float64) time.Duration {
		return time.Duration(h.ValueAtPercentile(p)) * time.Microsecond
	}
	n := 0
	for i := range s.Classes {
		c := &s.Classes[i]
		n += c.Asked
		c.P50, c.P99, c.P999 = at(served[i], 50), at(served[i], 99), at(served[i], 99.9)
		c.RefusedP50, c.RefP99 = at(refused[i], 50), at(refused[i], 99)
	}
	s.P50, s.P99, s.P999 = at(all, 50), at(all, 99), at(all, 99.9)
	s.Lag99, s.Lag999 = at(lag, 99), at(lag, 99.9)
	s.Later50 = int(later.ValueAtPercentile(50))
	s.Offered, s.Worth, s.WorthOffered = float64(n)/s.Seconds, s.Worth/s.Seconds, s.WorthOffered/s.Seconds
	return s
}

// Windows returns a Summary for each window of length Spec.Window.
func (r *Result) Windows() (all []Summary) {
	for from := time.Duration(0); from < r.Spec.For; from += r.Spec.Window {
		all = append(all, r.Summarize(from, min(from+r.Spec.Window, r.Spec.For)))
	}
	return all
}

// Print writes the figures as a table. It returns the error of the writer.
func (s Summary) Print(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "offered %.0f/s, worth in aim %.0f/s of %.0f/s; served p50 %v p99 %v p99.9 %v; silent %d, second %d, spoilt %d; own lag p99 %v p99.9 %v\n",
		s.Offered, s.Worth, s.WorthOffered, s.P50, s.P99, s.P999, s.Silent, s.Second, s.Spoilt, s.Lag99, s.Lag999); err != nil {
		return err
	}
	t := tabwriter.NewWriter(w, 2, 8, 2, ' ', tabwriter.AlignRight)
	if _, err := fmt.Fprintln(t, "class\tasked\tin aim %\tlate %\trefused %\tother %\tp50\tp99\tp99.9\trefusal p50\tp99\t"); err != nil {
		return err
	}
	for _, c := range s.Classes {
		other := c.Asked - c.Outcomes["served"] - c.Outcomes["refused"]
		if _, err := fmt.Fprintf(t, "%s\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%v\t%v\t%v\t%v\t%v\t\n", c.Class, c.Asked, c.Share(c.InAim), c.Share(c.Late),
			c.Share(c.Outcomes["refused"]), c.Share(other), c.P50, c.P99, c.P999, c.RefusedP50, c.RefP99); err != nil {
			return err
		}
	}
	return t.Flush()
}

// WriteParquet writes the rows of a run to a Parquet file, replacing an existing one.
func (r *Result) WriteParquet(path string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	w := parquet.NewGenericWriter[Row](f, parquet.Compression(&parquet.Zstd))
	if _, err = w.Write(r.Rows); err == nil {
		err = w.Close()
	}
	if e := f.Close(); err == nil {
		err = e
	}
	if err != nil {
		return fmt.Errorf("load: can't write %s: %w", path, err)
	}
	return nil
}
