package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

// crowdSettings are settings with a class for each effect.
const crowdSettings = `{"Balancers":1,"Classes":[
	{"Name":"form-check","Effect":"repeatable","Group":"all","AimNs":600000000,"DeadlineNs":3000000000,"Worth":2},
	{"Name":"refund-record","Effect":"by_key","Group":"all","WindowNs":2000000000,"AimNs":600000000,"DeadlineNs":3000000000,"Worth":10}],
	"Ceilings":{"ConnIdleNs":15000000000,"ConnectTimeoutNs":500000000,"MostHeld":2000,"MostTries":3,"MayCancel":true,"ParallelTries":true},
	"Discovery":"automatic","Report":{"Fields":["util","qps","eps"]},"TickNs":5000000,"WeightKind":"silent",
	"Tenants":[{"Name":"rosyth-port"}],"Zones":["z"]}`

// crowdSize is the number of connections of a crowd. The agent has 1,024 descriptors, and two fifths of them for clients.
const crowdSize = 400

// setLimits replaces the limits in a configuration file.
func setLimits(t *testing.T, config string, cores float64, memoryMB, sockets int) {
	t.Helper()
	editConfig(t, config, func(all map[string]any) {
		all["limits"] = map[string]any{"cores": cores, "memory_mb": memoryMB, "sockets": sockets}
	})
}

// peakMemory returns the largest resident set of a process so far, in bytes.
func peakMemory(t *testing.T, pid int) (bytes int64) {
	t.Helper()
	bytes, err := readPeakMemory(pid)
	if err != nil {
		t.Fatal(err)
	}
	return bytes
}

// readPeakMemory is peakMemory for a process that may have ended.
func readPeakMemory(pid int) (bytes int64, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	_, err = fmt.Sscan(rest, &bytes)
	return bytes << 10, err
}

// checkMemory checks the most memory that an agent had against its limit.
func checkMemory(t *testing.T, peakBytes int64, limitMB int) {
	t.Helper()
	t.Logf("at most %.1f of %d MB", float64(peakBytes)/(1<<20), limitMB)
	if peakBytes == 0 || peakBytes > int64(limitMB)<<20 {
		t.Errorf("the agent had up to %.1f MB of %d", float64(peakBytes)/(1<<20), limitMB)
	}
}

// watchPeakMemory reads the largest resident set of a process until that ends. The returned function returns the last value, 0 if there was none.
func watchPeakMemory(pid int) (end func() (bytes int64)) {
	const interval = 10 * time.Millisecond
	peak := make(chan int64)
	go func() {
		last := int64(0)
		for {
			bytes, err := readPeakMemory(pid)
			if err != nil {
				peak <- last
				return
			}
			last = bytes
			time.Sleep(interval)
		}
	}()
	return func() int64 { return <-peak }
}

// longAnswerServer answers each request with a long body, and reads bodies completely.
func longAnswerServer(t *testing.T, length int) net.Addr {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		if strings.HasSuffix(r.URL.Path, "/short") {
			io.WriteString(w, "checked")
			return
		}
		w.Header().Set("Content-Length", fmt.Sprint(length))
		w.Write(make([]byte, length))
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr()
}

// crowdMember is what one client of a crowd does on a connection until it is closed or the crowd ends.
type crowdMember struct {
	name string
	act  func(c net.Conn, id string, ended <-chan struct{})
}

// crowdTime is how many seconds the clients of a crowd wait for an answer.
const crowdTime = 2.5

// requestHead is the head of a request up to its last line, with its method, class, key, id and seconds left.
const requestHead = "%s /%s/%s HTTP/1.1\r\nHost: service.internal\r\nX-Correlation-Id: %s\r\nX-Service-Class: %[2]s\r\nX-Account: rosyth-port\r\nX-Time-Left: %.3[5]f\r\n"

// holdOpen reads what comes until the connection or the crowd ends.
func holdOpen(c net.Conn, ended <-chan struct{}) {
	read := make(chan struct{})
	go func() { defer close(read); io.Copy(io.Discard, c) }()
	select {
	case <-read:
	case <-ended:
	}
}

// shortFields returns lines of a head with the shortest of fields.
func shortFields(length int) []byte {
	var lines bytes.Buffer
	for i := 0x100; lines.Len() < length; i++ {
		fmt.Fprintf(&lines, "%x:\r\n", i)
	}
	return lines.Bytes()
}

