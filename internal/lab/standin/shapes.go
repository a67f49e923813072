package standin

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/apache/thrift/lib/go/thrift"
)

// Refund is the content of a refund-record, independent of its shape. The stand-ins parse the shapes on their own, with
// encoding/json, net/url and the Apache library, so that an agent's translations are checked against another implementation.
type Refund struct {
	Form        string
	Pence       int64
	Bought      string // date as 2006-01-02
	Goods       string // name of the goods as in version 2
	First, Last string
	Memo        string
	HasMemo     bool
}

// Receipt returns what a server answers to a refund: a receipt derived from its idempotency key, and whether it is already paid.
func Receipt(key string, r Refund) (receipt string, paid bool) {
	sum := sha256.Sum256([]byte(key))
	return fmt.Sprintf("r-%x", sum[:8]), r.Pence%2 == 0
}

// ErrUnknownShape is the error for a message in a shape that the server does not know.
var ErrUnknownShape = errors.New("unknown shape")

// shapedCall is the content of a call with a shape, of either protocol.
type shapedCall struct {
	version string // of the shape, from its path or method
	refund  Refund
	err     error // why it cannot be parsed in that shape
}

var goodsByOldCode = map[string]string{"W": "watch", "J": "jewellery", "O": "other"}

// parsePence parses an amount in pounds as an old server does, with at most two decimals.
func parsePence(text string) (int64, error) {
	whole, part, _ := strings.Cut(text, ".")
	if whole == "" || len(part) > 2 || strings.ContainsAny(text, "+-eE_ ") {
		return 0, fmt.Errorf("amount %q", text)
	}
	n, err := strconv.ParseInt(whole+(part + "00")[:2], 10, 64)
	if err != nil || n < 1 || n > 1_000_000_000 {
		return 0, fmt.Errorf("amount %q", text)
	}
	return n, nil
}

// parseOldTexts builds a refund from the texts of version 1.
func parseOldTexts(form, amount, bought, goods, first, last string, memo *string) (r Refund, err error) {
	r = Refund{Form: form, First: first, Last: last, Goods: goodsByOldCode[goods]}
	if memo != nil {
		r.Memo, r.HasMemo = *memo, true
	}
	day, err := time.Parse("02/01/2006", bought)
	if err != nil {
		return r, err
	}
	r.Bought = day.Format("2006-01-02")
	if r.Pence, err = parsePence(amount); err != nil {
		return r, err
	}
	for what, text := range map[string]string{"form": form, "goods": r.Goods, "first": first, "last": last} {
		if text == "" || !utf8.ValidString(text) {
			return r, fmt.Errorf("%s %q", what, text)
		}
	}
	return r, nil
}

// splitTraveller splits the name of version 2 into first and last name.
func splitTraveller(r *Refund, name string) error {
	var ok bool
	if r.First, r.Last, ok = strings.Cut(name, "|"); !ok || r.First == "" || r.Last == "" || strings.Contains(r.Last, "|") {
		return fmt.Errorf("traveller %q", name)
	}
	return nil
}

// readShapedHTTP reads a refund request in HTTP.
func readShapedHTTP(in *bufio.Reader) (Call, replyEncoder, error) {
	r, call, err := readRequest(in)
	if err != nil {
		return Call{}, nil, err
	}
	body := []byte(call.Text)
	var s shapedCall
	switch form, isOld := strings.CutPrefix(r.URL.EscapedPath(), "/refund-record/"); {
	case call.Method != Record:
		return call, nil, fmt.Errorf("class %q has no shapes", call.Method)
	case isOld:
		s.version = "1"
		s.refund, s.err = parseOldForm(form, body)
	case r.URL.Path == "/v2/refunds":
		s.version = "2"
		s.refund, s.err = parseNewJSON(body)
	default:
		s.err = ErrUnknownShape
	}
	call.setShape(&s)
	return call, &shapedHTTPEncoder{s, call.IdempotencyKey}, nil
}

