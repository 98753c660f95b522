package overload

import (
	"cmp"
	"errors"
	"fmt"
	"time"
)

// Class is a class of requests, with what its rank depends on.
type Class struct {
	Name           string
	PriorityWeight float64 // weight of a request that is answered in time; 0 or more
	Cost           float64 // of serving one request, relative to other classes; 0: 1
}

// Defaults of Config.
const (
	DefaultMaxWait       = 150 * time.Millisecond
	DefaultTargetWait    = 10 * time.Millisecond
	DefaultTick          = 20 * time.Millisecond
	DefaultProbeShare    = 0.03
	DefaultMaxRetryAfter = 2 * time.Second
	DefaultMinPause      = 40 * time.Millisecond
)

// Config configures overload control. Fields that are zero get their defaults.
type Config struct {
	Classes []Class
	Fronts  int // number of fronts by which requests arrive; 0: 1

	MaxWait    time.Duration // longest wait in the queue, without pauses of the program
	TargetWait time.Duration // wait in the queue aimed at while requests are shed
	Tick       time.Duration // interval at which the admission policy is set
	ProbeShare float64       // share admitted in excess of what was served, to detect more capacity; 0 to 1

	MaxRetryAfter time.Duration // longest Retry-After of shed requests
	RetriesFirst  bool          // clients' retries are served before first attempts of their class, not after them
	MinPause      time.Duration // a shorter gap in which the program did not run is not a pause
	MemoryLimit   int64         // bytes that unsent responses may take; 0: unlimited
}

// validate fills in defaults. Its error names the first faulty field.
func (c *Config) validate() error {
	if err := c.validateClasses(); err != nil {
		return err
	}
	switch {
	case c.Fronts < 0:
		return errors.New("overload: Fronts is negative")
	case c.MaxWait < 0:
		return errors.New("overload: MaxWait is negative")
	case c.TargetWait < 0:
		return errors.New("overload: TargetWait is negative")
	case c.Tick < 0:
		return errors.New("overload: Tick is negative")
	case !(c.ProbeShare >= 0 && c.ProbeShare <= 1): // also fails for NaN
		return fmt.Errorf("overload: ProbeShare: %v is not from 0 to 1", c.ProbeShare)
	case c.MaxRetryAfter < 0:
		return errors.New("overload: MaxRetryAfter is negative")
	case c.MinPause < 0:
		return errors.New("overload: MinPause is negative")
	case c.MemoryLimit < 0:
		return errors.New("overload: MemoryLimit is negative")
	}
	c.Fronts = cmp.Or(c.Fronts, 1)
	c.MaxWait = cmp.Or(c.MaxWait, DefaultMaxWait)
	c.Tick = cmp.Or(c.Tick, DefaultTick)
	c.TargetWait = cmp.Or(c.TargetWait, min(DefaultTargetWait, c.MaxWait/2))
	if c.TargetWait > c.MaxWait {
		return fmt.Errorf("overload: TargetWait %v exceeds MaxWait %v", c.TargetWait, c.MaxWait)
	}
	c.ProbeShare = cmp.Or(c.ProbeShare, DefaultProbeShare)
	c.MaxRetryAfter = cmp.Or(c.MaxRetryAfter, DefaultMaxRetryAfter)
	c.MinPause = cmp.Or(c.MinPause, DefaultMinPause)
	return nil
}

// validateClasses validates Classes and fills in their defaults.
func (c *Config) validateClasses() error {
	if len(c.Classes) == 0 {
		return errors.New("overload: Classes is empty")
	}
	seen := map[string]bool{}
	for i := range c.Classes {
		class := &c.Classes[i]
		switch {
		case seen[class.Name]:
			return fmt.Errorf("overload: Classes[%d]: the name %q is a duplicate", i, class.Name)
		case !(class.PriorityWeight >= 0): // also fails for NaN
			return fmt.Errorf("overload: Classes[%d].PriorityWeight: %v, want 0 or more", i, class.PriorityWeight)
		case !(class.Cost >= 0):
			return fmt.Errorf("overload: Classes[%d].Cost: %v, want 0 or more", i, class.Cost)
		}
		seen[class.Name] = true
		class.Cost = cmp.Or(class.Cost, 1)
	}
	return nil
}
