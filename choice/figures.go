package choice

// Read-only figures of a Balancer. No decision depends on them.

// Ejected returns the number of ready servers that are excluded as unhealthy.
func (b *Balancer) Ejected() (n int) {
	for _, s := range b.servers {
		if s.State == Ready && b.isEjected(s) {
			n++
		}
	}
	return n
}

// News returns a count of the changes to what the Balancer has learned: if it is the same as before,
// there were none.
func (b *Balancer) News() uint64 { return b.revision }
