//go:build review

package main

import (
	"os/exec"
	"testing"
)

// TestReviewUpgradeLosesRequestsBehindKeptInput runs the case of this folder, with its disruption. It is in KNOWN-RED.txt.
func TestReviewUpgradeLosesRequestsBehindKeptInput(t *testing.T) {
	if out, err := exec.CommandContext(t.Context(), "./run.sh").CombinedOutput(); err != nil {
		t.Fatalf("%v: see record.txt\n%s", err, out)
	}
}
