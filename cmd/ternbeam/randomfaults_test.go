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

// seedsVariable holds how many seeds TestAnswersUnderRandomFaults plays, and firstSeedVariable the first, where that is not the default: the
// long run is started by hand.
const (
	seedsEnv                = "TERNBEAM_FAULT_SEEDS"
	firstSeedEnv            = "TERNBEAM_FAULT_FIRST_SEED"
	defaultSeeds            = 20
	defaultReplacementSeeds = 8 // seeds, each of two processes
	defaultIdleSeeds        = 12
)

// fromEnvironment returns the number that a variable holds, or another where it is not set.
func envInt(t *testing.T, variable string, otherwise int) int {
	t.Helper()
	text := os.Getenv(variable)
	if text == "" {
		return otherwise
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", variable, err)
	}
	return n
}

// randomErrnos are errors that the manual pages document for each call. On the connections of a play none of them is true.
var randomErrnos = []struct {
	call   sysfault.Call
	errnos []syscall.Errno
}{
	{sysfault.Read, []syscall.Errno{syscall.ETIMEDOUT, syscall.EIO, syscall.EINTR, syscall.ENOMEM, syscall.EHOSTUNREACH, syscall.ECONNRESET,
		syscall.EAGAIN, syscall.ENOTCONN, syscall.EBADF, syscall.EINVAL, syscall.EFAULT}},
	{sysfault.Write, []syscall.Errno{syscall.ETIMEDOUT, syscall.EIO, syscall.EINTR, syscall.ENOBUFS, syscall.EPERM, syscall.ENETUNREACH,
		syscall.ECONNRESET, syscall.EPIPE, syscall.EAGAIN, syscall.ENOTCONN, syscall.EBADF, syscall.EINVAL, syscall.EFAULT}},
	{sysfault.Receive, []syscall.Errno{syscall.ETIMEDOUT, syscall.ENOMEM, syscall.EINTR, syscall.ECONNRESET, syscall.ENOTCONN, syscall.EBADF}},
	{sysfault.Poll, []syscall.Errno{syscall.ENOMEM, syscall.EINTR, syscall.EINVAL}},
	{sysfault.Accept, []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EPROTO,
		syscall.ETIMEDOUT, syscall.EAGAIN, syscall.EPERM, syscall.EINVAL}},
	{sysfault.Connect, []syscall.Errno{syscall.ETIMEDOUT, syscall.ECONNREFUSED, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.EINTR,
		syscall.EAGAIN, syscall.EACCES, syscall.ECONNRESET}},
	{sysfault.NewSocket, []syscall.Errno{syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EACCES}},
	{sysfault.EpollAdd, []syscall.Errno{syscall.ENOMEM, syscall.ENOSPC, syscall.EPERM, syscall.EEXIST}},
	{sysfault.GetOption, []syscall.Errno{syscall.ENOBUFS, syscall.EINVAL, syscall.ENOPROTOOPT}},
	{sysfault.SetOption, []syscall.Errno{syscall.ENOBUFS, syscall.ENOMEM, syscall.EINVAL}},
	{sysfault.LocalName, []syscall.Errno{syscall.ENOBUFS, syscall.EINVAL}},
	{sysfault.PeerName, []syscall.Errno{syscall.ENOBUFS, syscall.ENOTCONN}},
	{sysfault.Control, []syscall.Errno{syscall.EMFILE, syscall.EINVAL}},
}

// randomFaults are the faults of one seed: in each of a row of moments some calls fail with some probability, on all sockets of the process.
type randomFaults struct {
	windows   []faultWindow
	holdTimes []time.Duration // when the process is held up, in order
	random    *rand.Rand      // of whoever decides on the calls

	mu    sync.Mutex
	begin time.Time // zero before they are armed
}

// faultMoment is a span of time in which one system call fails.
type faultWindow struct {
	from, to    time.Duration
	call        sysfault.Call
	outcome     sysfault.Outcome
	probability float64
}

