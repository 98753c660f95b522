// Package gossip exchanges UDP datagrams between gateways. A Link sends on the gateway's loop and receives on a
// goroutine of its own.
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

// maxDatagramBytes is the longest datagram that the platform allows, in bytes.
const maxDatagramBytes = 256

// Link is the UDP socket for all gateways. It is one of package net, not of nbio: nbio creates a connection for each
// remote address, and cannot send to an address from which nothing has arrived.
type Link struct {
	conn        *net.UDPConn
	broadcast   netip.AddrPort
	peers       []netip.AddrPort
	indexByAddr map[netip.AddrPort]int
	log         logrus.FieldLogger

	Sent, Received, Dropped uint64 // datagrams; used on the loop only
}

// Listen opens a socket on addr. peers are the addresses of all gateways, which are identified by their index;
// broadcast is an address that reaches all of them, or empty if there is none. Errors name the configuration key.
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
	// A successor process shares the address during a hot restart; each of the two then receives some of the messages.
	cfg := net.ListenConfig{Control: transport.SharePort}
	conn, err := cfg.ListenPacket(context.Background(), "udp", a.String())
	if err != nil {
		return nil, fmt.Errorf("peer_listen: opening the UDP socket: %w", err)
	}
	l.conn = conn.(*net.UDPConn)
	return l, nil
}

// ReadLoop calls receive on the loop for each message, until the link is closed. It drops messages of unknown senders
// and ones that are too long. It blocks, and needs a goroutine of its own.
func (l *Link) ReadLoop(loop *gateway.Loop, receive func(from int, data string)) {
	buf := make([]byte, maxDatagramBytes+1)
	for {
		n, addr, err := l.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // concerns one datagram only, such as one sent to a closed port
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

// SendGossip sends a message to the gateway with the index to, or to all gateways (routing.AllDirectors). Messages
// may get lost. It must be called on the loop.
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

// Close closes the socket and makes ReadLoop return.
func (l *Link) Close() { _ = l.conn.Close() } // fails if the link is closed already
