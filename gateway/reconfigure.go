package gateway

import (
	"fmt"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"larchusher/internal/logfields"
	"larchusher/locality"
	"larchusher/overload"
	"larchusher/routing"
)

// retiredClassLifetime is for how long requests of a class that a new configuration drops are still served by its old
// rules: clients learn of new settings some time after the gateway does.
const retiredClassLifetime = 3 * time.Second

// admissionGeneration is what requests are admitted by between two changes of the classes: how classes are ranked, and the
// controller that admits their requests. Its fields never change; they are read on whatever goroutine reads requests.
type admissionGeneration struct {
	order      *overload.Order
	controller *overload.AdmissionController
}

func newAdmissionGeneration(order *overload.Order) *admissionGeneration {
	return &admissionGeneration{order: order, controller: overload.NewAdmissionController(order.Bands(), int(frontCount))}
}

// admissionGenerations are the present generation and what earlier ones counted.
type admissionGenerations struct {
	current  atomic.Pointer[admissionGeneration]
	previous *admissionGeneration          // the one before: a goroutine may still be using it
	shed     [frontCount]map[string]uint64 // by name of the band, by the generations before that
}

// replace has another generation admit requests from now on.
func (a *admissionGenerations) replace(next *admissionGeneration) {
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
func (a *admissionGeneration) addShed(front Front, sum map[string]uint64) {
	for band := range a.order.Bands() {
		if n := a.controller.Shed(int(front), band); n > 0 {
			sum[a.order.Name(band)] += n
		}
	}
}

// shedByBand returns what a front has shed since the start, by the names of bands.
func (a *admissionGenerations) shedByBand(front Front) map[string]uint64 {
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

// Reconfiguration is what may change while a gateway runs.
type Reconfiguration struct {
	Classes     []routing.Class
	MaxAttempts int              // of a request; 0: no limit
	Localities  *locality.Config // the limits, ramps and weights of the localities of the start; nil: they stay as they are
}

// Reconfigure takes a reconfiguration in whole. On an error all stays as it was.
func (g *Gateway) Reconfigure(r Reconfiguration) error {
	if r.Localities != nil {
		if err := g.checkLocalities(*r.Localities); err != nil {
			return err
		}
	}
	if err := g.ReconfigureClasses(r.Classes, r.MaxAttempts); err != nil {
		return err
	}
	if r.Localities == nil {
		return nil
	}
	return g.ReconfigureLocalities(*r.Localities)
}

// ReconfigureClasses has other classes and another limit on attempts (0: none) hold for requests that come from now on.
// Open requests keep the rules by which they came. A class that is not among the new ones is served on for a short while.
//
// An error of the checks changes nothing.
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
	if err := g.applyClasses(served, maxAttempts); err != nil {
		return err
	}
	g.retiredClassesTimer.Stop()
	if len(served) > len(classes) {
		g.retiredClassesTimer = g.cfg.Loop.After(retiredClassLifetime, func() {
			if err := g.applyClasses(classes, maxAttempts); err != nil {
				g.cfg.Log.WithError(err).Error(logfields.ReloadClassesFailed)
			}
		})
	}
	return nil
}

// applyClasses has classes served from now on.
func (g *Gateway) applyClasses(classes []routing.Class, maxAttempts int) error {
	cfg := g.cfg.Overload
	cfg.Classes = overloadClasses(classes)
	order := overload.NewOrder(cfg.Classes, cfg.RetriesFirst)
	controller, err := overload.NewController(cfg, order)
	if err != nil {
		return fmt.Errorf("gateway: %w", err)
	}
	// A new slice: requests that are open point into the old one.
	g.cfg.Settings.Classes, g.cfg.Settings.MaxAttempts = slices.Clone(classes), maxAttempts
	g.cfg.Overload, g.shedController = cfg, controller
	g.initClassOutcomes()
	g.generations.replace(newAdmissionGeneration(order))
	g.queue = g.queue.Rebanded(order.Bands(), g.bandOf)
	g.handleInAll(routing.Reconfigured{Classes: g.cfg.Settings.Classes, MaxAttempts: maxAttempts})
	if g.localityPolicy == nil {
		return nil
	}
	return g.localityPolicy.Reconfigure(g.localityConfig(*g.cfg.Localities, order.Bands()))
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

// PauseSlowStart has nothing sent to endpoints that are warming up for a span from now; negative: until it is called again.
func (g *Gateway) PauseSlowStart(span time.Duration) {
	until := time.Duration(math.MaxInt64)
	if span >= 0 {
		until = g.now() + span
	}
	g.handleInAll(routing.PauseSlowStart{Until: until})
}

// overloadClasses is what package overload needs to know of classes.
func overloadClasses(classes []routing.Class) (all []overload.Class) {
	for _, c := range classes {
		all = append(all, overload.Class{Name: c.Name, PriorityWeight: c.PriorityWeight})
	}
	return all
}
