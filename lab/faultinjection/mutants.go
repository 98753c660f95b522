package faultinjection

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// Mutant is a variant of the gateway's program in which one rule is disabled. Mutants test the checks of this package: a check
// that never fails proves nothing, so each mutant must cause a violation in some plot.
type Mutant struct {
	Name string // the rule as it is broken
	File string // source file, relative to the repository
	Old  string // text that must occur exactly once in File
	New  string // replaces Old
	Plot string // name of a plot of NamedPlots to run first, if Text is empty; may be empty
	Text string // text form of a plot to run first; may be empty
}

// cutBeforeRequests cuts gateway g2 off from the others before maintenance of two machines is requested.
const cutBeforeRequests = `plot seed 401 gateways 3 boxes 4 for 12s
at 1.5s cut g2>g0 g2>g1 g0>g2 g1>g2
at 1.7s ask b0-0 g0
at 1.8s ask b1-0 g1
at 8s heal`

// tooManyRequests requests maintenance of more machines than may be out at once.
const tooManyRequests = `plot seed 402 gateways 3 boxes 12 for 12s
at 1s ask b0-0 g0
at 1s ask b0-1 g1
at 1s ask b0-2 g2
at 1s ask b0-3 g0
at 1s ask b1-0 g1
at 1s ask b1-1 g2
at 1s ask b1-2 g0
at 1s ask b1-3 g1
at 9s heal`

// splitVoters partitions the three voters into one and two, and heals that, while maintenance is requested on both sides.
const splitVoters = `plot seed 403 gateways 3 boxes 8 for 12s
at 1.5s cut g0>g1 g0>g2 g1>g0 g2>g0
at 1.6s ask b0-0 g0
at 1.7s ask b1-0 g1
at 2s ask b0-1 g0
at 2.2s ask b1-1 g2
at 5s heal
at 9s heal`

// Mutants lists the rules whose absence the plots must detect. The rule that one parent must stay in service is not among
// them: the limits on the share of a zone and on the load of the parents enforce it even without that rule.
var Mutants = []Mutant{
	{Name: "a drain begins though a gateway has not heard of the grant", File: "maintenance/advance.go", Old: "if g.NotifiedEpoch < grantEpoch {", New: "if false && g.NotifiedEpoch < grantEpoch {", Text: cutBeforeRequests},
	{Name: "a machine is called out though a gateway has not stopped", File: "maintenance/advance.go", Old: "} else if !elapsed.LeasesExpired && !s.allStopped(r.DrainEpoch) {", New: "} else if false {", Text: slowStoresPlot},
	{Name: "what is held is sent to all the same", File: "maintenance/state.go", Old: "excluded[r.Machine] = true\n\t\t}\n\t}\n\treturn excluded", New: "_ = excluded\n\t\t}\n\t}\n\treturn excluded", Text: tooManyRequests},
	{Name: "any number is out at once", File: "maintenance/budget.go", Old: "if out >= l.MaxOut {", New: "if false {", Text: tooManyRequests},
	{Name: "any share of a zone is out", File: "maintenance/budget.go", Old: "if g.unavailable > 0 && g.unavailable+1 >", New: "if false && g.unavailable+1 >", Text: tooManyRequests},
	{Name: "half of the voters are a majority", File: "consensus/proposer.go", Old: "return n > len(v.cfg.Voters)/2", New: "return n >= len(v.cfg.Voters)/2", Text: splitVoters},
	{Name: "a lease never runs out", File: "cluster/lease.go", Old: "n.leaseUntil = max(n.leaseUntil, sentAt+n.cfg.Limits.Lease)", New: "n.leaseUntil = max(n.leaseUntil, sentAt+time.Hour)", Text: cutAfterGrant},
	{Name: "a gateway is idle while work is out at what it holds", File: "gateway/drain.go", Old: "if !a.ended && (endpoints", New: "if false && (endpoints", Text: slowStoresPlot},
	{Name: "a start forgets what was granted", File: "internal/clusternode/storage.go", Old: "view, err := readFile(dir, viewFile, n.cfg.Key)", New: "view, err := []byte(\"{}\"), error(nil)", Text: restartAfterGrant},
}

