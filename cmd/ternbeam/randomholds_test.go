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

// usualHoldUps is how many seeds TestAnswersUnderRandomHoldUps plays.
const defaultStallSeeds = 8

// A process that is stopped for up to 0.15 s again and again, and told to end in the midst of it, gives each request one final answer, before servers
// that go wrong and die, to clients that pause, leave and crowd. Unlike a hold of system calls, a stop hits every thread.
func TestAnswersUnderRandomHoldUps(t *testing.T) {
	t.Parallel()
	forEachSeed(t, defaultStallSeeds, func(t *testing.T, seed uint64) {
		retryUntilValid(t, func() bool { return tryRandomStalls(t, seed) })
	})
}

// playedHoldUps is false where the machine itself stood still for longer than the terms let a process be held up.
func tryRandomStalls(t *testing.T, seed uint64) (valid bool) {
	random := rand.New(rand.NewPCG(seed, 4))
	play := newRandomRun(t, terminated, random)
	env := play.env
	if play.withOps {
		env = append(env, "NODE_OPS="+unusedAddr(t))
	}
	p := start(t, env...)
	awaitReady(t, play.listen)
	play.begin = time.Now()
	play.setTerminateAt(play.begin.Add(time.Duration(random.Int64N(int64(2 * time.Second)))))
	play.end = play.terminateAt.Add(killDelay(randomDeadline))
	watch := watchMachineStalls()
	var wait sync.WaitGroup
	play.startClients(&wait, random)
	wait.Go(func() { stallRepeatedly(p, play.end, rand.New(rand.NewPCG(random.Uint64(), 5))) })
	if play.crowd {
		wait.Go(func() { openIdleConns(play.listen, play.begin.Add(300*time.Millisecond)) })
	}
	time.Sleep(time.Until(play.terminateAt))
	p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.exited:
	case <-time.After(time.Until(play.end)):
		p.cmd.Process.Kill()
	}
	wait.Wait()
	return play.report(p.log.String(), watch(), 0)
}

// holdUp stops a process for moments of up to longestStall, a third of a second apart at the least, until some time.
func stallRepeatedly(p *process, end time.Time, random *rand.Rand) {
	const least = 300 * time.Millisecond
	for time.Now().Before(end) {
		time.Sleep(least + time.Duration(random.Int64N(int64(least))))
		p.cmd.Process.Signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(random.Int64N(int64(maxStall))))
		p.cmd.Process.Signal(syscall.SIGCONT)
	}
}

// Guards against requests refused as too much for the servers because their agent was held up: its own standstill is no queue. It matters most to an
// agent that has just begun, to which each answer is a large part of what it knows.
func TestHoldUpsRefuseNothing(t *testing.T) {
	for number := range 8 {
		t.Run(fmt.Sprint("play ", number), func(t *testing.T) {
			t.Parallel()
			retryUntilValid(t, func() bool { return tryStallsAtStart(t) })
		})
	}
}

// playedHoldUpsAtTheBeginning is false where the machine stood still.
func tryStallsAtStart(t *testing.T) (valid bool) {
	const clients, requests, holdUps, between = 6, 20, 2, 30 * time.Millisecond
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
	for range holdUps {
		time.Sleep(between)
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
