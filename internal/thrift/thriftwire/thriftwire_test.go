package thriftwire

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/apache/thrift/lib/go/thrift"
)

var encodings = []Encoding{Binary, Compact}

// apacheProtocol returns the Apache library's protocol of an encoding over a buffer.
func apacheProtocol(e Encoding, buf *thrift.TMemoryBuffer) thrift.TProtocol {
	if e == Compact {
		return thrift.NewTCompactProtocolConf(buf, nil)
	}
	return thrift.NewTBinaryProtocolConf(buf, nil)
}

// writeWithApache returns a message encoded by the Apache library. fields writes the fields, without the stop field.
func writeWithApache(t testing.TB, e Encoding, name string, kind thrift.TMessageType, seq int32,
	fields func(ctx context.Context, p thrift.TProtocol)) []byte {
	t.Helper()
	ctx, buf := context.Background(), thrift.NewTMemoryBuffer()
	p := apacheProtocol(e, buf)
	if err := p.WriteMessageBegin(ctx, name, kind, seq); err != nil {
		t.Fatal(err)
	}
	p.WriteStructBegin(ctx, "args")
	fields(ctx, p)
	p.WriteFieldStop(ctx)
	p.WriteStructEnd(ctx)
	p.WriteMessageEnd(ctx)
	if err := p.Flush(ctx); err != nil {
		t.Fatal(err)
	}
	return bytes.Clone(buf.Bytes())
}

// types are all value types.
var types = []thrift.TType{thrift.BOOL, thrift.BYTE, thrift.DOUBLE, thrift.I16, thrift.I32, thrift.I64, thrift.STRING,
	thrift.UUID, thrift.STRUCT, thrift.MAP, thrift.SET, thrift.LIST}

// value writes a random value of a type.
func value(ctx context.Context, p thrift.TProtocol, r *rand.Rand, t thrift.TType, depth int) {
	pick := func() thrift.TType {
		if depth > 4 {
			return types[r.IntN(8)]
		}
		return types[r.IntN(len(types))]
	}
	count := func() int {
		if depth > 0 {
			return r.IntN(3)
		}
		return r.IntN(20) // sometimes more than the first byte of a compact list can hold (14)
	}
	switch t {
	case thrift.BOOL:
		p.WriteBool(ctx, r.IntN(2) == 1)
	case thrift.BYTE:
		p.WriteByte(ctx, int8(r.Uint32()))
	case thrift.DOUBLE:
		p.WriteDouble(ctx, r.NormFloat64())
	case thrift.I16:
		p.WriteI16(ctx, int16(r.Uint32()>>r.IntN(16)))
	case thrift.I32:
		p.WriteI32(ctx, int32(r.Uint32()>>r.IntN(32)))
	case thrift.I64:
		p.WriteI64(ctx, int64(r.Uint64()>>r.IntN(64)))
	case thrift.STRING:
		p.WriteBinary(ctx, bytes.Repeat([]byte{byte(r.Uint32())}, r.IntN(40)))
	case thrift.UUID:
		p.WriteUUID(ctx, thrift.Tuuid{1, 2, 3, 15: byte(r.Uint32())})
	case thrift.STRUCT:
		p.WriteStructBegin(ctx, "")
		id := int16(r.IntN(5) - 2)
		for range r.IntN(4) {
			field(ctx, p, r, id, pick(), depth+1)
			id += int16(1 + r.IntN(40))
		}
		p.WriteFieldStop(ctx)
		p.WriteStructEnd(ctx)
	case thrift.MAP:
		k, v, n := pick(), pick(), r.IntN(3)
		p.WriteMapBegin(ctx, k, v, n)
		for range n {
			value(ctx, p, r, k, depth+1)
			value(ctx, p, r, v, depth+1)
		}
		p.WriteMapEnd(ctx)
	case thrift.SET:
		e, n := pick(), count()
		p.WriteSetBegin(ctx, e, n)
		for range n {
			value(ctx, p, r, e, depth+1)
		}
		p.WriteSetEnd(ctx)
	case thrift.LIST:
		e, n := pick(), count()
		p.WriteListBegin(ctx, e, n)
		for range n {
			value(ctx, p, r, e, depth+1)
		}
		p.WriteListEnd(ctx)
	}
}

func field(ctx context.Context, p thrift.TProtocol, r *rand.Rand, id int16, t thrift.TType, depth int) {
	p.WriteFieldBegin(ctx, "", t, id)
	value(ctx, p, r, t, depth)
	p.WriteFieldEnd(ctx)
}

