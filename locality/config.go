// Package locality decides which locality a request is for when its own one can't serve all: how much stays, how much spills
// to the next levels of preference and within what stated bounds, what is refused instead, and how a locality that was
// away is given its load back.
//
// It does no I/O, reads no clock and holds no global state: the gateway tells it how attempts end, and it answers from
// that, from configuration and from draws that it is given. Equal inputs give equal answers. Times are on one clock that
// runs forward, from any beginning. A T is not safe for concurrent use.
package locality

import (
	"cmp"
	"errors"
	"fmt"
	"time"
)

// Locality is a place with caches that may serve requests.
type Locality struct {
	Name   string
	Level  int     // of preference: 0 for the own one, 1 and up for those that load may spill to
	Weight float64 // what its caches can do together, relative to the others'; 0: 1
}

// Defaults for what a Config leaves out.
const (
	DefaultOver      = 1.4
	DefaultSpill     = 0.3
	DefaultSpare     = 0.5
	DefaultFull      = 0.9
	DefaultPanic     = 0.2
	DefaultIll       = 0.4
	DefaultStart     = 0.1
	DefaultRamp      = 10 * time.Second
	DefaultWarm      = 0.7
	DefaultRise      = 0.25
	DefaultSilence   = time.Second
	DefaultBack      = time.Second
	DefaultBackMost  = 30 * time.Second
	DefaultTick      = 100 * time.Millisecond
	DefaultLaterMost = 2 * time.Second
)

// Config is what the decisions go by. The zero value of a field is its default.
type Config struct {
	Localities []Locality // the own one first
	Bands      int        // of worth, the most first (see overload.Order); 0: 1

	Over  float64 // over-provisioning: a locality of which a share of 1/Over is well still takes all its load; 1 and up
	Spill float64 // of the own load, at most this share goes to the localities of one level
	Spare float64 // and at most this share of what they have to spare, by their reports, of all gateways of the own locality
	Full  float64 // how full a locality's link may be, spill counted; what is less than that is spare
	Rise  float64 // the share that spills to a locality grows by no more than this in a second; it falls at once
	Panic float64 // if no more than this share of all weight looks well, the fault is taken to be elsewhere: nothing spills
	Ill   float64 // share of good ends below which a locality is away

	Start float64       // share with which a locality that returns begins
	Ramp  time.Duration // and the least time until it has its full share
	Warm  float64       // it grows at full pace while so much of the usual share of hits is there, at a fifth of it below

	Silence  time.Duration // with work out and no good end for so long, a locality is away
	Back     time.Duration // wait before one that is away is tried; it doubles when it fails again,
	BackMost time.Duration // up to this, and is forgiven after as long in good health

	Tick      time.Duration // how often shares are set
	LaterMost time.Duration // longest advice on when to come back
	Seed      uint64        // of this gateway, for waits that differ from gateway to gateway
}

// Check fills in defaults, or names the first field that can't be worked with.
func (c *Config) Check() error {
	if len(c.Localities) == 0 {
		return errors.New("tiers: Localities is empty")
	}
	seen := map[string]bool{}
	for i := range c.Localities {
		l := &c.Localities[i]
		switch {
		case l.Name == "" || seen[l.Name]:
			return fmt.Errorf("tiers: Localities[%d].Name: %q is empty or stands twice", i, l.Name)
		case (i == 0) != (l.Level == 0) || l.Level < 0:
			return fmt.Errorf("tiers: Localities[%d].Level: %d; the first is the own one, of level 0, and no other", i, l.Level)
		case !(l.Weight >= 0):
			return fmt.Errorf("tiers: Localities[%d].Weight: %v", i, l.Weight)
		}
		seen[l.Name] = true
		l.Weight = cmp.Or(l.Weight, 1)
	}
	if c.Bands < 0 {
		return fmt.Errorf("tiers: Bands: %d", c.Bands)
	}
	c.Bands = cmp.Or(c.Bands, 1)
	for _, f := range []struct {
		name             string
		v                *float64
		def, least, most float64
	}{{"Over", &c.Over, DefaultOver, 1, 10}, {"Spill", &c.Spill, DefaultSpill, 0, 1}, {"Spare", &c.Spare, DefaultSpare, 0, 1},
		{"Full", &c.Full, DefaultFull, 0, 2}, {"Rise", &c.Rise, DefaultRise, 0, 10}, {"Panic", &c.Panic, DefaultPanic, 0, 1},
		{"Ill", &c.Ill, DefaultIll, 0, 1}, {"Start", &c.Start, DefaultStart, 0, 1}, {"Warm", &c.Warm, DefaultWarm, 0, 1}} {
		if *f.v = cmp.Or(*f.v, f.def); !(*f.v >= f.least && *f.v <= f.most) {
			return fmt.Errorf("tiers: %s: %v is not from %v to %v", f.name, *f.v, f.least, f.most)
		}
	}
	for _, f := range []struct {
		name string
		v    *time.Duration
		def  time.Duration
	}{{"Ramp", &c.Ramp, DefaultRamp}, {"Silence", &c.Silence, DefaultSilence}, {"Back", &c.Back, DefaultBack},
		{"BackMost", &c.BackMost, DefaultBackMost}, {"Tick", &c.Tick, DefaultTick}, {"LaterMost", &c.LaterMost, DefaultLaterMost}} {
		if *f.v = cmp.Or(*f.v, f.def); *f.v < 0 {
			return fmt.Errorf("tiers: %s: %v is negative", f.name, *f.v)
		}
	}
	if c.BackMost < c.Back {
		return fmt.Errorf("tiers: BackMost: %v is under Back, which is %v", c.BackMost, c.Back)
	}
	return nil
}
