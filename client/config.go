package client

import (
	"errors"
	"time"

	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/trace"

	"larchusher/client/plan"
)

// Class describes a class of requests.
type Class = plan.Class

// Effects of a class; see [plan.Effect].
const (
	Safe   = plan.Idempotent
	Keyed  = plan.IdempotentWithKey
	Unsafe = plan.NonIdempotent
)

// Config is what a client is made of. Gateways and Classes are needed; all else has a default (see [plan.Config]).
type Config struct {
	Gateways []string // addresses
	Classes  []Class
	Plan     plan.Config // further settings; its Gateways and Classes are ignored
	// Deadline is for calls whose context has none. 0: 5 s.
	Deadline time.Duration
	// Seed of all random draws; 0: a new one.
	Seed uint64
	// Transport carries requests; nil: the platform's MessagePack-RPC over TCP.
	Transport Transport
	// Hook is called for each call that ended, under the client's lock: it must not block, nor call the client. nil: none.
	// A call that its caller gave up is not reported.
	Hook func(Ended)
	// Tracer makes a span for each call, with an event for each attempt and the reason why it ended; nil: none.
	Tracer trace.Tracer
	// Meter measures calls and decisions (see MetricDuration and the others); nil: none.
	Meter metric.Meter
}

// Ended is what a hook is notified of.
type Ended struct {
	Request *Request
	Ending  plan.Ending
	Tries   int           // attempts that were sent
	Took    time.Duration // over all attempts
}

// defaultDeadline is how long a call may take whose context has no deadline.
const defaultDeadline = 5 * time.Second

// setDefaults fills in what is left out, or names what can't be worked with. What package plan goes by it checks itself.
func (cfg *Config) setDefaults() error {
	if cfg.Deadline < 0 {
		return errors.New("client: Deadline is negative")
	}
	if cfg.Deadline == 0 {
		cfg.Deadline = defaultDeadline
	}
	if cfg.Transport == nil {
		cfg.Transport = &RPC{}
	}
	return nil
}

// planConfig is the configuration of the planner.
func (cfg *Config) planConfig() plan.Config {
	p := cfg.Plan
	p.Gateways, p.Classes = cfg.Gateways, cfg.Classes
	return p
}

// connectTimeout is the time in which a connection has to come up.
func (cfg *Config) connectTimeout() time.Duration {
	if cfg.Plan.Connect > 0 {
		return cfg.Plan.Connect
	}
	return plan.DefaultConnect
}
