package standin

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/apache/thrift/lib/go/thrift"

	"ternbeam/internal/lab/formapi"
)

// thriftEncoder encodes the replies to one Thrift call.
type thriftEncoder struct {
	protocol func(thrift.TTransport) thrift.TProtocol
	name     string
	seq      int32
	oneway   bool
	method   Method
}

// protocolOf returns the Apache library's protocol for a frame, binary or compact by the frame's first byte.
func protocolOf(frame []byte) func(thrift.TTransport) thrift.TProtocol {
	if frame[0] == thrift.COMPACT_PROTOCOL_ID {
		return func(t thrift.TTransport) thrift.TProtocol { return thrift.NewTCompactProtocolConf(t, nil) }
	}
	return func(t thrift.TTransport) thrift.TProtocol { return thrift.NewTBinaryProtocolConf(t, nil) }
}

func readFrame(in *bufio.Reader) ([]byte, error) {
	var prefix [4]byte
	if _, err := io.ReadFull(in, prefix[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(prefix[:])
	if n == 0 || n > 1<<20 {
		return nil, fmt.Errorf("invalid frame of %d bytes", n)
	}
	frame := make([]byte, n)
	_, err := io.ReadFull(in, frame)
	return frame, err
}

func readThrift(in *bufio.Reader) (Call, replyEncoder, error) {
	frame, err := readFrame(in)
	if err != nil {
		return Call{}, nil, err
	}
	ctx := context.Background()
	f := &thriftEncoder{protocol: protocolOf(frame)}
	buf := thrift.NewTMemoryBufferLen(0)
	buf.Write(frame)
	p := f.protocol(buf)
	name, kind, seq, err := p.ReadMessageBegin(ctx)
	if err != nil {
		return Call{}, nil, err
	}
	f.name, f.seq = name, seq
	f.oneway = kind == thrift.ONEWAY || name == "note" // the Apache library's client does not mark oneway calls
	var call Call
	var h *formapi.Header
	switch name {
	case "formCheck":
		args := formapi.NewFormServiceFormCheckArgs()
		err = args.Read(ctx, p)
		call, h = Call{Method: Check, Text: string(args.Form)}, args.Header
	case "refundRecord":
		args := formapi.NewFormServiceRefundRecordArgs()
		err = args.Read(ctx, p)
		call, h = Call{Method: Record, Text: args.Memo}, args.Header
	case "payOut":
		args := formapi.NewFormServicePayOutArgs()
		err = args.Read(ctx, p)
		call, h = Call{Method: Pay}, args.Header
	case "note":
		args := formapi.NewFormServiceNoteArgs()
		err = args.Read(ctx, p)
		call, h = Call{Method: Note, Text: args.Text}, args.Header
	default:
		return Call{}, nil, fmt.Errorf("unknown method %q", name)
	}
	if err == nil && buf.Len() > 0 {
		err = errors.New("trailing bytes after the message")
	}
	if err != nil {
		return Call{}, nil, err
	}
	f.method = call.Method
	call.ID, call.Key, call.IdempotencyKey = h.CorrelationId, h.GetKey(), h.GetIdempotencyKey()
	call.TimeLeft = time.Duration(h.GetTimeLeftMs()) * time.Millisecond
	return call, f, nil
}

func (f *thriftEncoder) reply(r reply) []byte {
	if f.oneway {
		return nil
	}
	var l *formapi.Load
	if r.load != nil {
		l = &formapi.Load{Util: &r.load.util, QPS: &r.load.qps, Eps: &r.load.eps}
	}
	var refused *formapi.Refused
	var failed *formapi.Failed
	yes := true
	switch r.fault {
	case Reject:
		refused = &formapi.Refused{Unprocessed: &yes, Load: l}
	case Error:
		failed = &formapi.Failed{Load: l}
	case WrongSeq:
		f.seq += 1000
	}
	succeeded := refused == nil && failed == nil
	var result thrift.TStruct
	switch f.method {
	case Check:
		res := &formapi.FormServiceFormCheckResult{Refused: refused, Failed: failed}
		if succeeded {
			res.Success = &formapi.FormResult_{Text: r.text, Load: l}
		}
		result = res
	case Record:
		res := &formapi.FormServiceRefundRecordResult{Refused: refused, Failed: failed}
		if succeeded {
			res.Success = &formapi.Receipt{ReceiptId: r.text, Load: l}
		}
		result = res
	default:
		res := &formapi.FormServicePayOutResult{Refused: refused, Failed: failed}
		if succeeded {
			res.Success = &formapi.Receipt{ReceiptId: r.text, Load: l}
		}
		result = res
	}
	return f.encode(thrift.REPLY, func(p thrift.TProtocol) error { return result.Write(context.Background(), p) }, false)
}
