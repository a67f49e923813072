package agent

import (
	"context"
	"sync"
	"time"

	"ternbeam/internal/decide/routes"
	"ternbeam/internal/sysio/transient"
)

// reloadWithin is how long a changed configuration may fail to be read. What the new discovery has to tell binds 4 s after SIGHUP.
const reloadWithin = 3 * time.Second

// reloads is the latest reload. One that is under way when the next begins is given up: the next reads the same files.
type reloads struct {
	mu     sync.Mutex // held while files are read and what they say is put in use
	cancel context.CancelFunc
}

// reload reads the configuration again, in the background: discovery may have moved, and shapes may have changed. Files that can't be
// read, or are being written just now, are read again for a while; after that they change nothing.
func (a *Agent) reload(work context.Context) {
	a.reloads.mu.Lock()
	defer a.reloads.mu.Unlock()
	if a.reloads.cancel != nil {
		a.reloads.cancel()
	}
	ctx, cancel := context.WithTimeout(work, reloadWithin)
	a.reloads.cancel = cancel
	if a.bridge != nil {
		go a.reloadPart(ctx, "keeping the old shapes", func() error { return a.reloadShapes(ctx) })
	}
	go a.reloadPart(ctx, "keeping the old configuration", func() error { return a.reloadDiscovery(work) })
}

// reloadPart reloads one file until it succeeds, a later reload begins, or its time is over.
func (a *Agent) reloadPart(ctx context.Context, failed string, read func() error) {
	failures := 0
	err := transient.Until(ctx, func() error {
		a.reloads.mu.Lock()
		defer a.reloads.mu.Unlock()
		if ctx.Err() != nil {
			return nil // a later reload is under way, or the agent ends
		}
		return read()
	}, transient.TellingFirst(func(err error) {
		a.log.Warn("reading the configuration failed, trying again", "error", err)
	}, func(error) bool { failures++; return true }))
	if err != nil && ctx.Err() != context.Canceled {
		a.log.Error(failed, "error", err, "failures", failures)
	}
}

// reloadShapes puts the shapes of the file in use.
func (a *Agent) reloadShapes(ctx context.Context) error {
	set, err := a.shapes()
	if err != nil {
		return err
	}
	if err := a.bridge.Replace(set, func(t *routes.Table) error { return a.core.Reroute(ctx, t) }); err != nil {
		return err
	}
	a.log.Info("new shapes", "shapes", len(set.Shapes), "mappings", len(set.Plans))
	return nil
}

// reloadDiscovery follows the discovery that the file names now, for as long as the agent works.
func (a *Agent) reloadDiscovery(work context.Context) error {
	addr, err := a.cfg.NewDiscovery()
	if err != nil {
		return err
	}
	a.core.Follow(work, addr)
	return nil
}
