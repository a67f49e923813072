package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"

	"ternbeam/choice"
	"ternbeam/internal/decide/calltrack"
	"ternbeam/internal/decide/membership"
	"ternbeam/internal/host/members"
	"ternbeam/internal/settings/sourceconf"
)

// loadSources reads the configuration of the sources of servers.
func loadSources(name string) (*sourceconf.Config, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	cfg, err := sourceconf.Parse(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return cfg, nil
}

type membersCommand struct {
	File  string        `arg:"" help:"The file that names the sources (see deploy/sources.toml)."`
	List  string        `help:"Address of the platform's list service, an additional source; without it only the sources in the file are used." placeholder:"HOST:PORT"`
	For   time.Duration `default:"3s" help:"How long to wait for the sources."`
	Watch bool          `help:"Keep running, and show the view again at each change."`
	JSON  bool          `name:"json" help:"Print JSON."`
}

// Run queries the sources and prints the merged view.
func (c *membersCommand) Run(k *kong.Kong) error {
	cfg, err := loadSources(c.File)
	if err != nil {
		return err
	}
	if c.List == "" && len(cfg.DNS) == 0 {
		return errors.New("no source: the file has none, and --list is not given")
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	h := members.New(members.Settings{Config: *cfg, Discovery: c.List, Log: slog.New(slog.NewTextHandler(os.Stderr, nil))})
	if !c.Watch {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.For)
		defer cancel()
		h.Feed(ctx, func([]calltrack.Entry) {})
		return c.printMembers(k.Stdout, h.Members())
	}
	h.Feed(ctx, func(changes []calltrack.Entry) {
		fmt.Fprintf(k.Stdout, "%s: %d changes\n", time.Now().Format(time.TimeOnly), len(changes))
		if e := c.printMembers(k.Stdout, h.Members()); e != nil {
			err = e
			stop()
		}
	})
	return err
}

var stateNames = map[choice.State]string{choice.Ready: "ready", choice.Draining: "draining", choice.Removed: "gone"}

func (c *membersCommand) printMembers(out io.Writer, all []membership.MemberView) error {
	if c.JSON {
		type fact struct {
			Name   string  `json:"name"`
			Value  string  `json:"value"`
			Source string  `json:"source"`
			Age    float64 `json:"age_s"`
			Counts bool    `json:"counts"`
		}
		type member struct {
			ID    string   `json:"id"`
			State string   `json:"state"`
			Tier  int      `json:"tier"`
			Addrs []string `json:"addrs"`
			Rule  string   `json:"rule"`
			Facts []fact   `json:"facts"`
		}
		shown := []member{}
		for _, v := range all {
			m := member{ID: v.ID, State: stateNames[v.State], Tier: v.Tier, Addrs: v.Addrs, Rule: v.Rule.String()}
			for _, f := range v.Facts {
				m.Facts = append(m.Facts, fact{f.Name, f.Value, f.Source, f.Age.Seconds(), f.InEffect})
			}
			shown = append(shown, m)
		}
		return writeJSON(out, shown)
	}
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "server\tstate\ttier\trule\tfact\tsays\tsource\tage\tcounts")
	for _, v := range all {
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t\t\t\t\t\n", v.ID, stateNames[v.State], v.Tier, v.Rule)
		for _, f := range v.Facts {
			fmt.Fprintf(w, "\t\t\t\t%s\t%s\t%s\t%v\t%t\n", f.Name, f.Value, f.Source, f.Age.Round(time.Millisecond), f.InEffect)
		}
	}
	return w.Flush()
}
