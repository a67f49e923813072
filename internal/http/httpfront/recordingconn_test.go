package httpfront

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"ternbeam/internal/decide/throttle"
	"ternbeam/internal/host/conntrack"
	"ternbeam/internal/host/membudget"
	"ternbeam/internal/lab/testkit"
)

// Requests are sent back to back, with random sizes, in pieces of random sizes. A request must have more data behind it if and only if
// it is not the last.
func TestRecordingConnDetectsFurtherData(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 0))
			const requests = 8
			var text bytes.Buffer
			for number := range requests {
				body := strings.Repeat("x", []int{0, 1, 300, 5000, 20_000}[random.IntN(5)])
				fmt.Fprintf(&text, "POST /refund HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: %d\r\nX-Filling: %s\r\nContent-Length: %d\r\n\r\n%s",
					number, strings.Repeat("y", random.IntN(3000)), len(body), body)
			}
			more := make(chan bool, requests)
			conn, sent := serveRecorded(t, func(rec *recordingConn) { more <- rec.hasMore() })
			for text.Len() > 0 {
				conn.Write(text.Next(1 + random.IntN(9000)))
				time.Sleep(time.Duration(random.IntN(2)) * time.Millisecond)
			}
			close(sent)
			for number := range requests {
				if got := <-more; got != (number < requests-1) {
					t.Errorf("request %d: %t", number, got)
				}
			}
		})
	}
}

// serveRecorded serves one connection. It reads each request's body, and calls check after everything has been sent.
func serveRecorded(t *testing.T, check func(rec *recordingConn)) (client net.Conn, sent chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	sent = make(chan struct{})
	front := &Front{conns: conntrack.New(10, membudget.New(16<<20))}
	contextOf := func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, clientConnKey{}, &clientConn{recorder: c.(*recordingConn)})
	}
	server := &http.Server{ConnContext: contextOf, ConnState: front.connState, Handler: http.HandlerFunc(func(_ http.ResponseWriter, in *http.Request) {
		rec := clientConnOf(in).recorder
		rec.headRead(in)
		io.Copy(io.Discard, in.Body)
		<-sent
		check(rec)
	})}
	go server.Serve(recordingListener{front.conns.Listen(l.(*net.TCPListener), slog.New(slog.DiscardHandler)).ReaderCloses(), headTimeout, nil, throttle.New(1)})
	t.Cleanup(func() { server.Close() })
	client, err = net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	client.SetDeadline(time.Now().Add(testkit.WaitTimeout))
	t.Cleanup(func() { client.Close() })
	return client, sent
}
