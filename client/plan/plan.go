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
	Safe   Effect = iota // may be repeated freely
	Keyed                // a repeat with the same key is dropped for a while
	Unsafe               // must not run twice
)

// Class is what the planner needs to know of a class.
type Class struct {
	Name     string
	Effect   Effect
	Window   time.Duration // keyed: for how long after a try has been sent a repeat is dropped
	Worth    float64       // of what waits, the most worth goes first
	Deadline time.Duration // no call waits longer; 0: as long as its own deadline says
}

// Defaults for what a Config leaves out.
const (
	DefaultRetries      = 2
	DefaultBudget       = 0.1
	DefaultBudgetMost   = 10
	DefaultOpen         = 32
	DefaultConns        = 4
	DefaultWay          = 10 * time.Millisecond
	DefaultIdle         = 3 * time.Second // the gateway's front closes after 10, and its clients after 4
	DefaultSpread       = 2 * time.Second
	DefaultSpreadRate   = 500
	DefaultConnect      = time.Second
	DefaultSilence      = time.Second
	DefaultProbeFirst   = time.Second
	DefaultProbeLongest = 30 * time.Second
	DefaultRamp         = 10 * time.Second
	DefaultRedirect     = 0.25
	crossed             = 50 * time.Millisecond
	startBudget         = 2
)

// Config is what a planner goes by. The zero value of a field is its default.
type Config struct {
	Gateways []string
	Classes  []Class

	Retries    int     // tries of a call beyond its first; negative: none
	Budget     float64 // retries earned by a success, over all calls
	BudgetMost float64 // that may be saved up; two of them are there at the start: many clients that just began must not add up

	Open    int           // requests open on a connection
	Conns   int           // connections to a gateway
	Way     time.Duration // what a request and its answer take on the way; nothing is sent that has less left
	Idle    time.Duration // a connection without work is closed after so long
	Connect time.Duration // a connection that is not up by then has failed
	Silence time.Duration // with work out and no byte for so long a connection is asked for a sign of life; as long again, and it has died

	Spread     time.Duration // reconnects after a death are spread over this at least,
	Clients    int           // and over more where a gateway has so many clients
	SpreadRate float64       // that more than so many would come a second
	Redirect   float64       // what a dead gateway leaves goes to living ones at this share of the usual rate,

	ProbeFirst, ProbeLongest time.Duration // waits between tries of a dead gateway, doubling
	Ramp                     time.Duration // a new or returned gateway takes its full share after so long
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
		case k.Effect < Safe || k.Effect > Unsafe:
			return fmt.Errorf("client: Classes[%d].Effect: %d", i, k.Effect)
		case k.Window < 0 || k.Deadline < 0:
			return fmt.Errorf("client: Classes[%d]: a span is negative", i)
		}
		names[k.Name] = true
	}
	for _, f := range []struct {
		name string
		bad  bool
	}{{"Budget", !(c.Budget >= 0)}, {"BudgetMost", !(c.BudgetMost >= 0)}, {"Open", c.Open < 0}, {"Conns", c.Conns < 0},
		{"Way", c.Way < 0}, {"Idle", c.Idle < 0}, {"Connect", c.Connect < 0}, {"Silence", c.Silence < 0},
		{"Spread", c.Spread < 0}, {"Clients", c.Clients < 0}, {"SpreadRate", !(c.SpreadRate >= 0)},
		{"Redirect", !(c.Redirect >= 0)}, {"ProbeFirst", c.ProbeFirst < 0}, {"ProbeLongest", c.ProbeLongest < 0},
		{"Ramp", c.Ramp < 0}} {
		if f.bad {
			return fmt.Errorf("client: %s is negative", f.name)
		}
	}
	c.Retries = cmp.Or(c.Retries, DefaultRetries)
	c.Budget, c.BudgetMost = cmp.Or(c.Budget, DefaultBudget), cmp.Or(c.BudgetMost, DefaultBudgetMost)
	c.Open, c.Conns, c.Way = cmp.Or(c.Open, DefaultOpen), cmp.Or(c.Conns, DefaultConns), cmp.Or(c.Way, DefaultWay)
	c.Idle, c.Connect, c.Silence = cmp.Or(c.Idle, DefaultIdle), cmp.Or(c.Connect, DefaultConnect), cmp.Or(c.Silence, DefaultSilence)
	c.Spread, c.SpreadRate = cmp.Or(c.Spread, DefaultSpread), cmp.Or(c.SpreadRate, DefaultSpreadRate)
	c.Redirect, c.Ramp = cmp.Or(c.Redirect, DefaultRedirect), cmp.Or(c.Ramp, DefaultRamp)
	c.ProbeFirst, c.ProbeLongest = cmp.Or(c.ProbeFirst, DefaultProbeFirst), cmp.Or(c.ProbeLongest, DefaultProbeLongest)
	return nil
}

