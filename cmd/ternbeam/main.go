// Command ternbeam is a client-side load-balancing agent. Without arguments it serves, configured by the environment:
// NODE_CONFIG names its configuration file, and TMPDIR the folder that it shares with a process that replaces it; without TMPDIR
// no handover takes place. On SIGTERM or SIGINT it answers the calls that it has received and exits. On SIGHUP it reads the
// configuration again.
package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"ternbeam/choice"
	"ternbeam/internal/agent"
	"ternbeam/internal/decide/gossip"
	"ternbeam/internal/host/logqueue"
	"ternbeam/internal/lab/demo"
	"ternbeam/internal/settings/config"
	"ternbeam/internal/settings/peerconf"
	"ternbeam/internal/settings/sourceconf"
	"ternbeam/internal/settings/stateconf"
	"ternbeam/internal/sysio/transient"
	"ternbeam/internal/thrift/thriftmap"
	"ternbeam/internal/translate"
)

type commands struct {
	Run       runCommand       `cmd:"" default:"withargs" help:"Run the agent, configured by the environment (the default command)."`
	Check     checkCommand     `cmd:"" help:"Check configuration files and report errors by line and key."`
	State     stateCommand     `cmd:"" help:"Inspect or reset the learned state that an agent stores."`
	Members   membersCommand   `cmd:"" help:"Show the servers that the sources of a file name, and the source and rule behind each value."`
	Translate translateCommand `cmd:"" help:"Show how a file of shapes translates a message, field by field."`
	Record    recordCommand    `cmd:"" help:"Run a proxy between clients and an agent that records the calls, with some fields redacted."`
	Replay    replayCommand    `cmd:"" help:"Replay a recording of old clients to stand-in servers of the old and the new shape, and report differences."`
	Demo      demoCommand      `cmd:"" help:"Run a demo of the agent on loopback, with a hanging server and a rolling replacement."`
	Help      helpCommand      `cmd:"" help:"Show this help, or the help of a command."`
}

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "ternbeam:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	k, err := kong.New(new(commands), kong.Name("ternbeam"), kong.Description("A client-side load-balancing agent."),
		kong.UsageOnError())
	if err != nil {
		return err
	}
	ctx, err := k.Parse(args)
	if err != nil {
		return err
	}
	return ctx.Run(k)
}

type helpCommand struct {
	Command []string `arg:"" optional:"" help:"A command."`
}

// Run prints the help text.
func (h *helpCommand) Run(k *kong.Kong) error {
	_, err := k.Parse(append(h.Command, "--help"))
	return err
}

type runCommand struct {
	Thrift    string `help:"Accept Thrift calls too, as configured in this file (see deploy/thrift.toml)." placeholder:"FILE"`
	Sources   string `help:"Get servers from the sources in this file (see deploy/sources.toml)." placeholder:"FILE"`
	Peers     string `help:"Exchange server lists with other agents, as configured in this file (see deploy/peers.toml)." placeholder:"FILE"`
	Translate string `help:"Translate between the shapes in this file (see deploy/translate.toml)." placeholder:"FILE"`
	State     string `help:"Store learned state, as configured in this file (see deploy/state.toml)." placeholder:"FILE"`
}

// loadTimeout is how long reading the configuration is retried at startup.
const loadTimeout = 3 * time.Second

// loadConfig reads the configuration and retries after transient I/O errors.
func loadConfig(ctx context.Context) (cfg *config.Config, err error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	err = transient.Retry(ctx, func() error {
		cfg, err = config.Load(os.Getenv)
		return err
	}, isTransientReadError)
	return cfg, err
}

// isTransientReadError reports whether reading a file failed with an error that may go away. The errors given here are permanent:
// there is no readable file at the path.
var isTransientReadError = transient.ErrnoExcept(syscall.ENOENT, syscall.EACCES, syscall.EISDIR, syscall.ENOTDIR, syscall.ELOOP, syscall.ENAMETOOLONG)

// logFlushTimeout is how long the exiting process waits for the reader of its log.
const logFlushTimeout = 100 * time.Millisecond

