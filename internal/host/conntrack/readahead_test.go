package conntrack

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"

	"ternbeam/internal/host/membudget"
)

// What is read from the buffer is what was put in, in order, whatever the sizes; its room is bounded by the budget and returned.
func TestReadAheadBufferKeepsOrderWithinItsRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const parts = 3
		budget := membudget.New(2 * parts * readAheadPart) // half of it is left to others
		b := readAheadBuffer{budget: budget}
		var want []byte
		next := byte(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "fill") {
				free := b.free()
				if free == nil {
					if len(want) < minReadAheadBytes {
						t.Fatalf("no room at %d bytes", len(want))
					}
					continue
				}
				n := rapid.IntRange(0, len(free)).Draw(t, "filled")
				for i := range n {
					free[i] = next
					want = append(want, next)
					next++
				}
				b.fill(n)
			} else {
				p := make([]byte, rapid.IntRange(1, 3*readAheadPart).Draw(t, "read"))
				n := b.read(p)
				if !bytes.Equal(p[:n], want[:n]) {
					t.Fatal("other bytes are read than were filled")
				}
				want = want[n:]
			}
			if b.empty() != (len(want) == 0) {
				t.Fatalf("empty: %t with %d bytes", b.empty(), len(want))
			}
			if used := budget.Stats().Used; used > parts*readAheadPart {
				t.Fatalf("%d bytes are reserved", used)
			}
		}
		b.drop()
		if used := budget.Stats().Used; used != 0 || !b.empty() {
			t.Fatalf("%d bytes are reserved after all", used)
		}
	})
}
