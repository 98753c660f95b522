//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// settings are those of a small deployment such as the first deployment, with the names and figures of the pages.
const settings = `{"balancers":1,"position":0,"dcs":["north","edge-1"],"zone":"edge-1","stepMs":2,
 "classes":[{"name":"films","aimMs":500,"aimStretch":2,"dedupScope":"all","effect":"repeatable","hardLimitMs":5000,"lateWorth":0.15,"repeatWindowMs":5000,"streaming":false,"value":2},
  {"name":"images","aimMs":400,"aimStretch":2,"dedupScope":"all","effect":"repeatable","hardLimitMs":2500,"lateWorth":0.2,"repeatWindowMs":5000,"streaming":false,"value":1},
  {"name":"orders","aimMs":600,"dedupScope":"all","effect":"by_key","hardLimitMs":3000,"lateWorth":0,"repeatWindowMs":3000,"streaming":false,"value":3}],
 "callers":{"marksRetry":true},"countedBy":"request","discovery":"push","family":"edge","flavors":["box","parent","origin"],"weightSource":"off",
 "familyInfo":{"countByZone":[0,1],"homeHub":[0,0],"inPieces":[true,false,false],"inletCost":0.06,"joins":true,"lifetimeByClassMs":[0,0,0],"mayPassBy":false,
  "neighbours":"any","neverKept":[false,false,true],"noticeTimeMs":1000,"oldCopyWorth":[0.7,0.7,0.7],"parentColdFrom":0.083,"parentColdMs":22000,
  "purgeSettlesMs":6000,"rootKind":2,"says":"hit","shieldKind":1,"staleForMs":[0,0,0],"streamKbPerS":7200,"upperFallMultiple":2,"zoneLinkKbPerS":[0,65260]},
 "invariants":{"answerSlackMs":8,"askWithinMs":10000,"coldFrom":0.15,"overloadForMs":2000,"rampTimeMs":17000,"stopSendingWithinMs":2000,"tipMultiple":2.5},
 "layers":["edge"],"tenants":[],"tier":0,
 "limits":{"cancelling":true,"connectTimeoutMs":400,"keepaliveMs":30000,"maxRetryAfterMs":2000,"mostHeld":20000,"peerMessages":false,"probing":false,
  "retryAfter":true,"secondCopies":true,"sendCap":8,"streamsPerConn":32},
 "loadInfo":{"fields":["busy_reqs","x1","x0"],"how":"inline"}}`

// secondDeployment are those of a small deployment such as the second deployment.
const secondDeployment = `{"balancers":1,"position":0,"dcs":["nord","edge-1"],"zone":"edge-1","stepMs":2,
 "classes":[{"name":"media","aimMs":400,"aimStretch":1.6,"dedupScope":"all","effect":"repeatable","hardLimitMs":5000,"lateWorth":0.15,"repeatWindowMs":5000,"streaming":false,"value":2},
  {"name":"forms","aimMs":400,"aimStretch":2,"dedupScope":"all","effect":"repeatable","hardLimitMs":3000,"lateWorth":0.2,"repeatWindowMs":3000,"streaming":false,"value":1},
  {"name":"batches","aimMs":600,"dedupScope":"all","effect":"by_key","hardLimitMs":3000,"lateWorth":0,"repeatWindowMs":2000,"streaming":false,"value":3}],
 "callers":{"marksRetry":false},"countedBy":"request","discovery":"push","family":"edge","flavors":["box","parent","origin"],"weightSource":"nominal",
 "familyInfo":{"countByZone":[0,1],"homeHub":[0,0],"inPieces":[false,false,false],"inletCost":0.04,"joins":true,"lifetimeByClassMs":[0,8000,0],"mayPassBy":true,
  "neighbours":"location","neverKept":[false,false,true],"noticeTimeMs":500,"oldCopyWorth":[0.7,0.7,0.7],"parentColdFrom":0.079,"parentColdMs":22000,
  "purgeSettlesMs":6000,"rootKind":2,"says":"off","shieldKind":1,"staleForMs":[0,0,0],"streamKbPerS":7200,"upperFallMultiple":2,"zoneLinkKbPerS":[0,0]},
 "invariants":{"answerSlackMs":8,"askWithinMs":10000,"coldFrom":0.19,"overloadForMs":1000,"rampTimeMs":15000,"stopSendingWithinMs":2000,"tipMultiple":2},
 "layers":["edge"],"tenants":[],"tier":0,
 "limits":{"cancelling":true,"connectTimeoutMs":400,"keepaliveMs":15000,"maxRetryAfterMs":500,"mostHeld":20000,"peerMessages":false,"probing":true,
  "retryAfter":true,"secondCopies":false,"sendCap":6,"streamsPerConn":100},
 "loadInfo":{"fields":["cpu_share","x1","x0"],"how":"inline"}}`

