package replay

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httputil"
	"sync"
	"sync/atomic"
	"time"

	"ternbeam/internal/thrift/thriftwire"
)

// Tap is a proxy between clients and an agent that records their exchanges. Calls never wait for the recording: exchanges are
// dropped and counted if the recording cannot keep up or they cannot be redacted.
type Tap struct {
	To       string // address of the agent
	Redactor *Redactor
	Log      *slog.Logger

	queue    chan Exchange
	dropped  atomic.Int64
	recorded atomic.Int64
}

// headTimeout limits the time for reading the head of a request.
const headTimeout = 5 * time.Second

// maxQueued is the number of exchanges that can wait to be written.
const maxQueued = 1024

// maxInFlight is the number of Thrift calls in flight of one connection that can be recorded.
const maxInFlight = 4096

// Recorded returns how many exchanges were recorded.
func (t *Tap) Recorded() int64 { return t.recorded.Load() }

// Dropped returns how many exchanges were not recorded.
func (t *Tap) Dropped() int64 { return t.dropped.Load() }

// Run accepts connections of one protocol, http or thrift, and records to out until the context ends or the listener fails.
// It takes ownership of the listener.
func (t *Tap) Run(ctx context.Context, protocol string, l net.Listener, out io.Writer) error {
	t.queue = make(chan Exchange, maxQueued)
	written := make(chan error, 1)
	go func() { written <- t.write(out) }()
	serve := t.serveHTTP
	if protocol == "thrift" {
		serve = t.serveThrift
	}
	err := serve(ctx, l)
	close(t.queue)
	return errors.Join(err, <-written)
}

// write writes the queued exchanges. After a write error it drops the rest.
func (t *Tap) write(out io.Writer) (err error) {
	lines := json.NewEncoder(out)
	for e := range t.queue {
		if err == nil {
			err = t.Redactor.Exchange(&e)
			if err != nil {
				t.Log.Warn("left out, as it can't be redacted", "error", err)
				err = nil
				t.dropped.Add(1)
				continue
			}
			if err = lines.Encode(e); err == nil {
				t.recorded.Add(1)
				continue
			}
			t.Log.Error("nothing more is recorded", "error", err)
		}
		t.dropped.Add(1)
	}
	return err
}

func (t *Tap) enqueue(e Exchange) {
	select {
	case t.queue <- e:
	default:
		t.dropped.Add(1)
	}
}

type requestKey struct{}

func (t *Tap) serveHTTP(ctx context.Context, l net.Listener) error {
	proxy := &httputil.ReverseProxy{
		Rewrite: func(r *httputil.ProxyRequest) {
			r.Out.URL.Scheme, r.Out.URL.Host, r.Out.Host = "http", t.To, r.In.Host
		},
		ModifyResponse: func(r *http.Response) error {
			body, err := io.ReadAll(io.LimitReader(r.Body, MaxLineBytes))
			if err != nil {
				return err
			}
			r.Body.Close()
			r.Body = io.NopCloser(bytes.NewReader(body))
			if m, ok := r.Request.Context().Value(requestKey{}).(Message); ok {
				t.enqueue(Exchange{Protocol: "http", Request: m, Answer: Message{Status: r.StatusCode, Headers: headers(r.Header), Body: body}})
			}
			return nil
		},
		ErrorLog: slog.NewLogLogger(t.Log.Handler(), slog.LevelWarn),
	}
	handler := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/ready" {
			proxy.ServeHTTP(w, r)
			return
		}
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxFrameBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		m := Message{Method: r.Method, Target: r.RequestURI, Headers: headers(r.Header), Body: body}
		proxy.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), requestKey{}, m)))
	}
	s := &http.Server{Handler: http.HandlerFunc(handler), ReadHeaderTimeout: headTimeout}
	stop := context.AfterFunc(ctx, func() { s.Shutdown(context.Background()) })
	defer stop()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return s.Shutdown(context.Background())
}

func (t *Tap) serveThrift(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	var all sync.WaitGroup
	defer all.Wait()
	for {
		c, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		all.Go(func() {
			ends := context.AfterFunc(ctx, func() { c.Close() })
			defer ends()
			t.proxyThrift(c)
		})
	}
}

// proxyThrift proxies the frames of one client. Replies are matched to calls by sequence id; of several calls with the same
// id, the oldest is matched first.
func (t *Tap) proxyThrift(c net.Conn) {
	defer c.Close()
	up, err := net.Dial("tcp", t.To)
	if err != nil {
		t.Log.Warn("the agent is not there", "error", err)
		return
	}
	defer up.Close()
	var mu sync.Mutex
	inFlight, n := map[int32][][]byte{}, 0 // calls without a reply, by sequence id, and how many they are
	go func() {
		defer c.Close()
		for {
			frame, err := forwardFrame(up, c, nil)
			if err != nil {
				return
			}
			h, err := thriftwire.ReadHead(frame)
			mu.Lock()
			if calls := inFlight[h.Seq]; err == nil && len(calls) > 0 {
				t.enqueue(Exchange{Protocol: "thrift", Request: Message{Thrift: calls[0]}, Answer: Message{Thrift: frame}})
				n--
				if inFlight[h.Seq] = calls[1:]; len(calls) == 1 {
					delete(inFlight, h.Seq)
				}
			} else {
				t.dropped.Add(1)
			}
			mu.Unlock()
		}
	}()
	for {
		_, err := forwardFrame(c, up, func(frame []byte) {
			h, err := thriftwire.ReadHead(frame)
			mu.Lock()
			defer mu.Unlock()
			if err != nil || h.Type != thriftwire.Call || n == maxInFlight {
				t.dropped.Add(1)
				return
			}
			inFlight[h.Seq] = append(inFlight[h.Seq], frame)
			n++
		})
		if err != nil {
			return
		}
	}
}

// forwardFrame forwards one frame. It calls before, if not nil, before the frame is sent.
func forwardFrame(from io.Reader, to io.Writer, before func([]byte)) ([]byte, error) {
	frame, err := thriftwire.ReadFrame(from, maxFrameBytes)
	if err != nil {
		return nil, err
	}
	if before != nil {
		before(frame)
	}
	if _, err := to.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(frame))), frame...)); err != nil {
		return nil, fmt.Errorf("forwarding a frame: %w", err)
	}
	return frame, nil
}
