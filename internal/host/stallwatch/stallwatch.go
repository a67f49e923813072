// Package stallwatch logs parts of the process that make no progress any more, as in a deadlock, with the stacks of all goroutines.
package stallwatch

import (
	"context"
	"log/slog"
	"runtime"
	"time"
)

// The times of a Watch in service.
const (
	Interval = 2 * time.Second // from one check of a part to the next
	Limit    = 2 * time.Second // a check that takes longer finds a stall
)

// mostStacks bounds the stacks in a line, in bytes.
const mostStacks = 64 << 10

// Check tells that a part of the process makes progress.
type Check struct {
	Part string
	Run  func(ctx context.Context) // returns once the part has done something, or ctx has ended
}

// Watch runs checks.
type Watch struct {
	Log             *slog.Logger
	Interval, Limit time.Duration
}

// Run runs each of the checks again and again, beside the others, until ctx ends.
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

// once runs a check. A stall has a line when it is found, which it may not outlive, and one when it is over.
func (w Watch) once(ctx context.Context, check Check) {
	begin := time.Now()
	found := time.AfterFunc(w.Limit, func() {
		if ctx.Err() == nil {
			w.Log.Error("a part of the process has stalled", "part", check.Part, "for", w.Limit, "stacks", stacks())
		}
	})
	check.Run(ctx)
	if !found.Stop() && ctx.Err() == nil {
		w.Log.Warn("a stall is over", "part", check.Part, "took", time.Since(begin).Round(time.Millisecond))
	}
}

// stacks returns what all goroutines do.
func stacks() string {
	text := make([]byte, mostStacks)
	return string(text[:runtime.Stack(text, true)])
}
