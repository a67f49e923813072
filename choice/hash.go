package choice

import (
	"hash/fnv"
	"io"
)

// hash returns a hash of the text that is the same at every balancer.
func hash(text string) uint64 {
	h := fnv.New64a()
	io.WriteString(h, text)
	return h.Sum64()
}

// mix63 spreads the bits of a hash over 63 bits, as hashes of texts that differ only at their ends are close
// to each other. The constants are those of the finalizer of SplitMix64.
func mix63(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	return (x ^ x>>27) * 0x94d049bb133111eb >> 1
}