// setShape sets the fields of the call that depend on its shape.
func (c *Call) setShape(s *shapedCall) {
	c.Version, c.Refund, c.Key = s.version, s.refund, s.refund.Form
	if s.err != nil {
		c.ParseError = s.err.Error()
	}
}

func parseOldForm(path string, body []byte) (Refund, error) {
	form, err := url.PathUnescape(path)
	if err != nil {
		return Refund{}, err
	}
	v, err := url.ParseQuery(string(body))
	if err != nil {
		return Refund{}, err
	}
	for name, values := range v {
		if len(values) != 1 || !slices.Contains([]string{"amount", "bought", "goods", "first", "last", "memo"}, name) {
			return Refund{}, fmt.Errorf("field %s given %d times, or unknown", name, len(values))
		}
	}
	var memo *string
	if v.Has("memo") {
		text := v.Get("memo")
		memo = &text
	}
	return parseOldTexts(form, v.Get("amount"), v.Get("bought"), v.Get("goods"), v.Get("first"), v.Get("last"), memo)
}

func parseNewJSON(body []byte) (r Refund, err error) {
	var v struct {
		Form struct {
			ID string `json:"id"`
		} `json:"form"`
		Amount struct {
			Pence    json.Number `json:"pence"`
			Currency string      `json:"currency"`
		} `json:"amount"`
		Bought    string  `json:"bought"`
		Goods     string  `json:"goods"`
		Traveller string  `json:"traveller"`
		Memo      *string `json:"memo"`
		Channel   *string `json:"channel"`
	}
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(&v); err != nil {
		return r, err
	}
	if v.Amount.Currency != "GBP" || v.Channel != nil {
		return r, fmt.Errorf("invalid currency %q or channel given: %t", v.Amount.Currency, v.Channel != nil)
	}
	r = Refund{Form: v.Form.ID, Bought: v.Bought, Goods: v.Goods}
	if v.Memo != nil {
		r.Memo, r.HasMemo = *v.Memo, true
	}
	if r.Pence, err = v.Amount.Pence.Int64(); err != nil {
		return r, err
	}
	return r, splitTraveller(&r, v.Traveller)
}

type shapedHTTPEncoder struct {
	shapedCall
	key string
}

func (f *shapedHTTPEncoder) reply(r reply) []byte {
	receipt, paid := Receipt(f.key, f.refund)
	state := "pending"
	if paid {
		state = "paid"
	}
	var head strings.Builder
	body := ""
	switch {
	case r.fault == UnknownShape:
		head.WriteString("HTTP/1.1 415 Unsupported Media Type\r\nX-Unprocessed: 1\r\n")
	case r.fault != None:
		return httpEncoder{}.reply(r)
	case f.version == "1":
		fmt.Fprintf(&head, "HTTP/1.1 200 OK\r\nX-Receipt: %s\r\nX-Paid: %t\r\n", receipt, paid)
	default:
		body = fmt.Sprintf(`{"state":%q,"receipt":%q}`, state, receipt)
		if r.undefined {
			body = `{"state":"on its way","receipt":"x"}`
		}
		head.WriteString("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n")
	}
	if l := r.load; l != nil {
		fmt.Fprintf(&head, "X-Backend-Load: TEXT util=%g, qps=%g, eps=%g\r\n", l.util, l.qps, l.eps)
	}
	fmt.Fprintf(&head, "Content-Length: %d\r\n\r\n%s", len(body), body)
	return []byte(head.String())
}

