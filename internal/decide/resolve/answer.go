package resolve

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/miekg/dns"
)

// Limits on what is taken from one answer.
const (
	maxRecords     = 1000            // records of the answer section, and of the additional section
	maxCNAMEChain  = 8               // CNAME records followed one after the other
	maxTTL         = 24 * time.Hour  // a longer TTL is reduced to this
	maxNegativeTTL = 5 * time.Minute // a longer negative TTL is reduced to this
)

// Question is the name and record type of a DNS question.
type Question struct {
	Name string // fully qualified, in lower case
	Type uint16 // such as dns.TypeSRV
}

// String returns the name and the type.
func (q Question) String() string { return q.Name + " " + dns.TypeToString[q.Type] }

// Verdict classifies an answer.
type Verdict int

// The verdicts.
const (
	Good      Verdict = iota // there are records
	NoRecords                // no such records, or no such name
	Truncated                // the answer was truncated: query again over TCP
	Refused                  // the server refused or failed to answer: query another one
	Malformed                // the message could not be parsed or exceeds a limit
	NoReply                  // no answer arrived in time, as the caller that owns the sockets reports
)

var verdictNames = [...]string{"good", "none", "cut off", "refused", "nonsense", "silence"}

// String returns the verdict's name as it is logged.
func (v Verdict) String() string { return verdictNames[v] }

// Target is the content of an SRV record (RFC 2782).
type Target struct {
	Host     string
	Port     uint16
	Priority uint16
	Weight   uint16
}

// Answer is the evaluated answer to a question.
type Answer struct {
	Verdict       Verdict
	Reason        string                   // why the verdict is not Good; empty if it is
	Targets       []Target                 // of SRV records
	Addrs         []netip.Addr             // of A or AAAA records
	TTL           time.Duration            // for how long it may be used: the lowest of its records
	Additional    map[string][]netip.Addr  // addresses of other names, from the additional section
	AdditionalTTL map[string]time.Duration // and their TTLs
}

// ErrUnrelated is returned for a message that is not an answer to the question. The caller must ignore the message.
var ErrUnrelated = errors.New("not an answer to this question")

// ParseAnswer parses a message received after a question was sent with the given id. It checks that the id and the question
// match; checking the sender is up to the caller. Malformed answers result in a verdict; the only error is ErrUnrelated.
func ParseAnswer(wire []byte, id uint16, q Question) (Answer, error) {
	var m dns.Msg
	if err := m.Unpack(wire); err != nil {
		if len(wire) >= 2 && uint16(wire[0])<<8|uint16(wire[1]) == id {
			return Answer{Verdict: Malformed, Reason: fmt.Sprintf("malformed message: %v", err)}, nil
		}
		return Answer{}, ErrUnrelated
	}
	if m.Id != id || !m.Response || m.Opcode != dns.OpcodeQuery || len(m.Question) != 1 || m.Question[0].Qtype != q.Type ||
		m.Question[0].Qclass != dns.ClassINET || canonicalName(m.Question[0].Name) != q.Name {
		return Answer{}, ErrUnrelated
	}
	switch {
	case m.Truncated:
		return Answer{Verdict: Truncated, Reason: "the answer is truncated"}, nil
	case m.Rcode == dns.RcodeNameError:
		return Answer{Verdict: NoRecords, Reason: "no such name", TTL: negativeTTL(&m)}, nil
	case m.Rcode != dns.RcodeSuccess:
		return Answer{Verdict: Refused, Reason: dns.RcodeToString[m.Rcode]}, nil
	case len(m.Answer) > maxRecords || len(m.Extra) > maxRecords:
		return Answer{Verdict: Malformed, Reason: fmt.Sprintf("%d answer and %d additional records, at most %d of each are accepted", len(m.Answer), len(m.Extra), maxRecords)}, nil
	}
	return collect(&m, q), nil
}

