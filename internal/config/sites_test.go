package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const repoRoot = "../.."

// Parse must take every value of the settings of each deployment in deploy/sites as it is in the file, and replace none with a
// default.
func TestSettingsOfVariantDeployments(t *testing.T) {
	files, err := filepath.Glob(repoRoot + "/deploy/sites/*.settings.json")
	if err != nil || len(files) < 2 {
		t.Fatalf("settings files of deploy/sites: %v, %v; want at least 2", files, err)
	}
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		var want struct {
			Balancers int
			Classes   []struct {
				Name                      string
				AimMs, HardLimitMs, Value float64
				Effect                    string
				RepeatWindowMs            float64
			}
			Limits     struct{ ConnectTimeoutMs, KeepaliveMs, MaxRetryAfterMs, StreamsPerConn, SendCap float64 }
			Invariants struct{ ColdFrom, OverloadForMs, RampTimeMs, StopSendingWithinMs, TipMultiple float64 }
			FamilyInfo struct{ NoticeTimeMs float64 }
		}
		if err := json.Unmarshal(raw, &want); err != nil {
			t.Fatal(err)
		}
		c, err := Parse([]byte(fmt.Sprintf(`{"listen":"127.0.0.1:1","journal":"127.0.0.1:2","settings":%s}`, raw)), Overrides{})
		if err != nil {
			t.Errorf("Parse of %s failed: %v", file, err)
			continue
		}
		ms := func(d interface{ Milliseconds() int64 }) float64 { return float64(d.Milliseconds()) }
		s := c.Settings
		for i, k := range want.Classes {
			got := s.Classes[i]
			effect := map[string]int{"repeatable": 0, "by_key": 1, "once": 2}[k.Effect]
			if got.Name != k.Name || ms(got.LatencyObjective) != k.AimMs || ms(got.Deadline) != k.HardLimitMs || got.PriorityWeight != k.Value ||
				int(got.Effect) != effect || ms(got.DedupWindow) != k.RepeatWindowMs {
				t.Errorf("%s: class %d is %+v, want the values of %+v", file, i, got, k)
			}
		}
		if len(s.Classes) != len(want.Classes) || s.Directors != want.Balancers || s.SlowStartInitialShare != want.Invariants.ColdFrom ||
			ms(s.OverloadWindow) != want.Invariants.OverloadForMs || ms(s.SlowStartDuration) != want.Invariants.RampTimeMs ||
			ms(s.DrainGrace) != want.Invariants.StopSendingWithinMs || s.OverloadMultiple != want.Invariants.TipMultiple ||
			ms(s.PurgeGrace) != want.FamilyInfo.NoticeTimeMs || ms(s.MaxRetryAfter) != want.Limits.MaxRetryAfterMs ||
			float64(s.MaxAttempts) != want.Limits.SendCap || float64(c.Sockets.StreamsPerConn) != want.Limits.StreamsPerConn ||
			ms(c.Sockets.ConnectTimeout) != want.Limits.ConnectTimeoutMs || ms(c.Sockets.KeepAlive) != want.Limits.KeepaliveMs {
			t.Errorf("%s: settings are %+v with the sockets %+v, want the values of %+v", file, s, c.Sockets, want)
		}
	}
}

// deploymentWords returns words that are specific to deployments: a fixed list for those that run the program, and for the
// variants in deploy/sites the names of the site and of its classes.
func deploymentWords(t *testing.T) (words []string) {
	words = []string{"ridge-assets", "cascade ridge", "kvist", "replay-video", "game-assets", "turn-submit", "mms-media",
		"templates", "send-order", "small-4to7", "small-box", "large-box", "edge-cache", "cache-fleet"}
	files, err := filepath.Glob(repoRoot + "/deploy/sites/*.settings.json")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		var settings struct{ Classes []struct{ Name string } }
		if err := json.Unmarshal(raw, &settings); err != nil {
			t.Fatal(err)
		}
		words = append(words, strings.TrimSuffix(filepath.Base(file), ".settings.json"))
		for _, c := range settings.Classes {
			words = append(words, c.Name)
		}
	}
	return words
}

// forEachText calls f with each comment and each string literal of a Go file, except import paths.
func forEachText(path string, text []byte, f func(found string)) error {
	file, err := parser.ParseFile(token.NewFileSet(), path, text, parser.ParseComments)
	if err != nil {
		return err
	}
	for _, g := range file.Comments {
		f(g.Text())
	}
	var unquoteErr error
	ast.Inspect(file, func(n ast.Node) bool {
		if _, ok := n.(*ast.ImportSpec); ok {
			return false
		}
		if l, ok := n.(*ast.BasicLit); ok && l.Kind == token.STRING {
			s, err := strconv.Unquote(l.Value)
			unquoteErr = errors.Join(unquoteErr, err)
			f(s)
		}
		return true
	})
	return unquoteErr
}

// The program must not be tailored to a deployment: neither deploy/balancer.toml nor a comment or string of the code outside
// tests may name a class, a site or an operator of one.
func TestNothingIsFittedToADeployment(t *testing.T) {
	words := deploymentWords(t)
	for i, w := range words {
		words[i] = regexp.QuoteMeta(w)
	}
	deploymentName := regexp.MustCompile(`(?i)(^|[^a-z0-9])(` + strings.Join(words, "|") + `)([^a-z0-9]|$)`)
	check := func(where, text string) {
		if m := deploymentName.FindStringSubmatch(text); m != nil {
			t.Errorf("%s contains the name %q of a deployment: %.80q", where, m[2], text)
		}
	}
	deploy, err := os.ReadFile(repoRoot + "/deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	check("deploy/balancer.toml", string(deploy))
	filesRead := 0
	err = filepath.WalkDir(repoRoot, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		rel, _ := filepath.Rel(repoRoot, path)
		if d.IsDir() {
			if slices.Contains([]string{".git", "bin", "journal"}, rel) {
				return filepath.SkipDir
			}
			return nil
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		filesRead++
		return forEachText(path, text, func(found string) { check(rel, found) })
	})
	if err != nil || filesRead < 50 {
		t.Errorf("%d Go files were checked, want at least 50; error: %v", filesRead, err)
	}
}
