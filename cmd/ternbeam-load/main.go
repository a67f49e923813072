// Command ternbeam-load compares the agent with direct calls to the same servers and with httputil.ReverseProxy. It
// measures calls per second, processor time per call and latencies by protocol, and the memory of an idle client
// connection. The servers, the agent or proxy, and the clients run in separate processes.
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"ternbeam/internal/agent"
	"ternbeam/internal/discovery"
	"ternbeam/internal/lab/loadgen"
)

type commands struct {
	Run  runCommand  `cmd:"" default:"withargs" help:"Measure."`
	Role roleCommand `cmd:"" hidden:"" help:"Run as one of the processes."`
}

type runCommand struct {
	Clients int           `default:"16" help:"Clients, each with one connection and one call at a time."`
	Servers int           `default:"12" help:"Servers of each protocol."`
	For     time.Duration `default:"3s" help:"Duration of each measurement."`
	Rounds  int           `default:"3" help:"Number of rounds; each measures every path once."`
	Cores   int           `default:"1" help:"GOMAXPROCS of the agent or proxy."`
	Idle    int           `default:"2000" help:"Idle connections whose memory is measured; 0 for none."`
}

func main() {
	var c commands
	k := kong.Parse(&c, kong.Name("ternbeam-load"), kong.Description("Measure the agent against direct calls and httputil.ReverseProxy."))
	k.FatalIfErrorf(k.Run())
}

// child is a process started for the measurement.
type child struct {
	cmd   *exec.Cmd
	in    io.WriteCloser
	out   *bufio.Reader
	addrs addresses
}

type addresses struct{ HTTP, Thrift string }

// usage holds the resources that a process has used.
type usage struct {
	CPU  time.Duration
	Heap uint64 // bytes of heap and stacks in use after a collection
}

func start(cores int, args ...string) (*child, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(self, append([]string{"role"}, args...)...)
	cmd.Env = append(os.Environ(), fmt.Sprintf("GOMAXPROCS=%d", cores))
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	c := &child{cmd: cmd, in: in, out: bufio.NewReader(out)}
	return c, c.read(&c.addrs)
}

func (c *child) read(v any) error {
	line, err := c.out.ReadBytes('\n')
	if err != nil {
		return fmt.Errorf("a child process ended: %w", err)
	}
	return json.Unmarshal(line, v)
}

func (c *child) usage() (u usage, err error) {
	if _, err = io.WriteString(c.in, "usage\n"); err != nil {
		return u, err
	}
	return u, c.read(&u)
}

// end closes the standard input of the process, which makes it exit, and waits for it.
func (c *child) end() {
	c.in.Close()
	c.cmd.Wait()
}

// Run is the main process: it starts the other processes, runs the clients and prints the table.
func (r *runCommand) Run() error {
	servers := map[string][]string{}
	for _, p := range loadgen.Protocols {
		s, err := start(runtime.NumCPU(), "servers", "--protocol", p, "--servers", fmt.Sprint(r.Servers))
		if err != nil {
			return err
		}
		defer s.end()
		servers[p] = strings.Split(s.addrs.HTTP, ",")
	}
	startProxy := func() (*child, error) {
		return start(r.Cores, "proxy", "--backends", strings.Join(servers["http"], ","))
	}
	startAgent := func() (*child, error) {
		return start(r.Cores, "agent", "--backends", strings.Join(servers["http"], ","),
			"--binary", strings.Join(servers["binary"], ","), "--compact", strings.Join(servers["compact"], ","))
	}
	proxy, err := startProxy()
	if err != nil {
		return err
	}
	defer proxy.end()
	agentProc, err := startAgent()
	if err != nil {
		return err
	}
	defer agentProc.end()
	fmt.Printf("%d clients, %d servers of each protocol, %v each, %d core(s) for the agent or proxy, %d on the machine\n\n",
		r.Clients, r.Servers, r.For, r.Cores, runtime.NumCPU())
	fmt.Println("round  path                    calls/s  CPU µs/call       p50       p99     p99.9  failed")
	for round := range r.Rounds {
		for _, c := range []struct {
			name, protocol, addr string
			proc                 *child
		}{
			{"direct http", "http", servers["http"][0], nil}, {"direct binary", "binary", servers["binary"][0], nil},
			{"direct compact", "compact", servers["compact"][0], nil},
			{"ReverseProxy http", "http", proxy.addrs.HTTP, proxy}, {"agent http", "http", agentProc.addrs.HTTP, agentProc},
			{"agent binary", "binary", agentProc.addrs.Thrift, agentProc}, {"agent compact", "compact", agentProc.addrs.Thrift, agentProc},
		} {
			if err := r.measure(round, c.name, c.protocol, c.addr, c.proc); err != nil {
				return fmt.Errorf("%s: %w", c.name, err)
			}
		}
	}
	if r.Idle > 0 {
		return r.measureIdle(startProxy, startAgent)
	}
	return nil
}

func (r *runCommand) measure(round int, name, protocol, addr string, proc *child) error {
	if _, err := loadgen.Run(protocol, addr, fmt.Sprintf("w%d-%s", round, protocol), r.Clients, r.For/5); err != nil {
		return err // warm-up
	}
	var before, after usage
	var err error
	if proc != nil {
		if before, err = proc.usage(); err != nil {
			return err
		}
	}
	f, err := loadgen.Run(protocol, addr, fmt.Sprintf("m%d-%s", round, protocol), r.Clients, r.For)
	if err != nil {
		return err
	}
	cpu := "-"
	if proc != nil {
		if after, err = proc.usage(); err != nil {
			return err
		}
		cpu = fmt.Sprintf("%.1f", float64((after.CPU-before.CPU).Microseconds())/float64(f.Calls))
	}
	fmt.Printf("%5d  %-20s %10.0f  %11s  %8s  %8s  %8s  %6d\n", round+1, name, float64(f.Calls)/f.Took.Seconds(), cpu,
		f.P50.Round(time.Microsecond), f.P99.Round(time.Microsecond), f.P999.Round(time.Microsecond), f.Failed)
	return nil
}

