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

// Clients saw their connections end with no whole answer, 0.19 to 0.22 s after each had sent a request: the time that servers took for an
// answer. The agent had taken the requests and forwarded them, and its log had no line for them, so that they counted as served by their first
// attempt. No process had ended or been told to. The cause: the system call that wrote the answer failed with an error that says nothing of the
// client, such as ETIMEDOUT, and the agent took any error of a client's connection for the client's end.
//
// What proved it: the error put into write(2) of an unchanged program gives the same picture, the end of the connection at the server's time and no
// line; the line "answer not delivered", which was added, names the stage, the error and that the client was still connected.

// callFault is a way in which system calls on clients' connections fail.
type callFault struct {
	call   sysfault.Call
	errno  syscall.Errno
	limit  int           // in place of errno: how many bytes a call moves at the most
	every  int           // each so many-th call fails; 0 for all in the moments below
	length time.Duration // the length of a moment, of which there is one each fifth of a second
}

func (f callFault) String() string {
	text := f.call.String() + " " + f.errno.Error()
	if f.errno == 0 {
		text = fmt.Sprintf("%s of %d bytes", f.call, f.limit)
	}
	if f.every > 0 {
		return fmt.Sprintf("%s, each %d.", text, f.every)
	}
	return fmt.Sprintf("%s, for %v", text, f.length)
}

// inBothWays has a call fail with each of some errors: each so many-th time, and for moments.
func inBothWays(call sysfault.Call, every int, moment time.Duration, errnos ...syscall.Errno) (all []callFault) {
	for _, errno := range errnos {
		all = append(all, callFault{call: call, errno: errno, every: every}, callFault{call: call, errno: errno, length: moment})
	}
	return all
}

// onAddress chooses the sockets of one local address: of a listener, or of the connections that it accepts.
func onAddress(listen string) func(netip.AddrPort) bool {
	return func(local netip.AddrPort) bool { return local.String() == listen }
}

// dialled chooses the connections that a program opens to others on this machine, in its tests the ones to servers and discovery.
func dialled(local netip.AddrPort) bool {
	return local.Addr() == netip.AddrFrom4([4]byte{127, 0, 0, 1})
}

// decider makes the calls on some sockets fail.
func (f callFault) decider(chosen func(local netip.AddrPort) bool) sysfault.Decider {
	const betweenMoments = 200 * time.Millisecond
	begin, count := time.Now(), 0
	return func(e sysfault.Event) sysfault.Outcome {
		if e.Call != f.call || e.Call != sysfault.Poll && !chosen(e.Local) {
			return sysfault.Outcome{}
		}
		count++
		fails := time.Since(begin)%betweenMoments < f.length
		if f.every > 0 {
			fails = count%f.every == 0
		}
		if !fails {
			return sysfault.Outcome{}
		}
		return sysfault.Outcome{Errno: f.errno, Limit: f.limit}
	}
}

// clientFaults are errors that the manual pages document for calls on a connection or its listener, of which none says that the client has gone.
func clientFaults() (all []callFault) {
	const third, moment = 3, 25 * time.Millisecond
	add := func(call sysfault.Call, errnos ...syscall.Errno) {
		all = append(all, inBothWays(call, third, moment, errnos...)...)
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

// Each request is answered, whatever error a system call on its client's connection returns for a moment: with the server's answer, whole.
func TestAnswersSurviveFailingSystemCalls(t *testing.T) {
	t.Parallel()
	for _, fault := range clientFaults() {
		answerUnderFault(t, fault, onAddress)
	}
}

// answerUnderFault has clients send requests, in a test of its own, to an agent some of whose system calls fail, on sockets that are chosen by where
// it listens.
func answerUnderFault(t *testing.T, fault callFault, chosen func(listen string) func(netip.AddrPort) bool) {
	t.Run(fault.String(), func(t *testing.T) {
		t.Parallel()
		servers := []net.Addr{slowServer(t), slowServer(t)}
		config, listen := configure(t, free(t), unhurriedSettings(randomDeadline), servers...)
		startReadyUnderFaults(t, []sysfault.Call{fault.call}, fault.decider(chosen(listen)), config, listen)
		var wait sync.WaitGroup
		for number := range 6 {
			c := patientClient{listen: listen, name: fmt.Sprint("client-", number), class: "form-check", keep: number%3 != 0}
			if number%2 == 0 {
				c.class = "refund-pay"
			}
			wait.Go(func() { c.run(t, 15) })
		}
		wait.Wait()
	})
}

// slowServer answers each request after some time with its path.
func slowServer(t *testing.T) net.Addr {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(20 * time.Millisecond)
		fmt.Fprint(w, "checked ", r.URL.Path)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr()
}

// serveConnections has connections served until the test ends, each on a goroutine of its own, and returns the address.
func serveConnections(t *testing.T, serve func(conn *net.TCPConn)) net.Addr {
	t.Helper()
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
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
	return l.Addr()
}

// startUnderFaults starts the program with some of its system calls failing, until the test ends.
func startUnderFaults(t *testing.T, chosen []sysfault.Call, decide sysfault.Decider, env ...string) (*sysfault.Process, *testkit.Log) {
	t.Helper()
	return startCommandUnderFaults(t, chosen, decide, command(t, env...))
}

// startCommandUnderFaults is startUnderFaults for a command of its own.
func startCommandUnderFaults(t *testing.T, chosen []sysfault.Call, decide sysfault.Decider, program *exec.Cmd) (*sysfault.Process, *testkit.Log) {
	t.Helper()
	read, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	p, err := sysfault.Start(program, write, chosen, decide)
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

// startReadyUnderFaults is startUnderFaults for an agent that clients are to reach, and waits until they may begin. A test that fails has its log.
func startReadyUnderFaults(t *testing.T, chosen []sysfault.Call, decide sysfault.Decider, config, listen string) {
	t.Helper()
	_, log := startUnderFaults(t, chosen, decide, "NODE_CONFIG="+config, "NODE_NAME=n1", "NODE_LISTEN="+listen)
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(log)
		}
	})
	eventuallyReady(t, listen)
}

