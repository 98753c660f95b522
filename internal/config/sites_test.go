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

const root = "../.."

// The settings that follow from each deployment of deploy/sites are taken whole: each class with its own figures, and
// none of them a default's.
func TestSettingsOfOtherDeployments(t *testing.T) {
	files, err := filepath.Glob(root + "/deploy/sites/*.settings.json")
	if err != nil || len(files) < 2 {
		t.Fatalf("%v, %v", files, err)
	}
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		var told struct {
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
		if err := json.Unmarshal(raw, &told); err != nil {
			t.Fatal(err)
		}
		c, err := Parse([]byte(fmt.Sprintf(`{"listen":"127.0.0.1:1","journal":"127.0.0.1:2","settings":%s}`, raw)), Overrides{})
		if err != nil {
			t.Errorf("%s: %v", file, err)
			continue
		}
		ms := func(d interface{ Milliseconds() int64 }) float64 { return float64(d.Milliseconds()) }
		s := c.Settings
		for i, k := range told.Classes {
			got := s.Classes[i]
			effect := map[string]int{"repeatable": 0, "by_key": 1, "once": 2}[k.Effect]
			if got.Name != k.Name || ms(got.LatencyObjective) != k.AimMs || ms(got.Deadline) != k.HardLimitMs || got.PriorityWeight != k.Value ||
				int(got.Effect) != effect || ms(got.DedupWindow) != k.RepeatWindowMs {
				t.Errorf("%s: class %d: %+v of %+v", file, i, got, k)
			}
		}
		if len(s.Classes) != len(told.Classes) || s.Directors != told.Balancers || s.SlowStartInitialShare != told.Invariants.ColdFrom ||
			ms(s.OverloadWindow) != told.Invariants.OverloadForMs || ms(s.SlowStartDuration) != told.Invariants.RampTimeMs ||
			ms(s.DrainGrace) != told.Invariants.StopSendingWithinMs || s.OverloadMultiple != told.Invariants.TipMultiple ||
			ms(s.PurgeGrace) != told.FamilyInfo.NoticeTimeMs || ms(s.MaxRetryAfter) != told.Limits.MaxRetryAfterMs ||
			float64(s.MaxAttempts) != told.Limits.SendCap || float64(c.Sockets.StreamsPerConn) != told.Limits.StreamsPerConn ||
			ms(c.Sockets.ConnectTimeout) != told.Limits.ConnectTimeoutMs || ms(c.Sockets.KeepAlive) != told.Limits.KeepaliveMs {
			t.Errorf("%s: %+v, %+v of %+v", file, s, c.Sockets, told)
		}
	}
}

// named are words of deployments: of those that run the program, and of the variants. Of a variant they are read from
// its settings.
func named(t *testing.T) (words []string) {
	words = []string{"ridge-assets", "cascade ridge", "kvist", "replay-video", "game-assets", "turn-submit", "mms-media",
		"templates", "send-order", "small-4to7", "small-box", "large-box", "edge-cache", "cache-fleet"}
	files, err := filepath.Glob(root + "/deploy/sites/*.settings.json")
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		var told struct{ Classes []struct{ Name string } }
		if err := json.Unmarshal(raw, &told); err != nil {
			t.Fatal(err)
		}
		words = append(words, strings.TrimSuffix(filepath.Base(file), ".settings.json"))
		for _, c := range told.Classes {
			words = append(words, c.Name)
		}
	}
	return words
}

// eachText calls f with each comment and each string of a file, but for imports.
func eachText(path string, text []byte, f func(found string)) error {
	file, err := parser.ParseFile(token.NewFileSet(), path, text, parser.ParseComments)
	if err != nil {
		return err
	}
	for _, g := range file.Comments {
		f(g.Text())
	}
	var unreadable error
	ast.Inspect(file, func(n ast.Node) bool {
		if _, ok := n.(*ast.ImportSpec); ok {
			return false
		}
		if l, ok := n.(*ast.BasicLit); ok && l.Kind == token.STRING {
			s, err := strconv.Unquote(l.Value)
			unreadable = errors.Join(unreadable, err)
			f(s)
		}
		return true
	})
	return unreadable
}

// No class, site or operator of a deployment is named in the deploy file, nor in a string or comment of the code. Tests
// may.
func TestNothingIsFittedToADeployment(t *testing.T) {
	words := named(t)
	for i, w := range words {
		words[i] = regexp.QuoteMeta(w)
	}
	anyName := regexp.MustCompile(`(?i)(^|[^a-z0-9])(` + strings.Join(words, "|") + `)([^a-z0-9]|$)`)
	check := func(where, text string) {
		if m := anyName.FindStringSubmatch(text); m != nil {
			t.Errorf("%s names %q: %.80q", where, m[2], text)
		}
	}
	deploy, err := os.ReadFile(root + "/deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	check("deploy/balancer.toml", string(deploy))
	seen := 0
	err = filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		rel, _ := filepath.Rel(root, path)
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
		seen++
		return eachText(path, text, func(found string) { check(rel, found) })
	})
	if err != nil || seen < 50 {
		t.Errorf("%d files were read: %v", seen, err)
	}
}
