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

// relay leads the link from one gateway to another. It knows frames by their length, so that it can lose, double and delay whole
// ones, and break off within one; what stands in them it does not read.
type relay struct {
	addr     string
	target   string
	listener net.Listener

	mu             sync.Mutex
	rng            *rand.Rand
	cut            bool
	lossRate       float64
	duplicateRate  float64
	maxDelay       time.Duration
	truncates      bool
	bytesPerSecond int // bytes a second; 0: any
	conns          map[net.Conn]bool
}

const (
	greetingLen    = 20 // bytes that the accepting side says first
	frameHeaderLen = 4 + 32
)

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

// set changes what befalls the link. A cut one swallows what is sent, and lets no connection come up.
func (r *relay) update(f func(*relay)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r)
}

func (r *relay) close() {
	loopback.Close(r.listener)
	r.update(func(r *relay) {
		for c := range r.conns {
			loopback.Close(c)
		}
	})
}

func (r *relay) isCut() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cut
}

// frameFate is what befalls one frame.
type frameFault struct {
	drop, duplicate bool
	truncate        bool // half of it is carried, then the connection ends
	delay           time.Duration
}

// drawFate draws what befalls a frame of so many bytes.
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

// carry carries the frames of one connection to the target.
func (r *relay) forward(in net.Conn) {
	defer loopback.Close(in)
	for r.isCut() { // it comes up, and nobody says a word
		time.Sleep(20 * time.Millisecond)
	}
	out, err := loopback.DialTimeout(r.target, time.Second)
	if err != nil {
		return
	}
	defer loopback.Close(out)
	r.update(func(r *relay) { r.conns[in], r.conns[out] = true, true })
	defer r.update(func(r *relay) { delete(r.conns, in); delete(r.conns, out) })
	hello := make([]byte, greetingLen)
	if _, err := io.ReadFull(out, hello); err != nil {
		return
	}
	if _, err := in.Write(hello); err != nil {
		return
	}
	go func() { // the other end closes: so does this one
		_, _ = out.Read(make([]byte, 1))
		loopback.Close(in)
	}()
	head := make([]byte, frameHeaderLen)
	for {
		if _, err := io.ReadFull(in, head); err != nil {
			return
		}
		frame := make([]byte, frameHeaderLen+int(binary.BigEndian.Uint32(head)))
		copy(frame, head)
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
