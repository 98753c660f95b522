package maintenance

import (
	"cmp"
	"errors"
	"fmt"
	"time"
)

// Limits bound how many machines may be out, and for how long a gateway may be wrong about that. Use Check. The defaults stand
// at each field; zero means the default.
type Limits struct {
	MaxUtilization    float64       // of the caches of a zone that remain, and of the upper caches, under the present load; 0.85
	MaxZoneShareOut   float64       // share of a zone's machines of one kind that may be out; one always may; 0.34
	MinWarmParents    int           // warm upper caches that remain in a zone; 1
	MaxOut            int           // machines of all kinds that may be out; 4
	MaxTimesOvertaken int           // later requests of its group that may be granted before a request; 8
	Lease             time.Duration // how long a gateway may use its view of the state; 5s
	MaxClockDrift     float64       // share by which two clocks may run apart; 0.1
	DrainGrace        time.Duration // until nothing new goes to a drained machine and what went there has ended; no default
	SlowStart         time.Duration // a machine that returned is warm after this at the latest; no default
}

// Check fills in defaults. An error begins with the operators' key of the setting that is not valid, and a colon.
func (l *Limits) Check() error {
	l.MaxUtilization = cmp.Or(l.MaxUtilization, 0.85)
	l.MaxZoneShareOut = cmp.Or(l.MaxZoneShareOut, 0.34)
	l.MinWarmParents = cmp.Or(l.MinWarmParents, 1)
	l.MaxOut = cmp.Or(l.MaxOut, 4)
	l.MaxTimesOvertaken = cmp.Or(l.MaxTimesOvertaken, 8)
	l.Lease = cmp.Or(l.Lease, 5*time.Second)
	l.MaxClockDrift = cmp.Or(l.MaxClockDrift, 0.1)
	switch {
	case !(l.MaxUtilization > 0 && l.MaxUtilization <= 1):
		return fmt.Errorf("full: %v is not over 0 and up to 1", l.MaxUtilization)
	case !(l.MaxZoneShareOut > 0 && l.MaxZoneShareOut < 1):
		return fmt.Errorf("zone_share: %v is not between 0 and 1", l.MaxZoneShareOut)
	case l.MinWarmParents < 1:
		return fmt.Errorf("parents: %d is under 1", l.MinWarmParents)
	case l.MaxOut < 1:
		return fmt.Errorf("at_once: %d is under 1", l.MaxOut)
	case l.MaxTimesOvertaken < 1:
		return fmt.Errorf("patience: %d is under 1", l.MaxTimesOvertaken)
	case l.Lease < 500*time.Millisecond || l.Lease > time.Minute:
		return fmt.Errorf("lease: %v is not from 500ms to 1m", l.Lease)
	case !(l.MaxClockDrift > 0 && l.MaxClockDrift <= 1):
		return fmt.Errorf("drift: %v is not over 0 and up to 1", l.MaxClockDrift)
	case l.DrainGrace < 0 || l.SlowStart < 0:
		return errors.New("grace or ramp: negative")
	}
	return nil
}

// LeaseExpiry is how long after the agreement on a drain every lease that was given before it has expired, by whichever gateway's
// clock, and what was sent under such a lease has ended.
func (l *Limits) LeaseExpiry() time.Duration {
	return time.Duration(float64(l.Lease)*(1+l.MaxClockDrift)) + l.DrainGrace
}
