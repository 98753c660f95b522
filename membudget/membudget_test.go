package membudget

import (
	"testing"

	"pgregory.net/rapid"
)

func TestKindsAreRefusedInOrder(t *testing.T) {
	const limit = 1000
	b := New(limit)
	if b.Reserve(PartialInput, 501, false) || !b.Reserve(PartialInput, 500, false) {
		t.Error("partial input could take more, or less, than half of the limit")
	}
	if !b.Reserve(OpenRequests, 300, false) || b.Reserve(OpenRequests, 1, false) {
		t.Error("open requests were refused below 0.8 of the limit for all kinds, or admitted beyond")
	}
	if b.Reserve(UnhandledInput, 1, false) {
		t.Error("unhandled input was admitted beyond 0.75 of the limit for all kinds")
	}
	if !b.Reserve(EndpointAnswers, 100, false) || !b.Reserve(Writes, 100, false) {
		t.Error("answers to open requests were refused")
	}
	if got := b.Refused(PartialInput); got != 1 {
		t.Errorf("%d refusals of partial input counted, want 1", got)
	}
	b.Release(PartialInput, 500)
	if b.Peak(PartialInput) != 500 || b.Used(PartialInput) != 0 {
		t.Errorf("peak %d and used %d after a release, want 500 and 0", b.Peak(PartialInput), b.Used(PartialInput))
	}
}

// Whatever many holders hold, one that holds nothing must get a small piece.
func TestSmallHolderFindsMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(rapid.Int64Range(6<<20, 200<<20).Draw(t, "limit"))
		holders := make([]*Holder, rapid.IntRange(1, 340).Draw(t, "holders"))
		for i := range holders {
			holders[i] = b.NewHolder(OpenRequests)
		}
		for range rapid.IntRange(1, 3000).Draw(t, "requests") {
			h := holders[rapid.IntRange(0, len(holders)-1).Draw(t, "holder")]
			h.Reserve(rapid.SampledFrom([]int64{600, 3000, 50_000}).Draw(t, "bytes"), false)
		}
		if b.Used(OpenRequests) > b.Max(OpenRequests) {
			t.Fatalf("%d bytes in use, want at most %d", b.Used(OpenRequests), b.Max(OpenRequests))
		}
		if small := b.NewHolder(OpenRequests); !small.Reserve(700, false) {
			t.Fatalf("a request was refused to a holder of nothing, with %d bytes free of %d", b.Free(OpenRequests), b.Max(OpenRequests))
		}
	})
}

// Guards against refusing a client that does not cause the shortage, beside many that do not read their answers. What it
// may hold is bounded, so that answers find memory.
func TestFavoredHolderFindsMemoryBesideUnreadAnswers(t *testing.T) {
	const limit, request = 8 << 20, 1 << 10
	fill := func(used float64) *Budget {
		b := New(limit)
		b.Add(Writes, int64(used*limit))
		return b
	}
	for _, test := range []struct {
		used    float64 // share of the limit that unread answers take
		favored bool
		want    int64 // requests that may be open
	}{
		{used: 0.82, favored: true, want: favoredHolding / request},
		{used: 0.82, favored: false, want: 0},
		{used: 0.87, favored: true, want: favoredHolding / request},
		{used: 0.89, favored: true, want: 0},
	} {
		holder := fill(test.used).NewHolder(OpenRequests)
		open := int64(0)
		for holder.Reserve(request, test.favored) {
			open++
		}
		if open != test.want {
			t.Errorf("with %v of the limit in use a holder, favored %v, may hold %d requests, want %d", test.used, test.favored, open, test.want)
		}
	}
	own := New(limit)
	own.Add(OpenRequests, own.freeForFavored(OpenRequests))
	if own.NewHolder(OpenRequests).Reserve(request, true) {
		t.Error("a favored holder was admitted beyond the limit of its own kind and the margin")
	}
}

func TestNilBudgetHasNoLimit(t *testing.T) {
	var b *Budget
	h := b.NewHolder(OpenRequests)
	if !b.Reserve(Writes, 1<<40, false) || !h.Reserve(1<<40, false) {
		t.Error("a nil budget refused memory")
	}
	h.Release(1 << 40)
	b.Release(Writes, 1<<40)
}

func TestLeastLimitSuffices(t *testing.T) {
	const budget = 6 << 20
	p := Process{Files: 12 << 20}
	p.Limit = p.LeastLimit(budget)
	if got := p.Budget(); got < budget-1<<10 || got > budget+1<<20 {
		t.Errorf("the least limit %d gives a budget of %d bytes, want about %d", p.Limit, got, budget)
	}
}

func TestPieceIsAccountedForOnce(t *testing.T) {
	b := New(1000)
	p := b.NewPiece(PartialInput)
	if !p.Resize(400) || p.Resize(501) || !p.Resize(100) || b.Used(PartialInput) != 100 || p.Bytes() != 100 {
		t.Errorf("after resizing to 400, 501 and 100 bytes of at most 500, %d are in use, want 100", b.Used(PartialInput))
	}
	p.Release()
	if !p.Resize(300) || b.Used(PartialInput) != 0 {
		t.Errorf("%d bytes are in use after a release, want none whatever follows", b.Used(PartialInput))
	}
}