// header writes the fields that the tests look for, among random fields.
func header(ctx context.Context, p thrift.TProtocol, r *rand.Rand) {
	field(ctx, p, r, -7, types[r.IntN(len(types))], 0)
	p.WriteFieldBegin(ctx, "", thrift.STRUCT, 1)
	p.WriteStructBegin(ctx, "")
	p.WriteFieldBegin(ctx, "", thrift.STRING, 1)
	p.WriteString(ctx, "9b1f03aa5c7e2d41")
	p.WriteFieldEnd(ctx)
	field(ctx, p, r, 2, types[r.IntN(len(types))], 0)
	p.WriteFieldBegin(ctx, "", thrift.I32, 5)
	p.WriteI32(ctx, -480)
	p.WriteFieldEnd(ctx)
	p.WriteFieldBegin(ctx, "", thrift.BOOL, 6)
	p.WriteBool(ctx, true)
	p.WriteFieldEnd(ctx)
	p.WriteFieldBegin(ctx, "", thrift.DOUBLE, 300)
	p.WriteDouble(ctx, 0.25)
	p.WriteFieldEnd(ctx)
	p.WriteFieldStop(ctx)
	p.WriteStructEnd(ctx)
	p.WriteFieldEnd(ctx)
	for id := range int16(4) {
		field(ctx, p, r, 20+id*17, types[r.IntN(len(types))], 0)
	}
}

