package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"ternbeam/internal/lab/testkit"
)

// pipelineLength is how many requests a client sends before it reads the answers.
const pipelineLength = 4

// pipeliningClient sends several requests on a connection before it reads their answers.
type pipeliningClient struct {
	listen, class string
	conn          net.Conn
	in            *bufio.Reader
}

// dial opens a connection.
func (c *pipeliningClient) dial() (err error) {
	if c.conn, err = net.Dial("tcp", c.listen); err != nil {
		return err
	}
	c.conn.SetDeadline(time.Now().Add(testkit.WaitTimeout))
	c.in = bufio.NewReader(c.conn)
	return nil
}

// connect opens a connection and makes one request on it. It reports whether the answer closes the connection.
func (c *pipeliningClient) connect(id string) (closes bool, err error) {
	if err := c.dial(); err != nil {
		return false, err
	}
	if _, err := c.conn.Write(c.requests(id, 1)); err != nil {
		return false, err
	}
	return c.answer(id, 0)
}

// requests returns the encoding of several consecutive requests.
func (c *pipeliningClient) requests(id string, count int) []byte {
	var text bytes.Buffer
	for number := range count {
		method, body := http.MethodGet, ""
		if c.class != "form-check" {
			method, body = http.MethodPost, "a form"
		}
		req := newRequest(method, c.listen, c.path(id, number), c.class, fmt.Sprint(id, "-", number), "1.5")
		req.Body, req.ContentLength = io.NopCloser(bytes.NewBufferString(body)), int64(len(body))
		req.Write(&text)
	}
	return text.Bytes()
}

func (c *pipeliningClient) path(id string, number int) string {
	return fmt.Sprintf("/%s/%s-%d", c.class, id, number)
}

// answer reads the answer to one request, and reports whether it closes the connection.
func (c *pipeliningClient) answer(id string, number int) (closes bool, err error) {
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return false, fmt.Errorf("request %d: no answer: %w", number, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if want := "checked " + c.path(id, number); err != nil || string(body) != want {
		return false, fmt.Errorf("request %d: %d, %q, %w", number, resp.StatusCode, body, err)
	}
	return resp.Close, nil
}

// write sends pipelineLength requests, with a pause in the middle of them unless it is 0.
func (c *pipeliningClient) write(id string, pause time.Duration) error {
	text := c.requests(id, pipelineLength)
	if pause > 0 {
		if _, err := c.conn.Write(text[:len(text)*3/5]); err != nil {
			return err
		}
		time.Sleep(pause)
		text = text[len(text)*3/5:]
	}
	_, err := c.conn.Write(text)
	return err
}

// answers reads the answers to all requests.
func (c *pipeliningClient) answers(id string) error {
	for number := range pipelineLength {
		if _, err := c.answer(id, number); err != nil {
			return err
		}
	}
	return nil
}

// heldServer starts a server that answers the first request at once and holds all others until release is called.
func heldServer(t *testing.T) (addr net.Addr, release func()) {
	t.Helper()
	held := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.Contains(r.URL.Path, "first") {
			<-held
		}
		fmt.Fprint(w, "checked ", r.URL.Path)
	}))
	t.Cleanup(server.Close)
	release = sync.OnceFunc(func() { close(held) })
	t.Cleanup(release)
	return server.Listener.Addr(), release
}

// pipelinedEnd is a case of TestPipelinedRequestsAreAnsweredDuringShutdown: pipelined requests during shutdown.
type pipelinedEnd struct {
	class  string
	before bool          // the requests are sent before SIGTERM on a used connection, otherwise after it on a new one
	pause  time.Duration // in the middle of them
}

// run sends requests before or after SIGTERM, and lets the server answer when all are sent.
func (e pipelinedEnd) run(t *testing.T) {
	server, release := heldServer(t)
	config, listen := configure(t, unusedAddr(t), shutdownSettings(randomDeadline), server)
	p := startReady(t, config, listen, false)
	c := pipeliningClient{listen: listen, class: e.class}
	signal := func() {
		p.sendSignals(t, syscall.SIGTERM)
		testkit.Eventually(t, "it shuts down", func() bool { return p.log.Contains("stage=begun") })
	}
	if e.before {
		if _, err := c.connect("first"); err != nil {
			t.Fatal(err)
		}
	} else {
		signal()
		if err := c.dial(); err != nil {
			t.Fatal(err)
		}
	}
	defer c.conn.Close()
	if err := c.write("further", e.pause); err != nil {
		t.Fatal(err)
	}
	if e.before {
		signal()
	}
	release()
	if err := c.answers("further"); err != nil {
		t.Errorf("%v\n%s", err, p.log)
	}
}

// Guards against a connection that is closed after the first answer during shutdown although further requests have arrived behind the first one.
func TestPipelinedRequestsAreAnsweredDuringShutdown(t *testing.T) {
	for _, class := range []string{"form-check", "refund-pay"} {
		for _, before := range []bool{true, false} {
			for _, pause := range []time.Duration{0, 10 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s, sent before SIGTERM %t, pause %v", class, before, pause), func(t *testing.T) {
					t.Parallel()
					pipelinedEnd{class, before, pause}.run(t)
				})
			}
		}
	}
}

// Guards against a connection that is closed after the first answer, although further requests have arrived behind the first one, because connection
// slots run short.
func TestPipelinedRequestsAreAnsweredWhenSlotsRunShort(t *testing.T) {
	const sockets, maxClients = 160, 160
	config, listen := configureLimited(t, unusedAddr(t), shutdownSettings(randomDeadline), sockets, slowServer(t))
	startReady(t, config, listen, false)
	closes := false
	for number := 0; number < maxClients && !closes; number++ {
		c := pipeliningClient{listen: listen, class: "form-check"}
		var err error
		if closes, err = c.connect(fmt.Sprint("first-", number)); err != nil {
			t.Fatal(err)
		}
		defer c.conn.Close()
	}
	if !closes {
		t.Fatal("connection slots did not run short")
	}
	c := pipeliningClient{listen: listen, class: "form-check"}
	if err := c.dial(); err != nil {
		t.Fatal(err)
	}
	defer c.conn.Close()
	if err := c.write("further", 0); err != nil {
		t.Fatal(err)
	}
	if err := c.answers("further"); err != nil {
		t.Error(err)
	}
}
