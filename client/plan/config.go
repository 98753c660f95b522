package plan

import (
	"cmp"
	"errors"
	"fmt"
	"time"
)

// Config is what a planner goes by. Gateways and Classes are needed; the zero value of any other field stands for its
// default, the constant named Default and the field.
type Config struct {
	Gateways []string // names or addresses, each once
	Classes  []Class  // each name once

	// Retries is the number of attempts that a call may have beyond its first; negative: none.
	Retries int
	// Budget is the part of a retry that each success earns, over all calls; BudgetMost is how many retries may be saved
	// up.
	Budget     float64
	BudgetMost float64

	// Open is the number of attempts that may be in flight on a connection.
	Open int
	// Conns is the number of connections that a gateway may have.
	Conns int
	// Way is the time that a request and its answer take on the network. Nothing is sent that has less left.
	Way time.Duration
	// Idle is how long a connection without attempts in flight is kept open.
	Idle time.Duration
	// Connect is the time in which a connection has to come up.
	Connect time.Duration
	// Silence is how long a connection with attempts in flight may be without a byte before a health check is sent on it.
	// The gateway is ejected if that stays unanswered for as long again.
	Silence time.Duration

	// Spread is the least span over which reconnects are spread after a gateway was ejected. It is longer where a gateway
	// has so many Clients that more than SpreadRate of them would reconnect in a second.
	Spread     time.Duration
	Clients    int
	SpreadRate float64
	// Redirect limits the calls that go from an ejected gateway to others, as a part of the usual rate of attempts.
	Redirect float64

	// ProbeFirst is the first backoff before an ejected gateway is connected to again; it doubles up to ProbeLongest.
	ProbeFirst, ProbeLongest time.Duration
	// Ramp is the time in which a gateway that has recovered returns to its full share of calls (slow start).
	Ramp time.Duration
}

// Defaults of Config.
const (
	DefaultRetries      = 2
	DefaultBudget       = 0.1
	DefaultBudgetMost   = 10
	DefaultOpen         = 32
	DefaultConns        = 4
	DefaultWay          = 10 * time.Millisecond
	DefaultIdle         = 3 * time.Second // before the gateway closes: it does so after 10 s, and its own clients after 4 s
	DefaultConnect      = time.Second
	DefaultSilence      = time.Second
	DefaultSpread       = 2 * time.Second
	DefaultSpreadRate   = 500 // connections a second
	DefaultRedirect     = 0.25
	DefaultProbeFirst   = time.Second
	DefaultProbeLongest = 30 * time.Second
	DefaultRamp         = 10 * time.Second
)

// Check fills in defaults, or returns an error that names the first field that can't be worked with.
func (c *Config) Check() error {
	if err := c.checkGateways(); err != nil {
		return err
	}
	if err := c.checkClasses(); err != nil {
		return err
	}
	if err := c.checkLimits(); err != nil {
		return err
	}
	c.setDefaults()
	return nil
}

func (c *Config) checkGateways() error {
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
	return nil
}

func (c *Config) checkClasses() error {
	if len(c.Classes) == 0 {
		return errors.New("client: Classes is empty")
	}
	seen := map[string]bool{}
	for i, class := range c.Classes {
		switch {
		case class.Name == "" || seen[class.Name]:
			return fmt.Errorf("client: Classes[%d].Name: %q is empty or stands twice", i, class.Name)
		case class.Effect < Idempotent || class.Effect > NonIdempotent:
			return fmt.Errorf("client: Classes[%d].Effect: %d", i, class.Effect)
		case class.Window < 0 || class.Deadline < 0:
			return fmt.Errorf("client: Classes[%d]: a span is negative", i)
		}
		seen[class.Name] = true
	}
	return nil
}

// checkLimits names the first number or span that is negative or NaN. Retries may be negative.
func (c *Config) checkLimits() error {
	for _, f := range []struct {
		name  string
		valid bool
	}{
		{"Budget", c.Budget >= 0},
		{"BudgetMost", c.BudgetMost >= 0},
		{"Open", c.Open >= 0},
		{"Conns", c.Conns >= 0},
		{"Way", c.Way >= 0},
		{"Idle", c.Idle >= 0},
		{"Connect", c.Connect >= 0},
		{"Silence", c.Silence >= 0},
		{"Spread", c.Spread >= 0},
		{"Clients", c.Clients >= 0},
		{"SpreadRate", c.SpreadRate >= 0},
		{"Redirect", c.Redirect >= 0},
		{"ProbeFirst", c.ProbeFirst >= 0},
		{"ProbeLongest", c.ProbeLongest >= 0},
		{"Ramp", c.Ramp >= 0},
	} {
		if !f.valid {
			return fmt.Errorf("client: %s is negative", f.name)
		}
	}
	return nil
}

func (c *Config) setDefaults() {
	c.Retries = cmp.Or(c.Retries, DefaultRetries)
	c.Budget = cmp.Or(c.Budget, DefaultBudget)
	c.BudgetMost = cmp.Or(c.BudgetMost, DefaultBudgetMost)
	c.Open = cmp.Or(c.Open, DefaultOpen)
	c.Conns = cmp.Or(c.Conns, DefaultConns)
	c.Way = cmp.Or(c.Way, DefaultWay)
	c.Idle = cmp.Or(c.Idle, DefaultIdle)
	c.Connect = cmp.Or(c.Connect, DefaultConnect)
	c.Silence = cmp.Or(c.Silence, DefaultSilence)
	c.Spread = cmp.Or(c.Spread, DefaultSpread)
	c.SpreadRate = cmp.Or(c.SpreadRate, DefaultSpreadRate)
	c.Redirect = cmp.Or(c.Redirect, DefaultRedirect)
	c.ProbeFirst = cmp.Or(c.ProbeFirst, DefaultProbeFirst)
	c.ProbeLongest = cmp.Or(c.ProbeLongest, DefaultProbeLongest)
	c.Ramp = cmp.Or(c.Ramp, DefaultRamp)
}
