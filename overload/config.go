package overload

import (
	"cmp"
	"errors"
	"fmt"
	"time"
)

// Class is a class of requests, as the order of service needs it.
type Class struct {
	Name           string
	PriorityWeight float64 // of one request answered in time; 0 or more
	Cost           float64 // of serving one request, relative to other classes; 0: 1
}

// Defaults for what a Config leaves out.
const (
	DefaultMaxWait       = 150 * time.Millisecond
	DefaultTargetWait    = 10 * time.Millisecond
	DefaultTick          = 20 * time.Millisecond
	DefaultProbeShare    = 0.03
	DefaultMaxRetryAfter = 2 * time.Second
	DefaultMinPause      = 40 * time.Millisecond
)

// Config configures the decisions. The zero value of a field is its default.
type Config struct {
	Classes []Class
	Fronts  int // front ends by which requests come; 0: 1

	MaxWait    time.Duration // longest wait in the queue, in time that the program ran
	TargetWait time.Duration // wait aimed at while requests are shed
	Tick       time.Duration // how often the admission policy is set
	ProbeShare float64       // share admitted beyond what was served, to find out about more capacity; 0 to 1

	MaxRetryAfter time.Duration // longest Retry-After that shed requests are told
	RetriesFirst  bool          // a client's retry is served before first attempts of its class, not after
	MinPause      time.Duration // a shorter gap in which the program did not run is no pause
	MemoryLimit   int64         // bytes that responses may take, on their way to clients; 0: unlimited
}

// validate fills in defaults, or returns an error that names the first faulty field.
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
	case !(c.ProbeShare >= 0 && c.ProbeShare <= 1): // NaN fails, too
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
		return fmt.Errorf("overload: TargetWait %v is over MaxWait %v", c.TargetWait, c.MaxWait)
	}
	c.ProbeShare = cmp.Or(c.ProbeShare, DefaultProbeShare)
	c.MaxRetryAfter = cmp.Or(c.MaxRetryAfter, DefaultMaxRetryAfter)
	c.MinPause = cmp.Or(c.MinPause, DefaultMinPause)
	return nil
}

// validateClasses is the part of validate for Classes.
func (c *Config) validateClasses() error {
	if len(c.Classes) == 0 {
		return errors.New("overload: Classes is empty")
	}
	seen := map[string]bool{}
	for i := range c.Classes {
		class := &c.Classes[i]
		switch {
		case seen[class.Name]:
			return fmt.Errorf("overload: Classes[%d]: %q stands twice", i, class.Name)
		case !(class.PriorityWeight >= 0): // NaN fails, too
			return fmt.Errorf("overload: Classes[%d].PriorityWeight: %v", i, class.PriorityWeight)
		case !(class.Cost >= 0):
			return fmt.Errorf("overload: Classes[%d].Cost: %v", i, class.Cost)
		}
		seen[class.Name] = true
		class.Cost = cmp.Or(class.Cost, 1)
	}
	return nil
}
