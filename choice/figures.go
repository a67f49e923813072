package choice

// Read-only statistics of a Balancer. None of its decisions depends on them.

// Ejected returns the number of ready servers that are excluded as unhealthy.
func (b *Balancer) Ejected() (n int) {
	for _, s := range b.servers {
		if s.State == Ready && b.isEjected(s) {
			n++
		}
	}
	return n
}

// Revision returns the revision of what the Balancer has learned: if it is the same as before, nothing was
// learned since.
func (b *Balancer) Revision() uint64 { return b.revision }
