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

// inject carries out one event of the plot. It fails on a malformed argument and on an operation on a process or file that fails.
func (p *plotRun) inject(ctx context.Context, e Event) error {
	switch e.Kind {
	case "ask":
		p.requestWork(ctx, e.Args[0], p.gatewayNamed(e.Args[1]))
	case "kill":
		return p.kill(p.gatewayNamed(e.Args[0]), e.Args[1] == "lose")
	case "start":
		return p.restart(ctx, p.gatewayNamed(e.Args[0]))
	case "roll":
		return p.rollingRestart(ctx, p.gatewayNamed(e.Args[0]))
	case "stop":
		g := p.gatewayNamed(e.Args[0])
		g.clients.setGatewayDown(true)
		g.setUp(false)
		return g.testbed.Signal(syscall.SIGSTOP)
	case "cont":
		return p.resume(p.gatewayNamed(e.Args[0]))
	case "cut", "heal", "bad", "slow":
		return p.changeLinks(e)
	case "slowly":
		d, err := time.ParseDuration(e.Args[0])
		p.responseDelay.Store(int64(d))
		return err
	case "clock":
		return os.WriteFile(p.gatewayNamed(e.Args[0]).clockFile, []byte(e.Args[1]), 0o600)
	case "crash":
		m := p.machines[e.Args[0]]
		m.store.Close()
		p.announce(m, "DELETED")
	case "revive":
		return p.restartMachine(p.machines[e.Args[0]])
	case "purge":
		return p.purge(e.Args)
	case "drain":
		return p.drain(e.Args)
	case "forge":
		sendForged(p.gatewayNamed(e.Args[0]).clusterAddr)
	}
	return nil
}

// gatewayNamed returns the gateway with the given name, or the first gateway if no gateway has it.
func (p *plotRun) gatewayNamed(name string) *gatewayProcess {
	i := slices.IndexFunc(p.gateways, func(g *gatewayProcess) bool { return g.name == name })
	return p.gateways[max(0, i)]
}

// kill sends SIGKILL to a gateway. With lose, the folder of its stored state is deleted, too.
func (p *plotRun) kill(g *gatewayProcess, lose bool) error {
	g.clients.setGatewayDown(true)
	g.setUp(false)
	p.resetNotified(g, time.Now().Add(time.Hour)) // after any plot; restart sets the actual time
	if err := g.testbed.Kill(); err != nil {
		return err
	}
	if lose {
		return os.RemoveAll(g.folder)
	}
	return nil
}

// restart starts a gateway that was killed. It returns at once; another goroutine waits until the gateway serves.
func (p *plotRun) restart(ctx context.Context, g *gatewayProcess) error {
	if err := g.testbed.Restart(); err != nil {
		return err
	}
	p.wg.Go(func() {
		if _, err := g.testbed.WaitForLog(ctx, "msg=serving"); err != nil {
			p.violations.add("gateway %s did not serve after its restart: %v", g.name, err)
		}
		p.resetNotified(g, time.Now().Add(500*time.Millisecond))
		g.clients.setGatewayDown(false)
		g.setUp(true)
	})
	return nil
}

// rollingRestart ends a gateway by SIGTERM and starts it again, in another goroutine. Its clients pause until it has ended.
func (p *plotRun) rollingRestart(ctx context.Context, g *gatewayProcess) error {
	g.clients.setPaused(true) // as clients do once the gateway has announced its drain
	g.setUp(false)
	if err := g.testbed.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	p.wg.Go(func() {
		if err := g.testbed.WaitExit(ctx); err != nil {
			p.violations.add("gateway %s did not exit after SIGTERM: %v", g.name, err)
			return
		}
		g.clients.setPaused(false)
		if err := g.testbed.Restart(); err != nil {
			p.violations.add("gateway %s: restart failed: %v", g.name, err)
			return
		}
		if _, err := g.testbed.WaitForLog(ctx, "msg=serving"); err != nil {
			p.violations.add("gateway %s did not serve after its restart: %v", g.name, err)
		}
		g.setUp(true)
	})
	return nil
}

// resume sends SIGCONT to a stopped gateway. Its clients count lost requests as violations again 300 ms later.
func (p *plotRun) resume(g *gatewayProcess) error {
	if err := g.testbed.Signal(syscall.SIGCONT); err != nil {
		return err
	}
	p.resetNotified(g, time.Now().Add(time.Second)) // it reads only now what arrived while it was stopped
	p.wg.Go(func() {
		time.Sleep(300 * time.Millisecond)
		g.clients.setGatewayDown(false)
		g.setUp(true)
	})
	return nil
}

// changeLinks carries out the events on links between gateways: cut some; heal all; or make all of them drop,
// duplicate, delay, truncate or slow down frames. It fails on arguments that are not numbers or durations.
func (p *plotRun) changeLinks(e Event) error {
	each := func(change func(r *relay)) {
		for _, r := range p.relays {
			r.update(change)
		}
	}
	switch e.Kind {
	case "cut":
		for _, pair := range e.Args {
			if r := p.relays[pair]; r != nil {
				r.update(func(r *relay) { r.cut = true })
			}
		}
	case "heal":
		each(func(r *relay) {
			r.cut, r.lossRate, r.duplicateRate, r.maxDelay, r.truncates, r.bytesPerSecond = false, 0, 0, 0, false, 0
		})
	case "bad":
		lose, err1 := strconv.ParseFloat(e.Args[0], 64)
		double, err2 := strconv.ParseFloat(e.Args[1], 64)
		delay, err3 := time.ParseDuration(e.Args[2])
		each(func(r *relay) {
			r.lossRate, r.duplicateRate, r.maxDelay, r.truncates = lose, double, delay, e.Args[3] == "cut"
		})
		return errors.Join(err1, err2, err3)
	case "slow":
		n, err := strconv.Atoi(e.Args[0])
		each(func(r *relay) { r.bytesPerSecond = n })
		return err
	}
	return nil
}

// sendForged connects to a gateway's cluster address four times and sends bytes that no holder of the cluster key would:
// zeros, an HTTP request, a frame length of 4 GiB, and a frame with a wrong MAC. Errors are ignored: the gateway may
// close the connection at any time.
func sendForged(addr string) {
	for _, data := range [][]byte{make([]byte, 100), []byte("GET / HTTP/1.1\r\n\r\n"), {0xff, 0xff, 0xff, 0xff}, append([]byte{0, 0, 0, 40}, make([]byte, 72)...)} {
		c, err := loopback.DialTimeout(addr, time.Second)
		if err != nil {
			return
		}
		_ = c.SetDeadline(time.Now().Add(300 * time.Millisecond))
		_, _ = c.Read(make([]byte, 64))
		_, _ = c.Write(data)
		_, _ = c.Read(make([]byte, 64))
		loopback.Close(c)
	}
}