// Run runs the agent until SIGTERM or SIGINT.
func (r *runCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	reload := make(chan os.Signal, 1) // one pending signal is enough for any number
	signal.Notify(reload, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE) // the agent must survive when the reader of its log exits
	defer signal.Stop(reload)
	cfg, err := loadConfig(ctx)
	if err != nil {
		return err
	}
	var service *thriftmap.Map
	if r.Thrift != "" {
		text, err := os.ReadFile(r.Thrift)
		if err != nil {
			return err
		}
		if service, err = thriftmap.Parse(text, cfg.Module.Classes); err != nil {
			return fmt.Errorf("%s: %w", r.Thrift, err)
		}
	}
	applyLimits(cfg.Limits)
	var sources *sourceconf.Config
	if r.Sources != "" {
		if sources, err = loadSources(r.Sources); err != nil {
			return err
		}
	}
	var peerSettings *gossip.Settings
	if r.Peers != "" {
		text, err := os.ReadFile(r.Peers)
		if err != nil {
			return err
		}
		if peerSettings, err = peerconf.Parse(text); err != nil {
			return fmt.Errorf("%s: %w", r.Peers, err)
		}
	}
	opts := agent.Options{Service: service, Sources: sources, Peers: peerSettings, SharedDir: os.Getenv("TMPDIR")}
	if r.Translate != "" {
		opts.Shapes = func() (*translate.Set, error) { return loadShapes(r.Translate) }
	}
	logWriter := logqueue.New(os.Stderr)
	defer logWriter.Close(logFlushTimeout)
	a, err := agent.NewWithOptions(cfg, opts, slog.New(slog.NewTextHandler(logWriter, nil)))
	if err != nil {
		return err
	}
	if r.State != "" {
		set, err := loadState(r.State)
		if err != nil {
			return err
		}
		a.PersistLearned(set)
	}
	ticker := time.NewTicker(idleGCInterval)
	defer ticker.Stop()
	go collectWhenIdle(ctx, ticker.C)
	return a.Run(ctx, reload)
}

type checkCommand struct {
	Files []string `arg:"" help:"Files to check: an agent's configuration (.json), a Thrift service (.toml), learned state (state.toml, or any with a table half_life), sources (sources.toml, or any with a table dns), peers (peers.toml, or any with a table lists) or shapes (translate.toml, or any with a table shapes). If a configuration is given too, the classes of a Thrift service are checked against its classes."`
}

// Run checks the files.
func (c *checkCommand) Run(k *kong.Kong) error { return check(c.Files, k.Stdout) }

func check(files []string, out io.Writer) error {
	var classes []choice.Class
	bad := 0
	report := func(name string, err error) {
		if err == nil {
			fmt.Fprintf(out, "%s: good\n", name)
			return
		}
		bad++
		all := []error{err}
		if joined, ok := err.(interface{ Unwrap() []error }); ok {
			all = joined.Unwrap()
		}
		for _, err := range all {
			fmt.Fprintf(out, "%s: %v\n", name, err)
		}
	}
	for _, wantTOML := range []bool{false, true} { // the configuration first, since it defines the classes
		for _, name := range files {
			if isTOML := filepath.Ext(name) == ".toml"; isTOML != wantTOML {
				continue
			}
			text, err := os.ReadFile(name)
			switch {
			case err != nil:
			case wantTOML && bytes.Contains(text, []byte("\n[half_life]")) || filepath.Base(name) == "state.toml":
				_, err = stateconf.Parse(text)
			case wantTOML && (bytes.Contains(text, []byte("\n[[dns]]")) || filepath.Base(name) == "sources.toml"):
				_, err = sourceconf.Parse(text)
			case wantTOML && (bytes.Contains(text, []byte("\n[lists]")) || filepath.Base(name) == "peers.toml"):
				_, err = peerconf.Parse(text)
			case wantTOML && (bytes.Contains(text, []byte("\n[shapes.")) || filepath.Base(name) == "translate.toml"):
				_, err = translate.Compile(text)
			case wantTOML:
				_, err = thriftmap.Parse(text, classes)
			default:
				var cfg *config.Config
				if cfg, err = config.Parse(text); err == nil {
					classes = cfg.Module.Classes
				} else {
					err = config.WithPosition(text, err)
				}
			}
			report(name, err)
		}
	}
	if bad > 0 {
		return errors.New("some files have errors")
	}
	return nil
}

type demoCommand struct {
	For    time.Duration `default:"12s" help:"How long the kiosks send calls; at least 4s."`
	Kiosks int           `default:"6" help:"Number of kiosks for each protocol."`
}

// Run runs the demo.
func (d *demoCommand) Run(k *kong.Kong) error {
	if d.For < 4*time.Second || d.Kiosks < 1 {
		return errors.New("the demo needs at least 4s and 1 kiosk")
	}
	return demo.Run(demo.Options{For: d.For, Kiosks: d.Kiosks, Out: k.Stdout})
}
