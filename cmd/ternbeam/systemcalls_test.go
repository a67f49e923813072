package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"ternbeam/internal/lab/sysfault"
	"ternbeam/internal/lab/testkit"
)

// These tests guard against client connections that are closed without a complete answer. Clients saw that 0.19 to 0.22 s after they had sent
// a request, which is the time servers took to answer. The agent had read and forwarded the requests but logged nothing, so they counted as
// served on the first attempt; no process had exited or been asked to. The cause was that the write of the answer failed with an error that
// does not mean that the client has disconnected, such as ETIMEDOUT, and the agent treated every error on a client's connection as a disconnect.
//
// Injecting the error into write(2) of the unchanged program reproduced the failure: the connection ended when the server answered, and
// nothing was logged. The log message "answer not delivered" was added; it names the stage, the error and whether the client was connected.

// callFault describes how system calls on clients' connections fail.
type callFault struct {
	call     sysfault.Call
	errno    syscall.Errno
	limit    int           // used if errno is 0: the most bytes that a call transfers
	every    int           // every n-th call fails; 0 if all calls fail during the intervals given by duration
	duration time.Duration // of an interval in which calls fail; one begins every 200 ms
}

func (f callFault) String() string {
	text := f.call.String() + " " + f.errno.Error()
	if f.errno == 0 {
		text = fmt.Sprintf("%s of %d bytes", f.call, f.limit)
	}
	if f.every > 0 {
		return fmt.Sprintf("%s, each %d.", text, f.every)
	}
	return fmt.Sprintf("%s, for %v", text, f.duration)
}

// withBothPatterns returns two faults for each error: one for every n-th call and one for intervals.
func withBothPatterns(call sysfault.Call, every int, interval time.Duration, errnos ...syscall.Errno) (all []callFault) {
	for _, errno := range errnos {
		all = append(all, callFault{call: call, errno: errno, every: every}, callFault{call: call, errno: errno, duration: interval})
	}
	return all
}

// onAddress returns a filter for the sockets with one local address: a listener and the connections that it accepts.
func onAddress(listen string) func(netip.AddrPort) bool {
	return func(local netip.AddrPort) bool { return local.String() == listen }
}

// isOutgoing reports whether a connection was opened by the program under test, which in these tests means to servers and discovery.
func isOutgoing(local netip.AddrPort) bool {
	return local.Addr() == netip.AddrFrom4([4]byte{127, 0, 0, 1})
}

// decider returns a sysfault.Decider that applies the fault to the sockets that match.
func (f callFault) decider(matches func(local netip.AddrPort) bool) sysfault.Decider {
	const intervalPeriod = 200 * time.Millisecond
	begin, count := time.Now(), 0
	return func(e sysfault.Event) sysfault.Outcome {
		if e.Call != f.call || e.Call != sysfault.Poll && !matches(e.Local) {
			return sysfault.Outcome{}
		}
		count++
		fails := time.Since(begin)%intervalPeriod < f.duration
		if f.every > 0 {
			fails = count%f.every == 0
		}
		if !fails {
			return sysfault.Outcome{}
		}
		return sysfault.Outcome{Errno: f.errno, Limit: f.limit}
	}
}

// clientFaults returns faults with errors that the manual pages document for calls on a connection or its listener, none of which means that the
// client has disconnected.
func clientFaults() (all []callFault) {
	const everyThird, interval = 3, 25 * time.Millisecond
	add := func(call sysfault.Call, errnos ...syscall.Errno) {
		all = append(all, withBothPatterns(call, everyThird, interval, errnos...)...)
	}
	add(sysfault.Write, syscall.ETIMEDOUT, syscall.EIO, syscall.EINTR, syscall.ENOBUFS, syscall.EPERM, syscall.EHOSTUNREACH)
	add(sysfault.Read, syscall.ETIMEDOUT, syscall.EIO, syscall.EINTR, syscall.ENOMEM, syscall.EHOSTUNREACH)
	add(sysfault.RecvFrom, syscall.ETIMEDOUT, syscall.EIO, syscall.EINTR, syscall.ENOMEM)
	add(sysfault.Poll, syscall.ENOMEM, syscall.EINTR)
	add(sysfault.Accept, syscall.EMFILE, syscall.ENOBUFS, syscall.ETIMEDOUT, syscall.ECONNABORTED)
	add(sysfault.EpollCtl, syscall.ENOMEM, syscall.ENOSPC)
	for _, call := range []sysfault.Call{sysfault.Read, sysfault.Write} {
		all = append(all, callFault{call: call, limit: 1, every: 2}, callFault{call: call, limit: 7, every: 1})
	}
	return all
}

