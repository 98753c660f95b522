package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"larchusher/locality"
	"larchusher/membudget"
	"larchusher/overload"
	"larchusher/routing"
)

// Config configures a gateway.
type Config struct {
	Loop     *Loop
	Settings routing.Settings
	Seed     uint64       // seed of all random draws; 0: a random seed
	Backend  Backend      // sends attempts to endpoints
	Gossip   GossipSender // nil: no gossip is sent to other gateways
	Log      logrus.FieldLogger

	// EndpointPermitted reports whether attempts may be sent to an endpoint at this moment, or name
	// it as their fill source. It applies in addition to the endpoint list: an endpoint is used
	// only if both allow it. It is called on the loop and must not block. nil: every endpoint is
	// permitted.
	EndpointPermitted func(endpoint string) bool

	// Localities configures the localities that requests may go to, the own one first. New fills in
	// Bands, Seed and, unless it is set, MaxRetryAfter. nil: the own locality only.
	Localities *locality.Config

	// Overload configures load shedding. New fills in Classes and Fronts, and defaults for
	// MaxRetryAfter (that of Settings), Tick, MinPause and MaxWait.
	Overload overload.Config

	// ReadBarrier calls its function, on any goroutine, once everything that has arrived on
	// connections before the call has been read. The delay of that call measures how far reading
	// lags. nil: reading is assumed never to lag.
	ReadBarrier func(func())

	Budget *membudget.Budget // accounts for open requests; nil: no limit

	SizeScale       float64 // factor from the sizes that clients state, in KB, to the KB of Settings.FlowKBps; 0: 1
	MaxOpenRequests int     // limit on open requests, beyond which requests are rejected; 0: no limit
	MaxBodyBytes    int     // limit on the bytes of open requests' bodies, beyond which requests are rejected; 0: no limit
}

// Gateway runs one director for each of its localities. Use [New].
type Gateway struct {
	Counters Counters

	cfg Config

	// The directors' clock reads baseDirectorTime, which is a Unix time, at baseWallTime. It
	// advances with the monotonic clock from there, whatever adjustments the system's clock gets.
	baseWallTime     time.Time
	baseDirectorTime time.Duration

	requests             map[string]*Request // requests without an answer yet, by directorID
	requestsByClientID   map[string]*Request // of these, those with an ID, by Request.ID
	answeredWithAttempts map[string]*Request // answered requests with attempts still in flight, by directorID
	lastRequestNumber    uint64
	executed             executedRequests          // finished requests that must not run again
	bodyBytes            int                       // total size of the bodies of open requests
	outcomes             map[string]*ClassOutcomes // by class
	retiredClassesTimer  *Timer                    // removes dropped classes; nil: no class was dropped so far
	closed               bool                      // set by Close

	dispatch
	drain      drainState
	failureLog failureLog
	admissionState
	localityState
}

// New returns a gateway and schedules its first tick on the loop, which need not run yet. The error
// names what is wrong with the configuration.
func New(cfg Config) (*Gateway, error) {
	now := time.Now()
	if cfg.Seed == 0 { // gateways with the same seed would make the same choices at the same moment
		cfg.Seed = rand.Uint64()
	}
	g := &Gateway{
		cfg:                  cfg,
		baseWallTime:         now,
		baseDirectorTime:     time.Duration(now.UnixNano()),
		requests:             map[string]*Request{},
		requestsByClientID:   map[string]*Request{},
		answeredWithAttempts: map[string]*Request{},
		outcomes:             map[string]*ClassOutcomes{},
	}
	g.initClassOutcomes()
	if err := g.initLocalities(); err != nil {
		return nil, err
	}
	if err := g.initAdmission(); err != nil {
		return nil, err
	}
	return g, nil
}

// DirectorTime converts a time to the directors' clock.
func (g *Gateway) DirectorTime(t time.Time) time.Duration {
	return g.baseDirectorTime + t.Sub(g.baseWallTime)
}

// now returns the present time on the directors' clock.
func (g *Gateway) now() time.Duration { return g.DirectorTime(g.cfg.Loop.Now()) }

// wallTime converts a time on the directors' clock to the wall-clock time that the loop's timers
// use.
func (g *Gateway) wallTime(t time.Duration) time.Time {
	return g.baseWallTime.Add(t - g.baseDirectorTime)
}

// IncarnationTime converts the start of an endpoint's incarnation from the directors' clock to
// wall-clock time. A start of 0 or less, which stands for long ago, gives the zero time.
func (g *Gateway) IncarnationTime(incarnation time.Duration) time.Time {
	if incarnation <= 0 {
		return time.Time{}
	}
	return g.wallTime(incarnation)
}

// Budget returns Config.Budget. It may be called from any goroutine.
func (g *Gateway) Budget() *membudget.Budget { return g.cfg.Budget }

// OpenRequests returns the number of requests that have no answer yet.
func (g *Gateway) OpenRequests() int { return len(g.requests) }

// Close answers every open request as expired, for a program that must end now. Requests that are submitted afterwards are
// rejected.
func (g *Gateway) Close() {
	g.closed = true
	for _, r := range g.requests {
		g.expireRequest(r)
	}
}
