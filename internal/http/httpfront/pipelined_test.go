package httpfront

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/host/core"
	"ternbeam/internal/http/httpmsg"
	"ternbeam/internal/lab/testkit"
)

// describeRequest is the answer to a request: its id and what was received of its body.
func describeRequest(id string, body []byte) string {
	return fmt.Sprintf("%s %d %x", id, len(body), crc32.ChecksumIEEE(body))
}

// describingServers is a transport that answers each attempt with the description of its request.
type describingServers struct{}

func (describingServers) Attempt(_ context.Context, at *core.Attempt) core.AttemptOutcome {
	request := at.Payload.(*httpmsg.Request)
	body := request.Body
	if request.Upload != nil {
		reader, err := request.Upload.Open()
		for err == nil {
			var part []byte
			part, err = reader.Next()
			body = append(body, part...)
		}
		if !errors.Is(err, io.EOF) {
			return core.ResultOnly(choice.ConnectFailed)
		}
	}
	text := describeRequest(request.Header.Get("X-Correlation-Id"), body)
	return core.AttemptOutcome{Result: choice.OK, Report: choice.NoReport, Reply: &httpmsg.Reply{Body: []byte(text)}}
}

// conversation is what a client sends on one connection before it has read the answers.
type conversation struct {
	text  []byte
	cuts  []int // where the text is split into writes
	count int   // requests
	leave int   // the client leaves after this many answers
}

// newConversation generates a conversation.
func newConversation(rng *rand.Rand, name int) conversation {
	c := conversation{count: 1 + rng.IntN(8)}
	var text bytes.Buffer
	for i := range c.count {
		writeRandomRequest(&text, rng, fmt.Sprintf("%d-%d", name, i))
	}
	c.text = text.Bytes()
	for range rng.IntN(6) {
		c.cuts = append(c.cuts, rng.IntN(len(c.text)))
	}
	slices.Sort(c.cuts)
	if c.leave = c.count; rng.IntN(10) == 0 {
		c.leave = rng.IntN(c.count)
	}
	return c
}

// writeRandomRequest writes a request with a body of up to 200 KiB, with a length or chunked.
func writeRandomRequest(text *bytes.Buffer, rng *rand.Rand, id string) {
	size := []int{0, 0, rng.IntN(1 << 10), rng.IntN(64 << 10), 60 << 10, rng.IntN(200 << 10)}[rng.IntN(6)]
	if size == 0 {
		text.WriteString(requestsByKind["safe"](id))
		return
	}
	body := make([]byte, size)
	for i := range body {
		body[i] = byte(rng.Uint32())
	}
	head := strings.TrimSuffix(requestsByKind["keyed"](id), "Content-Length: 4\r\n\r\nform")
	text.WriteString(head)
	if rng.IntN(2) == 0 {
		fmt.Fprintf(text, "Content-Length: %d\r\n\r\n", size)
		text.Write(body)
		return
	}
	text.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	for len(body) > 0 {
		n := min(len(body), 1+rng.IntN(32<<10))
		fmt.Fprintf(text, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	text.WriteString("0\r\n\r\n")
}

// play sends the conversation to a server and returns the answers.
func (c conversation) play(addr string) (answers []string) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return []string{err.Error()}
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testkit.WaitTimeout))
	go func() {
		sent := 0
		for _, cut := range append(slices.Clone(c.cuts), len(c.text)) {
			if _, err := conn.Write(c.text[sent:cut]); err != nil {
				return
			}
			sent = cut
			time.Sleep(time.Millisecond)
		}
	}()
	in := bufio.NewReader(conn)
	for range c.leave {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return append(answers, err.Error())
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		answers = append(answers, fmt.Sprintf("%d %s %v", resp.StatusCode, body, err))
	}
	return answers
}

