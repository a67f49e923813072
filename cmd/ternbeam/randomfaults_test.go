package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"ternbeam/internal/lab/sysfault"
)

// seedsVariable holds how many seeds TestAnswersUnderRandomFaults plays, and firstSeedVariable the first, where that is not the default: the
// long run is started by hand.
const (
	seedsVariable     = "TERNBEAM_FAULT_SEEDS"
	firstSeedVariable = "TERNBEAM_FAULT_FIRST_SEED"
	usualSeeds        = 8
)

// fromEnvironment returns the number that a variable holds, or another where it is not set.
func fromEnvironment(t *testing.T, variable string, otherwise int) int {
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

// randomErrnos are errors that the manual pages document for a call and that pass, or say nothing of the peer.
var randomErrnos = map[sysfault.Call][]syscall.Errno{
	sysfault.Read:     {syscall.ETIMEDOUT, syscall.EIO, syscall.EINTR, syscall.ENOMEM, syscall.EHOSTUNREACH},
	sysfault.Write:    {syscall.ETIMEDOUT, syscall.EIO, syscall.EINTR, syscall.ENOBUFS, syscall.EPERM, syscall.ENETUNREACH},
	sysfault.Receive:  {syscall.ETIMEDOUT, syscall.ENOMEM, syscall.EINTR},
	sysfault.Poll:     {syscall.ENOMEM, syscall.EINTR},
	sysfault.Accept:   {syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EPROTO, syscall.ETIMEDOUT},
	sysfault.Connect:  {syscall.ETIMEDOUT, syscall.ECONNREFUSED, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH, syscall.EINTR},
	sysfault.Socket:   {syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM},
	sysfault.EpollAdd: {syscall.ENOMEM, syscall.ENOSPC},
}

// randomFaults are the faults of one seed: in each of a row of moments some calls fail with some probability, on all sockets of the process.
type randomFaults struct {
	moments []faultMoment
	begin   time.Time
	random  *rand.Rand // of whoever decides on the calls
	counts  map[sysfault.Call]int
}

// faultMoment is a span of time in which one system call fails.
type faultMoment struct {
	from, to    time.Duration
	call        sysfault.Call
	outcome     sysfault.Outcome
	probability float64
}

// drawFaults draws moments over some time, as many as fit, beside one another.
func drawFaults(random *rand.Rand, span time.Duration) *randomFaults {
	const rows = 3 // of moments beside one another
	f := &randomFaults{random: rand.New(rand.NewPCG(random.Uint64(), 0)), counts: map[sysfault.Call]int{}}
	calls := []sysfault.Call{sysfault.Read, sysfault.Write, sysfault.Receive, sysfault.Poll, sysfault.Accept, sysfault.Connect, sysfault.Socket, sysfault.EpollAdd}
	for range rows {
		for at := time.Duration(0); at < span; {
			at += time.Duration(random.Int64N(int64(150 * time.Millisecond)))
			m := faultMoment{from: at, to: at + time.Duration(random.Int64N(int64(60*time.Millisecond))), call: calls[random.IntN(len(calls))],
				probability: []float64{0.1, 0.5, 1}[random.IntN(3)]}
			errnos := randomErrnos[m.call]
			m.outcome.Errno = errnos[random.IntN(len(errnos))]
			if (m.call == sysfault.Read || m.call == sysfault.Write) && random.IntN(3) == 0 {
				m.outcome = sysfault.Outcome{Limit: 1 + random.IntN(40)}
			}
			f.moments, at = append(f.moments, m), m.to
		}
	}
	return f
}

// decide is a sysfault.Decider. It spares descriptors that are no connections, such as the log.
func (f *randomFaults) decide(e sysfault.Event) sysfault.Outcome {
	connection := e.Local.IsValid() || e.Call == sysfault.Socket || e.Call == sysfault.Poll
	if f.begin.IsZero() || !connection {
		return sysfault.Outcome{}
	}
	at := time.Since(f.begin)
	for _, m := range f.moments {
		if m.call == e.Call && m.from <= at && at < m.to && f.random.Float64() < m.probability {
			f.counts[e.Call]++
			return m.outcome
		}
	}
	return sysfault.Outcome{}
}

// faultyServer answers after a time of its own, or goes wrong, by a seed, and remembers what it has done.
type faultyServer struct {
	mu      sync.Mutex
	random  *rand.Rand
	effects *effects
}

// effects counts what servers have done, over all of them.
type effects struct {
	mu    sync.Mutex
	times map[string]int // by request
}

func (e *effects) add(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.times[id]++
}

func (s *faultyServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	wait, fate := time.Duration(s.random.Int64N(int64(60*time.Millisecond))), s.random.IntN(40)
	s.mu.Unlock()
	io.Copy(io.Discard, r.Body)
	s.effects.add(r.Header.Get("X-Correlation-Id"))
	time.Sleep(wait)
	body := "checked " + r.URL.Path
	switch fate {
	case 0:
		panic(http.ErrAbortHandler)
	case 1:
		time.Sleep(2 * time.Second)
	case 2:
		http.Error(w, "no", http.StatusInternalServerError)
		return
	case 3, 4: // the length is not said
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n%s", body[:len(body)/2])
		time.Sleep(wait)
		if fate == 3 {
			conn.(*net.TCPConn).SetLinger(0)
			return
		}
		io.WriteString(conn, body[len(body)/2:])
		return
	}
	fmt.Fprint(w, body)
}

// Under system calls that fail at random on all of its sockets, before servers that go wrong, an agent gives each request one final answer, whole
// and in time, never another's, and no request that may not be repeated has its effect twice.
func TestAnswersUnderRandomFaults(t *testing.T) {
	first, seeds := fromEnvironment(t, firstSeedVariable, 1), fromEnvironment(t, seedsVariable, usualSeeds)
	for seed := first; seed < first+seeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			playRandomFaults(t, uint64(seed), false)
		})
	}
}

