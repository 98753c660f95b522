package routing

import "math"

// hash returns the FNV-1a hash of s, finalized by mix.
func hash(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := 0; i < len(s); i++ {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return mix(h)
}

// mix spreads a number over all bits; it is the finalizer of splitmix64.
func mix(h uint64) uint64 {
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// score returns the weighted rendezvous score of b for a: over many a, each b has the highest score
// in proportion to its weight.
func score(a, b uint64, weight float64) float64 {
	u := (float64(mix(a^b)>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(u)
}
