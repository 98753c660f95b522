package routing

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Random answers of a cache in front of a fill source that is healthy, slow or dead. The cache has
// nine tenths of the copies expected there, as the others were evicted unnoticed, and three quarters
// of all requested ones. The inferred way in which each answer was served is compared with the real
// one. At a full cache only answers with an expected hit are drawn, because an expected fill always
// counts against its source.
func TestInferenceErrorRate(t *testing.T) {
	const objective = 800 * time.Millisecond
	for _, c := range []struct {
		name          string
		utilization   float64       // of the cache
		fillTime      time.Duration // duration of a fill
		fillsRejected bool          // fills are rejected after fillTime
		maxWrong      float64       // maximum share of wrong inferences, of either kind
	}{
		{"all healthy", 0.5, 20 * time.Millisecond, false, 0.02},
		{"slow source", 0.5, 2 * time.Second, false, 0.02},
		{"dead source", 0.5, 900 * time.Millisecond, true, 0.02},
		{"full cache", 1, 20 * time.Millisecond, false, 0.02},
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
			t.Errorf("%s: of the late answers attributed to the source, a share of %.2f of %d were the cache's fault", c.name, s, judgedSource)
		}
		if s := float64(wronglyJudgedCache) / float64(max(1, lateFills)); s > c.maxWrong {
			t.Errorf("%s: the cache is blamed for a share of %.2f of %d answers that the source made late", c.name, s, lateFills)
		}
	}
}

// randomAnswer draws whether a cache has a copy, how long the cache itself takes, and what is known
// about the answer.
func randomAnswer(rng *rand.Rand, objective time.Duration, utilization float64, fillTime time.Duration, fillsRejected bool) (cached bool, cacheTime time.Duration, a evidence) {
	hitExpected := rng.Float64() < 0.8 || utilization > 0.9
	cached = rng.Float64() < 0.05
	if hitExpected {
		cached = rng.Float64() < 0.9 // some copies were evicted unnoticed
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
