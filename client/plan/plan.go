// Package plan decides for a client of several gateways: which gateway a request goes to, when to connect, whether to try
// again and how marked, and when to stop. It does no I/O, reads no clock and draws from the source it is given: the
// library, its tests and the model of a population drive it alike.
//
// Times are on one clock that runs forward from any beginning.
package plan

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// Effect says what repeating a request of a class may do.
type Effect int

// The effects of a class.
const (
	Idempotent        Effect = iota // may be repeated freely
	IdempotentWithKey               // a repeat with the same key is dropped for a while
	NonIdempotent                   // must not run twice
)

// Class is what the planner needs to know of a class.
type Class struct {
	Name           string
	Effect         Effect
	DedupWindow    time.Duration // with an idempotency key: for how long after an attempt has been sent a retry is dropped
	PriorityWeight float64       // of what waits, the largest goes first
	Deadline       time.Duration // no call waits longer; 0: as long as its own deadline says
}

// Defaults for what a Config leaves out.
const (
	DefaultRetries               = 2
	DefaultRetriesPerSuccess     = 0.1
	DefaultMaxSavedRetries       = 10
	DefaultMaxOpenPerConn        = 32
	DefaultMaxConns              = 4
	DefaultNetworkTime           = 10 * time.Millisecond
	DefaultIdleTimeout           = 3 * time.Second // the gateway's front closes after 10, and its clients after 4
	DefaultReconnectSpread       = 2 * time.Second
	DefaultReconnectRate         = 500
	DefaultConnectTimeout        = time.Second
	DefaultSilenceTimeout        = time.Second
	DefaultMinHealthCheckBackoff = time.Second
	DefaultMaxHealthCheckBackoff = 30 * time.Second
	DefaultSlowStart             = 10 * time.Second
	DefaultRedirectShare         = 0.25
	crossed                      = 50 * time.Millisecond
	startBudget                  = 2
)

// Config is what a planner goes by. The zero value of a field is its default.
type Config struct {
	Gateways []string
	Classes  []Class

	Retries           int     // attempts of a call beyond its first; negative: none
	RetriesPerSuccess float64 // retries earned by a success, over all calls
	MaxSavedRetries   float64 // that may be saved up; two of them are there at the start: many clients that just began must not add up

	MaxOpenPerConn int           // requests open on a connection
	MaxConns       int           // connections to a gateway
	NetworkTime    time.Duration // what a request and its answer take on the way; nothing is sent that has less left
	IdleTimeout    time.Duration // a connection without work is closed after so long
	ConnectTimeout time.Duration // a connection that is not up by then has failed
	SilenceTimeout time.Duration // with work out and no byte for so long a connection is asked for a sign of life; as long again, and it has died

	ReconnectSpread time.Duration // reconnects after a death are spread over this at least,
	Clients         int           // and over more where a gateway has so many clients
	ReconnectRate   float64       // that more than so many would come a second
	RedirectShare   float64       // what a dead gateway leaves goes to living ones at this share of the usual rate,

	MinHealthCheckBackoff, MaxHealthCheckBackoff time.Duration // waits between health checks of a dead gateway, doubling
	SlowStart                                    time.Duration // a new or returned gateway takes its full share after so long
}

