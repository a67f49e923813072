package testkit

import (
	"bytes"
	"strings"
	"sync"
)

// Log is an in-memory log that can be read while it is written. It is safe for concurrent use.
type Log struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write appends p to the log. It never fails.
func (l *Log) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// String returns everything logged so far.
func (l *Log) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// Contains reports whether text has been logged.
func (l *Log) Contains(text string) bool { return strings.Contains(l.String(), text) }
