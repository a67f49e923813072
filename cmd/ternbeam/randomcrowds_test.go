package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"
)

// defaultCrowdSeeds is the default number of seeds of TestUsualClientsUnderRandomCrowds.
const defaultCrowdSeeds = 3

// Checks that a process beside a crowd of several kinds of slow clients stays within its memory, answers usual clients in time, and exits in time at
// SIGTERM while the crowd goes on.
func TestUsualClientsUnderRandomCrowds(t *testing.T) {
	first, seeds := envInt(t, firstSeedEnv, 1), envInt(t, seedsEnv, defaultCrowdSeeds)
	for seed := first; seed < first+seeds; seed++ { // one after the other: each crowd needs processor time in this process
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { drawRandomCrowd(t, uint64(seed)).run(t) })
	}
}

// randomCrowd is one run.
type randomCrowd struct {
	memoryMB, size int
	withOps        bool // the process has an operations address
	kinds          []crowdMember
	hangups        []time.Duration // when the process gets SIGHUP
	terminateAt    time.Duration
}

// drawRandomCrowd draws a run.
func drawRandomCrowd(t *testing.T, seed uint64) randomCrowd {
	random := rand.New(rand.NewPCG(seed, 6))
	const minSize, minTerminate, maxTerminate = 100, time.Second, 3 * time.Second
	r := randomCrowd{memoryMB: []int{32, 48, 64, 96}[random.IntN(4)], size: minSize + random.IntN(crowdSize-minSize+1), withOps: random.IntN(2) == 0}
	all := crowds()
	random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	r.kinds = all[:1+random.IntN(len(all))]
	r.terminateAt = minTerminate + time.Duration(random.Int64N(int64(maxTerminate-minTerminate)))
	for at := time.Duration(0); random.IntN(2) == 0; {
		at += time.Duration(random.Int64N(int64(maxTerminate / 2)))
		if at < r.terminateAt {
			r.hangups = append(r.hangups, at)
		}
	}
	names := ""
	for _, m := range r.kinds {
		names += " " + strconv.Quote(m.name)
	}
	t.Logf("%d MB, %d connections:%s; SIGHUP after %v, SIGTERM after %v", r.memoryMB, r.size, names, r.hangups, r.terminateAt)
	return r
}

// act has a client of the crowd act as one of its kinds.
func (r randomCrowd) act(c net.Conn, id string, ended <-chan struct{}) {
	number, _ := strconv.ParseUint(id[:8], 16, 32)
	try, _ := strconv.ParseUint(id[8:], 16, 32)
	r.kinds[int(number+try)%len(r.kinds)].act(c, id, ended)
}

// run plays the crowd.
func (r randomCrowd) run(t *testing.T) {
	const sockets, cores, longestDeadline = 1024, 0.25, 3 * time.Second
	server := longAnswerServer(t, 512<<10)
	config, listen := configure(t, unusedAddr(t), crowdSettings, server, server)
	setLimits(t, config, cores, r.memoryMB, sockets)
	p := startReady(t, config, listen, r.withOps)
	endWatch := watchPeakMemory(p.cmd.Process.Pid)
	begin := time.Now()
	var wait sync.WaitGroup
	wait.Go(func() { crowdMember{"mixed", r.act}.run(listen, r.size, r.terminateAt+killDelay(longestDeadline)) })
	endUsual := runUsualClients(t, listen, 2500*time.Millisecond)
	for _, at := range r.hangups {
		time.Sleep(time.Until(begin.Add(at)))
		p.sendSignals(t, syscall.SIGHUP)
	}
	time.Sleep(time.Until(begin.Add(r.terminateAt)))
	p.sendSignals(t, syscall.SIGTERM)
	killAt := time.Now().Add(killDelay(longestDeadline))
	endUsual()
	p.awaitExit(t, time.Until(killAt))
	wait.Wait()
	checkMemory(t, endWatch(), r.memoryMB)
	if t.Failed() {
		t.Log(p.log)
	}
}