// Checks that every request gets the server's complete answer, whichever error a system call on its client's connection returns temporarily.
func TestAnswersSurviveFailingSystemCalls(t *testing.T) {
	t.Parallel()
	for _, fault := range clientFaults() {
		testAnswersUnderFault(t, fault, onAddress)
	}
}

// testAnswersUnderFault runs a subtest in which clients send requests to an agent whose system calls fail. The filter for the affected sockets is
// made from the agent's listen address.
func testAnswersUnderFault(t *testing.T, fault callFault, socketsOf func(listen string) func(netip.AddrPort) bool) {
	t.Run(fault.String(), func(t *testing.T) {
		t.Parallel()
		servers := []net.Addr{slowServer(t), slowServer(t)}
		config, listen := configure(t, unusedAddr(t), relaxedSettings(randomDeadline), servers...)
		startReadyUnderFaults(t, []sysfault.Call{fault.call}, fault.decider(socketsOf(listen)), config, listen)
		var wait sync.WaitGroup
		for number := range 6 {
			c := testClient{listen: listen, name: fmt.Sprint("client-", number), class: "form-check", keepAlive: number%3 != 0}
			if number%2 == 0 {
				c.class = "refund-pay"
			}
			wait.Go(func() { c.run(t, 15) })
		}
		wait.Wait()
	})
}

// slowServer starts a server that answers each request with its path after 20 ms.
func slowServer(t *testing.T) net.Addr {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(20 * time.Millisecond)
		fmt.Fprint(w, "checked ", r.URL.Path)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr()
}

// serveConnections accepts connections until the test ends, serves each in its own goroutine, and returns the address.
func serveConnections(t *testing.T, serve func(conn *net.TCPConn)) net.Addr {
	t.Helper()
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	serveListener(t, l, serve)
	return l.Addr()
}

// serveListener serves each connection of a listener until the test ends.
func serveListener(t *testing.T, l *net.TCPListener, serve func(conn *net.TCPConn)) {
	t.Helper()
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.AcceptTCP()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
}

// startUnderFaults starts the program with some of its system calls failing. It runs until the test ends.
func startUnderFaults(t *testing.T, calls []sysfault.Call, decide sysfault.Decider, env ...string) (*sysfault.Process, *testkit.Log) {
	t.Helper()
	return startCommandUnderFaults(t, calls, decide, agentCommand(t, env...))
}

// startCommandUnderFaults is like startUnderFaults, for a given command.
func startCommandUnderFaults(t *testing.T, calls []sysfault.Call, decide sysfault.Decider, program *exec.Cmd) (*sysfault.Process, *testkit.Log) {
	t.Helper()
	read, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	p, err := sysfault.Start(program, write, calls, decide)
	write.Close()
	if err != nil {
		t.Fatal(err)
	}
	log := &testkit.Log{}
	go io.Copy(log, read)
	t.Cleanup(func() {
		p.Kill()
		<-p.Ended()
		read.Close()
	})
	return p, log
}

// startReadyUnderFaults is like startUnderFaults, and waits until the agent is ready. If the test fails it prints the agent's log.
func startReadyUnderFaults(t *testing.T, calls []sysfault.Call, decide sysfault.Decider, config, listen string) {
	t.Helper()
	_, log := startUnderFaults(t, calls, decide, "NODE_CONFIG="+config, "NODE_NAME=n1", "NODE_LISTEN="+listen)
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(log)
		}
	})
	awaitReadyUnderFaults(t, listen)
}