// drawFaults draws moments over some time, as many as fit, beside one another.
func newRandomFaults(random *rand.Rand, span time.Duration) *randomFaults {
	const rows = 3 // of moments beside one another
	f := &randomFaults{random: rand.New(rand.NewPCG(random.Uint64(), 0))}
	for range rows {
		for at := time.Duration(0); at < span; {
			at += time.Duration(random.Int64N(int64(150 * time.Millisecond)))
			drawn := randomErrnos[random.IntN(len(randomErrnos))]
			m := faultWindow{from: at, to: at + time.Duration(random.Int64N(int64(60*time.Millisecond))), call: drawn.call,
				probability: []float64{0.1, 0.5, 1}[random.IntN(3)]}
			m.outcome.Errno = drawn.errnos[random.IntN(len(drawn.errnos))]
			if (m.call == sysfault.Read || m.call == sysfault.Write) && random.IntN(3) == 0 {
				m.outcome = sysfault.Outcome{Limit: 1 + random.IntN(40)}
			}
			f.windows, at = append(f.windows, m), m.to
		}
	}
	if random.IntN(2) == 0 {
		for at := time.Duration(0); at < span; at += time.Second {
			f.holdTimes = append(f.holdTimes, at+time.Duration(random.Int64N(int64(800*time.Millisecond))))
		}
	}
	return f
}

// arm lets the faults begin.
func (f *randomFaults) arm() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.begin = time.Now()
}

// decide is a sysfault.Decider. It spares descriptors that are no connections, such as the log.
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
	for _, m := range f.windows {
		if m.call == e.Call && m.from <= at && at < m.to && f.random.Float64() < m.probability {
			return m.outcome
		}
	}
	return sysfault.Outcome{}
}

// Under system calls that fail at random on all of its sockets, before servers that go wrong, an agent gives each request one final answer, whole
// and in time, never another's, and no request that may not be repeated has its effect twice.
func TestAnswersUnderRandomFaults(t *testing.T) {
	t.Parallel()
	forEachSeed(t, defaultSeeds, func(t *testing.T, seed uint64) { runRandomFaults(t, seed, steady) })
}

// The same at the end of a process: signals come in series, clients go on sending on the connections that stay open, open new ones for 0.4 s,
// and SIGKILL comes as early as the platform may send it. A client whose connection ends before anything of its answer has come asks once more on
// another, as the agent may close a connection between two requests; none whose request a server has seen goes without an answer.
func TestAnswersUnderRandomFaultsAtTheEnd(t *testing.T) {
	t.Parallel()
	forEachSeed(t, defaultSeeds, func(t *testing.T, seed uint64) { runRandomFaults(t, seed, terminated) })
}

// The same on connections that are idle for about as long as one may be closed for, in between.
func TestAnswersOnIdleConnectionsUnderRandomFaults(t *testing.T) {
	t.Parallel()
	forEachSeed(t, defaultIdleSeeds, func(t *testing.T, seed uint64) { runRandomFaults(t, seed, withIdleClients) })
}

// The same where another process replaces the first, which is told to end as the second says yes: clients go on with the one or the other.
func TestAnswersUnderRandomFaultsAcrossAReplacement(t *testing.T) {
	t.Parallel()
	forEachSeed(t, defaultReplacementSeeds, func(t *testing.T, seed uint64) { runRandomFaults(t, seed, replaced) })
}

// forEachSeed plays seeds beside one another, each as a test of its own: so many, where the environment does not say how many.
func forEachSeed(t *testing.T, usual int, play func(t *testing.T, seed uint64)) {
	first, seeds := envInt(t, firstSeedEnv, 1), envInt(t, seedsEnv, usual)
	for seed := first; seed < first+seeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			play(t, uint64(seed))
		})
	}
}

const (
	// randomDeadline is that of all classes.
	randomDeadline = 1509 * time.Millisecond
	// randomWindow is that of requests with a key.
	randomWindow = 700 * time.Millisecond
)

// fate is what becomes of the process in a play.
type scenario int

// The fates.
const (
	steady          scenario = iota // it lives on
	terminated                      // it is told to end
	replaced                        // another one replaces it
	withIdleClients                 // it lives on, and clients are idle between requests
)

// playRandomFaults plays one seed.
func runRandomFaults(t *testing.T, seed uint64, fate scenario) {
	retryUntilValid(t, func() bool { return tryRandomFaults(t, seed, fate) })
}

// untilValid plays until a play is valid, a few times at the most.
func retryUntilValid(t *testing.T, play func() (valid bool)) {
	for range maxVoidRuns {
		if play() {
			return
		}
	}
	t.Fatalf("the machine stood still in each of %d runs: nothing can be said", maxVoidRuns)
}

