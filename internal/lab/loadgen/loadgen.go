// Package loadgen provides a load generator: servers that answer immediately, and clients that send calls in a closed loop
// over raw connections and record latencies. It uses little processor time, so that the proxy in between is what is measured.
package loadgen

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"ternbeam/internal/lab/standin"
	"ternbeam/internal/thrift/thriftwire"
)

// Protocols are the protocols that can be measured.
var Protocols = []string{"http", "binary", "compact"}

func encoding(protocol string) thriftwire.Encoding {
	if protocol == "compact" {
		return thriftwire.Compact
	}
	return thriftwire.Binary
}

// Serve answers every call immediately, until the listener is closed.
func Serve(l net.Listener, protocol string) {
	answer := answerThrift
	if protocol == "http" {
		answer = answerHTTP
	}
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			in := bufio.NewReaderSize(c, 8<<10)
			for answer(in, c, protocol) == nil {
			}
		}()
	}
}

var httpReply = []byte("HTTP/1.1 200 OK\r\nX-Backend-Load: TEXT util=0.5, qps=100, eps=0\r\nContent-Length: 7\r\n\r\nchecked")

func answerHTTP(in *bufio.Reader, c net.Conn, _ string) error {
	for { // skip the head of a GET, which has no body
		line, err := in.ReadSlice('\n')
		if err != nil {
			return err
		}
		if len(line) <= 2 {
			break
		}
	}
	_, err := c.Write(httpReply)
	return err
}

func answerThrift(in *bufio.Reader, c net.Conn, protocol string) error {
	m, err := thriftwire.ReadFrame(in, maxFrameBytes)
	if err != nil {
		return err
	}
	h, err := thriftwire.ReadHead(m)
	if err != nil {
		return err
	}
	w := thriftwire.Writer{Encoding: h.Encoding}
	w.Head(thriftwire.Reply, h.Name(m), h.RawSeq(m))
	w.Struct(0)
	w.String(1, "checked")
	w.Struct(2)
	w.Double(1, 0.5)
	w.Double(2, 100)
	w.Double(3, 0)
	w.Stop()
	w.Stop()
	w.Stop()
	_, err = c.Write(thriftwire.AppendFrame(nil, w.Buf))
	return err
}

// maxFrameBytes limits the Thrift frames that are read.
const maxFrameBytes = 1 << 20

// Client sends calls over one connection. It is not safe for concurrent use.
type Client struct {
	conn     net.Conn
	in       *bufio.Reader
	protocol string
	name     string
	n        int // calls made so far
	buf      []byte
}

// Dial connects a Client. The name is the prefix of the ids of its calls.
func Dial(protocol, addr, name string) (*Client, error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &Client{conn: c, in: bufio.NewReaderSize(c, 4<<10), protocol: protocol, name: name}, nil
}

// Close closes the connection.
func (c *Client) Close() { c.conn.Close() }

// errNotServed marks a call that counts as failed, although the connection remains usable.
var errNotServed = errors.New("the call was not served")

// Call makes one call and reads its answer.
func (c *Client) Call() error {
	c.n++
	id := c.name + strconv.Itoa(c.n)
	if c.protocol == "http" {
		c.buf = append(c.buf[:0], "GET /form-check/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: service.internal\r\nX-Correlation-Id: "...)
		c.buf = append(c.buf, id...)
		c.buf = append(c.buf, "\r\nX-Service-Class: form-check\r\nX-Account: leith\r\nX-Time-Left: 5\r\n\r\n"...)
		if _, err := c.conn.Write(c.buf); err != nil {
			return err
		}
		return c.readHTTP()
	}
	e := encoding(c.protocol)
	w := thriftwire.Writer{Encoding: e, Buf: c.buf[:0]}
	var seq [5]byte
	w.Head(thriftwire.Call, []byte("formCheck"), thriftwire.AppendSeq(seq[:0], e, int32(c.n)))
	w.Struct(1)
	w.String(1, id)
	w.String(2, "leith")
	w.String(3, "7f3a9c21e0b4d655")
	w.Int(5, thriftwire.I64, 5000)
	w.Stop()
	w.String(2, "")
	w.Stop()
	c.buf = w.Buf
	if _, err := c.conn.Write(thriftwire.AppendFrame(nil, w.Buf)); err != nil {
		return err
	}
	m, err := thriftwire.ReadFrame(c.in, maxFrameBytes)
	if err != nil {
		return err
	}
	h, err := thriftwire.ReadHead(m)
	if err != nil {
		return err
	}
	if h.Type != thriftwire.Reply || h.Seq != int32(c.n) || !bytes.Contains(m, []byte("checked")) {
		return errNotServed
	}
	return nil
}

func (c *Client) readHTTP() error {
	length, served := 0, false
	for first := true; ; first = false {
		line, err := c.in.ReadSlice('\n')
		if err != nil {
			return err
		}
		if first {
			served = bytes.HasPrefix(line, []byte("HTTP/1.1 200"))
		}
		if len(line) <= 2 {
			break
		}
		if v, ok := bytes.CutPrefix(line, []byte("Content-Length: ")); ok {
			if length, err = strconv.Atoi(string(bytes.TrimSpace(v))); err != nil {
				return err
			}
		}
	}
	if _, err := c.in.Discard(length); err != nil {
		return err
	}
	if !served {
		return errNotServed
	}
	return nil
}

// Stats are the results of a run: numbers of calls and quantiles of their latencies.
type Stats struct {
	Calls, Failed  int           // Calls counts the served calls only
	Took           time.Duration // of the whole run
	P50, P99, P999 time.Duration
}

// Run runs clients for the duration d, each with one connection and one call at a time. It returns an error if a connection failed.
func Run(protocol, addr, name string, clients int, d time.Duration) (Stats, error) {
	var mu sync.Mutex
	var all []time.Duration
	var f Stats
	var first error
	var done sync.WaitGroup
	begin := time.Now()
	for i := range clients {
		c, err := Dial(protocol, addr, fmt.Sprintf("%s-%d-", name, i))
		if err != nil {
			return f, err
		}
		defer c.Close()
		done.Go(func() {
			var took []time.Duration
			failed := 0
			var broken error
			for time.Since(begin) < d && broken == nil {
				at := time.Now()
				switch err := c.Call(); {
				case err == nil:
					took = append(took, time.Since(at))
				case errors.Is(err, errNotServed):
					failed++
				default:
					broken = err
				}
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, took...)
			f.Failed += failed
			first = errors.Join(first, broken)
		})
	}
	done.Wait()
	f.Took = time.Since(begin)
	if f.Calls = len(all); f.Calls > 0 {
		slices.Sort(all)
		at := func(q float64) time.Duration { return all[min(len(all)-1, int(q*float64(len(all))))] }
		f.P50, f.P99, f.P999 = at(0.5), at(0.99), at(0.999)
	}
	return f, first
}

// Platform returns the configuration of an agent for measurements, with high limits.
func Platform(listen string) standin.Platform {
	return standin.Platform{Listen: listen, Sockets: 1 << 16, MaxOpenCalls: 1 << 20}
}
