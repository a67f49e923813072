package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"ternbeam/internal/lab/sysfault"
	"ternbeam/internal/lab/testkit"
)

// seedsEnv names the environment variable with the number of seeds that forEachSeed runs, and firstSeedEnv the one with the first seed. They
// override the defaults, for long runs that are started by hand.
const (
	seedsEnv                = "TERNBEAM_FAULT_SEEDS"
	firstSeedEnv            = "TERNBEAM_FAULT_FIRST_SEED"
	defaultSeeds            = 20
	defaultReplacementSeeds = 8 // each seed runs two processes
	defaultIdleSeeds        = 12
)

// envInt returns the number in an environment variable, or a default if the variable is not set.
func envInt(t *testing.T, variable string, defaultValue int) int {
	t.Helper()
	text := os.Getenv(variable)
	if text == "" {
		return defaultValue
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", variable, err)
	}
	return n
}

// randomErrnos are errors that the manual pages document for each call. None of them describes the real state of a run's connections.
var randomErrnos = []struct {
	call   sysfault.Call
	errnos []syscall.Errno
}{
	{sysfault.Read, []syscall.Errno{syscall.ETIMEDOUT, syscall.EIO, syscall.EINTR, syscall.ENOMEM, syscall.EHOSTUNREACH, syscall.ECONNRESET,
		syscall.EAGAIN, syscall.ENOTCONN, syscall.EBADF, syscall.EINVAL, syscall.EFAULT}},
	{sysfault.Write, []syscall.Errno{syscall.ETIMEDOUT, syscall.EIO, syscall.EINTR, syscall.ENOBUFS, syscall.EPERM, syscall.ENETUNREACH,
		syscall.ECONNRESET, syscall.EPIPE, syscall.EAGAIN, syscall.ENOTCONN, syscall.EBADF, syscall.EINVAL, syscall.EFAULT}},
	{sysfault.RecvFrom, []syscall.Errno{syscall.ETIMEDOUT, syscall.ENOMEM, syscall.EINTR, syscall.ECONNRESET, syscall.ENOTCONN, syscall.EBADF}},
	{sysfault.Poll, []syscall.Errno{syscall.ENOMEM, syscall.EINTR, syscall.EINVAL}},
	{sysfault.Accept, []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EPROTO,
		syscall.ETIMEDOUT, syscall.EAGAIN, syscall.EPERM, syscall.EINVAL}},
	{sysfault.Connect, []syscall.Errno{syscall.ETIMEDOUT, syscall.ECONNREFUSED, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.EINTR,
		syscall.EAGAIN, syscall.EACCES, syscall.ECONNRESET}},
	{sysfault.NewSocket, []syscall.Errno{syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EACCES}},
	{sysfault.EpollCtl, []syscall.Errno{syscall.ENOMEM, syscall.ENOSPC, syscall.EPERM, syscall.EEXIST}},
	{sysfault.GetSockOpt, []syscall.Errno{syscall.ENOBUFS, syscall.EINVAL, syscall.ENOPROTOOPT}},
	{sysfault.SetSockOpt, []syscall.Errno{syscall.ENOBUFS, syscall.ENOMEM, syscall.EINVAL}},
	{sysfault.GetSockName, []syscall.Errno{syscall.ENOBUFS, syscall.EINVAL}},
	{sysfault.GetPeerName, []syscall.Errno{syscall.ENOBUFS, syscall.ENOTCONN}},
	{sysfault.Fcntl, []syscall.Errno{syscall.EMFILE, syscall.EINVAL}},
}

// randomFaults are the faults of one seed: a series of time windows, in each of which one system call fails with some probability on all sockets
// of the process.
type randomFaults struct {
	windows   []faultWindow
	holdTimes []time.Duration // when a system call is held, in ascending order
	random    *rand.Rand      // used by decide only

	mu    sync.Mutex
	begin time.Time // zero before they are armed
}

// faultWindow is a span of time in which one system call fails.
type faultWindow struct {
	from, to    time.Duration
	call        sysfault.Call
	outcome     sysfault.Outcome
	probability float64
}

