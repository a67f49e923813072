package thriftwire

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/apache/thrift/lib/go/thrift"

	"ternbeam/internal/lab/formapi"
)

// benchCall returns a formCheck call as a client sends it, with a form of size bytes.
func benchCall(b *testing.B, e Encoding, size int) []byte {
	key, left := "7f3a9c21e0b4d655", int64(4800)
	args := &formapi.FormServiceFormCheckArgs{Header: &formapi.Header{CorrelationId: "9b1f03aa5c7e2d41", Tenant: "leith",
		Key: &key, TimeLeftMs: &left}, Form: []byte(strings.Repeat("x", size))}
	ctx, buf := context.Background(), thrift.NewTMemoryBuffer()
	p := apacheProtocol(e, buf)
	p.WriteMessageBegin(ctx, "formCheck", thrift.CALL, 7)
	if err := args.Write(ctx, p); err != nil {
		b.Fatal(err)
	}
	p.Flush(ctx)
	return buf.Bytes()
}

// BenchmarkRead measures finding the agent's fields in a call with the scanner. The baselines are the Apache library's generated reader, and its
// Skip, which extracts no fields.
func BenchmarkRead(b *testing.B) {
	plan := newPlan(b, 32, "1.1", "1.2", "1.3", "1.4", "1.5", "1.6")
	for _, e := range encodings {
		for _, size := range []int{64, 1 << 10, 16 << 10} {
			m := benchCall(b, e, size)
			run := func(name string, read func() error) {
				b.Run(fmt.Sprintf("%v/%d/%s", e, size, name), func(b *testing.B) {
					b.SetBytes(int64(len(m)))
					b.ReportAllocs()
					for b.Loop() {
						if err := read(); err != nil {
							b.Fatal(err)
						}
					}
				})
			}
			run("scanner", func() error {
				var found [6]Field
				h, err := ReadHead(m)
				if err == nil {
					err = plan.Scan(h, m, found[:])
				}
				return err
			})
			ctx, buf := context.Background(), thrift.NewTMemoryBuffer()
			p := apacheProtocol(e, buf)
			begin := func() error {
				buf.Reset()
				buf.Write(m)
				_, _, _, err := p.ReadMessageBegin(ctx)
				return err
			}
			run("apache-generated", func() error {
				if err := begin(); err != nil {
					return err
				}
				return formapi.NewFormServiceFormCheckArgs().Read(ctx, p)
			})
			run("apache-skip", func() error {
				if err := begin(); err != nil {
					return err
				}
				return thrift.SkipDefaultDepth(ctx, p, thrift.STRUCT)
			})
		}
	}
}
