// Package sourceconf reads the file that says where an agent's servers come from (see deploy/sources.toml).
package sourceconf

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/miekg/dns"

	"ternbeam/internal/decide/addresses"
	"ternbeam/internal/decide/membership"
	"ternbeam/internal/decide/resolve"
	"ternbeam/internal/protocol"
	"ternbeam/internal/settings/conffile"
)

// DNS is a source that queries name servers for SRV records.
type DNS struct {
	Name    string        // of the SRV records
	Servers []string      // name servers, as address and port
	Hold    time.Duration // how long its records stay valid after they expire; 0 for no limit
	Resolve resolve.Settings
}

// Config is the content of such a file.
type Config struct {
	ListHold   time.Duration // how long the list stays valid once its service is unreachable; 0 for no limit
	DNS        []DNS
	Membership membership.Settings // without the sources
	Addresses  addresses.Settings
}

const (
	maxSources     = 4 // DNS tables
	maxNameServers = 8 // of one source
)

// file is the layout of the file. Parse maps its keys to the fields of Config, which have other names.
type file struct {
	List struct {
		HoldS *float64 `toml:"hold_s"`
	} `toml:"list"`
	DNS   []dnsTable `toml:"dns"`
	Guard struct {
		Share *float64 `toml:"share"`
		Least *int     `toml:"least"`
		WaitS *float64 `toml:"wait_s"`
	} `toml:"guard"`
	Tiers struct {
		OpenBelow  *float64 `toml:"open_below"`
		CloseAbove *float64 `toml:"close_above"`
		CalmS      *float64 `toml:"calm_s"`
		RampStepS  *float64 `toml:"ramp_step_s"`
		RampParts  *int     `toml:"ramp_parts"`
	} `toml:"tiers"`
	Addresses struct {
		Order      []string `toml:"order"`
		DelayMS    *float64 `toml:"delay_ms"`
		AvoidS     *float64 `toml:"avoid_s"`
		MostAvoidS *float64 `toml:"most_avoid_s"`
		RememberS  *float64 `toml:"remember_s"`
		Most       *int     `toml:"most"`
	} `toml:"addresses"`
}

type dnsTable struct {
	Name         string   `toml:"name"`
	Servers      []string `toml:"servers"`
	Protocol     string   `toml:"protocol"`
	HoldS        *float64 `toml:"hold_s"`
	TimeoutMS    *float64 `toml:"timeout_ms"`
	TCPTimeoutMS *float64 `toml:"tcp_timeout_ms"`
	LeastS       *float64 `toml:"least_s"`
	MostS        *float64 `toml:"most_s"`
	StaleS       *float64 `toml:"stale_s"`
	Budget       *int     `toml:"budget"`
	IPv6         *bool    `toml:"ipv6"`
	IPv4         *bool    `toml:"ipv4"`
}

var addressKinds = map[string]addresses.Kind{"unix": addresses.Unix, "ipv6": addresses.IPv6, "ipv4": addresses.IPv4, "name": addresses.Hostname}

