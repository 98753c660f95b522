package localitysim

import (
	"fmt"
	"strconv"
	"time"

	"larchusher/replication"
	"larchusher/routing"
	"larchusher/warmstart"
)

// beginSharing begins a gateway's copy of what all know, empty: it catches up with the others.
func (d *directed) beginSharing(g *dgateway) (err error) {
	var members []string
	for _, z := range d.sc.Zones {
		for range z.Gateways {
			members = append(members, strconv.Itoa(len(members)))
		}
	}
	d.lives++
	g.node, err = replication.NewNode(replication.Config{Self: replication.Incarnation{Name: strconv.Itoa(g.me), Number: d.lives}, Members: members, PurgeSettleTime: g.set.PurgeSettleTime,
		WallClock: func() time.Duration { return d.clock.Now }, Seed: d.lives})
	if err != nil {
		return fmt.Errorf("scene: %w", err)
	}
	g.sharer = warmstart.NewSharer(g.node, d.sc.Zones[g.home].Name, toldListings)
	return nil
}

// share has a gateway tell others what it learns, and catch up as it comes back.
func (d *directed) share(g *dgateway) {
	ticks := 0
	var tick func()
	tick = func() {
		if ticks++; !g.down {
			if ticks%5 == 0 {
				m := g.ds[0].Export(d.clock.Now, toldListings)
				list := map[string]routing.Endpoint{}
				for _, e := range d.listing() {
					list[e.ID] = e
				}
				g.sharer.Publish(d.clock.Now, m, list)
			}
			d.shared(g, replication.Tick{})
		}
		d.clock.At(d.clock.Now+100*time.Millisecond, tick)
	}
	d.clock.At(time.Duration(d.rng.Float64()*float64(100*time.Millisecond)), tick)
}

func (d *directed) shared(g *dgateway, e replication.Event) {
	for _, a := range g.node.Handle(d.clock.Now, e, nil) {
		switch a := a.(type) {
		case replication.Send:
			to, _ := strconv.Atoi(a.To)
			if to < len(d.gateways) {
				d.clock.At(d.clock.Now+2*time.Millisecond, func() {
					if x := d.gateways[to]; !x.down && x.node != nil {
						d.shared(x, replication.MessageReceived{From: strconv.Itoa(g.me), Message: a.Message})
					}
				})
			}
		case replication.CaughtUp:
			m := g.sharer.Collect(d.clock.Now, d.clock.Now, nil)
			for i := range g.ds {
				if g.names(i) == m.Zone {
					g.ds[i].Import(d.clock.Now, m, warmstart.ConfidenceAt)
				}
			}
		}
	}
}

// names is the zone of a gateway's director.
func (g *dgateway) names(i int) string {
	if len(g.places) > i {
		return g.places[i].Name
	}
	return g.set.Zone
}

// toldListings is of how many objects a gateway tells the others.
const toldListings = 4096
