package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"

	"larchusher/cluster"
	"larchusher/internal/clusternode"
	"larchusher/replication"
)

// sharedState queries a gateway's copy of the replicated state: that of the gateway at, or as the flag --at states if at is empty.
// kind restricts it to slots of one kind; empty: all kinds.
func (f *clusterFlags) sharedState(at, kind string) (*clusternode.SharedState, error) {
	flags := *f
	if at != "" {
		flags.At = at
	}
	m, err := flags.query(cluster.Message{Query: "shared", Value: []byte(kind)})
	if err == nil && m.Rejected != "" {
		err = errors.New("state: request rejected by the gateway: " + m.Rejected)
	}
	if err != nil {
		return nil, err
	}
	var s clusternode.SharedState
	if err := json.Unmarshal(m.Value, &s); err != nil {
		return nil, fmt.Errorf("state: reply of the gateway not readable: %w", err)
	}
	return &s, nil
}

// stateShared is the sub-command `state shared`.
type stateShared struct {
	clusterFlags
	Kind string `help:"Of this kind only: purge, drain, cold, forget, health, listing."`
	JSON bool   `name:"json" help:"Print JSON."`
}

// Run prints a gateway's copy of the replicated state, with the divergences that anti-entropy has found.
func (c *stateShared) Run() error {
	s, err := c.sharedState("", c.Kind)
	if err != nil {
		return err
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(s)
	}
	w := newTable(os.Stdout)
	w.row("KIND\tKEY\tBY\tNUMBER\tAGE MS\tVALUE")
	for _, r := range s.Rows {
		w.row("%s\t%q\t%s\t%d\t%d\t%s", r.Kind, r.Key, r.Writer, r.Seq, r.AgeMs, r.Value)
	}
	if err := w.flush(); err != nil {
		return err
	}
	fmt.Printf("%s: %d slots", s.Gateway, s.Slots)
	if s.CatchingUp {
		fmt.Print(", catching up")
	}
	fmt.Println()
	for _, d := range s.Divergences {
		fmt.Printf("differed from %s in numbers %d to %d of %s: %s\n", d.Peer, d.From, d.To, d.Writer.Name, d.Cause)
	}
	return nil
}

// stateDiff is the sub-command `state diff`.
type stateDiff struct {
	clusterFlags
	A    string `arg:"" help:"A gateway."`
	B    string `arg:"" help:"Another one."`
	Kind string `help:"Of this kind only."`
}

// Run prints the differences between two gateways' copies of the replicated state, and fails if there are any. A recent write
// may not have reached both gateways yet, and then shows as a difference.
func (c *stateDiff) Run() error {
	a, err := c.sharedState(c.A, c.Kind)
	if err != nil {
		return err
	}
	b, err := c.sharedState(c.B, c.Kind)
	if err != nil {
		return err
	}
	if len(a.Rows) < a.Slots || len(b.Rows) < b.Slots {
		fmt.Printf("only the first %d of %d and %d slots are compared: name a --kind\n", min(len(a.Rows), len(b.Rows)), a.Slots, b.Slots)
	}
	slotID := func(r replication.Row) string {
		return fmt.Sprintf("%s %q by %s %x", r.Kind, r.Key, r.Writer, r.Incarnation)
	}
	rows := map[string]replication.Row{}
	for _, r := range a.Rows {
		rows[slotID(r)] = r
	}
	differences := 0
	for _, rowB := range b.Rows {
		rowA, ok := rows[slotID(rowB)]
		delete(rows, slotID(rowB))
		switch {
		case !ok:
			fmt.Printf("only at %s: %s %s\n", c.B, slotID(rowB), rowB.Value)
		case rowA.Seq != rowB.Seq || string(rowA.Value) != string(rowB.Value):
			fmt.Printf("%s: number %d, %s at %s; number %d, %s at %s\n", slotID(rowB), rowA.Seq, rowA.Value, c.A, rowB.Seq, rowB.Value, c.B)
		default:
			continue
		}
		differences++
	}
	for id, r := range rows {
		differences++
		fmt.Printf("only at %s: %s %s\n", c.A, id, r.Value)
	}
	if differences > 0 {
		return fmt.Errorf("state: the copies of the two gateways have %d differences, want none", differences)
	}
	return nil
}

// stateForget is the sub-command `state forget`.
type stateForget struct {
	clusterFlags
	Kind string   `arg:"" help:"health or listing."`
	Key  string   `arg:"" help:"As state shared shows it."`
	Why  []string `arg:"" help:"The reason, which is told with it."`
}

// Run makes all gateways forget what they have learned under a key of the replicated state.
func (c *stateForget) Run() error {
	value, err := json.Marshal(clusternode.ForgetRequest{Kind: c.Kind, Key: c.Key, Reason: strings.Join(c.Why, " ") + ", " + currentUser()})
	if err != nil {
		return err
	}
	m, err := c.query(cluster.Message{Query: "forget", Value: value})
	if err == nil && m.Rejected != "" {
		err = errors.New("state: request rejected by the gateway: " + m.Rejected)
	}
	return err
}
