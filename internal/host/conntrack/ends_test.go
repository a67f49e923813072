package conntrack

import (
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"ternbeam/internal/lab/testkit"
)

// endCase is one way in which a connection ends: before sets up its state, and end makes its reader's next read fail.
type endCase struct {
	cause  EndCause
	before func(d *Listener, conn net.Conn)
	end    func(d *Listener, client, conn net.Conn)
}

func endCases() []endCase {
	nothing := func(*Listener, net.Conn) {}
	answered := func(d *Listener, conn net.Conn) { d.tracker.MarkBusy(conn); d.tracker.MarkIdle(conn) }
	expire := func(_ *Listener, _, conn net.Conn) { conn.SetReadDeadline(time.Unix(1, 0)) }
	return []endCase{
		{EndedByClient, answered, func(_ *Listener, client, _ net.Conn) { client.Close() }},
		{EndedDuringRequest, func(d *Listener, conn net.Conn) { d.tracker.MarkBusy(conn) }, expire},
		{EndedIdle, answered, expire},
		{EndedSilent, nothing, expire},
		{EndedForRoom, answered, func(d *Listener, _, conn net.Conn) {
			d.tracker.mu.Lock()
			defer d.tracker.mu.Unlock()
			d.tracker.closeOrAskReaderLocked(d.tracker.conns[conn], EndedForRoom)
		}},
		{EndedForShutdown, answered, func(d *Listener, _, _ net.Conn) { d.CloseIdle() }},
	}
}

// The end of each connection is counted by its cause, and logged if the agent ended it without a request.
func TestEndsAreCountedByCause(t *testing.T) {
	for _, c := range endCases() {
		t.Run(c.cause.String(), func(t *testing.T) {
			log := &testkit.Log{}
			d := newLoggedListener(t, 10, slog.New(slog.NewTextHandler(log, nil))).ReaderCloses()
			client := dialClient(t, d, "")
			conn := acceptConn(t, d)
			c.before(d, conn)
			c.end(d, client, conn)
			if _, err := conn.Read(make([]byte, 1)); err == nil {
				t.Fatal("data was read")
			}
			conn.Close()
			d.tracker.MarkClosed(conn)
			ended := d.tracker.Stats().Ended
			if want := c.cause.String() + " 1"; ended.String() != want {
				t.Errorf("%q, want %q", ended, want)
			}
			line := strings.Contains(log.String(), "client connection ended without a request\" cause="+c.cause.String())
			if own := c.cause >= EndedIdle; line != own {
				t.Errorf("logged: %t, want %t\n%s", line, own, log)
			}
		})
	}
}

// A connection that the tracker closes itself, as its reader does not close it at its deadline, is counted too.
func TestDirectEndsAreCountedByCause(t *testing.T) {
	d := newListener(t, 10)
	dialClient(t, d, "")
	conn := acceptConn(t, d)
	d.CloseSilent()
	d.tracker.MarkClosed(conn) // its reader finds it closed
	if ended := d.tracker.Stats().Ended; ended != (EndCounts{EndedForShutdown: 1}) {
		t.Errorf("%q", ended)
	}
}
