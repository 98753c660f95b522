package locality

import (
	"cmp"
	"fmt"
	"time"
)

// Locality is a place with caches that may serve requests.
type Locality struct {
	Name   string
	Level  int     // priority level: 0 for the own one, 1 and up for those that load may spill over to
	Weight float64 // capacity of its caches together, relative to the others'; 0: 1
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

// Config configures the decisions. The zero value of a field is its default.
type Config struct {
	Localities []Locality // the own one first
	Bands      int        // priority bands of requests, the first served first (see overload.Order); 0: 1

	// OverProvisioning is the factor by which a locality has more capacity than its load needs: it takes all of its load
	// while a share of 1/OverProvisioning of it is healthy. 1 to 10.
	OverProvisioning float64
	// MaxSpillover is the share of the own load that goes to the localities of one level at most. 0 to 1.
	MaxSpillover float64
	// SpareCapacityShare is the share of what a locality reports to be spare that all gateways of the own locality use
	// together at most. 0 to 1.
	SpareCapacityShare float64
	// FullUtilization is the utilization that a locality's links may have, spillover included; the rest is spare. 0 to 2.
	FullUtilization float64
	// SpilloverRise is by how much the share that spills over to a locality grows in a second at most; it falls at once. 0 to 10.
	SpilloverRise float64
	// PanicThreshold is the share of all weight that must be healthy. At or below it the fault is taken to be elsewhere, and
	// nothing spills over. 0 to 1.
	PanicThreshold float64
	// MinHealth is the share of good results below which a locality is ejected. 0 to 1.
	MinHealth float64

	RampStart    float64       // share of its load with which a locality recovers; 0 to 1
	RampDuration time.Duration // least time until it has all of its load
	WarmHitRatio float64       // share of the usual hit ratio from which a recovering locality ramps up at full pace; 0 to 1

	SilenceTimeout time.Duration // a locality with attempts in flight and no success for so long is ejected
	BaseBackoff    time.Duration // wait before an ejected locality is tried; it doubles when the locality is ejected again ...
	MaxBackoff     time.Duration // ... up to this, and halves after as long in good health

	Tick          time.Duration // how often shares are set
	MaxRetryAfter time.Duration // longest Retry-After that rejected requests are told
	Seed          uint64        // of this gateway, so that backoffs differ from gateway to gateway
}

// FieldError says that a field of a [Config] is faulty.
type FieldError struct {
	Field  string // for instance "MaxBackoff" or "Localities[1].Name"
	Reason string
}

func (e *FieldError) Error() string { return "locality: " + e.Field + ": " + e.Reason }

func fieldError(field, format string, args ...any) error {
	return &FieldError{Field: field, Reason: fmt.Sprintf(format, args...)}
}

// Validate fills in defaults. Its error is a [*FieldError] for the first faulty field.
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
		return fieldError("Localities", "there is none")
	}
	seen := map[string]bool{}
	for i := range c.Localities {
		l := &c.Localities[i]
		field := fmt.Sprintf("Localities[%d]", i)
		switch {
		case l.Name == "" || seen[l.Name]:
			return fieldError(field+".Name", "%q is empty or stands twice", l.Name)
		case (i == 0) != (l.Level == 0) || l.Level < 0:
			return fieldError(field+".Level", "%d; the first is the own one, of level 0, and no other", l.Level)
		case !(l.Weight >= 0): // NaN fails, too
			return fieldError(field+".Weight", "%v", l.Weight)
		}
		seen[l.Name] = true
		l.Weight = cmp.Or(l.Weight, 1)
	}
	return nil
}

func (c *Config) validateNumbers() error {
	for _, f := range []struct {
		name               string
		value              *float64
		byDefault          float64
		smallest, greatest float64
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
		if !(*f.value >= f.smallest && *f.value <= f.greatest) { // NaN fails, too
			return fieldError(f.name, "%v is not from %v to %v", *f.value, f.smallest, f.greatest)
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
		return fieldError("MaxBackoff", "%v is less than the first wait, which is %v", c.MaxBackoff, c.BaseBackoff)
	}
	return nil
}