// readShapedThrift reads a refund request in Thrift.
func readShapedThrift(in *bufio.Reader) (Call, replyEncoder, error) {
	frame, err := readFrame(in)
	if err != nil {
		return Call{}, nil, err
	}
	f := &shapedThriftEncoder{thriftEncoder: thriftEncoder{protocol: protocolOf(frame), method: Record}}
	buf := thrift.NewTMemoryBufferLen(0)
	buf.Write(frame)
	ctx := context.Background()
	p := f.protocol(buf)
	var args map[int16]any
	if f.name, _, f.seq, err = p.ReadMessageBegin(ctx); err == nil {
		args, err = readStruct(ctx, p)
	}
	if err == nil && buf.Len() > 0 {
		err = errors.New("trailing bytes after the message")
	}
	if err != nil {
		return Call{}, nil, err
	}
	h, _ := args[1].(map[int16]any)
	text := func(of map[int16]any, id int16) string { s, _ := of[id].(string); return s }
	optional := func(of map[int16]any, id int16) *string {
		if s, ok := of[id].(string); ok {
			return &s
		}
		return nil
	}
	left, _ := h[5].(int64)
	again, _ := h[6].(bool)
	call := Call{Method: Record, ID: text(h, 1), Tenant: text(h, 2), IdempotencyKey: text(h, 4), TimeLeft: time.Duration(left) * time.Millisecond, ClientRetry: again}
	s := &f.shapedCall
	switch f.name {
	case "refund":
		s.version = "1"
		s.refund, s.err = parseOldTexts(text(h, 3), text(args, 2), text(args, 3), text(args, 4), text(args, 5), text(args, 6), optional(args, 7))
	case "recordRefund":
		s.version = "2"
		s.refund, s.err = parseNewStruct(text(h, 3), args)
	default:
		s.err = ErrUnknownShape
	}
	f.key = call.IdempotencyKey
	call.setShape(s)
	return call, f, nil
}

func parseNewStruct(form string, args map[int16]any) (Refund, error) {
	v, _ := args[2].(map[int16]any)
	r := Refund{Form: form}
	var days, goods int32
	var currency, name string
	for id, into := range map[int16]any{1: &r.Pence, 2: &currency, 3: &days, 4: &goods, 5: &name} {
		ok := false
		switch to := into.(type) {
		case *int64:
			*to, ok = v[id].(int64)
		case *int32:
			*to, ok = v[id].(int32)
		case *string:
			*to, ok = v[id].(string)
		}
		if !ok {
			return r, fmt.Errorf("field %d has type %T", id, v[id])
		}
	}
	if memo, ok := v[6].(string); ok {
		r.Memo, r.HasMemo = memo, true
	}
	goodsOf := []string{"watch", "jewellery", "other", "fuel"}
	if v[7] != nil || currency != "GBP" || goods < 1 || int(goods) > len(goodsOf) {
		return r, fmt.Errorf("invalid channel %v, currency %q or goods %d", v[7], currency, goods)
	}
	r.Goods = goodsOf[goods-1]
	r.Bought = time.Unix(int64(days)*86400, 0).UTC().Format("2006-01-02")
	return r, splitTraveller(&r, name)
}

// readStruct reads a struct of unknown type with the Apache library. It returns the fields by id, with nested structs as maps.
func readStruct(ctx context.Context, p thrift.TProtocol) (map[int16]any, error) {
	fields := map[int16]any{}
	if _, err := p.ReadStructBegin(ctx); err != nil {
		return nil, err
	}
	for {
		_, kind, id, err := p.ReadFieldBegin(ctx)
		if err != nil {
			return nil, err
		}
		var v any
		switch kind {
		case thrift.STOP:
			return fields, p.ReadStructEnd(ctx)
		case thrift.BOOL:
			v, err = p.ReadBool(ctx)
		case thrift.I32:
			v, err = p.ReadI32(ctx)
		case thrift.I64:
			v, err = p.ReadI64(ctx)
		case thrift.STRING:
			v, err = p.ReadString(ctx)
		case thrift.STRUCT:
			v, err = readStruct(ctx, p)
		default:
			err = p.Skip(ctx, kind)
		}
		if err == nil {
			fields[id] = v
			err = p.ReadFieldEnd(ctx)
		}
		if err != nil {
			return nil, err
		}
	}
}

type shapedThriftEncoder struct {
	thriftEncoder
	shapedCall
	key string
}

