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

// mix spreads the bits: hashes of texts that differ only at their ends are close to each other.
// The result has 63 bits.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	return (x ^ x>>27) * 0x94d049bb133111eb >> 1
}
