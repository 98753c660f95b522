// Package overload decides what a gateway takes on when more is asked of it than it can do: which requests are shed,
// in which order those that wait are served, how long they may wait, whose answers may take memory, and when a stall of
// the host must not be mistaken for load.
//
// It does no I/O, reads no clock and holds no global state: the gateway feeds it samples and carries out what it says.
// Times are on one clock that runs forward, from any beginning. Only [AdmissionController] may be used from several goroutines at once.
package overload

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Class is what the order needs to know of a class of requests.
type Class struct {
	Name           string
	PriorityWeight float64 // of one request answered in time
	Cost           float64 // what one takes of the gateway, relative to others; 0: 1
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

// Config is what the decisions go by. The zero value of a field is its default.
type Config struct {
	Classes []Class
	Fronts  int // by which requests come; 0: 1

	MaxWait    time.Duration // longest wait for a turn, in time that the program ran
	TargetWait time.Duration // the wait that is aimed at while requests are shed
	Tick       time.Duration // how often the door is set
	ProbeShare float64       // share that is let in beyond what was served, to learn of more room; 0 to 1

	MaxRetryAfter time.Duration // longest advice on when to come back
	RepeatsFirst  bool          // a client's repeat is served before first tries of its class, not after
	MinPause      time.Duration // a shorter gap in which the program did not run is no stall
	MemoryLimit   int64         // bytes that answers may take, on their way to clients; 0: no limit
}

// check fills in defaults, or names the first field that can't be worked with.
func (c *Config) check() error {
	if len(c.Classes) == 0 {
		return errors.New("overload: Classes is empty")
	}
	seen := map[string]bool{}
	for i := range c.Classes {
		k := &c.Classes[i]
		switch {
		case seen[k.Name]:
			return fmt.Errorf("overload: Classes[%d]: %q stands twice", i, k.Name)
		case !(k.PriorityWeight >= 0):
			return fmt.Errorf("overload: Classes[%d].Worth: %v", i, k.PriorityWeight)
		case !(k.Cost >= 0):
			return fmt.Errorf("overload: Classes[%d].Cost: %v", i, k.Cost)
		}
		seen[k.Name] = true
		k.Cost = cmp.Or(k.Cost, 1)
	}
	switch {
	case c.Fronts < 0:
		return errors.New("overload: Fronts is negative")
	case c.MaxWait < 0:
		return errors.New("overload: Wait is negative")
	case c.TargetWait < 0:
		return errors.New("overload: Target is negative")
	case c.Tick < 0:
		return errors.New("overload: Tick is negative")
	case !(c.ProbeShare >= 0 && c.ProbeShare <= 1):
		return fmt.Errorf("overload: Probe: %v is not from 0 to 1", c.ProbeShare)
	case c.MaxRetryAfter < 0:
		return errors.New("overload: LaterMost is negative")
	case c.MinPause < 0:
		return errors.New("overload: StallLeast is negative")
	case c.MemoryLimit < 0:
		return errors.New("overload: Memory is negative")
	}
	c.Fronts = cmp.Or(c.Fronts, 1)
	c.MaxWait, c.Tick = cmp.Or(c.MaxWait, DefaultMaxWait), cmp.Or(c.Tick, DefaultTick)
	c.TargetWait = cmp.Or(c.TargetWait, min(DefaultTargetWait, c.MaxWait/2))
	if c.TargetWait > c.MaxWait {
		return fmt.Errorf("overload: Target %v is over Wait %v", c.TargetWait, c.MaxWait)
	}
	c.ProbeShare, c.MaxRetryAfter = cmp.Or(c.ProbeShare, DefaultProbeShare), cmp.Or(c.MaxRetryAfter, DefaultMaxRetryAfter)
	c.MinPause = cmp.Or(c.MinPause, DefaultMinPause)
	return nil
}

// Order ranks requests into bands: by worth for each unit of cost, then first tries and repeats of a class next to
// each other. Band 0 is served first and shed last.
type Order struct {
	places       map[string]int // by class
	names        []string
	costs        []float64
	repeatsFirst bool
}

// NewOrder ranks classes. Those of equal worth keep the order in which they are given.
func NewOrder(classes []Class, repeatsFirst bool) *Order {
	ranked := slices.Clone(classes)
	slices.SortStableFunc(ranked, func(a, b Class) int {
		return cmp.Compare(b.PriorityWeight/cmp.Or(b.Cost, 1), a.PriorityWeight/cmp.Or(a.Cost, 1))
	})
	o := &Order{places: map[string]int{}, repeatsFirst: repeatsFirst}
	for i, c := range ranked {
		o.places[c.Name] = i
		o.names = append(o.names, c.Name)
		o.costs = append(o.costs, cmp.Or(c.Cost, 1))
	}
	return o
}

// Bands is how many bands there are. The last one takes classes that nobody knows.
func (o *Order) Bands() int { return 2*len(o.names) + 1 }

// Band is where a request belongs.
func (o *Order) Band(class string, repeat bool) int {
	p, ok := o.places[class]
	return o.band(p, ok, repeat)
}

// BandOf is Band for a name that has just been read, and need not be copied.
func (o *Order) BandOf(class []byte, repeat bool) int {
	p, ok := o.places[string(class)] // makes no string
	return o.band(p, ok, repeat)
}

func (o *Order) band(place int, known, repeat bool) int {
	if !known {
		return 2 * len(o.names)
	}
	if repeat != o.repeatsFirst {
		return 2*place + 1
	}
	return 2 * place
}

// Cost is what one request of a band takes.
func (o *Order) Cost(band int) float64 {
	if band/2 >= len(o.costs) {
		return 1
	}
	return o.costs[band/2]
}

// Name is a band's, for counters: its class, with "+repeat" for repeats.
func (o *Order) Name(band int) string {
	if band/2 >= len(o.names) {
		return "unknown"
	}
	if (band%2 == 1) != o.repeatsFirst {
		return o.names[band/2] + repeatSuffix
	}
	return o.names[band/2]
}

// repeatSuffix ends the names of bands for clients' repeats.
const repeatSuffix = "+repeat"

// ClassOf is the class in a band's name.
func ClassOf(band string) string { return strings.TrimSuffix(band, repeatSuffix) }
