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

// fleetSimCmd simulates a fleet of schedulers in virtual time.
type fleetSimCmd struct {
	File  string `arg:"positional,required" help:"The experiment (docs/FLEET-SIMULATION.md)."`
	JSON  string `arg:"--json" placeholder:"FILE" help:"Write a line of JSON for each run; - for standard output."`
	HTML  string `arg:"--html" placeholder:"FILE" help:"Write a page with plots."`
	Quiet bool   `arg:"-q,--quiet" help:"No progress bar."`
}

// Run runs an experiment and prints a comparison of its variants.
func (c fleetSimCmd) Run() error {
	if err := requireFiles(c.File); err != nil {
		return err
	}
	experiment, err := fleetsim.Read(c.File)
	if err != nil {
		return err
	}
	results, err := c.simulate(&experiment)
	if err != nil {
		return err
	}
	if c.HTML != "" {
		if err := writePlots(c.HTML, &experiment, results); err != nil {
			return err
		}
	}
	if c.JSON == "-" {
		return nil
	}
	return fleetsim.Table(os.Stdout, &experiment, results)
}

// simulate runs all variants, writes each result as a line of JSON and shows a progress bar on a terminal.
func (c fleetSimCmd) simulate(experiment *fleetsim.Experiment) ([]fleetsim.Result, error) {
	output, closeOutput, err := createOutput(c.JSON)
	if err != nil {
		return nil, err
	}
	progress := !c.Quiet && isTerminal(os.Stderr)
	done, total := 0, len(experiment.Schedulers)*len(experiment.Variants)*experiment.Seeds
	encoder := json.NewEncoder(output)
	var encodeErr error
	results := fleetsim.Run(experiment, func(result fleetsim.Result) {
		encodeErr = errors.Join(encodeErr, encoder.Encode(result))
		if done++; progress {
			fmt.Fprintf(os.Stderr, "\r[%-*s] %d of %d plays", progressWidth, strings.Repeat("=", progressWidth*done/total), done, total)
		}
	})
	if progress {
		fmt.Fprintln(os.Stderr)
	}
	if err := errors.Join(encodeErr, closeOutput()); err != nil {
		return nil, fmt.Errorf("%s: %w", c.JSON, err)
	}
	return results, nil
}

// progressWidth is the width of the progress bar in characters.
const progressWidth = 40

// writePlots writes an HTML page with plots of the results.
func writePlots(path string, experiment *fleetsim.Experiment, results []fleetsim.Result) error {
	page, closePage, err := createOutput(path)
	if err != nil {
		return err
	}
	if err := errors.Join(fleetsim.HTML(page, experiment, results), closePage()); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}

// createOutput creates a file for writing. The path "-" selects standard output, and the empty path discards the output.
func createOutput(path string) (out io.Writer, closeOut func() error, err error) {
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

func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