// gateway is a process that the deploy file's line run starts.
type gateway struct {
	listen, signed, agent, console, config string
	limits                                 map[string]any
	env                                    []string
	cmd                                    *exec.Cmd
	exited                                 chan struct{}
}

// freeAddr returns an address that is free now, on a host of loopback that no other process uses: the ports of 127.0.0.1 may be
// taken by outgoing connections until the gateway listens.
func freeAddr() string {
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.77:0", 64+os.Getpid()%100, os.Getpid()/100%250))
	fatal(err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// runLine is the command of the deploy file that starts a gateway.
func runLine() string {
	b, err := os.ReadFile("deploy/balancer.toml")
	fatal(err)
	for line := range strings.Lines(string(b)) {
		if v, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Trim(strings.TrimSpace(v), `"`)
		}
	}
	fatal(errors.New("deploy/balancer.toml has no line run"))
	return ""
}

const edgeSecret = "7b1f0c55a9d24e6f8c3a5d7e9f1b2c4d"

// newGateway writes the files of a gateway. known is its list of stores at the start.
func newGateway(journalAddr, known string) *gateway {
	g := &gateway{listen: freeAddr(), signed: freeAddr(), agent: freeAddr(), console: freeAddr()}
	g.limits = map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024}
	g.config = filepath.Join(scratch, "config.json")
	g.writeConfig(journalAddr, known, settings)
	operator := filepath.Join(scratch, "operator.textproto")
	fatal(os.WriteFile(operator, fmt.Appendf(nil, `signed_front {
  listen: %q
  base: "https://assets.north.example"
  leeway: "0s"
  key { id: "edge" form: "edge-auth" secret_env: "REVIEW_EDGE_KEY" }
}
health { agent_listen: %q }
`, g.signed, g.agent), 0o600))
	tmp := filepath.Join(scratch, "tmp")
	fatal(os.MkdirAll(tmp, 0o700))
	g.env = append(os.Environ(), "BALANCER_NAME=n0", "BALANCER_LISTEN="+g.listen, "BALANCER_CONFIG="+g.config, "BALANCER_OPERATOR="+operator,
		"REVIEW_EDGE_KEY="+edgeSecret, "TMPDIR="+tmp)
	return g
}

func (g *gateway) writeConfig(journalAddr, known, settings string) {
	b, err := json.Marshal(map[string]any{"name": "n0", "listen": g.listen, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()), "journal": journalAddr,
		"limits": g.limits, "known": json.RawMessage(known), "settings": json.RawMessage(settings)})
	fatal(err)
	fatal(os.WriteFile(g.config+".new", b, 0o600))
	fatal(os.Rename(g.config+".new", g.config))
}

// start runs the line run of the deploy file, and waits until the gateway takes clients.
func (g *gateway) start() {
	g.launch()
	g.awaitReady()
}

// launch runs the line run of the deploy file.
func (g *gateway) launch() {
	g.cmd = exec.Command("/bin/sh", "-c", runLine())
	g.cmd.Env = append(g.env, "BALANCER_CONSOLE="+g.console)
	logFile, err := os.OpenFile(filepath.Join(scratch, "gateway.log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	fatal(err)
	g.cmd.Stdout, g.cmd.Stderr = logFile, logFile
	fatal(g.cmd.Start())
	cmd, exited := g.cmd, make(chan struct{})
	g.exited = exited
	atEnd(func() { _ = cmd.Process.Kill(); <-exited })
	go func() {
		err := cmd.Wait()
		note("gateway %d ended: %v", cmd.Process.Pid, err)
		close(exited)
	}()
	note("gateway %d: started by %q", cmd.Process.Pid, runLine())
}

// awaitReady waits until the gateway takes clients.
func (g *gateway) awaitReady() {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if g.ask("READY") == "ok" {
			note("gateway %d: READY ok", g.cmd.Process.Pid)
			return
		}
	}
	fatal(errors.New("the gateway is not ready within 20 s"))
}

// ask sends a line to the second address and returns the first line of the reply; empty: none.
func (g *gateway) ask(line string) string { return oneLine(g.console, line+"\n") }

// oneLine connects, says something and returns the first line that comes; empty: none within a second.
func oneLine(addr, say string) string {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return ""
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	if _, err := io.WriteString(c, say); err != nil {
		return ""
	}
	text, _ := bufio.NewReader(c).ReadString('\n')
	return strings.TrimSpace(text)
}

func (g *gateway) signal(s syscall.Signal) {
	note("gateway %d: %v", g.cmd.Process.Pid, s)
	fatal(g.cmd.Process.Signal(s))
}