// canonicalName returns a name fully qualified and in lower case.
func canonicalName(name string) string { return strings.ToLower(dns.Fqdn(name)) }

// recordTTL converts a record's TTL. A TTL with its highest bit set counts as 0 (RFC 2181, section 8).
func recordTTL(ttl uint32) time.Duration {
	if ttl > 1<<31-1 {
		return 0
	}
	return min(time.Duration(ttl)*time.Second, maxTTL)
}

// negativeTTL returns for how long a negative answer may be cached (RFC 2308, section 5).
func negativeTTL(m *dns.Msg) time.Duration {
	for _, r := range m.Ns {
		if soa, ok := r.(*dns.SOA); ok {
			return min(recordTTL(soa.Hdr.Ttl), recordTTL(soa.Minttl), maxNegativeTTL)
		}
	}
	return 0
}

// collect gathers the records that answer the question, following CNAME records, and the additional addresses.
func collect(m *dns.Msg, q Question) Answer {
	a := Answer{TTL: maxTTL, Additional: map[string][]netip.Addr{}, AdditionalTTL: map[string]time.Duration{}}
	name := q.Name
	for hop := 0; ; hop++ {
		next := ""
		for _, r := range m.Answer {
			h := r.Header()
			if h.Class != dns.ClassINET || canonicalName(h.Name) != name {
				continue
			}
			switch r := r.(type) {
			case *dns.CNAME:
				next = canonicalName(r.Target)
				a.TTL = min(a.TTL, recordTTL(h.Ttl))
			case *dns.SRV:
				if q.Type == dns.TypeSRV {
					a.Targets = append(a.Targets, Target{canonicalName(r.Target), r.Port, r.Priority, r.Weight})
					a.TTL = min(a.TTL, recordTTL(h.Ttl))
				}
			default:
				if ip, ok := addressOf(r); ok && h.Rrtype == q.Type {
					a.Addrs = append(a.Addrs, ip)
					a.TTL = min(a.TTL, recordTTL(h.Ttl))
				}
			}
		}
		if next == "" || len(a.Targets)+len(a.Addrs) > 0 {
			break
		}
		if name = next; hop >= maxCNAMEChain {
			return Answer{Verdict: Malformed, Reason: fmt.Sprintf("a chain of more than %d CNAME records", maxCNAMEChain)}
		}
	}
	for _, r := range m.Extra {
		if ip, ok := addressOf(r); ok {
			owner, ttl := canonicalName(r.Header().Name), recordTTL(r.Header().Ttl)
			if old, known := a.AdditionalTTL[owner]; !known || ttl < old {
				a.AdditionalTTL[owner] = ttl
			}
			a.Additional[owner] = append(a.Additional[owner], ip)
		}
	}
	if len(a.Targets)+len(a.Addrs) == 0 {
		return Answer{Verdict: NoRecords, Reason: "no such records", TTL: negativeTTL(m)}
	}
	return a
}

// addressOf returns the address of an A or AAAA record.
func addressOf(r dns.RR) (ip netip.Addr, ok bool) {
	switch r := r.(type) {
	case *dns.A:
		ip, ok = netip.AddrFromSlice(r.A.To4())
	case *dns.AAAA:
		ip, ok = netip.AddrFromSlice(r.AAAA)
	}
	return ip, ok
}

// Pack encodes a question as a message (RFC 1035) that allows UDP answers of up to MaxUDPSize bytes (RFC 6891).
func Pack(id uint16, q Question) ([]byte, error) {
	m := new(dns.Msg)
	m.Id, m.RecursionDesired = id, true
	m.Question = []dns.Question{{Name: q.Name, Qtype: q.Type, Qclass: dns.ClassINET}}
	m.SetEdns0(MaxUDPSize, false)
	return m.Pack()
}

// MaxUDPSize is the maximum size of an answer over UDP in bytes, which passes without fragmentation.
const MaxUDPSize = 1232
