package client

import (
	"context"
	"fmt"
	"strings"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Names of the instruments that a client creates with [Config.Meter].
const (
	// MetricDuration is a histogram of the time of calls over all attempts, in seconds, by the attributes "class" and
	// "ending". An ending is the name of a [plan.Ending] or "cancelled".
	MetricDuration = "larchusher.client.call.duration"
	// MetricTries is a histogram of the number of attempts of a call, by the attributes "class" and "ending". Calls whose
	// context ended first are recorded with 0.
	MetricTries = "larchusher.client.call.tries"
	// MetricDecisions is a counter of decisions, by the attribute "decision". Its values are the names of [Client.Counters],
	// except those of endings.
	MetricDecisions = "larchusher.client.decisions"
	// MetricAlive is a gauge of the gateways that are not ejected.
	MetricAlive = "larchusher.client.gateways"
)

// endingCancelled is the ending, in metrics, of a call whose context was canceled. The planner has no ending for it.
const endingCancelled = "cancelled"

// instruments holds the metric instruments of a client. Methods of a nil *instruments do nothing.
type instruments struct {
	duration, attempts metric.Float64Histogram
	registration       metric.Registration
}

// newInstruments creates the instruments, or returns nil if m is nil. The planner's counters are read only when metrics are
// collected, so that they add no cost to calls.
func newInstruments(m metric.Meter, c *Client) (*instruments, error) {
	if m == nil {
		return nil, nil
	}
	var s instruments
	var err error
	s.duration, err = m.Float64Histogram(MetricDuration, metric.WithUnit("s"),
		metric.WithDescription("Time of a call, over all its tries."),
		metric.WithExplicitBucketBoundaries(0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10))
	if err != nil {
		return nil, meterError(err)
	}
	s.attempts, err = m.Float64Histogram(MetricTries, metric.WithDescription("Tries of a call."),
		metric.WithExplicitBucketBoundaries(0, 1, 2, 3, 4))
	if err != nil {
		return nil, meterError(err)
	}
	decisions, err := m.Int64ObservableCounter(MetricDecisions, metric.WithDescription("Decisions of the client, by name."))
	if err != nil {
		return nil, meterError(err)
	}
	available, err := m.Int64ObservableGauge(MetricAlive, metric.WithDescription("Gateways in use."))
	if err != nil {
		return nil, meterError(err)
	}
	s.registration, err = m.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		c.observe(o, decisions, available)
		return nil
	}, decisions, available)
	if err != nil {
		return nil, meterError(err)
	}
	return &s, nil
}

func meterError(err error) error { return fmt.Errorf("client: Meter: creating an instrument: %w", err) }

// observe reports the planner's counters, except those of endings, which MetricDuration counts.
func (c *Client) observe(o metric.Observer, decisions metric.Int64Observable, available metric.Int64Observable) {
	c.mu.Lock()
	counters, gateways := c.planner.Counters.All(), c.planner.AvailableGateways()
	c.mu.Unlock()
	for name, n := range counters {
		if !strings.HasPrefix(name, "ended_") {
			o.ObserveInt64(decisions, int64(n), metric.WithAttributes(attribute.String("decision", name)))
		}
	}
	o.ObserveInt64(available, int64(gateways))
}

// recordCall records a call that has ended.
func (s *instruments) recordCall(class, ending string, attempts int, elapsed time.Duration) {
	if s == nil {
		return
	}
	attributes := metric.WithAttributeSet(attribute.NewSet(attribute.String("class", class), attribute.String("ending", ending)))
	s.duration.Record(context.Background(), elapsed.Seconds(), attributes)
	s.attempts.Record(context.Background(), float64(attempts), attributes)
}

// close stops the collection of the planner's counters.
func (s *instruments) close() {
	if s != nil {
		_ = s.registration.Unregister() // the client is closed, and an error could not be handled
	}
}
