package standin

import (
	"net"
	"sync"
	"time"

	"github.com/miekg/dns"
)

// NameFault is a fault of the answers of a NameServer.
type NameFault int

// The faults. NameOK is none.
const (
	NameWell      NameFault = iota
	NameSilent              // no answer
	NameCut                 // truncated over UDP, complete over TCP
	NameCutHang             // truncated over UDP, no answer over TCP
	NameRefused             // REFUSED
	NameFails               // SERVFAIL
	NameOtherID             // an answer with a wrong id only
	NameOtherPort           // an answer from a wrong port only
	NameLoop                // a message with a compression pointer that points to itself
	NameEmpty               // NXDOMAIN
)

// NameServer is a DNS server with one zone. It answers over UDP and TCP on the same port.
type Names struct {
	addr    string
	servers []*dns.Server

	mu        sync.Mutex
	zone      map[dns.Question][]dns.RR
	fault     NameFault
	queries   int
	removedAt map[string]time.Time // target to time of the first answer without it after one with it
	streaks   map[string]int       // targets of the latest answer, with the number of consecutive answers that contain them
}

// NewNameServer starts a name server on a free loopback port. It runs until Close.
func NewNames() (*Names, error) {
	n := &Names{zone: map[dns.Question][]dns.RR{}, removedAt: map[string]time.Time{}, streaks: map[string]int{}}
	packets, streams, err := listenOnOnePort()
	if err != nil {
		return nil, err
	}
	n.addr = packets.LocalAddr().String()
	for _, s := range []*dns.Server{{PacketConn: packets}, {Listener: streams}} {
		up := make(chan struct{})
		s.Handler, s.NotifyStartedFunc = dns.HandlerFunc(n.answer), func() { close(up) }
		n.servers = append(n.servers, s)
		go s.ActivateAndServe()
		<-up
	}
	return n, nil
}

// listenOnOnePort listens over UDP and TCP on the same port. It tries up to 100 ports, as one free for UDP may be in use for TCP.
func listenOnOnePort() (packets net.PacketConn, streams net.Listener, err error) {
	for range 100 {
		if packets, err = net.ListenPacket("udp", "127.0.0.1:0"); err != nil {
			return nil, nil, err
		}
		if streams, err = net.Listen("tcp", packets.LocalAddr().String()); err == nil {
			return packets, streams, nil
		}
		packets.Close()
	}
	return nil, nil, err
}

// Addr returns the address that the server listens on.
func (n *Names) Addr() string { return n.addr }

// Close stops the server.
func (n *Names) Close() {
	for _, s := range n.servers {
		s.Shutdown()
	}
}

// SetFault sets the fault of all further answers.
func (n *Names) Fault(f NameFault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fault = f
}

// Queries returns how many queries were received.
func (n *Names) Asked() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.queries
}

// SetZone replaces the zone by records in zone file format.
func (n *Names) Set(records ...string) error {
	zone := map[dns.Question][]dns.RR{}
	for _, text := range records {
		r, err := dns.NewRR(text)
		if err != nil {
			return err
		}
		q := dns.Question{Name: dns.CanonicalName(r.Header().Name), Qtype: r.Header().Rrtype, Qclass: dns.ClassINET}
		zone[q] = append(zone[q], r)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zone = zone
	return nil
}

// TargetRemoved returns the time of the first answer without a target that the answer before it contained.
// known is false if the target was never removed or is back.
func (n *Names) Withdrawn(target string) (at time.Time, known bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	at, known = n.removedAt[dns.CanonicalName(target)]
	return at, known
}

// TargetStreak returns how many consecutive answers, up to the latest, contained a target.
func (n *Names) Named(target string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.streaks[dns.CanonicalName(target)]
}

func (n *Names) answer(w dns.ResponseWriter, ask *dns.Msg) {
	n.mu.Lock()
	n.queries++
	fault := n.fault
	m := new(dns.Msg)
	m.SetReply(ask)
	if len(ask.Question) == 1 {
		q := ask.Question[0]
		q.Name = dns.CanonicalName(q.Name)
		m.Answer = n.zone[q]
		if q.Qtype == dns.TypeSRV && fault == NameWell {
			n.recordLocked(m.Answer)
		}
	}
	n.mu.Unlock()
	_, tcp := w.RemoteAddr().(*net.TCPAddr)
	switch fault {
	case NameSilent:
		return
	case NameCut, NameCutHang:
		if tcp && fault == NameCutHang {
			return
		}
		if !tcp {
			m.Answer, m.Truncated = nil, true
		}
	case NameRefused:
		m.Answer, m.Rcode = nil, dns.RcodeRefused
	case NameFails:
		m.Answer, m.Rcode = nil, dns.RcodeServerFailure
	case NameEmpty:
		m.Answer, m.Rcode = nil, dns.RcodeNameError
	case NameOtherID:
		m.Id++
	case NameOtherPort:
		if wire, err := m.Pack(); err == nil {
			if c, err := net.Dial("udp", w.RemoteAddr().String()); err == nil {
				c.Write(wire)
				c.Close()
			}
		}
		return
	case NameLoop:
		if wire, err := m.Pack(); err == nil {
			w.Write(append(wire[:12], 0xc0, 12, 0, 33, 0, 1))
		}
		return
	}
	w.WriteMsg(m)
}

// recordLocked records which targets an answer contains and which it no longer contains.
func (n *Names) recordLocked(records []dns.RR) {
	now := map[string]int{}
	for _, r := range records {
		if srv, ok := r.(*dns.SRV); ok {
			target := dns.CanonicalName(srv.Target)
			now[target] = n.streaks[target] + 1
		}
	}
	for target := range n.streaks {
		if now[target] == 0 {
			n.removedAt[target] = time.Now()
		}
	}
	for target := range now {
		delete(n.removedAt, target)
	}
	n.streaks = now
}
