package gateway

import (
	"fmt"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"larchusher/overload"
	"larchusher/routing"
)

// retiredClassLifetime is for how long requests of a class that a new configuration drops are still served by its old rules: clients
// learn of new settings some time after the gateway does.
const retiredClassLifetime = 3 * time.Second

// admissionPolicy is what requests pass before they wait for their turn: how classes are ranked, and the door. It never changes;
// new classes bring another. It is read on whatever goroutine reads requests.
type admissionPolicy struct {
	order      *overload.Order
	controller *overload.AdmissionController
}

// admissions are the present admission and what earlier ones counted.
type admissions struct {
	current  atomic.Pointer[admissionPolicy]
	previous *admissionPolicy              // the one before: a goroutine may still be in the middle of using it
	shed     [frontCount]map[string]uint64 // by band's name, of those before that
}

// replace puts another admission in place of the present one.
func (a *admissions) replace(next *admissionPolicy) {
	if a.previous != nil {
		for front := range frontCount {
			if a.shed[front] == nil {
				a.shed[front] = map[string]uint64{}
			}
			a.previous.addShed(front, a.shed[front])
		}
	}
	a.previous = a.current.Swap(next)
}

// addShed adds what one front shed to a sum by the names of bands.
func (a *admissionPolicy) addShed(front Front, sum map[string]uint64) {
	for band := range a.order.Bands() {
		if n := a.controller.Shed(int(front), band); n > 0 {
			sum[a.order.Name(band)] += n
		}
	}
}

// shedByBand returns what a front has shed since the start, by the names of bands.
func (a *admissions) shedByBand(front Front) map[string]uint64 {
	sum := map[string]uint64{}
	for name, n := range a.shed[front] {
		sum[name] += n
	}
	if a.previous != nil {
		a.previous.addShed(front, sum)
	}
	a.current.Load().addShed(front, sum)
	return sum
}

// Classes returns the classes whose requests are served at present, retired ones among them.
func (g *Gateway) Classes() []routing.Class { return g.cfg.Settings.Classes }

// ReconfigureClasses has other classes and another limit on attempts (0: none) hold for requests that come from now on. Those that
// are open keep the rules by which they came. A class that is served and not among the new ones is served on for a short
// while. On an error all stays as it was.
func (g *Gateway) ReconfigureClasses(classes []routing.Class, maxAttempts int) error {
	if err := routing.CheckClasses(classes); err != nil {
		return fmt.Errorf("gateway: %w", err)
	}
	served := slices.Clone(classes)
	for _, c := range g.cfg.Settings.Classes {
		if !slices.ContainsFunc(classes, func(other routing.Class) bool { return other.Name == c.Name }) {
			served = append(served, c)
		}
	}
	g.retiredClassesTimer.Stop()
	if err := g.applyClasses(served, maxAttempts); err != nil {
		return err
	}
	if len(served) > len(classes) {
		g.retiredClassesTimer = g.cfg.Loop.After(retiredClassLifetime, func() {
			if err := g.applyClasses(classes, maxAttempts); err != nil {
				g.cfg.Log.WithError(err).Error("classes that were dropped are still served")
			}
		})
	}
	return nil
}

// applyClasses has classes served from now on.
func (g *Gateway) applyClasses(classes []routing.Class, maxAttempts int) error {
	cfg := g.cfg.Overload
	cfg.Classes = overloadClasses(classes)
	order := overload.NewOrder(cfg.Classes, cfg.RepeatsFirst)
	ruler, err := overload.NewController(cfg, order)
	if err != nil {
		return fmt.Errorf("gateway: %w", err)
	}
	// A new slice: requests that are open point into the old one.
	g.cfg.Settings.Classes, g.cfg.Settings.MaxAttempts = slices.Clone(classes), maxAttempts
	g.cfg.Overload, g.overloadController = cfg, ruler
	g.initClassOutcomes()
	g.admissions.replace(&admissionPolicy{order: order, controller: overload.NewAdmissionController(order.Bands(), int(frontCount))})
	g.queue = g.queue.Rebanded(order.Bands(), g.bandOf)
	g.handleInAll(routing.Reconfigured{Classes: g.cfg.Settings.Classes, MaxAttempts: maxAttempts})
	if g.localityPolicy == nil {
		return nil
	}
	return g.localityPolicy.Reconfigure(g.localityConfig(*g.cfg.Localities))
}

// bandOf ranks what waits for its turn anew.
func (g *Gateway) bandOf(waits any) int {
	switch w := waits.(type) {
	case *Request:
		w.band = g.classOrder().Band(w.Class, w.Retry)
		return w.band
	case *QueuedWork:
		w.band = g.classOrder().Band(w.class, false)
		return w.band
	}
	return g.classOrder().Bands() - 1
}

// PauseSlowStart has nothing sent to cold stores for a time from now; a negative one: until it is called again.
func (g *Gateway) PauseSlowStart(span time.Duration) {
	until := time.Duration(math.MaxInt64)
	if span >= 0 {
		until = g.now() + span
	}
	g.handleInAll(routing.PauseSlowStart{Until: until})
}

// classOrder ranks the classes that are served at present.
func (g *Gateway) classOrder() *overload.Order { return g.admissions.current.Load().order }

// admissionController is the present door.
func (g *Gateway) admissionController() *overload.AdmissionController {
	return g.admissions.current.Load().controller
}

// overloadClasses is what package overload needs to know of classes.
func overloadClasses(classes []routing.Class) (all []overload.Class) {
	for _, c := range classes {
		all = append(all, overload.Class{Name: c.Name, PriorityWeight: c.PriorityWeight})
	}
	return all
}
