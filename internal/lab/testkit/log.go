package testkit

import (
	"bytes"
	"strings"
	"sync"
)

// Log is a log that may be read while it is written.
type Log struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write adds to the log.
func (l *Log) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// String returns all that was logged so far.
func (l *Log) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// Has reports whether a text was logged.
func (l *Log) Has(text string) bool { return strings.Contains(l.String(), text) }
