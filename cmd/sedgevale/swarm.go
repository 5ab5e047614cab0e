package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"sedgevale/internal/fleetsim"
)

type swarmCmd struct {
	File  string `arg:"positional,required" help:"The experiment (docs/SWARM.md)."`
	JSON  string `arg:"--json" placeholder:"FILE" help:"Write a line of JSON for each play; - for standard output."`
	HTML  string `arg:"--html" placeholder:"FILE" help:"Write a page with plots."`
	Quiet bool   `arg:"-q,--quiet" help:"No progress bar."`
}

// Run plays an experiment and prints how its variants compare.
func (c swarmCmd) Run() error {
	if err := existing(c.File); err != nil {
		return err
	}
	f, err := fleetsim.Read(c.File)
	if err != nil {
		return err
	}
	lines, end, err := create(c.JSON)
	if err != nil {
		return err
	}
	played, total := 0, len(f.Schedulers)*len(f.Variants)*f.Seeds
	var failed error
	e := json.NewEncoder(lines)
	all := fleetsim.Run(&f, func(r fleetsim.Result) {
		failed = errors.Join(failed, e.Encode(r))
		if played++; !c.Quiet && terminal(os.Stderr) {
			fmt.Fprintf(os.Stderr, "\r[%-40s] %d of %d plays", strings.Repeat("=", 40*played/total), played, total)
		}
	})
	if !c.Quiet && terminal(os.Stderr) {
		fmt.Fprintln(os.Stderr)
	}
	if err := errors.Join(failed, end()); err != nil {
		return fmt.Errorf("%s: %w", c.JSON, err)
	}
	if c.HTML != "" {
		page, end, err := create(c.HTML)
		if err != nil {
			return err
		}
		if err := errors.Join(fleetsim.HTML(page, &f, all), end()); err != nil {
			return fmt.Errorf("%s: %w", c.HTML, err)
		}
	}
	if c.JSON == "-" {
		return nil
	}
	return fleetsim.Table(os.Stdout, &f, all)
}

// create opens a file to write, standard output for "-", and nothing for "".
func create(path string) (io.Writer, func() error, error) {
	switch path {
	case "":
		return io.Discard, func() error { return nil }, nil
	case "-":
		return os.Stdout, func() error { return nil }, nil
	}
	f, err := os.Create(path)
	if err != nil {
		return nil, nil, err
	}
	return f, f.Close, nil
}

func terminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
