// Package warmstart says what a gateway that starts may make of what it, or the one before it, had learned: what makes it
// void, and what it still counts for at its age. It does no I/O and reads no clock.
package warmstart

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"time"

	"larchusher/routing"
)

// Half-lives. What speaks for sending more ages faster than what speaks for sending less: a box wrongly held for ill is
// tried again soon, while one wrongly held for well is sent work that it can't do.
const (
	ListingHalfLife     = time.Minute      // that an object is to be found at a cache: for sending more there
	FillLatencyHalfLife = 30 * time.Second // that a parent is the quicker one: likewise
	FailureHalfLife     = 2 * time.Minute  // that a server fails, or answers late: for sending less
	LimitHalfLife       = 2 * time.Minute  // how much may be out: likewise

	least     = 0.001           // what counts for less counts for nothing
	skew      = 2 * time.Second // by which a clock may have been put back
	oldestDay = 24 * time.Hour  // nothing is taken in that is older
)

// Snapshot is all that a gateway has learned at a time.
type Snapshot struct {
	Made      time.Duration          `json:"Made"`     // Unix time
	Gateway   string                 `json:"Gateway"`  // name
	Settings  string                 `json:"Settings"` // fingerprint of what it was told, by which its knowledge is meant
	Position  int64                  `json:"Position"` // latest event of the journal that was taken in
	Directors []routing.LearnedState `json:"Directors"`
}

// Why a snapshot is void, to be told apart by errors.Is.
var (
	ErrOtherGateway  = errors.New("it is another gateway's")
	ErrOtherSettings = errors.New("it was made under other settings")
	ErrFromFuture    = errors.New("it was made later than now: the clock ran back")
	ErrExpired       = errors.New("it is too old")
)

// Validate says why a snapshot is void for a gateway; nil: it may be used.
func (s *Snapshot) Validate(now time.Duration, gateway, settings string) error {
	age := now - s.Made
	switch {
	case s.Gateway != gateway:
		return fmt.Errorf("%w: %q, and this is %q", ErrOtherGateway, s.Gateway, gateway)
	case s.Settings != settings:
		return ErrOtherSettings
	case age < -skew:
		return fmt.Errorf("%w, by %v", ErrFromFuture, -age)
	case age > oldestDay:
		return fmt.Errorf("%w: %v", ErrExpired, age.Round(time.Second))
	}
	return nil
}

// ConfidenceAt is what knowledge of an age still counts for. What is of the future counts for nothing.
func ConfidenceAt(age time.Duration) routing.Confidence {
	w := func(half time.Duration) float64 {
		if age < -skew {
			return 0
		}
		x := math.Exp2(-float64(max(0, age)) / float64(half))
		if x < least {
			return 0
		}
		return x
	}
	return routing.Confidence{Listing: w(ListingHalfLife), Failure: w(FailureHalfLife), Limit: w(LimitHalfLife), FillLatency: w(FillLatencyHalfLife)}
}

// ImportReport is what became of a snapshot.
type ImportReport struct {
	Age  time.Duration
	Void error // why nothing of it was used
	routing.ImportCounts
}

// Import has directors take in what a snapshot holds for them, by the names of their zones.
func (s *Snapshot) Import(now time.Duration, gateway, settings string, directors map[string]*routing.Director) ImportReport {
	r := ImportReport{Age: now - s.Made, Void: s.Validate(now, gateway, settings)}
	if r.Void != nil {
		return r
	}
	for _, m := range s.Directors {
		d := directors[m.Zone]
		if d == nil {
			r.Invalid += len(m.Listings) + len(m.Endpoints)
			continue
		}
		u := d.Import(now, m, ConfidenceAt)
		r.Listings, r.Endpoints, r.Purges = r.Listings+u.Listings, r.Endpoints+u.Endpoints, r.Purges+u.Purges
		r.Gone, r.Restarted, r.WarmingUp = r.Gone+u.Gone, r.Restarted+u.Restarted, r.WarmingUp+u.WarmingUp
		r.Expired, r.Invalid = r.Expired+u.Expired, r.Invalid+u.Invalid
	}
	return r
}

// String tells it in a line.
func (r ImportReport) String() string {
	if r.Void != nil {
		return "void: " + r.Void.Error()
	}
	parts := []string{fmt.Sprintf("%v old: %d listings, %d servers, %d purges used", r.Age.Round(time.Millisecond), r.Listings, r.Endpoints, r.Purges)}
	for _, p := range []struct {
		n    int
		what string
	}{{r.Expired, "aged"}, {r.Gone, "of servers that are gone"}, {r.Restarted, "of servers that restarted"}, {r.WarmingUp, "of cold servers"}, {r.Invalid, "odd"}} {
		if p.n > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", p.n, p.what))
		}
	}
	return strings.Join(parts, ", ")
}
