package stallwatch

import (
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"

	"ternbeam/internal/lab/testkit"
)

func TestStallsAreLogged(t *testing.T) {
	const limit = 20 * time.Millisecond
	log, release := &testkit.Log{}, make(chan struct{})
	w := Watch{Log: slog.New(slog.NewTextHandler(log, nil)), Interval: limit / 4, Limit: limit}
	w.Run(t.Context(),
		Check{"stuck", func(context.Context) { <-release }},
		Check{"well", func(context.Context) {}})
	testkit.Eventually(t, "the stall is logged", func() bool { return log.Contains(`msg="a part of the process has stalled" part=stuck`) })
	if !log.Contains("TestStallsAreLogged") {
		t.Errorf("no stacks in the log: %s", log)
	}
	close(release)
	testkit.Eventually(t, "its end is logged", func() bool { return log.Contains(`msg="a stall is over" part=stuck`) })
	if strings.Contains(log.String(), "part=well") {
		t.Errorf("a part that makes progress was logged: %s", log)
	}
}
