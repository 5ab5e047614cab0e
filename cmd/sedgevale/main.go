// Sedgevale is a job scheduler for a fleet of workers.
package main

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"

	"github.com/alecthomas/kong"

	"sedgevale/internal/haproxy"
	"sedgevale/scheduler"
)

type cli struct {
	Serve   serveCmd   `cmd:"" help:"Schedule jobs until SIGTERM; SIGHUP reads the file again."`
	Import  importCmd  `cmd:"" help:"Make an operator's file of HAProxy's configuration."`
	Check   checkCmd   `cmd:"" help:"Check an operator's file."`
	Journal journalCmd `cmd:"" help:"Ask the journal of one-shot jobs."`
	Standin standinCmd `cmd:"" help:"Play the workers that an operator's file names, to try things out."`
	Version versionCmd `cmd:"" help:"Print the version."`
}

type serveCmd struct {
	File string `short:"f" type:"existingfile" help:"Operator's file. Without it EDGE_CONFIG names the platform's."`
}

func (s serveCmd) Run() error {
	read := scheduler.FromEnv
	if s.File != "" {
		read = func() (*scheduler.Config, error) { return scheduler.ReadFile(s.File) }
	}
	return scheduler.Serve(read, slog.New(slog.NewTextHandler(os.Stderr, nil)))
}

type importCmd struct {
	Config   string `arg:"" type:"existingfile" help:"HAProxy's configuration."`
	Out      string `short:"o" type:"path" help:"The file to write; standard output without it."`
	Frontend string `help:"The frontend or listen section; else the first that leads to servers."`
	Class    string `help:"The class of its requests, the first part of their path; else the frontend's name."`
}

// Run writes the file and reports on standard error what was not taken over.
func (c importCmd) Run() error {
	in, err := os.Open(c.Config)
	if err != nil {
		return err
	}
	defer in.Close()
	file, notes, err := haproxy.Import(in, haproxy.Options{Frontend: c.Frontend, Class: c.Class})
	if err != nil {
		return fmt.Errorf("%s: %w", c.Config, err)
	}
	for _, n := range notes {
		fmt.Fprintln(os.Stderr, n)
	}
	if c.Out == "" {
		return file.Write(os.Stdout)
	}
	out, err := os.Create(c.Out)
	if err != nil {
		return err
	}
	return errors.Join(file.Write(out), out.Close())
}

type checkCmd struct {
	File string `arg:"" type:"existingfile" help:"The file."`
}

func (c checkCmd) Run() error {
	got, err := scheduler.ReadFile(c.File)
	if err == nil {
		fmt.Printf("%s: good: %d classes, %d workers\n", c.File, len(got.Settings.Classes), len(got.Known.Members))
	}
	return err
}

type versionCmd struct{}

func (versionCmd) Run() error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
	}
	fmt.Println("sedgevale", version, runtime.Version())
	return nil
}

func main() {
	k := kong.Parse(&cli{}, kong.Name("sedgevale"), kong.Description("A job scheduler for a fleet of workers."))
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "sedgevale:", err)
		code := 1
		if s := (status{}); errors.As(err, &s) {
			code = s.code
		}
		os.Exit(code)
	}
}

// status is an error with an exit status of its own.
type status struct {
	code int
	error
}

func (s status) Unwrap() error { return s.error }
