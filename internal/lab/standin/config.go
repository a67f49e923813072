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

// Tenants are the tenants of the stand-in configuration.
var Tenants = []string{"leith", "oban"}

// Platform is the configuration that the stand-in platform gives an agent. Zero fields get a default, most of them an ample one.
type Platform struct {
	Listen, Discovery string
	InitialList       discovery.List
	Deadline          time.Duration // of every class; 20 s if 0
	Aim               time.Duration // of every class; 600 ms if 0
	DedupWindow       time.Duration // deduplication window of refund-record, within a cell; 2 s if 0
	MaxAttempts       int
	MaxOpenCalls      int
	ConnIdle          time.Duration
	ConnectTimeout    time.Duration
	Sockets           int
	MaxRetryAfter     time.Duration
	CanCancel         bool // attempts can be canceled, and two of a call can be in flight at a time
	SlowStartWindow   time.Duration
	SlowStartMinShare float64 // 0.2 if 0
	Cores             float64

	// For an agent that is one of several.
	Name            string   // n0 if empty
	Seed            uint64   // a fixed one if 0
	Balancers       int      // number of agents; 1 if 0
	Index           int      // index of this agent
	Peers           []string // addresses of the other agents, by index
	PeerListen      string
	MaxPollInterval time.Duration // the list must be polled at least this often; it is pushed if 0
}

// Config returns the configuration of an agent as JSON, the content of the file named by NODE_CONFIG.
func (p Platform) Config() []byte {
	deadline, aim := cmp.Or(p.Deadline, 20*time.Second), cmp.Or(p.Aim, 600*time.Millisecond)
	class := func(m Method, effect string, value float64) map[string]any {
		return map[string]any{"Name": Classes[m], "Effect": effect, "Group": "all", "AimNs": aim, "DeadlineNs": deadline,
			"Worth": value}
	}
	record := class(Record, "by_key", 10)
	record["Group"], record["WindowNs"] = "cell", cmp.Or(p.DedupWindow, 2*time.Second)
	tenants := []map[string]string{}
	for _, t := range Tenants {
		tenants = append(tenants, map[string]string{"Name": t})
	}
	mode := "automatic"
	if p.MaxPollInterval > 0 {
		mode = "subscribe"
	}
	text, err := json.Marshal(map[string]any{"name": cmp.Or(p.Name, "n0"), "listen": p.Listen, "discovery": p.Discovery,
		"seed": fmt.Sprintf("%016x", cmp.Or(p.Seed, 0x8c1f30d27a5be964)), "known": p.InitialList, "peers": p.Peers, "peer_listen": p.PeerListen,
		"limits": map[string]any{"cores": cmp.Or(p.Cores, 1), "memory_mb": 192, "sockets": cmp.Or(p.Sockets, 1024)},
		"settings": map[string]any{"Balancers": max(1, p.Balancers), "Me": p.Index,
			"Classes": []any{class(Check, "repeatable", 2), record, class(Pay, "once", 10), class(Note, "repeatable", 1)},
			"Ceilings": map[string]any{"ConnIdleNs": cmp.Or(p.ConnIdle, time.Minute),
				"ConnectTimeoutNs": cmp.Or(p.ConnectTimeout, 5*time.Second), "MayCancel": p.CanCancel, "ParallelTries": p.CanCancel,
				"MostHeld": cmp.Or(p.MaxOpenCalls, 1000), "MostTries": cmp.Or(p.MaxAttempts, 3),
				"RetryAfter": p.MaxRetryAfter > 0, "MaxRetryAfterNs": p.MaxRetryAfter},
			"Discovery": mode, "Report": map[string]any{"Fields": []string{"util", "qps", "eps"}},
			"Rules":  map[string]any{"ColdFrom": cmp.Or(p.SlowStartMinShare, 0.2), "ColdNs": p.SlowStartWindow, "MustAskInNs": p.MaxPollInterval},
			"TickNs": 5 * time.Millisecond, "WeightKind": "silent", "Tenants": tenants, "Zones": []string{"z"}}})
	if err != nil {
		panic(err) // cannot happen: only plain values are encoded
	}
	return text
}

// Load parses the configuration and that of the sample Thrift service, moved to a free port, as an agent does. The edits
// are applied to the service's text before it is parsed.
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
