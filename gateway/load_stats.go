package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// LoadCounters count what the gateway did about load since its start.
type LoadCounters struct {
	QueueTimeouts     uint64 // requests rejected since they had waited in the queue for too long
	NoMemory          uint64 // requests rejected since their client, or all clients, leave too many answers unread
	SlowClientsClosed uint64 // clients closed since they left answers unread while memory ran short
	PeakAnswerBytes   int64  // most bytes taken by answers on their way

	QueueWait *hdrhistogram.Histogram // of requests and queued work, in microseconds
	LoopDelay *hdrhistogram.Histogram // from when something was posted to the loop until it ran, in microseconds
	PollerLag *hdrhistogram.Histogram // of what reads from connections, in microseconds
}

// longestRecorded is the longest duration that the histograms take.
const longestRecorded = time.Minute

func newLoadCounters() LoadCounters {
	const significantDigits = 2
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, longestRecorded.Microseconds(), significantDigits)
	}
	return LoadCounters{QueueWait: histogram(), LoopDelay: histogram(), PollerLag: histogram()}
}

// LoadStats is what a gateway has seen of load and done about it, as of now.
type LoadStats struct {
	QueueTimeouts     uint64
	NoMemory          uint64
	SlowClientsClosed uint64
	PeakAnswerBytes   int64 // most bytes that answers on their way have taken
	AnswerBytes       int64 // bytes that they take
	Pauses            int   // times that the host stood still
	PausedTime        time.Duration
	ShedShare         float64 // of the offered requests, from 0 to 1
	BalancerWeight    int     // in percent
	Queued            int     // requests and queued work
	QueueWait         Distribution
	LoopDelay         Distribution
	PollerLag         Distribution
	Shed              []ShedCount // requests that were not admitted
}

// Distribution is a distribution of durations, in seconds.
type Distribution struct {
	Count     uint64
	Sum       float64
	Quantiles map[float64]float64 // by quantile from 0 to 1
}

// ShedCount is how many requests of one front and band were not admitted.
type ShedCount struct {
	Front Front
	Band  string // a class, or the retries of one
	Count uint64
}

// LoadStats returns what is known of load now.
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

// distribution sums up a histogram of microseconds.
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
