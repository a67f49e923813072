// Command ternbeam is a client-side load-balancing agent. The environment tells where it listens and where its
// configuration is; it serves until SIGTERM or SIGINT and then answers what it has taken. SIGHUP makes it read the
// configuration again.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"ternbeam/internal/agent"
	"ternbeam/internal/config"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "ternbeam:", err)
		os.Exit(1)
	}
}

func run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	reload := make(chan os.Signal, 1) // one that waits stands for any number
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	limit(cfg.Limits)
	a, err := agent.New(cfg, nil, slog.New(slog.NewTextHandler(os.Stderr, nil)))
	if err != nil {
		return err
	}
	return a.Run(ctx, reload)
}

// limit keeps the runtime within what the platform grants. The live heap is small, so rare collections cost
// little memory; near the limit they come more often.
func limit(l config.Limits) {
	if l.Cores > 0 {
		runtime.GOMAXPROCS(int(math.Ceil(l.Cores)))
	}
	if l.MemoryMB > 0 {
		debug.SetMemoryLimit(l.MemoryMB << 20 * 6 / 10)
		debug.SetGCPercent(400)
	}
}
