package locality

import (
	"cmp"
	"fmt"
	"time"
)

// Locality is a location with caches that may serve requests.
type Locality struct {
	Name   string
	Level  int     // priority level: 0 for the own locality, 1 and up for localities that load may spill over to
	Weight float64 // total capacity of its caches relative to other localities; 0: 1
}

// Defaults of Config.
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

// Config configures a Selector. Fields that are zero get their defaults.
type Config struct {
	Localities []Locality // the own one first
	Bands      int        // priority bands of requests, of which band 0 is served first (see overload.Order); 0: 1

	// OverProvisioning is the ratio of a locality's capacity to what its load needs: the locality
	// keeps all of its load while a share of at least 1/OverProvisioning of it is healthy. 1 to 10.
	OverProvisioning float64
	// MaxSpillover is the largest share of the own load that may spill over to the localities of
	// one level. 0 to 1.
	MaxSpillover float64
	// SpareCapacityShare is the largest share of the spare capacity reported by a locality that all
	// gateways of the own locality use together. 0 to 1.
	SpareCapacityShare float64
	// FullUtilization is the highest intended utilization of a locality's links, including
	// spillover. The unused part of it is spare capacity. 0 to 2.
	FullUtilization float64
	// SpilloverRise is the fastest rise, per second, of the share that spills over to a locality.
	// The share falls without delay. 0 to 10.
	SpilloverRise float64
	// PanicThreshold is the share of the total weight at or below which too little is healthy. The
	// fault is then assumed to be elsewhere, and nothing spills over (panic mode). 0 to 1.
	PanicThreshold float64
	// MinHealth is the share of good results below which a locality is ejected. 0 to 1.
	MinHealth float64

	RampStart    float64       // share of its load that a recovering locality starts with; 0 to 1
	RampDuration time.Duration // shortest time of a recovery until all load is back; half as long while requests are rejected
	WarmHitRatio float64       // share of the usual hit ratio from which a recovering locality ramps up at full pace; 0 to 1

	SilenceTimeout time.Duration // a locality with attempts in flight and without success for this long is ejected
	BaseBackoff    time.Duration // wait before an ejected locality is tried; doubles if it recovers and is ejected again ...
	MaxBackoff     time.Duration // ... up to this, and halves after as long in good health

	Tick          time.Duration // interval at which shares are set
	MaxRetryAfter time.Duration // longest Retry-After of rejected requests
	Seed          uint64        // seed of this gateway, so that backoffs differ between gateways
}

// FieldError is an error of [Config.Validate] about one field of a [Config].
type FieldError struct {
	Field  string // such as "MaxBackoff" or "Localities[1].Name"
	Reason string
}

func (e *FieldError) Error() string { return "locality: " + e.Field + ": " + e.Reason }

func fieldError(field, format string, args ...any) error {
	return &FieldError{Field: field, Reason: fmt.Sprintf(format, args...)}
}

// Validate fills in defaults. It returns a [*FieldError] for the first faulty field.
func (c *Config) Validate() error {
	if err := c.validateLocalities(); err != nil {
		return err
	}
	if c.Bands < 0 {
		return fieldError("Bands", "%d is negative", c.Bands)
	}
	c.Bands = cmp.Or(c.Bands, 1)
	if err := c.validateNumbers(); err != nil {
		return err
	}
	return c.validateDurations()
}

func (c *Config) validateLocalities() error {
	if len(c.Localities) == 0 {
		return fieldError("Localities", "empty, want at least the own locality")
	}
	seen := map[string]bool{}
	for i := range c.Localities {
		l := &c.Localities[i]
		field := fmt.Sprintf("Localities[%d]", i)
		switch {
		case l.Name == "" || seen[l.Name]:
			return fieldError(field+".Name", "the name %q is empty or a duplicate", l.Name)
		case (i == 0) != (l.Level == 0) || l.Level < 0:
			return fieldError(field+".Level", "%d, want 0 for the first locality, which is the own one, and 1 or more for the others", l.Level)
		case !(l.Weight >= 0): // also fails for NaN
			return fieldError(field+".Weight", "%v, want 0 or more", l.Weight)
		}
		seen[l.Name] = true
		l.Weight = cmp.Or(l.Weight, 1)
	}
	return nil
}

func (c *Config) validateNumbers() error {
	for _, f := range []struct {
		name        string
		value       *float64
		byDefault   float64
		least, most float64
	}{
		{"OverProvisioning", &c.OverProvisioning, DefaultOverProvisioning, 1, 10},
		{"MaxSpillover", &c.MaxSpillover, DefaultMaxSpillover, 0, 1},
		{"SpareCapacityShare", &c.SpareCapacityShare, DefaultSpareCapacityShare, 0, 1},
		{"FullUtilization", &c.FullUtilization, DefaultFullUtilization, 0, 2},
		{"SpilloverRise", &c.SpilloverRise, DefaultSpilloverRise, 0, 10},
		{"PanicThreshold", &c.PanicThreshold, DefaultPanicThreshold, 0, 1},
		{"MinHealth", &c.MinHealth, DefaultMinHealth, 0, 1},
		{"RampStart", &c.RampStart, DefaultRampStart, 0, 1},
		{"WarmHitRatio", &c.WarmHitRatio, DefaultWarmHitRatio, 0, 1},
	} {
		*f.value = cmp.Or(*f.value, f.byDefault)
		if !(*f.value >= f.least && *f.value <= f.most) { // also fails for NaN
			return fieldError(f.name, "%v is not from %v to %v", *f.value, f.least, f.most)
		}
	}
	return nil
}

func (c *Config) validateDurations() error {
	for _, f := range []struct {
		name      string
		value     *time.Duration
		byDefault time.Duration
	}{
		{"RampDuration", &c.RampDuration, DefaultRampDuration},
		{"SilenceTimeout", &c.SilenceTimeout, DefaultSilenceTimeout},
		{"BaseBackoff", &c.BaseBackoff, DefaultBaseBackoff},
		{"MaxBackoff", &c.MaxBackoff, DefaultMaxBackoff},
		{"Tick", &c.Tick, DefaultTick},
		{"MaxRetryAfter", &c.MaxRetryAfter, DefaultMaxRetryAfter},
	} {
		*f.value = cmp.Or(*f.value, f.byDefault)
		if *f.value < 0 {
			return fieldError(f.name, "%v is negative", *f.value)
		}
	}
	if c.MaxBackoff < c.BaseBackoff {
		return fieldError("MaxBackoff", "%v is less than the base backoff, which is %v", c.MaxBackoff, c.BaseBackoff)
	}
	return nil
}
