package maintenance

import (
	"cmp"
	"errors"
	"fmt"
	"time"
)

// Limits bounds how many machines may be out at the same time, and for how long a gateway may act on an outdated state.
// Call Check before use: it replaces zero values by the defaults.
type Limits struct {
	MaxUtilization    float64       // maximum utilization of a zone's remaining caches, and of the remaining parents; default 0.85
	MaxZoneShareOut   float64       // maximum share of a zone's machines of one kind that may be out, down or cold; one always may; default 0.34
	MinWarmParents    int           // minimum number of warm parents that remain in a zone; default 1
	MaxOut            int           // maximum number of machines of all kinds that may be out; default 4
	MaxTimesOvertaken int           // how many requests behind a waiting one of the same group may be granted before it; default 8
	Lease             time.Duration // how long a gateway may act on its copy of the state without renewing it; default 5s
	MaxClockDrift     float64       // maximum relative difference between the rates of two clocks; default 0.1
	DrainGrace        time.Duration // time after a lease expires until its gateway has stopped sending and its requests have ended; no default
	SlowStart         time.Duration // time after which a returned machine counts as warm; no default
}

// Check fills in defaults and validates the limits. An error begins with the operator's key of the invalid setting and
// a colon.
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
		return fmt.Errorf("full: %v, want more than 0 and at most 1", l.MaxUtilization)
	case !(l.MaxZoneShareOut > 0 && l.MaxZoneShareOut < 1):
		return fmt.Errorf("zone_share: %v, want more than 0 and less than 1", l.MaxZoneShareOut)
	case l.MinWarmParents < 1:
		return fmt.Errorf("parents: %d, want at least 1", l.MinWarmParents)
	case l.MaxOut < 1:
		return fmt.Errorf("at_once: %d, want at least 1", l.MaxOut)
	case l.MaxTimesOvertaken < 1:
		return fmt.Errorf("patience: %d, want at least 1", l.MaxTimesOvertaken)
	case l.Lease < 500*time.Millisecond || l.Lease > time.Minute:
		return fmt.Errorf("lease: %v, want 500ms to 1m", l.Lease)
	case !(l.MaxClockDrift > 0 && l.MaxClockDrift <= 1):
		return fmt.Errorf("drift: %v, want more than 0 and at most 1", l.MaxClockDrift)
	case l.DrainGrace < 0 || l.SlowStart < 0:
		return errors.New("grace or ramp: negative, want 0 or more")
	}
	return nil
}

// LeaseExpiry returns the time after the agreement on a drain by which every lease granted before the agreement has
// expired, by any gateway's clock, and all requests sent under such a lease have ended.
func (l *Limits) LeaseExpiry() time.Duration {
	return time.Duration(float64(l.Lease)*(1+l.MaxClockDrift)) + l.DrainGrace
}
