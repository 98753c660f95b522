package overload

import (
	"sync/atomic"
	"time"
)

// fullShare is a share of 1 in the fixed-point numbers of an AdmissionPolicy.
const fullShare = 1 << 16

// AdmissionPolicy says which share of the requests is admitted. It doesn't change once it is in use; another replaces it.
type AdmissionPolicy struct {
	Admit      [][]uint32    // by front and band: how many of 65,536 requests are admitted
	RetryAfter time.Duration // what a shed request is told, before [Jitter]
	ShedShare  float64       // share of the latest offered cost that this sheds, 0 to 1
}

// AdmissionController stands before a gateway's queue and sheds at once what has no chance, knowing no more of a request than
// its front, its class and whether it is a retry. It never blocks and is safe for concurrent use.
type AdmissionController struct {
	policy  atomic.Pointer[AdmissionPolicy] // nil: everything is admitted
	offered [][]atomic.Uint64               // requests by front and band
	shed    [][]atomic.Uint64               // requests by front and band
}

// NewAdmissionController returns one that admits everything.
func NewAdmissionController(bands, fronts int) *AdmissionController {
	ac := &AdmissionController{}
	for range fronts {
		ac.offered = append(ac.offered, make([]atomic.Uint64, bands))
		ac.shed = append(ac.shed, make([]atomic.Uint64, bands))
	}
	return ac
}

// SetPolicy puts a policy in force; nil admits everything.
func (ac *AdmissionController) SetPolicy(policy *AdmissionPolicy) { ac.policy.Store(policy) }

// Admit reports whether a request is admitted, and if not after what time its client is to retry. draw is any evenly
// distributed number, such as a hash of the request's id: requests of equal draws are treated alike, and the Retry-After of
// different ones is spread.
func (ac *AdmissionController) Admit(front, band int, draw uint64) (retryAfter time.Duration, ok bool) {
	ac.offered[front][band].Add(1)
	policy := ac.policy.Load()
	if policy == nil || uint32(draw%fullShare) < policy.Admit[front][band] {
		return 0, true
	}
	ac.shed[front][band].Add(1)
	return Jitter(policy.RetryAfter, draw/fullShare), false
}

// Jitter changes a Retry-After by up to a quarter up or down, so that clients don't all come back at once.
func Jitter(retryAfter time.Duration, draw uint64) time.Duration {
	return retryAfter*3/4 + retryAfter/2*time.Duration(draw%fullShare)/fullShare
}

// TotalOffered returns the number of requests offered so far.
func (ac *AdmissionController) TotalOffered() (n uint64) {
	for f := range ac.offered {
		for b := range ac.offered[f] {
			n += ac.offered[f][b].Load()
		}
	}
	return n
}

// Offered returns the number of requests offered so far by a front and of a band.
func (ac *AdmissionController) Offered(front, band int) uint64 {
	return ac.offered[front][band].Load()
}

// Shed returns the number of requests shed so far by a front and of a band.
func (ac *AdmissionController) Shed(front, band int) uint64 { return ac.shed[front][band].Load() }
