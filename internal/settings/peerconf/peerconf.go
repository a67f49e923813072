// Package peerconf reads the file that says how agents that balance load over the same servers exchange their lists (see
// deploy/peers.toml).
package peerconf

import (
	"time"

	"ternbeam/internal/decide/gossip"
	"ternbeam/internal/settings/conffile"
)

// file is the layout of the file. Parse maps its keys to the fields of gossip.Settings, which have other names.
type file struct {
	Lists struct {
		Size     *int     `toml:"size"`
		RoundMS  *float64 `toml:"round_ms"`
		Fanout   *int     `toml:"fanout"`
		Watchers *int     `toml:"watchers"`
		BatchMS  *float64 `toml:"batch_ms"`
		StaleS   *float64 `toml:"stale_s"`
		CalmS    *float64 `toml:"calm_s"`
	} `toml:"lists"`
}

// Parse parses such a file. The error joins all problems, each with its line and key.
func Parse(text []byte) (*gossip.Settings, error) {
	var in file
	src := conffile.Read(text, &in)
	s, l := gossip.Defaults, &in.Lists
	src.Int("lists.size", l.Size, gossip.MinDatagramBytes, gossip.MaxDatagramBytes, &s.DatagramBytes)
	src.Duration("lists.round_ms", l.RoundMS, time.Millisecond, 50, 10_000, &s.DigestInterval)
	src.Int("lists.fanout", l.Fanout, 1, 16, &s.Fanout)
	src.Int("lists.watchers", l.Watchers, 1, 100, &s.Watchers)
	src.Duration("lists.batch_ms", l.BatchMS, time.Millisecond, 100, 60_000, &s.WatcherDelay)
	src.Duration("lists.stale_s", l.StaleS, time.Second, 1, 600, &s.StaleAfter)
	src.Duration("lists.calm_s", l.CalmS, time.Second, 1, 600, &s.SurplusDelay)
	if s.StaleAfter < 4*s.DigestInterval {
		src.Problem("lists.stale_s", "must be at least four times round_ms")
	}
	if err := src.Err(); err != nil {
		return nil, err
	}
	return &s, nil
}
