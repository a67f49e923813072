package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"
)

// Guards against a server that is told more time than the client of a long body has.
func TestServersAreToldTheClientsTimeWithLongBodies(t *testing.T) {
	t.Parallel()
	const requests, slack = 40, 150 * time.Millisecond
	var mu sync.Mutex
	var told []float64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, in *http.Request) {
		seconds, err := strconv.ParseFloat(in.Header.Get("X-Time-Left"), 64)
		if err != nil {
			t.Error(err)
		}
		mu.Lock()
		told = append(told, seconds)
		mu.Unlock()
		io.Copy(io.Discard, in.Body)
		io.WriteString(w, "checked "+in.URL.Path)
	}))
	defer server.Close()
	config, listen := configure(t, unusedAddr(t), relaxedSettings(randomDeadline), server.Listener.Addr())
	startReady(t, config, listen, true)
	for _, size := range []int{65 << 10, 100 << 10, 1 << 20, 16 << 20} {
		body := make([]byte, size)
		for number := range requests {
			if size > 1<<20 && number == 4 {
				break
			}
			id := fmt.Sprintf("%d-%d", size, number)
			req := newRequest(http.MethodPost, listen, "/refund-pay/"+id, "refund-pay", id, fmt.Sprintf("%.3f", clientTimeout.Seconds()))
			req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(size)
			resp, err := http.DefaultTransport.RoundTrip(req)
			if err != nil {
				t.Fatal(err)
			}
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
	}
	mu.Lock()
	defer mu.Unlock()
	for _, seconds := range told {
		if seconds > (clientTimeout + slack).Seconds() {
			t.Errorf("a server was told %.3f s, the clients have %v", seconds, clientTimeout)
		}
	}
	if len(told) < requests {
		t.Errorf("%d requests reached the server", len(told))
	}
}
