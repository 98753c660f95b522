package replication

import "time"

const (
	// announcePeers is how many peers are notified at once of new safety slots. They notify others.
	announcePeers = 3
	// announceDelay is for how long new safety slots are gathered for one announcement.
	announceDelay = 10 * time.Millisecond
)

// announceSoon announces what is new within announceDelay.
func (n *Node) announceSoon(now time.Duration) {
	if n.announceAt == 0 {
		n.announceAt = now + announceDelay
	}
}

// announce notifies a few peers how far this node has the safety streams of incarnations that were active lately.
func (n *Node) announce() {
	m := Message{Kind: Announce}
	for _, v := range n.VersionVector() {
		active := n.now-n.incarnations[v.Incarnation].lastActive < 2*n.cfg.PullInterval
		if v.UpTo[Safety] > 0 && active {
			m.Versions = append(m.Versions, StreamVersions{Incarnation: v.Incarnation, UpTo: [streams]uint64{Safety: v.UpTo[Safety]}})
		}
	}
	if len(m.Versions) == 0 {
		return
	}
	n.Stats.Announcements++
	for range announcePeers {
		if to := n.pickPeer(); to != "" {
			n.send(to, m)
		}
	}
}

// receiveAnnouncement pulls from a peer that has newer safety slots: at once, or after the pull under way.
func (n *Node) receiveAnnouncement(from string, m Message) {
	if !n.Lags(m.Versions) {
		return
	}
	if n.pull == nil {
		n.pullFrom(from)
		return
	}
	n.announcer, n.announced = from, m.Versions
}

// takeAnnouncer is the peer whose announcement is still news; empty: there is none. It is returned once.
func (n *Node) takeAnnouncer() string {
	announcer := n.announcer
	n.announcer = ""
	if announcer == "" || !n.Lags(n.announced) {
		return ""
	}
	return announcer
}
