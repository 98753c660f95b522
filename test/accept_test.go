package test

import (
	"os/exec"
	"testing"
	"time"
)

// passingAcceptErrors are errors of accept(2) after which the listening socket still works: temporary shortages, and
// errors of the connection that was to be accepted.
var passingAcceptErrors = []string{
	"ENOBUFS", "ENOMEM", "EPROTO", "EPERM", "EMFILE", "ENFILE", "ECONNABORTED", "EINTR",
	"ENETDOWN", "ENOPROTOOPT", "EHOSTDOWN", "ENONET", "EHOSTUNREACH", "EOPNOTSUPP", "ENETUNREACH", "ETIMEDOUT",
}

// A failed accept must not stop the gateway from accepting. It once stopped for good after the first failure. Here every
// second accept fails, by strace's fault injection.
func TestDaemonServesAfterAcceptErrors(t *testing.T) {
	tracer, err := exec.LookPath("strace")
	if err != nil {
		t.Skip("strace, which injects the accept errors, is not installed; package transport tests the same without it")
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
					t.Errorf("request while accepts fail: answer %+v, want no error", a)
				}
			}
			if handledByRuntime := errno == "EINTR" || errno == "ECONNABORTED"; handledByRuntime {
				return
			}
			if n := r.counter("accept_failed_" + errno); n == 0 {
				t.Error("no accept failure was counted, want at least 1")
			}
		})
	}
}
