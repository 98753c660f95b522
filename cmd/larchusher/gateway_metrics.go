package main

import (
	"larchusher/gateway"
	"larchusher/internal/metrics"
)

// gatewayMetrics returns the gateway's metrics of load, and of localities if they are configured, under the names that operators
// scrape.
func gatewayMetrics(gw *gateway.Gateway) []metrics.Value {
	all := loadMetrics(gw.LoadStats())
	if s, ok := gw.LocalityStats(); ok {
		all = append(all, localityMetrics(s)...)
	}
	return all
}

// loadMetrics returns the metrics of the queue, load shedding, memory for answers, pauses and delays.
func loadMetrics(s gateway.LoadStats) []metrics.Value {
	all := []metrics.Value{
		counter("load_overdue", "Requests rejected since they had waited in the queue for too long.", float64(s.QueueTimeouts)),
		counter("load_no_memory", "Requests rejected, or failed, since there was no memory for their answers.", float64(s.NoMemory)),
		counter("load_slow_ended", "Clients closed since they left answers unread.", float64(s.SlowClientsClosed)),
		gauge("load_memory_peak", "Most bytes that answers on their way have taken.", float64(s.PeakAnswerBytes)),
		gauge("load_memory", "Bytes that answers on their way take.", float64(s.AnswerBytes)),
		counter("load_stalls", "Pauses: times in which the host did not run this process.", float64(s.Pauses)),
		counter("load_stalled_ms", "Milliseconds of pauses of this process.", float64(s.PausedTime.Milliseconds())),
		gauge("load_level", "Share of the offered cost that is shed.", s.ShedShare),
		gauge("load_weight", "Weight told to balancers, in percent.", float64(s.BalancerWeight)),
		gauge("load_waiting", "Requests in the queue.", float64(s.Queued)),
		summary("load_turn_seconds", "Waits of requests in the queue.", s.QueueWait),
		summary("load_loop_seconds", "Delay of the loop, from when something is posted until it runs.", s.LoopDelay),
		summary("load_poll_seconds", "Delay of reading from connections.", s.PollerLag),
	}
	for _, shed := range s.Shed {
		all = append(all, counter("load_shed", "Requests shed by admission control, by front and band.", float64(shed.Count),
			metrics.Label{Name: "front", Value: shed.Front.String()}, metrics.Label{Name: "band", Value: shed.Band}))
	}
	return all
}

// localityMetrics returns the metrics of spillover among localities, and of each locality.
func localityMetrics(s gateway.LocalityStats) []metrics.Value {
	c := s.Counters
	all := []metrics.Value{
		counter("tier_spilled", "Requests given to another locality than the own one.", float64(c.Spilled)),
		counter("tier_moved", "Requests given to another locality after one had rejected them.", float64(c.Rerouted)),
		counter("tier_passed", "Requests that no locality had capacity for, and that were sent past the caches.", float64(c.Bypassed)),
		gauge("tier_passing", "Share of the requests without capacity in any locality that is sent past the caches.", s.BypassShare),
		counter("tier_refused", "Requests rejected since no locality had capacity for them.", float64(c.Rejected)),
		counter("tier_bounded", "Requests rejected or sent past the caches since the budget of a locality was exhausted.", float64(c.BoundReached)),
		counter("tier_changes", "Changes of a locality's state.", float64(c.StateChanges)),
		counter("tier_panics", "Ticks in panic mode: too few localities were healthy, and no load was moved.", float64(c.PanicTicks)),
	}
	for _, v := range s.Localities {
		where := metrics.Label{Name: "locality", Value: v.Name}
		all = append(all,
			counter("tier_picked", "Requests by locality.", float64(v.Picked), where),
			gauge("tier_share", "Share of the load that goes to a locality.", v.Share, where),
			gauge("tier_health", "Share of recent attempts there that ended well.", v.Health, where),
			gauge("tier_ramp", "Share of its load that a recovering locality may have.", v.Ramp, where),
			gauge("tier_load", "Utilization of its links, by its load reports; negative: not known.", v.Utilization, where),
			gauge("tier_state", "0 healthy (steady), 1 ejected (away), 2 on probation (trial), 3 recovering (returning).", float64(v.State), where),
			gauge("tier_wait_seconds", "Latest backoff before its probation.", v.Backoff.Seconds(), where),
		)
	}
	return all
}

func counter(name, help string, v float64, labels ...metrics.Label) metrics.Value {
	return metrics.Value{Name: name, Help: help, Kind: metrics.Counter, Value: v, Labels: labels}
}

func gauge(name, help string, v float64, labels ...metrics.Label) metrics.Value {
	return metrics.Value{Name: name, Help: help, Kind: metrics.Gauge, Value: v, Labels: labels}
}

func summary(name, help string, d gateway.Distribution) metrics.Value {
	return metrics.Value{Name: name, Help: help, Kind: metrics.Summary, Count: d.Count, Sum: d.Sum, Quantiles: d.Quantiles}
}
