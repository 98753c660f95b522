package test

import (
	"debug/elf"
	"errors"
	"os"
	"regexp"
	"slices"
	"testing"

	"larchusher/lab/loopback"
)

// buildLine returns the deploy file's build command, which TestMain runs with another place for the daemon: what is
// tested is linked as what is deployed.
func buildLine() (string, error) {
	text, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	found := regexp.MustCompile(`(?m)^build *= *"(.*)"`).FindSubmatch(text)
	if found == nil {
		return "", errors.New("deploy/balancer.toml: no build line")
	}
	return string(found[1]), nil
}

// The fleet's bench loads a library into the daemon (LD_PRELOAD), which only the dynamic linker does: a daemon linked
// statically starts without it and is played on no day.
func TestDaemonIsDynamicallyLinked(t *testing.T) {
	file, err := elf.Open(program)
	if err != nil {
		t.Fatal(err)
	}
	defer loopback.Close(file)
	if !slices.ContainsFunc(file.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }) {
		t.Error("the daemon names no dynamic linker (PT_INTERP): it is linked statically")
	}
	libraries, err := file.ImportedLibraries()
	if err != nil || !slices.Contains(libraries, "libc.so.6") {
		t.Errorf("the daemon needs the libraries %v (%v); libc.so.6 is not among them", libraries, err)
	}
}
