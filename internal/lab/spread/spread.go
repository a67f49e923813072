// Package spread computes how evenly calls were distributed over servers, and how many attempts unresponsive servers received.
package spread

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Spread describes how evenly calls were distributed over servers.
type Spread struct {
	Mean, Largest     float64 // calls per server
	Variation, Chance float64 // standard deviation divided by mean, and its expected value if each call picked a server at random
}

// Compute returns the Spread of the number of calls per server. received has the calls by server id; the rest of the
// servers received none.
func Compute(servers int, received map[string]int) (s Spread) {
	all := make([]float64, 0, servers)
	for _, calls := range received {
		all = append(all, float64(calls))
		s.Largest = max(s.Largest, float64(calls))
	}
	for len(all) < servers { // servers that received no calls
		all = append(all, 0)
	}
	slices.Sort(all) // the last bits of a sum depend on the order, and a map has no fixed order
	mean, deviation := stat.PopMeanStdDev(all, nil)
	if s.Mean = mean; mean > 0 {
		s.Variation, s.Chance = deviation/mean, 1/math.Sqrt(mean)
	}
	return s
}

// settleSeconds is how many seconds servers must have been silent before the attempts they receive are counted.
const settleSeconds = 5

// SteadyRate returns the mean number of attempts per second that each of the silent servers received after the first 5 s.
// perSecond has the attempts at all of them together, by second. The result is 0 if there is nothing to count.
func SteadyRate(perSecond []int, servers int) (mean float64) {
	if len(perSecond) <= settleSeconds || servers == 0 {
		return 0
	}
	late := perSecond[settleSeconds:]
	for _, n := range late {
		mean += float64(n) / float64(len(late)*servers)
	}
	return mean
}
