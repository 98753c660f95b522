package overload

import (
	"sync/atomic"
	"time"
)

// fullShare stands for a share of 1 in the fixed-point numbers of an AdmissionPolicy.
const fullShare = 1 << 16

// AdmissionPolicy sets the share of the requests that is admitted. A policy in use does not change;
// it is replaced by another.
type AdmissionPolicy struct {
	Admit      [][]uint32    // by front and band: how many of 65,536 requests are admitted
	RetryAfter time.Duration // Retry-After of shed requests, before [Jitter]
	ShedShare  float64       // share of the offered cost that the policy sheds, 0 to 1
}

// AdmissionController admits or sheds requests before they enter the gateway's queue. It decides by
// a request's front, its class, whether it is a retry, and whether its client offers much less than
// others. It never blocks and is safe for concurrent use.
type AdmissionController struct {
	policy  atomic.Pointer[AdmissionPolicy] // nil: everything is admitted
	offered [][]atomic.Uint64               // requests by front and band
	shed    [][]atomic.Uint64               // requests by front and band
	periods loadPeriods
}

// NewAdmissionController returns an admission controller that admits everything.
func NewAdmissionController(bands, fronts int) *AdmissionController {
	ac := &AdmissionController{}
	for range fronts {
		ac.offered = append(ac.offered, make([]atomic.Uint64, bands))
		ac.shed = append(ac.shed, make([]atomic.Uint64, bands))
	}
	return ac
}

// SetPolicy replaces the policy; nil admits everything.
func (ac *AdmissionController) SetPolicy(policy *AdmissionPolicy) { ac.policy.Store(policy) }

// Admit reports whether to admit a request, and if not, the Retry-After for its client. draw is any
// evenly distributed number, such as a hash of the request's id. Requests of equal draws are
// treated alike, and the Retry-After varies with the draw.
func (ac *AdmissionController) Admit(front, band int, draw uint64) (retryAfter time.Duration, ok bool) {
	return ac.AdmitFrom(nil, 1, front, band, draw)
}

// AdmitFrom is Admit for a request of a cost, see [RequestCost], and of a client whose load is recorded. A client that offers much
// less than others is not shed: it does not cause the load. client may be nil.
func (ac *AdmissionController) AdmitFrom(client *ClientLoad, cost uint32, front, band int, draw uint64) (retryAfter time.Duration, ok bool) {
	ac.offered[front][band].Add(1)
	light := ac.periods.record(client, cost)
	policy := ac.policy.Load()
	if policy == nil || light || uint32(draw%fullShare) < policy.Admit[front][band] {
		return 0, true
	}
	ac.shed[front][band].Add(1)
	return Jitter(policy.RetryAfter, draw/fullShare), false
}

// ShedAdmitted counts a request that was admitted, and is shed for another reason than the load, as shed. It returns the
// Retry-After for its client, of at most maxRetryAfter.
func (ac *AdmissionController) ShedAdmitted(front, band int, draw uint64, maxRetryAfter time.Duration) time.Duration {
	ac.shed[front][band].Add(1)
	retryAfter := time.Duration(minRetryAfterShare * float64(maxRetryAfter))
	if policy := ac.policy.Load(); policy != nil {
		retryAfter = max(retryAfter, policy.RetryAfter)
	}
	return Jitter(retryAfter, draw/fullShare)
}

// Jitter varies a Retry-After by up to a quarter in both directions, so that clients do not all
// retry at once. draw is any evenly distributed number.
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

// Offered returns the number of requests of a front and band offered so far.
func (ac *AdmissionController) Offered(front, band int) uint64 {
	return ac.offered[front][band].Load()
}

// Shed returns the number of requests of a front and band shed so far.
func (ac *AdmissionController) Shed(front, band int) uint64 { return ac.shed[front][band].Load() }
