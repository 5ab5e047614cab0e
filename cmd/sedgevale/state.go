package main

import (
	"fmt"
	"os"

	"sedgevale/internal/system/core"
	"sedgevale/internal/system/statefile"
)

// stateCmd inspects the state directory of a stopped core scheduler.
type stateCmd struct {
	Check *stateCheckCmd `arg:"subcommand:check" help:"Check that all is intact; exit status 2 if a start would lose anything."`
	Show  *stateShowCmd  `arg:"subcommand:show" help:"Show what it holds."`
}

type stateCheckCmd struct {
	Dir string `arg:"positional,required" help:"The data_dir of the process."`
}

// Run prints the state of each file, and fails with exitDamaged if there is no intact snapshot.
func (c stateCheckCmd) Run() error {
	files, err := statefile.Inspect(c.Dir)
	if err != nil {
		return err
	}
	live, torn := 0, int64(0)
	for _, f := range files {
		state := "older, not read"
		switch {
		case !f.Complete:
			state = "not whole, not read"
		case f.Live:
			state = "read at a start"
			live++
			torn += f.Torn
		}
		fmt.Printf("%s: %d bytes, %d entries, %d bytes torn: %s\n", f.Name, f.Bytes, f.Frames, f.Torn, state)
	}
	if live == 0 {
		return exitError{exitDamaged, fmt.Errorf("%s: no whole snapshot", c.Dir)}
	}
	if torn > 0 {
		fmt.Printf("%d bytes at the end of a log were under way when power went; they were never acknowledged\n", torn)
	}
	return nil
}

type stateShowCmd struct {
	Dir string `arg:"positional,required" help:"The data_dir of the process."`
}

// Run prints what a state directory holds.
func (c stateShowCmd) Run() error { return core.Describe(c.Dir, os.Stdout) }