// Check fills in defaults, or names the first field that can't be worked with.
func (c *Config) Check() error {
	if len(c.Gateways) == 0 {
		return errors.New("client: Gateways is empty")
	}
	seen := map[string]bool{}
	for i, g := range c.Gateways {
		if g == "" || seen[g] {
			return fmt.Errorf("client: Gateways[%d]: %q is empty or stands twice", i, g)
		}
		seen[g] = true
	}
	if len(c.Classes) == 0 {
		return errors.New("client: Classes is empty")
	}
	names := map[string]bool{}
	for i, k := range c.Classes {
		switch {
		case k.Name == "" || names[k.Name]:
			return fmt.Errorf("client: Classes[%d].Name: %q is empty or stands twice", i, k.Name)
		case k.Effect < Idempotent || k.Effect > NonIdempotent:
			return fmt.Errorf("client: Classes[%d].Effect: %d", i, k.Effect)
		case k.DedupWindow < 0 || k.Deadline < 0:
			return fmt.Errorf("client: Classes[%d]: a span is negative", i)
		}
		names[k.Name] = true
	}
	for _, f := range []struct {
		name string
		bad  bool
	}{{"RetriesPerSuccess", !(c.RetriesPerSuccess >= 0)}, {"MaxSavedRetries", !(c.MaxSavedRetries >= 0)}, {"MaxOpenPerConn", c.MaxOpenPerConn < 0}, {"MaxConns", c.MaxConns < 0},
		{"NetworkTime", c.NetworkTime < 0}, {"IdleTimeout", c.IdleTimeout < 0}, {"ConnectTimeout", c.ConnectTimeout < 0}, {"SilenceTimeout", c.SilenceTimeout < 0},
		{"ReconnectSpread", c.ReconnectSpread < 0}, {"Clients", c.Clients < 0}, {"ReconnectRate", !(c.ReconnectRate >= 0)},
		{"RedirectShare", !(c.RedirectShare >= 0)}, {"MinHealthCheckBackoff", c.MinHealthCheckBackoff < 0}, {"MaxHealthCheckBackoff", c.MaxHealthCheckBackoff < 0},
		{"SlowStart", c.SlowStart < 0}} {
		if f.bad {
			return fmt.Errorf("client: %s is negative", f.name)
		}
	}
	c.Retries = cmp.Or(c.Retries, DefaultRetries)
	c.RetriesPerSuccess, c.MaxSavedRetries = cmp.Or(c.RetriesPerSuccess, DefaultRetriesPerSuccess), cmp.Or(c.MaxSavedRetries, DefaultMaxSavedRetries)
	c.MaxOpenPerConn, c.MaxConns, c.NetworkTime = cmp.Or(c.MaxOpenPerConn, DefaultMaxOpenPerConn), cmp.Or(c.MaxConns, DefaultMaxConns), cmp.Or(c.NetworkTime, DefaultNetworkTime)
	c.IdleTimeout, c.ConnectTimeout, c.SilenceTimeout = cmp.Or(c.IdleTimeout, DefaultIdleTimeout), cmp.Or(c.ConnectTimeout, DefaultConnectTimeout), cmp.Or(c.SilenceTimeout, DefaultSilenceTimeout)
	c.ReconnectSpread, c.ReconnectRate = cmp.Or(c.ReconnectSpread, DefaultReconnectSpread), cmp.Or(c.ReconnectRate, DefaultReconnectRate)
	c.RedirectShare, c.SlowStart = cmp.Or(c.RedirectShare, DefaultRedirectShare), cmp.Or(c.SlowStart, DefaultSlowStart)
	c.MinHealthCheckBackoff, c.MaxHealthCheckBackoff = cmp.Or(c.MinHealthCheckBackoff, DefaultMinHealthCheckBackoff), cmp.Or(c.MaxHealthCheckBackoff, DefaultMaxHealthCheckBackoff)
	return nil
}

// Ending is how a call ended.
type Ending int

// The endings of a call.
const (
	Served   Ending = iota // with an answer
	Rejected               // nothing ran; come back later
	Failed                 // the gateway said so, and it may have run
	Unknown                // it may have run, and nobody can say
	Expired                // there was no time left
	Unsent                 // no gateway could be reached; nothing ran
	Closed                 // the client was closed
)

// String names an ending, as counters do.
func (e Ending) String() string {
	return [...]string{"served", "refused", "failed", "unknown", "expired", "unsent", "closed"}[e]
}

// Event is anything that reaches a planner.
type Event interface{ event() }

// Call asks for one ending, by a time.
type Call struct {
	ID       uint64
	Class    string
	Deadline time.Duration
}

// Canceled says that nobody waits for a call any more.
type Canceled struct{ ID uint64 }