// Ending is how a call ended.
type Ending int

// The endings of a call.
const (
	Served  Ending = iota // with an answer
	Refused               // nothing ran; come back later
	Failed                // the gateway said so, and it may have run
	Unknown               // it may have run, and nobody can say
	Expired               // there was no time left
	Unsent                // no gateway could be reached; nothing ran
	Closed                // the client was closed
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

// Cancelled says that nobody waits for a call any more.
type Cancelled struct{ ID uint64 }

// Up says that a connection came up.
type Up struct{ Conn uint64 }

// Down says that a connection did not come up or has ended. Clean: the other side closed it in order.
type Down struct {
	Conn  uint64
	Clean bool
}

// Heard says that something came on a connection that is no answer to a try, such as the answer to a probe.
type Heard struct {
	Conn  uint64
	Alive bool // it answers a probe with yes
}

// Answered is the answer to a try. Backoff: refused, with Later; neither that nor OK: failed.
type Answered struct {
	Conn, Try   uint64
	OK, Backoff bool
	Later       time.Duration
}

// Timer says that the time told by [Planner.Wake] has come. It does no harm at other times.
type Timer struct{}

// Close ends all calls and connections.
type Close struct{}

func (Call) event()      {}
func (Cancelled) event() {}
func (Up) event()        {}
func (Down) event()      {}
func (Heard) event()     {}
func (Answered) event()  {}
func (Timer) event()     {}
func (Close) event()     {}

// Action is anything that a planner wants done.
type Action interface{ action() }

// Connect opens a connection; Up or Down follows.
type Connect struct {
	Conn    uint64
	Gateway string
}

// Send sends a try of a call. Try is new with each and rises on a connection; Second marks all but the first.
type Send struct {
	Conn, Try, Call uint64
	Limit           time.Duration
	Second          bool
	Key             bool // the class has keys: the call's own is sent with every try
}

// Abandon says that no answer to a try is wanted any more.
type Abandon struct{ Conn, Try uint64 }

// Probe asks a connection for a sign of life.
type Probe struct{ Conn uint64 }

// Hangup closes a connection; no Down follows.
type Hangup struct{ Conn uint64 }

// End ends a call. Try is the one that was answered, if one was.
type End struct {
	Call   uint64
	Ending Ending
	Try    uint64
	Later  time.Duration // of Refused: when to come back
	Tries  int
}

func (Connect) action() {}
func (Send) action()    {}
func (Abandon) action() {}
func (Probe) action()   {}
func (Hangup) action()  {}
func (End) action()     {}

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
		budget: min(startBudget, cfg.BudgetMost)}
	for i := range cfg.Classes {
		p.classes[cfg.Classes[i].Name] = &cfg.Classes[i]
	}
	for _, name := range cfg.Gateways {
		p.gateways = append(p.gateways, &gateway{name: name, good: 1, hold: map[string]time.Duration{}, since: -cfg.Ramp})
	}
	return p, nil
}
