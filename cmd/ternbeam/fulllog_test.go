package main

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"
)

// fullPipe returns the write end of a full pipe that nobody reads.
func fullPipe(t *testing.T) *os.File {
	t.Helper()
	read, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { read.Close(); write.Close() })
	write.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
	for part := make([]byte, 4<<10); err == nil; {
		_, err = write.Write(part)
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatal(err)
	}
	return write
}

// Guards against requests that are never answered because the process blocks on writing its log.
func TestRequestsAreAnsweredWhenTheLogPipeIsFull(t *testing.T) {
	t.Parallel()
	config, listen := configure(t, unusedAddr(t), shutdownSettings(1509*time.Millisecond), hangingServer(t), slowServer(t))
	cmd := agentCommand(t, "NODE_CONFIG="+config, "NODE_NAME=n1", "NODE_LISTEN="+listen)
	cmd.Stderr = fullPipe(t)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	t.Cleanup(func() { cmd.Process.Kill() })
	awaitReadyUnderFaults(t, listen)
	var wait sync.WaitGroup
	for number := range 8 {
		c := testClient{listen: listen, name: fmt.Sprint("client-", number), class: "form-check", keepAlive: true}
		wait.Go(func() {
			defer c.close()
			for n := range 5 {
				path := fmt.Sprintf("/%s/%s-%d", c.class, c.name, n)
				if _, err := c.do(path, fmt.Sprintf("%s-%d", c.name, n)); err != nil && !isNotServed(err) {
					t.Errorf("%s: %v", path, err)
				}
			}
		})
	}
	wait.Wait()
	cmd.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(killDelay(1509 * time.Millisecond)):
		t.Error("the process does not exit on its own")
	}
}