// playedRandomFaults is false where the machine itself stood still for longer than the terms let a process be held up.
func tryRandomFaults(t *testing.T, seed uint64, fate scenario) (valid bool) {
	random := rand.New(rand.NewPCG(seed, 1))
	play := newRandomRun(t, fate, random)
	first := play.startProcess(random)
	defer first.process.Kill()
	awaitReadyUnderFaults(t, play.listen)
	first.faults.arm()
	play.begin = time.Now()
	play.end = play.begin.Add(play.duration)
	if fate == terminated {
		play.setTerminateAt(play.begin.Add(time.Duration(random.Int64N(int64(time.Second)))))
		play.end = play.terminateAt.Add(killDelay(randomDeadline))
	}
	watch, waits := watchMachineStalls(), watchProcessorWaits(first.process.Pid)
	return play.report(play.execute(first, random), watch(), waits())
}

// newRandomPlay draws a play that has not begun.
func newRandomRun(t *testing.T, fate scenario, random *rand.Rand) *randomRun {
	play := &randomRun{t: t, scenario: fate, duration: 2 * time.Second, traffic: newTrafficRecord()}
	if fate != steady { // as long for clients that are idle
		play.duration += killDelay(randomDeadline)
	}
	for range 4 {
		play.servers = append(play.servers, newResettableServer(t, &faultyServer{random: rand.New(rand.NewPCG(random.Uint64(), 2)), traffic: play.traffic}))
	}
	play.configure(random)
	return play
}

// judge reports what went against the rules, with the logs, unless the machine stood still for too long. Where nothing is wrong but late answers,
// a process that has waited for a processor for longer than answers may be late says nothing either.
func (p *randomRun) report(logs string, stood, waited time.Duration) (valid bool) {
	t := p.t
	if machineStalled(t, stood) {
		return false
	}
	for _, process := range p.traced {
		p.traffic.stalls = append(p.traffic.stalls, process.Standstills(maxStall)...)
	}
	problems, requests, served := p.traffic.evaluate()
	if len(problems) > 0 && waited > answerSlack && p.traffic.onlyLate() {
		t.Logf("void: late answers of a process that has waited for a processor for %v: %q", waited, problems)
		return false
	}
	t.Logf("%d requests, %d served, crowd %t", requests, served, p.crowd)
	for _, problem := range problems {
		t.Error(problem)
	}
	if t.Failed() {
		t.Logf("longest calls of the agent in the test's hands: %v", p.traffic.stalls)
		t.Log(logs)
	}
	return true
}

// randomPlay is one play. What it holds is set before its clients begin, but for told and, by the play itself, traced.
type randomRun struct {
	t        *testing.T
	scenario scenario
	servers  []*resettableServer
	listen   string
	env      []string
	withOps  bool // a second address is there
	crowd    bool // connections may be closed to make room for others
	traffic  *trafficRecord
	duration time.Duration
	begin    time.Time
	end      time.Time // of the sending; the process is killed then if it was told to end
	traced   []*sysfault.Process

	mu          sync.Mutex
	terminateAt time.Time // when the first process is told to end; zero for never, and while that is not known
}

// faultyProcess is a process under faults of its own.
type faultyProcess struct {
	process *sysfault.Process
	log     *testkit.Log
	faults  *randomFaults
	ops     string // its second address, empty for none
}

// configure draws how the process is run.
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

// startProcess starts a process; its faults begin when they are armed.
func (p *randomRun) startProcess(random *rand.Rand) *faultyProcess {
	f := &faultyProcess{faults: newRandomFaults(random, p.duration)}
	env := p.env
	if p.withOps {
		f.ops = unusedAddr(p.t)
		env = append(slices.Clone(env), "NODE_OPS="+f.ops)
	}
	var chosen []sysfault.Call
	for _, fault := range randomErrnos {
		chosen = append(chosen, fault.call)
	}
	f.process, f.log = startUnderFaults(p.t, chosen, f.faults.decide, env...)
	p.traced = append(p.traced, f.process)
	return f
}

// run plays to the end, with the clients and all else that happens, and returns the logs of the processes.
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

