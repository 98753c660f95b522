package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"larchusher/cluster"
	"larchusher/internal/config"
	"larchusher/internal/net/clustertransport"
	"larchusher/maintenance"
)

const (
	memberTimeout      = 3 * time.Second        // for one gateway's answer
	queryRetryInterval = 200 * time.Millisecond // after all gateways were asked in vain
)

// clusterFlags say which gateway of the cluster answers a command.
type clusterFlags struct {
	operatorFile
	At      string        `help:"The gateway to ask; any, one after the other, without." placeholder:"NAME"`
	Timeout time.Duration `help:"How long to try." default:"15s"`
}

// sendCommand sends a command, or a query if it is nil, to one gateway after the other until one answers.
func (f *clusterFlags) sendCommand(c *maintenance.Command, query string) (cluster.Message, error) {
	m := cluster.Message{Query: query}
	if c != nil {
		if c.Actor == "" {
			c.Actor = currentUser()
		}
		var err error
		if m.Value, err = json.Marshal(c); err != nil {
			return cluster.Message{}, fmt.Errorf("work: %w", err)
		}
	}
	return f.query(m)
}

// query sends a message to one gateway after the other until one answers.
func (f *clusterFlags) query(m cluster.Message) (cluster.Message, error) {
	op, err := config.LoadOperator(f.Operator, os.Getenv)
	if err != nil {
		return cluster.Message{}, err
	}
	if op.Cluster == nil {
		return cluster.Message{}, errors.New("the operator's file (--operator) has no fleet")
	}
	members := op.Cluster.Members
	if f.At != "" {
		addr := op.Cluster.Address(f.At)
		if addr == "" {
			return cluster.Message{}, fmt.Errorf("--at: %q is none of the members", f.At)
		}
		members = []config.ClusterMember{{Name: f.At, Address: addr}}
	}
	ctx, cancel := context.WithTimeout(context.Background(), f.Timeout)
	defer cancel()
	var lastErr error
	for ctx.Err() == nil {
		for _, g := range members {
			reply, err := queryMember(ctx, g, op.Cluster.Key, m)
			if err == nil {
				return reply, nil
			}
			lastErr = err
		}
		select {
		case <-ctx.Done():
		case <-time.After(queryRetryInterval):
		}
	}
	return cluster.Message{}, fmt.Errorf("no gateway answered in %v: %w", f.Timeout, lastErr)
}

// queryMember sends a message to one gateway and returns its reply.
func queryMember(ctx context.Context, g config.ClusterMember, key []byte, m cluster.Message) (cluster.Message, error) {
	one, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	t, err := clustertransport.DialTool(one, g.Name, g.Address, key)
	if err != nil {
		return cluster.Message{}, err
	}
	defer func() { _ = t.Close() }() // the reply has come, or the error is known
	return t.Request(one, m)
}

// currentUser names who gives an order, for the history.
func currentUser() string {
	host, _ := os.Hostname() // without it the name alone stands in the history
	name := os.Getenv("USER")
	if name == "" {
		name = fmt.Sprint("uid ", os.Getuid())
	}
	return name + "@" + host
}

// execute sends a command and reads what it came to.
func (f *clusterFlags) execute(c *maintenance.Command) (maintenance.Reply, error) {
	m, err := f.sendCommand(c, "")
	if err != nil {
		return maintenance.Reply{}, err
	}
	var r maintenance.Reply
	if m.Rejected == "" {
		if err := json.Unmarshal(m.Value, &r); err != nil {
			return r, fmt.Errorf("work: the reply: %w", err)
		}
		m.Rejected = r.Rejected
	}
	if m.Rejected != "" {
		return r, fmt.Errorf("work: refused: %s", m.Rejected)
	}
	return r, nil
}

func (f *clusterFlags) maintenanceState() (*maintenance.State, error) {
	m, err := f.sendCommand(nil, "state")
	if err != nil {
		return nil, err
	}
	return maintenance.Decode(m.Value)
}