// sendParts sends a request in parts, without a copy of the long one.
func sendParts(c net.Conn, head string, part []byte) {
	buffers := net.Buffers{[]byte(head), part}
	buffers.WriteTo(c)
}

// crowds are clients that make an agent hold much of what they send or read.
func crowds() []crowdMember {
	post := func(id, more string) string {
		return fmt.Sprintf(requestHead, "POST", "refund-record", "1", id, crowdTime) + "Idempotency-Key: " + id + "\r\n" + more + "\r\n"
	}
	// Made once: a crowd that is busy with what it sends delays the usual clients, which run in the same process.
	manyFields, longField, bodyPart := shortFields(15<<10), bytes.Repeat([]byte("f"), 15<<10), bytes.Repeat([]byte("b"), 400<<10)
	return []crowdMember{
		{"short fields", func(c net.Conn, id string, ended <-chan struct{}) {
			sendParts(c, fmt.Sprintf(requestHead, "GET", "form-check", "short", id, crowdTime), manyFields)
			holdOpen(c, ended)
		}},
		{"long field", func(c net.Conn, id string, ended <-chan struct{}) {
			sendParts(c, fmt.Sprintf(requestHead, "GET", "form-check", "short", id, crowdTime)+"X-Facts: ", longField)
			holdOpen(c, ended)
		}},
		{"half of a short body", func(c net.Conn, id string, ended <-chan struct{}) {
			sendParts(c, post(id, "Content-Length: 65536\r\n"), bodyPart[:60<<10])
			holdOpen(c, ended)
		}},
		{"half of a long body", func(c net.Conn, id string, ended <-chan struct{}) {
			sendParts(c, post(id, "Content-Length: 4000000\r\n"), bodyPart)
			holdOpen(c, ended)
		}},
		{"half of a chunked body", func(c net.Conn, id string, ended <-chan struct{}) {
			sendParts(c, post(id, "Transfer-Encoding: chunked\r\n")+"200000\r\n", bodyPart)
			holdOpen(c, ended)
		}},
		{"slow body", func(c net.Conn, id string, ended <-chan struct{}) {
			io.WriteString(c, post(id, "Content-Length: 4000000\r\n"))
			for {
				if _, err := c.Write(bodyPart[:8<<10]); err != nil {
					return
				}
				select {
				case <-ended:
					return
				case <-time.After(100 * time.Millisecond):
				}
			}
		}},
		{"slow reader", func(c net.Conn, id string, ended <-chan struct{}) {
			c.(*net.TCPConn).SetReadBuffer(4 << 10)
			fmt.Fprintf(c, requestHead+"\r\n", "GET", "form-check", "long", id, crowdTime)
			for {
				if _, err := io.ReadFull(c, make([]byte, 1<<10)); err != nil {
					return
				}
				select {
				case <-ended:
					return
				case <-time.After(50 * time.Millisecond):
				}
			}
		}},
	}
}

// run keeps size connections on which the member acts, each with a new id, for a time.
func (m crowdMember) run(listen string, size int, d time.Duration) {
	ended := make(chan struct{})
	time.AfterFunc(d, func() { close(ended) })
	var wait sync.WaitGroup
	for number := range size {
		wait.Go(func() {
			for try := 0; ; try++ {
				select {
				case <-ended:
					return
				case <-time.After(10 * time.Millisecond):
				}
				c, err := net.Dial("tcp", listen)
				if err != nil {
					continue
				}
				release := make(chan struct{})
				go func() { // writes that wait end with the crowd
					select {
					case <-ended:
					case <-release:
					}
					c.Close()
				}()
				m.act(c, fmt.Sprintf("%08x%08x", number, try), ended)
				close(release)
			}
		})
	}
	wait.Wait()
}

// usualClient sends requests one at a time on connections that it keeps, and counts how they were answered.
type usualClient struct {
	listen, name string
	left         time.Duration // that each request has

	conn net.Conn
	in   *bufio.Reader

	served, refused, late, lost int
	worst                       time.Duration // the longest time to an answer
}

// run sends a request each interval until ended is closed.
func (u *usualClient) run(interval time.Duration, ended <-chan struct{}) {
	for number := 0; ; number++ {
		select {
		case <-ended:
			return
		case <-time.After(interval):
			u.send(fmt.Sprintf("%s-%d", u.name, number))
		}
	}
}

