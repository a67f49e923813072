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
	NameOK             NameFault = iota
	NameSilent                   // no answer
	NameTruncated                // truncated over UDP, complete over TCP
	NameTruncatedNoTCP           // truncated over UDP, no answer over TCP
	NameRefused                  // REFUSED
	NameServFail                 // SERVFAIL
	NameWrongID                  // an answer with a wrong id only
	NameWrongPort                // an answer from a wrong port only
	NameLoop                     // a message with a compression pointer that points to itself
	NameNXDomain                 // NXDOMAIN
)

// NameServer is a DNS server with one zone. It answers over UDP and TCP on the same port.
type NameServer struct {
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
func NewNameServer() (*NameServer, error) {
	n := &NameServer{zone: map[dns.Question][]dns.RR{}, removedAt: map[string]time.Time{}, streaks: map[string]int{}}
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
func (n *NameServer) Addr() string { return n.addr }

// Close stops the server.
func (n *NameServer) Close() {
	for _, s := range n.servers {
		s.Shutdown()
	}
}

// SetFault sets the fault of all further answers.
func (n *NameServer) SetFault(f NameFault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fault = f
}

// Queries returns how many queries were received.
func (n *NameServer) Queries() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.queries
}

// SetZone replaces the zone by records in zone file format.
func (n *NameServer) SetZone(records ...string) error {
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
func (n *NameServer) TargetRemoved(target string) (at time.Time, known bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	at, known = n.removedAt[dns.CanonicalName(target)]
	return at, known
}

// TargetStreak returns how many consecutive answers, up to the latest, contained a target.
func (n *NameServer) TargetStreak(target string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.streaks[dns.CanonicalName(target)]
}

func (n *NameServer) answer(w dns.ResponseWriter, query *dns.Msg) {
	n.mu.Lock()
	n.queries++
	fault := n.fault
	m := new(dns.Msg)
	m.SetReply(query)
	if len(query.Question) == 1 {
		q := query.Question[0]
		q.Name = dns.CanonicalName(q.Name)
		m.Answer = n.zone[q]
		if q.Qtype == dns.TypeSRV && fault == NameOK {
			n.recordLocked(m.Answer)
		}
	}
	n.mu.Unlock()
	_, tcp := w.RemoteAddr().(*net.TCPAddr)
	switch fault {
	case NameSilent:
		return
	case NameTruncated, NameTruncatedNoTCP:
		if tcp && fault == NameTruncatedNoTCP {
			return
		}
		if !tcp {
			m.Answer, m.Truncated = nil, true
		}
	case NameRefused:
		m.Answer, m.Rcode = nil, dns.RcodeRefused
	case NameServFail:
		m.Answer, m.Rcode = nil, dns.RcodeServerFailure
	case NameNXDomain:
		m.Answer, m.Rcode = nil, dns.RcodeNameError
	case NameWrongID:
		m.Id++
	case NameWrongPort:
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
func (n *NameServer) recordLocked(records []dns.RR) {
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
