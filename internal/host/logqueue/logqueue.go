// Package logqueue writes log lines asynchronously, so that the program never waits for the reader of the log. A pipe that is not read fills
// up and then blocks writes; requests must not wait for that.
package logqueue

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// maxQueuedBytes limits the bytes that wait to be written. Lines beyond it are dropped and counted.
const maxQueuedBytes = 256 << 10

// Writer is a non-blocking io.Writer for whole lines. It is safe for concurrent use.
type Writer struct {
	out    io.Writer
	filled chan struct{} // receives a value when lines are queued
	done   chan struct{} // closed after Close, once everything is written

	mu      sync.Mutex
	queued  []byte
	dropped int // lines dropped since the last one that was queued
	closed  bool
}

// New returns a Writer that writes to out, which may block.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, filled: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a line, or drops it if the queue is full or closed. It always returns len(line) and no error.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.queued)+len(line) > maxQueuedBytes {
		w.dropped++
		return len(line), nil
	}
	if w.dropped > 0 {
		w.queued = fmt.Appendf(w.queued, "time=%s level=WARN msg=\"log lines were dropped, as nobody reads them\" lines=%d\n",
			time.Now().UTC().Format("2006-01-02T15:04:05.000Z07:00"), w.dropped)
		w.dropped = 0
	}
	w.queued = append(w.queued, line...)
	w.wake()
	return len(line), nil
}

func (w *Writer) wake() {
	select {
	case w.filled <- struct{}{}:
	default: // one pending signal is enough
	}
}

// run writes queued lines until the Writer is closed and the queue is empty.
func (w *Writer) run() {
	defer close(w.done)
	var spare []byte
	for range w.filled {
		w.mu.Lock()
		lines, closed := w.queued, w.closed
		w.queued = spare[:0]
		w.mu.Unlock()
		if len(lines) > 0 {
			w.out.Write(lines) // there is nowhere else to report an error
		}
		if closed {
			return
		}
		spare = lines
	}
}

// Close waits until all queued lines are written, for timeout at most. Lines that are written later are dropped.
func (w *Writer) Close(timeout time.Duration) {
	w.mu.Lock()
	w.closed = true
	w.wake()
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}