// The same at the end of a process: signals come in series, clients go on sending on the connections that stay open, open new ones for 0.4 s,
// and SIGKILL comes as early as the platform may send it. A client whose connection ends before anything of its answer has come asks once more on
// another, as the agent may close a connection between two requests; none whose request a server has seen goes without an answer.
func TestAnswersUnderRandomFaultsAtTheEnd(t *testing.T) {
	first, seeds := fromEnvironment(t, firstSeedVariable, 1), fromEnvironment(t, seedsVariable, usualSeeds)
	for seed := first; seed < first+seeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			playRandomFaults(t, uint64(seed), true)
		})
	}
}

// randomDeadline is that of all classes.
const randomDeadline = 1509 * time.Millisecond

// playRandomFaults plays one seed. The process may be told to end in the midst of it.
func playRandomFaults(t *testing.T, seed uint64, ending bool) {
	span := 2 * time.Second
	if ending {
		span += killAfter(randomDeadline)
	}
	random := rand.New(rand.NewPCG(seed, 1))
	done := &effects{times: map[string]int{}}
	var servers []net.Addr
	for range 4 {
		server := httptest.NewServer(&faultyServer{random: rand.New(rand.NewPCG(random.Uint64(), 2)), effects: done})
		t.Cleanup(server.Close)
		t.Cleanup(server.CloseClientConnections)
		servers = append(servers, server.Listener.Addr())
	}
	config, listen := configure(t, free(t), shutdownSettings(randomDeadline), servers...)
	env := []string{"NODE_CONFIG=" + config, "NODE_NAME=n1", "NODE_LISTEN=" + listen}
	if random.IntN(2) == 0 {
		env = append(env, "NODE_OPS="+free(t), "TMPDIR="+t.TempDir())
	}
	faults := drawFaults(random, span)
	chosen := make([]sysfault.Call, 0, len(randomErrnos))
	for call := range randomErrnos {
		chosen = append(chosen, call)
	}
	var mu sync.Mutex // faults begin once the agent is ready
	p, log := startUnderFaults(t, chosen, func(e sysfault.Event) sysfault.Outcome {
		mu.Lock()
		defer mu.Unlock()
		return faults.decide(e)
	}, env...)
	eventuallyReady(t, listen)
	mu.Lock()
	faults.begin = time.Now()
	play := &randomPlay{end: faults.begin.Add(span), effects: done}
	if ending {
		play.told = faults.begin.Add(time.Duration(random.Int64N(int64(time.Second))))
		play.end = play.told.Add(killAfter(randomDeadline))
	}
	mu.Unlock()
	watch := watchMachine()
	var wait sync.WaitGroup
	problems := &problemList{}
	for number := range 8 {
		c := patientClient{listen: listen, name: fmt.Sprint("client-", number), class: "form-check", keep: number%3 != 0}
		if number%2 == 0 {
			c.class = "refund-pay"
		}
		wait.Go(func() { c.play(play, problems) })
	}
	if ending {
		play.signal(p, random)
	}
	wait.Wait()
	if stood := watch(); stood > longestStall {
		t.Logf("the machine stood still for %v", stood)
	}
	done.mu.Lock()
	defer done.mu.Unlock()
	for id, times := range done.times {
		if times > 1 && problems.notRepeatable(id) {
			problems.add("%s had its effect %d times", id, times)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	t.Logf("%d requests, %d served; failed calls: %v", problems.requests, problems.served, faults.counts)
	for _, p := range problems.all {
		t.Error(p)
	}
	if t.Failed() {
		t.Log(log)
	}
}

// problemList is what clients have seen go wrong, and what they have asked for.
type problemList struct {
	mu               sync.Mutex
	all              []string
	requests, served int
	once             map[string]bool // requests that may not be repeated
}

func (l *problemList) add(format string, values ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, fmt.Sprintf(format, values...))
}

func (l *problemList) notRepeatable(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.once[id]
}

func (l *problemList) asked(id string, once bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.once == nil {
		l.once = map[string]bool{}
	}
	l.requests++
	l.once[id] = once
}

// randomPlay is what clients know of a play.
type randomPlay struct {
	end     time.Time // of the sending; the process is killed then if it was told to end
	told    time.Time // when it is told to end; zero for never
	effects *effects
}

// newcomersFor is how long after a process was told to end clients open new connections.
const newcomersFor = 400 * time.Millisecond

// closing reports whether the process was told to end, and whether new connections are still opened.
func (p *randomPlay) closing() (told, newcomers bool) {
	if p.told.IsZero() || time.Now().Before(p.told) {
		return false, true
	}
	return true, time.Since(p.told) < newcomersFor
}

// signal tells the process to end, with further signals behind it, and kills it at the end of the play.
func (p *randomPlay) signal(process *sysfault.Process, random *rand.Rand) {
	time.Sleep(time.Until(p.told))
	process.Signal(syscall.SIGTERM)
	for range random.IntN(4) {
		time.Sleep(time.Duration(random.Int64N(int64(200 * time.Millisecond))))
		process.Signal([]syscall.Signal{syscall.SIGTERM, syscall.SIGHUP}[random.IntN(2)])
	}
	select {
	case <-process.Ended():
	case <-time.After(time.Until(p.end)):
		process.Kill()
	}
}

// seen reports whether a server has got a request.
func (e *effects) seen(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.times[id] > 0
}

// play sends requests one after the other until the end. Each has to be answered whole and in time, by a server or by an error.
func (c *patientClient) play(p *randomPlay, problems *problemList) {
	const late = randomDeadline + 500*time.Millisecond // after which an answer counts as none
	defer c.close()
	for number := 0; time.Now().Before(p.end); number++ {
		told, newcomers := p.closing()
		if c.conn == nil && !newcomers {
			return
		}
		id := fmt.Sprintf("%s-%d", c.name, number)
		path := "/" + c.class + "/" + id
		problems.asked(id, c.class == "refund-pay")
		kept, begin := c.conn != nil, time.Now()
		body, err := c.ask(path, id)
		took := time.Since(begin)
		toldBy, _ := p.closing()
		crossed := kept && toldBy && err != nil && !isPart(err) && !p.effects.seen(id)
		switch {
		case isNotServed(err):
		case crossed, told && isRefused(err): // the connection was closed between two requests; the listener is closed
			c.close()
		case err != nil:
			problems.add("%s: %v (told to end: %t, on a kept connection: %t)", path, err, toldBy, kept)
			c.close()
		case body != "checked "+path:
			problems.add("%s: the answer is %.60q", path, body)
		default:
			problems.mu.Lock()
			problems.served++
			problems.mu.Unlock()
		}
		if took > late {
			problems.add("%s: answered after %v", path, took)
		}
		if !c.keep {
			c.close()
		}
	}
}
