package cluster

import (
	"fmt"
	"slices"
	"testing"

	"larchusher/consensus"
	"larchusher/maintenance"
)

// The history of a request keeps 12 transitions. Guards against an audit log that has no further entries for a request once its
// history is full.
func TestAuditLogHasEveryTransition(t *testing.T) {
	const transitions, kept = 40, 12
	for _, at := range [][]int{nil, {3, 7}, {11, 13, 22}} { // indices of transitions that the node learns together with the next one
		n := nonVoter(t, false, nil)
		r := &maintenance.Request{ID: 7, Machine: "m1", Kind: maintenance.KindCache}
		var want, got []string
		for i := range transitions {
			tr := maintenance.Transition{To: []maintenance.Stage{maintenance.Requested, maintenance.Granted, maintenance.Draining}[i%3], Actor: fmt.Sprint("g", i%2), AtMs: int64(i / 4)}
			r.Stage, r.History = tr.To, append(r.History, tr)
			if len(r.History) > kept {
				r.History = slices.Delete(r.History, 1, 2)
			}
			want = append(want, r.AuditLine(tr))
			if slices.Contains(at, i) {
				continue
			}
			s := &maintenance.State{Requests: []*maintenance.Request{r}, Gateways: map[string]maintenance.Gateway{}}
			n.actions = nil
			n.emitAudit(consensus.State{Value: s.Encode()})
			for _, a := range n.actions {
				got = append(got, a.(AuditEntry).Text)
			}
		}
		if !slices.Equal(got, want) {
			t.Errorf("transitions %v learned together with the next: %d audit lines, want %d:\n%q\n%q", at, len(got), len(want), got, want)
		}
	}
}
