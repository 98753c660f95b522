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
	addr   string
	target string
	l      net.Listener

	mu     sync.Mutex
	rng    *rand.Rand
	cut    bool
	lose   float64
	double float64
	delay  time.Duration
	breaks bool
	rate   int // bytes a second; 0: any
	conns  map[net.Conn]bool
}

const (
	greeting = 20 // bytes that the accepting side says first
	frameLen = 4 + 32
)

func newRelay(target string, seed uint64) (*relay, error) {
	l, err := loopback.Listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{addr: l.Addr().String(), target: target, l: l, rng: rand.New(rand.NewPCG(seed, 8)), conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.carry(c)
		}
	}()
	return r, nil
}

// set changes what befalls the link. A cut one swallows what is sent, and lets no connection come up.
func (r *relay) set(f func(*relay)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r)
}

func (r *relay) close() {
	loopback.Close(r.l)
	r.set(func(r *relay) {
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
type frameFate struct {
	lost, twice bool
	broken      bool // half of it is carried, then the connection ends
	wait        time.Duration
}

// drawFate draws what befalls a frame of so many bytes.
func (r *relay) drawFate(bytes int) (f frameFate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f.lost = r.cut || r.rng.Float64() < r.lose
	f.twice = r.rng.Float64() < r.double
	f.broken = r.breaks && r.rng.IntN(40) == 0
	if r.delay > 0 {
		f.wait = time.Duration(r.rng.Int64N(int64(r.delay)))
	}
	if r.rate > 0 {
		f.wait += time.Duration(bytes) * time.Second / time.Duration(r.rate)
	}
	return f
}

// carry carries the frames of one connection to the target.
func (r *relay) carry(in net.Conn) {
	defer loopback.Close(in)
	for r.isCut() { // it comes up, and nobody says a word
		time.Sleep(20 * time.Millisecond)
	}
	out, err := loopback.DialTimeout(r.target, time.Second)
	if err != nil {
		return
	}
	defer loopback.Close(out)
	r.set(func(r *relay) { r.conns[in], r.conns[out] = true, true })
	defer r.set(func(r *relay) { delete(r.conns, in); delete(r.conns, out) })
	hello := make([]byte, greeting)
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
	head := make([]byte, frameLen)
	for {
		if _, err := io.ReadFull(in, head); err != nil {
			return
		}
		frame := make([]byte, frameLen+int(binary.BigEndian.Uint32(head)))
		copy(frame, head)
		if _, err := io.ReadFull(in, frame[frameLen:]); err != nil {
			return
		}
		fate := r.drawFate(len(frame))
		if fate.lost {
			continue
		}
		if fate.wait > 0 {
			time.Sleep(fate.wait)
		}
		if fate.broken {
			_, _ = out.Write(frame[:len(frame)/2]) // the connection ends either way
			return
		}
		if fate.twice {
			frame = append(frame, frame...)
		}
		if _, err := out.Write(frame); err != nil {
			return
		}
	}
}
