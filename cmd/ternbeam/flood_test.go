package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// throttle lets a process run for a share of each period, as a platform does that grants it a part of a processor.
func throttle(p *process, share float64, ended <-chan struct{}) {
	const period = 100 * time.Millisecond
	run := time.Duration(share * float64(period))
	defer p.cmd.Process.Signal(syscall.SIGCONT)
	for {
		p.cmd.Process.Signal(syscall.SIGCONT)
		select {
		case <-ended:
			return
		case <-time.After(run):
		}
		p.cmd.Process.Signal(syscall.SIGSTOP)
		time.Sleep(period - run)
	}
}

// flood is what a client sends at full speed on one connection after the other.
type flood struct {
	name    string
	request func(id string) string
}

// floods returns small requests that need no server, requests that can't be read, and sound ones.
func floods() []flood {
	sound := func(id, key string, left float64) string {
		return fmt.Sprintf(requestHead+"\r\n", "GET", "form-check", key, id, left)
	}
	return []flood{
		{"ready", func(string) string { return "GET /ready HTTP/1.1\r\nHost: a\r\n\r\n" }},
		{"unsound", func(id string) string { return "GET /nothing/" + id + " HTTP/1.1\r\nHost: a\r\n\r\n" }},
		{"garbage", func(id string) string { return id + "\r\n\r\n" }},
		{"short of time", func(id string) string { return sound(id, "short", 0.001) }},
		{"new names", func(id string) string {
			return strings.Replace(sound(id, id, crowdTime), "rosyth-port", "port-"+id, 1)
		}},
		{"sound", func(id string) string { return sound(id, "short", crowdTime) }},
	}
}

// run sends the flood on size connections for a time.
func (f flood) run(listen string, size int, d time.Duration) {
	end := time.Now().Add(d)
	var wait sync.WaitGroup
	for number := range size {
		wait.Go(func() {
			for try := 0; time.Now().Before(end); try++ {
				c, err := net.Dial("tcp", listen)
				if err != nil {
					continue
				}
				c.SetDeadline(end)
				go func() {
					out := bufio.NewWriterSize(c, 8<<10)
					for i := 0; ; i++ {
						if _, err := io.WriteString(out, f.request(fmt.Sprintf("%04x%04x%08x", number, try&0xffff, i))); err != nil {
							return
						}
					}
				}()
				io.Copy(io.Discard, c)
				c.Close()
			}
		})
	}
	wait.Wait()
}

// Guards against answers that come late, or refusals, while others send small or unsound requests at full speed.
func TestFloodsDoNotDelayOtherClients(t *testing.T) {
	const cores, memoryMB, sockets = 0.25, 48, 1024
	const size, duration, clientTime = 6, 3 * time.Second, 600 * time.Millisecond
	for _, f := range floods() {
		t.Run(f.name, func(t *testing.T) {
			server := longAnswerServer(t, 0)
			config, listen := configure(t, unusedAddr(t), crowdSettings, server, server)
			setLimits(t, config, cores, memoryMB, sockets)
			p := startReady(t, config, listen, true)
			ended := make(chan struct{})
			var wait sync.WaitGroup
			wait.Go(func() { throttle(p, cores, ended) })
			end := runUsualClients(t, listen, clientTime)
			f.run(listen, size, duration)
			usual := end()
			close(ended)
			wait.Wait()
			if usual.refused > usual.served/10 {
				t.Errorf("%d requests of usual clients were served, and %d refused", usual.served, usual.refused)
			}
			checkMemory(t, peakMemory(t, p.cmd.Process.Pid), memoryMB)
		})
	}
}

// Guards against answers that come late while hundreds of clients send sound requests at once, each as many as its connection takes.
func TestCrowdAtFullSpeedDoesNotDelayOtherClients(t *testing.T) {
	const cores, memoryMB, sockets = 0.25, 48, 1024
	const requests, clientTime = 2000, 600 * time.Millisecond
	server := longAnswerServer(t, 0)
	config, listen := configure(t, unusedAddr(t), crowdSettings, server, server)
	setLimits(t, config, cores, memoryMB, sockets)
	p := startReady(t, config, listen, true)
	end := runUsualClients(t, listen, clientTime)
	crowdMember{"at full speed", func(c net.Conn, id string, ended <-chan struct{}) {
		io.WriteString(c, strings.Repeat(fmt.Sprintf(requestHead+"\r\n", "GET", "form-check", "short", id, crowdTime), requests))
		holdOpen(c, ended)
	}}.run(listen, crowdSize, 3*time.Second)
	end()
	checkMemory(t, peakMemory(t, p.cmd.Process.Pid), memoryMB)
}
