package agent

import (
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"ternbeam/internal/discovery"
	"ternbeam/internal/lab/loadgen"
)

// BenchmarkThrough makes calls through an agent, 4 at a time per processor (16 on 4 cores), to servers that answer immediately; "direct"
// is the same without the agent. It reports allocations; ternbeam-load measures the CPU time of the agent alone.
func BenchmarkThrough(b *testing.B) {
	var clients atomic.Int64 // numbers the clients, since every request id must be unique
	for _, protocol := range loadgen.Protocols {
		name := map[string]string{"http": "http", "binary": "thrift-binary", "compact": "thrift-compact"}[protocol]
		p := loadgen.Platform("")
		p.Discovery, p.InitialList = "127.0.0.1:1", discovery.List{Full: true}
		for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"} {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			defer l.Close()
			go loadgen.Serve(l, protocol)
			p.InitialList.Servers = append(p.InitialList.Servers, discovery.Entry{ID: id, Addr: l.Addr().String(), Zone: "z",
				State: "in_service", Protocol: name})
		}
		cfg, service, err := p.Load()
		if err != nil {
			b.Fatal(err)
		}
		r := startWithThrift(b, cfg, service)
		agentAddr := r.thrift
		if protocol == "http" {
			agentAddr = strings.TrimPrefix(r.url, "http://")
		}
		for path, addr := range map[string]string{"direct": p.InitialList.Servers[0].Addr, "agent": agentAddr} {
			b.Run(protocol+"/"+path, func(b *testing.B) {
				b.ReportAllocs()
				b.SetParallelism(4)
				b.RunParallel(func(pb *testing.PB) {
					c, err := loadgen.Dial(protocol, addr, fmt.Sprint(clients.Add(1), "-"))
					if err != nil {
						b.Error(err)
						return
					}
					defer c.Close()
					for pb.Next() {
						if err := c.Call(); err != nil {
							b.Error(err)
							return
						}
					}
				})
			})
		}
		r.stop()
	}
}
