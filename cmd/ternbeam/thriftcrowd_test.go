package main

import (
	"bytes"
	"encoding/binary"
	"net"
	"strings"
	"testing"
	"time"

	"ternbeam/internal/thrift/thriftwire"
)

// callWithALargeFrame makes a call with a frame of nearly the given size, and waits for its answer, which may be a refusal.
func callWithALargeFrame(listen string, size int, within time.Duration) error {
	const roomForHead = 100
	w := thriftwire.Writer{Encoding: thriftwire.Binary}
	w.Head(thriftwire.Call, []byte("formCheck"), []byte{0, 0, 0, 7})
	w.Stop()
	c, err := net.Dial("tcp", listen)
	if err != nil {
		return err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(within))
	if _, err := c.Write(thriftwire.AppendFrame(nil, append(w.Buf, make([]byte, size-roomForHead)...))); err != nil {
		return err
	}
	_, err = thriftwire.ReadFrame(c, size)
	return err
}

// Guards against a process that is killed for its memory while hundreds of Thrift clients send a part of a large frame each.
func TestThriftCrowdStaysWithinTheMemoryLimit(t *testing.T) {
	const cores, memoryMB, sockets = 0.25, 32, 1024
	const frameBytes, sentBytes = 64 << 10, 60 << 10
	const duration, pause, deadline = 3 * time.Second, 40 * time.Millisecond, 2 * time.Second
	agent := newThriftAgent(t, sockets, deadline)
	setLimits(t, strings.TrimPrefix(agent.env[0], "NODE_CONFIG="), cores, memoryMB, sockets)
	p := startWithArguments(t, agent.arguments, agent.env...)
	awaitReady(t, agent.httpAddr)
	endWatch := watchPeakMemory(p.cmd.Process.Pid)
	part := append(binary.BigEndian.AppendUint32(nil, frameBytes), bytes.Repeat([]byte("b"), sentBytes)...)
	crowdEnded := make(chan struct{})
	go func() {
		defer close(crowdEnded)
		crowdMember{"half of a frame", func(c net.Conn, _ string, ended <-chan struct{}) {
			c.Write(part)
			holdOpen(c, ended)
		}}.run(agent.thriftAddr, crowdSize, duration)
	}()
	largeCall := make(chan error, 1)
	go func() {
		time.Sleep(duration / 6) // the crowd has the memory by then
		largeCall <- callWithALargeFrame(agent.thriftAddr, frameBytes, duration)
	}()
	if n := countUnanswered(t, agent.thriftAddr, "usual", duration, pause, deadline); n > 0 {
		t.Errorf("%d calls of a usual client got no answer", n)
	}
	if err := <-largeCall; err != nil {
		t.Errorf("a call with a large frame: %v", err)
	}
	<-crowdEnded
	p.cmd.Process.Kill()
	checkMemory(t, endWatch(), memoryMB)
}
