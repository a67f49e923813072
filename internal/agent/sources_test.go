package agent

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"ternbeam/internal/lab/standin"
	"ternbeam/internal/lab/testkit"
	"ternbeam/internal/settings/sourceconf"
)

// drainTrials returns how many drains to measure: usual, or TERNBEAM_TRIALS from the environment, which is used for the table in
// docs/design/membership.md.
func drainTrials(t *testing.T, usual int) int {
	t.Helper()
	if text := os.Getenv("TERNBEAM_TRIALS"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	return usual
}

// dnsTestbed is a testbed whose agent gets its servers from a list and from SRV records.
type dnsTestbed struct {
	*testbed
	names   *standin.NameServer
	variant protocolVariant
}

// records returns the DNS records of all servers except those with the given ids.
func (s *dnsTestbed) records(except ...string) (all []string) {
	for _, server := range s.servers {
		e := server.Entry()
		if slices.Contains(except, e.ID) {
			continue
		}
		at := netip.MustParseAddrPort(e.Addr)
		all = append(all, fmt.Sprintf("_forms._tcp.example.org. 0 SRV 1 5 %d %s.example.org.", at.Port(), e.ID),
			fmt.Sprintf("%s.example.org. 0 A %s", e.ID, at.Addr()))
	}
	return all
}

func newDNSTestbed(t *testing.T, variant protocolVariant, servers ...standin.Options) *dnsTestbed {
	t.Helper()
	list, err := standin.NewList()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(list.Close)
	names, err := standin.NewNameServer()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(names.Close)
	s := &dnsTestbed{testbed: &testbed{list: list}, names: names, variant: variant}
	for _, o := range servers {
		s.add(t, o)
	}
	if err := names.SetZone(s.records()...); err != nil {
		t.Fatal(err)
	}
	conf, err := sourceconf.Parse(fmt.Appendf(nil, `[[dns]]
name = "_forms._tcp.example.org"
servers = [%q]
protocol = %q
least_s = 0.05
budget = 100000
[guard]
share = 0.6
wait_s = 0.2
`, names.Addr(), variant.protocol))
	if err != nil {
		t.Fatal(err)
	}
	p := standin.Platform{Discovery: list.Addr(), InitialList: list.Full(), Deadline: 5 * time.Second}
	cfg, service, err := p.Load()
	if err != nil {
		t.Fatal(err)
	}
	cfg.Listen = "127.0.0.1:0"
	a, err := NewWithOptions(cfg, Options{Service: service, Sources: conf}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	s.runningAgent = runAgent(t, a, cfg)
	addr := s.thrift
	if variant.protocol == "http" {
		addr = cfg.Listen
	}
	if s.client, err = standin.NewKiosk(variant.protocol, addr); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.client.Close)
	return s
}

func (s *dnsTestbed) add(t *testing.T, o standin.Options) *standin.Server {
	t.Helper()
	o.Protocol, o.Multiplexed = s.variant.protocol, s.variant.multiplexed
	server, err := standin.Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	s.servers = append(s.servers, server)
	s.list.Update(server.Entry())
	return server
}

// A server that the list reports as draining, or that is removed from the SRV records, gets no new calls from 500 ms after the
// agent was notified, under constant load and in every protocol. The time of notification is taken from the list service and the
// name server.
func TestDrainByListOrSRVRecords(t *testing.T) {
	for _, variant := range protocolVariants {
		for _, by := range []string{"list", "srv"} {
			t.Run(variant.name+"/"+by, func(t *testing.T) {
				t.Parallel()
				var mu sync.Mutex
				last := map[string]time.Time{} // when each server last got a new call
				options := func(id string) standin.Options {
					return standin.Options{ID: id, Script: func(standin.Call) standin.Step {
						mu.Lock()
						defer mu.Unlock()
						last[id] = time.Now()
						return standin.Step{}
					}}
				}
				s := newDNSTestbed(t, variant, options("stays-0"), options("stays-1"), options("stays-2"), options("stays-3"))
				ctx, cancel := context.WithCancel(context.Background())
				var clients sync.WaitGroup
				defer clients.Wait()
				defer cancel()
				var served atomic.Int64
				for k := range 4 {
					clients.Go(func() {
						for i := 0; ctx.Err() == nil; i++ {
							a := newCall(standin.Check, fmt.Sprintf("k%d-%d", k, i))
							if s.client.Do(a).Kind == standin.Served {
								served.Add(1)
							}
						}
					})
				}
				var took []time.Duration
				for n := range drainTrials(t, 3) {
					id := fmt.Sprint("drains-", n)
					server := s.add(t, options(id))
					if err := s.names.SetZone(s.records()...); err != nil {
						t.Fatal(err)
					}
					testkit.Eventually(t, "the server gets calls, and both sources have named it", func() bool {
						mu.Lock()
						defer mu.Unlock()
						return !last[id].IsZero() && s.names.TargetStreak(id+".example.org.") > 3 // its addresses are queried after the SRV records
					})
					var notified time.Time
					if by == "list" {
						e := server.Entry()
						e.State = "terminating"
						notified = time.Now()
						s.list.Update(e)
					} else {
						if err := s.names.SetZone(s.records(id)...); err != nil {
							t.Fatal(err)
						}
						testkit.Eventually(t, "the SRV records without the server were sent", func() (ok bool) {
							notified, ok = s.names.TargetRemoved(id + ".example.org.")
							return ok
						})
					}
					before := served.Load() // the other servers must get many more calls before the check
					testkit.Eventually(t, "calls are still served", func() bool { return served.Load() > before+200 && time.Since(notified) > 600*time.Millisecond })
					mu.Lock()
					late := last[id].Sub(notified)
					mu.Unlock()
					took = append(took, late)
					if late > 500*time.Millisecond {
						t.Errorf("trial %d: new call %v after the notification", n, late)
					}
					e := server.Entry()
					e.State = "terminated"
					s.list.Update(e)
					s.servers = slices.DeleteFunc(s.servers, func(o *standin.Server) bool { return o == server })
					if err := s.names.SetZone(s.records()...); err != nil {
						t.Fatal(err)
					}
					server.Close()
				}
				slices.Sort(took)
				t.Logf("%d trials: last new call %v (p50), %v (worst) after the notification", len(took), took[len(took)/2], took[len(took)-1])
			})
		}
	}
}

// If the list service is down and the fleet is replaced, the agent follows the SRV records.
func TestSRVRecordsAreFollowedWhileTheListServiceIsDown(t *testing.T) {
	s := newDNSTestbed(t, protocolVariants[0], standin.Options{ID: "a"}, standin.Options{ID: "b"})
	served := func(id string) bool { return s.client.Do(newCall(standin.Check, id)).Kind == standin.Served }
	if !served("first") {
		t.Fatal("not served at first")
	}
	s.list.Close()
	old := s.servers
	s.servers = nil
	for _, id := range []string{"c", "d"} {
		server, err := standin.Start(standin.Options{ID: id, Protocol: "http"})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(server.Close)
		s.servers = append(s.servers, server)
	}
	if err := s.names.SetZone(s.records()...); err != nil {
		t.Fatal(err)
	}
	for _, server := range old {
		server.Close()
	}
	n := 0
	testkit.Eventually(t, "a call is served by the new servers", func() bool { n++; return served(fmt.Sprint("then-", n)) })
}

// blackhole returns an address on which dials hang, since its listener's accept queue is full.
func blackhole(t *testing.T, ip string) string {
	t.Helper()
	family, addr := syscall.AF_INET, syscall.Sockaddr(&syscall.SockaddrInet4{Addr: netip.MustParseAddr("127.0.0.1").As4()})
	if ip == "::1" {
		family, addr = syscall.AF_INET6, &syscall.SockaddrInet6{Addr: netip.MustParseAddr("::1").As16()}
	}
	fd, err := syscall.Socket(family, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	f := os.NewFile(uintptr(fd), "blackhole")
	t.Cleanup(func() { f.Close() })
	if err := syscall.Bind(fd, addr); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	port := 0
	switch a := bound.(type) {
	case *syscall.SockaddrInet4:
		port = a.Port
	case *syscall.SockaddrInet6:
		port = a.Port
	}
	at := net.JoinHostPort(ip, strconv.Itoa(port))
	for range 8 { // until a dial hangs
		c, err := net.DialTimeout("tcp", at, 100*time.Millisecond)
		if err != nil {
			return at
		}
		t.Cleanup(func() { c.Close() })
	}
	t.Skip("dials to a full queue do not hang here")
	return ""
}

// startWithAddresses starts an agent whose list names one server with several addresses, and a client.
func startWithAddresses(t *testing.T, variant protocolVariant, server *standin.Server, addrs []string, p standin.Platform) (*runningAgent, standin.Kiosk) {
	t.Helper()
	e := server.Entry()
	e.Addr, e.Addrs = addrs[0], addrs
	list, err := standin.NewList(e)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(list.Close)
	p.Discovery, p.InitialList = list.Addr(), list.Full()
	cfg, service, err := p.Load()
	if err != nil {
		t.Fatal(err)
	}
	r := startWithThrift(t, cfg, service)
	addr := r.thrift
	if variant.protocol == "http" {
		addr = cfg.Listen
	}
	client, err := standin.NewKiosk(variant.protocol, addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return r, client
}

// A server has a Unix socket, an IPv6 and an IPv4 address, of which none, one, two or all are dead: while any of them works every
// call is served through it, with one delivery per attempt, since only dials race.
func TestCallsAreServedWhileAnyServerAddressWorks(t *testing.T) {
	for _, variant := range protocolVariants[:3] {
		for _, dead := range [][]string{nil, {"unix"}, {"ipv6"}, {"ipv4"}, {"unix", "ipv6"}, {"unix", "ipv6", "ipv4"}} {
			t.Run(fmt.Sprint(variant.name, dead), func(t *testing.T) {
				t.Parallel()
				server, err := standin.Start(standin.Options{ID: "many", Protocol: variant.protocol})
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(server.Close)
				dir, err := os.MkdirTemp("", "tb") // a socket path must be short
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { os.RemoveAll(dir) })
				path := filepath.Join(dir, "s")
				addrs := []string{server.Addr(), forward(t, "tcp", "[::1]:0", server.Addr()), "unix:" + path}
				if slices.Contains(dead, "ipv4") {
					addrs[0] = blackhole(t, "127.0.0.1")
				}
				if slices.Contains(dead, "ipv6") {
					addrs[1] = blackhole(t, "::1")
				}
				if !slices.Contains(dead, "unix") { // otherwise the path does not exist
					forward(t, "unix", path, server.Addr())
				}
				_, client := startWithAddresses(t, variant, server, addrs, standin.Platform{Deadline: 3 * time.Second, ConnectTimeout: 2 * time.Second})
				methods := []standin.Method{standin.Check, standin.Record, standin.Pay}
				for i := range 6 {
					a := newCall(methods[i%3], fmt.Sprint("c", i))
					a.TimeLeft = 2500 * time.Millisecond
					got := client.Do(a)
					if want := len(dead) < 3; (got.Kind == standin.Served) != want {
						t.Errorf("%s: %v, %v", a.ID, got.Kind, got.Err)
					}
					if n := server.DedupGroup().Deliveries(a.ID); n > 1 || n == 0 && got.Kind == standin.Served {
						t.Errorf("%s was delivered %d times", a.ID, n)
					}
					if len(dead) == 3 {
						break
					}
				}
			})
		}
	}
}

// If the dial to the first address succeeds and the reply stalls, nothing is sent to another address unless the choice module
// orders a retry, which it never does for a call that must not run twice.
func TestStalledReplyIsNotRetriedOnAnotherAddress(t *testing.T) {
	for _, variant := range protocolVariants[:3] {
		for _, method := range []standin.Method{standin.Record, standin.Pay} {
			t.Run(fmt.Sprint(variant.name, method), func(t *testing.T) {
				t.Parallel()
				server, err := standin.Start(standin.Options{ID: "many", Protocol: variant.protocol})
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(server.Close)
				silent, err := net.Listen("tcp", "[::1]:0") // accepts everything and never answers: the call may have run
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { silent.Close() })
				go func() {
					for {
						c, err := silent.Accept()
						if err != nil {
							return
						}
						t.Cleanup(func() { c.Close() })
					}
				}()
				r, client := startWithAddresses(t, variant, server, []string{server.Addr(), silent.Addr().String()},
					standin.Platform{Deadline: 700 * time.Millisecond, DedupWindow: 300 * time.Millisecond})
				a := newCall(method, "stalls")
				a.TimeLeft = 700 * time.Millisecond
				if got := client.Do(a); got.Kind != standin.Failed {
					t.Errorf("%v, %v", got.Kind, got.Err)
				}
				testkit.Eventually(t, "the agent is idle", func() bool { return r.Snapshot().Tracked == 0 })
				if n := server.Accepted(); n != 0 {
					t.Errorf("the second address got %d connections", n)
				}
			})
		}
	}
}

// forward listens on an address and proxies its connections to a server.
func forward(t *testing.T, network, addr, to string) string {
	t.Helper()
	l, err := net.Listen(network, addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				s, err := net.Dial("tcp", to)
				if err != nil {
					return
				}
				defer s.Close()
				go copyConn(s, c)
				copyConn(c, s)
			}()
		}
	}()
	return l.Addr().String()
}

func copyConn(to, from net.Conn) {
	buf := make([]byte, 4<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if c, ok := to.(*net.TCPConn); ok {
				c.CloseWrite()
			}
			return
		}
	}
}
