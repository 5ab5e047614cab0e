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

// stateCheckCmd checks the integrity of a state directory.
type stateCheckCmd struct {
	Dir string `arg:"positional,required" help:"The data_dir of the process."`
}

// Run prints the state of each file. It returns an error with status exitDamaged if there is no complete snapshot.
func (c stateCheckCmd) Run() error {
	files, err := statefile.Inspect(c.Dir)
	if err != nil {
		return err
	}
	liveFiles, tornBytes := 0, int64(0)
	for _, f := range files {
		state := "older, not read"
		switch {
		case !f.Complete:
			state = "not whole, not read"
		case f.Live:
			state = "read at a start"
			liveFiles++
			tornBytes += f.TornBytes
		}
		fmt.Printf("%s: %d bytes, %d entries, %d bytes torn: %s\n", f.Name, f.Bytes, f.Frames, f.TornBytes, state)
	}
	if liveFiles == 0 {
		return exitError{exitDamaged, fmt.Errorf("%s: no whole snapshot", c.Dir)}
	}
	if tornBytes > 0 {
		fmt.Printf("%d bytes at the end of a log were under way when power went; they were never acknowledged\n", tornBytes)
	}
	return nil
}

// stateShowCmd shows the contents of a state directory.
type stateShowCmd struct {
	Dir string `arg:"positional,required" help:"The data_dir of the process."`
}

// Run prints the contents of the state directory.
func (c stateShowCmd) Run() error { return core.Describe(c.Dir, os.Stdout) }