// measureIdle measures the memory of connections on which one call was made, with a new process for each kind.
func (r *runCommand) measureIdle(startProxy, startAgent func() (*child, error)) error {
	fmt.Printf("\nheap and stacks for each of %d idle client connections, after one call on each\n", r.Idle)
	for _, c := range []struct {
		name, protocol string
		start          func() (*child, error)
	}{{"ReverseProxy http", "http", startProxy}, {"agent http", "http", startAgent}, {"agent binary", "binary", startAgent},
		{"agent compact", "compact", startAgent}} {
		bytes, err := r.idleBytes(c.protocol, c.start)
		if err != nil {
			return fmt.Errorf("%s: %w", c.name, err)
		}
		fmt.Printf("%-20s %6d bytes\n", c.name, bytes)
	}
	return nil
}

func (r *runCommand) idleBytes(protocol string, start func() (*child, error)) (bytes int64, err error) {
	proc, err := start()
	if err != nil {
		return 0, err
	}
	defer proc.end()
	addr := proc.addrs.HTTP
	if protocol != "http" && proc.addrs.Thrift != "" {
		addr = proc.addrs.Thrift
	}
	if _, err := loadgen.Run(protocol, addr, "w", r.Clients, time.Second/2); err != nil {
		return 0, err
	}
	before, err := proc.usage()
	if err != nil {
		return 0, err
	}
	for i := range r.Idle {
		client, err := loadgen.Dial(protocol, addr, fmt.Sprintf("i%d-", i))
		if err != nil {
			return 0, err
		}
		defer client.Close()
		if err := client.Call(); err != nil {
			return 0, err
		}
	}
	after, err := proc.usage()
	return (int64(after.Heap) - int64(before.Heap)) / int64(r.Idle), err
}

type roleCommand struct {
	Servers serversRole `cmd:""`
	Proxy   proxyRole   `cmd:""`
	Agent   agentRole   `cmd:""`
}

// serveUsage writes the addresses of the process to standard output, and then its usage for each line of standard input, until that ends.
func serveUsage(at addresses) error {
	out := json.NewEncoder(os.Stdout)
	if err := out.Encode(at); err != nil {
		return err
	}
	for requests := bufio.NewScanner(os.Stdin); requests.Scan(); {
		var r syscall.Rusage
		if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
			return err
		}
		u := usage{CPU: time.Duration(r.Utime.Nano() + r.Stime.Nano())}
		runtime.GC()
		runtime.GC() // a second collection, as sync.Pool keeps objects for one cycle
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		u.Heap = m.HeapAlloc + m.StackInuse
		if err := out.Encode(u); err != nil {
			return err
		}
	}
	return nil
}

type serversRole struct {
	Protocol string
	Servers  int
}

// Run runs the servers.
func (s *serversRole) Run() error {
	var all []string
	for range s.Servers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		go loadgen.Serve(l, s.Protocol)
		all = append(all, l.Addr().String())
	}
	return serveUsage(addresses{HTTP: strings.Join(all, ",")})
}

type proxyRole struct{ Backends []string }

// Run runs the reverse proxy, with round-robin over the backends and persistent connections.
func (p *proxyRole) Run() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	turns := make(chan *url.URL, len(p.Backends))
	for _, b := range p.Backends {
		turns <- &url.URL{Scheme: "http", Host: b}
	}
	proxy := &httputil.ReverseProxy{Rewrite: func(r *httputil.ProxyRequest) {
		u := <-turns
		turns <- u
		r.SetURL(u)
	}, Transport: &http.Transport{MaxIdleConnsPerHost: 1000, DisableCompression: true}}
	go http.Serve(l, proxy)
	return serveUsage(addresses{HTTP: l.Addr().String()})
}

type agentRole struct{ Backends, Binary, Compact []string }

// Run runs the agent, with an initial list that gives each server's protocol.
func (a *agentRole) Run() error {
	p := loadgen.Platform("127.0.0.1:0")
	p.Discovery, p.InitialList = "127.0.0.1:1", discovery.List{Full: true}
	for protocol, all := range map[string][]string{"http": a.Backends, "thrift-binary": a.Binary, "thrift-compact": a.Compact} {
		for i, addr := range all {
			p.InitialList.Servers = append(p.InitialList.Servers, discovery.Entry{ID: fmt.Sprint(protocol, "-", i), Addr: addr,
				Zone: "z", State: "in_service", Protocol: protocol})
		}
	}
	cfg, service, err := p.Load()
	if err != nil {
		return err
	}
	node, err := agent.New(cfg, service, slog.New(slog.DiscardHandler))
	if err != nil {
		return err
	}
	addrs, err := node.Listen()
	if err != nil {
		return err
	}
	at := addresses{HTTP: addrs[0], Thrift: addrs[1]}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	failed := make(chan error, 1)
	go func() { failed <- node.Run(ctx, nil) }()
	select {
	case <-node.Ready():
		return serveUsage(at)
	case err := <-failed:
		return err
	}
}