// eventuallyReady waits until an agent says that clients may begin, through failures.
func eventuallyReady(t *testing.T, listen string) {
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

// patientClient is a client that waits for the answer to each of its requests, and looks at it closely.
type patientClient struct {
	listen, name, class string
	keep                bool          // its connection, for the next request
	pause               time.Duration // between the halves of a request

	conn net.Conn
	sent time.Time // the last byte of the latest request
}

// run sends requests one after the other. Each has to be answered by a server's answer to it, whole.
func (c *patientClient) run(t *testing.T, requests int) {
	c.runAllowing(t, requests, func(error) bool { return false })
}

// runAllowing is run where some errors are allowed.
func (c *patientClient) runAllowing(t *testing.T, requests int, allowed func(error) bool) {
	defer c.close()
	for number := range requests {
		path := fmt.Sprintf("/%s/%s-%d", c.class, c.name, number)
		body, err := c.ask(path, fmt.Sprintf("%s-%d", c.name, number))
		if err == nil && body != "checked "+path {
			err = fmt.Errorf("the answer is %.40q", body)
		}
		if err != nil && !allowed(err) {
			t.Errorf("%s: %v", path, err)
		}
		if err != nil && !isNotServed(err) {
			c.close()
		}
		if !c.keep {
			c.close()
		}
	}
}

func (c *patientClient) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// Why an answer is not what a server gave.
var (
	errNotServed = errors.New("answered by no server")
	errPart      = errors.New("a part of an answer")
)

func isNotServed(err error) bool { return errors.Is(err, errNotServed) }
func isPart(err error) bool      { return errors.Is(err, errPart) }
func isRefused(err error) bool   { return errors.Is(err, syscall.ECONNREFUSED) }

// patience is how long clients wait.
const patience = 1500 * time.Millisecond

// text is one request as it is sent.
func (c *patientClient) text(path, id string) []byte {
	method := http.MethodGet
	if c.class != "form-check" {
		method = http.MethodPost
	}
	req := word(method, c.listen, path, c.class, id, fmt.Sprintf("%.3f", patience.Seconds()))
	if c.class == "refund-record" {
		req.Header.Set("Idempotency-Key", "key-"+id)
	}
	var text bytes.Buffer
	req.Write(&text)
	return text.Bytes()
}

// write writes requests to the client's connection, in two parts where it pauses.
func (c *patientClient) write(text []byte) error {
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

// ask sends one request and returns the body of its answer.
func (c *patientClient) ask(path, id string) (body string, err error) {
	begin := time.Now()
	in, err := c.send(c.text(path, id))
	if err != nil {
		return "", err
	}
	return c.receive(in, begin)
}

// send sends requests, on a new connection where there is none, and returns what their answers are to be read from.
func (c *patientClient) send(text []byte) (in *bufio.Reader, err error) {
	if c.conn == nil {
		if c.conn, err = net.Dial("tcp", c.listen); err != nil {
			return nil, err
		}
	}
	if err := c.write(text); err != nil {
		return nil, err
	}
	c.sent = time.Now()
	c.conn.SetReadDeadline(c.sent.Add(patience + time.Second))
	return bufio.NewReader(c.conn), nil
}

// receive reads one answer and returns its body. Where it ends the connection the client has none any more.
func (c *patientClient) receive(in *bufio.Reader, begin time.Time) (body string, err error) {
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return "", fmt.Errorf("no final answer after %.3f s: %w", time.Since(begin).Seconds(), err)
	}
	defer resp.Body.Close()
	var text strings.Builder
	if _, err := io.Copy(&text, resp.Body); err != nil {
		return "", fmt.Errorf("%w after %.3f s: %w", errPart, time.Since(begin).Seconds(), err)
	}
	if resp.Close {
		c.close()
	}
	if resp.StatusCode != http.StatusOK {
		return "", fmt.Errorf("%w: %d after %.3f s", errNotServed, resp.StatusCode, time.Since(begin).Seconds())
	}
	return text.String(), nil
}
