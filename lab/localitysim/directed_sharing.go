package localitysim

import (
	"fmt"
	"strconv"
	"time"

	"larchusher/replication"
	"larchusher/routing"
	"larchusher/warmstart"
)

// newReplica starts an empty replica for a gateway; it catches up with the other gateways.
func (d *directorSim) newReplica(g *directorGateway) (err error) {
	var members []string
	for _, z := range d.scene.Zones {
		for range z.Gateways {
			members = append(members, strconv.Itoa(len(members)))
		}
	}
	d.lastReplica++
	g.replica, err = replication.NewNode(replication.Config{Self: replication.Incarnation{Name: strconv.Itoa(g.index), Number: d.lastReplica}, Members: members, PurgeSettleTime: g.settings.PurgeSettleTime,
		WallClock: func() time.Duration { return d.clock.Now }, Seed: d.lastReplica})
	if err != nil {
		return fmt.Errorf("scene: can't create a replica: %w", err)
	}
	g.sharer = warmstart.NewSharer(g.replica, d.scene.Zones[g.home].Name, maxSharedListings)
	return nil
}

// startSharing ticks a gateway's replica every 100 ms and publishes what its first director has learned every 500 ms, while
// the gateway is up.
func (d *directorSim) startSharing(g *directorGateway) {
	ticks := 0
	var shareTick func()
	shareTick = func() {
		if ticks++; !g.down {
			if ticks%5 == 0 {
				m := g.directors[0].Export(d.clock.Now, maxSharedListings)
				list := map[string]routing.Endpoint{}
				for _, e := range d.endpointList() {
					list[e.ID] = e
				}
				g.sharer.Publish(d.clock.Now, m, list)
			}
			d.handleReplication(g, replication.Tick{})
		}
		d.clock.At(d.clock.Now+100*time.Millisecond, shareTick)
	}
	d.clock.At(time.Duration(d.rng.Float64()*float64(100*time.Millisecond)), shareTick)
}

// handleReplication passes an event to a gateway's replica, delivers its messages after 2 ms, and imports the shared state
// into the directors of its zone once the replica has caught up.
func (d *directorSim) handleReplication(g *directorGateway, e replication.Event) {
	for _, a := range g.replica.Handle(d.clock.Now, e, nil) {
		switch a := a.(type) {
		case replication.Send:
			to, _ := strconv.Atoi(a.To)
			if to < len(d.gateways) {
				d.clock.At(d.clock.Now+2*time.Millisecond, func() {
					if x := d.gateways[to]; !x.down && x.replica != nil {
						d.handleReplication(x, replication.MessageReceived{From: strconv.Itoa(g.index), Message: a.Message})
					}
				})
			}
		case replication.CaughtUp:
			m := g.sharer.Collect(d.clock.Now, d.clock.Now, nil)
			for i := range g.directors {
				if g.zoneName(i) == m.Zone {
					g.directors[i].Import(d.clock.Now, m, warmstart.ConfidenceAt)
				}
			}
		}
	}
}

// zoneName returns the zone of a gateway's i-th director.
func (g *directorGateway) zoneName(i int) string {
	if len(g.localities) > i {
		return g.localities[i].Name
	}
	return g.settings.Zone
}

// maxSharedListings is the largest number of objects whose listings a gateway publishes.
const maxSharedListings = 4096
