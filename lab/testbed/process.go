package testbed

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Process is a program that is started, reached and ended: the one way in which tests and experiments do so.
type Process struct {
	Cmd *exec.Cmd
	Log *Log // what it writes to standard error

	exited chan error    // how it ended, once; then it is closed
	done   chan struct{} // closed once it has ended
}

// NewProcess returns a program with its arguments, and variables beside those of this process. It does not start it.
func NewProcess(program string, args, env []string) *Process {
	p := &Process{Cmd: exec.CommandContext(context.Background(), program, args...), Log: &Log{}, exited: make(chan error, 1), done: make(chan struct{})}
	p.Cmd.Env = append(os.Environ(), env...)
	p.Cmd.Stderr = p.Log
	return p
}

// Start starts the program on one core; negative: on any.
func (p *Process) Start(core int) error {
	if err := startPinned(p.Cmd, core); err != nil {
		return fmt.Errorf("starting %s: %w", p.Cmd.Path, err)
	}
	p.waitInBackground()
	return nil
}

// wait waits for the program's end beside the caller.
func (p *Process) waitInBackground() {
	cmd, exited, done := p.Cmd, p.exited, p.done
	go func() {
		exited <- cmd.Wait()
		close(exited)
		close(done)
	}()
}

// Exited tells how the program ended, once, and is closed then.
func (p *Process) Exited() <-chan error { return p.exited }

// Kill ends the program as a crash does. What its connections carried is lost.
func (p *Process) Kill() error {
	if err := p.Cmd.Process.Kill(); err != nil {
		return err
	}
	<-p.done
	return nil
}

