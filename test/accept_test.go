package test

import (
	"os/exec"
	"testing"
	"time"
)

// The errors of accept(2) that are not of the listening socket: shortages that pass, and what befell a connection.
var passingAcceptErrors = []string{
	"ENOBUFS", "ENOMEM", "EPROTO", "EPERM", "EMFILE", "ENFILE", "ECONNABORTED", "EINTR",
	"ENETDOWN", "ENOPROTOOPT", "EHOSTDOWN", "ENONET", "EHOSTUNREACH", "EOPNOTSUPP", "ENETUNREACH", "ETIMEDOUT",
}

// The daemon was deaf for good after one accept that failed. Here every second one does.
func TestDaemonServesAfterAcceptErrors(t *testing.T) {
	tracer, err := exec.LookPath("strace")
	if err != nil {
		t.Skip("there is no strace to make accepts fail; package transport has the same test without it")
	}
	for _, errno := range passingAcceptErrors {
		t.Run(errno, func(t *testing.T) {
			r := newRig(t)
			r.setHandler(serveHit)
			r.args = []string{"-D", "-f", "-qq", "--seccomp-bpf", "-o", "/dev/null", "-e", "trace=accept4",
				"-e", "inject=accept4:error=" + errno + ":when=1+2", program}
			r.program = tracer
			r.start()
			for range 12 {
				c := r.client()
				c.send("images", object, 2*time.Second, "")
				if a := c.readAnswer(); a.err != "" {
					t.Errorf("%+v", a)
				}
			}
			if handledByRuntime := errno == "EINTR" || errno == "ECONNABORTED"; handledByRuntime {
				return
			}
			if n := r.counter("accept_failed_" + errno); n == 0 {
				t.Error("no failure is counted")
			}
		})
	}
}
