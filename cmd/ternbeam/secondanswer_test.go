package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ternbeam/internal/lab/testkit"
)

// promisedRest is how late a second answer may begin and still reach nobody, see docs/incidents/2026-12-05-second-answers.md.
const promisedRest = 50 * time.Millisecond

// repeatingServer answers each request a second time, some time after the first answer.
type repeatingServer struct {
	framing framing
	bytes   int // of each answer
	late    time.Duration

	pending atomic.Int64 // second answers that are not sent yet
	mu      sync.Mutex
	conns   map[string][]*repeatingConn // by the path of each request that they carried
}

// repeatingConn is a connection of a repeatingServer.
type repeatingConn struct {
	mu      sync.Mutex // answers do not mix
	tooLate bool       // a second answer began later than promisedRest
}

// answerText returns the body that answers a request to a path.
func (s *repeatingServer) answerText(path string) string {
	return strings.Repeat(path+"\n", 1+s.bytes/len(path))
}

// serve answers requests on a connection until it ends.
func (s *repeatingServer) serve(conn *net.TCPConn) {
	var c repeatingConn
	answerRequests(conn, func(req *http.Request) bool {
		s.mu.Lock()
		s.conns[req.URL.Path] = append(s.conns[req.URL.Path], &c)
		s.mu.Unlock()
		time.Sleep(10 * time.Millisecond) // so that some calls wait for a connection
		text := s.answerText(req.URL.Path)
		_, endedAt := c.answer(conn, s.framing, text)
		s.pending.Add(1)
		time.AfterFunc(s.late, func() {
			defer s.pending.Add(-1)
			begunAt, _ := c.answer(conn, s.framing, text)
			c.mu.Lock()
			defer c.mu.Unlock()
			c.tooLate = c.tooLate || begunAt.Sub(endedAt) > promisedRest
		})
		return true
	})
}

// answer sends one answer. It returns when the other side had the begin of it at the latest, and its end at the earliest.
func (c *repeatingConn) answer(conn io.Writer, framing framing, text string) (begunAt, endedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	framing.writeHead(conn, len(text))
	begunAt = time.Now()
	last := len(text) - 1
	framing.writePiece(conn, text[:last])
	endedAt = time.Now()
	framing.writePiece(conn, text[last:])
	framing.writeEnd(conn)
	return begunAt, endedAt
}

// wasTooLate reports whether a second answer on a connection that carried requests to a path began later than promised, as the machine was
// busy. Such an answer may be taken for the next one.
func (s *repeatingServer) wasTooLate(path string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.conns[path], func(c *repeatingConn) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.tooLate
	})
}

// Guards against second answers that are given to another client, on every path of an answer: held or relayed while it comes, with its length or in
// chunks, to requests that came alone or behind others, some of them with long bodies.
func TestSecondAnswersReachNobody(t *testing.T) {
	t.Parallel()
	for _, framing := range []framing{withLength, chunked} {
		for _, bytes := range []int{100, 80 << 10} {
			for _, late := range []time.Duration{0, 12 * time.Millisecond} {
				s := &repeatingServer{framing: framing, bytes: bytes, late: late, conns: map[string][]*repeatingConn{}}
				t.Run(fmt.Sprintf("%s, %d bytes, %v late", framing, bytes, late), func(t *testing.T) {
					t.Parallel()
					testSecondAnswersReachNobody(t, s)
				})
			}
		}
	}
}

func testSecondAnswersReachNobody(t *testing.T, s *repeatingServer) {
	const clients, rounds = 6, 8
	config, listen := configure(t, unusedAddr(t), everyEffectSettings(randomDeadline, time.Second), serveConnections(t, s.serve), serveConnections(t, s.serve))
	p := startReady(t, config, listen, true)
	var served atomic.Int64
	var foreign sync.Map // of foreignAnswerError
	var wait sync.WaitGroup
	for number := range clients {
		c := pipeliningClient{listen: listen, class: []string{"form-check", "refund-record", "refund-pay"}[number%3]}
		wait.Go(func() {
			for round := range rounds {
				n, err := c.sendTo(s, fmt.Sprintf("c%d-%d", number, round), 1+round%3, number%2 == 1)
				served.Add(int64(n))
				if answer := new(foreignAnswerError); errors.As(err, answer) {
					foreign.Store(*answer, true)
				} else if err != nil {
					t.Errorf("client %d, round %d: %v", number, round, err)
				}
			}
		})
	}
	wait.Wait()
	testkit.Eventually(t, "all second answers are sent", func() bool { return s.pending.Load() == 0 })
	for answer := range foreign.Range {
		if e := answer.(foreignAnswerError); s.wasTooLate(e.answered) {
			t.Logf("not counted, as its server was late: %v", e)
		} else {
			t.Error(e)
		}
	}
	if served.Load() < clients { // some are refused, most on a busy machine
		t.Errorf("%d requests were served, fewer than one a client", served.Load())
	}
	if t.Failed() {
		t.Log(p.log)
	}
}

// foreignAnswerError is that a client got what answers another request.
type foreignAnswerError struct{ path, answered string }

func (e foreignAnswerError) Error() string {
	return fmt.Sprintf("%s got the answer to %s", e.path, e.answered)
}

// sendTo sends some requests at once on a new connection, with long bodies or short ones, and checks that each answer is that of its own request. It
// returns the number of requests that were served.
func (c *pipeliningClient) sendTo(s *repeatingServer, id string, count int, longBodies bool) (served int, err error) {
	conn, err := net.Dial("tcp", c.listen)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testkit.WaitTimeout))
	var text bytes.Buffer
	for number := range count {
		method, body := http.MethodGet, ""
		if c.class != "form-check" {
			method, body = http.MethodPost, "a form"
			if longBodies {
				body = strings.Repeat("form", 100<<10/4)
			}
		}
		req := newRequest(method, c.listen, c.path(id, number), c.class, fmt.Sprint(id, "-", number), "1.5")
		if c.class == "refund-record" {
			req.Header.Set("Idempotency-Key", fmt.Sprint(id, "-", number))
		}
		req.Body, req.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
		req.Write(&text)
	}
	go conn.Write(text.Bytes()) // the answers may come before the last body is sent
	in := bufio.NewReader(conn)
	for number := range count {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			return served, fmt.Errorf("request %d of %d: no answer: %w", number, count, err)
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return served, fmt.Errorf("request %d of %d: %d bytes of the answer: %w", number, count, len(body), err)
		}
		if resp.StatusCode == http.StatusOK {
			served++
			if path := c.path(id, number); string(body) != s.answerText(path) {
				answered, _, _ := strings.Cut(string(body), "\n")
				return served, foreignAnswerError{path, answered}
			}
		}
		if resp.Close {
			break
		}
	}
	return served, nil
}
