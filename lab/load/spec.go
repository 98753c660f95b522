// Package load drives a gateway as many clients would, over the platform's protocol. The load is open-loop: when a
// request is due is drawn ahead and does not wait for answers, and its time counts from when it was due, so that a
// gateway that stands still is not spared the requests of that time (no coordinated omission).
package load

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Class is what clients ask for.
type Class struct {
	Name  string
	Share float64 // of all requests
	Aim   time.Duration
	Limit time.Duration // a client waits for so long
	Worth float64
	Keyed bool
}

// Site is the mix of the deployment.
func DeploymentMix() []Class {
	return []Class{
		{Name: "films", Share: 0.508, Aim: 500 * time.Millisecond, Limit: 5 * time.Second, Worth: 2},
		{Name: "images", Share: 0.46, Aim: 400 * time.Millisecond, Limit: 2500 * time.Millisecond, Worth: 1},
		{Name: "orders", Share: 0.032, Aim: 600 * time.Millisecond, Limit: 3 * time.Second, Worth: 3, Keyed: true},
	}
}

// Only is the mix with just one class, named as in [Site].
func SingleClassMix(name string) ([]Class, error) {
	for _, c := range DeploymentMix() {
		if c.Name == name {
			c.Share = 1
			return []Class{c}, nil
		}
	}
	return nil, fmt.Errorf("mix: no class %q", name)
}

// Spec says what load to drive.
type Spec struct {
	Addr    string
	Conns   int     // connections, 300 if 0
	Open    int     // requests open on one, 30 if 0
	Rate    Profile // requests a second over time
	For     time.Duration
	Mix     []Class // Site if empty
	Objects int     // how many are asked for, 200 if 0,
	First   int     // and the number of the first
	Seed    uint64
	Repeat  float64 // share of clients that try again after a refusal, when that says so; twice at most
	Marked  float64 // share of first tries that are marked as repeats
	Size    int     // bytes of a part; 0: that of standin.Content
	Window  time.Duration
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
		return errors.New("load: Addr is empty")
	case s.Rate == nil:
		return errors.New("load: Rate is missing")
	case s.For <= 0:
		return errors.New("load: For is not positive")
	}
	return nil
}

// Profile is a rate over time, in requests a second.
type Profile func(t time.Duration) float64

// Constant is the same rate all the time.
func Constant(rate float64) Profile { return func(time.Duration) float64 { return rate } }

// ParseProfile reads a profile, scaled by a base rate: "1", "0.3..3@1s+2s" (0.3, and 3 from 1 s on for 2 s), or
// "0.3/3@1s" (0.3 and 3 by turns, each for 1 s).
func ParseProfile(text string, base float64) (Profile, error) {
	bad := func(err error) (Profile, error) { return nil, fmt.Errorf("profile %q: %w", text, err) }
	num := func(s string) (float64, error) {
		x, err := strconv.ParseFloat(s, 64)
		if err == nil && (x < 0 || math.IsInf(x, 0) || math.IsNaN(x)) {
			err = fmt.Errorf("%s is out of range", s)
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
