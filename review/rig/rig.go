//go:build review

// Package rig has the stand-ins of the review's cases: stores, the journal service, clients and the platform. It uses
// the standard library only, and every address is a loopback address.
package rig

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	Held   = 0 // the rule held
	Broken = 1 // the rule was broken
	NotRun = 2 // the case could not run
)

// maxDirBytes is the longest path of a temporary folder: the gateway's processes keep Unix sockets there, whose paths have
// 107 bytes at most.
const maxDirBytes = 60

// Case is one run of a case: its record, its temporary folder and the processes that it started.
type Case struct {
	Trouble bool   // whether the disruption takes place; TROUBLE=0 leaves it out
	Root    string // root of the repository
	Dir     string // temporary folder of this run

	start  time.Time
	mu     sync.Mutex
	record *os.File
	procs  []*Process
	broken []string
}

// NewCase starts a run whose record is written to the file record.txt in the folder of the case. The run ends with
// status 2 after the time limit.
func NewCase(folder string, limit time.Duration) *Case {
	root, err := filepath.Abs(filepath.Join(folder, "..", ".."))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	c := &Case{Trouble: os.Getenv("TROUBLE") != "0", Root: root, start: time.Now()}
	if c.record, err = os.Create(filepath.Join(folder, "record.txt")); err == nil {
		c.Dir, err = os.MkdirTemp("", "rv")
		if err == nil && len(c.Dir) > maxDirBytes {
			_ = os.Remove(c.Dir)
			c.Dir, err = os.MkdirTemp("/tmp", "rv")
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	c.Log("run with trouble=%v", c.Trouble)
	time.AfterFunc(limit, func() { c.Fail("the time limit of the run has passed") })
	return c
}

// Log writes a line to the record, with the time since the start of the run in seconds.
func (c *Case) Log(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	line := fmt.Sprintf("%8.3f  "+format+"\n", append([]any{time.Since(c.start).Seconds()}, args...)...)
	_, _ = c.record.WriteString(line)
}

// Break records that the rule was broken.
func (c *Case) Break(format string, args ...any) {
	c.mu.Lock()
	c.broken = append(c.broken, fmt.Sprintf(format, args...))
	c.mu.Unlock()
	c.Log("RULE BROKEN: "+format, args...)
}

// Check ends the run with status 2 if an error prevents it.
func (c *Case) Check(err error) {
	if err != nil {
		c.Fail("%v", err)
	}
}

// Fail ends the run with status 2: the case could not run.
func (c *Case) Fail(format string, args ...any) {
	c.Log("COULD NOT RUN: "+format, args...)
	c.end(NotRun)
}

// Finish ends the run with status 1 if the rule was broken, else 0.
func (c *Case) Finish() {
	status := Held
	if len(c.broken) > 0 {
		status = Broken
	}
	c.Log("result: %d of the checks failed", len(c.broken))
	c.end(status)
}

func (c *Case) end(status int) {
	for _, p := range c.procs {
		p.Kill()
		c.Log("log of %s:", p.Name)
		log, _ := os.ReadFile(p.logPath)
		for line := range strings.SplitSeq(strings.TrimSpace(string(log)), "\n") {
			c.Log("  %s", line)
		}
	}
	c.Log("exit status %d", status)
	_ = os.RemoveAll(c.Dir)
	os.Exit(status)
}

// Process is a gateway process, started by the line run of the deploy file.
type Process struct {
	Name    string
	Console string // address for operators

	c       *Case
	cmd     *exec.Cmd
	exited  chan struct{}
	logPath string
}

// runLine returns the command of the key run of the deploy file.
func (c *Case) runLine() string {
	data, err := os.ReadFile(filepath.Join(c.Root, "deploy", "balancer.toml"))
	c.Check(err)
	m := regexp.MustCompile(`(?m)^run *= *"(.*)"$`).FindSubmatch(data)
	if m == nil {
		c.Fail("deploy/balancer.toml has no line run")
	}
	return string(m[1])
}

// StartGateway starts a gateway process with a configuration file and an address for operators. Processes of one
// gateway get the same temporary folder.
func (c *Case) StartGateway(name, config, tmp string) *Process {
	c.Check(os.MkdirAll(tmp, 0o700))
	p := &Process{Name: name, Console: FreeAddr(c), c: c, exited: make(chan struct{}), logPath: filepath.Join(c.Dir, name+".log")}
	log, err := os.Create(p.logPath)
	c.Check(err)
	p.cmd = exec.Command("/bin/sh", "-c", c.runLine())
	p.cmd.Dir, p.cmd.Stdout, p.cmd.Stderr = c.Root, log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+config, "BALANCER_NAME=n0", "BALANCER_CONSOLE="+p.Console, "TMPDIR="+tmp)
	c.Check(p.cmd.Start())
	c.procs = append(c.procs, p)
	c.Log("started %s, process %d", name, p.cmd.Process.Pid)
	go func() {
		err := p.cmd.Wait()
		c.Log("%s has ended: %v", name, p.cmd.ProcessState)
		_ = err
		close(p.exited)
	}()
	return p
}

// AwaitReady waits until the process answers READY with ok.
func (p *Process) AwaitReady(limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if p.ask("READY") == "ok" {
			p.c.Log("%s is ready", p.Name)
			return
		}
	}
	p.c.Fail("%s was not ready within %v", p.Name, limit)
}

