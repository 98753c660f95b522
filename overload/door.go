package overload

import (
	"sync/atomic"
	"time"
)

// whole is a share of one, as a door counts it.
const whole = 1 << 16

// AdmissionPolicy is what a door goes by. It never changes; a door is given another.
type AdmissionPolicy struct {
	Admit      [][]uint32    // by front and band: of 65,536 requests so many are let in
	RetryAfter time.Duration // what a shed request is told, before it is spread
	ShedShare  float64       // share of the latest offer that this sheds, by cost
}

// AdmissionController stands before a gateway's queue, on whatever goroutine reads requests: it sheds at once what has no chance, from
// no more than its class and repeat mark. It is safe for concurrent use.
type AdmissionController struct {
	verdict atomic.Pointer[AdmissionPolicy]
	offered [][]atomic.Uint64 // by front and band
	shed    [][]atomic.Uint64
}

// NewAdmissionController returns a door that lets everything in.
func NewAdmissionController(bands, fronts int) *AdmissionController {
	d := &AdmissionController{}
	for range fronts {
		d.offered = append(d.offered, make([]atomic.Uint64, bands))
		d.shed = append(d.shed, make([]atomic.Uint64, bands))
	}
	return d
}

// SetPolicy has the door go by a verdict from now on; nil lets everything in.
func (d *AdmissionController) SetPolicy(v *AdmissionPolicy) { d.verdict.Store(v) }

// Admit says whether a request may come in, and else when its client is to come back. The draw is any number that is
// spread evenly, such as a hash of the request's id: equal ones are treated alike, and the advice is spread by it.
func (d *AdmissionController) Admit(front, band int, draw uint64) (later time.Duration, ok bool) {
	d.offered[front][band].Add(1)
	v := d.verdict.Load()
	if v == nil || uint32(draw%whole) < v.Admit[front][band] {
		return 0, true
	}
	d.shed[front][band].Add(1)
	return Jitter(v.RetryAfter, draw/whole), false
}

// Jitter turns an advice into one that differs from client to client, by a quarter up or down. Guards against all of
// them coming back at once.
func Jitter(later time.Duration, draw uint64) time.Duration {
	return later*3/4 + later/2*time.Duration(draw%whole)/whole
}

// TotalOffered adds up all that was offered so far.
func (d *AdmissionController) TotalOffered() (n uint64) {
	for f := range d.offered {
		for b := range d.offered[f] {
			n += d.offered[f][b].Load()
		}
	}
	return n
}

// Offered adds up what was offered so far, by front and band.
func (d *AdmissionController) Offered(front, band int) uint64 { return d.offered[front][band].Load() }

// Shed adds up what was shed so far.
func (d *AdmissionController) Shed(front, band int) uint64 { return d.shed[front][band].Load() }
