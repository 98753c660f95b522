// Package load generates the load of many clients on a gateway, over the platform's protocol. The load is open-loop:
// arrival times are drawn in advance and don't depend on answers, and latency counts from the scheduled arrival, so that
// the requests of a time in which the gateway stalls are measured as well (no coordinated omission).
package load

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Class describes one kind of requests in a mix.
type Class struct {
	Name  string
	Share float64       // of all requests, 0 to 1
	Aim   time.Duration // latency objective
	Limit time.Duration // deadline: how long a client waits for an answer
	Worth float64       // priority weight
	Keyed bool          // requests carry an idempotency key
}

// DeploymentMix returns the classes of the deployment with their shares.
func DeploymentMix() []Class {
	return []Class{
		{Name: "films", Share: 0.508, Aim: 500 * time.Millisecond, Limit: 5 * time.Second, Worth: 2},
		{Name: "images", Share: 0.46, Aim: 400 * time.Millisecond, Limit: 2500 * time.Millisecond, Worth: 1},
		{Name: "orders", Share: 0.032, Aim: 600 * time.Millisecond, Limit: 3 * time.Second, Worth: 3, Keyed: true},
	}
}

// SingleClassMix returns a mix that consists only of the named class of [DeploymentMix].
func SingleClassMix(name string) ([]Class, error) {
	for _, c := range DeploymentMix() {
		if c.Name == name {
			c.Share = 1
			return []Class{c}, nil
		}
	}
	return nil, fmt.Errorf("mix: unknown class %q", name)
}

// Spec configures a load.
type Spec struct {
	Addr    string        // of the gateway
	Conns   int           // number of connections, 300 if 0
	Open    int           // most requests open on one connection, 30 if 0
	Rate    Profile       // requests per second over time
	For     time.Duration // requests are sent for this long
	Mix     []Class       // DeploymentMix if empty
	Objects int           // number of different objects requested, 200 if 0
	First   int           // number of the first object, relative to FirstObject
	Seed    uint64
	Repeat  float64       // share of rejected attempts that are retried after the advised delay, at most twice per request
	Marked  float64       // share of first attempts that carry the retry flag
	Size    int           // bytes of a part, 0 for that of fakeserver.Content; Run doesn't read it
	Window  time.Duration // length of one Summary of Result.Windows, 1 s if 0
}

func (s *Spec) defaults() error {
	if s.Conns <= 0 {
		s.Conns = 300
	}
	if s.Open <= 0 {
		s.Open = 30
	}
	if s.Objects <= 0 {
		s.Objects = 200
	}
	if len(s.Mix) == 0 {
		s.Mix = DeploymentMix()
	}
	if s.Window <= 0 {
		s.Window = time.Second
	}
	switch {
	case s.Addr == "":
		return errors.New("load: Addr is empty, want the gateway's address")
	case s.Rate == nil:
		return errors.New("load: Rate is nil, want a profile")
	case s.For <= 0:
		return errors.New("load: For is 0 or negative, want more than 0")
	}
	return nil
}

// Profile returns the rate, in requests per second, at a time since the start of the run.
type Profile func(t time.Duration) float64

// Constant returns a profile with a fixed rate.
func Constant(rate float64) Profile { return func(time.Duration) float64 { return rate } }

// ParseProfile parses a profile whose levels are multiples of a base rate. The forms are "1" (constant), "0.3..3@1s+2s"
// (0.3, but 3 from 1 s on for 2 s) and "0.3/3@1s" (alternately 0.3 and 3, each for 1 s). Errors quote the profile.
func ParseProfile(text string, base float64) (Profile, error) {
	bad := func(err error) (Profile, error) { return nil, fmt.Errorf("profile %q: %w", text, err) }
	num := func(s string) (float64, error) {
		x, err := strconv.ParseFloat(s, 64)
		if err == nil && (x < 0 || math.IsInf(x, 0) || math.IsNaN(x)) {
			err = fmt.Errorf("%s is negative or not finite", s)
		}
		return x * base, err
	}
	levels, when, timed := strings.Cut(text, "@")
	if low, high, ok := strings.Cut(levels, ".."); ok && timed {
		from, length, ok := strings.Cut(when, "+")
		a, err1 := num(low)
		b, err2 := num(high)
		at, err3 := time.ParseDuration(from)
		long, err4 := time.ParseDuration(length)
		if err := errors.Join(err1, err2, err3, err4); err != nil || !ok {
			return bad(err)
		}
		return func(t time.Duration) float64 {
			if t >= at && t < at+long {
				return b
			}
			return a
		}, nil
	}
	if low, high, ok := strings.Cut(levels, "/"); ok && timed {
		a, err1 := num(low)
		b, err2 := num(high)
		each, err3 := time.ParseDuration(when)
		if err := errors.Join(err1, err2, err3); err != nil || each <= 0 {
			return bad(err)
		}
		return func(t time.Duration) float64 {
			if t/each%2 == 1 {
				return b
			}
			return a
		}, nil
	}
	x, err := num(text)
	if err != nil {
		return bad(err)
	}
	return Constant(x), nil
}
