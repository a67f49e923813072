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

// pipelineLength is how many requests a client sends at once.
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
	c.conn.SetDeadline(time.Now().Add(testkit.Patience))
	c.in = bufio.NewReader(c.conn)
	return nil
}

// connect opens a connection and has one request answered on it. It reports whether the answer ends the connection.
func (c *pipeliningClient) connect(id string) (closes bool, err error) {
	if err := c.dial(); err != nil {
		return false, err
	}
	if _, err := c.conn.Write(c.requests(id, 1)); err != nil {
		return false, err
	}
	return c.answer(id, 0)
}

// requests returns so many requests, one behind the other.
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

// answer reads the answer to one request, and whether it ends the connection.
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

// write sends requests, with a pause in the middle of them where it is not 0.
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

// heldServer answers requests once it is told to go on, but for a first one.
func heldServer(t *testing.T) (addr net.Addr, goOn func()) {
	t.Helper()
	held := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.Contains(r.URL.Path, "first") {
			<-held
		}
		fmt.Fprint(w, "checked ", r.URL.Path)
	}))
	t.Cleanup(server.Close)
	goOn = sync.OnceFunc(func() { close(held) })
	t.Cleanup(goOn)
	return server.Listener.Addr(), goOn
}

// pipelinedEnd is a case of TestPipelinedRequestsAreAnsweredAtTheEnd.
type pipelinedEnd struct {
	class  string
	before bool          // the requests are sent before SIGTERM on a connection that was used, and on a new one otherwise
	pause  time.Duration // in the middle of them
}

// play has requests sent about SIGTERM, and servers answer when all are sent.
func (e pipelinedEnd) run(t *testing.T) {
	server, goOn := heldServer(t)
	config, listen := configure(t, unusedAddr(t), shutdownSettings(randomDeadline), server)
	p := startReady(t, config, listen, false)
	c := pipeliningClient{listen: listen, class: e.class}
	signal := func() {
		p.sendSignals(t, syscall.SIGTERM)
		testkit.Eventually(t, "it ends", func() bool { return p.log.Has("stage=begun") })
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
	goOn()
	if err := c.answers("further"); err != nil {
		t.Errorf("%v\n%s", err, p.log)
	}
}

// Guards against a connection that ends with the first answer at the end of the process, over requests that had come behind the first one.
func TestPipelinedRequestsAreAnsweredAtTheEnd(t *testing.T) {
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

// Guards against the same where places for connections get short.
func TestPipelinedRequestsAreAnsweredWherePlacesAreShort(t *testing.T) {
	const sockets, mostClients = 160, 160
	config, listen := configureLimited(t, unusedAddr(t), shutdownSettings(randomDeadline), sockets, slowServer(t))
	startReady(t, config, listen, false)
	short := false
	for number := 0; number < mostClients && !short; number++ {
		c := pipeliningClient{listen: listen, class: "form-check"}
		var err error
		if short, err = c.connect(fmt.Sprint("first-", number)); err != nil {
			t.Fatal(err)
		}
		defer c.conn.Close()
	}
	if !short {
		t.Fatal("places did not get short")
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