// newRandomFaults draws several sequences of fault windows that run in parallel and fill a span of time.
func newRandomFaults(random *rand.Rand, duration time.Duration) *randomFaults {
	const sequences = 3 // that run in parallel
	f := &randomFaults{random: rand.New(rand.NewPCG(random.Uint64(), 0))}
	for range sequences {
		for at := time.Duration(0); at < duration; {
			at += time.Duration(random.Int64N(int64(150 * time.Millisecond)))
			drawn := randomErrnos[random.IntN(len(randomErrnos))]
			w := faultWindow{from: at, to: at + time.Duration(random.Int64N(int64(60*time.Millisecond))), call: drawn.call,
				probability: []float64{0.1, 0.5, 1}[random.IntN(3)]}
			w.outcome.Errno = drawn.errnos[random.IntN(len(drawn.errnos))]
			if (w.call == sysfault.Read || w.call == sysfault.Write) && random.IntN(3) == 0 {
				w.outcome = sysfault.Outcome{Limit: 1 + random.IntN(40)}
			}
			f.windows, at = append(f.windows, w), w.to
		}
	}
	if random.IntN(2) == 0 {
		for at := time.Duration(0); at < duration; at += time.Second {
			f.holdTimes = append(f.holdTimes, at+time.Duration(random.Int64N(int64(800*time.Millisecond))))
		}
	}
	return f
}

// arm starts the faults.
func (f *randomFaults) arm() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.begin = time.Now()
}

// decide is a sysfault.Decider. It exempts descriptors that are not connections, such as the log.
func (f *randomFaults) decide(e sysfault.Event) sysfault.Outcome {
	connection := e.Local.IsValid() || e.Call == sysfault.NewSocket || e.Call == sysfault.Poll
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.begin.IsZero() || !connection {
		return sysfault.Outcome{}
	}
	at := time.Since(f.begin)
	if len(f.holdTimes) > 0 && f.holdTimes[0] <= at {
		f.holdTimes = f.holdTimes[1:]
		return sysfault.Outcome{Hold: time.Duration(f.random.Int64N(int64(maxStall)))}
	}
	for _, w := range f.windows {
		if w.call == e.Call && w.from <= at && at < w.to && f.random.Float64() < w.probability {
			return w.outcome
		}
	}
	return sysfault.Outcome{}
}

// Checks an agent whose system calls fail at random on all of its sockets, in front of faulty servers: each request gets exactly one final answer,
// complete, in time and its own, and no request that must not be repeated takes effect twice.
func TestAnswersUnderRandomFaults(t *testing.T) {
	t.Parallel()
	forEachSeed(t, defaultSeeds, func(t *testing.T, seed uint64) { runRandomFaults(t, seed, steady) })
}

// Like TestAnswersUnderRandomFaults, while the process shuts down: it gets several signals, clients continue to send on open connections, open new
// ones for 0.4 s, and SIGKILL is sent as early as the platform may send it. A request may go unanswered if its connection ends before any part of an
// answer and no server has received it, because the agent may close a connection between two requests. Every request that a server received must be
// answered.
func TestAnswersUnderRandomFaultsAtTheEnd(t *testing.T) {
	t.Parallel()
	forEachSeed(t, defaultSeeds, func(t *testing.T, seed uint64) { runRandomFaults(t, seed, terminated) })
}

// Like TestAnswersUnderRandomFaults, on connections that are idle between requests for about as long as the idle time after which a connection may
// be closed.
func TestAnswersOnIdleConnectionsUnderRandomFaults(t *testing.T) {
	t.Parallel()
	forEachSeed(t, defaultIdleSeeds, func(t *testing.T, seed uint64) { runRandomFaults(t, seed, withIdleClients) })
}

// Like TestAnswersUnderRandomFaults, while a second process replaces the first, which gets SIGTERM when the second reports that it is ready. Clients
// use either process.
func TestAnswersUnderRandomFaultsAcrossAReplacement(t *testing.T) {
	t.Parallel()
	forEachSeed(t, defaultReplacementSeeds, func(t *testing.T, seed uint64) { runRandomFaults(t, seed, replaced) })
}

// forEachSeed runs seeds in parallel, each as a subtest. The environment may override the default number of seeds.
func forEachSeed(t *testing.T, defaultCount int, run func(t *testing.T, seed uint64)) {
	first, seeds := envInt(t, firstSeedEnv, 1), envInt(t, seedsEnv, defaultCount)
	for seed := first; seed < first+seeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			run(t, uint64(seed))
		})
	}
}

const (
	// randomDeadline is the deadline of all classes.
	randomDeadline = 1509 * time.Millisecond
	// randomWindow is how long requests with an idempotency key may be repeated.
	randomWindow = 700 * time.Millisecond
)

// scenario is what happens to the process in a run.
type scenario int

