// Command ternbeam-explore tries every ordering of what can happen to a few calls at a few servers, on the code that
// runs in service, and tells the shortest story that breaks a property. See docs/ops/explore.md.
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
	Replay  replayCommand  `cmd:"" help:"Play a story from a file, step by step."`
	Stories storiesCommand `cmd:"" help:"Write the stories of a world that sockets can force, each into a file."`
	Drive   driveCommand   `cmd:"" help:"Play a story from a file against a real agent on loopback sockets."`
}

type runCommand struct {
	World    string   `help:"A world by name, one of those that tests go through; the other flags are not heeded then."`
	Servers  int      `default:"2" help:"Servers."`
	Calls    []string `default:"safe,keyed,unsafe" help:"The effects of the calls."`
	Attempts int      `default:"2" help:"The most attempts of a call."`
	Places   int      `default:"2" help:"Places for connections."`
	Lists    int      `default:"1" help:"Changes of the list."`
	Leaves   int      `default:"1" help:"Clients that may leave."`
	Cells    int      `default:"2" help:"Groups of servers that drop one another's repeats."`
	Lines    bool     `help:"A connection carries several calls at a time."`
	Past     string   `default:"" enum:",losing,quick,ill,out,absurd" help:"What the module has lived through: servers that lost calls (late ones are copied), or quick ones (late ones are withdrawn); or what it is told to remember, as bad as it can be: all ill, all out, absurd figures."`
	Most     int      `default:"20000000" help:"States at which to stop."`
	Save     string   `help:"Save the story of a fault in this file." placeholder:"FILE"`
}

var effects = []string{choice.Safe: "safe", choice.Keyed: "keyed", choice.Unsafe: "unsafe"}

func (r *runCommand) config() (explore.Config, error) {
	if r.World != "" {
		cfg, ok := explore.Worlds[r.World]
		if !ok {
			return cfg, fmt.Errorf("no world is called %q", r.World)
		}
		return cfg, nil
	}
	cfg := explore.Config{Servers: r.Servers, Attempts: r.Attempts, Places: r.Places, Lists: r.Lists, Leaves: r.Leaves, Cells: r.Cells,
		Past: explore.Past(r.Past), Lines: r.Lines}
	for _, name := range r.Calls {
		e := slices.Index(effects, name)
		if e < 0 {
			return cfg, fmt.Errorf("no effect is called %q", name)
		}
		cfg.Calls = append(cfg.Calls, choice.Effect(e))
	}
	return cfg, nil
}

// errFault is the end of a run that found a fault.
var errFault = errors.New("a property does not hold")

// Run explores.
func (r *runCommand) Run() error {
	cfg, err := r.config()
	if err != nil {
		return err
	}
	debug.SetGCPercent(400) // it makes much that is soon gone
	report := explore.Explore(cfg, r.Most)
	fmt.Printf("%d states, %d transitions, depth %d, %d ends, complete %t, in %v\n", report.States, report.Transitions,
		report.Depth, report.Ends, report.Complete, report.Took.Round(1e6))
	if report.Fault == "" {
		taken, all := report.Coverage()
		fmt.Printf("%d of %d kinds of steps taken", taken, all)
		for _, name := range report.Untaken() {
			fmt.Printf("; never: %s", name)
		}
		fmt.Println()
		return nil
	}
	if _, err := explore.Replay(cfg, report.Story, os.Stdout); err != nil {
		return err
	}
	fmt.Printf("%d steps: %s\n", len(report.Story), report.Fault)
	if r.Save != "" {
		text, err := explore.Tell(cfg, report.Fault, report.Story)
		if err != nil {
			return err
		}
		if err := os.WriteFile(r.Save, text, 0o644); err != nil {
			return err
		}
	}
	return errFault
}

type replayCommand struct {
	File string `arg:"" help:"A story that run saved."`
}

func read(file string) (explore.Config, []explore.Step, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return explore.Config{}, nil, err
	}
	cfg, steps, err := explore.Read(text)
	if err != nil {
		err = fmt.Errorf("%s: %w", file, err)
	}
	return cfg, steps, err
}

// Run plays a story.
func (r *replayCommand) Run() error {
	cfg, steps, err := read(r.File)
	if err != nil {
		return err
	}
	fault, err := explore.Replay(cfg, steps, os.Stdout)
	if err == nil && fault != "" {
		fmt.Println(fault)
		err = errFault
	}
	return err
}

type storiesCommand struct {
	runCommand
	Into string `arg:"" type:"existingdir" help:"The folder for them."`
	Max  int    `default:"1000" help:"The most to be written."`
}

// Run writes stories.
func (s *storiesCommand) Run() error {
	cfg, err := s.config()
	if err != nil {
		return err
	}
	n := 0
	explore.Stories(cfg, drive.Kinds(), func(story []explore.Step) bool {
		if drive.Possible(cfg, story) != nil {
			return true
		}
		var text []byte
		if text, err = explore.Tell(cfg, "", story); err == nil {
			n++
			err = os.WriteFile(filepath.Join(s.Into, fmt.Sprintf("%04d.json", n)), text, 0o644)
		}
		return err == nil && n < s.Max
	})
	fmt.Printf("%d stories\n", n)
	return err
}

type driveCommand struct {
	File        string        `arg:"" help:"A story to its end that breaks no property, as stories writes them."`
	Protocol    string        `default:"http" enum:"http,thrift-binary,thrift-compact" help:"What kiosks and servers speak."`
	Multiplexed bool          `help:"Servers take several calls at a time on a connection (Thrift)."`
	Deadline    time.Duration `default:"1s" help:"Of every call."`
}

// Run drives a story.
func (d *driveCommand) Run() error {
	cfg, steps, err := read(d.File)
	if err != nil {
		return err
	}
	err = drive.Story(context.Background(), cfg, steps, drive.Options{Protocol: d.Protocol, Multiplexed: d.Multiplexed,
		Deadline: d.Deadline, Patience: 10 * time.Second, Seeds: 16})
	if err == nil {
		fmt.Println("the agent does as the story says")
	}
	return err
}

func main() {
	var c commands
	k := kong.Parse(&c, kong.Name("ternbeam-explore"), kong.Description("Try every ordering of a small world."))
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "ternbeam-explore:", err)
		os.Exit(1)
	}
}
