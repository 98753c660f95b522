package faultinjection

import (
	"encoding/binary"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"larchusher/lab/loopback"
)

// relay forwards the connections of one gateway to another, in one direction. It reads the length of each frame, so that it
// can drop, duplicate and delay whole frames and end a connection within one. It does not decode the contents.
type relay struct {
	addr     string // where it listens, on loopback
	target   string // where it connects to
	listener net.Listener

	mu             sync.Mutex // guards the fields below
	rng            *rand.Rand
	cut            bool              // frames are dropped, and new connections get no greeting
	lossRate       float64           // share of frames that are dropped
	duplicateRate  float64           // share of frames that are sent twice
	maxDelay       time.Duration     // each frame waits for a random time below this
	truncates      bool              // one frame in 40 is cut in half, and its connection ends
	bytesPerSecond int               // 0: no limit
	conns          map[net.Conn]bool // both sides of all open connections
}

const (
	greetingLen    = 20     // bytes that the accepting gateway sends first: magic and challenge
	frameHeaderLen = 4 + 32 // bytes before the envelope: its length and the HMAC-SHA256
)

// newRelay starts a relay to the target address. It fails if no loopback port can be opened.
func newRelay(target string, seed uint64) (*relay, error) {
	l, err := loopback.Listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{addr: l.Addr().String(), target: target, listener: l, rng: rand.New(rand.NewPCG(seed, 8)), conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.forward(c)
		}
	}()
	return r, nil
}

// update calls f with the relay locked, to change its faults. A relay that is cut drops all frames and completes no new connection.
func (r *relay) update(f func(*relay)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r)
}

// close ends the listener and all connections.
func (r *relay) close() {
	loopback.Close(r.listener)
	r.update(func(r *relay) {
		for c := range r.conns {
			loopback.Close(c)
		}
	})
}

// isCut reports whether the relay is cut.
func (r *relay) isCut() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cut
}

// frameFault is what the relay does to one frame.
type frameFault struct {
	drop, duplicate bool
	truncate        bool // send half of the frame and end the connection
	delay           time.Duration
}

// drawFault returns the random faults of a frame of the given size in bytes. The delay includes the time that the frame takes
// at a limited rate.
func (r *relay) drawFault(bytes int) (f frameFault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f.drop = r.cut || r.rng.Float64() < r.lossRate
	f.duplicate = r.rng.Float64() < r.duplicateRate
	f.truncate = r.truncates && r.rng.IntN(40) == 0
	if r.maxDelay > 0 {
		f.delay = time.Duration(r.rng.Int64N(int64(r.maxDelay)))
	}
	if r.bytesPerSecond > 0 {
		f.delay += time.Duration(bytes) * time.Second / time.Duration(r.bytesPerSecond)
	}
	return f
}

// forward forwards the frames of one connection to the target until either side ends.
func (r *relay) forward(in net.Conn) {
	defer loopback.Close(in)
	for r.isCut() { // the connection is accepted, but no greeting arrives
		time.Sleep(20 * time.Millisecond)
	}
	out, err := loopback.DialTimeout(r.target, time.Second)
	if err != nil {
		return
	}
	defer loopback.Close(out)
	r.update(func(r *relay) { r.conns[in], r.conns[out] = true, true })
	defer r.update(func(r *relay) { delete(r.conns, in); delete(r.conns, out) })
	greeting := make([]byte, greetingLen)
	if _, err := io.ReadFull(out, greeting); err != nil {
		return
	}
	if _, err := in.Write(greeting); err != nil {
		return
	}
	go func() { // closes the incoming connection when the target closes
		_, _ = out.Read(make([]byte, 1))
		loopback.Close(in)
	}()
	header := make([]byte, frameHeaderLen)
	for {
		if _, err := io.ReadFull(in, header); err != nil {
			return
		}
		frame := make([]byte, frameHeaderLen+int(binary.BigEndian.Uint32(header)))
		copy(frame, header)
		if _, err := io.ReadFull(in, frame[frameHeaderLen:]); err != nil {
			return
		}
		fault := r.drawFault(len(frame))
		if fault.drop {
			continue
		}
		if fault.delay > 0 {
			time.Sleep(fault.delay)
		}
		if fault.truncate {
			_, _ = out.Write(frame[:len(frame)/2]) // the connection ends either way
			return
		}
		if fault.duplicate {
			frame = append(frame, frame...)
		}
		if _, err := out.Write(frame); err != nil {
			return
		}
	}
}
