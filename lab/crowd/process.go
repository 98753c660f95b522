package crowd

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
)

// specVariable is the environment variable with the Spec of a crowd that a process is to play.
const specVariable = "LARCHUSHER_CROWD"

// processCores is how many cores the process of a crowd uses at most, so that the others are left to the well-behaved client
// and the stores.
const processCores = 4

// Process is a crowd in a process of its own, so that it does not take the processor from the well-behaved client.
type Process struct {
	cmd   *exec.Cmd
	stdin io.Closer
	out   *json.Decoder
}

// StartProcess starts a program that calls Main, such as the calling one, and has it play a crowd.
func StartProcess(program string, spec Spec) (*Process, error) {
	text, err := json.Marshal(spec)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(program) //nolint:noctx // the process ends with its standard input
	cmd.Env = append(os.Environ(), specVariable+"="+string(text))
	cmd.Stderr = os.Stderr
	stdin, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("crowd: %w", err)
	}
	return &Process{cmd: cmd, stdin: stdin, out: json.NewDecoder(out)}, nil
}

// Stop ends the crowd and its process, and returns what the crowd has done and seen.
func (p *Process) Stop() (counts Counts, err error) {
	_ = p.stdin.Close() // the process ends; if it has ended before, the next call fails
	if err := p.out.Decode(&counts); err != nil {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
		return counts, fmt.Errorf("crowd: reading the counts: %w", err)
	}
	return counts, p.cmd.Wait()
}

// Main plays a crowd if this process was started by StartProcess, and reports whether it was.
func Main() bool {
	text := os.Getenv(specVariable)
	if text == "" {
		return false
	}
	runtime.GOMAXPROCS(min(processCores, runtime.NumCPU()))
	var spec Spec
	if err := json.Unmarshal([]byte(text), &spec); err != nil {
		fmt.Fprintf(os.Stderr, "crowd: %s: %v\n", specVariable, err)
		os.Exit(1)
	}
	c := Start(spec)
	_, _ = io.Copy(io.Discard, os.Stdin) // until StartProcess's side closes it or ends
	c.Stop()
	if err := json.NewEncoder(os.Stdout).Encode(c.Counts()); err != nil {
		os.Exit(1)
	}
	return true
}
