package plan

import (
	"cmp"
	"errors"
	"fmt"
	"time"
)

// Config configures a planner. Gateways and Classes are required. For any other field, zero stands for the constant whose
// name is Default and the name of the field; Clients has no default.
type Config struct {
	Gateways []string // names or addresses, without duplicates
	Classes  []Class  // with unique names

	// Retries is the maximum number of attempts of a call after its first. Negative: calls are not retried.
	Retries int
	// Budget is the fraction of a retry that each served call adds to the retry budget, which all calls share.
	Budget float64
	// BudgetMost is the maximum of the retry budget, in retries.
	BudgetMost float64

	// Open is the maximum number of attempts in flight on a connection.
	Open int
	// Conns is the maximum number of connections to a gateway.
	Conns int
	// Way is the network time of a request and its answer together (round trip). An attempt is sent only if the call has
	// more time left than this, and the gateway gets the time that remains after it.
	Way time.Duration
	// Idle is how long a connection stays open without attempts in flight.
	Idle time.Duration
	// Connect is the timeout for establishing a connection.
	Connect time.Duration
	// Silence is how long a connection with attempts in flight may receive nothing before a health check is sent on it.
	// The gateway is ejected if the health check is not answered within the same time.
	Silence time.Duration

	// Spread is the minimum time over which clients spread their reconnects after a gateway was ejected. The time is
	// longer if more than SpreadRate of the Clients would otherwise reconnect per second.
	Spread time.Duration
	// Clients is the number of clients of a gateway; 0: reconnects are spread over Spread.
	Clients int
	// SpreadRate is the maximum number of connections per second that a gateway should get from reconnecting clients.
	SpreadRate float64
	// Redirect limits how many calls per second move from an ejected gateway to others, as a fraction of the average
	// rate of attempts; 10 calls per second are always allowed.
	Redirect float64

	// ProbeFirst is the first backoff before the planner connects to an ejected gateway again. The backoff doubles with
	// each failure, up to ProbeLongest.
	ProbeFirst, ProbeLongest time.Duration
	// Ramp is the time over which a recovered gateway returns to its full share of calls (slow start).
	Ramp time.Duration
}

// Defaults of the fields of Config.
const (
	DefaultRetries      = 2
	DefaultBudget       = 0.1
	DefaultBudgetMost   = 10
	DefaultOpen         = 32
	DefaultConns        = 4
	DefaultWay          = 10 * time.Millisecond
	DefaultIdle         = 3 * time.Second // shorter than the gateway's idle timeout, 10 s, and that of its usual clients, 4 s
	DefaultConnect      = time.Second
	DefaultSilence      = time.Second
	DefaultSpread       = 2 * time.Second
	DefaultSpreadRate   = 500 // connections per second
	DefaultRedirect     = 0.25
	DefaultProbeFirst   = time.Second
	DefaultProbeLongest = 30 * time.Second
	DefaultRamp         = 10 * time.Second
)

// Check replaces zero values by their defaults, or returns an error that names the first invalid field.
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
		return errors.New("client: Gateways is empty: at least one address is required")
	}
	seen := map[string]bool{}
	for i, g := range c.Gateways {
		if g == "" || seen[g] {
			return fmt.Errorf("client: Gateways[%d]: %q is empty or a duplicate", i, g)
		}
		seen[g] = true
	}
	return nil
}

func (c *Config) checkClasses() error {
	if len(c.Classes) == 0 {
		return errors.New("client: Classes is empty: at least one class is required")
	}
	seen := map[string]bool{}
	for i, class := range c.Classes {
		switch {
		case class.Name == "" || seen[class.Name]:
			return fmt.Errorf("client: Classes[%d].Name: %q is empty or a duplicate", i, class.Name)
		case class.Effect < Idempotent || class.Effect > NonIdempotent:
			return fmt.Errorf("client: Classes[%d].Effect: %d is not a defined effect", i, class.Effect)
		case class.Window < 0 || class.Deadline < 0:
			return fmt.Errorf("client: Classes[%d]: Window or Deadline is negative", i)
		}
		seen[class.Name] = true
	}
	return nil
}

// checkLimits returns an error that names the first number or duration that is negative or NaN. It does not check Retries,
// which may be negative.
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
			return fmt.Errorf("client: %s is negative or not a number", f.name)
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
