package faultinjection

import (
	"context"
	"errors"
	"os"
	"slices"
	"strconv"
	"syscall"
	"time"

	"larchusher/lab/loopback"
)

// do carries out an event.
func (p *play) do(ctx context.Context, e Event) error {
	switch e.What {
	case "ask":
		p.ask(ctx, e.Args[0], p.find(e.Args[1]))
	case "kill":
		return p.kill(p.find(e.Args[0]), e.Args[1] == "lose")
	case "start":
		return p.startAgain(ctx, p.find(e.Args[0]))
	case "roll":
		return p.roll(ctx, p.find(e.Args[0]))
	case "stop":
		g := p.find(e.Args[0])
		g.clients.excuse(true)
		g.set(false)
		return g.world.Signal(syscall.SIGSTOP)
	case "cont":
		return p.resume(p.find(e.Args[0]))
	case "cut", "heal", "bad", "slow":
		return p.spoilLinks(e)
	case "slowly":
		d, err := time.ParseDuration(e.Args[0])
		p.takes.Store(int64(d))
		return err
	case "clock":
		return os.WriteFile(p.find(e.Args[0]).clock, []byte(e.Args[1]), 0o600)
	case "crash":
		m := p.machines[e.Args[0]]
		m.store.Close()
		p.tell(m, "DELETED")
	case "revive":
		return p.revive(p.machines[e.Args[0]])
	case "purge":
		return p.purge(e.Args)
	case "drain":
		return p.drain(e.Args)
	case "forge":
		forge(p.find(e.Args[0]).link)
	}
	return nil
}

// find is the gateway of a name, the first one if there is none.
func (p *play) find(name string) *process {
	i := slices.IndexFunc(p.gateways, func(g *process) bool { return g.name == name })
	return p.gateways[max(0, i)]
}

// kill kills a gateway; lose takes its folder as well.
func (p *play) kill(g *process, lose bool) error {
	g.clients.excuse(true)
	g.set(false)
	p.forgotten(g, time.Now().Add(time.Hour))
	if err := g.world.Kill(); err != nil {
		return err
	}
	if lose {
		return os.RemoveAll(g.folder)
	}
	return nil
}

// startAgain starts a gateway that was killed.
func (p *play) startAgain(ctx context.Context, g *process) error {
	if err := g.world.Restart(); err != nil {
		return err
	}
	p.wg.Go(func() {
		if _, err := g.world.WaitForLog(ctx, "msg=serving"); err != nil {
			p.faults.add("%s does not start again: %v", g.name, err)
		}
		p.forgotten(g, time.Now().Add(500*time.Millisecond))
		g.clients.excuse(false)
		g.set(true)
	})
	return nil
}

// roll ends a gateway by SIGTERM, and starts it again.
func (p *play) roll(ctx context.Context, g *process) error {
	g.clients.rest(true) // as those do that are told of a drain
	g.set(false)
	if err := g.world.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	p.wg.Go(func() {
		if err := g.world.WaitExit(ctx); err != nil {
			p.faults.add("%s does not end by SIGTERM: %v", g.name, err)
			return
		}
		g.clients.rest(false)
		if err := g.world.Restart(); err != nil {
			p.faults.add("%s: %v", g.name, err)
			return
		}
		if _, err := g.world.WaitForLog(ctx, "msg=serving"); err != nil {
			p.faults.add("%s does not start again: %v", g.name, err)
		}
		g.set(true)
	})
	return nil
}

// resume has a gateway that was stopped go on.
func (p *play) resume(g *process) error {
	if err := g.world.Signal(syscall.SIGCONT); err != nil {
		return err
	}
	p.forgotten(g, time.Now().Add(time.Second)) // what came meanwhile it hears now
	p.wg.Go(func() {
		time.Sleep(300 * time.Millisecond)
		g.clients.excuse(false)
		g.set(true)
	})
	return nil
}

// spoilLinks cuts some links, heals all, or has all lose, double, delay, break or slow down what they carry.
func (p *play) spoilLinks(e Event) error {
	each := func(change func(r *relay)) {
		for _, r := range p.relays {
			r.set(change)
		}
	}
	switch e.What {
	case "cut":
		for _, pair := range e.Args {
			if r := p.relays[pair]; r != nil {
				r.set(func(r *relay) { r.cut = true })
			}
		}
	case "heal":
		each(func(r *relay) { r.cut, r.lose, r.double, r.delay, r.breaks, r.rate = false, 0, 0, 0, false, 0 })
	case "bad":
		lose, err1 := strconv.ParseFloat(e.Args[0], 64)
		double, err2 := strconv.ParseFloat(e.Args[1], 64)
		delay, err3 := time.ParseDuration(e.Args[2])
		each(func(r *relay) { r.lose, r.double, r.delay, r.breaks = lose, double, delay, e.Args[3] == "cut" })
		return errors.Join(err1, err2, err3)
	case "slow":
		n, err := strconv.Atoi(e.Args[0])
		each(func(r *relay) { r.rate = n })
		return err
	}
	return nil
}

// forge says to a gateway's link what nobody with the key would.
func forge(addr string) {
	for _, what := range [][]byte{make([]byte, 100), []byte("GET / HTTP/1.1\r\n\r\n"), {0xff, 0xff, 0xff, 0xff}, append([]byte{0, 0, 0, 40}, make([]byte, 72)...)} {
		c, err := loopback.DialTimeout(addr, time.Second)
		if err != nil {
			return
		}
		_ = c.SetDeadline(time.Now().Add(300 * time.Millisecond))
		_, _ = c.Read(make([]byte, 64))
		_, _ = c.Write(what)
		_, _ = c.Read(make([]byte, 64))
		loopback.Close(c)
	}
}