// The scenarios.
const (
	steady          scenario = iota // it keeps running
	terminated                      // it gets SIGTERM
	replaced                        // another one replaces it
	withIdleClients                 // it keeps running, and clients are idle between requests
)

// runRandomFaults runs one seed.
func runRandomFaults(t *testing.T, seed uint64, scenario scenario) {
	retryUntilValid(t, func() bool { return tryRandomFaults(t, seed, scenario) })
}

// retryUntilValid repeats a run until it is valid, at most maxVoidRuns times.
func retryUntilValid(t *testing.T, run func() (valid bool)) {
	for range maxVoidRuns {
		if run() {
			return
		}
	}
	t.Fatalf("the machine stood still in each of %d runs: no result", maxVoidRuns)
}

// tryRandomFaults returns false if the machine itself stalled for longer than the platform may stall a process.
func tryRandomFaults(t *testing.T, seed uint64, scenario scenario) (valid bool) {
	random := rand.New(rand.NewPCG(seed, 1))
	run := newRandomRun(t, scenario, random)
	first := run.startProcess(random)
	defer first.process.Kill()
	awaitReadyUnderFaults(t, run.listen)
	first.faults.arm()
	run.begin = time.Now()
	run.end = run.begin.Add(run.duration)
	if scenario == terminated {
		run.setTerminateAt(run.begin.Add(time.Duration(random.Int64N(int64(time.Second)))))
		run.end = run.terminateAt.Add(killDelay(randomDeadline))
	}
	watch := watchMachineStalls()
	run.watchProcessorWaits(first)
	return run.report(run.execute(first, random), watch(), run.longestProcessorWait())
}

// newRandomRun draws a run without starting it.
func newRandomRun(t *testing.T, scenario scenario, random *rand.Rand) *randomRun {
	run := &randomRun{t: t, scenario: scenario, duration: 2 * time.Second, traffic: newTrafficRecord()}
	if scenario != steady { // idle clients run as long as the others
		run.duration += killDelay(randomDeadline)
	}
	for range 4 {
		run.servers = append(run.servers, newResettableServer(t, &faultyServer{random: rand.New(rand.NewPCG(random.Uint64(), 2)), traffic: run.traffic}))
	}
	run.configure(random)
	return run
}

// report reports violations, with the logs, unless the machine stalled for too long. If the only violations are late answers, the run is also
// void if a process waited for a processor for longer than answers may be late.
func (p *randomRun) report(logs string, stalled, waited time.Duration) (valid bool) {
	t := p.t
	if machineStalled(t, stalled) {
		return false
	}
	for _, process := range p.traced {
		p.traffic.stalls = append(p.traffic.stalls, process.StalledPeriods(maxStall)...)
	}
	violations, requests, served := p.traffic.evaluate()
	if len(violations) > 0 && waited > answerSlack && p.traffic.onlyLate() {
		t.Logf("void: late answers from a process that waited for a processor for %v: %q", waited, violations)
		return false
	}
	t.Logf("%d requests, %d served, crowd %t", requests, served, p.crowd)
	for _, violation := range violations {
		t.Error(violation)
	}
	if t.Failed() {
		t.Logf("longest waits of the agent's system calls for the test's tracer: %v", p.traffic.stalls)
		t.Log(logs)
	}
	return true
}

// randomRun is one run. Its fields are set before its clients start, except terminateAt, and traced and waits, which only the run itself changes.
type randomRun struct {
	t        *testing.T
	scenario scenario
	servers  []*resettableServer
	listen   string
	env      []string
	withOps  bool // the process has an operations address
	crowd    bool // connections may be closed to make room for others
	traffic  *trafficRecord
	duration time.Duration
	begin    time.Time
	end      time.Time // when clients stop sending; a process that got SIGTERM is killed then
	traced   []*sysfault.Process
	waits    []func() time.Duration // for each process, how long it waited for a processor; see watchProcessorWaits

	mu          sync.Mutex
	terminateAt time.Time // when the first process gets SIGTERM; zero if never or not known yet
}

// faultyProcess is a process with its own faults.
type faultyProcess struct {
	process *sysfault.Process
	log     *testkit.Log
	faults  *randomFaults
	ops     string // the operations address; empty if there is none
}

