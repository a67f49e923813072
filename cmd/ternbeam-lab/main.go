// Command ternbeam-lab runs experiments with agents and servers, most of them in virtual time.
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
	Restart restartCommand `cmd:"" help:"Measure what an agent loses after a restart, with and without its stored learned state."`
	Rollout rolloutCommand `cmd:"" help:"Run a rolling deploy from an old shape to a new one and back, on sockets, with a server that hangs on the way."`
	Crowd   crowdCommand   `cmd:"" help:"Measure how evenly many agents distribute calls over servers, and how many attempts servers receive that do not answer."`
	Outage  outageCommand  `cmd:"" help:"Measure what an agent loses while its list service is down and all servers are replaced, with and without SRV records."`
}

func main() {
	ctx := kong.Parse(new(commands), kong.Description("Runs experiments with agents and servers."), kong.UsageOnError())
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "ternbeam-lab:", err)
		os.Exit(1)
	}
}

type rolloutCommand struct {
	Servers int           `default:"8" help:"Number of servers."`
	Rate    float64       `default:"600" help:"Calls per second."`
	Every   time.Duration `default:"1s" help:"Interval between replacements of servers."`
	Seed    uint64        `default:"1"`
}

// Run measures rollouts between pairs of protocols and prints a table.
func (c *rolloutCommand) Run() error {
	base := rollout.Settings{Servers: c.Servers, Rate: c.Rate, ReplaceInterval: c.Every, HangTime: 4 * time.Second, ServiceTime: 30 * time.Millisecond, Seed: c.Seed}
	var sets []rollout.Settings
	for _, v := range []struct {
		name             string
		client, old, new string
		noShapes, stale  bool
	}{{"untranslated, HTTP", "http", "http", "http", true, false}, {"HTTP to HTTP", "http", "http", "http", false, false},
		{"HTTP to compact", "http", "http", "thrift-compact", false, false}, {"binary to HTTP", "thrift-binary", "thrift-binary", "http", false, false},
		{"binary to compact", "thrift-binary", "thrift-binary", "thrift-compact", false, false},
		{"HTTP, list stale on the way back", "http", "http", "http", false, true},
		{"binary to compact, list stale", "thrift-binary", "thrift-binary", "thrift-compact", false, true}} {
		s := base
		s.Name, s.Client, s.Old, s.New, s.NoShapes, s.StaleList = v.name, v.client, v.old, v.new, v.noShapes, v.stale
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
	return rollout.WriteTable(os.Stdout, sets, results)
}

type crowdCommand struct {
	Agents  []int         `default:"60,300,500" help:"Numbers of agents, each measured in turn."`
	Servers int           `default:"100" help:"Number of servers."`
	Rate    float64       `default:"900" help:"Calls per second, all agents together."`
	Use     float64       `default:"0.45" help:"Utilization of the servers while all are healthy."`
	Unequal float64       `help:"Inequality of the agents' shares of the calls: the standard deviation of the shares' logarithms."`
	Reports bool          `help:"Servers report their load."`
	Unknown bool          `help:"Agents do not know their rank among all agents."`
	Silent  float64       `default:"0.2" help:"Share of the servers that stop answering."`
	Warm    time.Duration `default:"28s" help:"Time before they stop answering."`
	For     time.Duration `default:"20s" help:"How long they do not answer."`
	After   time.Duration `default:"10s" help:"Time measured after they answer again."`
	Seed    uint64        `default:"1"`
}

// Run measures fleets of each size and prints their figures.
func (c *crowdCommand) Run() error {
	for _, agents := range c.Agents {
		f := crowd.Fleet{Agents: agents, Servers: c.Servers, Rate: c.Rate, Utilization: c.Use, Inequality: c.Unequal, Reports: c.Reports, Silent: c.Silent,
			Warm: c.Warm, SilentFor: c.For, After: c.After, Seed: c.Seed}
		if c.Unknown {
			f.BelievedRank = func(int) (me, of int) { return -1, agents }
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
	Rate  float64 `default:"100" help:"Calls per second."`
}

// Run compares outages with and without SRV records and prints a table.
func (c *outageCommand) Run() error {
	rows, err := outage.Compare(c.Rate, c.Seeds)
	if err != nil {
		return err
	}
	return restart.Table(os.Stdout, rows)
}

type restartCommand struct {
	Seeds int    `default:"30" help:"Seeds for each variant."`
	Wrong int    `default:"300" help:"Seeds for the comparison with wrong stored state."`
	Plots string `help:"Write a plot for each rate of calls into this folder." placeholder:"FOLDER"`
}

// Run compares ways to restart at several rates of calls and prints a table for each.
func (c *restartCommand) Run() error {
	for _, traffic := range []struct {
		name    string
		rate    float64
		reports bool
	}{{"quiet", 20, true}, {"steady", 100, true}, {"busy", 400, true}, {"unreported", 20, false}} {
		fmt.Printf("%s: %v calls per second, load reports %t\n", traffic.name, traffic.rate, traffic.reports)
		rows, err := restart.Compare(traffic.rate, traffic.reports, restart.Variants, c.Seeds)
		if err != nil {
			return err
		}
		wrong, err := restart.Compare(traffic.rate, traffic.reports, []restart.Variant{{Name: restart.WithoutState},
			{Name: "wrong file", Restore: restart.WrongState}}, c.Wrong)
		if err != nil {
			return err
		}
		if err := restart.Table(os.Stdout, append(rows, wrong...)); err != nil {
			return err
		}
		if c.Plots != "" {
			name := filepath.Join(c.Plots, "restart-"+traffic.name+".svg")
			if err := restart.Plot(restart.Panel{Title: fmt.Sprintf("%v calls per second, 12 servers: 2 slow, 1 silent", traffic.rate), Rows: rows}, name); err != nil {
				return err
			}
		}
	}
	return nil
}
