package membudget

import "sync/atomic"

const (
	// holderShare is the part of the free memory of a kind that one holder may have in use: 1/holderShare. Holders with much
	// leave little free and are refused first (dynamic thresholds: Choudhury and Hahne, 1998).
	holderShare = 16
	// smallHolding is what a holder may have in use, in bytes, when only smallReserve is left.
	smallHolding = 2 << 10
	// favoredHolding is the same for a holder that is favored, since it does not cause the shortage.
	favoredHolding = 16 << 10
	// smallReserve is the share of a kind's limit that is kept for holders of little.
	smallReserve = 0.3
)

// Holder is the part of one kind of memory that one party holds, such as the open requests of a connection. It is safe for
// concurrent use.
type Holder struct {
	budget *Budget
	kind   Kind
	held   atomic.Int64
}

// NewHolder returns a holder of a kind of memory that holds nothing.
func (b *Budget) NewHolder(k Kind) *Holder { return &Holder{budget: b, kind: k} }

// Reserve adds n bytes to what the holder holds, unless that would exceed its part of the free memory. It reports whether
// they were added, and counts a refusal. favored holders have a larger part of what is kept for holders of little.
func (h *Holder) Reserve(n int64, favored bool) bool {
	small := int64(smallHolding)
	if favored {
		small = favoredHolding
	}
	if !h.mayHold(h.held.Load(), n, small) {
		h.budget.Refuse(h.kind)
		return false
	}
	h.Add(n)
	return true
}

// mayHold reports whether a holder that holds a number of bytes may hold n more, if it may have small bytes in use when little is
// left.
func (h *Holder) mayHold(held, n, small int64) bool {
	if h.budget == nil {
		return true
	}
	free := h.budget.Free(h.kind)
	kindLimit := float64(h.budget.Max(h.kind))
	freeForAll := free - int64(smallReserve*kindLimit)
	switch {
	case n > free:
		return false
	case held+n <= max(small, freeForAll/holderShare):
		return true
	}
	return held == 0 && n <= freeForAll/2 // one large piece, such as the body of a request
}

// Add adds n bytes whatever the limits are.
func (h *Holder) Add(n int64) {
	h.held.Add(n)
	h.budget.Add(h.kind, n)
}

// Release releases n bytes.
func (h *Holder) Release(n int64) { h.Add(-n) }

// Held returns the bytes that the holder holds.
func (h *Holder) Held() int64 { return h.held.Load() }
