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

// Process runs a program as a child process. All tests and experiments start, signal and stop programs through it.
type Process struct {
	Cmd *exec.Cmd
	Log *Log // standard error of the program

	exited chan error    // receives the result of Cmd.Wait once, then is closed
	done   chan struct{} // closed after the program has exited
}

// NewProcess prepares a program with arguments and with env added to the environment of the calling process. It does
// not start the program.
func NewProcess(program string, args, env []string) *Process {
	p := &Process{Cmd: exec.CommandContext(context.Background(), program, args...), Log: &Log{}, exited: make(chan error, 1), done: make(chan struct{})}
	p.Cmd.Env = append(os.Environ(), env...)
	p.Cmd.Stderr = p.Log
	return p
}

// Start starts the program pinned to the given core; a negative core means no pinning.
func (p *Process) Start(core int) error {
	if err := startPinned(p.Cmd, core); err != nil {
		return fmt.Errorf("starting %s: %w", p.Cmd.Path, err)
	}
	p.waitInBackground()
	return nil
}

// waitInBackground reports the program's exit on the exited and done channels from a goroutine.
func (p *Process) waitInBackground() {
	cmd, exited, done := p.Cmd, p.exited, p.done
	go func() {
		exited <- cmd.Wait()
		close(exited)
		close(done)
	}()
}

// Exited returns a channel that receives the result of Cmd.Wait once, when the program exits, and is then closed.
func (p *Process) Exited() <-chan error { return p.exited }

// Kill ends the program with SIGKILL, like a crash, and waits for its exit. Data in flight on its connections is lost.
func (p *Process) Kill() error {
	if err := p.Cmd.Process.Kill(); err != nil {
		return err
	}
	<-p.done
	return nil
}

// WaitExit waits until the program has exited on its own. It returns the context's error if ctx ends first.
func (p *Process) WaitExit(ctx context.Context) error {
	select {
	case <-p.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Restart starts the program again, with the same arguments and environment and an empty log, after it has exited. It
// does not wait until the program serves, and does not pin it to a core.
func (p *Process) Restart() error {
	old := p.Cmd
	p.Log.Reset()
	p.Cmd = exec.CommandContext(context.Background(), old.Path, old.Args[1:]...)
	p.Cmd.Env, p.Cmd.Stderr = old.Env, old.Stderr
	p.exited, p.done = make(chan error, 1), make(chan struct{})
	if err := p.Cmd.Start(); err != nil {
		close(p.done)
		return fmt.Errorf("restarting %s: %w", old.Path, err)
	}
	p.waitInBackground()
	return nil
}

// startPinned starts a command on one core and moves all threads of the calling process off that core. A negative core
// means no pinning; where no other core is left, the command is started unpinned.
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
		return fmt.Errorf("setting the CPU affinity to core %d: %w", core, err)
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

// WaitForLog waits until a line of the program's log contains the text, and returns the first such line. It fails when
// ctx ends or the program exits.
func (p *Process) WaitForLog(ctx context.Context, text string) (string, error) {
	for {
		written := p.Log.nextWrite() // taken before the search, so that no write in between is missed
		if line := p.Log.Line(text); line != "" {
			return line, nil
		}
		select {
		case <-ctx.Done():
			return "", fmt.Errorf("no log line with %q: %w\n%s", text, ctx.Err(), p.Log.String())
		case <-p.done:
			return "", fmt.Errorf("the program exited; its log:\n%s", p.Log.String())
		case <-written:
		}
	}
}

// Counters sends SIGUSR1, waits for the log line with the counters and returns its numeric fields. It empties the log
// first.
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

// Pause stops the program with SIGSTOP for d and resumes it, like a host that runs nothing for that time.
func (p *Process) Pause(d time.Duration) error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(d)
	return p.Signal(syscall.SIGCONT)
}

// Usage is the resource usage of a process since its start.
type Usage struct {
	CPU    time.Duration // user and system time
	PeakKB int           // largest resident set so far, in kB
	NowKB  int           // current resident set, in kB
	// Waited is the sum over its threads of the time spent runnable without a core.
	Waited time.Duration
}

// Usage reads the program's resource usage from /proc.
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
		u.CPU = time.Duration(user+sys) * 10 * time.Millisecond // /proc counts in ticks of USER_HZ, 100 per second
	}
	u.Waited, err = cpuWait(dir)
	return u, err
}

// cpuWait sums over a process's threads the time that each was runnable without a core: the second field of schedstat,
// in nanoseconds. dir is the process's /proc directory with a trailing slash.
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

// Stop kills the program if it is running and waits for its exit. It may be called more than once.
func (p *Process) Stop() {
	if p.Cmd.Process == nil {
		return
	}
	_ = p.Cmd.Process.Signal(syscall.SIGCONT) // resumes a program that was stopped by Pause
	_ = p.Cmd.Process.Kill()                  // fails if the program has already exited
	<-p.done
}

// Log collects the output of a process. It is safe for concurrent use.
type Log struct {
	mu      sync.Mutex // guards the fields below
	buf     bytes.Buffer
	written chan struct{}
}

// Write appends p to the log and wakes those that wait for the next write.
func (l *Log) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.written != nil {
		close(l.written)
		l.written = nil
	}
	return l.buf.Write(p)
}

// nextWrite returns a channel that is closed by the next Write.
func (l *Log) nextWrite() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.written == nil {
		l.written = make(chan struct{})
	}
	return l.written
}

// Line returns the first line that contains the text, or an empty string.
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

// String returns the log's text since the latest Reset.
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
