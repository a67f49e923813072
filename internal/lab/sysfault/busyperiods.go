//go:build linux && (amd64 || arm64)

package sysfault

import (
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Period is the time from From to To.
type Period struct{ From, To time.Time }

// minBusy is the length from which on busy periods are recorded; shorter ones are dropped.
const minBusy = 20 * time.Millisecond

// busyPeriods records the periods in which a tracer was continuously busy. A call made in such a period may have waited from its beginning
// to its end.
type busyPeriods struct {
	// Used by the tracer's thread only.
	schedstat *os.File      // the scheduling statistics of that thread: schedstat in proc(5)
	busySince time.Time     // start of the current busy period; zero until the thread has been idle once
	waited    time.Duration // total wait for a processor when the thread last became idle

	mu      sync.Mutex
	periods []Period
}

// attach starts recording for the calling thread, which must be locked to its goroutine.
func (b *busyPeriods) attach() (err error) {
	b.schedstat, err = os.Open("/proc/thread-self/schedstat")
	return err
}

// markBusy starts a busy period. The period is dated back by the time that the thread has waited for a processor since it
// was last idle.
func (b *busyPeriods) markBusy() {
	b.busySince = time.Now().Add(b.waited - b.processorWait())
}

// markIdle ends the busy period: the thread is idle.
func (b *busyPeriods) markIdle() {
	b.waited = b.processorWait()
	now := time.Now()
	if b.busySince.IsZero() || now.Sub(b.busySince) < minBusy {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.periods = append(b.periods, Period{b.busySince, now})
}

// atLeast returns the periods that lasted for length or longer.
func (b *busyPeriods) atLeast(length time.Duration) (long []Period) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.periods {
		if p.To.Sub(p.From) >= length {
			long = append(long, p)
		}
	}
	return long
}

// processorWait returns how long the thread has waited for a processor in total, or 0 if the kernel does not report it.
func (b *busyPeriods) processorWait() time.Duration {
	var text [64]byte
	n, _ := b.schedstat.ReadAt(text[:], 0)
	return ProcessorWait(string(text[:n]))
}

// ProcessorWait returns how long a thread has waited for a processor, from the text of its schedstat file (proc(5)), or 0 if the text does
// not contain it.
func ProcessorWait(schedstat string) time.Duration {
	fields := strings.Fields(schedstat) // nanoseconds running, nanoseconds waiting, number of time slices
	if len(fields) < 2 {
		return 0
	}
	waited, _ := strconv.ParseInt(fields[1], 10, 64)
	return time.Duration(waited)
}
