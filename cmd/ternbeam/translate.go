package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"

	"ternbeam/internal/lab/replay"
	"ternbeam/internal/thrift/thriftwire"
	"ternbeam/internal/translate"
)

func loadShapes(file string) (*translate.Set, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	set, err := translate.Compile(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return set, nil
}

type translateCommand struct {
	File     string `arg:"" help:"Of shapes and mappings (see deploy/translate.toml)."`
	From     string `help:"The shape of the message. Without it, what each mapping loses is shown." placeholder:"SHAPE"`
	To       string `help:"The shape that it is to have." placeholder:"SHAPE"`
	Reply    bool   `help:"The message is a reply in the shape --to, which goes back."`
	Encoding string `enum:"binary,compact" default:"binary" help:"Of what is written in Thrift."`
	Message  string `default:"-" help:"A file with the message; - for standard input. In HTTP: JSON with method, target, headers and body (a text) or body64. In Thrift: JSON with thrift64, the message without its frame."`
}

// messageText is a message as a recording has it, or with its body as a text.
type messageText struct {
	replay.Message
	Text string `json:"body,omitempty"`
}

// Run shows it.
func (c *translateCommand) Run(k *kong.Kong) error {
	set, err := loadShapes(c.File)
	if err != nil {
		return err
	}
	if c.From == "" && c.To == "" {
		return losses(set, k.Stdout)
	}
	plan := set.Plan(c.From, c.To)
	if plan == nil {
		return fmt.Errorf("%s has no mapping from %q to %q", c.File, c.From, c.To)
	}
	in := io.Reader(os.Stdin)
	if c.Message != "-" {
		f, err := os.Open(c.Message)
		if err != nil {
			return err
		}
		defer f.Close()
		in = f
	}
	d := json.NewDecoder(in)
	d.DisallowUnknownFields()
	var text messageText
	if err := d.Decode(&text); err != nil {
		return fmt.Errorf("the message: %w", err)
	}
	return showFates(k.Stdout, plan, c.Reply, text, c.Encoding)
}

// losses says of each mapping what it loses.
func losses(set *translate.Set, out io.Writer) error {
	for _, p := range set.Plans {
		fmt.Fprintf(out, "%s to %s: ", p.From.Name, p.To.Name)
		if all := p.Loses(); len(all) > 0 {
			fmt.Fprintf(out, "loses %s\n", strings.Join(all, "; "))
		} else {
			fmt.Fprintln(out, "loses nothing")
		}
	}
	return nil
}

// showFates translates a message and says what became of each of its fields.
func showFates(out io.Writer, plan *translate.Plan, reply bool, text messageText, encoding string) error {
	m := &translate.Message{Method: text.Method, Target: text.Target, Body: append([]byte(text.Text), text.Body...), Thrift: text.Thrift}
	words := translate.Words{Encoding: thriftwire.Binary, Envelope: translate.Envelope{Left: time.Second}}
	if encoding == "compact" {
		words.Encoding = thriftwire.Compact
	}
	for _, h := range text.Headers {
		m.Header = append(m.Header, translate.Header{Name: h[0], Value: h[1]})
		switch {
		case strings.EqualFold(h[0], "Idempotency-Key"):
			words.Envelope.Idempotency = h[1]
		case strings.EqualFold(h[0], "X-Correlation-Id"):
			words.Envelope.ID = h[1]
		case strings.EqualFold(h[0], "X-Account"):
			words.Envelope.Tenant = h[1]
		}
	}
	fates, err := plan.Fates(m, reply)
	table := tabwriter.NewWriter(out, 2, 8, 2, ' ', 0)
	fmt.Fprintln(table, "read\tvalue\twritten\tvalue")
	for _, f := range fates {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", f.From, f.Was, f.To, f.Becomes)
	}
	table.Flush()
	if err != nil {
		return err
	}
	var made *translate.Message
	if reply {
		made, err = plan.Reply(m, words)
	} else {
		made, err = plan.Request(m, words)
	}
	if err != nil {
		return err
	}
	fmt.Fprintln(out)
	if made.Thrift != nil {
		_, err := fmt.Fprintln(out, base64.StdEncoding.EncodeToString(made.Thrift))
		return err
	}
	if made.Method != "" {
		fmt.Fprintln(out, made.Method, made.Target)
	}
	for _, h := range made.Header {
		fmt.Fprintf(out, "%s: %s\n", h.Name, h.Value)
	}
	_, err = fmt.Fprintf(out, "\n%s\n", made.Body)
	return err
}
