package client

import (
	"context"
	"fmt"
	"strings"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Names of the instruments that a client makes of its Config.Meter.
const (
	MetricDuration  = "larchusher.client.call.duration" // histogram, in seconds, by class and ending (those of plan.Ending, and "cancelled")
	MetricTries     = "larchusher.client.call.tries"    // histogram: attempts of a call, by class and ending
	MetricDecisions = "larchusher.client.decisions"     // counter, by decision: the names of Client.Counters
	MetricAlive     = "larchusher.client.gateways"      // gauge: gateways in use
)

// endingCancelled is the ending of a call that its caller canceled. The planner has no ending for it.
const endingCancelled = "cancelled"

// instruments are a client's instruments. A nil one measures nothing.
type instruments struct {
	duration, attempts metric.Float64Histogram
	registration       metric.Registration
}

// newInstruments makes the instruments. What is counted by the planner is read when it is collected, and costs a call nothing.
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
	alive, err := m.Int64ObservableGauge(MetricAlive, metric.WithDescription("Gateways in use."))
	if err != nil {
		return nil, meterError(err)
	}
	s.registration, err = m.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		c.observe(o, decisions, alive)
		return nil
	}, decisions, alive)
	if err != nil {
		return nil, meterError(err)
	}
	return &s, nil
}

func meterError(err error) error { return fmt.Errorf("client: Meter: %w", err) }

// observe reports the planner's counters, but for endings: the histogram of calls has them.
func (c *Client) observe(o metric.Observer, decisions metric.Int64Observable, alive metric.Int64Observable) {
	c.mu.Lock()
	counters, gateways := c.planner.Counters.All(), c.planner.AvailableGateways()
	c.mu.Unlock()
	for name, n := range counters {
		if !strings.HasPrefix(name, "ended_") {
			o.ObserveInt64(decisions, int64(n), metric.WithAttributes(attribute.String("decision", name)))
		}
	}
	o.ObserveInt64(alive, int64(gateways))
}

// recordCall measures a call that ended.
func (s *instruments) recordCall(class, as string, tries int, took time.Duration) {
	if s == nil {
		return
	}
	by := metric.WithAttributeSet(attribute.NewSet(attribute.String("class", class), attribute.String("ending", as)))
	s.duration.Record(context.Background(), took.Seconds(), by)
	s.attempts.Record(context.Background(), float64(tries), by)
}

// close ends the collection of counters.
func (s *instruments) close() {
	if s != nil {
		_ = s.registration.Unregister() // the client ends, and nobody could mend it
	}
}
