package main

import (
	"bytes"
	"strings"
	"testing"
)

const settings = `{"classes":[{"name":"page","aimMs":250,"hardLimitMs":3000}],"dcs":["here"],"zone":"here",` +
	`"flavors":["box","origin"],"familyInfo":{"rootKind":1,"mayPassBy":true}}`

// runAdapter runs the adapter on input lines and returns its output and warnings.
func runAdapter(lines ...string) (out, warnings string, err error) {
	var o, n bytes.Buffer
	err = run(strings.NewReader(strings.Join(lines, "\n")), &o, &n)
	return o.String(), n.String(), err
}

func TestRequestIsForwarded(t *testing.T) {
	out, _, err := runAdapter(`{"tMs":1,"input":[]}`,
		`{"tMs":2,"input":[["enlist","d/1",1,`+settings+`],["defineList",0,[[0,null,"box","here","U",1,"n"]]],`+
			`["sync","d/1",0,"warm_copy",1],["demand","d/1","j","page",null,"o",900]]}`)
	lines := strings.Split(strings.TrimSpace(out), "\n")
	if err != nil || len(lines) != 2 || lines[0] != `{"cmds":[]}` ||
		!strings.Contains(lines[1], `["answerFrom","d/1","j",898,0,"n",0,2,"n"]`) {
		t.Errorf("error %v, want none; output, want two lines with a forwarded attempt in the second:\n%s", err, out)
	}
}

func TestInvalidSettingsAreReported(t *testing.T) {
	out, _, err := runAdapter(`{"tMs":2,"input":[["enlist","d/1",1,` + strings.Replace(settings, `"here",`, `"gone",`, 1) + `]]}`)
	if err != nil || !strings.Contains(out, `["bug","d/1","settings: Zone`) {
		t.Errorf("error %v, want none; output, want a report of the invalid Zone:\n%s", err, out)
	}
}

func TestInvalidLineEndsRunWithLineNumber(t *testing.T) {
	_, _, err := runAdapter(`{"tMs":1,"input":[]}`, `{"tMs":2,"input":[["expired","d/1"]]}`)
	if err == nil || !strings.Contains(err.Error(), "line 2: event 0, expired: job: missing") {
		t.Error(err)
	}
}

func TestUnknownEventIsReportedOnce(t *testing.T) {
	_, warnings, err := runAdapter(`{"tMs":1,"input":[["novel"],["novel"]]}`)
	if err != nil || strings.Count(warnings, "novel") != 1 {
		t.Error(err, warnings)
	}
}

func TestStoppedDirectorGetsNoEvents(t *testing.T) {
	out, _, err := runAdapter(`{"tMs":1,"input":[["enlist","d/1",1,` + settings + `],["teardown","d/1"],` +
		`["demand","d/1","j","page",null,"o",900]]}`)
	if err != nil || out != "{\"cmds\":[]}\n" {
		t.Error(err, out)
	}
}
