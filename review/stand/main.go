//go:build review

// Command stand plays the cases of the second review: small stand-ins of clients, stores and the platform, and the project's own
// gateway, started by the deploy file's line run. It is started from the root of the repository with the number of a case.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

var (
	scratch string // a temporary folder
	trouble = os.Getenv("TROUBLE") != "0"

	mu     sync.Mutex
	record *os.File
	ends   []func()
	begun  = time.Now()
)

// note writes a line to record.txt.
func note(format string, args ...any) {
	mu.Lock()
	defer mu.Unlock()
	fmt.Fprintf(record, "%8.3f %s\n", time.Since(begun).Seconds(), fmt.Sprintf(format, args...))
}

func atEnd(f func()) {
	mu.Lock()
	defer mu.Unlock()
	ends = append(ends, f)
}

// finish ends all processes and exits.
func finish(status int) {
	mu.Lock()
	all := ends
	ends = nil
	mu.Unlock()
	for _, f := range all {
		f()
	}
	note("exit status %d", status)
	if os.Getenv("REVIEW_KEEP") == "" {
		_ = os.RemoveAll(scratch)
	}
	os.Exit(status)
}

func fatal(err error) {
	if err != nil {
		note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		finish(2)
	}
}

// verdict exits with 1 if something broke the rule.
func verdict(broken []string) {
	for _, b := range broken {
		note("BROKEN: %s", b)
		fmt.Println("BROKEN:", b)
	}
	if len(broken) > 0 {
		finish(1)
	}
	note("the rule held")
	fmt.Println("the rule held")
	finish(0)
}

func main() {
	number := ""
	if len(os.Args) > 1 {
		number = os.Args[1]
	}
	play := cases[number]
	if play == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE")
		os.Exit(2)
	}
	name := filepath.Join("review", number, "record.txt")
	if _, err := os.Stat(filepath.Dir(name)); err != nil { // a trial, which is no case
		name = filepath.Join("bin", "review-"+number+".txt")
	}
	var err error
	if record, err = os.Create(name); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if scratch, err = os.MkdirTemp("", "review"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	time.AfterFunc(110*time.Second, func() { fatal(fmt.Errorf("over 110 s")) })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() { fatal(fmt.Errorf("ended by %v", <-signals)) }()
	note("case %s, trouble: %v", number, trouble)
	play()
}
