package membudget

import "sync/atomic"

const (
	// holderShare is the part of the free memory of a kind that one holder may have in use: 1/holderShare. Holders with much
	// leave little free and are refused first (dynamic thresholds: Choudhury and Hahne, 1998).
	holderShare = 16
	// smallHolding is what a holder may have in use, in bytes, when only smallReserve is left.
	smallHolding = 2 << 10
	// favoredHolding is the same for a holder that is favored, since it does not cause the shortage.
	favoredHolding = 32 << 10
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
	held := h.held.Load()
	if favored && h.mayHoldFavored(held, n) || h.mayHold(held, n) {
		h.Add(n)
		return true
	}
	h.budget.Refuse(h.kind)
	return false
}

// mayHoldFavored reports whether a favored holder that holds a number of bytes may hold n more, whatever others hold.
func (h *Holder) mayHoldFavored(held, n int64) bool {
	return held+n <= favoredHolding && n <= h.budget.freeForFavored(h.kind)
}

// mayHold reports whether a holder that holds a number of bytes may hold n more.
func (h *Holder) mayHold(held, n int64) bool {
	if h.budget == nil {
		return true
	}
	free := h.budget.Free(h.kind)
	kindLimit := float64(h.budget.Max(h.kind))
	freeForAll := free - int64(smallReserve*kindLimit)
	switch {
	case n > free:
		return false
	case held+n <= max(smallHolding, freeForAll/holderShare):
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
