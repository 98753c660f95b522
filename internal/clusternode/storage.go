package clusternode

import (
	"fmt"
	"os"
	"time"

	"larchusher/cluster"
	"larchusher/consensus"
	"larchusher/internal/logfields"
	"larchusher/internal/net/clustertransport"
	"larchusher/internal/snapshot"
	"larchusher/maintenance"
)

// The files that outlive the process, in the folder of the operator's file.
const (
	acceptorFile = "fleet-vote"
	viewFile     = "fleet-view"
)

// writeFailureLogInterval is how often failed writes are logged.
const writeFailureLogInterval = 10 * time.Second

// openFiles locks the folder and reads what the former incarnation stored. A file that can't be read counts as lost: then this acceptor has to
// be admitted again, and nothing is sent before the other gateways have answered.
func (n *Node) openFiles(c *cluster.Config) error {
	dir := snapshot.Folder(n.cfg.Folder)
	if err := os.MkdirAll(n.cfg.Folder, 0o700); err != nil {
		return fmt.Errorf("fleet.folder: %w", err)
	}
	var err error
	if n.unlock, err = dir.Lock(); err != nil {
		return fmt.Errorf("fleet.folder: %w", err)
	}
	if a := n.loadAcceptor(dir); a != nil {
		c.Acceptor = *a
	}
	c.View = n.loadView(dir)
	c.Durable = true
	n.files = newFileWriter(dir, n.cfg.Key)
	return nil
}

// loadAcceptor is the stored state of the acceptor; nil: there is none.
func (n *Node) loadAcceptor(dir snapshot.Folder) *consensus.AcceptorState {
	b, err := readFile(dir, acceptorFile, n.cfg.Key)
	if err == nil && b == nil {
		return nil
	}
	var a consensus.AcceptorState
	if err == nil {
		a, err = clustertransport.DecodeAcceptorState(b)
	}
	if err != nil {
		n.log.WithError(err).Error(logfields.ClusterVoteLost)
		return nil
	}
	return &a
}

// loadView is the stored view; nil: there is none.
func (n *Node) loadView(dir snapshot.Folder) []byte {
	view, err := readFile(dir, viewFile, n.cfg.Key)
	if err == nil && view != nil {
		_, err = maintenance.Decode(view)
	}
	if err != nil {
		n.log.WithError(err).Error(logfields.ClusterViewLost)
		return nil
	}
	return view
}

// closeFiles writes what waits and unlocks the folder.
func (n *Node) closeFiles() {
	if n.files != nil {
		n.files.close()
	}
	if n.unlock != nil {
		n.unlock()
	}
}

func (n *Node) storeAcceptorState(s consensus.StoreState) {
	b, err := clustertransport.EncodeAcceptorState(s.State)
	if err != nil {
		n.log.WithError(err).Error(logfields.ClusterVoteUnstorable)
		return
	}
	n.store(acceptorFile, b, cluster.AcceptorStateStored{Number: s.Number})
}

// store writes a file and hands the event to package cluster once it is durable. After a failed write there is no event, and the
// other voters go on without this one. Without a folder nothing has to outlive the process: its next start is another incarnation.
func (n *Node) store(name string, data []byte, stored cluster.Event) {
	if n.files == nil {
		n.loop.Post(func() { n.handle(stored) })
		return
	}
	n.files.write(name, data, func(err error) {
		n.loop.Post(func() {
			if err != nil {
				n.logWriteFailure(err)
				return
			}
			n.handle(stored)
		})
	})
}

func (n *Node) logWriteFailure(err error) {
	if time.Since(n.warnedAt) > writeFailureLogInterval {
		n.warnedAt = time.Now()
		n.log.WithError(err).Error(logfields.ClusterWriteFailed)
	}
}
