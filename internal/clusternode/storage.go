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

// Names of the files that survive a restart, in the folder that the setting fleet.folder names.
const (
	acceptorFile = "fleet-vote"
	viewFile     = "fleet-view"
)

// writeFailureLogInterval is the least time between two log entries for failed writes.
const writeFailureLogInterval = 10 * time.Second

// openFiles creates and locks the folder, and reads the files that an earlier process stored. A file that can't be read counts as
// lost. Without its state the acceptor has to be admitted again by the other voters; without a view nothing is sent before a
// voter has replied.
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

// loadAcceptor returns the stored state of the acceptor; nil if there is none, or if it can't be read, which is logged.
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

// loadView returns the stored view; nil if there is none, or if it can't be read, which is logged.
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

// closeFiles completes the waiting writes and unlocks the folder.
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

// store writes a file and passes the event to package cluster once the file is durable. After a failed write there is no event, and
// the other voters continue without this one. Without a folder the event comes immediately: nothing has to survive a restart,
// because the next process has another incarnation.
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
	if time.Since(n.writeFailureLoggedAt) > writeFailureLogInterval {
		n.writeFailureLoggedAt = time.Now()
		n.log.WithError(err).Error(logfields.ClusterWriteFailed)
	}
}
