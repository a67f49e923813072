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

// KioskOptions configures the calls of clients.
type KioskOptions struct {
	Rate   float64       // calls per second of each agent's kiosk; 0 for none
	Left   time.Duration // deadline of each call, from its start
	Keyed  float64       // share of the calls that have an idempotency key
	Unsafe float64       // share of the calls that must not be repeated
}

// maxOpenCalls limits the open calls of a kiosk.
const maxOpenCalls = 256

// runKiosk sends calls to an agent until the context ends, even while the agent is down, and waits for the last answers.
func runKiosk(ctx context.Context, agent int, addr string, opts KioskOptions, seed uint64, record *Record) error {
	k, err := standin.NewKiosk("http", addr)
	if err != nil {
		return err
	}
	defer k.Close()
	rng := rand.New(rand.NewPCG(seed, uint64(agent)+1))
	var open sync.WaitGroup
	defer open.Wait()
	slots := make(chan struct{}, maxOpenCalls)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for call := 1; ; call++ {
		timer.Reset(time.Duration(rng.ExpFloat64() / opts.Rate * float64(time.Second)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return nil
		}
		request := standin.Request{Method: standin.Check, ID: callID(agent, call), Tenant: standin.Tenants[rng.IntN(len(standin.Tenants))], Key: "k", TimeLeft: opts.Left}
		switch x := rng.Float64(); {
		case x < opts.Keyed:
			request.Method, request.IdempotencyKey = standin.Record, request.ID
		case x < opts.Keyed+opts.Unsafe:
			request.Method = standin.Pay
		}
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return nil
		}
		open.Go(func() {
			defer func() { <-slots }()
			answer := k.Do(request)
			kind := answer.Kind.String()
			if errors.Is(answer.Err, syscall.ECONNREFUSED) {
				kind = Unreachable
			}
			record.AddEvent(Event{Kind: KioskAnswered, Agent: agent, Call: call, Said: kind, Took: answer.Took})
		})
	}
}
