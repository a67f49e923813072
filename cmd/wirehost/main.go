// Command wirehost runs balancers on the simulator's wire: events on standard input, actions on standard
// output. It hosts many instances, which share nothing.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/decide/asking"
	"ternbeam/internal/decide/subset"
	"ternbeam/internal/settings/wire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}

// askToken is that of the timer for the list; the module's are counted from 0.
const askToken = 1 << 62

// instance is one balancer, and what decides when it asks for the list.
type instance struct {
	*choice.Balancer
	asker  *asking.Asker // nil where the list comes unasked
	places *subset.Subset
}

// run answers every batch of events with one flushed reply until the input ends.
func run(in io.Reader, w io.Writer) error {
	var now time.Duration
	var line []byte
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
		ask := time.Duration(-1) // when the list is to be asked for
		switch i := instances[m.Instance]; m.Kind {
		case wire.Turn:
			now = m.Now
		case wire.Launch:
			b, err := choice.New(m.Settings.Module, m.Seed)
			if err != nil {
				return err
			}
			list := asking.Settings(m.Settings.List)
			i = instance{Balancer: b, places: subset.New(subset.Settings{Agents: list.Agents, Me: list.Me, Seed: m.Seed})}
			if list.Shared {
				i.asker = asking.New(list, m.Seed)
				ask = i.asker.Start(now)
			}
			instances[m.Instance] = i
			actions = b.Start(now)
		case wire.Killed:
			delete(instances, m.Instance)
		case wire.Unavailable:
			if i.asker != nil {
				ask = i.asker.Over(now, 0)
			}
		case wire.Event:
			switch e := m.Event.(type) {
			case choice.ServerList:
				for at, s := range e.Servers {
					e.Servers[at].Place = i.places.Place(s.ID)
				}
				if i.asker != nil && !m.Restored {
					i.asker.Answered(now)
					i.asker.Delivered()
				}
			case choice.TimerFired:
				if e.Token == askToken && i.asker != nil {
					i.asker.Asked(now)
					out.Write(wire.AppendListen(line[:0], m.Instance))
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
		if ask >= 0 {
			actions = append(actions, choice.Action{Kind: choice.SetTimer, Token: askToken, After: ask - now})
		}
		for _, a := range actions {
			line = wire.AppendAction(line[:0], m.Instance, a)
			out.Write(line) // a failed write shows at the flush
		}
	}
}
