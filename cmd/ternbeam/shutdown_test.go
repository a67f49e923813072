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
)

// The platform's rules for shutdown: the time from SIGTERM to SIGKILL follows from the longest deadline of the settings.
const (
	maxKillDeadline = 3 * time.Second
	killMargin      = 700 * time.Millisecond
	maxStall        = 150 * time.Millisecond // the longest time for which a process may be stalled
)

// killDelay returns how long after SIGTERM the platform sends SIGKILL at the earliest.
func killDelay(longestDeadline time.Duration) time.Duration {
	return min(longestDeadline, maxKillDeadline) + killMargin
}

// shutdownSettings returns settings with a repeatable class and one that must not be repeated, both with the same deadline.
func shutdownSettings(deadline time.Duration) string {
	return fmt.Sprintf(`{"Balancers":1,"Classes":[
		{"Name":"form-check","Effect":"repeatable","Group":"all","AimNs":300000000,"DeadlineNs":%[1]d,"Worth":2},
		{"Name":"refund-pay","Effect":"once","Group":"all","AimNs":300000000,"DeadlineNs":%[1]d,"Worth":2}],
		"Ceilings":{"ConnIdleNs":15000000000,"ConnectTimeoutNs":250000000,"MostHeld":100,"MostTries":5},
		"Discovery":"automatic","Report":{"Fields":["util","qps","eps"]},"TickNs":5000000,"WeightKind":"silent",
		"Tenants":[{"Name":"rosyth-port"}],"Zones":["z"]}`, deadline.Nanoseconds())
}

// relaxedSettings returns shutdownSettings with the deadline as each class's aim, for tests that require a server's answer to every request: with a
// shorter aim requests are refused if answers are slow, as on a machine with too few processors.
func relaxedSettings(deadline time.Duration) string {
	return strings.ReplaceAll(shutdownSettings(deadline), `"AimNs":300000000`, fmt.Sprintf(`"AimNs":%d`, deadline.Nanoseconds()))
}

// everyEffectSettings returns settings with a class of each effect, all with the same deadline. Requests with an idempotency key may be repeated
// within a window.
func everyEffectSettings(deadline, window time.Duration) string {
	const before = `{"Name":"refund-pay"`
	keyed := fmt.Sprintf(`{"Name":"refund-record","Effect":"by_key","Group":"all","AimNs":300000000,"DeadlineNs":%d,"WindowNs":%d,"Worth":2},`,
		deadline.Nanoseconds(), window.Nanoseconds())
	return strings.Replace(shutdownSettings(deadline), before, keyed+before, 1)
}

// hangingServer starts a server that reads requests and answers none until the test ends.
func hangingServer(t *testing.T) net.Addr {
	t.Helper()
	testEnded := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		select {
		case <-testEnded:
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(func() { close(testEnded); server.CloseClientConnections(); server.Close() })
	return server.Listener.Addr()
}

// shutdownClient is a client that sends one request while an agent shuts down, in two parts at given times after SIGTERM.
type shutdownClient struct {
	name        string
	class       string
	connect     time.Duration // after SIGTERM; negative for before
	first, last time.Duration // when the first half and the last byte of the request are sent
}

// longBody is the name of the client that is still sending its body when the process is killed.
const longBody = "long body"

// writeSlowly writes at the lowest rate that a body may have, until the connection ends.
func writeSlowly(conn net.Conn, text []byte) {
	for len(text) > 0 {
		part := min(len(text), 3000)
		if _, err := conn.Write(text[:part]); err != nil {
			return
		}
		text = text[part:]
		time.Sleep(40 * time.Millisecond)
	}
}

// do sends the request and returns the status of its final answer, which must be complete.
func (c shutdownClient) do(begin time.Time, listen string, deadline time.Duration) (status int, err error) {
	method := map[string]string{"form-check": http.MethodGet, "refund-pay": http.MethodPost}[c.class]
	var text bytes.Buffer
	left := fmt.Sprintf("%.3f", deadline.Seconds())
	request := newRequest(method, listen, "/"+c.class+"/1", c.class, c.name, left)
	if c.name == longBody {
		request.Body, request.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 400_000))), 400_000
	}
	if err := request.Write(&text); err != nil {
		return 0, err
	}
	time.Sleep(time.Until(begin.Add(c.connect)))
	conn, err := net.Dial("tcp", listen)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	half := text.Len() / 2
	time.Sleep(time.Until(begin.Add(c.first)))
	if _, err := conn.Write(text.Bytes()[:half]); err != nil {
		return 0, err
	}
	if c.name == longBody {
		go writeSlowly(conn, text.Bytes()[half:])
	} else {
		time.Sleep(time.Until(begin.Add(c.last)))
		if _, err := conn.Write(text.Bytes()[half:]); err != nil {
			return 0, err
		}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// Checks that every request that an agent accepts is answered before SIGKILL while all servers hang: those it has at SIGTERM and those that arrive
// during shutdown. Whatever the settings say, the platform counts at most 3 s of the deadline. The process may be stalled at SIGTERM and again right
// before SIGKILL.
func TestRequestsAreAnsweredBeforeSIGKILL(t *testing.T) {
	t.Parallel()
	for _, deadline := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 3825 * time.Millisecond, 20 * time.Second} {
		for _, c := range []shutdownCase{{}, {stalled: true}, {replaceable: true}, {stalled: true, replaceable: true}} {
			c.deadline = deadline
			t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
				t.Parallel()
				for range maxVoidRuns {
					if failures, log, void := c.run(t); !void {
						for _, f := range failures {
							t.Error(f)
						}
						if len(failures) > 0 {
							t.Log(log)
						}
						return
					}
				}
				t.Fatalf("the machine stood still in each of %d runs: no result", maxVoidRuns)
			})
		}
	}
}

