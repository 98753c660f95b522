package gateway

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"larchusher/internal/metrics"
)

// LoadCounters count what the gateway did about load.
type LoadCounters struct {
	QueueTimeouts     uint64 // requests refused since they had waited for their turn for too long
	NoMemory          uint64 // refused since their client leaves too many answers unread, or all do
	SlowClientsClosed uint64 // clients closed since they left answers unread while memory ran short
	PeakAnswerBytes   int64  // most bytes taken by answers on their way

	QueueWait *hdrhistogram.Histogram // for a turn, in microseconds
	LoopDelay *hdrhistogram.Histogram // of the loop: from when something was posted until it ran
	PollerLag *hdrhistogram.Histogram // of what reads from connections
}

// LoadValues are what was seen of load and done about it. Requests that the door shed are told by front and band.
func (g *Gateway) LoadValues() (all []metrics.Value) {
	add := func(kind metrics.Kind, name, help string, v float64, labels ...metrics.Label) {
		all = append(all, metrics.Value{Name: name, Help: help, Kind: kind, Value: v, Labels: labels})
	}
	l := &g.Load
	add(metrics.Counter, "load_overdue", "Requests refused since they had waited for their turn for too long.", float64(l.QueueTimeouts))
	add(metrics.Counter, "load_no_memory", "Requests refused for want of memory for their answers.", float64(l.NoMemory))
	add(metrics.Counter, "load_slow_ended", "Clients closed since they left answers unread.", float64(l.SlowClientsClosed))
	add(metrics.Gauge, "load_memory_peak", "Most bytes that answers on their way have taken.", float64(l.PeakAnswerBytes))
	add(metrics.Gauge, "load_memory", "Bytes that answers on their way take.", float64(g.memory.Used()))
	add(metrics.Counter, "load_stalls", "Times that the host stood still.", float64(g.pauseMonitor.Pauses))
	add(metrics.Counter, "load_stalled_ms", "Milliseconds that it did.", float64(g.pauseMonitor.PausedTime.Milliseconds()))
	add(metrics.Gauge, "load_level", "Share of the offer that is shed.", g.overloadController.ShedLevel())
	add(metrics.Gauge, "load_weight", "Weight told to balancers, in percent.", float64(g.balancerHealth.Weight()))
	add(metrics.Gauge, "load_waiting", "Requests that wait for their turn.", float64(g.queue.Len()))
	for _, h := range []struct {
		name, help string
		of         *hdrhistogram.Histogram
	}{{"load_turn_seconds", "Waits of requests for their turn.", l.QueueWait},
		{"load_loop_seconds", "Delay of the loop, from when something is posted until it runs.", l.LoopDelay},
		{"load_poll_seconds", "Lateness in reading what has come.", l.PollerLag}} {
		v := metrics.Value{Name: h.name, Help: h.help, Kind: metrics.Summary, Count: uint64(h.of.TotalCount()),
			Sum: h.of.Mean() * float64(h.of.TotalCount()) / 1e6, Quantiles: map[float64]float64{}}
		for _, q := range []float64{0.5, 0.99, 0.999, 1} {
			v.Quantiles[q] = float64(h.of.ValueAtQuantile(100*q)) / 1e6
		}
		all = append(all, v)
	}
	for f := range frontCount {
		for band, n := range g.admissions.shedByBand(f) {
			add(metrics.Counter, "load_shed", "Requests shed at the door, by front and band.", float64(n),
				metrics.Label{Name: "front", Value: f.String()}, metrics.Label{Name: "band", Value: band})
		}
	}
	return all
}
