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

// buildLine returns the build command of the deployment file. TestMain runs it with another output path, so that the
// program under test is linked like the deployed one. It fails if the file has no build command.
func buildLine() (string, error) {
	text, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	found := regexp.MustCompile(`(?m)^build *= *"(.*)"`).FindSubmatch(text)
	if found == nil {
		return "", errors.New("deploy/balancer.toml has no build command")
	}
	return string(found[1]), nil
}

// The daemon must be dynamically linked. The platform's benchmark preloads a library into it (LD_PRELOAD), which only the
// dynamic linker does: a statically linked daemon starts without the library and is never measured.
func TestDaemonIsDynamicallyLinked(t *testing.T) {
	file, err := elf.Open(program)
	if err != nil {
		t.Fatal(err)
	}
	defer loopback.Close(file)
	if !slices.ContainsFunc(file.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }) {
		t.Error("the daemon has no dynamic linker entry (PT_INTERP), want a dynamically linked program")
	}
	libraries, err := file.ImportedLibraries()
	if err != nil || !slices.Contains(libraries, "libc.so.6") {
		t.Errorf("the daemon imports the libraries %v (error %v), want libc.so.6 among them", libraries, err)
	}
}