func (f *shapedThriftEncoder) reply(r reply) []byte {
	if r.fault != None && r.fault != UnknownShape {
		return f.thriftEncoder.reply(r)
	}
	ctx := context.Background()
	return f.encode(thrift.REPLY, func(p thrift.TProtocol) error {
		receipt, paid := Receipt(f.key, f.refund)
		return writeStruct(ctx, p, map[int16]any{0: map[int16]any{1: receipt, 3: f.state(paid, r.undefined)}})
	}, r.fault == UnknownShape)
}

func (f *shapedThriftEncoder) state(paid, undefined bool) any {
	switch {
	case f.version == "1":
		return paid
	case undefined:
		return "on its way"
	case paid:
		return "paid"
	}
	return "pending"
}

// encode encodes a framed message or, if unknown is set, an application exception for an unknown method.
func (f *thriftEncoder) encode(kind thrift.TMessageType, result func(thrift.TProtocol) error, unknown bool) []byte {
	ctx := context.Background()
	buf := thrift.NewTMemoryBuffer()
	p := f.protocol(buf)
	if unknown {
		kind = thrift.EXCEPTION
		result = func(p thrift.TProtocol) error {
			return thrift.NewTApplicationException(thrift.UNKNOWN_METHOD, "no such method").Write(ctx, p)
		}
	}
	err := errors.Join(p.WriteMessageBegin(ctx, f.name, kind, f.seq), result(p), p.WriteMessageEnd(ctx), p.Flush(ctx))
	if err != nil {
		panic(fmt.Sprintf("encoding a message: %v", err)) // writes go to memory, so this is a bug in this file
	}
	return append(binary.BigEndian.AppendUint32(nil, uint32(buf.Len())), buf.Bytes()...)
}

// writeStruct writes a struct from its fields by id, with the Apache library.
func writeStruct(ctx context.Context, p thrift.TProtocol, fields map[int16]any) error {
	err := p.WriteStructBegin(ctx, "")
	ids := make([]int16, 0, len(fields))
	for id := range fields {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		begin := func(kind thrift.TType) { err = errors.Join(err, p.WriteFieldBegin(ctx, "", kind, id)) }
		switch v := fields[id].(type) {
		case bool:
			begin(thrift.BOOL)
			err = errors.Join(err, p.WriteBool(ctx, v))
		case int32:
			begin(thrift.I32)
			err = errors.Join(err, p.WriteI32(ctx, v))
		case int64:
			begin(thrift.I64)
			err = errors.Join(err, p.WriteI64(ctx, v))
		case string:
			begin(thrift.STRING)
			err = errors.Join(err, p.WriteString(ctx, v))
		case map[int16]any:
			begin(thrift.STRUCT)
			err = errors.Join(err, writeStruct(ctx, p, v))
		default:
			return fmt.Errorf("field %d has unsupported type %T", id, v)
		}
		err = errors.Join(err, p.WriteFieldEnd(ctx))
	}
	return errors.Join(err, p.WriteFieldStop(ctx), p.WriteStructEnd(ctx))
}

// EncodeThrift encodes a Thrift call from its arguments by id, without the frame.
func EncodeThrift(method string, seq int32, args map[int16]any, compact bool) []byte {
	f := thriftEncoder{protocol: protocolOf([]byte{0x80}), name: method, seq: seq}
	if compact {
		f.protocol = protocolOf([]byte{thrift.COMPACT_PROTOCOL_ID})
	}
	return f.encode(thrift.CALL, func(p thrift.TProtocol) error { return writeStruct(context.Background(), p, args) }, false)[4:]
}

// DecodeThrift decodes the struct of a Thrift message without its frame, and returns the fields by id.
func DecodeThrift(message []byte) (map[int16]any, error) {
	if len(message) == 0 {
		return nil, io.ErrUnexpectedEOF
	}
	buf := thrift.NewTMemoryBufferLen(0)
	buf.Write(message)
	p := protocolOf(message)(buf)
	ctx := context.Background()
	if _, _, _, err := p.ReadMessageBegin(ctx); err != nil {
		return nil, err
	}
	return readStruct(ctx, p)
}
