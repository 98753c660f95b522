package routing

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Drawn answers of a store that holds three quarters of what is expected of it, some of whose copies went unseen, before a
// source that is well, slow or dead. What they are taken for is held against what they were. At a full store only those
// that were expected to be there are judged: a fill that was expected always counts for its source (see the design note).
func TestWhatIsInferredAgainstWhatWas(t *testing.T) {
	const aim = 800 * time.Millisecond
	for _, c := range []struct {
		name    string
		busy    float64       // the store
		wait    time.Duration // of a fill
		refused bool          // fills are refused after that
		most    float64       // share of the judgements that may be wrong, either way
	}{
		{"all is well", 0.5, 20 * time.Millisecond, false, 0.02},
		{"a slow source", 0.5, 2 * time.Second, false, 0.02},
		{"a dead source", 0.5, 900 * time.Millisecond, true, 0.02},
		{"a full store", 1, 20 * time.Millisecond, false, 0.02},
	} {
		rng := rand.New(rand.NewPCG(1, 2))
		source, wrongSource, late, wrongStore := 0, 0, 0, 0
		for range 5000 {
			held, own, a := drawAnswer(rng, aim, c.busy, c.wait, c.refused)
			filled := !a.isHit() && a.judgesSource()
			if filled && a.late {
				if source++; own > aim || held {
					wrongSource++
				}
			}
			if a.late && !held && own <= aim && c.busy < 0.9 {
				if late++; !filled {
					wrongStore++
				}
			}
		}
		if s := float64(wrongSource) / float64(max(1, source)); s > c.most {
			t.Errorf("%s: %.2f of %d late judgements on the source were the store's doing", c.name, s, source)
		}
		if s := float64(wrongStore) / float64(max(1, late)); s > c.most {
			t.Errorf("%s: the store is blamed for %.2f of %d that the source made late", c.name, s, late)
		}
	}
}

// drawAnswer draws whether a store held what it was asked for, how long it took by itself, and what is known of the answer.
func drawAnswer(rng *rand.Rand, aim time.Duration, busy float64, wait time.Duration, refused bool) (held bool, own time.Duration, a evidence) {
	expected := rng.Float64() < 0.8 || busy > 0.9
	held = rng.Float64() < 0.05
	if expected {
		held = rng.Float64() < 0.9 // some went unseen
	}
	own = time.Duration(float64(300*time.Millisecond) * (0.8 + 0.4*rng.Float64()))
	if busy > 0.9 {
		own = time.Duration(float64(own) * (1 + 4*rng.Float64()))
	}
	took := own
	if !held {
		took += wait
	}
	return held, own, evidence{hitExpected: expected, served: held || !refused, rejected: !held && refused,
		late: took > aim || !held && refused, utilization: busy * (0.9 + 0.2*rng.Float64()), utilizationKnown: true}
}
