package agent

import (
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"ternbeam/internal/decide/learned"
	"ternbeam/internal/host/keeper"
	"ternbeam/internal/lab/standin"
	"ternbeam/internal/lab/testkit"
	"ternbeam/internal/store"
)

// An agent on sockets that ends keeps what it has learned of a silent server; the next one on the folder recalls it, and
// one whose servers were all replaced recalls nothing.
func TestNextAgentRecalls(t *testing.T) {
	for _, sp := range speeches[:2] {
		t.Run(sp.name, func(t *testing.T) {
			dir := t.TempDir()
			silent := func(standin.Call) standin.Step { return standin.Step{Fault: standin.Silence} }
			p := standin.Platform{Deadline: time.Second}
			w := newWorld(t, sp, p, nil, standin.Options{ID: "well"}, standin.Options{ID: "also"}, standin.Options{ID: "ill", Script: silent})
			next := func(until string) {
				t.Helper()
				w.end()
				if err := <-w.done; err != nil {
					t.Fatal(err)
				}
				log := new(testkit.Log)
				w.again(t, sp, p, slog.New(slog.NewTextHandler(log, nil)), dir)
				testkit.Eventually(t, "it says "+until, func() bool { return log.Has(until) })
			}
			next("nothing is kept yet")
			var asks sync.WaitGroup
			for i := range 40 {
				asks.Go(func() {
					a := ask(standin.Check, fmt.Sprint("r", i))
					a.Left = 900 * time.Millisecond
					w.kiosk.Ask(a)
				})
			}
			asks.Wait()
			next("learned: recalled")
			records, _, err := store.Peek(store.Dir(dir), keeper.Bounds(0))
			if err != nil {
				t.Fatal(err)
			}
			kept, _, err := learned.Read(keeper.Records(records))
			if err != nil {
				t.Fatal(err)
			}
			ill := kept.Buckets[0].Servers
			if len(ill) != 1 || ill[0].ID != "ill" || ill[0].Failing < 0.2 && !ill[0].Ejected {
				t.Fatalf("kept %+v", kept)
			}
			for _, s := range w.servers { // all replaced while no agent looked
				e := s.Entry()
				e.StartedMS++
				w.list.Tell(e)
			}
			w.end()
			<-w.done
			log := new(testkit.Log)
			w.again(t, sp, p, slog.New(slog.NewTextHandler(log, nil)), dir)
			w.atRest(t) // the loop has gone through what was posted before
			if !log.Has("learned: loaded") || log.Has("learned: recalled") {
				t.Errorf("of servers that were all replaced it says\n%s", log)
			}
		})
	}
}
