//go:build linux && amd64

package sysfault

import (
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Period is a span of time.
type Period struct{ From, To time.Time }

// leastBusy is the length of the periods that are kept at least.
const leastBusy = 20 * time.Millisecond

// busyPeriods are the times in which a tracer had something to do without a break: a call that was made then may have waited from the beginning of
// such a period to its end.
type busyPeriods struct {
	// Of the tracer's thread.
	account *os.File      // the kernel's of that thread, proc(5), schedstat
	since   time.Time     // zero before it has been idle
	waited  time.Duration // for a processor, in all, as it became idle

	mu  sync.Mutex
	all []Period
}

// attach binds the periods to the calling thread, which is locked.
func (b *busyPeriods) attach() (err error) {
	b.account, err = os.Open("/proc/thread-self/schedstat")
	return err
}

// begin says that the thread has something to do. It had, as it began to wait for a processor.
func (b *busyPeriods) begin() {
	b.since = time.Now().Add(b.waited - b.processorWait())
}

// end says that the thread has nothing to do.
func (b *busyPeriods) end() {
	b.waited = b.processorWait()
	now := time.Now()
	if b.since.IsZero() || now.Sub(b.since) < leastBusy {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.all = append(b.all, Period{b.since, now})
}

// atLeast returns the periods of some length and more.
func (b *busyPeriods) atLeast(length time.Duration) (long []Period) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.all {
		if p.To.Sub(p.From) >= length {
			long = append(long, p)
		}
	}
	return long
}

// processorWait is for how long the thread has waited for a processor so far; 0 where the kernel does not tell.
func (b *busyPeriods) processorWait() time.Duration {
	var text [64]byte
	n, _ := b.account.ReadAt(text[:], 0)
	return ProcessorWait(string(text[:n]))
}

// ProcessorWait is for how long a thread has waited for a processor, by the kernel's account of it (proc(5), schedstat); 0 where that does not tell.
func ProcessorWait(schedstat string) time.Duration {
	fields := strings.Fields(schedstat) // nanoseconds run, nanoseconds waited, times run
	if len(fields) < 2 {
		return 0
	}
	waited, _ := strconv.ParseInt(fields[1], 10, 64)
	return time.Duration(waited)
}
