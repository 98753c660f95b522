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
	memberTimeout      = 3 * time.Second        // maximum wait for the reply of one gateway
	queryRetryInterval = 200 * time.Millisecond // pause after no gateway has replied, before all are asked again
)

// clusterFlags are the flags of sub-commands that send a message to a gateway of the cluster.
type clusterFlags struct {
	operatorFile
	At      string        `help:"The gateway to ask; any, one after the other, without." placeholder:"NAME"`
	Timeout time.Duration `help:"How long to try." default:"15s"`
}

// sendCommand sends a maintenance command, or the named query if c is nil, and returns the reply. It sets the command's actor
// to the current user if that is empty. Errors are those of query.
func (f *clusterFlags) sendCommand(c *maintenance.Command, query string) (cluster.Message, error) {
	m := cluster.Message{Query: query}
	if c != nil {
		if c.Actor == "" {
			c.Actor = currentUser()
		}
		var err error
		if m.Value, err = json.Marshal(c); err != nil {
			return cluster.Message{}, fmt.Errorf("work: command not encoded: %w", err)
		}
	}
	return f.query(m)
}

// query sends a message to one gateway after another until one replies, and returns its reply. It asks the gateway of the flag
// --at, or all members in turn, and fails with the last error after the time of the flag --timeout.
func (f *clusterFlags) query(m cluster.Message) (cluster.Message, error) {
	op, err := config.LoadOperator(f.Operator, os.Getenv)
	if err != nil {
		return cluster.Message{}, err
	}
	if op.Cluster == nil {
		return cluster.Message{}, errors.New("the operator's file (--operator) does not configure a cluster: it has no part fleet")
	}
	members := op.Cluster.Members
	if f.At != "" {
		addr := op.Cluster.Address(f.At)
		if addr == "" {
			return cluster.Message{}, fmt.Errorf("--at: %q is not a member of the cluster", f.At)
		}
		members = []config.ClusterMember{{Name: f.At, Address: addr}}
	}
	ctx, cancel := context.WithTimeout(context.Background(), f.Timeout)
	defer cancel()
	var lastErr error
	for ctx.Err() == nil {
		for _, member := range members {
			reply, err := queryMember(ctx, member, op.Cluster.Key, m)
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
	return cluster.Message{}, fmt.Errorf("no gateway replied within %v, last error: %w", f.Timeout, lastErr)
}

// queryMember sends a message to one gateway and returns its reply. It waits for memberTimeout at most.
func queryMember(ctx context.Context, member config.ClusterMember, key []byte, m cluster.Message) (cluster.Message, error) {
	memberCtx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	t, err := clustertransport.DialTool(memberCtx, member.Name, member.Address, key)
	if err != nil {
		return cluster.Message{}, err
	}
	defer func() { _ = t.Close() }() // nothing depends on it: the reply or an error has already been returned
	return t.Request(memberCtx, m)
}

// currentUser returns USER@HOST of this process, by which the history of a maintenance request names who gave a command.
func currentUser() string {
	host, _ := os.Hostname() // if unknown, the history shows the user only
	name := os.Getenv("USER")
	if name == "" {
		name = fmt.Sprint("uid ", os.Getuid())
	}
	return name + "@" + host
}

// execute sends a maintenance command and returns its result. A command that was rejected is an error with the reason.
func (f *clusterFlags) execute(c *maintenance.Command) (maintenance.Reply, error) {
	m, err := f.sendCommand(c, "")
	if err != nil {
		return maintenance.Reply{}, err
	}
	var r maintenance.Reply
	if m.Rejected == "" {
		if err := json.Unmarshal(m.Value, &r); err != nil {
			return r, fmt.Errorf("work: reply of the gateway not readable: %w", err)
		}
		m.Rejected = r.Rejected
	}
	if m.Rejected != "" {
		return r, fmt.Errorf("work: command rejected: %s", m.Rejected)
	}
	return r, nil
}

// maintenanceState queries the state of all maintenance requests.
func (f *clusterFlags) maintenanceState() (*maintenance.State, error) {
	m, err := f.sendCommand(nil, "state")
	if err != nil {
		return nil, err
	}
	return maintenance.Decode(m.Value)
}
