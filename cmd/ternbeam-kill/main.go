// Command ternbeam-kill kills a real agent while it writes down what it has learned, many times, and tells where the kills
// fell and whether each start was from what had been confirmed. See docs/ops/learning.md.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"ternbeam/internal/lab/killer"
)

type command struct {
	Program string `arg:"" help:"The agent's program."`
	Kills   int    `default:"500" help:"How often it is killed."`
	Seed    uint64 `default:"1" help:"For when it is killed."`
}

func main() {
	var c command
	kong.Parse(&c, kong.Description("Kill an agent while it writes."), kong.UsageOnError())
	if err := c.run(); err != nil {
		fmt.Fprintln(os.Stderr, "ternbeam-kill:", err)
		os.Exit(1)
	}
}

func (c *command) run() error {
	dir, err := os.MkdirTemp("", "ternbeam-kill")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	result, err := killer.Run(killer.Options{Program: c.Program, Dir: dir, Kills: c.Kills, Seed: c.Seed})
	result.Table(os.Stdout)
	if err == nil && len(result.Faults) > 0 {
		err = fmt.Errorf("%d faults", len(result.Faults))
	}
	return err
}
