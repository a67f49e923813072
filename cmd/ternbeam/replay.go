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
	Listen   string   `required:"" help:"Address on which clients connect instead of the agent's."`
	To       string   `required:"" help:"The agent's address."`
	Protocol string   `enum:"http,thrift" default:"http" help:"Protocol of the clients."`
	Out      string   `required:"" help:"File for the recording, which must not exist." type:"path"`
	Redact   []string `help:"Fields to redact: names of headers, of query or form fields and of JSON members; path for the last part of the path; or Thrift field ids such as 1.4."`
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
	fmt.Fprintf(k.Stdout, "%d exchanges recorded, %d left out\n", tap.Recorded(), tap.Dropped())
	return err
}

type replayCommand struct {
	Recording string   `arg:"" help:"A recording by ternbeam record: requests in the old shape of a refund, each with a unique id." type:"existingfile"`
	Translate string   `required:"" help:"The file of shapes (see deploy/translate.toml)." type:"existingfile"`
	Servers   []string `enum:"http,thrift-binary,thrift-compact" default:"http,thrift-binary,thrift-compact" help:"Protocols of the new servers; the recording is replayed for each of them."`
}

// Run replays the recording and reports the differences.
func (c *replayCommand) Run(k *kong.Kong) error {
	f, err := os.Open(c.Recording)
	if err != nil {
		return err
	}
	all, err := replay.ReadRecording(f)
	f.Close()
	if err != nil {
		return fmt.Errorf("%s: %w", c.Recording, err)
	}
	different := 0
	for _, protocol := range c.Servers {
		n, err := c.play(k.Stdout, all, protocol)
		if err != nil {
			return err
		}
		different += n
	}
	if different > 0 {
		return fmt.Errorf("%d calls had different results", different)
	}
	return nil
}

// play replays a recording to new servers of a protocol, and returns how many calls had other results than with old servers.
func (c *replayCommand) play(out io.Writer, all []replay.Exchange, protocol string) (int, error) {
	shapes := func() (*translate.Set, error) { return loadShapes(c.Translate) }
	discardLog := slog.New(slog.DiscardHandler)
	var old []standin.Options
	for _, s := range []string{"http", "thrift-binary", "thrift-compact"} { // calls go to the server of their protocol
		old = append(old, standin.Options{ID: s, Protocol: s, Shapes: []string{"1"}, NoLoad: true})
	}
	before, err := replay.NewWorld(standin.Platform{}, shapes, discardLog, old...)
	if err != nil {
		return 0, err
	}
	defer before.Close()
	after, err := replay.NewWorld(standin.Platform{}, shapes, discardLog, standin.Options{ID: "new", Protocol: protocol, Shapes: []string{"2"}})
	if err != nil {
		return 0, err
	}
	defer after.Close()
	r := replay.Compare(before, after, all, 30*time.Second)
	fmt.Fprintf(out, "to servers of %s: %d calls, %d with the same result, %d that the new shape can't represent, %d with a different result\n",
		protocol, len(all), r.Same, len(r.Untranslatable), len(r.Different))
	for _, line := range append(r.Untranslatable, r.Different...) {
		fmt.Fprintln(out, " ", line)
	}
	return len(r.Different), nil
}
