// Package config reads the configuration file that the platform gives an agent at start-up.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"os"
	"slices"
	"strconv"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/decide/pacing"
	"ternbeam/internal/decide/shutdown"
	"ternbeam/internal/discovery"
	"ternbeam/internal/settings/wire"
)

// Limits are the resources that the platform grants the agent.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int64   `json:"memory_mb"` // MiB
	Sockets  int     `json:"sockets"`   // open file descriptors
}

// outsideHeapBytes is what the process needs beside what the Go runtime counts: mostly pages of the program itself.
const outsideHeapBytes = 16 << 20

// HeapLimit returns the soft memory limit of the Go runtime in bytes: 70 % of the memory, or less where the rest would be too small for
// memory that the runtime does not count.
func (l Limits) HeapLimit() int64 {
	memory := l.MemoryMB << 20
	return max(memory/4, min(memory*7/10, memory-outsideHeapBytes))
}

const (
	baseHeapBytes       = 5 << 20  // what an agent needs without clients
	clientHeapBytes     = 24 << 10 // what each connection of a client needs without a request, with its stack
	peerDataDivisor     = 4        // the reciprocal of the share of the rest that data of clients and servers may take
	maxPeerDataDivisor  = 4        // the reciprocal of the largest share of the heap that it may take
	minPeerDataBytes    = 1 << 20
	defaultPeerDataSize = 48 << 20 // where memory is not limited

	// OpenRequestBytes is what an open request needs beside its body and answer: stacks, fields, and the state of its attempts.
	OpenRequestBytes = 32 << 10
	minOpenRequests  = 128
)

// heapForRequests returns what the heap has beside an agent, its connections and garbage, without limit if memory is not limited. A heap that is
// in use up to its limit is collected all the time.
func (c *Config) heapForRequests() int64 {
	if c.Limits.MemoryMB <= 0 {
		return math.MaxInt64
	}
	return c.Limits.HeapLimit()*3/4 - baseHeapBytes - int64(c.ClientSockets())*clientHeapBytes
}

// PeerDataBytes returns the number of bytes that data of clients and servers may take: bodies, answers and large heads.
func (c *Config) PeerDataBytes() int64 {
	if c.Limits.MemoryMB <= 0 {
		return defaultPeerDataSize
	}
	return max(minPeerDataBytes, min(c.heapForRequests()/peerDataDivisor, c.Limits.HeapLimit()/maxPeerDataDivisor))
}

// OpenRequestsMemory returns the number of bytes for open requests, of OpenRequestBytes each.
func (c *Config) OpenRequestsMemory() int64 {
	return max(minOpenRequests*OpenRequestBytes, c.heapForRequests()-c.PeerDataBytes())
}

// Config is an agent's configuration: the content of the file, with the name and some addresses overridden by the environment.
type Config struct {
	Name      string
	Listen    string
	Discovery string
	Ops       string // operations address; empty for none
	Limits    Limits

	Path         string // of the file that the configuration was read from
	Seed         uint64
	InitialList  discovery.List  // the list of servers at start-up
	Module       choice.Settings // parsed by the same code as in the simulator's adapter
	Pacing       pacing.Settings // when the list is requested from the discovery service
	Peers        Peers           // addresses for the exchange of lists between agents
	ReportFields []string        // names of the figures in a load report, in their order
	Host         HostSettings
}

// Peers holds the addresses of the agents that balance load over the same servers.
type Peers struct {
	Listen string   // this agent's own address; empty where agents exchange no lists
	Addrs  []string // of all agents, by their index
}

// HostSettings is the part of the settings that concerns the host and not the choice module.
type HostSettings struct {
	Classes []struct {
		Name     string
		Streamed bool
	}
	Ceilings struct {
		ConnIdleNs, ConnectTimeoutNs int64
		MostHeld                     int
	}
	Tenants []struct{ Name string }
	Zones   []string
}

// Load reads the file that NODE_CONFIG names. The name and the addresses in the environment take precedence over those
// in the file.
func Load(getenv func(string) string) (*Config, error) {
	path := getenv("NODE_CONFIG")
	if path == "" {
		return nil, errors.New("NODE_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the configuration: %w", err)
	}
	cfg, err := Parse(text)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	cfg.Path = path
	for name, field := range map[string]*string{"NODE_NAME": &cfg.Name, "NODE_LISTEN": &cfg.Listen,
		"NODE_DISCOVERY": &cfg.Discovery, "NODE_OPS": &cfg.Ops} {
		if v := getenv(name); v != "" {
			*field = v
		}
	}
	if cfg.Listen == "" || cfg.Discovery == "" {
		return nil, fmt.Errorf("configuration %s: listen and discovery must be given", path)
	}
	return cfg, nil
}

// ReloadDiscovery reads the file again and returns its current discovery address. It ignores the environment, which is as
// old as the process. Nothing else in the file can change while the agent runs.
func (c *Config) ReloadDiscovery() (string, error) {
	text, err := os.ReadFile(c.Path)
	if err != nil {
		return "", err
	}
	fresh, err := Parse(text)
	if err != nil {
		return "", err
	}
	if fresh.Discovery == "" {
		return "", errors.New("discovery is missing")
	}
	return fresh.Discovery, nil
}

// errSettings marks the errors that concern the settings object.
var errSettings = errors.New("settings")

