// Command ternbeam-fleet runs many agents as processes, with a list service beside them, and brings about their failures by a
// scenario. See docs/ops/fleet-start.md.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"ternbeam/internal/lab/fleet"
)

type commands struct {
	Run   runCommand   `cmd:"" help:"Have a fleet go through a scenario."`
	Check checkCommand `cmd:"" help:"Say what is wrong in scenarios, by line and key."`
}

func main() {
	ctx := kong.Parse(new(commands), kong.Description("Many agents as processes, and their failures."), kong.UsageOnError())
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "ternbeam-fleet:", err)
		os.Exit(1)
	}
}

type runCommand struct {
	Scenario string   `arg:"" type:"existingfile" help:"The scenario (see lab/fleet)."`
	Program  string   `default:"bin/ternbeam" type:"existingfile" help:"The agent's program."`
	Agents   int      `help:"So many agents, whatever the scenario says."`
	Servers  int      `help:"So many servers, whatever the scenario says."`
	All      *float64 `help:"So many seconds of the list service for all agents, whatever the scenario says." placeholder:"S"`
	Rate     *float64 `help:"So many calls a second of each agent's clients, whatever the scenario says."`
	Seed     *uint64  `help:"Another seed."`
	Places   string   `help:"What agents are told of their place and number: none, tenth, tenfold, pairs (two have each place), sides (two that each think they are all) or old (half know an old number)."`
	JSON     string   `help:"Write the report and all that the world saw there." placeholder:"FILE"`
	HTML     string   `help:"Write the report as a page there, with curves over time." placeholder:"FILE"`
	Logs     string   `help:"Keep the configurations and logs of the agents in this folder." placeholder:"FOLDER"`
}

func read(name string) (*fleet.Scenario, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	s, err := fleet.Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s:\n%w", name, err)
	}
	return s, nil
}

// Run runs the scenario.
func (c *runCommand) Run() error {
	s, err := read(c.Scenario)
	if err != nil {
		return err
	}
	if err := s.Change(c.Agents, c.Servers, c.All, c.Rate, c.Seed, c.Places); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	dir := c.Logs
	if dir == "" {
		if dir, err = os.MkdirTemp("", "ternbeam-fleet"); err != nil {
			return err
		}
		defer os.RemoveAll(dir)
	} else if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	report, err := fleet.Run(ctx, s, fleet.Options{Program: c.Program, Dir: dir, Progress: func(line string) { fmt.Fprintln(os.Stderr, line) }})
	if err != nil {
		return err
	}
	for name, write := range map[string]func(io.Writer) error{c.JSON: report.JSON, c.HTML: report.HTML} {
		if name == "" {
			continue
		}
		out, err := os.Create(name)
		if err != nil {
			return err
		}
		if err := errors.Join(write(out), out.Close()); err != nil {
			return err
		}
	}
	if err := report.Table(os.Stdout); err != nil {
		return err
	}
	if n := len(report.Faults); n > 0 {
		return fmt.Errorf("%d expectations broken", n)
	}
	return nil
}

type checkCommand struct {
	Files []string `arg:"" type:"existingfile" help:"Scenarios."`
}

// Run checks the scenarios.
func (c *checkCommand) Run() error {
	bad := 0
	for _, name := range c.Files {
		if _, err := read(name); err != nil {
			bad++
			fmt.Println(err)
			continue
		}
		fmt.Printf("%s: good\n", name)
	}
	if bad > 0 {
		return fmt.Errorf("%d of %d files are bad", bad, len(c.Files))
	}
	return nil
}
