package logqueue

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

// Lines are written whole, once and in order, including those that are queued at Close.
func TestLinesAreWritten(t *testing.T) {
	var out bytes.Buffer
	w := New(&out)
	var want strings.Builder
	for i := range 1000 {
		line := fmt.Sprintf("line %d\n", i)
		want.WriteString(line)
		fmt.Fprint(w, line)
	}
	w.Close(10 * time.Second)
	if out.String() != want.String() {
		t.Errorf("%d bytes, want %d", out.Len(), want.Len())
	}
}

// If nobody reads, neither Write nor Close blocks, and the next line that is written reports how many were dropped.
func TestBlockedOutputDropsLines(t *testing.T) {
	read, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer read.Close()
	defer write.Close()
	w := New(write)
	line := []byte(strings.Repeat("x", 999) + "\n")
	const lines = 1000
	for range lines {
		w.Write(line)
	}
	got := make([]byte, 0, lines*len(line))
	part := make([]byte, 64<<10)
	for !bytes.Contains(got, []byte("log lines were dropped")) {
		n, err := read.Read(part)
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, part[:n]...)
		fmt.Fprintln(w, "read")
	}
	kept := bytes.Count(got, line)
	if kept < maxQueuedBytes/len(line) || kept > lines-100 {
		t.Errorf("kept %d lines of %d", kept, lines)
	}
	begin := time.Now()
	for range lines {
		w.Write(line)
	}
	if w.Close(time.Millisecond); time.Since(begin) > 5*time.Second {
		t.Errorf("writes and Close took %v", time.Since(begin))
	}
}

func TestConcurrentWriters(t *testing.T) {
	var out bytes.Buffer
	w := New(&out)
	var wait sync.WaitGroup
	for range 8 {
		wait.Go(func() {
			for range 200 {
				fmt.Fprintln(w, "whole line")
			}
		})
	}
	wait.Wait()
	w.Close(10 * time.Second)
	if n := strings.Count(out.String(), "whole line\n"); n != 1600 || out.Len() != 1600*len("whole line\n") {
		t.Errorf("%d lines, %d bytes", n, out.Len())
	}
}
