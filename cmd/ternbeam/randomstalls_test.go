package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// defaultStallSeeds is the default number of seeds of TestAnswersUnderRandomStalls.
const defaultStallSeeds = 8

// Checks that a process that is stopped repeatedly for up to 0.15 s, and gets SIGTERM meanwhile, gives each request one final answer, with servers
// that fail and reset connections, and with clients that pause, disconnect and open many connections. Unlike a held system call, SIGSTOP stops every
// thread.
func TestAnswersUnderRandomStalls(t *testing.T) {
	t.Parallel()
	forEachSeed(t, defaultStallSeeds, func(t *testing.T, seed uint64) {
		retryUntilValid(t, func() bool { return tryRandomStalls(t, seed) })
	})
}

// tryRandomStalls returns false if the machine itself stalled for longer than the platform may stall a process.
func tryRandomStalls(t *testing.T, seed uint64) (valid bool) {
	random := rand.New(rand.NewPCG(seed, 4))
	run := newRandomRun(t, terminated, random)
	env := run.env
	if run.withOps {
		env = append(env, "NODE_OPS="+unusedAddr(t))
	}
	p := start(t, env...)
	awaitReady(t, run.listen)
	run.begin = time.Now()
	run.setTerminateAt(run.begin.Add(time.Duration(random.Int64N(int64(2 * time.Second)))))
	run.end = run.terminateAt.Add(killDelay(randomDeadline))
	watch := watchMachineStalls()
	var wait sync.WaitGroup
	run.startClients(&wait, random)
	wait.Go(func() { stallRepeatedly(p, run.end, rand.New(rand.NewPCG(random.Uint64(), 5))) })
	if run.crowd {
		wait.Go(func() { openIdleConns(run.listen, run.begin.Add(300*time.Millisecond)) })
	}
	time.Sleep(time.Until(run.terminateAt))
	p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(time.Until(run.end)):
		p.cmd.Process.Kill()
	}
	wait.Wait()
	return run.report(p.log.String(), watch(), 0)
}

// stallRepeatedly stops a process for up to maxStall at a time, with at least 300 ms in between, until a given time.
func stallRepeatedly(p *process, end time.Time, random *rand.Rand) {
	const minGap = 300 * time.Millisecond
	for time.Now().Before(end) {
		time.Sleep(minGap + time.Duration(random.Int64N(int64(minGap))))
		p.cmd.Process.Signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(random.Int64N(int64(maxStall))))
		p.cmd.Process.Signal(syscall.SIGCONT)
	}
}

// Guards against requests that are refused as overload because the agent was stalled: its own stall does not mean that requests queue at the
// servers. This matters most for an agent that has just started, because each answer is a large part of what it has measured.
func TestHoldUpsRefuseNothing(t *testing.T) {
	for _, c := range []struct {
		stalls int
		gap    time.Duration // in which the process runs before each stall
	}{
		{2, 30 * time.Millisecond},
		{3, time.Millisecond}, // attempts span several stalls
	} {
		for number := range 8 {
			t.Run(fmt.Sprintf("%d stalls, play %d", c.stalls, number), func(t *testing.T) {
				t.Parallel()
				retryUntilValid(t, func() bool { return tryStallsAtStart(t, c.stalls, c.gap) })
			})
		}
	}
}

// tryStallsAtStart returns false if the machine stalled.
func tryStallsAtStart(t *testing.T, stalls int, gap time.Duration) (valid bool) {
	const clients, requests = 6, 20
	config, listen := configure(t, unusedAddr(t), shutdownSettings(randomDeadline), slowServer(t), slowServer(t))
	p := startReady(t, config, listen, false)
	watch := watchMachineStalls()
	var wait sync.WaitGroup
	var refused atomic.Int64
	for number := range clients {
		c := testClient{listen: listen, name: fmt.Sprint("client-", number), class: "form-check", keepAlive: true}
		wait.Go(func() {
			c.runAllowing(t, requests, func(err error) bool {
				refused.Add(1)
				return isNotServed(err)
			})
		})
	}
	for range stalls {
		time.Sleep(gap)
		p.sendSignals(t, syscall.SIGSTOP)
		time.Sleep(maxStall)
		p.sendSignals(t, syscall.SIGCONT)
	}
	wait.Wait()
	if machineStalled(t, watch()) {
		return false
	}
	if n := refused.Load(); n > 0 {
		t.Errorf("%d of %d requests were refused\n%s", n, clients*requests, p.log)
	}
	return true
}
