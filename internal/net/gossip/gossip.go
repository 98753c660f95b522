// Package gossip carries datagrams between the gateways of a tier.
package gossip

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"

	"github.com/sirupsen/logrus"

	"larchusher/gateway"
	"larchusher/internal/net/transport"
	"larchusher/routing"
)

// maxDatagramBytes is the length of a datagram; a longer one breaks the platform's rule.
const maxDatagramBytes = 256

// Link is the one socket for all peers. nbio gives each remote end of a UDP socket a connection of its own
// and none to one that has not spoken first, so this is the standard library's, with one reader.
type Link struct {
	conn        *net.UDPConn
	broadcast   netip.AddrPort
	peers       []netip.AddrPort
	indexByAddr map[netip.AddrPort]int
	log         logrus.FieldLogger

	Sent, Received, Dropped uint64 // the loop's
}

// Listen listens on addr. Peers are known by their place in list; all reaches every one of them.
func Listen(addr string, list []string, all string, log logrus.FieldLogger) (*Link, error) {
	l := &Link{indexByAddr: map[netip.AddrPort]int{}, log: log}
	for i, s := range list {
		a, err := netip.ParseAddrPort(s)
		if err != nil {
			return nil, fmt.Errorf("peers[%d]: %w", i, err)
		}
		l.peers = append(l.peers, a)
		l.indexByAddr[a] = i
	}
	if all != "" {
		a, err := netip.ParseAddrPort(all)
		if err != nil {
			return nil, fmt.Errorf("peers_all: %w", err)
		}
		l.broadcast = a
	}
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	// The address is shared with a process that takes over from this one; each has a part of the messages meanwhile.
	cfg := net.ListenConfig{Control: transport.SharePort}
	conn, err := cfg.ListenPacket(context.Background(), "udp", a.String())
	if err != nil {
		return nil, fmt.Errorf("listening for peers: %w", err)
	}
	l.conn = conn.(*net.UDPConn)
	return l, nil
}

// ReadLoop hands each message to heard, on the loop. It returns when the link is closed.
func (l *Link) ReadLoop(loop *gateway.Loop, heard func(from int, data string)) {
	buf := make([]byte, maxDatagramBytes+1)
	for {
		n, addr, err := l.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // a peer's port was closed, say
			continue
		}
		from, known := l.indexByAddr[netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())]
		data := string(buf[:n])
		loop.Post(func() {
			if !known || len(data) > maxDatagramBytes { // only peers are heard
				l.Dropped++
				return
			}
			l.Received++
			heard(from, data)
		})
	}
}

// SendGossip sends a message to one peer, or to all of them. It may get lost.
func (l *Link) SendGossip(to int, data string) {
	addr := l.broadcast
	if to != routing.AllDirectors {
		if to < 0 || to >= len(l.peers) {
			return
		}
		addr = l.peers[to]
	}
	if len(data) > maxDatagramBytes || !addr.IsValid() {
		l.Dropped++
		return
	}
	if _, err := l.conn.WriteToUDPAddrPort([]byte(data), addr); err != nil {
		l.Dropped++
		return
	}
	l.Sent++
}

// Close ends the link.
func (l *Link) Close() { _ = l.conn.Close() }
