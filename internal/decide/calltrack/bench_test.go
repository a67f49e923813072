package calltrack

import (
	"fmt"
	"testing"
	"time"

	"ternbeam/choice"
)

// Measures the time that an export takes on the event loop, by the number of servers, if facts about all of them are known.
func BenchmarkExport(b *testing.B) {
	for _, n := range []int{12, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			module, err := choice.New(choice.Settings{Tick: time.Millisecond, MaxAttempts: 2, Classes: []choice.Class{
				{Name: "check", Aim: time.Second, Deadline: time.Second, Value: 1}}}, 1)
			if err != nil {
				b.Fatal(err)
			}
			tracker := New(Settings{MaxAttempts: 2, HasTransport: func(choice.Protocols) bool { return true }}, module)
			tracker.Start(time.Hour)
			var entries []Entry
			memory := choice.Memory{}
			for i := range n {
				id := fmt.Sprintf("forms-%05d", i)
				entries = append(entries, Entry{Server: choice.Server{ID: id, Weight: 1}, Addr: "127.0.0.1:1"})
				memory.Servers = append(memory.Servers, choice.ServerMemory{ID: id, Rate: 100, Trust: 1, Failing: 0.1})
			}
			tracker.UpdateServers(time.Hour, true, entries)
			module.Recall(time.Hour, memory)
			var into Learned
			tracker.Export(time.Hour, &into, nil)
			if len(into.Servers) != n || len(into.Fleet) != n {
				b.Fatalf("%d servers, %d in the fleet", len(into.Servers), len(into.Fleet))
			}
			b.ReportAllocs()
			for b.Loop() {
				tracker.Export(time.Hour, &into, nil)
			}
		})
	}
}
