// Command ternbeam-kill repeatedly kills a real agent while it writes its learned state. It reports which operations were
// interrupted and whether each start loaded the confirmed state. See docs/ops/learning.md.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"ternbeam/internal/lab/killer"
)

type command struct {
	Program string `arg:"" help:"Path of the agent's program."`
	Kills   int    `default:"500" help:"Number of kills."`
	Seed    uint64 `default:"1" help:"Seed of the times of the kills."`
}

func main() {
	var c command
	kong.Parse(&c, kong.Description("Repeatedly kill an agent while it writes its learned state, and check what it stored."), kong.UsageOnError())
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
	result.WriteTable(os.Stdout)
	if err == nil && len(result.Faults) > 0 {
		err = fmt.Errorf("%d faults", len(result.Faults))
	}
	return err
}
