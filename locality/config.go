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
	DefaultOverProvisioning   = 1.4
	DefaultMaxSpillover       = 0.3
	DefaultSpareCapacityShare = 0.5
	DefaultFullUtilization    = 0.9
	DefaultPanicThreshold     = 0.2
	DefaultMinHealth          = 0.4
	DefaultRampStart          = 0.1
	DefaultRampDuration       = 10 * time.Second
	DefaultWarmHitRatio       = 0.7
	DefaultSpilloverRise      = 0.25
	DefaultSilenceTimeout     = time.Second
	DefaultBaseBackoff        = time.Second
	DefaultMaxBackoff         = 30 * time.Second
	DefaultTick               = 100 * time.Millisecond
	DefaultMaxRetryAfter      = 2 * time.Second
)

// Config is what the decisions go by. The zero value of a field is its default.
type Config struct {
	Localities []Locality // the own one first
	Bands      int        // of worth, the most first (see overload.Order); 0: 1

	OverProvisioning   float64 // over-provisioning: a locality of which a share of 1/Over is well still takes all its load; 1 and up
	MaxSpillover       float64 // of the own load, at most this share goes to the localities of one level
	SpareCapacityShare float64 // and at most this share of what they have to spare, by their reports, of all gateways of the own locality
	FullUtilization    float64 // how full a locality's link may be, spill counted; what is less than that is spare
	SpilloverRise      float64 // the share that spills to a locality grows by no more than this in a second; it falls at once
	PanicThreshold     float64 // if no more than this share of all weight looks well, the fault is taken to be elsewhere: nothing spills
	MinHealth          float64 // share of good ends below which a locality is away

	RampStart    float64       // share with which a locality that returns begins
	RampDuration time.Duration // and the least time until it has its full share
	WarmHitRatio float64       // it grows at full pace while so much of the usual share of hits is there, at a fifth of it below

	SilenceTimeout time.Duration // with work out and no good end for so long, a locality is away
	BaseBackoff    time.Duration // wait before one that is away is tried; it doubles when it fails again,
	MaxBackoff     time.Duration // up to this, and is forgiven after as long in good health

	Tick          time.Duration // how often shares are set
	MaxRetryAfter time.Duration // longest advice on when to come back
	Seed          uint64        // of this gateway, for waits that differ from gateway to gateway
}

// Validate fills in defaults, or names the first field that can't be worked with.
func (c *Config) Validate() error {
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
	}{{"Over", &c.OverProvisioning, DefaultOverProvisioning, 1, 10}, {"Spill", &c.MaxSpillover, DefaultMaxSpillover, 0, 1}, {"Spare", &c.SpareCapacityShare, DefaultSpareCapacityShare, 0, 1},
		{"Full", &c.FullUtilization, DefaultFullUtilization, 0, 2}, {"Rise", &c.SpilloverRise, DefaultSpilloverRise, 0, 10}, {"Panic", &c.PanicThreshold, DefaultPanicThreshold, 0, 1},
		{"Ill", &c.MinHealth, DefaultMinHealth, 0, 1}, {"Start", &c.RampStart, DefaultRampStart, 0, 1}, {"Warm", &c.WarmHitRatio, DefaultWarmHitRatio, 0, 1}} {
		if *f.v = cmp.Or(*f.v, f.def); !(*f.v >= f.least && *f.v <= f.most) {
			return fmt.Errorf("tiers: %s: %v is not from %v to %v", f.name, *f.v, f.least, f.most)
		}
	}
	for _, f := range []struct {
		name string
		v    *time.Duration
		def  time.Duration
	}{{"Ramp", &c.RampDuration, DefaultRampDuration}, {"Silence", &c.SilenceTimeout, DefaultSilenceTimeout}, {"Back", &c.BaseBackoff, DefaultBaseBackoff},
		{"BackMost", &c.MaxBackoff, DefaultMaxBackoff}, {"Tick", &c.Tick, DefaultTick}, {"LaterMost", &c.MaxRetryAfter, DefaultMaxRetryAfter}} {
		if *f.v = cmp.Or(*f.v, f.def); *f.v < 0 {
			return fmt.Errorf("tiers: %s: %v is negative", f.name, *f.v)
		}
	}
	if c.MaxBackoff < c.BaseBackoff {
		return fmt.Errorf("tiers: BackMost: %v is under Back, which is %v", c.MaxBackoff, c.BaseBackoff)
	}
	return nil
}
