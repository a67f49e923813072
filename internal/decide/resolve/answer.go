package resolve

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/miekg/dns"
)

// Bounds of what is taken from one answer.
const (
	maxRecords = 1000
	maxChain   = 8              // names that stand for names, one after the other
	maxTTL     = 24 * time.Hour // a lifetime beyond it counts as this
	maxNever   = 5 * time.Minute
)

// Question is what is asked.
type Question struct {
	Name string // in small letters, with its last dot
	Type uint16
}

func (q Question) String() string { return q.Name + " " + dns.TypeToString[q.Type] }

// Verdict is how an answer is to be taken.
type Verdict int

// The verdicts.
const (
	Good     Verdict = iota
	None             // there are no such records, or no such name
	Cut              // the answer is cut off: ask by TCP
	Refusal          // the server does not answer this, or cannot: ask another one
	Nonsense         // nobody can tell what it says
	Silence          // nothing came in time; the host says so
)

var verdictNames = [...]string{"good", "none", "cut off", "refused", "nonsense", "silence"}

func (v Verdict) String() string { return verdictNames[v] }

// Target is an SRV record (RFC 2782).
type Target struct {
	Host     string
	Port     uint16
	Priority uint16
	Weight   uint16
}

// Answer is what an answer says of a question.
type Answer struct {
	Verdict Verdict
	Why     string
	Targets []Target
	Addrs   []netip.Addr
	TTL     time.Duration            // for how long it holds
	Beside  map[string][]netip.Addr  // addresses of other names that came with it
	Lives   map[string]time.Duration // and for how long these hold
}

// ErrForeign says that a message is no answer to what was asked, and must be passed over as if it had not come.
var ErrForeign = errors.New("not an answer to this question")

// Read reads a message that came for a question asked under an id. Answers are told by their id and question; from where
// they came is the host's matter.
func Read(wire []byte, id uint16, q Question) (Answer, error) {
	var m dns.Msg
	if err := m.Unpack(wire); err != nil {
		if len(wire) >= 2 && uint16(wire[0])<<8|uint16(wire[1]) == id {
			return Answer{Verdict: Nonsense, Why: fmt.Sprintf("unreadable: %v", err)}, nil
		}
		return Answer{}, ErrForeign
	}
	if m.Id != id || !m.Response || m.Opcode != dns.OpcodeQuery || len(m.Question) != 1 || m.Question[0].Qtype != q.Type ||
		m.Question[0].Qclass != dns.ClassINET || lower(m.Question[0].Name) != q.Name {
		return Answer{}, ErrForeign
	}
	switch {
	case m.Truncated:
		return Answer{Verdict: Cut, Why: "cut off"}, nil
	case m.Rcode == dns.RcodeNameError:
		return Answer{Verdict: None, Why: "no such name", TTL: never(&m)}, nil
	case m.Rcode != dns.RcodeSuccess:
		return Answer{Verdict: Refusal, Why: dns.RcodeToString[m.Rcode]}, nil
	case len(m.Answer) > maxRecords || len(m.Extra) > maxRecords:
		return Answer{Verdict: Nonsense, Why: fmt.Sprintf("%d and %d records, %d at most are taken", len(m.Answer), len(m.Extra), maxRecords)}, nil
	}
	return gather(&m, q), nil
}

func lower(name string) string { return strings.ToLower(dns.Fqdn(name)) }

// life is a record's lifetime. One with its highest bit set counts as 0 (RFC 2181, section 8).
func life(ttl uint32) time.Duration {
	if ttl > 1<<31-1 {
		return 0
	}
	return min(time.Duration(ttl)*time.Second, maxTTL)
}

// never is how long it holds that there is nothing (RFC 2308, section 5).
func never(m *dns.Msg) time.Duration {
	for _, r := range m.Ns {
		if soa, ok := r.(*dns.SOA); ok {
			return min(life(soa.Hdr.Ttl), life(soa.Minttl), maxNever)
		}
	}
	return 0
}

// gather puts together what an answer says of the question, along its chain of names.
func gather(m *dns.Msg, q Question) Answer {
	a := Answer{TTL: maxTTL, Beside: map[string][]netip.Addr{}, Lives: map[string]time.Duration{}}
	name := q.Name
	for hop := 0; ; hop++ {
		next := ""
		for _, r := range m.Answer {
			h := r.Header()
			if h.Class != dns.ClassINET || lower(h.Name) != name {
				continue
			}
			switch r := r.(type) {
			case *dns.CNAME:
				next = lower(r.Target)
				a.TTL = min(a.TTL, life(h.Ttl))
			case *dns.SRV:
				if q.Type == dns.TypeSRV {
					a.Targets = append(a.Targets, Target{lower(r.Target), r.Port, r.Priority, r.Weight})
					a.TTL = min(a.TTL, life(h.Ttl))
				}
			default:
				if ip, ok := address(r); ok && h.Rrtype == q.Type {
					a.Addrs = append(a.Addrs, ip)
					a.TTL = min(a.TTL, life(h.Ttl))
				}
			}
		}
		if next == "" || len(a.Targets)+len(a.Addrs) > 0 {
			break
		}
		if name = next; hop >= maxChain {
			return Answer{Verdict: Nonsense, Why: fmt.Sprintf("a chain of more than %d names", maxChain)}
		}
	}
	for _, r := range m.Extra {
		if ip, ok := address(r); ok {
			of, ttl := lower(r.Header().Name), life(r.Header().Ttl)
			if old, known := a.Lives[of]; !known || ttl < old {
				a.Lives[of] = ttl
			}
			a.Beside[of] = append(a.Beside[of], ip)
		}
	}
	if len(a.Targets)+len(a.Addrs) == 0 {
		return Answer{Verdict: None, Why: "no such records", TTL: never(m)}
	}
	return a
}

// address is that of an A or AAAA record.
func address(r dns.RR) (ip netip.Addr, ok bool) {
	switch r := r.(type) {
	case *dns.A:
		ip, ok = netip.AddrFromSlice(r.A.To4())
	case *dns.AAAA:
		ip, ok = netip.AddrFromSlice(r.AAAA)
	}
	return ip, ok
}

// Pack words a question as a message (RFC 1035), which allows an answer of some size (RFC 6891).
func Pack(id uint16, q Question) ([]byte, error) {
	m := new(dns.Msg)
	m.Id, m.RecursionDesired = id, true
	m.Question = []dns.Question{{Name: q.Name, Qtype: q.Type, Qclass: dns.ClassINET}}
	m.SetEdns0(MaxUDP, false)
	return m.Pack()
}

// MaxUDP is the most that an answer by UDP may hold: what passes without being broken up.
const MaxUDP = 1232
