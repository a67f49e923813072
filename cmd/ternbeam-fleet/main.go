// Command ternbeam-fleet runs many agents as processes, with model servers and a list service, and injects failures as a scenario
// says. See docs/ops/fleet-start.md.
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
	Run   runCommand   `cmd:"" help:"Run a fleet through a scenario."`
	Check checkCommand `cmd:"" help:"Check scenarios and report problems by line and key."`
}

func main() {
	ctx := kong.Parse(new(commands), kong.Description("Runs many agents as processes and injects failures."), kong.UsageOnError())
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "ternbeam-fleet:", err)
		os.Exit(1)
	}
}

type runCommand struct {
	Scenario string   `arg:"" type:"existingfile" help:"Scenario file (see lab/fleet)."`
	Program  string   `default:"bin/ternbeam" type:"existingfile" help:"Path of the agent's program."`
	Agents   int      `help:"Number of agents, instead of the scenario's."`
	Servers  int      `help:"Number of servers, instead of the scenario's."`
	All      *float64 `help:"Seconds that the list service needs to answer all agents, instead of the scenario's." placeholder:"S"`
	Rate     *float64 `help:"Calls per second of each agent's clients, instead of the scenario's."`
	Seed     *uint64  `help:"Seed, instead of the scenario's."`
	Places   string   `help:"What agents are told of their rank and number: none, tenth, tenfold, pairs (each rank is given to two agents), sides (two halves that each believe to be all agents) or old (half know an old number)."`
	JSON     string   `help:"Write the report and its record of events to this file, as JSON." placeholder:"FILE"`
	HTML     string   `help:"Write the report to this file as an HTML page with curves over time." placeholder:"FILE"`
	Logs     string   `help:"Keep the agents' configurations and logs in this folder." placeholder:"FOLDER"`
}

// readScenario reads and parses a scenario file.
func readScenario(name string) (*fleet.Scenario, error) {
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

// Run runs the scenario, writes the reports and prints the table. It returns an error if an expectation was violated.
func (c *runCommand) Run() error {
	s, err := readScenario(c.Scenario)
	if err != nil {
		return err
	}
	if err := s.Override(c.Agents, c.Servers, c.All, c.Rate, c.Seed, c.Places); err != nil {
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
		return fmt.Errorf("%d expectations violated", n)
	}
	return nil
}

type checkCommand struct {
	Files []string `arg:"" type:"existingfile" help:"Scenario files."`
}

// Run checks scenario files and prints their problems. It returns an error if any file has one.
func (c *checkCommand) Run() error {
	invalid := 0
	for _, name := range c.Files {
		if _, err := readScenario(name); err != nil {
			invalid++
			fmt.Println(err)
			continue
		}
		fmt.Printf("%s: good\n", name)
	}
	if invalid > 0 {
		return fmt.Errorf("%d of %d files are invalid", invalid, len(c.Files))
	}
	return nil
}