// WaitExit waits until the program has ended by itself.
func (p *Process) WaitExit(ctx context.Context) error {
	select {
	case <-p.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Restart starts the program anew after Kill or Ended, with the same arguments and environment. It does not wait until it serves.
func (p *Process) Restart() error {
	old := p.Cmd
	p.Log.Reset()
	p.Cmd = exec.CommandContext(context.Background(), old.Path, old.Args[1:]...)
	p.Cmd.Env, p.Cmd.Stderr = old.Env, old.Stderr
	p.exited, p.done = make(chan error, 1), make(chan struct{})
	if err := p.Cmd.Start(); err != nil {
		close(p.done)
		return fmt.Errorf("starting %s again: %w", old.Path, err)
	}
	p.waitInBackground()
	return nil
}

// startPinned starts a command on one core, and keeps this process off it.
func startPinned(cmd *exec.Cmd, core int) error {
	if core < 0 {
		return cmd.Start()
	}
	runtime.LockOSThread() // the child inherits this thread's affinity
	defer runtime.UnlockOSThread()
	var own, others unix.CPUSet
	if err := unix.SchedGetaffinity(0, &others); err != nil {
		return err
	}
	own.Set(core)
	others.Clear(core)
	if others.Count() == 0 {
		return cmd.Start()
	}
	if err := unix.SchedSetaffinity(0, &own); err != nil {
		return fmt.Errorf("core %d: %w", core, err)
	}
	err := cmd.Start()
	tasks, _ := os.ReadDir("/proc/self/task")
	for _, t := range tasks {
		if id, e := strconv.Atoi(t.Name()); e == nil {
			_ = unix.SchedSetaffinity(id, &others)
		}
	}
	_ = unix.SchedSetaffinity(0, &others)
	return err
}

// WaitForLog waits until the program's log has a line with the text, and returns it.
func (p *Process) WaitForLog(ctx context.Context, text string) (string, error) {
	for {
		written := p.Log.nextWrite() // before the look, or what comes in between is missed
		if line := p.Log.Line(text); line != "" {
			return line, nil
		}
		select {
		case <-ctx.Done():
			return "", fmt.Errorf("the log never said %q: %w\n%s", text, ctx.Err(), p.Log.String())
		case <-p.done:
			return "", fmt.Errorf("the program ended\n%s", p.Log.String())
		case <-written:
		}
	}
}

// Counters asks the program for its counters.
func (p *Process) Counters(ctx context.Context) (map[string]float64, error) {
	p.Log.Reset()
	if err := p.Signal(syscall.SIGUSR1); err != nil {
		return nil, err
	}
	line, err := p.WaitForLog(ctx, "msg=counters")
	if err != nil {
		return nil, err
	}
	all := map[string]float64{}
	for f := range strings.FieldsSeq(line) {
		if k, v, ok := strings.Cut(f, "="); ok {
			if x, err := strconv.ParseFloat(strings.Trim(v, `"`), 64); err == nil {
				all[k] = x
			}
		}
	}
	return all, nil
}

// Signal sends the program a signal.
func (p *Process) Signal(s os.Signal) error { return p.Cmd.Process.Signal(s) }

// Pause stops the program for a while, as a host that stands still does.
func (p *Process) Pause(d time.Duration) error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(d)
	return p.Signal(syscall.SIGCONT)
}

// Usage is what a process has used.
type Usage struct {
	CPU    time.Duration
	PeakKB int // most memory held so far
	NowKB  int
	// Waited is how long its threads were ready to run and another process had the core.
	Waited time.Duration
}

// Usage reads what the program has used so far.
func (p *Process) Usage() (u Usage, err error) {
	dir := fmt.Sprintf("/proc/%d/", p.Cmd.Process.Pid)
	status, err := os.ReadFile(dir + "status")
	if err != nil {
		return u, err
	}
	for line := range strings.Lines(string(status)) {
		for name, to := range map[string]*int{"VmHWM:": &u.PeakKB, "VmRSS:": &u.NowKB} {
			if v, ok := strings.CutPrefix(line, name); ok {
				_, _ = fmt.Sscan(v, to)
			}
		}
	}
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return u, err
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	if f := strings.Fields(rest); len(f) > 13 {
		user, _ := strconv.Atoi(f[11])
		sys, _ := strconv.Atoi(f[12])
		u.CPU = time.Duration(user+sys) * 10 * time.Millisecond // ticks of USER_HZ, which is 100
	}
	u.Waited, err = cpuWait(dir)
	return u, err
}

// waitedForCore adds up, over a process's threads, how long each was ready to run and did not (the second field of schedstat,
// in nanoseconds).
func cpuWait(dir string) (total time.Duration, err error) {
	threads, err := filepath.Glob(dir + "task/*/schedstat")
	if err != nil {
		return 0, err
	}
	for _, path := range threads {
		line, err := os.ReadFile(path)
		if err != nil { // the thread has ended
			continue
		}
		var running, waiting int64
		if _, err := fmt.Sscan(string(line), &running, &waiting); err != nil {
			return 0, fmt.Errorf("reading %s: %w", path, err)
		}
		total += time.Duration(waiting)
	}
	return total, nil
}

// Stop kills the program, if it runs, and waits for its end. It may be called twice.
func (p *Process) Stop() {
	if p.Cmd.Process == nil {
		return
	}
	_ = p.Cmd.Process.Signal(syscall.SIGCONT) // one that is stopped may end as well
	_ = p.Cmd.Process.Kill()                  // it may have ended
	<-p.done
}

// Log is written by a process and read by others.
type Log struct {
	mu      sync.Mutex
	buf     bytes.Buffer
	written chan struct{}
}

// Write adds to the log.
func (l *Log) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.written != nil {
		close(l.written)
		l.written = nil
	}
	return l.buf.Write(p)
}

// grown is closed with the next write.
func (l *Log) nextWrite() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.written == nil {
		l.written = make(chan struct{})
	}
	return l.written
}

// Line returns the first line with the text, or none.
func (l *Log) Line(text string) string {
	s := bufio.NewScanner(strings.NewReader(l.String()))
	s.Buffer(nil, 1<<20)
	for s.Scan() {
		if strings.Contains(s.Text(), text) {
			return s.Text()
		}
	}
	return ""
}

func (l *Log) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// Reset empties the log.
func (l *Log) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.buf.Reset()
}
