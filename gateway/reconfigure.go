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

// retiredClassLifetime is how long requests of a class that a new configuration dropped are still
// served as configured before: clients learn of new settings some time after the gateway.
const retiredClassLifetime = 3 * time.Second

// admissionGeneration holds what admits requests between two changes of the classes: the priority
// order of the classes, and the admission controller. Its fields never change. It is read on any
// goroutine that reads requests.
type admissionGeneration struct {
	order      *overload.Order
	controller *overload.AdmissionController
}

func newAdmissionGeneration(order *overload.Order) *admissionGeneration {
	return &admissionGeneration{order: order, controller: overload.NewAdmissionController(order.Bands(), int(frontCount))}
}

// admissionGenerations are the present generation and the counts of earlier ones.
type admissionGenerations struct {
	current  atomic.Pointer[admissionGeneration]
	previous *admissionGeneration          // the generation before; a goroutine may still be using it
	shed     [frontCount]map[string]uint64 // requests shed by the generations before previous, by name of the band
}

// replace makes another generation admit requests from now on.
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

// addShed adds the requests shed from a front to a sum by name of the band.
func (a *admissionGeneration) addShed(front Front, sum map[string]uint64) {
	for band := range a.order.Bands() {
		if n := a.controller.Shed(int(front), band); n > 0 {
			sum[a.order.Name(band)] += n
		}
	}
}

// shedByBand returns the requests shed from a front since the start, by name of the band.
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

// Classes returns the classes that are served at present, including retired ones.
func (g *Gateway) Classes() []routing.Class { return g.cfg.Settings.Classes }

// Reconfiguration holds the settings that may change while a gateway runs.
type Reconfiguration struct {
	Classes     []routing.Class
	MaxAttempts int              // for each request; 0: no limit
	Localities  *locality.Config // new limits, ramps and weights for the localities of the start; nil: unchanged
}

// Reconfigure applies a reconfiguration as a whole. If a check of the new settings fails, it
// returns an error and nothing has changed.
func (g *Gateway) Reconfigure(r Reconfiguration) error {
	if r.Localities != nil {
		if err := g.CheckLocalities(*r.Localities); err != nil {
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

// ReconfigureClasses replaces the classes and the limit on attempts (0: none) for requests that
// arrive from now on. Open requests keep the settings with which they arrived. A class that is
// missing from the new ones is still served for retiredClassLifetime.
//
// If a check of the new classes fails, it returns an error and nothing has changed.
func (g *Gateway) ReconfigureClasses(classes []routing.Class, maxAttempts int) error {
	if err := routing.CheckClasses(classes); err != nil {
		return fmt.Errorf("gateway: %w", err)
	}
	kept := slices.Clone(classes)
	for _, c := range g.cfg.Settings.Classes {
		if !slices.ContainsFunc(classes, func(other routing.Class) bool { return other.Name == c.Name }) {
			kept = append(kept, c)
		}
	}
	if err := g.applyClasses(kept, maxAttempts); err != nil {
		return err
	}
	g.retiredClassesTimer.Stop()
	if len(kept) > len(classes) {
		g.retiredClassesTimer = g.cfg.Loop.After(retiredClassLifetime, func() {
			if err := g.applyClasses(classes, maxAttempts); err != nil {
				g.cfg.Log.WithError(err).Error(logfields.ReloadClassesFailed)
			}
		})
	}
	return nil
}

// applyClasses makes admission, the queue, the directors and the locality policy use classes from
// now on.
func (g *Gateway) applyClasses(classes []routing.Class, maxAttempts int) error {
	cfg := g.cfg.Overload
	cfg.Classes = overloadClasses(classes)
	order := overload.NewOrder(cfg.Classes, cfg.RetriesFirst)
	controller, err := overload.NewController(cfg, order)
	if err != nil {
		return fmt.Errorf("gateway: %w", err)
	}
	// The slice must be a new one, since open requests point into the old one.
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

// bandOf returns the new band of a queued request or work.
func (g *Gateway) bandOf(value any) int {
	switch w := value.(type) {
	case *Request:
		w.band = g.classOrder().Band(w.Class, w.Retry)
		return w.band
	case *QueuedWork:
		w.band = g.classOrder().Band(w.class, false)
		return w.band
	}
	return g.classOrder().Bands() - 1
}

// PauseSlowStart stops sending to endpoints that are warming up for a duration from now; negative:
// until the next call.
func (g *Gateway) PauseSlowStart(span time.Duration) {
	until := time.Duration(math.MaxInt64)
	if span >= 0 {
		until = g.now() + span
	}
	g.handleInAll(routing.PauseSlowStart{Until: until})
}

// overloadClasses converts classes to those of package overload.
func overloadClasses(classes []routing.Class) (all []overload.Class) {
	for _, c := range classes {
		all = append(all, overload.Class{Name: c.Name, PriorityWeight: c.PriorityWeight})
	}
	return all
}
