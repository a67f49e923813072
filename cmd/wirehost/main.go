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
	"ternbeam/internal/settings/wire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}

// run answers every batch of events with one flushed reply until the input ends.
func run(in io.Reader, w io.Writer) error {
	var now time.Duration
	var line []byte
	instances := map[string]*choice.Balancer{}
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
		switch m.Kind {
		case wire.Turn:
			now = m.Now
		case wire.Launch:
			b, err := choice.New(m.Settings, m.Seed)
			if err != nil {
				return err
			}
			instances[m.Instance] = b
			actions = b.Start(now)
		case wire.Killed:
			delete(instances, m.Instance)
		case wire.Event:
			actions = instances[m.Instance].Handle(now, m.Event)
		case wire.YourTurn:
			out.Write(wire.AppendYield(nil))
			if err := out.Flush(); err != nil {
				return err
			}
		}
		for _, a := range actions {
			line = wire.AppendAction(line[:0], m.Instance, a)
			out.Write(line) // a failed write shows at the flush
		}
	}
}
