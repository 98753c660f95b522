package client

import (
	"errors"
	"time"

	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/trace"

	"larchusher/client/plan"
)

// Class describes a class of requests: its effect, priority weight and longest deadline; see [plan.Class].
type Class = plan.Class

// Effects of a class; see [plan.Effect].
const (
	Safe   = plan.Idempotent        // may be executed any number of times
	Keyed  = plan.IdempotentWithKey // endpoints drop repeats with the same idempotency key for Class.Window
	Unsafe = plan.NonIdempotent     // must not be executed twice
)

// Config configures a client. Gateways and Classes are required; the zero values of all other fields stand for defaults.
type Config struct {
	Gateways []string // addresses, as HOST:PORT
	Classes  []Class
	Plan     plan.Config // settings of retries, connections and ejection; its Gateways and Classes are ignored
	// Deadline is the longest time that a call without a deadline in its context may take. 0: 5 s.
	Deadline time.Duration
	// Seed is the seed of all random draws. 0: a random seed. Clients with the same seed draw the same transaction ids and
	// idempotency keys, so other values are for tests and simulations.
	Seed uint64
	// Transport carries requests to gateways. nil: MessagePack-RPC over TCP, as [RPC].
	Transport Transport
	// Hook is called for each call that ends, with the client's mutex locked: it must neither block nor call the client. It
	// is not called for a call whose context ended first. nil: no hook.
	Hook func(Ended)
	// Tracer starts a span for each call, which has an event for each attempt and the ending as an attribute. nil: no spans.
	Tracer trace.Tracer
	// Meter creates the instruments that measure calls and decisions; see [MetricDuration] and the others. nil: none.
	Meter metric.Meter
}

// Ended describes a call that has ended, for [Config.Hook].
type Ended struct {
	Request *Request // not to be changed
	Ending  plan.Ending
	Tries   int           // attempts that were sent
	Took    time.Duration // time from the start of the call to its end, over all attempts
}

// defaultDeadline is the default of Config.Deadline.
const defaultDeadline = 5 * time.Second

// setDefaults replaces zero values by their defaults, or returns an error that names an invalid field. It does not check the
// settings of package plan, which plan.New checks.
func (cfg *Config) setDefaults() error {
	if cfg.Deadline < 0 {
		return errors.New("client: Deadline is negative, want 0 or more")
	}
	if cfg.Deadline == 0 {
		cfg.Deadline = defaultDeadline
	}
	if cfg.Transport == nil {
		cfg.Transport = &RPC{}
	}
	return nil
}

// planConfig returns the configuration of the planner.
func (cfg *Config) planConfig() plan.Config {
	p := cfg.Plan
	p.Gateways, p.Classes = cfg.Gateways, cfg.Classes
	return p
}

// connectTimeout returns the timeout for establishing a connection.
func (cfg *Config) connectTimeout() time.Duration {
	if cfg.Plan.Connect > 0 {
		return cfg.Plan.Connect
	}
	return plan.DefaultConnect
}
