package main

import (
	"strconv"

	"github.com/sirupsen/logrus"

	"larchusher/internal/logfields"
	"larchusher/internal/metrics"
)

// counters tells all that the program counts. It runs on the loop.
func (p *program) counters() (all []metrics.Value) {
	add := func(kind metrics.Kind, name, help string, v float64, labels ...metrics.Label) {
		all = append(all, metrics.Value{Name: name, Help: help, Kind: kind, Value: v, Labels: labels})
	}
	count := func(name, help string, n uint64, labels ...metrics.Label) {
		add(metrics.Counter, name, help, float64(n), labels...)
	}
	count("conns_opened", "Connections that came up.", p.engine.Opened.Load())
	count("conns_closed", "Connections that ended.", p.engine.Closed.Load())
	count("conns_crowded", "Connections closed for want of a place.", p.engine.RejectedConns.Load())
	count("bytes_in", "Bytes read.", p.engine.In.Load())
	count("bytes_out", "Bytes written.", p.engine.Out.Load())
	count("malformed", "Connections closed for what they sent.", p.front.Malformed)
	count("excess", "Requests beyond those that a connection may have open.", p.front.TooManyOpen)
	count("reloads", "Configurations taken in while running.", uint64(p.reloads))
	count("journal_connects", "Connections to the journal service.", uint64(p.discovery.Connects))
	count("journal_events", "Events taken in.", uint64(p.discovery.Events))
	count("journal_dropped", "Events that could not be used.", uint64(p.discovery.Dropped))
	for name, n := range p.gateway.Counters.ByName() {
		count(name, "Of the gateway's core; see the operators' page.", n)
	}
	c := p.pool.Counters
	count("store_dialled", "Connections to stores begun.", c.ConnectsStarted)
	count("store_refused", "Connections to stores that did not come up.", c.ConnectsFailed)
	count("store_broken", "Connections to stores lost with work out.", c.ConnsLost)
	count("store_written", "Attempts written.", c.Written)
	count("store_quit", "Attempts given up.", c.Canceled)
	count("store_late", "Answers that came too late.", c.LateAnswers)
	count("store_dropped", "Answers passed over for want of memory.", c.AnswersDropped)
	count("store_noop", "Tests of silent connections.", c.Pings)
	all = append(all, gatewayMetrics(p.gateway)...)
	if p.snapshots != nil {
		all = append(all, p.snapshots.Metrics(p.gateway.DirectorTime(p.loop.Now()))...)
	}
	if p.cluster != nil {
		values := p.cluster.Metrics()
		for _, name := range p.cluster.MetricNames() {
			add(metrics.Gauge, name, "Of what gateways settle among themselves; see the operators' page.", values[name])
		}
	}
	if p.gossip != nil {
		count("peer_sent", "Datagrams sent.", uint64(p.gossip.Sent))
		count("peer_heard", "Datagrams heard.", uint64(p.gossip.Received))
		count("peer_dropped", "Datagrams dropped.", uint64(p.gossip.Dropped))
	}
	if p.signedFront != nil {
		count("signed_admitted", "Requests whose token was good.", p.signedFront.Admitted)
		for reason, n := range p.signedFront.ProblemsByReason {
			count("signed_problem", "Requests turned away, by reason.", n, metrics.Label{Name: "reason", Value: reason})
		}
		for status, n := range p.signedFront.AnswersByStatus {
			count("signed_status", "Answers, by status.", n, metrics.Label{Name: "status", Value: strconv.Itoa(status)})
		}
	}
	return all
}

// logCounters writes the counters to the log.
func (p *program) logCounters() {
	p.log.WithFields(logrus.Fields(metrics.Source(p.counters).Fields())).Info(logfields.Counters)
}