func (p *Process) ask(call string) string {
	conn, err := net.DialTimeout("tcp", p.Console, time.Second)
	if err != nil {
		return ""
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(conn, "%s\n", call)
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSpace(line)
}

// Signal sends the process a signal.
func (p *Process) Signal(s syscall.Signal) {
	p.c.Log("%v to %s", s, p.Name)
	_ = p.cmd.Process.Signal(s)
}

// Ended reports whether the process has ended.
func (p *Process) Ended() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// Kill ends the process and waits for its end.
func (p *Process) Kill() {
	if !p.Ended() {
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
}

// KillAfter ends the process with SIGKILL if it runs for longer than d from now.
func (p *Process) KillAfter(d time.Duration) {
	time.AfterFunc(d, func() {
		if !p.Ended() {
			p.Signal(syscall.SIGKILL)
		}
	})
}

// givenOut are the addresses that FreeAddr has returned.
var givenOut = map[string]bool{}

// FreeAddr returns an address for the gateway with a port that is free now, each time another one. Its loopback host
// is the run's own, so that neither the stand-ins, which listen on 127.0.0.1, nor another run can take the port before
// the gateway does.
func FreeAddr(c *Case) string {
	pid := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.%d", 1+pid>>14&127, pid>>7&127, 1+pid&127)
	for {
		l, err := net.Listen("tcp", host+":0")
		c.Check(err)
		addr := l.Addr().String()
		_ = l.Close()
		if !givenOut[addr] {
			givenOut[addr] = true
			return addr
		}
	}
}

// Settings returns the settings object of a small deployment: one location with one gateway, caches, a parent and the
// origin. change may alter it.
func Settings(change func(map[string]any)) map[string]any {
	const text = `{"balancers":1,"position":0,"dcs":["north","edge-1"],"zone":"edge-1","stepMs":2,"tier":0,"layers":["caches"],
 "callers":{"marksRetry":true},"countedBy":"request","family":"edge",
 "classes":[{"name":"films","aimMs":500,"aimStretch":2,"hardLimitMs":5000,"effect":"repeatable","dedupScope":"all","repeatWindowMs":5000,"value":2,"lateWorth":0.15,"streaming":false},
  {"name":"images","aimMs":400,"aimStretch":2,"hardLimitMs":2500,"effect":"repeatable","dedupScope":"all","repeatWindowMs":5000,"value":1,"lateWorth":0.2,"streaming":false},
  {"name":"orders","aimMs":600,"hardLimitMs":3000,"effect":"by_key","dedupScope":"all","repeatWindowMs":3000,"value":3,"lateWorth":0,"streaming":false}],
 "flavors":["box","parent","origin"],"discovery":"push","weightSource":"off",
 "familyInfo":{"countByZone":[0,1],"homeHub":[0,0],"inPieces":[true,false,false],"inletCost":0.06,"joins":true,"lifetimeByClassMs":[0,0,0],
  "mayPassBy":false,"neighbours":"any","neverKept":[false,false,true],"noticeTimeMs":1000,"oldCopyWorth":[0.7,0.7,0.7],"originFallMs":3000,
  "originFallMultiple":0,"parentColdFrom":0.083,"parentColdMs":22000,"purgeSettlesMs":6000,"rootKind":2,"says":"hit","shieldKind":1,
  "staleForMs":[0,0,0],"streamKbPerS":7200,"upperFallMultiple":2,"zoneLinkKbPerS":[0,65260]},
 "invariants":{"answerSlackMs":8,"askWithinMs":10000,"coldFrom":0.15,"overloadForMs":2000,"rampTimeMs":17000,"stopSendingWithinMs":2000,"tipMultiple":2.5},
 "limits":{"cancelling":true,"connectTimeoutMs":400,"cpuUsPerRequest":0,"cpuUsPerS":500000,"keepaliveMs":30000,"maxRetryAfterMs":2000,"mostHeld":20000,
  "peerMessages":true,"probing":false,"retryAfter":true,"secondCopies":true,"sendCap":8,"streamsPerConn":32},
 "loadInfo":{"fields":["busy_reqs","x1","x0"],"how":"inline"},"overShareWorth":0.1,"tenants":[]}`
	var s map[string]any
	if err := json.Unmarshal([]byte(text), &s); err != nil {
		panic(err)
	}
	if change != nil {
		change(s)
	}
	return s
}

// Deployment is what surrounds the gateway of a case.
type Deployment struct {
	Stores  map[string]*Store
	Journal *Journal
	Listen  string         // where clients connect
	Config  string         // path of the configuration file
	Tmp     string         // temporary folder of the gateway's processes
	Limits  map[string]any // of the gateway, as in the configuration

	c *Case
}

// NewDeployment starts caches c1, c2, ..., a parent p, the origin o and the journal service, and writes the
// configuration of the gateway.
func (c *Case) NewDeployment(caches int) *Deployment {
	d := &Deployment{Stores: map[string]*Store{}, c: c, Listen: FreeAddr(c), Config: filepath.Join(c.Dir, "config.json"), Tmp: filepath.Join(c.Dir, "t"),
		Limits: map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024}}
	for i := range caches {
		d.add(fmt.Sprintf("c%d", i+1), "box", "edge-1")
	}
	d.add("p", "parent", "north")
	d.add("o", "origin", "north")
	d.Journal = NewJournal(c, 1)
	d.WriteConfig(Settings(nil))
	return d
}

func (d *Deployment) add(name, kind, zone string) {
	d.Stores[name] = NewStore(d.c, name, kind, zone)
}

// Host returns a store as an entry of the list.
func (d *Deployment) Host(name, status string) map[string]any {
	s := d.Stores[name]
	return map[string]any{"name": name, "address": s.Addr, "zone": s.Zone, "type": s.Kind, "group": 1, "status": status, "weight": 1, "since_ms": 0}
}

// WriteConfig writes the configuration file of the gateway with these settings.
func (d *Deployment) WriteConfig(settings map[string]any) {
	var hosts []any
	for name := range d.Stores {
		hosts = append(hosts, name)
	}
	for i, name := range sorted(hosts) {
		hosts[i] = d.Host(name, "SERVING")
	}
	known := map[string]any{"pos": 1, "entries": []any{map[string]any{"pos": 1, "hosts": map[string]any{"index": 1, "snapshot": true, "endpoints": hosts}}}}
	if old, err := os.ReadFile(d.Config); err == nil { // the list of the start stays as it was
		var was map[string]any
		d.c.Check(json.Unmarshal(old, &was))
		known = was["known"].(map[string]any)
	}
	data, err := json.MarshalIndent(map[string]any{"name": "n0", "listen": d.Listen, "seed": "8c1f30d27a5be964", "journal": d.Journal.Addr,
		"limits": d.Limits, "known": known, "settings": settings}, "", " ")
	d.c.Check(err)
	d.c.Check(os.WriteFile(d.Config+".new", data, 0o600))
	d.c.Check(os.Rename(d.Config+".new", d.Config))
}

// ResidentKB returns the resident memory of the process, in kB; 0 if it can't be read.
func (p *Process) ResidentKB() int {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	for line := range strings.SplitSeq(string(status), "\n") {
		if f := strings.Fields(line); len(f) == 3 && f[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(f[1])
			return kb
		}
	}
	return 0
}