func newPlan(t testing.TB, depth int, paths ...string) *Plan {
	t.Helper()
	p, err := NewPlan(depth, paths...)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// The scanner reads messages written by the Apache library: the head, the fields at any position, and the exact end.
func TestReadsWhatApacheWrites(t *testing.T) {
	plan := newPlan(t, 32, "1.1", "1.5", "1.6", "1.300", "1.99", "1")
	for _, e := range encodings {
		for seed := range uint64(500) {
			r := rand.New(rand.NewPCG(seed, uint64(e)))
			seq := int32(r.Uint32())
			m := writeWithApache(t, e, "refundRecord", thrift.CALL, seq, func(ctx context.Context, p thrift.TProtocol) { header(ctx, p, r) })
			h, err := ReadHead(m)
			if err != nil || h.Encoding != e || h.Type != Call || h.Seq != seq || string(h.Name(m)) != "refundRecord" {
				t.Fatalf("%v seed %d: %+v, %v", e, seed, h, err)
			}
			found := make([]Field, 6)
			if err := plan.Scan(h, m, found); err != nil {
				t.Fatalf("%v seed %d: %v", e, seed, err)
			}
			id, left, repeat, share, none, all := found[0], found[1], found[2], found[3], found[4], found[5]
			if string(id.Bytes(m)) != "9b1f03aa5c7e2d41" || left.Int() != -480 || !repeat.True() || share.Float() != 0.25 ||
				none.Found() || all.Type != Struct || all.Start >= id.Start || all.End <= left.End {
				t.Fatalf("%v seed %d: %+v", e, seed, found)
			}
			if e == Binary && left.End-left.Start != 4 || e == Compact && left.End-left.Start != 2 {
				t.Fatalf("%v seed %d: the time is at bytes %d to %d", e, seed, left.Start, left.End)
			}
		}
	}
}

// A message that is cut off at any byte, or has bytes after its end, is malformed, whatever it contains.
func TestMessageCutOffAtEveryByte(t *testing.T) {
	plan := newPlan(t, 32, "1.1", "1.5")
	for _, e := range encodings {
		for seed := range uint64(20) {
			r := rand.New(rand.NewPCG(seed, 1))
			m := writeWithApache(t, e, "formCheck", thrift.CALL, 7, func(ctx context.Context, p thrift.TProtocol) { header(ctx, p, r) })
			found := make([]Field, 2)
			for n := range m {
				h, err := ReadHead(m[:n])
				if err == nil {
					err = plan.Scan(h, m[:n], found)
				}
				if !errors.Is(err, ErrMalformed) {
					t.Fatalf("%v seed %d, %d of %d bytes: %v", e, seed, n, len(m), err)
				}
			}
			long := append(bytes.Clone(m), 0)
			if h, err := ReadHead(long); err != nil {
				t.Error(err)
			} else if err := plan.Scan(h, long, found); !errors.Is(err, ErrMalformed) {
				t.Errorf("a byte after the end: %v", err)
			}
		}
	}
}

// The heads of a binary and a compact message, to which structs are added.
const binaryHead, compactHead = "\x80\x01\x00\x01\x00\x00\x00\x01f\x00\x00\x00\x07", "\x82\x21\x07\x01f"

// malformedMessages are each invalid in one way.
var malformedMessages = map[string]string{
	"nothing":                              "",
	"one byte":                             "\x80",
	"other binary version":                 "\x80\x02\x00\x01\x00\x00\x00\x01f\x00\x00\x00\x07\x00",
	"binary without version":               "\x00\x00\x00\x01f\x01\x00\x00\x00\x07\x00",
	"other compact version":                "\x82\x22\x07\x01f\x00",
	"HTTP":                                 "GET / HTTP/1.1\r\n\r\n",
	"message type 0":                       "\x80\x01\x00\x00\x00\x00\x00\x01f\x00\x00\x00\x07\x00",
	"message type 5":                       "\x82\xa1\x07\x01f\x00",
	"binary name of negative length":       "\x80\x01\x00\x01\xff\xff\xff\xfff\x00\x00\x00\x07\x00",
	"binary name of 2 GiB":                 "\x80\x01\x00\x01\x7f\xff\xff\xfff\x00\x00\x00\x07\x00",
	"compact name of 2 GiB":                "\x82\x21\x07\xff\xff\xff\xff\x07f\x00",
	"long name":                            "\x80\x01\x00\x01\x00\x00\x01\x01" + strings.Repeat("f", 257) + "\x00\x00\x00\x07\x00",
	"name that is not UTF-8":               "\x80\x01\x00\x01\x00\x00\x00\x01\xff\x00\x00\x00\x07\x00",
	"endless sequence id":                  "\x82\x21\x87\x87\x87\x87\x87\x07\x01f\x00",
	"sequence id of 35 bits":               "\x82\x21\x87\x87\x87\x87\x7f\x01f\x00",
	"no struct":                            binaryHead,
	"no compact struct":                    compactHead,
	"bad type id":                          binaryHead + "\x01\x00\x01\x00",
	"type id 17":                           binaryHead + "\x11\x00\x01\x00",
	"bad compact type id":                  compactHead + "\x1e\x00",
	"half a field":                         binaryHead + "\x08\x00",
	"half a value":                         binaryHead + "\x0a\x00\x01\x00\x00\x00",
	"string of negative length":            binaryHead + "\x0b\x00\x01\xff\xff\xff\xff\x00",
	"string of 2 GiB":                      binaryHead + "\x0b\x00\x01\x7f\xff\xff\xff\x00",
	"compact string of 2 GiB":              compactHead + "\x18\xff\xff\xff\xff\x07\x00",
	"compact string of 4 GiB":              compactHead + "\x18\xff\xff\xff\xff\x0f\x00",
	"list of 2^31 - 1":                     binaryHead + "\x0f\x00\x01\x03\x7f\xff\xff\xff\x00",
	"list of 2^31":                         binaryHead + "\x0f\x00\x01\x03\x80\x00\x00\x00\x00",
	"list of structs":                      binaryHead + "\x0f\x00\x01\x0c\x7f\xff\xff\xff\x00\x00",
	"set of lists":                         binaryHead + "\x0e\x00\x01\x0f\x10\x00\x00\x00\x00",
	"list of bad type":                     binaryHead + "\x0f\x00\x01\x07\x00\x00\x00\x01\x00\x00",
	"empty list of bad type":               binaryHead + "\x0f\x00\x01\x07\x00\x00\x00\x00\x00",
	"map of 2^31 - 1":                      binaryHead + "\x0d\x00\x01\x0b\x0b\x7f\xff\xff\xff\x00",
	"map of bad type":                      binaryHead + "\x0d\x00\x01\x0b\x05\x00\x00\x00\x01\x00\x00\x00\x00\x00\x00",
	"compact list of 2^31 - 1":             compactHead + "\x19\xf3\xff\xff\xff\xff\x07\x00",
	"compact list of 2^32 - 1":             compactHead + "\x19\xf3\xff\xff\xff\xff\x0f\x00",
	"compact map of 2^31 - 1":              compactHead + "\x1b\xff\xff\xff\xff\x07\x88\x00",
	"compact map of structs":               compactHead + "\x1b\xff\xff\x03\xcc\x00",
	"compact list of bad type":             compactHead + "\x19\x1e\x00\x00",
	"endless varint":                       compactHead + "\x16" + strings.Repeat("\x80", 11) + "\x00\x00",
	"varint of 65 bits":                    compactHead + "\x16" + strings.Repeat("\xff", 9) + "\x02\x00",
	"endless field number":                 compactHead + "\x06\x80\x80\x80\x00\x00\x00",
	"wanted field twice":                   binaryHead + "\x0b\x00\x01\x00\x00\x00\x00\x0b\x00\x01\x00\x00\x00\x00\x00",
	"deep structs":                         binaryHead + strings.Repeat("\x0c\x00\x02", 32) + strings.Repeat("\x00", 33),
	"deep compact structs":                 compactHead + strings.Repeat("\x2c", 32) + strings.Repeat("\x00", 33),
	"deep lists":                           binaryHead + "\x0f\x00\x02" + strings.Repeat("\x0f\x00\x00\x00\x01", 40) + "\x03\x00\x00\x00\x00\x00",
	"deep maps":                            compactHead + "\x2b" + strings.Repeat("\x01\x3b\x07", 40) + "\x00\x00",
	"deep structs under a field asked for": binaryHead + "\x0c\x00\x03" + strings.Repeat("\x0c\x00\x04", 40) + strings.Repeat("\x00", 42),
}

// Every kind of invalid message is rejected, and none makes the scanner loop or allocate memory.
func TestMalformed(t *testing.T) {
	for name, m := range malformedMessages {
		t.Run(name, func(t *testing.T) {
			plan := newPlan(t, 32, "1", "3.4")
			found := make([]Field, 2)
			h, err := ReadHead([]byte(m))
			if err == nil {
				err = plan.Scan(h, []byte(m), found)
			}
			if !errors.Is(err, ErrMalformed) {
				t.Errorf("error %v", err)
			}
		})
	}
}

// Messages at the limits are accepted.
func TestMessagesAtTheLimits(t *testing.T) {
	binary, compact := binaryHead, compactHead
	for name, m := range map[string]string{
		"empty struct":            binary + "\x00",
		"deepest structs":         binary + strings.Repeat("\x0c\x00\x02", 31) + strings.Repeat("\x00", 32),
		"deepest compact structs": compact + strings.Repeat("\x2c", 31) + strings.Repeat("\x00", 32),
		"varint of 64 bits":       compact + "\x16" + strings.Repeat("\xff", 9) + "\x01\x00",
		"empty list without type": binary + "\x0f\x00\x01\x00\x00\x00\x00\x00\x00",
		"empty map without types": binary + "\x0d\x00\x01\x00\x00\x00\x00\x00\x00\x00",
		"unasked field twice":     binary + "\x03\x00\x02\x00\x03\x00\x02\x00\x00",
		"long sequence id":        "\x82\x21\xff\xff\xff\xff\x0f\x01f\x00",
		"empty name":              "\x82\x21\x07\x00\x00",
	} {
		t.Run(name, func(t *testing.T) {
			h, err := ReadHead([]byte(m))
			if err == nil {
				err = newPlan(t, 32, "1").Scan(h, []byte(m), make([]Field, 1))
			}
			if err != nil {
				t.Error(err)
			}
		})
	}
}

func TestFrameLength(t *testing.T) {
	for prefix, want := range map[[4]byte]int{{0, 0, 0, 1}: 1, {0, 0, 1, 0}: 256, {0, 0, 0, 0}: 0, {255, 255, 255, 255}: 0,
		{0, 0, 1, 1}: 0, {0x7f, 255, 255, 255}: 0, {0x80, 0, 0, 0}: 0} {
		if n, err := FrameLength(prefix, 256); n != want || (err == nil) != (want > 0) {
			t.Errorf("% x: %d, %v", prefix, n, err)
		}
	}
}

func TestInvalidPlans(t *testing.T) {
	for _, paths := range [][]string{{"x"}, {"1..2"}, {"1.40000"}, {"1", "1"}, {"1.2", "1.2"}, {"1.1.1.1.1.1.1.1"}} {
		if _, err := NewPlan(8, paths...); err == nil {
			t.Errorf("%q: no error", paths)
		}
	}
	for _, depth := range []int{0, MaxDepth + 1} {
		if _, err := NewPlan(depth); err == nil {
			t.Errorf("depth %d: no error", depth)
		}
	}
}

// The Apache library reads messages written by Writer.
func TestApacheReadsWhatIsWritten(t *testing.T) {
	ctx := context.Background()
	for _, e := range encodings {
		for _, seq := range []int32{0, 7, -1, math.MaxInt32, math.MinInt32} {
			w := Writer{Encoding: e}
			w.Head(Reply, []byte("payOut"), AppendSeq(nil, e, seq))
			w.Struct(1)
			w.Int(1, I32, -70000)
			w.Int(2, I64, math.MinInt64)
			w.Int(19, I16, -2)
			w.Int(-4, Byte, -1)
			w.Struct(20)
			w.Stop()
			w.Double(21, math.Pi)
			w.Stop()
			w.String(2, "Ünst")
			w.Stop()
			buf := thrift.NewTMemoryBuffer()
			buf.Write(w.Buf)
			p := apacheProtocol(e, buf)
			name, kind, got, err := p.ReadMessageBegin(ctx)
			if err != nil || name != "payOut" || kind != thrift.REPLY || got != seq {
				t.Fatalf("%v: %q %d %d, %v", e, name, kind, got, err)
			}
			var read []string
			var walk func()
			walk = func() {
				p.ReadStructBegin(ctx)
				for {
					_, typ, id, err := p.ReadFieldBegin(ctx)
					if err != nil {
						t.Fatal(err)
					}
					var v any
					switch typ {
					case thrift.STOP:
						p.ReadStructEnd(ctx)
						return
					case thrift.STRUCT:
						walk()
						continue
					case thrift.BYTE:
						v, err = p.ReadByte(ctx)
					case thrift.I16:
						v, err = p.ReadI16(ctx)
					case thrift.I32:
						v, err = p.ReadI32(ctx)
					case thrift.I64:
						v, err = p.ReadI64(ctx)
					case thrift.DOUBLE:
						v, err = p.ReadDouble(ctx)
					case thrift.STRING:
						v, err = p.ReadString(ctx)
					}
					if err != nil {
						t.Fatal(err)
					}
					read = append(read, fmt.Sprint(id, "=", v))
					p.ReadFieldEnd(ctx)
				}
			}
			walk()
			want := "[1=-70000 2=-9223372036854775808 19=-2 -4=-1 21=3.141592653589793 2=Ünst]"
			if fmt.Sprint(read) != want || buf.Len() != 0 {
				t.Errorf("%v: read %v, %d bytes left", e, read, buf.Len())
			}
		}
	}
}

func TestApplicationException(t *testing.T) {
	ctx := context.Background()
	for _, e := range encodings {
		w := Writer{Encoding: e}
		w.ApplicationException([]byte("f"), AppendSeq(nil, e, 9), UnknownMethod, "unknown method")
		buf := thrift.NewTMemoryBuffer()
		buf.Write(w.Buf)
		p := apacheProtocol(e, buf)
		if _, kind, seq, err := p.ReadMessageBegin(ctx); err != nil || kind != thrift.EXCEPTION || seq != 9 {
			t.Fatal(kind, seq, err)
		}
		x := thrift.NewTApplicationException(0, "")
		if err := x.Read(ctx, p); err != nil || x.TypeId() != thrift.UNKNOWN_METHOD || x.Error() != "unknown method" {
			t.Errorf("%v: %v, %v", e, x, err)
		}
	}
}

// Edits replace exactly their ranges, whether the result is longer or shorter.
func TestEdits(t *testing.T) {
	m := []byte("0123456789")
	got := AppendFrame([]byte("x"), m, Edit{1, 3, []byte("abcd")}, Edit{5, 9, nil}, Edit{9, 9, []byte("!")})
	if string(got) != "x\x00\x00\x00\x090abcd34!9" {
		t.Errorf("%q", got)
	}
}

func TestScanAllocatesNothing(t *testing.T) {
	plan := newPlan(t, 32, "1.1", "1.5", "1.6")
	for _, e := range encodings {
		r := rand.New(rand.NewPCG(1, 1))
		m := writeWithApache(t, e, "formCheck", thrift.CALL, 7, func(ctx context.Context, p thrift.TProtocol) { header(ctx, p, r) })
		if n := testing.AllocsPerRun(100, func() {
			var found [3]Field
			h, err := ReadHead(m)
			if err == nil {
				err = plan.Scan(h, m, found[:])
			}
			if err != nil || !found[0].Found() {
				t.Fatal(err)
			}
		}); n != 0 {
			t.Errorf("%v: %v allocations", e, n)
		}
	}
}
