package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"sedgevale/internal/scale"
)

type scaleCmd struct {
	File   string `arg:"positional,required" help:"What is to be run (docs/SCALE.md)."`
	JSON   string `arg:"--json" placeholder:"FILE" help:"Write a line of JSON for each point and each fit; - for standard output."`
	Binary string `arg:"--binary" placeholder:"PROGRAM" help:"What the real schedulers are started from. Without it: this program."`
	Dir    string `arg:"--dir" placeholder:"DIR" help:"Keep files and logs there. Without it they go when the run ends."`
	Quiet  bool   `arg:"-q,--quiet" help:"Do not tell which point is under way."`
}

// Run measures and prints a table. On SIGINT and SIGTERM it ends early and leaves no process behind.
func (c scaleCmd) Run() error {
	if err := existing(c.File); err != nil {
		return err
	}
	machine, err := scale.ThisMachine()
	if err != nil {
		return err
	}
	f, err := scale.Read(c.File, machine)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	lines, end, err := create(c.JSON)
	if err != nil {
		return err
	}
	o := scale.Options{Binary: c.Binary, Dir: c.Dir}
	if !c.Quiet {
		o.Progress = func(at, of int, p scale.Point) {
			fmt.Fprintf(os.Stderr, "point %d of %d: %d workers, %d teams, %d running, %g starts a second, %d schedulers\n", at, of, p.Size.Workers,
				p.Size.Teams, p.Size.Running, p.Size.StartsPerS, p.Size.Schedulers)
		}
	}
	var failed error
	e := json.NewEncoder(lines)
	began := time.Now()
	all, err := scale.Run(ctx, &f, o, func(r scale.Result) { failed = errors.Join(failed, e.Encode(r)) })
	took := time.Since(began)
	if errors.Is(err, context.Canceled) {
		err = fmt.Errorf("ended early, after %d points", len(all))
	}
	for _, one := range scale.Fits(&f, all) {
		failed = errors.Join(failed, e.Encode(one))
	}
	if ended := errors.Join(failed, end()); ended != nil {
		err = errors.Join(err, fmt.Errorf("%s: %w", c.JSON, ended))
	}
	if c.JSON != "-" && len(all) > 0 {
		err = errors.Join(err, scale.Table(os.Stdout, &f, all, took))
	}
	return err
}
