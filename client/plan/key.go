package plan

import (
	"slices"
	"time"
)

// maxRememberedKeys is the maximum number of idempotency keys that are remembered after their calls have ended. Beyond it the key
// whose calls ended first is forgotten.
const maxRememberedKeys = 1 << 16

// keyName identifies an idempotency key that a caller has chosen, and may use for several calls.
type keyName struct{ class, key string }

// keyRecord is what the planner knows of the calls with a key. Their attempts all count for the window of the key.
type keyRecord struct {
	name            keyName
	window          time.Duration
	calls           []*call       // open calls
	mayHaveRunSince time.Duration // when the earliest attempt of an ended call was sent that may have run; negative: there is none
}

// keyRecords holds the keys of open calls, and of calls that may have run and whose window may not be over.
type keyRecords struct {
	byName map[keyName]*keyRecord
	ended  []*keyRecord // without open calls, in the order in which these ended; may contain records that have open calls again
}

// open adds a call to the record of its key.
func (k *keyRecords) open(c *call, now time.Duration) {
	if c.Key == "" || c.class.Effect != IdempotentWithKey {
		return
	}
	k.forgetEnded(now)
	name := keyName{c.Class, c.Key}
	r := k.byName[name]
	if r == nil {
		r = &keyRecord{name: name, window: c.class.Window, mayHaveRunSince: -1}
		k.byName[name] = r
	}
	if len(r.calls) == 0 && r.isOver(now) {
		r.mayHaveRunSince = -1
	}
	r.calls = append(r.calls, c)
	c.keyRecord = r
}

// close removes a call that ends from the record of its key. The attempts of the call are still as they were before the end.
func (k *keyRecords) close(c *call) {
	r := c.keyRecord
	if r == nil {
		return
	}
	r.mayHaveRunSince = earliest(r.mayHaveRunSince, c.ownFirstMayHaveRun())
	r.calls = slices.DeleteFunc(r.calls, func(o *call) bool { return o == c })
	c.keyRecord = nil
	switch {
	case len(r.calls) > 0:
	case r.mayHaveRunSince < 0:
		delete(k.byName, r.name)
	default:
		k.ended = append(k.ended, r)
	}
}

// forgetEnded forgets the keys whose windows are over, and those beyond maxRememberedKeys.
func (k *keyRecords) forgetEnded(now time.Duration) {
	for len(k.ended) > 0 {
		r := k.ended[0]
		inUse := len(r.calls) > 0
		if !inUse && !r.isOver(now) && len(k.ended) <= maxRememberedKeys {
			return
		}
		if !inUse && k.byName[r.name] == r {
			delete(k.byName, r.name)
		}
		k.ended[0] = nil
		k.ended = k.ended[1:]
	}
}

// isOver reports whether the window has ended that began with the earliest attempt of an ended call.
func (r *keyRecord) isOver(now time.Duration) bool {
	return r.mayHaveRunSince < 0 || now >= r.mayHaveRunSince+r.window
}

// firstMayHaveRun returns when the earliest attempt with the key was sent that may have run or is in flight; negative: there is none.
func (r *keyRecord) firstMayHaveRun() time.Duration {
	first := r.mayHaveRunSince
	for _, c := range r.calls {
		first = earliest(first, c.ownFirstMayHaveRun())
	}
	return first
}

// earliest returns the earlier of two times, of which a negative one stands for none.
func earliest(a, b time.Duration) time.Duration {
	if a < 0 || b >= 0 && b < a {
		return b
	}
	return a
}
