// Command ternbeam-explore tries every ordering of the events in a small world of a few calls and a few servers, on the
// production code, and prints the shortest trace that violates a property. See docs/ops/explore.md.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"time"

	"github.com/alecthomas/kong"

	"ternbeam/choice"
	"ternbeam/internal/lab/drive"
	"ternbeam/internal/lab/explore"
)

type commands struct {
	Run     runCommand     `cmd:"" help:"Explore a world."`
	Replay  replayCommand  `cmd:"" help:"Replay a trace from a file, step by step."`
	Stories storiesCommand `cmd:"" help:"Write the traces of a world whose order can be forced with sockets, each into a file."`
	Drive   driveCommand   `cmd:"" help:"Play a trace from a file against a real agent on loopback sockets."`
}

type runCommand struct {
	World    string   `help:"Name of a predefined world, one of those that the tests explore. The other flags that describe a world are ignored then."`
	Servers  int      `default:"2" help:"Number of servers."`
	Calls    []string `default:"safe,keyed,unsafe" help:"Effects of the calls."`
	Attempts int      `default:"2" help:"Maximum attempts per call."`
	Places   int      `default:"2" help:"Maximum open connections."`
	Lists    int      `default:"1" help:"Maximum changes of the server list."`
	Leaves   int      `default:"1" help:"Maximum clients that disconnect."`
	Cells    int      `default:"2" help:"Number of cells: groups of servers that deduplicate calls among themselves."`
	Lines    bool     `help:"Multiplexed connections: each carries several calls at a time."`
	Past     string   `default:"" enum:",losing,quick,ill,out,absurd" help:"History of the balancer: servers that lost calls (late attempts get a parallel one) or quick servers (late attempts are canceled); or an extreme restored state: all servers failing (ill), ejected or without capacity (out), invalid figures (absurd)."`
	Most     int      `default:"20000000" help:"Maximum number of states, at which the exploration stops."`
	Save     string   `help:"Save the trace to a violated property in this file." placeholder:"FILE"`
}

var effects = []string{choice.Safe: "safe", choice.Keyed: "keyed", choice.Unsafe: "unsafe"}

func (r *runCommand) config() (explore.Config, error) {
	if r.World != "" {
		cfg, ok := explore.Worlds[r.World]
		if !ok {
			return cfg, fmt.Errorf("unknown world %q", r.World)
		}
		return cfg, nil
	}
	cfg := explore.Config{Servers: r.Servers, Attempts: r.Attempts, Places: r.Places, Lists: r.Lists, Leaves: r.Leaves, Cells: r.Cells,
		Past: explore.Past(r.Past), Lines: r.Lines}
	for _, name := range r.Calls {
		e := slices.Index(effects, name)
		if e < 0 {
			return cfg, fmt.Errorf("unknown effect %q", name)
		}
		cfg.Calls = append(cfg.Calls, choice.Effect(e))
	}
	return cfg, nil
}

// errViolation is returned by commands that found a violated property.
var errViolation = errors.New("a property is violated")

// Run explores a world and prints the result.
func (r *runCommand) Run() error {
	cfg, err := r.config()
	if err != nil {
		return err
	}
	debug.SetGCPercent(400) // most allocations are short-lived
	report := explore.Explore(cfg, r.Most)
	fmt.Printf("%d states, %d transitions, depth %d, %d ends, complete %t, in %v\n", report.States, report.Transitions,
		report.Depth, report.EndStates, report.Complete, report.Elapsed.Round(1e6))
	if report.Fault == "" {
		taken, all := report.Coverage()
		fmt.Printf("%d of %d kinds of steps taken", taken, all)
		for _, name := range report.Untaken() {
			fmt.Printf("; never: %s", name)
		}
		fmt.Println()
		return nil
	}
	if _, err := explore.Replay(cfg, report.Trace, os.Stdout); err != nil {
		return err
	}
	fmt.Printf("%d steps: %s\n", len(report.Trace), report.Fault)
	if r.Save != "" {
		text, err := explore.EncodeTrace(cfg, report.Fault, report.Trace)
		if err != nil {
			return err
		}
		if err := os.WriteFile(r.Save, text, 0o644); err != nil {
			return err
		}
	}
	return errViolation
}

type replayCommand struct {
	File string `arg:"" help:"A trace saved by run."`
}

func readTrace(file string) (explore.Config, []explore.Step, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return explore.Config{}, nil, err
	}
	cfg, steps, err := explore.DecodeTrace(text)
	if err != nil {
		err = fmt.Errorf("%s: %w", file, err)
	}
	return cfg, steps, err
}

// Run replays a trace.
func (r *replayCommand) Run() error {
	cfg, steps, err := readTrace(r.File)
	if err != nil {
		return err
	}
	fault, err := explore.Replay(cfg, steps, os.Stdout)
	if err == nil && fault != "" {
		fmt.Println(fault)
		err = errViolation
	}
	return err
}

type storiesCommand struct {
	runCommand
	Into string `arg:"" type:"existingdir" help:"Folder for the files."`
	Max  int    `default:"1000" help:"Maximum number of traces."`
}

// Run writes traces.
func (s *storiesCommand) Run() error {
	cfg, err := s.config()
	if err != nil {
		return err
	}
	n := 0
	explore.ForEachTrace(cfg, drive.StepKinds(), func(trace []explore.Step) bool {
		if drive.CheckForceable(cfg, trace) != nil {
			return true
		}
		var text []byte
		if text, err = explore.EncodeTrace(cfg, "", trace); err == nil {
			n++
			err = os.WriteFile(filepath.Join(s.Into, fmt.Sprintf("%04d.json", n)), text, 0o644)
		}
		return err == nil && n < s.Max
	})
	fmt.Printf("%d stories\n", n)
	return err
}

type driveCommand struct {
	File        string        `arg:"" help:"A complete trace that violates no property, as written by the stories command."`
	Protocol    string        `default:"http" enum:"http,thrift-binary,thrift-compact" help:"Protocol of kiosks and servers."`
	Multiplexed bool          `help:"Multiplexed connections to servers (Thrift)."`
	Deadline    time.Duration `default:"1s" help:"Deadline of every call."`
}

// Run drives a trace.
func (d *driveCommand) Run() error {
	cfg, steps, err := readTrace(d.File)
	if err != nil {
		return err
	}
	err = drive.Run(context.Background(), cfg, steps, drive.Options{Protocol: d.Protocol, Multiplexed: d.Multiplexed,
		Deadline: d.Deadline, StepTimeout: 10 * time.Second, Seeds: 16})
	if err == nil {
		fmt.Println("the agent behaved as in the trace")
	}
	return err
}

func main() {
	var c commands
	k := kong.Parse(&c, kong.Name("ternbeam-explore"), kong.Description("Try every ordering of the events in a small world."))
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "ternbeam-explore:", err)
		os.Exit(1)
	}
}