// Parse parses such a file. The error joins all problems, each with its line and key.
func Parse(text []byte) (*Config, error) {
	var f file
	src := conffile.Read(text, &f)
	c := &Config{Membership: membership.Defaults, Addresses: addresses.Defaults}
	src.Duration("list.hold_s", f.List.HoldS, time.Second, 0, 86_400, &c.ListHold)
	m, g, t := &c.Membership, &f.Guard, &f.Tiers
	src.Float("guard.share", g.Share, 0, 1, &m.GuardShare)
	src.Int("guard.least", g.Least, 0, 100_000, &m.GuardLeast)
	src.Duration("guard.wait_s", g.WaitS, time.Second, 0, 3600, &m.GuardWait)
	src.Float("tiers.open_below", t.OpenBelow, 0, 1, &m.OpenBelow)
	src.Float("tiers.close_above", t.CloseAbove, 0, 10, &m.CloseAbove)
	if m.CloseAbove < m.OpenBelow {
		src.Problem("tiers.close_above", "must not be below open_below")
	}
	src.Duration("tiers.calm_s", t.CalmS, time.Second, 0, 3600, &m.CloseDelay)
	src.Duration("tiers.ramp_step_s", t.RampStepS, time.Second, 0, 600, &m.RampStep)
	src.Int("tiers.ramp_parts", t.RampParts, 1, 100, &m.RampParts)
	a, d := &c.Addresses, &f.Addresses
	if d.Order != nil {
		a.Order = nil
		for i, name := range d.Order {
			kind, ok := addressKinds[name]
			if !ok {
				src.Problem("addresses.order", "entry %d: %q is not one of unix, ipv6, ipv4, name", i+1, name)
			}
			a.Order = append(a.Order, kind)
		}
	}
	src.Duration("addresses.delay_ms", d.DelayMS, time.Millisecond, 10, 5000, &a.Delay)
	src.Duration("addresses.avoid_s", d.AvoidS, time.Second, 0.01, 3600, &a.Avoid)
	src.Duration("addresses.most_avoid_s", d.MostAvoidS, time.Second, 0.01, 86_400, &a.MaxAvoid)
	src.Duration("addresses.remember_s", d.RememberS, time.Second, 0, 86_400, &a.Remember)
	src.Int("addresses.most", d.Most, 1, 8, &a.MaxDials)
	if a.MaxAvoid < a.Avoid {
		src.Problem("addresses.most_avoid_s", "must not be below avoid_s")
	}
	if len(f.DNS) > maxSources {
		src.Problem("dns", "%d tables, at most %d are allowed", len(f.DNS), maxSources)
	}
	for i := range f.DNS {
		c.DNS = append(c.DNS, readDNS(src, i, &f.DNS[i]))
	}
	if err := src.Err(); err != nil {
		return nil, err
	}
	return c, nil
}

func readDNS(src *conffile.File, i int, t *dnsTable) DNS {
	d := DNS{Name: t.Name, Servers: t.Servers, Hold: 5 * time.Minute, Resolve: resolve.Defaults}
	problem := func(key, format string, args ...any) {
		src.Problem("dns."+key, "table %d: %s", i+1, fmt.Sprintf(format, args...))
	}
	if labels, ok := dns.IsDomainName(t.Name); !ok || labels < 2 {
		problem("name", "%q is not a name of SRV records", t.Name)
	}
	if len(t.Servers) < 1 || len(t.Servers) > maxNameServers {
		problem("servers", "must be 1 to %d addresses", maxNameServers)
	}
	for _, s := range t.Servers {
		if _, err := netip.ParseAddrPort(s); err != nil {
			problem("servers", "%q is not an address with a port", s)
		}
	}
	protocols, err := protocol.Parse(t.Protocol)
	if err != nil {
		problem("protocol", "%v", err)
	}
	s := &d.Resolve
	s.Name, s.Speaks = t.Name, protocols
	src.Duration("dns.hold_s", t.HoldS, time.Second, 0, 86_400, &d.Hold)
	src.Duration("dns.timeout_ms", t.TimeoutMS, time.Millisecond, 10, 30_000, &s.Timeout)
	src.Duration("dns.tcp_timeout_ms", t.TCPTimeoutMS, time.Millisecond, 10, 30_000, &s.TCPTimeout)
	src.Duration("dns.least_s", t.LeastS, time.Second, 0.05, 3600, &s.MinInterval)
	src.Duration("dns.most_s", t.MostS, time.Second, 0.05, 86_400, &s.MaxInterval)
	src.Duration("dns.stale_s", t.StaleS, time.Second, 0, 604_800, &s.StaleFor)
	src.Int("dns.budget", t.Budget, 1, 100_000, &s.Budget)
	if t.IPv6 != nil {
		s.IPv6 = *t.IPv6
	}
	if t.IPv4 != nil {
		s.IPv4 = *t.IPv4
	}
	if !s.IPv4 && !s.IPv6 {
		problem("ipv4", "one of ipv4 and ipv6 must be true")
	}
	if s.MaxInterval < s.MinInterval {
		problem("most_s", "must not be below least_s")
	}
	return d
}