// startClients starts the clients, which play to the end.
func (p *randomRun) startClients(wait *sync.WaitGroup, random *rand.Rand) {
	for number := range 8 {
		c := testClient{listen: p.listen, name: fmt.Sprint("client-", number), class: []string{"form-check", "refund-record", "refund-pay"}[number%3],
			keepAlive: number%4 != 0}
		own := rand.New(rand.NewPCG(random.Uint64(), 3))
		wait.Go(func() { c.sendRandomRequests(p, own) })
	}
}

// closing reports whether the first process was told to end, and whether new connections are still opened.
func (p *randomRun) shutdownState() (told, newcomers bool) {
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

// signal tells the process to end, with further signals behind it, and kills it at the end of the play.
func (p *randomRun) signalAndKill(process *sysfault.Process, random *rand.Rand) {
	time.Sleep(time.Until(p.terminateAt))
	process.Signal(syscall.SIGTERM)
	for range random.IntN(4) {
		time.Sleep(time.Duration(random.Int64N(int64(200 * time.Millisecond))))
		process.Signal([]syscall.Signal{syscall.SIGTERM, syscall.SIGHUP}[random.IntN(2)])
	}
	p.killAt(process, p.end)
}

// killLater kills a process at some time, unless it ends before.
func (p *randomRun) killAt(process *sysfault.Process, at time.Time) {
	select {
	case <-process.Ended():
	case <-time.After(time.Until(at)):
		process.Kill()
	}
}

// replace starts a process beside the first, under faults from its beginning, and tells the first to end as the second says yes.
func (p *randomRun) replace(first *faultyProcess, random *rand.Rand) (next *faultyProcess) {
	time.Sleep(time.Duration(random.Int64N(int64(500 * time.Millisecond))))
	next = p.startProcess(random)
	next.faults.arm()
	second, ready := process{ops: next.ops}, false
	defer func() {
		if !ready {
			p.t.Logf("the first process:\n%s\nthe second:\n%s", first.log, next.log)
		}
	}()
	testkit.Eventually(p.t, "the new process says yes", func() bool {
		ready = second.callOps(http.MethodGet, "/control/ready") == http.StatusOK
		return ready
	})
	p.setTerminateAt(time.Now())
	first.process.Signal(syscall.SIGTERM)
	p.killAt(first.process, time.Now().Add(killDelay(randomDeadline)))
	return next
}

// mostRequestPause is for how long a client pauses in the middle of a request at the most.
const maxRequestPause = 400 * time.Millisecond

// newcomersFor is how long after a process was told to end clients open new connections, where no other process takes them.
const newConnsFor = 400 * time.Millisecond

// idleCrowd opens 200 connections at some time, says nothing on them, and closes them all a little later.
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

// play sends requests one after the other, or two at once, until the end and records what comes of each.
func (c *testClient) sendRandomRequests(p *randomRun, random *rand.Rand) {
	defer c.close()
	next := 0
	request := func() *requestRecord {
		next++
		return p.traffic.request(fmt.Sprintf("%s-%d", c.name, next), c.class)
	}
	for time.Now().Before(p.end) {
		if _, newcomers := p.shutdownState(); c.conn == nil && !newcomers {
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
		c.doPipelined(p, requests)
		if p.scenario == withIdleClients && random.IntN(2) == 0 {
			time.Sleep(minIdle + time.Duration(random.Int64N(int64(maxIdle-minIdle))))
		}
	}
}

// For how long clients are idle between requests where they are: from 2 s on the platform lets a server close a connection.
const (
	minIdle = 1900 * time.Millisecond
	maxIdle = 2300 * time.Millisecond
)

// askAll sends requests at once and reads their answers in turn.
func (c *testClient) doPipelined(p *randomRun, requests []*requestRecord) {
	kept := c.conn != nil
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
		told, _ := p.shutdownState()
		r.mayBeUnread = told && (kept || p.crowd || isRefused(r.err))
		if number > 0 && requests[number-1].answered() { // or else it came behind an answer that said that the connection ends
			r.mayBeUnread = c.pause > 0 && told
		}
		if !r.answered() {
			failed = r.err
		}
	}
	if failed != nil || !c.keepAlive {
		c.close()
	}
}

// leave sends a request and closes the connection after some time, without waiting for the answer.
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
