package overload

import (
	"math"
	"sync/atomic"
)

const (
	// lightShare and lightDeviations give the load of a light client: at most this share of the mean of all clients, and so many
	// standard deviations below it, were requests to come at random. Clients that send alike are all above it, so that an
	// overload that all of them cause is shed by priority.
	lightShare      = 0.25
	lightDeviations = 1.5
	// bodyBytesPerCost is how many bytes of a body cost as much as a request without one.
	bodyBytesPerCost = 4 << 10
	// ticksPerPeriod is the length of a period in which the load of clients is counted, in ticks.
	ticksPerPeriod = 6
	// maxQuietPeriods is for how many periods a client may offer nothing without counting as new. In a longer pause, the burst of a client
	// like all others would seem light when it is spread over the pause.
	maxQuietPeriods = 1/lightShare - 2
)

// RequestCost returns the cost of reading a request with a body of some bytes, in requests without one.
func RequestCost(bodyBytes int) uint32 { return uint32(1 + bodyBytes/bodyBytesPerCost) }

// ClientLoad records the cost of the requests that one client offers. It is used by one goroutine at a time. The zero value is that of a
// client that has offered nothing.
type ClientLoad struct {
	period   uint32 // in which offered counts; 0: none
	offered  uint32
	previous uint32 // offered per period from the one before in which it offered any until now; 0: the client counts as new
	light    bool   // at the latest request
}

// Light reports whether the client offered much less than others when its latest request was recorded.
func (c *ClientLoad) Light() bool { return c.light }

// startPeriod begins to count what the client offers in a period.
func (c *ClientLoad) startPeriod(period uint32) {
	passed := period - c.period
	c.previous = 0
	if passed > 0 && passed <= 1+maxQuietPeriods {
		c.previous = (c.offered + passed - 1) / passed // rounded up: a client that has offered anything is not new
	}
	c.period, c.offered = period, 0
}

// loadPeriods counts the load of all clients, period by period. It is safe for concurrent use, but for nextTick.
type loadPeriods struct {
	period  atomic.Uint32 // number of the current one; 0: before the first
	offered atomic.Uint64 // cost in the current period
	clients atomic.Uint64 // clients that have offered any in the current period
	light   atomic.Uint32 // cost in a period up to which a client is light

	ticks int
}

// nextTick ends the period if it is over. It is called once in a tick.
func (p *loadPeriods) nextTick() {
	p.ticks++
	if p.ticks%ticksPerPeriod != 0 {
		return
	}
	offered, clients := p.offered.Swap(0), p.clients.Swap(0)
	light := 0.0
	if clients > 0 {
		mean := float64(offered) / float64(clients)
		light = max(0, min(lightShare*mean, mean-lightDeviations*math.Sqrt(mean)))
	}
	p.light.Store(uint32(light))
	p.period.Add(1)
}

// record counts a request of a client by its cost, and reports whether the client is light: it has offered requests lately, and few
// then and in the current period. A new client is not.
func (p *loadPeriods) record(client *ClientLoad, cost uint32) (light bool) {
	if client == nil {
		return false
	}
	if period := p.period.Load(); client.period != period || client.offered == 0 {
		client.startPeriod(period)
		p.clients.Add(1)
	}
	client.offered += cost
	p.offered.Add(uint64(cost))
	client.light = client.previous > 0 && max(client.previous, client.offered) <= p.light.Load()
	return client.light
}