// slowStoresPlot takes machines out of service right after the fake servers have begun to answer slowly.
const slowStoresPlot = `plot seed 404 gateways 3 boxes 4 for 12s
at 1450ms slowly 1200ms
at 1.5s ask b0-0 g0
at 1.5s ask b1-0 g1
at 4s slowly 2ms
at 5950ms slowly 1200ms
at 6s ask b0-1 g2
at 6s ask b1-1 g0
at 8.5s slowly 2ms
at 9s heal`

// restartAfterGrant cuts off and kills a gateway that has learned of a grant, and starts it again while it is cut off.
const restartAfterGrant = `plot seed 405 gateways 3 boxes 4 for 14s
at 1.5s ask b0-0 g0
at 1.5s ask b1-0 g1
at 2.1s cut g2>g0 g2>g1 g0>g2 g1>g2
at 2.15s kill g2 keep
at 2.4s start g2
at 6s heal
at 6.1s ask b0-1 g0
at 6.1s ask b1-1 g1
at 6.6s cut g2>g0 g2>g1 g0>g2 g1>g2
at 6.65s kill g2 keep
at 6.9s start g2
at 9.5s heal`

// cutAfterGrant cuts off a gateway that has learned of grants before it learns of the drains.
const cutAfterGrant = `plot seed 406 gateways 3 boxes 6 for 12s
at 1.5s ask b0-0 g0
at 1.7s ask b1-0 g1
at 1.9s ask b0-1 g0
at 2.2s cut g2>g0 g2>g1 g0>g2 g1>g2
at 8s heal`

// Build builds the program of a mutant from the repository at root into dir and returns its path. The change is applied by a
// build overlay, so that the source tree stays unmodified. It fails if Old does not occur exactly once or the build fails.
func (m Mutant) Build(ctx context.Context, root, dir string) (program string, err error) {
	path, err := filepath.Abs(filepath.Join(root, m.File))
	if err != nil {
		return "", err
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return "", fmt.Errorf("mutant %q: %w", m.Name, err)
	}
	if n := strings.Count(string(text), m.Old); n != 1 {
		return "", fmt.Errorf("mutant %q: the text to replace occurs %d times in %s, want once", m.Name, n, m.File)
	}
	changed, overlay := filepath.Join(dir, "changed.go"), filepath.Join(dir, "overlay.json")
	if err := os.WriteFile(changed, []byte(strings.Replace(string(text), m.Old, m.New, 1)), 0o600); err != nil {
		return "", err
	}
	list, err := json.Marshal(map[string]map[string]string{"Replace": {path: changed}})
	if err != nil {
		return "", err
	}
	if err := os.WriteFile(overlay, list, 0o600); err != nil {
		return "", err
	}
	program = filepath.Join(dir, "larchusher")
	cmd := exec.CommandContext(ctx, "go", "build", "-overlay", overlay, "-ldflags=-linkmode=external", "-o", program, "./cmd/larchusher")
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("mutant %q: %w\n%s", m.Name, err, out)
	}
	return program, nil
}

// Plots returns the plots to run against a mutant, in order, until one detects it: its own, if it has one, and the given number
// of random ones. It fails if its own plot does not parse or does not exist.
func (m Mutant) Plots(drawn int) ([]*Plot, error) {
	var all []*Plot
	switch {
	case m.Text != "":
		p, err := Parse(m.Text)
		if err != nil {
			return nil, fmt.Errorf("mutant %q: %w", m.Name, err)
		}
		all = append(all, p)
	case m.Plot != "":
		named, err := NamedPlots()
		if err != nil {
			return nil, err
		}
		if named[m.Plot] == nil {
			return nil, fmt.Errorf("mutant %q: no plot of NamedPlots has the name %q", m.Name, m.Plot)
		}
		all = append(all, named[m.Plot])
	}
	for i := range drawn {
		all = append(all, Generate(uint64(1+i)))
	}
	return all, nil
}
