package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"ternbeam/internal/lab/standin"
)

// KioskOptions say what clients ask.
type KioskOptions struct {
	Rate   float64 // calls a second of an agent's kiosk; 0 for none
	Left   time.Duration
	Keyed  float64 // share of the calls that have an idempotency key
	Unsafe float64 // and of those that must not come twice
}

// mostAsked is how many calls a kiosk has out at a time.
const mostAsked = 256

// kiosk asks an agent, whatever becomes of it, until the context ends, and waits for the last answers.
func kiosk(ctx context.Context, agent int, addr string, opts KioskOptions, seed uint64, record *Record) error {
	k, err := standin.NewKiosk("http", addr)
	if err != nil {
		return err
	}
	defer k.Close()
	rng := rand.New(rand.NewPCG(seed, uint64(agent)+1))
	var out sync.WaitGroup
	defer out.Wait()
	free := make(chan struct{}, mostAsked)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for call := 1; ; call++ {
		timer.Reset(time.Duration(rng.ExpFloat64() / opts.Rate * float64(time.Second)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
		ask := standin.Ask{Method: standin.Check, ID: callID(agent, call), Tenant: standin.Tenants[rng.IntN(len(standin.Tenants))], Key: "k", Left: opts.Left}
		switch x := rng.Float64(); {
		case x < opts.Keyed:
			ask.Method, ask.Idempotency = standin.Record, ask.ID
		case x < opts.Keyed+opts.Unsafe:
			ask.Method = standin.Pay
		}
		select {
		case free <- struct{}{}:
		case <-ctx.Done():
			return nil
		}
		out.Go(func() {
			defer func() { <-free }()
			answer := k.Ask(ask)
			said := answer.Kind.String()
			if errors.Is(answer.Err, syscall.ECONNREFUSED) {
				said = Unreached
			}
			record.Put(Event{Kind: Answer, Agent: agent, Call: call, Said: said, Took: answer.Took})
		})
	}
}