// configure draws the configuration of the process.
func (p *randomRun) configure(random *rand.Rand) {
	sockets := 1024
	if p.crowd = random.IntN(3) == 0; p.crowd {
		sockets = 160
	}
	var addrs []net.Addr
	for _, server := range p.servers {
		addrs = append(addrs, server.Listener.Addr())
	}
	config, listen := configureLimited(p.t, unusedAddr(p.t), everyEffectSettings(randomDeadline, randomWindow), sockets, addrs...)
	p.listen = listen
	p.env = []string{"NODE_CONFIG=" + config, "NODE_NAME=n1", "NODE_LISTEN=" + listen, "TMPDIR=" + shortTempDir(p.t)}
	p.withOps = random.IntN(2) == 0 || p.scenario == replaced
}

// startProcess starts a process. Its faults start when they are armed.
func (p *randomRun) startProcess(random *rand.Rand) *faultyProcess {
	f := &faultyProcess{faults: newRandomFaults(random, p.duration)}
	env := p.env
	if p.withOps {
		f.ops = unusedAddr(p.t)
		env = append(slices.Clone(env), "NODE_OPS="+f.ops)
	}
	var calls []sysfault.Call
	for _, fault := range randomErrnos {
		calls = append(calls, fault.call)
	}
	f.process, f.log = startUnderFaults(p.t, calls, f.faults.decide, env...)
	p.traced = append(p.traced, f.process)
	return f
}

// watchProcessorWaits watches how long a process waits for a processor from now on.
func (p *randomRun) watchProcessorWaits(f *faultyProcess) {
	p.waits = append(p.waits, watchProcessorWaits(f.process.Pid))
}

// longestProcessorWait ends all watches and returns the longest wait of a process. Clients use either process of a replacement, so that the wait of
// one can delay answers although the other never waited.
func (p *randomRun) longestProcessorWait() (longest time.Duration) {
	for _, waited := range p.waits {
		longest = max(longest, waited())
	}
	return longest
}

// execute runs the clients and all events to the end and returns the logs of the processes.
func (p *randomRun) execute(first *faultyProcess, random *rand.Rand) (logs string) {
	var wait sync.WaitGroup
	p.startClients(&wait, random)
	for _, server := range p.servers {
		at := time.Duration(random.Int64N(int64(p.duration)))
		wait.Go(func() {
			time.Sleep(time.Until(p.begin.Add(at)))
			server.resetAll()
		})
	}
	if p.crowd {
		at := time.Duration(random.Int64N(int64(time.Second)))
		wait.Go(func() { openIdleConns(p.listen, p.begin.Add(at)) })
	}
	switch p.scenario {
	case terminated:
		p.signalAndKill(first.process, random)
	case replaced:
		next := p.replace(first, random)
		defer next.process.Kill()
		wait.Wait()
		return first.log.String() + "\n" + next.log.String()
	}
	wait.Wait()
	return first.log.String()
}

// startClients starts the clients, which send until the end of the run.
func (p *randomRun) startClients(wait *sync.WaitGroup, random *rand.Rand) {
	for number := range 8 {
		c := testClient{listen: p.listen, name: fmt.Sprint("client-", number), class: []string{"form-check", "refund-record", "refund-pay"}[number%3],
			keepAlive: number%4 != 0}
		clientRandom := rand.New(rand.NewPCG(random.Uint64(), 3))
		wait.Go(func() { c.sendRandomRequests(p, clientRandom) })
	}
}

// shutdownState reports whether the first process got SIGTERM, and whether clients still open new connections.
func (p *randomRun) shutdownState() (terminating, opensNew bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.terminateAt.IsZero() || time.Now().Before(p.terminateAt) {
		return false, true
	}
	return true, p.scenario == replaced || time.Since(p.terminateAt) < newConnsFor
}

func (p *randomRun) setTerminateAt(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.terminateAt = at
}

// signalAndKill sends SIGTERM to the process, then further signals, and kills it at the end of the run.
func (p *randomRun) signalAndKill(process *sysfault.Process, random *rand.Rand) {
	time.Sleep(time.Until(p.terminateAt))
	process.Signal(syscall.SIGTERM)
	for range random.IntN(4) {
		time.Sleep(time.Duration(random.Int64N(int64(200 * time.Millisecond))))
		process.Signal([]syscall.Signal{syscall.SIGTERM, syscall.SIGHUP}[random.IntN(2)])
	}
	p.killAt(process, p.end)
}

// killAt kills a process at a given time, unless it exits before.
func (p *randomRun) killAt(process *sysfault.Process, at time.Time) {
	select {
	case <-process.Ended():
	case <-time.After(time.Until(at)):
		process.Kill()
	}
}

