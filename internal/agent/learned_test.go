package agent

import (
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"ternbeam/internal/decide/learned"
	"ternbeam/internal/host/statestore"
	"ternbeam/internal/lab/standin"
	"ternbeam/internal/lab/testkit"
	"ternbeam/internal/store"
)

// An agent that shuts down stores what it learned about a silent server; the next agent on the same folder restores it, and an
// agent whose servers were all replaced restores nothing.
func TestNextAgentRestoresLearnedState(t *testing.T) {
	for _, variant := range protocolVariants[:2] {
		t.Run(variant.name, func(t *testing.T) {
			dir := t.TempDir()
			silent := func(standin.Call) standin.Step { return standin.Step{Fault: standin.NoReply} }
			p := standin.Platform{Deadline: time.Second}
			w := newTestbed(t, variant, p, nil, standin.Options{ID: "well"}, standin.Options{ID: "also"}, standin.Options{ID: "ill", Script: silent})
			restart := func(untilLogged string) {
				t.Helper()
				w.stop()
				if err := <-w.done; err != nil {
					t.Fatal(err)
				}
				log := new(testkit.Log)
				w.startAgent(t, variant, p, slog.New(slog.NewTextHandler(log, nil)), dir)
				testkit.Eventually(t, "the log has "+untilLogged, func() bool { return log.Contains(untilLogged) })
			}
			restart("nothing is kept yet")
			var calls sync.WaitGroup
			for i := range 40 {
				calls.Go(func() {
					a := newCall(standin.Check, fmt.Sprint("r", i))
					a.TimeLeft = 900 * time.Millisecond
					w.client.Do(a)
				})
			}
			calls.Wait()
			restart("learned: recalled")
			records, _, err := store.Peek(store.Dir(dir), statestore.StoreSettings(0))
			if err != nil {
				t.Fatal(err)
			}
			kept, _, err := learned.Read(statestore.LearnedRecords(records))
			if err != nil {
				t.Fatal(err)
			}
			ill := kept.Buckets[0].Servers
			if len(ill) != 1 || ill[0].ID != "ill" || ill[0].Failing < 0.2 && !ill[0].Ejected {
				t.Fatalf("kept %+v", kept)
			}
			for _, s := range w.servers { // all servers are replaced while no agent runs
				e := s.Entry()
				e.StartedMS++
				w.list.Update(e)
			}
			w.stop()
			<-w.done
			log := new(testkit.Log)
			w.startAgent(t, variant, p, slog.New(slog.NewTextHandler(log, nil)), dir)
			w.waitIdle(t) // the event loop has handled all earlier events
			if !log.Contains("learned: loaded") || log.Contains("learned: recalled") {
				t.Errorf("after all servers were replaced the log is\n%s", log)
			}
		})
	}
}
