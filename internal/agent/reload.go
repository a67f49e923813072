package agent

import (
	"context"
	"sync"
	"time"

	"ternbeam/internal/decide/routes"
	"ternbeam/internal/sysio/transient"
)

// reloadTimeout is how long reading a changed configuration is retried. Lists of the new discovery service must be in effect 4 s
// after SIGHUP.
const reloadTimeout = 3 * time.Second

// reloads holds the latest reload. A new reload cancels one that is still in progress, since it reads the same files.
type reloads struct {
	mu     sync.Mutex // held while files are read and applied
	cancel context.CancelFunc
}

// reload reads the configuration again in the background: the address of discovery and the shapes may have changed. Files that
// can't be read, or are half written, are retried for reloadTimeout; after that the old configuration stays in effect.
func (a *Agent) reload(work context.Context) {
	a.reloads.mu.Lock()
	defer a.reloads.mu.Unlock()
	if a.reloads.cancel != nil {
		a.reloads.cancel()
	}
	ctx, cancel := context.WithTimeout(work, reloadTimeout)
	a.reloads.cancel = cancel
	if a.bridge != nil {
		go a.reloadPart(ctx, "keeping the old shapes", func() error { return a.reloadShapes(ctx) })
	}
	go a.reloadPart(ctx, "keeping the old configuration", func() error { return a.reloadDiscovery(work) })
}

// reloadPart retries one part of a reload until it succeeds, a later reload begins, or ctx times out. It logs failureMsg on a
// timeout.
func (a *Agent) reloadPart(ctx context.Context, failureMsg string, read func() error) {
	failures := 0
	err := transient.Retry(ctx, func() error {
		a.reloads.mu.Lock()
		defer a.reloads.mu.Unlock()
		if ctx.Err() != nil {
			return nil // a later reload is in progress, or the agent is shutting down
		}
		return read()
	}, transient.NotifyFirst(func(err error) {
		a.log.Warn("reading the configuration failed, trying again", "error", err)
	}, func(error) bool { failures++; return true }))
	if err != nil && ctx.Err() != context.Canceled {
		a.log.Error(failureMsg, "error", err, "failures", failures)
	}
}

// reloadShapes reads the shapes and replaces the current ones.
func (a *Agent) reloadShapes(ctx context.Context) error {
	set, err := a.shapes()
	if err != nil {
		return err
	}
	if err := a.bridge.Replace(set, func(t *routes.Table) error { return a.core.ReplaceRoutes(ctx, t) }); err != nil {
		return err
	}
	a.log.Info("new shapes", "shapes", len(set.Shapes), "mappings", len(set.Plans))
	return nil
}

// reloadDiscovery switches to the discovery address in the configuration file. work lasts as long as the agent runs.
func (a *Agent) reloadDiscovery(work context.Context) error {
	addr, err := a.cfg.ReloadDiscovery()
	if err != nil {
		return err
	}
	a.core.SetDiscovery(work, addr)
	return nil
}