// replace starts a second process, with faults from its start, and sends SIGTERM to the first when the second reports that it is ready.
func (p *randomRun) replace(first *faultyProcess, random *rand.Rand) (next *faultyProcess) {
	time.Sleep(time.Duration(random.Int64N(int64(500 * time.Millisecond))))
	next = p.startProcess(random)
	next.faults.arm()
	p.watchProcessorWaits(next)
	second, ready := process{ops: next.ops}, false
	defer func() {
		if !ready {
			p.t.Logf("the first process:\n%s\nthe second:\n%s", first.log, next.log)
		}
	}()
	testkit.Eventually(p.t, "the new process is ready", func() bool {
		ready = second.callOps(http.MethodGet, "/control/ready") == http.StatusOK
		return ready
	})
	p.setTerminateAt(time.Now())
	first.process.Signal(syscall.SIGTERM)
	p.killAt(first.process, time.Now().Add(killDelay(randomDeadline)))
	return next
}

// maxRequestPause is how long a client pauses in the middle of a request at most.
const maxRequestPause = 400 * time.Millisecond

// newConnsFor is how long after SIGTERM clients open new connections if no other process accepts them.
const newConnsFor = 400 * time.Millisecond

// openIdleConns opens 200 connections at a given time, sends nothing on them, and closes them 200 ms later.
func openIdleConns(listen string, at time.Time) {
	time.Sleep(time.Until(at))
	var all []net.Conn
	for range 200 {
		if conn, err := net.DialTimeout("tcp", listen, 50*time.Millisecond); err == nil {
			all = append(all, conn)
		}
	}
	time.Sleep(200 * time.Millisecond)
	for _, conn := range all {
		conn.Close()
	}
}

// sendRandomRequests sends requests one after the other, or two at once, until the end of the run and records the result of each.
func (c *testClient) sendRandomRequests(run *randomRun, random *rand.Rand) {
	defer c.close()
	next := 0
	request := func() *requestRecord {
		next++
		return run.traffic.request(fmt.Sprintf("%s-%d", c.name, next), c.class)
	}
	for time.Now().Before(run.end) {
		if _, opensNew := run.shutdownState(); c.conn == nil && !opensNew {
			return
		}
		c.pause = 0
		if random.IntN(10) == 0 {
			c.sendAndDisconnect(request(), time.Duration(random.Int64N(int64(60*time.Millisecond))))
			continue
		}
		if random.IntN(8) == 0 {
			c.pause = time.Duration(random.Int64N(int64(maxRequestPause)))
		}
		requests := []*requestRecord{request()}
		if random.IntN(8) == 0 {
			requests = append(requests, request())
		}
		c.doPipelined(run, requests)
		if run.scenario == withIdleClients && random.IntN(2) == 0 {
			time.Sleep(minIdle + time.Duration(random.Int64N(int64(maxIdle-minIdle))))
		}
	}
}

// How long idle clients pause between requests. The platform lets a server close a connection that has been idle for 2 s.
const (
	minIdle = 1900 * time.Millisecond
	maxIdle = 2300 * time.Millisecond
)

// doPipelined sends requests at once and reads their answers in order.
func (c *testClient) doPipelined(run *randomRun, requests []*requestRecord) {
	reused := c.conn != nil
	var text []byte
	for _, r := range requests {
		text = append(text, c.encode(r.path, r.id)...)
	}
	c.sentAt = time.Now()
	in, failed := c.send(text)
	for number, r := range requests {
		if r.err = failed; failed == nil {
			r.body, r.err = c.receive(in, c.sentAt)
		}
		r.sentAt, r.took = c.sentAt, time.Since(c.sentAt)
		terminating, _ := run.shutdownState()
		r.mayBeUnread = terminating && (reused || run.crowd || isRefused(r.err))
		if number > 0 && requests[number-1].answered() { // otherwise it came after an answer that closes the connection
			r.mayBeUnread = c.pause > 0 && terminating
		}
		if !r.answered() {
			failed = r.err
		}
	}
	if failed != nil || !c.keepAlive {
		c.close()
	}
}

// sendAndDisconnect sends a request and closes the connection after some time, without waiting for the answer.
func (c *testClient) sendAndDisconnect(r *requestRecord, after time.Duration) {
	defer c.close()
	if c.conn == nil {
		conn, err := net.Dial("tcp", c.listen)
		if err != nil {
			r.sentAt, r.disconnectedAt = time.Now(), time.Now()
			return
		}
		c.conn = conn
	}
	r.sentAt = time.Now()
	c.write(c.encode(r.path, r.id))
	time.Sleep(after)
	c.close()
	r.disconnectedAt = time.Now()
}
