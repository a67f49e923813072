package replay

import (
	"fmt"
	"log/slog"
	"sync/atomic"
	"testing"

	"ternbeam/internal/lab/standin"
	"ternbeam/internal/lab/testkit"
	"ternbeam/internal/translate"
)

// BenchmarkCall measures calls through the agent, end to end on loopback with clients and servers in the same process:
// untranslated with an agent without shapes, untranslated with shapes, and translated between several pairs of protocols.
func BenchmarkCall(b *testing.B) {
	o := load(b)[0]
	var ids atomic.Int64
	for _, c := range []struct {
		name, client, server, version string
		shapes                        func() (*translate.Set, error)
	}{
		{"http/no-shapes", "http", "http", "1", nil}, {"http/as-it-came", "http", "http", "1", shapes},
		{"http/to-http", "http", "http", "2", shapes}, {"http/to-compact", "http", "thrift-compact", "2", shapes},
		{"binary/no-shapes", "thrift-binary", "thrift-binary", "1", nil}, {"binary/as-it-came", "thrift-binary", "thrift-binary", "1", shapes},
		{"binary/to-binary", "thrift-binary", "thrift-binary", "2", shapes}, {"binary/to-http", "thrift-binary", "http", "2", shapes},
	} {
		b.Run(c.name, func(b *testing.B) {
			w, err := NewWorld(standin.Platform{Cores: 4}, c.shapes, slog.New(slog.DiscardHandler),
				standin.Options{ID: "a", Protocol: c.server, Shapes: []string{c.version}, NoLoad: true},
				standin.Options{ID: "b", Protocol: c.server, Shapes: []string{c.version}, NoLoad: true})
			if err != nil {
				b.Fatal(err)
			}
			defer w.Close()
			b.ReportAllocs()
			b.SetParallelism(8)
			b.RunParallel(func(pb *testing.PB) {
				p := w.Player(testkit.WaitTimeout)
				defer p.Close()
				for pb.Next() {
					o := o
					n := ids.Add(1)
					o.Key = fmt.Appendf(nil, "k-%d", n)
					m, err := p.Do(o.exchange(fmt.Sprint("b-", n), c.client))
					if err != nil || unserved(m) {
						b.Errorf("received %v, %v", m, err)
						return
					}
				}
			})
		})
	}
}
