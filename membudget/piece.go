package membudget

import "sync"

// Piece is memory of one kind that grows and shrinks, such as the buffer of a connection. It is safe for concurrent use.
type Piece struct {
	budget *Budget
	kind   Kind

	mu       sync.Mutex
	bytes    int64
	released bool
}

// NewPiece returns a piece of a kind of memory that has no bytes.
func (b *Budget) NewPiece(k Kind) *Piece { return &Piece{budget: b, kind: k} }

// Resize changes the piece to n bytes, unless it would grow beyond the limits. It reports whether it was changed, and counts a
// refusal. A piece that was released stays empty.
func (p *Piece) Resize(n int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.released {
		return true
	}
	grown := n - p.bytes
	if grown > 0 && !p.budget.Reserve(p.kind, grown, false) {
		return false
	}
	if grown < 0 {
		p.budget.Release(p.kind, -grown)
	}
	p.bytes = n
	return true
}

// Bytes returns the size of the piece.
func (p *Piece) Bytes() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.bytes
}

// Release empties the piece for good.
func (p *Piece) Release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.released = true
	p.budget.Release(p.kind, p.bytes)
	p.bytes = 0
}
