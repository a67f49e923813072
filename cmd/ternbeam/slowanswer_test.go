package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// steadyAnswer is an answer that is sent in pieces at a fixed interval.
type steadyAnswer struct {
	framing  string // "length", "chunked" or "none"
	duration time.Duration
	endless  bool
}

const steadyPause = 25 * time.Millisecond

func (a steadyAnswer) String() string {
	if a.endless {
		return a.framing + ", endless"
	}
	return fmt.Sprintf("%s, %v", a.framing, a.duration)
}

// serve answers requests on a connection until it ends.
func (a steadyAnswer) serve(conn *net.TCPConn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		body := "checked " + req.URL.Path
		switch a.framing {
		case "length":
			length := len(body)
			if a.endless {
				length = 60_000
			}
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", length)
		case "chunked":
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		default:
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
		}
		pieces := min(int(a.duration/steadyPause), len(body))
		for i := 0; a.endless || i < pieces; i++ {
			piece := "x"
			if !a.endless {
				piece = body[len(body)*i/pieces : len(body)*(i+1)/pieces]
			}
			if a.framing == "chunked" {
				piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
			}
			if _, err := io.WriteString(conn, piece); err != nil {
				return
			}
			time.Sleep(steadyPause)
		}
		if a.framing == "chunked" {
			io.WriteString(conn, "0\r\n\r\n")
		}
		if a.framing == "none" {
			return
		}
	}
}

// Guards against steadily sent answers that are never served because they take long, and against endless ones that use up a client's time.
func TestSlowlySentAnswersAreServed(t *testing.T) {
	t.Parallel()
	var answers []steadyAnswer
	for _, framing := range []string{"length", "chunked", "none"} {
		for _, duration := range []time.Duration{100 * time.Millisecond, 400 * time.Millisecond, 700 * time.Millisecond, time.Second} {
			answers = append(answers, steadyAnswer{framing: framing, duration: duration})
		}
		answers = append(answers, steadyAnswer{framing: framing, endless: true})
	}
	for _, answer := range answers {
		for _, withOps := range []bool{false, true} {
			if answer.endless && withOps { // it is relayed, and its client can tell that it is incomplete
				continue
			}
			t.Run(fmt.Sprintf("%v, second address %t", answer, withOps), func(t *testing.T) {
				t.Parallel()
				servers := []net.Addr{serveConnections(t, answer.serve), serveConnections(t, answer.serve)}
				if answer.endless {
					servers[1] = slowServer(t)
				}
				config, listen := configure(t, unusedAddr(t), shutdownSettings(randomDeadline), servers...)
				p := startReady(t, config, listen, withOps)
				var wait sync.WaitGroup
				for number := range 6 {
					c := testClient{listen: listen, name: fmt.Sprint("client-", number), class: "form-check", keepAlive: true}
					wait.Go(func() { c.run(t, 1) }) // later requests may be shed, because slow answers are taken for overload
				}
				wait.Wait()
				if t.Failed() {
					t.Log(p.log)
				}
			})
		}
	}
}
