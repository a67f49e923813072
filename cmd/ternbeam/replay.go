package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"ternbeam/internal/lab/replay"
	"ternbeam/internal/lab/standin"
	"ternbeam/internal/translate"
)

type recordCommand struct {
	Listen   string   `required:"" help:"Where clients connect in place of the agent."`
	To       string   `required:"" help:"The agent's address."`
	Protocol string   `enum:"http,thrift" default:"http" help:"What clients speak there."`
	Out      string   `required:"" help:"The recording, which must not be there yet." type:"path"`
	Redact   []string `help:"Fields whose values are hidden: names of headers, of fields of queries and forms and of members of JSON; path, the last part of a path; or numbers such as 1.4, fields of Thrift."`
}

// Run records until SIGTERM or SIGINT.
func (c *recordCommand) Run(k *kong.Kong) (err error) {
	redactor, err := replay.NewRedactor(c.Redact)
	if err != nil {
		return err
	}
	out, err := os.OpenFile(c.Out, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, out.Close()) }()
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	tap := &replay.Tap{To: c.To, Redactor: redactor, Log: slog.New(slog.NewTextHandler(os.Stderr, nil))}
	err = tap.Run(ctx, c.Protocol, l, out)
	fmt.Fprintf(k.Stdout, "%d exchanges recorded, %d left out\n", tap.Kept(), tap.Left())
	return err
}

type replayCommand struct {
	Recording string   `arg:"" help:"Made by ternbeam record: requests in the old shape of a refund, each with an id of its own." type:"existingfile"`
	Translate string   `required:"" help:"The file of shapes (see deploy/translate.toml)." type:"existingfile"`
	Servers   []string `enum:"http,thrift-binary,thrift-compact" default:"http,thrift-binary,thrift-compact" help:"What the new servers speak, each in turn."`
}

// Run plays it and says what differs.
func (c *replayCommand) Run(k *kong.Kong) error {
	f, err := os.Open(c.Recording)
	if err != nil {
		return err
	}
	all, err := replay.Read(f)
	f.Close()
	if err != nil {
		return fmt.Errorf("%s: %w", c.Recording, err)
	}
	different := 0
	for _, speech := range c.Servers {
		n, err := c.play(k.Stdout, all, speech)
		if err != nil {
			return err
		}
		different += n
	}
	if different > 0 {
		return fmt.Errorf("%d calls fared otherwise", different)
	}
	return nil
}

// play plays a recording to new servers that speak so, and returns how many calls fared otherwise than with old ones.
func (c *replayCommand) play(out io.Writer, all []replay.Exchange, speech string) (int, error) {
	shapes := func() (*translate.Set, error) { return loadShapes(c.Translate) }
	quiet := slog.New(slog.DiscardHandler)
	var old []standin.Options
	for _, s := range []string{"http", "thrift-binary", "thrift-compact"} { // calls go to the one that speaks as they do
		old = append(old, standin.Options{ID: s, Protocol: s, Shapes: []string{"1"}, NoLoad: true})
	}
	before, err := replay.NewWorld(standin.Platform{}, shapes, quiet, old...)
	if err != nil {
		return 0, err
	}
	defer before.Close()
	after, err := replay.NewWorld(standin.Platform{}, shapes, quiet, standin.Options{ID: "new", Protocol: speech, Shapes: []string{"2"}})
	if err != nil {
		return 0, err
	}
	defer after.Close()
	r := replay.Compare(before, after, all, 30*time.Second)
	fmt.Fprintf(out, "to servers of %s: %d calls, %d the same, %d that the new shape can't hold, %d otherwise\n", speech, len(all), r.Same,
		len(r.Unfit), len(r.Different))
	for _, line := range append(r.Unfit, r.Different...) {
		fmt.Fprintln(out, " ", line)
	}
	return len(r.Different), nil
}
