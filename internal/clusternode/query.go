package clusternode

import (
	"encoding/json"
	"fmt"

	"github.com/sirupsen/logrus"

	"larchusher/cluster"
	"larchusher/internal/logfields"
	"larchusher/replication"
	"larchusher/warmstart"
)

// Operators' queries that this gateway answers from its own replica.
const (
	queryShared = "shared" // the value is a kind of slot; empty: all kinds
	queryForget = "forget" // the value is an encoded ForgetRequest
)

// maxRows bounds the slots in the reply to a query.
const maxRows = 2000

func isReplicationQuery(m cluster.Message) bool {
	return m.Kind == cluster.OperatorRequest && (m.Query == queryShared || m.Query == queryForget)
}

// SharedState is the reply to the query "shared": this gateway's replica of what all gateways have learned.
type SharedState struct {
	Gateway     string                   `json:"gateway"`
	CatchingUp  bool                     `json:"catching_up,omitempty"`
	Slots       int                      `json:"slots"` // number of slots of the kind; Rows has the first maxRows of them
	Rows        []replication.Row        `json:"rows"`
	Divergences []replication.Divergence `json:"differences,omitempty"`
}

// ForgetRequest is the value of the query "forget": all gateways are to delete what they have learned of a key.
type ForgetRequest struct {
	Kind   string `json:"Kind"` // health or listing
	Key    string `json:"Key"`
	Reason string `json:"Why"`
}

// serveQuery replies to a query for which isReplicationQuery holds.
func (r *replicator) serveQuery(from string, m cluster.Message) {
	reply := cluster.Message{Kind: cluster.OperatorReply, ID: m.ID}
	var err error
	if m.Query == queryShared {
		reply.Value, err = json.Marshal(r.sharedState(string(m.Value)))
	} else {
		err = r.forget(from, m.Value)
	}
	if err != nil {
		reply.Rejected = err.Error()
	}
	r.owner.transport.Send(from, reply)
}

func (r *replicator) sharedState(kind string) SharedState {
	s := SharedState{Gateway: r.owner.cfg.Name, CatchingUp: r.node.CatchingUp(), Divergences: r.node.Divergences()}
	s.Rows, s.Slots = r.node.Rows(r.owner.now(), kind, maxRows)
	return s
}

// forget publishes a tombstone for a key of the replicated state, and writes it to the audit log. It fails if the request can't
// be decoded or names no such key.
func (r *replicator) forget(from string, request []byte) error {
	var f ForgetRequest
	if err := json.Unmarshal(request, &f); err != nil {
		return err
	}
	key, value, err := warmstart.ParseForget(f.Kind, f.Key, f.Reason)
	if err != nil {
		return err
	}
	now := r.owner.now()
	r.node.Publish(now, replication.Tombstone, key, value, now)
	detail := fmt.Sprintf("%s of %s: tombstone published to all gateways, requested by %s: %s", f.Kind, f.Key, from, f.Reason)
	r.owner.log.WithFields(logrus.Fields{logfields.Audit: "state", logfields.Detail: detail}).Info(logfields.AuditTrail)
	return nil
}
