package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// LoadCounters counts the gateway's reactions to load since its start, and records delays.
type LoadCounters struct {
	QueueTimeouts     uint64 // requests rejected because they had waited in the queue for too long
	NoMemory          uint64 // requests rejected, or failed, because their client or all clients leave too many answers unread
	SlowClientsClosed uint64 // clients closed because they left answers unread while memory was nearly full
	PeakAnswerBytes   int64  // largest number of bytes taken by unsent answers

	QueueWait *hdrhistogram.Histogram // waits of requests and queued work in the queue, in microseconds
	LoopDelay *hdrhistogram.Histogram // delays from the first Post of a batch until it ran on the loop, in microseconds
	PollerLag *hdrhistogram.Histogram // delays of read barriers, in microseconds
}

// maxRecordedDuration is the longest duration that the histograms record.
const maxRecordedDuration = time.Minute

func newLoadCounters() LoadCounters {
	const significantDigits = 2
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, maxRecordedDuration.Microseconds(), significantDigits)
	}
	return LoadCounters{QueueWait: histogram(), LoopDelay: histogram(), PollerLag: histogram()}
}

// LoadStats is a gateway's load and its reactions to load at one moment. The counters are those of
// [LoadCounters].
type LoadStats struct {
	QueueTimeouts     uint64
	NoMemory          uint64
	SlowClientsClosed uint64
	PeakAnswerBytes   int64 // largest number of bytes taken by unsent answers so far
	AnswerBytes       int64 // bytes taken by unsent answers now
	Pauses            int   // pauses, in which the host did not run this program
	PausedTime        time.Duration
	ShedShare         float64 // share of the offered requests that is shed, from 0 to 1
	BalancerWeight    int     // weight for load balancers, in percent
	Queued            int     // requests and work in the queue now
	QueueWait         Distribution
	LoopDelay         Distribution
	PollerLag         Distribution
	Shed              []ShedCount // requests that were not admitted, sorted by front and band
}

// Distribution is a distribution of durations, in seconds.
type Distribution struct {
	Count     uint64
	Sum       float64
	Quantiles map[float64]float64 // by quantile, from 0 to 1
}

// ShedCount is the number of requests of a front and band that were not admitted.
type ShedCount struct {
	Front Front
	Band  string // name of a class, or of the retries of one
	Count uint64
}

// LoadStats returns the present load and the counters about it.
func (g *Gateway) LoadStats() LoadStats {
	s := LoadStats{
		QueueTimeouts:     g.Load.QueueTimeouts,
		NoMemory:          g.Load.NoMemory,
		SlowClientsClosed: g.Load.SlowClientsClosed,
		PeakAnswerBytes:   g.Load.PeakAnswerBytes,
		AnswerBytes:       g.memory.Used(),
		Pauses:            g.pauseMonitor.Pauses,
		PausedTime:        g.pauseMonitor.PausedTime,
		ShedShare:         g.ShedShare(),
		BalancerWeight:    g.BalancerWeight(),
		Queued:            g.queue.Len(),
		QueueWait:         distribution(g.Load.QueueWait),
		LoopDelay:         distribution(g.Load.LoopDelay),
		PollerLag:         distribution(g.Load.PollerLag),
	}
	for front := range frontCount {
		shed := g.generations.shedByBand(front)
		for _, band := range slices.Sorted(maps.Keys(shed)) {
			s.Shed = append(s.Shed, ShedCount{Front: front, Band: band, Count: shed[band]})
		}
	}
	return s
}

// distribution summarizes a histogram of microseconds.
func distribution(h *hdrhistogram.Histogram) Distribution {
	const microsecondsPerSecond = 1e6
	d := Distribution{
		Count:     uint64(h.TotalCount()),
		Sum:       h.Mean() * float64(h.TotalCount()) / microsecondsPerSecond,
		Quantiles: map[float64]float64{},
	}
	for _, q := range []float64{0.5, 0.99, 0.999, 1} {
		d.Quantiles[q] = float64(h.ValueAtQuantile(100*q)) / microsecondsPerSecond
	}
	return d
}
