package upstream

import "hash/fnv"

// HashString returns a hash of s that is the same on every node and in every
// version: 64-bit FNV-1a, followed by the finalizer of SplitMix64 so that names
// that differ only at their ends differ in all bits.
func HashString(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	x := h.Sum64()
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// unitInterval maps a hash to [0, 1).
func unitInterval(hash uint64) float64 {
	const mantissaBits = 53
	return float64(hash>>(64-mantissaBits)) / (1 << mantissaBits)
}
