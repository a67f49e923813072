package thriftwire

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"

	"github.com/apache/thrift/lib/go/thrift"
)

// fuzz runs the scanner on messages in an encoding. It must not panic, and every error must be ErrMalformed. The Apache library must accept every
// message that the scanner accepts and end at the same byte, because otherwise the agent could forward a message that a server reads differently.
func fuzz(f *testing.F, e Encoding) {
	for seed := range uint64(8) {
		r := rand.New(rand.NewPCG(seed, 2))
		f.Add(writeWithApache(f, e, "formCheck", thrift.CALL, int32(seed), func(ctx context.Context, p thrift.TProtocol) { header(ctx, p, r) }))
	}
	for _, m := range malformedMessages {
		f.Add([]byte(m))
	}
	plan := newPlan(f, 32, "1.1", "1.5", "1.6")
	f.Fuzz(func(t *testing.T, m []byte) {
		var found [3]Field
		h, err := ReadHead(m)
		if err == nil && h.Encoding != e {
			return
		}
		if err == nil {
			err = plan.Scan(h, m, found[:])
		}
		if err != nil {
			if !errors.Is(err, ErrMalformed) {
				t.Fatal(err)
			}
			return
		}
		for _, v := range found {
			if v.Found() && (int(v.Start) < h.Struct || v.End < v.Start || int(v.End) > len(m)) {
				t.Fatalf("%+v in %d bytes", v, len(m))
			}
		}
		ctx, buf := context.Background(), thrift.NewTMemoryBuffer()
		buf.Write(m)
		p := apacheProtocol(e, buf)
		name, _, seq, err := p.ReadMessageBegin(ctx)
		if err != nil || name != string(h.Name(m)) || seq != h.Seq {
			t.Fatalf("read head %q %d, the Apache library read %q %d, %v", h.Name(m), h.Seq, name, seq, err)
		}
		if err := thrift.SkipDefaultDepth(ctx, p, thrift.STRUCT); err != nil || buf.Len() != 0 {
			t.Fatalf("the Apache library: %v, %d bytes left", err, buf.Len())
		}
	})
}

func FuzzBinary(f *testing.F)  { fuzz(f, Binary) }
func FuzzCompact(f *testing.F) { fuzz(f, Compact) }
