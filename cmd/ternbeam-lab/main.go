// Command ternbeam-lab makes experiments in virtual time.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kong"

	"ternbeam/internal/lab/crowd"
	"ternbeam/internal/lab/outage"
	"ternbeam/internal/lab/restart"
	"ternbeam/internal/lab/rollout"
)

type commands struct {
	Restart restartCommand `cmd:"" help:"What an agent loses after a restart, with what it remembers and without."`
	Rollout rolloutCommand `cmd:"" help:"A rolling deploy from an old shape to a new one and back, on sockets, with a hang on the way."`
	Crowd   crowdCommand   `cmd:"" help:"How even the calls of servers are from many agents, and what those get that have fallen silent."`
	Outage  outageCommand  `cmd:"" help:"What an agent loses while its list is down and the fleet is replaced, with SRV records and without."`
}

func main() {
	ctx := kong.Parse(new(commands), kong.Description("Experiments in virtual time."), kong.UsageOnError())
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "ternbeam-lab:", err)
		os.Exit(1)
	}
}

type rolloutCommand struct {
	Servers int           `default:"8" help:"Servers."`
	Rate    float64       `default:"600" help:"Calls a second."`
	Every   time.Duration `default:"1s" help:"A server is replaced."`
	Seed    uint64        `default:"1"`
}

// Run compares.
func (c *rolloutCommand) Run() error {
	plain := rollout.Settings{Servers: c.Servers, Rate: c.Rate, Every: c.Every, Hang: 4 * time.Second, Service: 30 * time.Millisecond, Seed: c.Seed}
	var sets []rollout.Settings
	for _, v := range []struct {
		name             string
		client, old, new string
		plain, stale     bool
	}{{"untranslated, HTTP", "http", "http", "http", true, false}, {"HTTP to HTTP", "http", "http", "http", false, false},
		{"HTTP to compact", "http", "http", "thrift-compact", false, false}, {"binary to HTTP", "thrift-binary", "thrift-binary", "http", false, false},
		{"binary to compact", "thrift-binary", "thrift-binary", "thrift-compact", false, false},
		{"HTTP, list stale on the way back", "http", "http", "http", false, true},
		{"binary to compact, list stale", "thrift-binary", "thrift-binary", "thrift-compact", false, true}} {
		s := plain
		s.Name, s.Client, s.Old, s.New, s.Plain, s.Stale = v.name, v.client, v.old, v.new, v.plain, v.stale
		sets = append(sets, s)
	}
	var results []rollout.Result
	for _, s := range sets {
		r, err := rollout.Run(s)
		if err != nil {
			return fmt.Errorf("%s: %w", s.Name, err)
		}
		results = append(results, r)
	}
	return rollout.Table(os.Stdout, sets, results)
}

type crowdCommand struct {
	Agents  []int         `default:"60,300,500" help:"So many agents, one fleet after the other."`
	Servers int           `default:"100" help:"Servers."`
	Rate    float64       `default:"900" help:"Calls a second of all agents."`
	Use     float64       `default:"0.45" help:"Of the servers, if all are well."`
	Unequal float64       `help:"Spread of the agents' parts of the calls: the standard deviation of their logarithms."`
	Reports bool          `help:"Servers state their load."`
	Unknown bool          `help:"The agents know no place."`
	Silent  float64       `default:"0.2" help:"Share of the servers that falls silent."`
	Warm    time.Duration `default:"28s" help:"Before."`
	For     time.Duration `default:"20s" help:"For so long."`
	After   time.Duration `default:"10s" help:"After it."`
	Seed    uint64        `default:"1"`
}

// Run measures.
func (c *crowdCommand) Run() error {
	for _, agents := range c.Agents {
		f := crowd.Fleet{Agents: agents, Servers: c.Servers, Rate: c.Rate, Use: c.Use, Unequal: c.Unequal, Reports: c.Reports, Silent: c.Silent,
			Warm: c.Warm, For: c.For, After: c.After, Seed: c.Seed}
		if c.Unknown {
			f.Place = func(int) (me, of int) { return -1, agents }
		}
		r, err := crowd.Measure(f)
		if err != nil {
			return err
		}
		fmt.Printf("%d agents: %v\n", agents, r)
	}
	return nil
}

type outageCommand struct {
	Seeds int     `default:"20" help:"Seeds for each variant."`
	Rate  float64 `default:"100" help:"Calls a second."`
}

// Run compares.
func (c *outageCommand) Run() error {
	rows, err := outage.Compare(c.Rate, c.Seeds)
	if err != nil {
		return err
	}
	return restart.Table(os.Stdout, rows)
}

type restartCommand struct {
	Seeds int    `default:"30" help:"Seeds for each variant."`
	Wrong int    `default:"300" help:"Files that say what is not so."`
	Plots string `help:"Write a plot for each traffic into this folder." placeholder:"FOLDER"`
}

// Run compares.
func (c *restartCommand) Run() error {
	for _, traffic := range []struct {
		name    string
		rate    float64
		reports bool
	}{{"quiet", 20, true}, {"steady", 100, true}, {"busy", 400, true}, {"unreported", 20, false}} {
		fmt.Printf("%s: %v calls a second, reports %t\n", traffic.name, traffic.rate, traffic.reports)
		rows, err := restart.Compare(traffic.rate, traffic.reports, restart.Variants, c.Seeds)
		if err != nil {
			return err
		}
		wrong, err := restart.Compare(traffic.rate, traffic.reports, []restart.Variant{{Name: restart.Without},
			{Name: "wrong file", Past: restart.Wrong}}, c.Wrong)
		if err != nil {
			return err
		}
		if err := restart.Table(os.Stdout, append(rows, wrong...)); err != nil {
			return err
		}
		if c.Plots != "" {
			name := filepath.Join(c.Plots, "restart-"+traffic.name+".svg")
			if err := restart.Plot(restart.Panel{Title: fmt.Sprintf("%v calls a second, 12 servers: 2 slow, 1 silent", traffic.rate), Rows: rows}, name); err != nil {
				return err
			}
		}
	}
	return nil
}