// Parse parses a configuration. WithPosition adds the line and the key to its errors.
func Parse(text []byte) (*Config, error) {
	var file struct {
		Name, Listen, Discovery, Ops, Seed string
		Limits                             Limits          `json:"limits"`
		PeerListen                         string          `json:"peer_listen"`
		Peers                              []string        `json:"peers"`
		Known                              discovery.List  `json:"known"`
		Settings                           json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, err
	}
	if len(file.Settings) == 0 {
		return nil, fmt.Errorf("%w: missing", errSettings)
	}
	cfg := &Config{Name: file.Name, Listen: file.Listen, Discovery: file.Discovery, Ops: file.Ops,
		Limits: file.Limits, InitialList: file.Known, Peers: Peers{file.PeerListen, file.Peers}}
	cfg.InitialList.Full = true
	var err error
	if cfg.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		h := fnv.New64a() // any text is a valid seed
		h.Write([]byte(file.Seed))
		cfg.Seed = h.Sum64()
	}
	set, err := wire.ParseSettings(file.Settings)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errSettings, err)
	}
	cfg.Module, cfg.ReportFields, cfg.Pacing = set.Module, set.ReportFields, pacing.Settings(set.Pacing)
	cfg.Module.MaxSendDelay = shutdown.MaxStall
	if err := json.Unmarshal(file.Settings, &cfg.Host); err != nil {
		return nil, fmt.Errorf("%w: %w", errSettings, err)
	}
	for i, c := range cfg.Host.Classes {
		if c.Streamed {
			return nil, fmt.Errorf("%w: %w", errSettings, &wire.KeyError{Key: fmt.Sprintf("Classes.%d.Streamed", i),
				Err: fmt.Errorf("class %q is streamed, which this agent cannot serve", c.Name)})
		}
	}
	if cfg.Module.CanProbe {
		return nil, fmt.Errorf("%w: %w", errSettings, &wire.KeyError{Key: "Ceilings.Probes",
			Err: errors.New("probes are allowed, which this agent cannot send")})
	}
	if cfg.Limits.Sockets <= 0 {
		cfg.Limits.Sockets = 1024
	}
	if cfg.Limits.Sockets < MinSockets {
		return nil, fmt.Errorf("limits: %d sockets are too few, at least %d are needed", cfg.Limits.Sockets, MinSockets)
	}
	return cfg, nil
}

// MinSockets is the smallest limit on file descriptors with which an agent can run.
const MinSockets = 64

// reservedSockets is the number of descriptors that are used for neither clients nor backends: the listener's two, calls to
// discovery (pacing.MaxPending), the poller, the standard streams, the second descriptor of a connection that is being
// accepted, and one more connection while another one closes.
const reservedSockets = 26 + pacing.MaxPending

// ClientSockets returns the number of descriptors for client connections. At most a third of all descriptors is used for
// connections with requests; the rest of the clients' share is for those that are idle or have sent nothing yet.
func (c *Config) ClientSockets() int { return c.Limits.Sockets * 2 / 5 }

// BackendSockets returns the number of descriptors for connections to backends.
func (c *Config) BackendSockets() int {
	return c.Limits.Sockets - reservedSockets - c.ClientSockets() - c.OpsSockets() - c.LingerSockets()
}

// LingerSockets returns the number of descriptors for connections that have had their last answer and are closed soon.
func (c *Config) LingerSockets() int { return min(64, c.Limits.Sockets/16) }

// OpsSockets returns the number of descriptors for connections to the operations address. It leaves room for some silent
// connections in addition to those of regular pollers.
func (c *Config) OpsSockets() int {
	if c.Ops == "" {
		return 0
	}
	return min(32, c.Limits.Sockets/8)
}

// AllowsLongBodies reports whether bodies may be longer than 64 KiB and use every framing of HTTP/1.1. Without an
// operations address the platform's rules are stricter: an answer that violates them is invalid, and another server can be tried at once.
func (c *Config) AllowsLongBodies() bool { return c.Ops != "" }

// ConnectTimeout returns the timeout for dialing a backend.
func (c *Config) ConnectTimeout() time.Duration {
	if ns := c.Host.Ceilings.ConnectTimeoutNs; ns > 0 {
		return time.Duration(ns)
	}
	return time.Second
}

// IdleTimeout returns how long an idle connection to a backend may be reused. A backend closes it after ConnIdleNs; a
// request written at that moment would be reset, so the agent closes the connection well before.
func (c *Config) IdleTimeout() time.Duration {
	if ns := c.Host.Ceilings.ConnIdleNs; ns > 0 {
		return time.Duration(ns) * 4 / 5
	}
	return 10 * time.Second
}

// MaxDeadline returns the longest time that a client may wait for an answer.
func (c *Config) MaxDeadline() (longest time.Duration) {
	for _, class := range c.Module.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}

// ClassIndex returns the index of a class, or -1.
func (c *Config) ClassIndex(name string) int {
	return slices.IndexFunc(c.Module.Classes, func(class choice.Class) bool { return class.Name == name })
}

// TenantIndex returns the index of a tenant, or -1. Without configured tenants it returns 0 for any name.
func (c *Config) TenantIndex(name string) int {
	if len(c.Host.Tenants) == 0 {
		return 0
	}
	return slices.IndexFunc(c.Host.Tenants, func(t struct{ Name string }) bool { return t.Name == name })
}
