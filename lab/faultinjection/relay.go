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
		r.mu.Lock()
		lost, twice := r.cut || r.rng.Float64() < r.lose, r.rng.Float64() < r.double
		broken := r.breaks && r.rng.IntN(40) == 0
		wait, rate := time.Duration(0), r.rate
		if r.delay > 0 {
			wait = time.Duration(r.rng.Int64N(int64(r.delay)))
		}
		r.mu.Unlock()
		if lost {
			continue
		}
		if rate > 0 {
			wait += time.Duration(len(frame)) * time.Second / time.Duration(rate)
		}
		if wait > 0 {
			time.Sleep(wait)
		}
		if broken {
			_, _ = out.Write(frame[:len(frame)/2])
			return
		}
		if twice {
			frame = append(frame, frame...)
		}
		if _, err := out.Write(frame); err != nil {
			return
		}
	}
}
