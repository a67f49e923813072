// Package stallwatch detects parts of the process that no longer make progress, for example because of a deadlock, and logs the stacks of all
// goroutines.
package stallwatch

import (
	"context"
	"log/slog"
	"runtime"
	"time"
)

// The production settings of a Watch.
const (
	Interval = 2 * time.Second // between two checks of a part
	Limit    = 2 * time.Second // a check that takes longer is logged as a stall
)

// maxStackBytes limits the stacks in a log line, in bytes.
const maxStackBytes = 64 << 10

// Check tests whether a part of the process makes progress.
type Check struct {
	Part string                    // name in the log
	Run  func(ctx context.Context) // returns once the part has made progress or ctx is done
}

// Watch runs checks periodically and logs stalls.
type Watch struct {
	Log             *slog.Logger
	Interval, Limit time.Duration // as the constants of these names
}

// Run starts a goroutine for each check that repeats it until ctx is done.
func (w Watch) Run(ctx context.Context, checks ...Check) {
	for _, check := range checks {
		go w.repeat(ctx, check)
	}
}

func (w Watch) repeat(ctx context.Context, check Check) {
	next := time.NewTicker(w.Interval)
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-next.C:
			w.once(ctx, check)
		}
	}
}

// once runs a check. A stall is logged as soon as it is detected, because the process may not survive it, and again when it ends.
func (w Watch) once(ctx context.Context, check Check) {
	begin := time.Now()
	timer := time.AfterFunc(w.Limit, func() {
		if ctx.Err() == nil {
			w.Log.Error("a part of the process has stalled", "part", check.Part, "for", w.Limit, "stacks", stacks())
		}
	})
	check.Run(ctx)
	if !timer.Stop() && ctx.Err() == nil {
		w.Log.Warn("a stall is over", "part", check.Part, "took", time.Since(begin).Round(time.Millisecond))
	}
}

// stacks returns the stack traces of all goroutines.
func stacks() string {
	text := make([]byte, maxStackBytes)
	return string(text[:runtime.Stack(text, true)])
}
