package main

import (
	"strconv"

	"github.com/sirupsen/logrus"

	"larchusher/internal/logfields"
	"larchusher/internal/metrics"
	"larchusher/internal/net/resp"
	"larchusher/internal/net/transport"
)

// counters returns the present values of all metrics, under the names that operators scrape. It runs on the loop.
func (p *program) counters() (all []metrics.Value) {
	all = append(all, p.connMetrics()...)
	all = append(all, p.acceptMetrics()...)
	all = append(all, p.discoveryMetrics()...)
	for name, n := range p.gateway.Counters.ByName() {
		all = append(all, count(name, "Of the gateway's core; see the operators' page.", n))
	}
	all = append(all, poolMetrics(p.pool.Counters)...)
	all = append(all, gatewayMetrics(p.gateway)...)
	all = append(all, memoryMetrics()...)
	all = append(all, p.budgetMetrics()...)
	if p.snapshots != nil {
		all = append(all, p.snapshots.Metrics(p.gateway.DirectorTime(p.loop.Now()))...)
	}
	if p.cluster != nil {
		values := p.cluster.Metrics()
		for _, name := range p.cluster.MetricNames() {
			all = append(all, gauge(name, "Of what gateways settle among themselves; see the operators' page.", values[name]))
		}
	}
	if p.gossip != nil {
		all = append(all,
			count("peer_sent", "Datagrams sent.", p.gossip.Sent),
			count("peer_heard", "Datagrams heard.", p.gossip.Received),
			count("peer_dropped", "Datagrams dropped.", p.gossip.Dropped))
	}
	if p.signedFront != nil {
		all = append(all, p.signedFrontMetrics()...)
	}
	return all
}

// connMetrics returns the metrics of all connections, of the platform's front, of the event loop's timers, and of reloads.
func (p *program) connMetrics() []metrics.Value {
	all := closedMetrics("platform", p.platformFront.ClosedConns())
	if p.signedFront != nil {
		all = append(all, closedMetrics("signed", p.signedFront.ClosedConns())...)
	}
	return append(all,
		count("conns_opened", "Connections that came up.", p.engine.Opened.Load()),
		count("conns_closed", "Connections that ended.", p.engine.Closed.Load()),
		count("conns_crowded", "Connections closed for want of a place.", p.engine.RejectedConns.Load()),
		count("bytes_in", "Bytes read.", p.engine.In.Load()),
		count("bytes_out", "Bytes written.", p.engine.Out.Load()),
		count("malformed", "Connections closed for what they sent.", p.platformFront.Malformed),
		count("excess", "Requests beyond those that a connection may have open.", p.platformFront.TooManyOpen),
		count("loop_late_timers", "Timers that ran late without a look for a pause.", p.loop.LateTimers),
		count("reloads", "Configurations taken in while running.", uint64(p.reloads)),
	)
}

// closedMetrics returns the numbers of connections that a front has closed to free their slots, by reason.
func closedMetrics(front string, closed transport.ClosedConns) []metrics.Value {
	reason := func(name string, n uint64) metrics.Value {
		return count("conns_ended", "Connections that the gateway has ended, by front and reason.", n,
			metrics.Label{Name: "front", Value: front}, metrics.Label{Name: "reason", Value: name})
	}
	return []metrics.Value{
		reason("incomplete", closed.Incomplete),
		reason("no_message", closed.NoMessage),
		reason("idle", closed.Idle),
		reason("evicted", closed.Evicted),
	}
}

// acceptMetrics returns the numbers of failed accept calls on all listeners, by errno.
func (p *program) acceptMetrics() (all []metrics.Value) {
	for errno, n := range p.engine.AcceptFailures() {
		all = append(all, count("accept_failed", "Accepts that failed, by errno.", n, metrics.Label{Name: "errno", Value: errno}))
	}
	return all
}

// discoveryMetrics returns the metrics of the connection to the journal service, which streams the endpoint list's events.
func (p *program) discoveryMetrics() []metrics.Value {
	return []metrics.Value{
		count("journal_connects", "Connections to the journal service.", p.discovery.Connects),
		count("journal_events", "Events taken in.", p.discovery.Events),
		count("journal_dropped", "Events that could not be used.", p.discovery.Dropped),
	}
}

// poolMetrics returns the metrics of connections to endpoints.
func poolMetrics(c resp.Counters) []metrics.Value {
	return []metrics.Value{
		count("store_dialled", "Connections to stores begun.", c.ConnectsStarted),
		count("store_refused", "Connections to stores that did not come up.", c.ConnectsFailed),
		count("store_broken", "Connections to stores lost with work out.", c.ConnsLost),
		count("store_written", "Attempts written.", c.Written),
		count("store_quit", "Attempts given up.", c.Canceled),
		count("store_late", "Answers that came too late.", c.LateAnswers),
		count("store_dropped", "Answers passed over for want of memory.", c.AnswersDropped),
		count("store_noop", "Tests of silent connections.", c.Pings),
	}
}

// signedFrontMetrics returns the metrics of requests with signed URLs.
func (p *program) signedFrontMetrics() []metrics.Value {
	all := []metrics.Value{count("signed_admitted", "Requests whose token was good.", p.signedFront.Admitted)}
	for reason, n := range p.signedFront.ProblemsByReason {
		all = append(all, count("signed_problem", "Requests turned away, by reason.", n, metrics.Label{Name: "reason", Value: reason}))
	}
	for status, n := range p.signedFront.AnswersByStatus {
		all = append(all, count("signed_status", "Answers, by status.", n, metrics.Label{Name: "status", Value: strconv.Itoa(status)}))
	}
	return all
}

// count returns a counter with an integer value.
func count(name, help string, n uint64, labels ...metrics.Label) metrics.Value {
	return counter(name, help, float64(n), labels...)
}

// logCounters logs the present values of all metrics. It runs on the loop, or after the loop has ended.
func (p *program) logCounters() {
	p.log.WithFields(logrus.Fields(metrics.Source(p.counters).Fields())).Info(logfields.Counters)
}
