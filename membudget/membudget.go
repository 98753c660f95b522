// Package membudget accounts for the memory that other parties make this process hold: clients, endpoints and other
// gateways. All of it together has one limit, and each kind has a share of it. A kind that may be refused is refused
// before the kinds that follow from what was admitted: an open request can always be answered.
//
// A Budget is safe for concurrent use, and does no I/O.
package membudget

import (
	"math"
	"sync/atomic"
)

// Kind is a kind of memory. A kind further down the list may still grow when those before it may not.
type Kind int

// The kinds of memory.
const (
	PartialInput    Kind = iota // incomplete messages, by the capacity of their buffers
	UnhandledInput              // complete messages on their way to the event loop
	OpenRequests                // open requests with their bodies
	MigratingInput              // input that is buffered for the successor process
	EndpointAnswers             // answers that are being received from endpoints
	Writes                      // bytes that wait to be written to clients and endpoints
	Connections                 // state of connections
	kindCount
)

// String returns the name of a kind in metrics.
func (k Kind) String() string {
	return [...]string{"partial_input", "unhandled_input", "open_requests", "migrating_input", "endpoint_answers", "writes", "connections"}[k]
}

// Kinds returns all kinds.
func Kinds() (all []Kind) {
	for k := range kindCount {
		all = append(all, k)
	}
	return all
}

// bounds limits each kind: to a share of the limit for itself, and to the share of the limit up to which all kinds
// together may grow by it.
var bounds = [kindCount]struct{ own, all float64 }{
	PartialInput:    {own: 0.5, all: 0.7},
	UnhandledInput:  {own: 0.2, all: 0.75},
	OpenRequests:    {own: 0.45, all: 0.8},
	MigratingInput:  {own: 0.1, all: 0.85},
	EndpointAnswers: {own: 0.25, all: 0.9},
	Writes:          {own: 0.4, all: 1},
	Connections:     {own: 1, all: 1},
}

// Budget accounts for the memory of a process. A nil Budget has no limit.
type Budget struct {
	limit atomic.Int64 // bytes of all kinds together
	total atomic.Int64
	kinds [kindCount]struct{ used, peak, refused atomic.Int64 }
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget {
	b := &Budget{}
	b.SetLimit(limit)
	return b
}

// SetLimit replaces the limit in bytes. What is in use beyond it stays in use.
func (b *Budget) SetLimit(limit int64) { b.limit.Store(max(0, limit)) }

// Limit returns the limit of all kinds together, in bytes.
func (b *Budget) Limit() int64 { return b.limit.Load() }

// Max returns the limit of one kind, in bytes.
func (b *Budget) Max(k Kind) int64 {
	if b == nil {
		return math.MaxInt64
	}
	return int64(bounds[k].own * float64(b.limit.Load()))
}

// Free returns by how many bytes a kind may grow now; 0 or less: it may not grow.
func (b *Budget) Free(k Kind) int64 {
	if b == nil {
		return math.MaxInt64
	}
	limit := float64(b.limit.Load())
	own := int64(bounds[k].own*limit) - b.kinds[k].used.Load()
	all := int64(bounds[k].all*limit) - b.total.Load()
	return min(own, all)
}

// shortShare is the share of a kind's limit that is free when it counts as short: what is on its way may take the rest.
const shortShare = 0.67

// IsShort reports whether less of a kind is free than shortShare of its limit.
func (b *Budget) IsShort(k Kind) bool {
	return b != nil && float64(b.Free(k)) < shortShare*float64(b.Max(k))
}

// favoredMargin is the share of the limit by which memory for a favored party may exceed the bounds of its kind: it does not cause the
// shortage.
const favoredMargin = 0.08

// freeForFavored is Free for a favored party.
func (b *Budget) freeForFavored(k Kind) int64 {
	if b == nil {
		return math.MaxInt64
	}
	return b.Free(k) + int64(favoredMargin*float64(b.limit.Load()))
}

// Reserve adds n bytes of a kind, unless that would exceed a limit. It reports whether they were added, and counts a
// refusal. favored memory may exceed the limits of its kind a little.
func (b *Budget) Reserve(k Kind, n int64, favored bool) bool {
	if b == nil {
		return true
	}
	free := b.Free(k)
	if favored {
		free = b.freeForFavored(k)
	}
	if n > free {
		b.kinds[k].refused.Add(1)
		return false
	}
	b.Add(k, n)
	return true
}

// Refuse counts a refusal that the caller has decided on itself.
func (b *Budget) Refuse(k Kind) {
	if b != nil {
		b.kinds[k].refused.Add(1)
	}
}

// Add adds n bytes of a kind whatever the limits are. n may be negative, to release bytes.
func (b *Budget) Add(k Kind, n int64) {
	if b == nil || n == 0 {
		return
	}
	b.total.Add(n)
	used := b.kinds[k].used.Add(n)
	for peak := b.kinds[k].peak.Load(); used > peak && !b.kinds[k].peak.CompareAndSwap(peak, used); {
		peak = b.kinds[k].peak.Load()
	}
}

// Release releases n bytes of a kind.
func (b *Budget) Release(k Kind, n int64) { b.Add(k, -n) }

// Used returns the bytes of a kind that are in use.
func (b *Budget) Used(k Kind) int64 { return b.kinds[k].used.Load() }

// Peak returns the most bytes of a kind that were in use.
func (b *Budget) Peak(k Kind) int64 { return b.kinds[k].peak.Load() }

// Refused returns how often a kind was refused memory.
func (b *Budget) Refused(k Kind) int64 { return b.kinds[k].refused.Load() }
