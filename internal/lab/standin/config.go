package standin

import (
	"cmp"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"ternbeam/deploy"
	"ternbeam/internal/discovery"
	"ternbeam/internal/settings/config"
	"ternbeam/internal/thrift/thriftmap"
)

// Tenants are those of the stand-in configuration.
var Tenants = []string{"leith", "oban"}

// Platform is what the stand-in platform tells an agent; what is 0 is ample.
type Platform struct {
	Listen, Discovery string
	Known             discovery.List
	Deadline          time.Duration // of every class
	Aim               time.Duration
	Window            time.Duration // of refund-record, within a cell
	MostTries         int
	MostHeld          int
	ConnIdle          time.Duration
	ConnectTimeout    time.Duration
	Sockets           int
	MaxRetryAfter     time.Duration
	Cancel            bool // attempts may be cancelled, and two be out at a time
	ColdFor           time.Duration
	ColdFrom          float64 // 0.2 where 0
	Cores             float64

	// Of an agent among many.
	Name       string   // n0 where empty
	Seed       uint64   // a fixed one where 0
	Balancers  int      // how many agents there are; 1 where 0
	Me         int      // which of them it is
	Peers      []string // where the others are reached, by place
	PeerListen string
	MustAsk    time.Duration // the list must be asked for within it; pushed where 0
}

// Config words the configuration of an agent, as NODE_CONFIG names it.
func (p Platform) Config() []byte {
	deadline, aim := cmp.Or(p.Deadline, 20*time.Second), cmp.Or(p.Aim, 600*time.Millisecond)
	class := func(m Method, effect string, worth float64) map[string]any {
		return map[string]any{"Name": Classes[m], "Effect": effect, "Group": "all", "AimNs": aim, "DeadlineNs": deadline,
			"Worth": worth}
	}
	record := class(Record, "by_key", 10)
	record["Group"], record["WindowNs"] = "cell", cmp.Or(p.Window, 2*time.Second)
	tenants := []map[string]string{}
	for _, t := range Tenants {
		tenants = append(tenants, map[string]string{"Name": t})
	}
	mode := "automatic"
	if p.MustAsk > 0 {
		mode = "subscribe"
	}
	text, err := json.Marshal(map[string]any{"name": cmp.Or(p.Name, "n0"), "listen": p.Listen, "discovery": p.Discovery,
		"seed": fmt.Sprintf("%016x", cmp.Or(p.Seed, 0x8c1f30d27a5be964)), "known": p.Known, "peers": p.Peers, "peer_listen": p.PeerListen,
		"limits": map[string]any{"cores": cmp.Or(p.Cores, 1), "memory_mb": 192, "sockets": cmp.Or(p.Sockets, 1024)},
		"settings": map[string]any{"Balancers": max(1, p.Balancers), "Me": p.Me,
			"Classes": []any{class(Check, "repeatable", 2), record, class(Pay, "once", 10), class(Note, "repeatable", 1)},
			"Ceilings": map[string]any{"ConnIdleNs": cmp.Or(p.ConnIdle, time.Minute),
				"ConnectTimeoutNs": cmp.Or(p.ConnectTimeout, 5*time.Second), "MayCancel": p.Cancel, "ParallelTries": p.Cancel,
				"MostHeld": cmp.Or(p.MostHeld, 1000), "MostTries": cmp.Or(p.MostTries, 3),
				"RetryAfter": p.MaxRetryAfter > 0, "MaxRetryAfterNs": p.MaxRetryAfter},
			"Discovery": mode, "Report": map[string]any{"Fields": []string{"util", "qps", "eps"}},
			"Rules":  map[string]any{"ColdFrom": cmp.Or(p.ColdFrom, 0.2), "ColdNs": p.ColdFor, "MustAskInNs": p.MustAsk},
			"TickNs": 5 * time.Millisecond, "WeightKind": "silent", "Tenants": tenants, "Zones": []string{"z"}}})
	if err != nil {
		panic(err) // of plain values
	}
	return text
}

// Load reads the configuration, and the sample Thrift service at a free port, as an agent does. Edits change the
// service's text first.
func (p Platform) Load(edits ...func(string) string) (*config.Config, *thriftmap.Map, error) {
	cfg, err := config.Parse(p.Config())
	if err != nil {
		return nil, nil, err
	}
	text := strings.Replace(deploy.Thrift, "127.0.0.1:9090", "127.0.0.1:0", 1)
	for _, edit := range edits {
		text = edit(text)
	}
	service, err := thriftmap.Parse([]byte(text), cfg.Module.Classes)
	return cfg, service, err
}
