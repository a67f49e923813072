package socketio

import (
	"io"
	"syscall"
	"testing"
	"time"

	"ternbeam/internal/sysio/peek"
)

// read reads from a connection on which data has arrived.
func read(t *testing.T, c *Conn) {
	t.Helper()
	if n, err := c.Read(make([]byte, 10)); n == 0 || err != nil {
		t.Fatalf("%d, %v", n, err)
	}
}

// awaitData waits until the connection has unread data.
func awaitData(t *testing.T, c *Conn) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !peek.HasData(c); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no data")
		}
	}
}

// Data that is there before the first read may have arrived at any time since the start of the connection, if that is known.
func TestReadinessBeforeTheFirstWait(t *testing.T) {
	for _, start := range []time.Time{{}, time.Now().Add(time.Second)} {
		c, other := pair(t)
		c.Reads().StartAt(start)
		io.WriteString(other, "request")
		awaitData(t, c)
		read(t, c)
		if since := c.Reads().ReadySince(); !since.Equal(start) {
			t.Errorf("ready since %v, want %v", since, start)
		}
	}
}

// After a wait, the data counts as ready since the end of the wait, however long reads fail after that.
func TestReadinessAfterAWait(t *testing.T) {
	c, other := pair(t)
	c.Reads().StartAt(time.Now().Add(-time.Hour))
	const failures = 6
	calls := 0
	var woken time.Time
	c.reads.call = func(fd int, p []byte) (int, error) {
		calls++
		if calls == 2 {
			woken = time.Now()
		}
		if 1 < calls && calls <= 1+failures {
			return -1, syscall.ENOMEM
		}
		return syscall.Read(fd, p)
	}
	written := make(chan time.Time, 1)
	time.AfterFunc(20*time.Millisecond, func() {
		written <- time.Now()
		io.WriteString(other, "request")
	})
	read(t, c)
	if since, began := c.Reads().ReadySince(), <-written; since.Before(began) || since.After(woken) {
		t.Errorf("ready since %v after the write and %v after the wait", since.Sub(began), since.Sub(woken))
	}
	if calls != 1+failures+1 {
		t.Errorf("%d reads", calls)
	}
}

// A non-blocking read that found no data counts like an earlier wait.
func TestReadinessAfterAnEmptyRead(t *testing.T) {
	c, other := pair(t)
	c.Reads().StartAt(time.Now().Add(-time.Hour))
	before := time.Now()
	c.Reads().RecordEmpty()
	after := time.Now()
	io.WriteString(other, "request")
	awaitData(t, c)
	read(t, c)
	if since := c.Reads().ReadySince(); since.Before(before) || since.After(after) {
		t.Errorf("ready since %v after the empty read", since.Sub(after))
	}
}