// Up says that a connection came up.
type Up struct{ Conn uint64 }

// Down says that a connection did not come up or has ended. Clean: the other side closed it in order.
type Down struct {
	Conn  uint64
	Clean bool
}

// HealthCheckResult says that something came on a connection that is no answer to an attempt, such as the answer to a probe.
type HealthCheckResult struct {
	Conn  uint64
	Alive bool // it answers a probe with yes
}

// Answered is the answer to an attempt. Backoff: refused, with Later; neither that nor OK: failed.
type Answered struct {
	Conn, Attempt uint64
	OK, Rejected  bool
	RetryAfter    time.Duration
}

// Timer says that the time told by [Planner.Wake] has come. It does no harm at other times.
type Timer struct{}

// Close ends all calls and connections.
type Close struct{}

func (Call) event()              {}
func (Canceled) event()          {}
func (Up) event()                {}
func (Down) event()              {}
func (HealthCheckResult) event() {}
func (Answered) event()          {}
func (Timer) event()             {}
func (Close) event()             {}

// Action is anything that a planner wants done.
type Action interface{ action() }

// Connect opens a connection; Up or Down follows.
type Connect struct {
	Conn    uint64
	Gateway string
}

// Send sends an attempt of a call. Attempt is new with each and rises on a connection; Second marks all but the first.
type Send struct {
	Conn, Attempt, Call uint64
	Limit               time.Duration
	Retry               bool
	Key                 bool // the class has keys: the call's own is sent with every attempt
}

// Abandon says that no answer to an attempt is wanted any more.
type Abandon struct{ Conn, Attempt uint64 }

// StartHealthCheck asks a connection for a sign of life.
type StartHealthCheck struct{ Conn uint64 }

// CloseConn closes a connection; no Down follows.
type CloseConn struct{ Conn uint64 }

// End ends a call. Attempt is the one that was answered, if one was.
type End struct {
	Call       uint64
	Ending     Ending
	Attempt    uint64
	RetryAfter time.Duration // of Refused: when to come back
	Attempts   int
}

func (Connect) action()          {}
func (Send) action()             {}
func (Abandon) action()          {}
func (StartHealthCheck) action() {}
func (CloseConn) action()        {}
func (End) action()              {}

// Counters count decisions.
type Counters struct {
	Calls, Tries, Retries, Crossed                         uint64
	Ended                                                  [Closed + 1]uint64
	NoBudget, NoTime, NoRepeat, NoTries                    uint64 // retries not made, by reason
	Connects, Deaths, Probes, Held, Late, Redirected, Hung uint64
}

// All returns the counters by name.
func (c *Counters) All() map[string]uint64 {
	all := map[string]uint64{"calls": c.Calls, "tries": c.Tries, "retries": c.Retries, "crossed": c.Crossed,
		"retry_no_budget": c.NoBudget, "retry_no_time": c.NoTime, "retry_not_allowed": c.NoRepeat, "retry_used_up": c.NoTries,
		"connects": c.Connects, "deaths": c.Deaths, "probes": c.Probes, "held_by_refusal": c.Held, "late_answers": c.Late,
		"redirected": c.Redirected, "hung_up": c.Hung}
	for i, n := range c.Ended {
		all["ended_"+Ending(i).String()] = n
	}
	return all
}

// New returns a planner. All that it draws comes from rng.
func New(cfg Config, rng *rand.Rand) (*Planner, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	p := &Planner{cfg: cfg, rng: rng, classes: map[string]*Class{}, calls: map[uint64]*call{}, conns: map[uint64]*conn{},
		budget: min(startBudget, cfg.MaxSavedRetries)}
	for i := range cfg.Classes {
		p.classes[cfg.Classes[i].Name] = &cfg.Classes[i]
	}
	for _, name := range cfg.Gateways {
		p.gateways = append(p.gateways, &gateway{name: name, good: 1, hold: map[string]time.Duration{}, since: -cfg.SlowStart})
	}
	return p, nil
}
