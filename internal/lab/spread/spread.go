// Package spread says how calls were spread over servers: how even they were, and what servers got that were silent.
package spread

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Spread is how even the calls were that servers got.
type Spread struct {
	Mean, Largest     float64 // calls of a server
	Variation, Chance float64 // standard deviation over the mean, and that of single calls that each go anywhere by chance
}

// Of counts what each of so many servers got.
func Of(servers int, got map[string]int) (s Spread) {
	all := make([]float64, 0, servers)
	for _, calls := range got {
		all = append(all, float64(calls))
		s.Largest = max(s.Largest, float64(calls))
	}
	for len(all) < servers { // who got nothing
		all = append(all, 0)
	}
	slices.Sort(all) // the last bits of a sum depend on the order, which a map has none of
	mean, deviation := stat.PopMeanStdDev(all, nil)
	if s.Mean = mean; mean > 0 {
		s.Variation, s.Chance = deviation/mean, 1/math.Sqrt(mean)
	}
	return s
}

// settled is how many seconds servers are silent before it is judged what they get.
const settled = 5

// Tried is how many calls each of so many silent servers got in a second, from the fifth on, by what they got in each.
func Tried(seconds []int, servers int) (mean float64) {
	if len(seconds) <= settled || servers == 0 {
		return 0
	}
	late := seconds[settled:]
	for _, n := range late {
		mean += float64(n) / float64(len(late)*servers)
	}
	return mean
}
