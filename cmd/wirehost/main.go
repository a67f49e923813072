// Command wirehost runs balancers on the simulator's wire protocol: it reads events from standard input and writes actions to
// standard output. It hosts any number of instances, which share no state.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/decide/pacing"
	"ternbeam/internal/decide/subset"
	"ternbeam/internal/settings/wire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}

// listTimerToken is the token of the timer for requesting the list. The tokens of the balancer count up from 0.
const listTimerToken = 1 << 62

// instance is one balancer, with the scheduler of its list requests and its ranks at servers.
type instance struct {
	*choice.Balancer
	scheduler *pacing.Scheduler // nil if the list is pushed
	subset    *subset.Subset
}

// run answers every batch of events with one flushed reply until the input ends.
func run(in io.Reader, w io.Writer) error {
	var now time.Duration
	var buf []byte
	instances := map[string]instance{}
	decoder, out := wire.NewDecoder(in), bufio.NewWriterSize(w, 1<<16)
	for {
		m, err := decoder.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		var actions []choice.Action
		listAt := time.Duration(-1) // when to request the list; -1 for no change
		switch i := instances[m.Instance]; m.Kind {
		case wire.Turn:
			now = m.Now
		case wire.Launch:
			b, err := choice.New(m.Settings.Module, m.Seed)
			if err != nil {
				return err
			}
			listSettings := pacing.Settings(m.Settings.Pacing)
			i = instance{Balancer: b, subset: subset.New(subset.Settings{Agents: listSettings.Agents, Me: listSettings.Me, Seed: m.Seed})}
			if listSettings.Shared {
				i.scheduler = pacing.New(listSettings, m.Seed)
				listAt = i.scheduler.FirstCall(now)
			}
			instances[m.Instance] = i
			actions = b.Start(now)
		case wire.Killed:
			delete(instances, m.Instance)
		case wire.Unavailable:
			if i.scheduler != nil {
				listAt = i.scheduler.CallEnded(now, 0)
			}
		case wire.Event:
			switch e := m.Event.(type) {
			case choice.ServerList:
				for n, s := range e.Servers {
					e.Servers[n].SubsetRank = i.subset.Rank(s.ID)
				}
				if i.scheduler != nil && !m.Restored {
					i.scheduler.ResponseStarted(now)
					i.scheduler.ListReceived()
				}
			case choice.TimerFired:
				if e.Token == listTimerToken && i.scheduler != nil {
					i.scheduler.CallStarted(now)
					out.Write(wire.AppendListen(buf[:0], m.Instance))
					continue
				}
			}
			actions = i.Handle(now, m.Event)
		case wire.YourTurn:
			out.Write(wire.AppendYield(nil))
			if err := out.Flush(); err != nil {
				return err
			}
		}
		if listAt >= 0 {
			actions = append(actions, choice.Action{Kind: choice.SetTimer, Token: listTimerToken, After: listAt - now})
		}
		for _, a := range actions {
			buf = wire.AppendAction(buf[:0], m.Instance, a)
			out.Write(buf) // a write error is returned by Flush
		}
	}
}
