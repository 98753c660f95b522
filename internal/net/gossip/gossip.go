// Package gossip carries datagrams between gateways. A Link sends from the gateway's loop, and receives on a goroutine of its
// own.
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

// maxDatagramBytes is the longest datagram that the platform allows.
const maxDatagramBytes = 256

// Link is the one UDP socket for all gateways. It is the standard library's: nbio gives each remote end a connection of its
// own, and none to one that has not sent first.
type Link struct {
	conn        *net.UDPConn
	broadcast   netip.AddrPort
	peers       []netip.AddrPort
	indexByAddr map[netip.AddrPort]int
	log         logrus.FieldLogger

	Sent, Received, Dropped uint64 // datagrams; the loop's
}

// Listen listens on addr. Gateways are known by their index in peers; broadcast reaches all of them, empty: there is no such
// address. Errors name the configuration's key.
func Listen(addr string, peers []string, broadcast string, log logrus.FieldLogger) (*Link, error) {
	l := &Link{indexByAddr: map[netip.AddrPort]int{}, log: log}
	for i, s := range peers {
		a, err := netip.ParseAddrPort(s)
		if err != nil {
			return nil, fmt.Errorf("peers[%d]: %w", i, err)
		}
		l.peers = append(l.peers, a)
		l.indexByAddr[a] = i
	}
	if broadcast != "" {
		a, err := netip.ParseAddrPort(broadcast)
		if err != nil {
			return nil, fmt.Errorf("peers_all: %w", err)
		}
		l.broadcast = a
	}
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	// The address is shared with a successor of this process; each receives a part of the messages meanwhile.
	cfg := net.ListenConfig{Control: transport.SharePort}
	conn, err := cfg.ListenPacket(context.Background(), "udp", a.String())
	if err != nil {
		return nil, fmt.Errorf("listening for peers: %w", err)
	}
	l.conn = conn.(*net.UDPConn)
	return l, nil
}

// ReadLoop has each message received on the loop, and returns once the link is closed. Messages of other senders are dropped.
func (l *Link) ReadLoop(loop *gateway.Loop, receive func(from int, data string)) {
	buf := make([]byte, maxDatagramBytes+1)
	for {
		n, addr, err := l.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // of one datagram: a peer's port was closed, for instance
			continue
		}
		from, known := l.indexByAddr[netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())]
		data := string(buf[:n])
		loop.Post(func() {
			if !known || len(data) > maxDatagramBytes {
				l.Dropped++
				return
			}
			l.Received++
			receive(from, data)
		})
	}
}

// SendGossip sends a message to the gateway at an index, or to all of them (routing.AllDirectors). It may get lost.
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

// Close closes the link. ReadLoop returns.
func (l *Link) Close() { _ = l.conn.Close() } // it fails if it is closed already