// Compares the answers to generated pipelined conversations with those of net/http's own server: the same, in the same order, none missing.
func TestPipelinedConversationsAreAnsweredAsByNetHTTP(t *testing.T) {
	const conversations, parallel = 2000, 16
	reference := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, in *http.Request) {
		body, err := io.ReadAll(in.Body)
		if err != nil {
			return // the client has left
		}
		io.WriteString(w, describeRequest(in.Header.Get("X-Correlation-Id"), body))
	}))
	defer reference.Close()
	r := newTestFrontOn(t, 1000, describingServers{}, "127.0.0.1:1").serve()
	var players sync.WaitGroup
	for player := range parallel {
		players.Go(func() {
			for name := player; name < conversations && !t.Failed(); name += parallel {
				c := newConversation(rand.New(rand.NewPCG(uint64(name), 1)), name)
				want, got := c.play(reference.Listener.Addr().String()), c.play(r.addr)
				if !slices.Equal(got, want) {
					t.Errorf("conversation %d of %d requests, %d bytes: %q, want %q", name, c.count, len(c.text), got, want)
				}
			}
		})
	}
	players.Wait()
	testkit.Eventually(t, "the connections are released", func() bool { return r.conns.Count() == 0 })
}

// next returns the next attempt that is started.
func (s *stubServers) next(t *testing.T) *core.Attempt {
	t.Helper()
	select {
	case at := <-s.started:
		return at
	case <-time.After(testkit.WaitTimeout):
		t.Fatal("no attempt is started")
		return nil
	}
}

// Guards against requests that are read behind another one and thrown away, as they have more than 128 KiB together.
func TestPipelinedBodiesAreAllAnswered(t *testing.T) {
	const count, size = 30, 60 << 10 // more than the front reads ahead
	r := newTestFront(t, 10).serve()
	c := r.dial(t)
	c.SetDeadline(time.Now().Add(testkit.WaitTimeout))
	go func() {
		for i := range count {
			text := requestsByKind["keyed"](fmt.Sprint("call-", i))
			text = strings.Replace(text, "Content-Length: 4\r\n\r\nform", fmt.Sprintf("Content-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size)), 1)
			if _, err := io.WriteString(c, text); err != nil {
				return
			}
		}
	}()
	in := bufio.NewReader(c)
	for i := range count {
		at := r.servers.next(t)
		if want := fmt.Sprint("call-", i); at.Call.ID != want {
			t.Fatalf("%s is sent to a server, want %s", at.Call.ID, want)
		}
		time.Sleep(5 * time.Millisecond) // the front looks for a disconnect
		r.servers.outcomes <- core.AttemptOutcome{Result: choice.OK, Report: choice.NoReport, Reply: &httpmsg.Reply{Body: []byte("done")}}
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatalf("call-%d: %v", i, err)
		}
		io.Copy(io.Discard, resp.Body)
		if resp.StatusCode != http.StatusOK || resp.Close {
			t.Errorf("call-%d: %d, the connection is to be closed: %t", i, resp.StatusCode, resp.Close)
		}
	}
}

// Guards against a request that waits behind another and whose time is counted from data that came after it.
func TestPipelinedRequestKeepsItsOwnTime(t *testing.T) {
	const wait, slack = 400 * time.Millisecond, 150 * time.Millisecond
	for kind, request := range requestsByKind {
		t.Run(kind, func(t *testing.T) {
			r := newTestFront(t, 10).serve()
			c := r.dial(t)
			send(t, c, request("a")+request("b"))
			sent := r.core.Now()
			r.servers.next(t)
			for range 4 { // data goes on coming
				time.Sleep(wait / 4)
				send(t, c, request("c"))
			}
			time.Sleep(10 * time.Millisecond)
			r.servers.outcomes <- core.AttemptOutcome{Result: choice.OK, Report: choice.NoReport, Reply: &httpmsg.Reply{Body: []byte("done")}}
			at := r.servers.next(t)
			if late := at.Deadline - sent - 30*time.Second; at.Call.ID != "b" || late > slack {
				t.Errorf("%s has %v more than its client", at.Call.ID, late)
			}
		})
	}
}
