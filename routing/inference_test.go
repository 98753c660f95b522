package routing

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Drawn answers of a store that holds three quarters of what is expected of it, some of whose copies went unseen, before a
// source that is well, slow or dead. What they are taken for is held against what they were. At a full store only those
// that were expected to be there are judged: a fill that was expected always counts for its source (see the design note).
func TestInferenceErrorRate(t *testing.T) {
	const objective = 800 * time.Millisecond
	for _, c := range []struct {
		name          string
		utilization   float64       // the store
		fillTime      time.Duration // of a fill
		fillsRejected bool          // fills are refused after that
		maxWrong      float64       // share of the judgements that may be wrong, either way
	}{
		{"all is well", 0.5, 20 * time.Millisecond, false, 0.02},
		{"a slow source", 0.5, 2 * time.Second, false, 0.02},
		{"a dead source", 0.5, 900 * time.Millisecond, true, 0.02},
		{"a full store", 1, 20 * time.Millisecond, false, 0.02},
	} {
		rng := rand.New(rand.NewPCG(1, 2))
		judgedSource, wronglyJudgedSource, lateFills, wronglyJudgedCache := 0, 0, 0, 0
		for range 5000 {
			cached, cacheTime, a := randomAnswer(rng, objective, c.utilization, c.fillTime, c.fillsRejected)
			concernsSource := !a.isHit() && a.concernsSource()
			if concernsSource && a.late {
				if judgedSource++; cacheTime > objective || cached {
					wronglyJudgedSource++
				}
			}
			if a.late && !cached && cacheTime <= objective && c.utilization < 0.9 {
				if lateFills++; !concernsSource {
					wronglyJudgedCache++
				}
			}
		}
		if s := float64(wronglyJudgedSource) / float64(max(1, judgedSource)); s > c.maxWrong {
			t.Errorf("%s: %.2f of %d late judgements on the source were the store's doing", c.name, s, judgedSource)
		}
		if s := float64(wronglyJudgedCache) / float64(max(1, lateFills)); s > c.maxWrong {
			t.Errorf("%s: the store is blamed for %.2f of %d that the source made late", c.name, s, lateFills)
		}
	}
}

// drawAnswer draws whether a store held what it was asked for, how long it took by itself, and what is known of the answer.
func randomAnswer(rng *rand.Rand, objective time.Duration, utilization float64, fillTime time.Duration, fillsRejected bool) (cached bool, cacheTime time.Duration, a evidence) {
	hitExpected := rng.Float64() < 0.8 || utilization > 0.9
	cached = rng.Float64() < 0.05
	if hitExpected {
		cached = rng.Float64() < 0.9 // some went unseen
	}
	cacheTime = time.Duration(float64(300*time.Millisecond) * (0.8 + 0.4*rng.Float64()))
	if utilization > 0.9 {
		cacheTime = time.Duration(float64(cacheTime) * (1 + 4*rng.Float64()))
	}
	latency := cacheTime
	if !cached {
		latency += fillTime
	}
	return cached, cacheTime, evidence{hitExpected: hitExpected, served: cached || !fillsRejected, rejected: !cached && fillsRejected,
		late: latency > objective || !cached && fillsRejected, utilization: utilization * (0.9 + 0.2*rng.Float64()), utilizationKnown: true}
}
