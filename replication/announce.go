package replication

import "time"

const (
	// announcePeers is the number of peers to which an announcement is sent. They send announcements of their own.
	announcePeers = 3
	// announceDelay is the time for which new safety slots are collected for one announcement.
	announceDelay = 10 * time.Millisecond
)

// announceSoon schedules an announcement after announceDelay, unless one is scheduled already.
func (n *Node) announceSoon(now time.Duration) {
	if n.announceAt == 0 {
		n.announceAt = now + announceDelay
	}
}

// announce sends the versions of the safety streams of recently active incarnations to announcePeers random peers.
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

// receiveAnnouncement pulls from a peer that has announced newer safety slots: at once, or after the reply to the
// pending pull.
func (n *Node) receiveAnnouncement(from string, m Message) {
	if !n.Lags(m.Versions) {
		return
	}
	if n.pull == nil {
		n.pullFrom(from)
		return
	}
	n.announcingPeer, n.announcedVersions = from, m.Versions
}

// takeAnnouncingPeer returns and clears the peer that has announced slots, or returns an empty string if there is none
// or its slots have been received meanwhile.
func (n *Node) takeAnnouncingPeer() string {
	peer := n.announcingPeer
	n.announcingPeer = ""
	if peer == "" || !n.Lags(n.announcedVersions) {
		return ""
	}
	return peer
}