// send sends one request, and once more on a new connection if the agent has just closed the kept one.
func (u *usualClient) send(id string) {
	begin := time.Now()
	kept := u.conn != nil
	status, err := u.exchange(id)
	if err != nil && kept {
		status, err = u.exchange(id)
	}
	took := time.Since(begin)
	u.worst = max(u.worst, took)
	switch {
	case took > u.left+answerSlack:
		u.late++
	case err != nil || status != http.StatusOK && status != http.StatusServiceUnavailable:
		u.lost++
	case status == http.StatusOK:
		u.served++
	default:
		u.refused++
	}
}

// exchange sends a request and reads its answer.
func (u *usualClient) exchange(id string) (status int, err error) {
	if u.conn == nil {
		if u.conn, err = net.Dial("tcp", u.listen); err != nil {
			return 0, err
		}
		u.in = bufio.NewReader(u.conn)
	}
	closes := true
	defer func() {
		if closes {
			u.conn.Close()
			u.conn = nil
		}
	}()
	u.conn.SetDeadline(time.Now().Add(u.left + 2*answerSlack))
	if _, err := fmt.Fprintf(u.conn, requestHead+"\r\n", "GET", "form-check", "short", id, u.left.Seconds()); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(u.in, nil)
	if err != nil {
		return 0, err
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, err
	}
	closes = resp.Close
	return resp.StatusCode, nil
}

// runUsualClients has usual clients send requests until the returned function is called, which reports what became of them.
func runUsualClients(t *testing.T, listen string, left time.Duration) (end func() (sum usualClient)) {
	const count, interval = 4, 20 * time.Millisecond
	ended := make(chan struct{})
	clients := make([]usualClient, count)
	var wait sync.WaitGroup
	for i := range clients {
		clients[i] = usualClient{listen: listen, name: fmt.Sprint("usual-", i), left: left}
		wait.Go(func() { clients[i].run(interval, ended) })
	}
	return func() (sum usualClient) {
		t.Helper()
		close(ended)
		wait.Wait()
		for _, c := range clients {
			sum.served, sum.refused, sum.late, sum.lost = sum.served+c.served, sum.refused+c.refused, sum.late+c.late, sum.lost+c.lost
			sum.worst = max(sum.worst, c.worst)
		}
		t.Logf("usual clients: %d served, %d refused, %d late, %d lost, the last after %v", sum.served, sum.refused, sum.late, sum.lost, sum.worst.Round(time.Millisecond))
		if sum.late+sum.lost > 0 || sum.served == 0 {
			t.Errorf("of the usual clients %d were served, %d answered late, %d not", sum.served, sum.late, sum.lost)
		}
		return sum
	}
}

// Guards against a process that is killed for its memory while hundreds of clients write, stop or read slowly.
func TestCrowdsStayWithinTheMemoryLimit(t *testing.T) {
	const leastMB = 32 // that the pages name
	for _, m := range crowds() {
		t.Run(m.name, func(t *testing.T) { m.checkBesideUsualClients(t, leastMB) })
	}
}

// Guards against clients whose connections are closed without an answer, as those that had their last answer still hold places: with more memory
// more requests of the crowd are open until their time is over, and answered together.
func TestConnectionsThatHadTheirLastAnswerHoldNoPlaces(t *testing.T) {
	const memoryMB = 48
	for _, m := range crowds() {
		if m.name == "half of a long body" {
			m.checkBesideUsualClients(t, memoryMB)
		}
	}
}

// checkBesideUsualClients checks that an agent serves usual clients beside a crowd, within its memory.
func (m crowdMember) checkBesideUsualClients(t *testing.T, memoryMB int) {
	t.Helper()
	const sockets, cores = 1024, 0.25
	server := longAnswerServer(t, 512<<10)
	config, listen := configure(t, unusedAddr(t), crowdSettings, server, server)
	setLimits(t, config, cores, memoryMB, sockets)
	p := startReady(t, config, listen, true)
	end := runUsualClients(t, listen, 2500*time.Millisecond)
	m.run(listen, crowdSize, 3*time.Second)
	end()
	checkMemory(t, peakMemory(t, p.cmd.Process.Pid), memoryMB)
}