// awaitReadyUnderFaults waits until an agent reports that it is ready, and retries if system calls fail meanwhile.
func awaitReadyUnderFaults(t *testing.T, listen string) {
	t.Helper()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	testkit.Eventually(t, "it is ready", func() bool {
		resp, err := client.Get("http://" + listen + "/ready")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// testClient is a client that waits for the answer to each of its requests and checks it.
type testClient struct {
	listen, name, class string
	keepAlive           bool          // reuse the connection for the next request
	pause               time.Duration // between the halves of a request

	conn   net.Conn
	sentAt time.Time // when the last byte of the latest request was sent
}

// run sends requests one after the other. Each must get the complete answer of a server.
func (c *testClient) run(t *testing.T, requests int) {
	c.runAllowing(t, requests, func(error) bool { return false })
}

// runAllowing is like run, but allows some errors.
func (c *testClient) runAllowing(t *testing.T, requests int, allowed func(error) bool) {
	defer c.close()
	for number := range requests {
		path := fmt.Sprintf("/%s/%s-%d", c.class, c.name, number)
		body, err := c.do(path, fmt.Sprintf("%s-%d", c.name, number))
		if err == nil && body != "checked "+path {
			err = fmt.Errorf("the answer is %.40q", body)
		}
		if err != nil && !allowed(err) {
			t.Errorf("%s: %v", path, err)
		}
		if err != nil && !isNotServed(err) {
			c.close()
		}
		if !c.keepAlive {
			c.close()
		}
	}
}

func (c *testClient) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// Errors of answers that are not a server's complete answer.
var (
	errNotServed = errors.New("not answered by a server")
	errPartial   = errors.New("partial answer")
)

func isNotServed(err error) bool { return errors.Is(err, errNotServed) }
func isPartial(err error) bool   { return errors.Is(err, errPartial) }
func isRefused(err error) bool   { return errors.Is(err, syscall.ECONNREFUSED) }

// clientTimeout is how long clients wait for an answer, and the time left that they send.
const clientTimeout = 1500 * time.Millisecond

// encode returns one request as it is sent.
func (c *testClient) encode(path, id string) []byte {
	method := http.MethodGet
	if c.class != "form-check" {
		method = http.MethodPost
	}
	req := newRequest(method, c.listen, path, c.class, id, fmt.Sprintf("%.3f", clientTimeout.Seconds()))
	if c.class == "refund-record" {
		req.Header.Set("Idempotency-Key", "key-"+id)
	}
	var text bytes.Buffer
	req.Write(&text)
	return text.Bytes()
}

// write writes requests to the client's connection, in two parts if the client has a pause.
func (c *testClient) write(text []byte) error {
	if c.pause > 0 {
		if _, err := c.conn.Write(text[:len(text)/2]); err != nil {
			return err
		}
		time.Sleep(c.pause)
		text = text[len(text)/2:]
	}
	_, err := c.conn.Write(text)
	return err
}

// do sends one request and returns the body of its answer.
func (c *testClient) do(path, id string) (body string, err error) {
	begin := time.Now()
	in, err := c.send(c.encode(path, id))
	if err != nil {
		return "", err
	}
	return c.receive(in, begin)
}

// send sends requests, on a new connection if there is none, and returns the reader for their answers.
func (c *testClient) send(text []byte) (in *bufio.Reader, err error) {
	if c.conn == nil {
		if c.conn, err = net.Dial("tcp", c.listen); err != nil {
			return nil, err
		}
	}
	if err := c.write(text); err != nil {
		return nil, err
	}
	c.sentAt = time.Now()
	c.conn.SetReadDeadline(c.sentAt.Add(clientTimeout + time.Second))
	return bufio.NewReader(c.conn), nil
}

// receive reads one answer and returns its body. It closes the client's connection if the answer says so.
func (c *testClient) receive(in *bufio.Reader, begin time.Time) (body string, err error) {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return "", fmt.Errorf("no final answer after %.3f s: %w", time.Since(begin).Seconds(), err)
	}
	defer resp.Body.Close()
	var text strings.Builder
	if _, err := io.Copy(&text, resp.Body); err != nil {
		return "", fmt.Errorf("%w after %.3f s: %w", errPartial, time.Since(begin).Seconds(), err)
	}
	if resp.Close {
		c.close()
	}
	if resp.StatusCode != http.StatusOK {
		return "", fmt.Errorf("%w: %d after %.3f s", errNotServed, resp.StatusCode, time.Since(begin).Seconds())
	}
	return text.String(), nil
}
