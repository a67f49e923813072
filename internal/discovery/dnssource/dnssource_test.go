package dnssource

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"ternbeam/internal/decide/resolve"
	"ternbeam/internal/lab/standin"
	"ternbeam/internal/lab/testkit"
)

const service = "_forms._tcp.example.org."

// runningSource is a source that Run operates.
type runningSource struct {
	snapshots chan resolve.Snapshot
	lost      chan struct{}
}

func start(t *testing.T, minInterval time.Duration, servers ...string) runningSource {
	t.Helper()
	set := Settings{Settings: resolve.Defaults, Addrs: servers, Seed: 1, Log: slog.New(slog.DiscardHandler),
		Now: func() time.Duration { return time.Duration(time.Now().UnixNano()) }}
	set.Name, set.Timeout, set.TCPTimeout, set.MinInterval, set.MaxInterval = service, 50*time.Millisecond, 50*time.Millisecond, minInterval, minInterval
	ctx, cancel := context.WithCancel(context.Background())
	r := runningSource{make(chan resolve.Snapshot, 1000), make(chan struct{}, 1000)}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		Run(ctx, set, func(s resolve.Snapshot) { r.snapshots <- s }, func() { r.lost <- struct{}{} })
	}()
	t.Cleanup(func() { cancel(); <-ended })
	return r
}

// waitFor waits for a snapshot with the given property.
func (r runningSource) waitFor(t *testing.T, what string, holds func(resolve.Snapshot) bool) {
	t.Helper()
	timeout := time.After(testkit.WaitTimeout)
	for {
		select {
		case s := <-r.snapshots:
			if holds(s) {
				return
			}
		case <-timeout:
			t.Fatal("not delivered: " + what)
		}
	}
}

func newNameServer(t *testing.T, records ...string) *standin.NameServer {
	t.Helper()
	n, err := standin.NewNameServer()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	if err := n.SetZone(records...); err != nil {
		t.Fatal(err)
	}
	return n
}

func records(ttl, n int) (all []string) {
	for i := range n {
		all = append(all, fmt.Sprintf("%s %d SRV 1 5 %d forms-%d.example.org.", service, ttl, 8000+i, i),
			fmt.Sprintf("forms-%d.example.org. %d A 127.0.0.1", i, ttl), fmt.Sprintf("forms-%d.example.org. %d AAAA ::1", i, ttl))
	}
	return all
}

func has(n int) func(resolve.Snapshot) bool {
	return func(s resolve.Snapshot) bool { return len(s.Claims) == n }
}

// For each fault of a name server, another server is queried. Without another one, the loss is reported, and the source recovers with the
// server.
func TestNameServerFaults(t *testing.T) {
	for name, fault := range map[string]standin.NameFault{"silent": standin.NameSilent, "cut off, and TCP hangs": standin.NameTruncatedNoTCP,
		"refused": standin.NameRefused, "fails": standin.NameServFail, "another id": standin.NameWrongID, "another port": standin.NameWrongPort,
		"a loop of names": standin.NameLoop} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			bad := newNameServer(t, records(1, 2)...)
			bad.SetFault(fault)
			alone := start(t, 20*time.Millisecond, bad.Addr())
			select {
			case <-alone.lost:
			case s := <-alone.snapshots:
				t.Fatalf("delivered %+v", s)
			case <-time.After(testkit.WaitTimeout):
				t.Fatal("neither a snapshot nor the loss of all servers is reported")
			}
			good := newNameServer(t, records(1, 2)...)
			start(t, 20*time.Millisecond, bad.Addr(), good.Addr()).waitFor(t, "by the other server", has(2))
			bad.SetFault(standin.NameOK)
			alone.waitFor(t, "when it is well", has(2))
		})
	}
}

// A truncated answer is fetched over TCP, and so are 600 records, which fit in no datagram.
func TestLargeAnswers(t *testing.T) {
	n := newNameServer(t, records(60, 3)...)
	n.SetFault(standin.NameTruncated)
	start(t, time.Second, n.Addr()).waitFor(t, "by TCP", has(3))
	var many []string
	for i := range 600 {
		many = append(many, fmt.Sprintf("%s 60 SRV 1 5 %d forms-0.example.org.", service, 1000+i))
	}
	large := newNameServer(t, append(many, "forms-0.example.org. 60 A 127.0.0.1")...)
	start(t, time.Second, large.Addr()).waitFor(t, "600 records", has(600))
}

// A change of the zone is delivered soon after the TTL. A name that no longer exists is delivered as empty.
func TestZoneChanges(t *testing.T) {
	n := newNameServer(t, records(0, 3)...)
	r := start(t, 20*time.Millisecond, n.Addr())
	r.waitFor(t, "three servers", has(3))
	if err := n.SetZone(records(0, 2)...); err != nil {
		t.Fatal(err)
	}
	r.waitFor(t, "two servers", has(2))
	n.SetFault(standin.NameNXDomain)
	r.waitFor(t, "none", has(0))
	n.SetFault(standin.NameOK)
	r.waitFor(t, "two again", func(s resolve.Snapshot) bool {
		return len(s.Claims) == 2 && strings.HasPrefix(s.Claims[0].Addrs[0], "[::1]:")
	})
}
