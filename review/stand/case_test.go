//go:build review

package main

import (
	"errors"
	"os/exec"
	"testing"
)

// TestSecondReviewCases runs the cases 6 to 10, each with its disruption, one after the other. It is in KNOWN-RED.txt.
func TestSecondReviewCases(t *testing.T) {
	for _, number := range []string{"6", "7", "8", "9", "10"} {
		t.Run(number, func(t *testing.T) {
			out, err := exec.CommandContext(t.Context(), "../"+number+"/run.sh").CombinedOutput()
			var ended *exec.ExitError
			switch {
			case errors.As(err, &ended) && ended.ExitCode() == 1:
				t.Errorf("the rule was broken: see review/%s/record.txt\n%s", number, out)
			case err != nil:
				t.Errorf("the case could not run: %v\n%s", err, out)
			}
		})
	}
}
