package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"larchusher/locality"
	"larchusher/overload"
	"larchusher/routing"
)

// Config is what a gateway is made of.
type Config struct {
	Loop     *Loop
	Settings routing.Settings
	Seed     uint64       // of all random draws; 0: it is drawn itself
	Backend  Backend      // carries attempts
	Gossip   GossipSender // nil: nothing is sent to other gateways
	Log      logrus.FieldLogger

	// EndpointPermitted reports whether an endpoint may be sent to, or named as a fill source, at this moment. It goes beside
	// the endpoint list, and the stricter of the two holds. nil: any may.
	EndpointPermitted func(endpoint string) bool

	// Localities that requests may go to, the own one first. Bands, Seed and, unless it is set, MaxRetryAfter are filled in
	// from the rest of the configuration. nil: the own locality only.
	Localities *locality.Config

	// Overload says how the gateway sheds load. Its Classes, Fronts and, unless it is set, MaxRetryAfter are filled in from
	// Settings.
	Overload overload.Config

	// ReadBarrier calls its function, on any goroutine, once everything that had arrived on connections by now has been
	// read. The delay until then is how far reading lags. nil: reading never lags.
	ReadBarrier func(func())

	SizeScale       float64 // KB of Settings.FlowKBps for each KB of a request's stated size; 0: 1
	MaxOpenRequests int     // requests open at once, others are rejected; 0: no limit
	MaxBodyBytes    int     // bytes of request bodies held at once, other requests are rejected; 0: no limit
}

// Gateway runs a director for each of its localities.
type Gateway struct {
	Counters Counters

	cfg Config

	// The directors' clock reads baseDirectorTime, a Unix time, at base, and runs on steadily from there whatever happens to
	// the system's clock.
	base             time.Time
	baseDirectorTime time.Duration

	requests             map[string]*Request // without an answer yet, by directorID
	requestsByClientID   map[string]*Request // the same, by Request.ID
	answeredWithAttempts map[string]*Request // answered, with attempts still in flight, by directorID
	lastRequestNumber    uint64
	bodyBytes            int                       // of the bodies of open requests
	outcomes             map[string]*ClassOutcomes // by class
	retiredClassesTimer  *Timer                    // ends classes that a new configuration dropped; nil: there never were any

	dispatch
	drain      drainState
	failureLog failureLog
	admissionState
	localityState
}

// New returns a gateway, and schedules its first tick on the loop. Nothing else happens before the loop runs.
func New(cfg Config) (*Gateway, error) {
	now := time.Now()
	if cfg.Seed == 0 { // gateways with the same seed would make the same choices at the same moment
		cfg.Seed = rand.Uint64()
	}
	g := &Gateway{
		cfg:                  cfg,
		base:                 now,
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
func (g *Gateway) DirectorTime(t time.Time) time.Duration { return g.baseDirectorTime + t.Sub(g.base) }

// now is the present time on the directors' clock.
func (g *Gateway) now() time.Duration { return g.DirectorTime(g.cfg.Loop.Now()) }

// wallTime converts a time on the directors' clock to one that the loop's timers take.
func (g *Gateway) wallTime(t time.Duration) time.Time { return g.base.Add(t - g.baseDirectorTime) }

// IncarnationTime is when an endpoint's incarnation began, given on the directors' clock; zero: long ago.
func (g *Gateway) IncarnationTime(incarnation time.Duration) time.Time {
	if incarnation <= 0 {
		return time.Time{}
	}
	return g.wallTime(incarnation)
}

// OpenRequests is the number of requests that have no answer yet.
func (g *Gateway) OpenRequests() int { return len(g.requests) }

// Close answers every open request as expired, for a program that must end now.
func (g *Gateway) Close() {
	for _, r := range g.requests {
		g.expireRequest(r)
	}
}
