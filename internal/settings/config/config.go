// Package config reads what the platform tells an agent at its start.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"os"
	"slices"
	"strconv"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/decide/asking"
	"ternbeam/internal/decide/shutdown"
	"ternbeam/internal/discovery"
	"ternbeam/internal/settings/wire"
)

// Limits are what the platform grants the agent.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int64   `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// HeapLimit is how many bytes the runtime may hold before it collects harder: the rest is for what it does not count.
func (l Limits) HeapLimit() int64 { return l.MemoryMB << 20 * 6 / 10 }

// Config is all that an agent is told at its start.
type Config struct {
	Name      string
	Listen    string
	Discovery string
	Ops       string // the second address, for those who run the agent; empty for none
	Limits    Limits

	Path   string // of the file that it was read from
	Seed   uint64
	Known  discovery.List
	Module choice.Settings // as the simulator's adapter reads them
	Asking asking.Settings // how the list is asked for
	Peers  Peers           // where other agents are reached, where talk among them is allowed
	Fields []string        // the figures in a load report
	Host   HostSettings
}

// Peers are the addresses of the agents that front the same servers.
type Peers struct {
	Listen string   // where this one listens for them; empty where there is no talk
	All    []string // by their places
}

// HostSettings are those of the settings that bind the host and do not concern the module.
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

// Load reads the file that NODE_CONFIG names. Addresses in the environment go before those in the file, as
// it is at the start.
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

// NewDiscovery reads the file again and returns the address of discovery that it holds now. The environment is as
// old as the process and has no say in it; nothing else in the file can change while the agent runs.
func (c *Config) NewDiscovery() (string, error) {
	text, err := os.ReadFile(c.Path)
	if err != nil {
		return "", err
	}
	fresh, err := Parse(text)
	if err != nil {
		return "", err
	}
	if fresh.Discovery == "" {
		return "", errors.New("no discovery")
	}
	return fresh.Discovery, nil
}

// errSettings is what is wrong with the settings.
var errSettings = errors.New("settings")

// Parse reads a configuration.
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
		return nil, fmt.Errorf("%w: there are none", errSettings)
	}
	cfg := &Config{Name: file.Name, Listen: file.Listen, Discovery: file.Discovery, Ops: file.Ops,
		Limits: file.Limits, Known: file.Known, Peers: Peers{file.PeerListen, file.Peers}}
	cfg.Known.Full = true
	var err error
	if cfg.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		h := fnv.New64a() // any text will do as a seed
		h.Write([]byte(file.Seed))
		cfg.Seed = h.Sum64()
	}
	set, err := wire.ParseSettings(file.Settings)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errSettings, err)
	}
	cfg.Module, cfg.Fields, cfg.Asking = set.Module, set.Fields, asking.Settings(set.List)
	cfg.Module.Stall = shutdown.Stall
	if err := json.Unmarshal(file.Settings, &cfg.Host); err != nil {
		return nil, fmt.Errorf("%w: %w", errSettings, err)
	}
	for i, c := range cfg.Host.Classes {
		if c.Streamed {
			return nil, fmt.Errorf("%w: %w", errSettings, &wire.KeyError{Key: fmt.Sprintf("Classes.%d.Streamed", i),
				Err: fmt.Errorf("class %q is streamed, which this agent cannot serve", c.Name)})
		}
	}
	if cfg.Module.Probes {
		return nil, fmt.Errorf("%w: %w", errSettings, &wire.KeyError{Key: "Ceilings.Probes",
			Err: errors.New("probes are allowed, which this agent cannot send")})
	}
	if cfg.Limits.Sockets <= 0 {
		cfg.Limits.Sockets = 1024
	}
	if cfg.Limits.Sockets < LeastSockets {
		return nil, fmt.Errorf("limits: %d sockets are too few, %d are needed", cfg.Limits.Sockets, LeastSockets)
	}
	return cfg, nil
}

// LeastSockets is the smallest limit on descriptors under which an agent can work.
const LeastSockets = 64

// Descriptors that are neither clients' nor backends': the listener's two, calls to discovery (asking.MostPending), the poller, standard
// streams, the second one of a connection that is being accepted and one connection more while another closes.
const spareSockets = 26 + asking.MostPending

// ClientSockets and BackendSockets share out the descriptors. Clients hold a third at most for requests; the rest
// of theirs is for those that are idle or have said nothing yet.
func (c *Config) ClientSockets() int { return c.Limits.Sockets * 2 / 5 }
func (c *Config) BackendSockets() int {
	return c.Limits.Sockets - spareSockets - c.ClientSockets() - c.OpsSockets()
}

// OpsSockets are the descriptors for callers at the second address: enough for some that say nothing, beside those that
// ask all day.
func (c *Config) OpsSockets() int {
	if c.Ops == "" {
		return 0
	}
	return min(32, c.Limits.Sockets/8)
}

// Long reports whether bodies may be longer than 64 KiB and come in every form that HTTP/1.1 has. The platform's pages
// bound and word them more narrowly where there is no second address; there, one that breaks that is spoilt, and another
// server can be asked at once.
func (c *Config) Long() bool { return c.Ops != "" }

// ConnectTimeout bounds the dial of a backend.
func (c *Config) ConnectTimeout() time.Duration {
	if ns := c.Host.Ceilings.ConnectTimeoutNs; ns > 0 {
		return time.Duration(ns)
	}
	return time.Second
}

// IdleFor is how long an idle connection to a backend may still be used. A backend closes one after
// ConnIdleNs; a request written just then would be reset, so the agent drops it well before.
func (c *Config) IdleFor() time.Duration {
	if ns := c.Host.Ceilings.ConnIdleNs; ns > 0 {
		return time.Duration(ns) * 4 / 5
	}
	return 10 * time.Second
}

// LongestDeadline is the longest that a client may wait for an answer.
func (c *Config) LongestDeadline() (longest time.Duration) {
	for _, class := range c.Module.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}

// Class returns the position of a class, or -1.
func (c *Config) Class(name string) int {
	return slices.IndexFunc(c.Module.Classes, func(class choice.Class) bool { return class.Name == name })
}

// Tenant returns the position of a tenant, or -1. Where there are none, any is the first.
func (c *Config) Tenant(name string) int {
	if len(c.Host.Tenants) == 0 {
		return 0
	}
	return slices.IndexFunc(c.Host.Tenants, func(t struct{ Name string }) bool { return t.Name == name })
}