// shutdownCase describes how a process is shut down.
type shutdownCase struct {
	deadline    time.Duration // of all classes
	stalled     bool          // it is stopped at SIGTERM and again before SIGKILL
	replaceable bool          // it has an operations address: bodies may be long, and idle connections stay open for a while
}

// run shuts a process down and returns the failures and its log. The run is void if the machine itself stalled for longer than the platform may
// stall a process.
func (s shutdownCase) run(t *testing.T) (failures []string, log string, void bool) {
	deadline, stalled := s.deadline, s.stalled
	config, listen := configure(t, unusedAddr(t), shutdownSettings(deadline), hangingServer(t), hangingServer(t))
	env := []string{"NODE_CONFIG=" + config, "NODE_NAME=n1", "NODE_LISTEN=" + listen}
	if s.replaceable {
		env = append(env, "NODE_OPS="+unusedAddr(t), "TMPDIR="+t.TempDir())
	}
	p := start(t, env...)
	awaitReady(t, listen)

	kill := killDelay(deadline)
	late := min(time.Second, kill-600*time.Millisecond)
	begin := time.Now().Add(100 * time.Millisecond) // when SIGTERM is sent
	clients := []shutdownClient{
		{"taken before", "form-check", -60 * time.Millisecond, -50 * time.Millisecond, -50 * time.Millisecond},
		{"taken before, not repeatable", "refund-pay", -60 * time.Millisecond, -50 * time.Millisecond, -50 * time.Millisecond},
		{"taken across the signal", "form-check", -60 * time.Millisecond, -50 * time.Millisecond, 20 * time.Millisecond},
		{"newcomer", "refund-pay", 300 * time.Millisecond, 300 * time.Millisecond, 300 * time.Millisecond},
		{"whole late", "form-check", 300 * time.Millisecond, 320 * time.Millisecond, late},
		{"whole late, not repeatable", "refund-pay", 300 * time.Millisecond, 320 * time.Millisecond, late},
	}
	if s.replaceable {
		clients = append(clients, shutdownClient{longBody, "refund-pay", -60 * time.Millisecond, -50 * time.Millisecond, time.Minute})
	}
	watch := watchMachineStalls()
	var mu sync.Mutex
	var wait sync.WaitGroup
	for _, c := range clients {
		wait.Go(func() {
			status, err := c.do(begin, listen, deadline)
			took := time.Since(begin)
			if err != nil {
				mu.Lock()
				failures = append(failures, fmt.Sprintf("%s: no final answer %.3f s after SIGTERM: %v", c.name, took.Seconds(), err))
				mu.Unlock()
				return
			}
			t.Logf("%s: %d after %.3f s", c.name, status, took.Seconds())
		})
	}
	time.Sleep(time.Until(begin))
	if stalled {
		p.sendSignals(t, syscall.SIGSTOP, syscall.SIGTERM)
		time.Sleep(maxStall)
		p.sendSignals(t, syscall.SIGCONT)
		time.Sleep(time.Until(begin.Add(kill - 2*maxStall)))
		if p.alive() {
			p.sendSignals(t, syscall.SIGSTOP)
			time.Sleep(maxStall)
			p.sendSignals(t, syscall.SIGCONT)
		}
	} else {
		p.sendSignals(t, syscall.SIGTERM)
	}
	time.Sleep(time.Until(begin.Add(kill)))
	p.cmd.Process.Kill()
	wait.Wait()
	tolerance := maxStall
	if stalled { // the test already stopped the process for as long as the platform may
		tolerance = maxStall / 3
	}
	if longest := watch(); longest > tolerance {
		t.Logf("void: the machine stood still for %v", longest)
		return nil, "", true
	}
	return failures, p.log.String(), false
}

// maxVoidRuns is how many runs are tried if the machine stalls in each.
const maxVoidRuns = 10

// watchMachineStalls starts to measure how late the machine wakes a sleeping goroutine. The returned function stops that and returns the longest
// delay.
func watchMachineStalls() (longest func() time.Duration) {
	const sleepTime = 2 * time.Millisecond
	stop, result := make(chan struct{}), make(chan time.Duration)
	go func() {
		longestDelay := time.Duration(0)
		for {
			select {
			case <-stop:
				result <- longestDelay
				return
			default:
			}
			begin := time.Now()
			time.Sleep(sleepTime)
			longestDelay = max(longestDelay, time.Since(begin)-sleepTime)
		}
	}()
	return func() time.Duration { close(stop); return <-result }
}

// machineStalled reports whether the machine stalled for so long that a run has no result.
func machineStalled(t *testing.T, longest time.Duration) bool {
	t.Helper()
	if longest <= maxStall/3 {
		return false
	}
	t.Logf("void: the machine stood still for %v", longest)
	return true
}

// alive reports whether the process is still running.
func (p *process) alive() bool {
	select {
	case err := <-p.exited:
		p.exited <- err
		return false
	default:
		return true
	}
}

// awaitReady waits until an agent reports that it is ready.
func awaitReady(t *testing.T, listen string) {
	t.Helper()
	for end := time.Now().Add(time.Minute); ; time.Sleep(5 * time.Millisecond) {
		resp, err := http.Get("http://" + listen + "/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				http.DefaultClient.CloseIdleConnections()
				return
			}
		}
		if time.Now().After(end) {
			t.Fatalf("not ready: %v", err)
		}
	}
}
