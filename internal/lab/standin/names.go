package standin

import (
	"net"
	"sync"
	"time"

	"github.com/miekg/dns"
)

// NameFault is what goes wrong with an answer of a name server.
type NameFault int

// The faults.
const (
	NameWell      NameFault = iota
	NameSilent              // nothing comes
	NameCut                 // by UDP the answer is cut off
	NameCutHang             // the same, and by TCP nothing comes
	NameRefused             // REFUSED
	NameFails               // SERVFAIL
	NameOtherID             // an answer under another id, and then nothing
	NameOtherPort           // an answer from another port, and then nothing
	NameLoop                // a message whose names point at themselves
	NameEmpty               // no such name
)

// Names is a name server with one zone. It answers by UDP and TCP on one port.
type Names struct {
	addr    string
	servers []*dns.Server

	mu    sync.Mutex
	zone  map[dns.Question][]dns.RR
	fault NameFault
	asked int
	told  map[string]time.Time // when an answer without a target first went out that an earlier one held
	last  map[string]int       // targets in the latest answer, and in how many before it without a break
}

// NewNames runs a name server on a free loopback port until Close.
func NewNames() (*Names, error) {
	n := &Names{zone: map[dns.Question][]dns.RR{}, told: map[string]time.Time{}, last: map[string]int{}}
	packets, streams, err := onePort()
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

// onePort listens by UDP and TCP on one port. One that is free for the one may be taken for the other.
func onePort() (packets net.PacketConn, streams net.Listener, err error) {
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

// Addr returns where it answers.
func (n *Names) Addr() string { return n.addr }

// Close ends it.
func (n *Names) Close() {
	for _, s := range n.servers {
		s.Shutdown()
	}
}

// Fault sets what goes wrong from now on.
func (n *Names) Fault(f NameFault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fault = f
}

// Asked returns how many questions came.
func (n *Names) Asked() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.asked
}

// Set replaces the zone, by records in the form of a zone file.
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

// Withdrawn returns when an answer first went out that did not hold a target any more which the one before did.
func (n *Names) Withdrawn(target string) (at time.Time, known bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	at, known = n.told[dns.CanonicalName(target)]
	return at, known
}

// Named returns how many answers in a row, up to the latest, held a target.
func (n *Names) Named(target string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.last[dns.CanonicalName(target)]
}

func (n *Names) answer(w dns.ResponseWriter, ask *dns.Msg) {
	n.mu.Lock()
	n.asked++
	fault := n.fault
	m := new(dns.Msg)
	m.SetReply(ask)
	if len(ask.Question) == 1 {
		q := ask.Question[0]
		q.Name = dns.CanonicalName(q.Name)
		m.Answer = n.zone[q]
		if q.Qtype == dns.TypeSRV && fault == NameWell {
			n.noteLocked(m.Answer)
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

// noteLocked notes which targets an answer holds no more.
func (n *Names) noteLocked(records []dns.RR) {
	now := map[string]int{}
	for _, r := range records {
		if srv, ok := r.(*dns.SRV); ok {
			target := dns.CanonicalName(srv.Target)
			now[target] = n.last[target] + 1
		}
	}
	for target := range n.last {
		if now[target] == 0 {
			n.told[target] = time.Now()
		}
	}
	for target := range now {
		delete(n.told, target)
	}
	n.last = now
}
