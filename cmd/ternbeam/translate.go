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
	File     string `arg:"" help:"The file of shapes and mappings (see deploy/translate.toml)."`
	From     string `help:"The shape of the message. Without --from and --to, the losses of each mapping are shown." placeholder:"SHAPE"`
	To       string `help:"The shape to translate to." placeholder:"SHAPE"`
	Reply    bool   `help:"The message is a reply in the shape --to, to be translated back to --from."`
	Encoding string `enum:"binary,compact" default:"binary" help:"Encoding of the output in Thrift."`
	Message  string `default:"-" help:"A file with the message; - for standard input. HTTP: JSON with method, target, headers and body (text) or body64. Thrift: JSON with thrift64, the message without its frame."`
}

// messageInput is a message in the format of a recording, or with its body as text.
type messageInput struct {
	replay.Message
	Text string `json:"body,omitempty"`
}

// Run translates the message and prints the result, or the losses of each mapping.
func (c *translateCommand) Run(k *kong.Kong) error {
	set, err := loadShapes(c.File)
	if err != nil {
		return err
	}
	if c.From == "" && c.To == "" {
		return printLosses(set, k.Stdout)
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
	var input messageInput
	if err := d.Decode(&input); err != nil {
		return fmt.Errorf("reading the message: %w", err)
	}
	return printTrace(k.Stdout, plan, c.Reply, input, c.Encoding)
}

// printLosses prints what each mapping loses.
func printLosses(set *translate.Set, out io.Writer) error {
	for _, p := range set.Plans {
		fmt.Fprintf(out, "%s to %s: ", p.From.Name, p.To.Name)
		if all := p.Losses(); len(all) > 0 {
			fmt.Fprintf(out, "loses %s\n", strings.Join(all, "; "))
		} else {
			fmt.Fprintln(out, "loses nothing")
		}
	}
	return nil
}

// printTrace translates a message and prints what becomes of each of its fields, then the translated message.
func printTrace(out io.Writer, plan *translate.Plan, reply bool, input messageInput, encoding string) error {
	m := &translate.Message{Method: input.Method, Target: input.Target, Body: append([]byte(input.Text), input.Body...), Thrift: input.Thrift}
	params := translate.WriteOptions{Encoding: thriftwire.Binary, Envelope: translate.Envelope{TimeLeft: time.Second}}
	if encoding == "compact" {
		params.Encoding = thriftwire.Compact
	}
	for _, h := range input.Headers {
		m.Header = append(m.Header, translate.Header{Name: h[0], Value: h[1]})
		switch {
		case strings.EqualFold(h[0], "Idempotency-Key"):
			params.Envelope.IdempotencyKey = h[1]
		case strings.EqualFold(h[0], "X-Correlation-Id"):
			params.Envelope.ID = h[1]
		case strings.EqualFold(h[0], "X-Account"):
			params.Envelope.Tenant = h[1]
		}
	}
	traces, err := plan.Trace(m, reply)
	table := tabwriter.NewWriter(out, 2, 8, 2, ' ', 0)
	fmt.Fprintln(table, "read\tvalue\twritten\tvalue")
	for _, f := range traces {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", f.From, f.FromValue, f.To, f.ToValue)
	}
	table.Flush()
	if err != nil {
		return err
	}
	var translated *translate.Message
	if reply {
		translated, err = plan.Reply(m, params)
	} else {
		translated, err = plan.Request(m, params)
	}
	if err != nil {
		return err
	}
	fmt.Fprintln(out)
	if translated.Thrift != nil {
		_, err := fmt.Fprintln(out, base64.StdEncoding.EncodeToString(translated.Thrift))
		return err
	}
	if translated.Method != "" {
		fmt.Fprintln(out, translated.Method, translated.Target)
	}
	for _, h := range translated.Header {
		fmt.Fprintf(out, "%s: %s\n", h.Name, h.Value)
	}
	_, err = fmt.Fprintf(out, "\n%s\n", translated.Body)
	return err
}
