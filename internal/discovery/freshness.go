package discovery

import (
	"sync/atomic"
	"time"
)

// Freshness holds the latest time for which the agent knows the server list as it was then, on the agent's clock: 0 before discovery has told it
// anything. It is safe for concurrent use.
type Freshness struct{ currentAt atomic.Int64 }

// CurrentAt returns that time.
func (f *Freshness) CurrentAt() time.Duration { return time.Duration(f.currentAt.Load()) }

// confirm records that the list is known as it is now. A nil Freshness ignores it.
func (f *Freshness) confirm(now time.Duration) {
	if f != nil {
		f.currentAt.Store(int64(now))
	}
}
