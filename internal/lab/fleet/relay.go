package fleet

import (
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// LinkOptions configures faults of the datagrams between agents.
type LinkOptions struct {
	Loss  float64       // share that is lost
	Twice float64       // share that is delivered twice
	Delay time.Duration // maximum delay; the minimum is half of it, so that datagrams are reordered
	Late  float64       // share that is delivered again up to 10 s later
}

// maxReplayDelay limits the time after which a datagram is delivered again (LinkOptions.Late).
const maxReplayDelay = 10 * time.Second

// relay forwards datagrams between agents. Each agent has an address at the relay: its peers send to this address, and receive its
// datagrams from it.
type relay struct {
	opts        LinkOptions
	sockets     []*net.UDPConn         // by agent
	agentAddrs  []netip.AddrPort       // addresses on which the agents listen
	agentByAddr map[netip.AddrPort]int // agents by the addresses from which they send

	mu        sync.Mutex
	rng       *rand.Rand
	sides     []int // side of the partition, by agent; datagrams between different sides are lost
	datagrams int   // sent by agents
	bytes     int   // of these datagrams
}

func newRelay(agents int, peerAt func(int) string, opts LinkOptions, seed uint64) (*relay, error) {
	r := &relay{opts: opts, agentByAddr: map[netip.AddrPort]int{}, rng: rand.New(rand.NewPCG(seed, 5)), sides: make([]int, agents)}
	for i := range agents {
		socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
		if err != nil {
			r.close()
			return nil, err
		}
		r.sockets = append(r.sockets, socket)
		at := netip.MustParseAddrPort(peerAt(i))
		r.agentAddrs = append(r.agentAddrs, at)
		r.agentByAddr[at] = i
	}
	for i := range r.sockets {
		go r.serve(i)
	}
	return r, nil
}

func (r *relay) close() {
	for _, s := range r.sockets {
		s.Close()
	}
}

// addrs returns the agents' addresses at the relay.
func (r *relay) addrs() (out []string) {
	for _, s := range r.sockets {
		out = append(out, s.LocalAddr().String())
	}
	return out
}

// partition moves agents to a side; 0 is the initial side of all agents.
func (r *relay) partition(agents []int, side int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range agents {
		r.sides[a] = side
	}
}

// sent returns the number of datagrams that agents have sent, and their bytes.
func (r *relay) sent() (datagrams, bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.datagrams, r.bytes
}

// serve forwards the datagrams that are sent to an agent.
func (r *relay) serve(to int) {
	buffer := make([]byte, 1<<16)
	for {
		n, from, err := r.sockets[to].ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		sender, known := r.agentByAddr[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if err != nil || !known {
			continue
		}
		data := append([]byte(nil), buffer[:n]...)
		for _, delay := range r.delays(sender, to, n) {
			time.AfterFunc(delay, func() { r.sockets[sender].WriteToUDPAddrPort(data, r.agentAddrs[to]) })
		}
	}
}

// delays draws the delays after which a datagram is delivered: none if it is lost, several if it is duplicated.
func (r *relay) delays(from, to, bytes int) (delays []time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.datagrams++
	r.bytes += bytes
	if r.sides[from] != r.sides[to] {
		return nil
	}
	delay := func() time.Duration {
		return time.Duration((0.5 + r.rng.Float64()/2) * float64(r.opts.Delay))
	}
	if r.rng.Float64() >= r.opts.Loss {
		delays = append(delays, delay())
	}
	if r.rng.Float64() < r.opts.Twice {
		delays = append(delays, delay())
	}
	if r.rng.Float64() < r.opts.Late {
		delays = append(delays, time.Duration(r.rng.Float64()*float64(maxReplayDelay)))
	}
	return delays
}
