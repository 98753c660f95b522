package test

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// outputOf runs the program until it exits, or the test ends, and returns its output and its exit status. The variables
// env are added to the environment.
func outputOf(t *testing.T, env []string, args ...string) (text string, status int) {
	t.Helper()
	cmd := exec.CommandContext(t.Context(), program, args...)
	cmd.Env = append(os.Environ(), env...)
	out, _ := cmd.CombinedOutput() // the exit status is checked instead
	return string(out), cmd.ProcessState.ExitCode()
}

// Errors in the command line, the configuration file or the operator's file must make the program exit with an error that
// names the faulty word, file, line or key.
func TestStartErrorsNameCause(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "missing")
	invalid := filepath.Join(t.TempDir(), "broken.json")
	if err := os.WriteFile(invalid, []byte("{\n  \"listen\": \"127.0.0.1:1\",\n  \"journal\": 7\n}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	const usage = 80 // exit status for an error in the command line
	for name, c := range map[string]struct {
		env, args, want []string
		status          int
	}{
		"unknown sub-command":   {nil, []string{"severe"}, []string{`"severe" is no sub-command`, "serve", "work"}, usage},
		"unknown flag":          {nil, []string{"serve", "--operater", "x"}, []string{"--operater"}, usage},
		"no configuration":      {[]string{"BALANCER_CONFIG="}, nil, []string{"BALANCER_CONFIG is not set"}, 1},
		"missing configuration": {[]string{"BALANCER_CONFIG=" + missing}, nil, []string{"BALANCER_CONFIG", missing, "no such file"}, 1},
		"faulty configuration":  {[]string{"BALANCER_CONFIG=" + invalid}, nil, []string{invalid, "line 3", "journal"}, 1},
		"missing operator file": {nil, []string{"check", "--operator", missing}, []string{"operator's file", missing, "no such file"}, 1},
		"missing folder":        {nil, []string{"state", "show", "--folder", missing}, []string{missing, "no such file"}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			out, status := outputOf(t, c.env, c.args...)
			if status != c.status {
				t.Errorf("exit status %d, want %d", status, c.status)
			}
			for _, w := range c.want {
				if !strings.Contains(strings.ReplaceAll(out, `\"`, `"`), w) {
					t.Errorf("output lacks %q: %s", w, out)
				}
			}
		})
	}
}

// If a configured address is in use, the start error must name the address and its configuration key.
func TestAddressInUseErrorNamesKey(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // a test socket that is closed when the test ends
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = taken.Close() }() // closing a listener that accepted nothing loses no data
	addr := taken.Addr().String()
	operator := func(text string) func(*rig) {
		return func(r *rig) {
			path := filepath.Join(t.TempDir(), "operator.textproto")
			if err := os.WriteFile(path, []byte(fmt.Sprintf(text, addr)), 0o600); err != nil {
				t.Fatal(err)
			}
			r.args = []string{"serve", "--operator", path}
		}
	}
	for key, change := range map[string]func(*rig){
		"configuration key listen":  func(r *rig) { r.config["listen"] = addr },
		"configuration key console": func(r *rig) { r.config["console"] = addr },
		"health.http_listen":        operator("health { http_listen: %q }\n"),
		"health.agent_listen":       operator("health { agent_listen: %q }\n"),
		"metrics.listen":            operator("metrics { listen: %q }\n"),
	} {
		t.Run(key, func(t *testing.T) {
			r := newRig(t)
			change(r)
			out := r.startExpectingError(false)
			for _, want := range []string{key, addr, "address already in use"} {
				if !strings.Contains(out, want) {
					t.Errorf("output lacks %q: %s", want, out)
				}
			}
		})
	}
}
