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

	"sedgevale/scheduler"
)

type cli struct {
	Serve   serveCmd   `cmd:"" help:"Schedule jobs until SIGTERM; SIGHUP reads the file again."`
	Edge    edgeCmd    `cmd:"" help:"Serve clients on an edge machine; settings by SEDGEVALE_SETTINGS."`
	Side    sideCmd    `cmd:"" help:"Serve the worker on a side machine; settings by SEDGEVALE_SETTINGS."`
	Core    coreCmd    `cmd:"" help:"Keep the system's state on a core machine; settings by SEDGEVALE_SETTINGS."`
	Import  importCmd  `cmd:"" help:"Make an operator's file of HAProxy's configuration."`
	Check   checkCmd   `cmd:"" help:"Check an operator's file."`
	Journal journalCmd `cmd:"" help:"Ask the journal of one-shot jobs."`
	Peers   peersCmd   `cmd:"" help:"Ask a scheduler about the others of its site."`
	Swarm   swarmCmd   `cmd:"" help:"Play an experiment of many schedulers in virtual time."`
	Scale   scaleCmd   `cmd:"" help:"Measure what a scheduler costs at a size, with hollow workers and schedulers around real processes."`
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

type checkCmd struct {
	File string `arg:"" type:"existingfile" help:"The file."`
}

func (c checkCmd) Run() error {
	got, err := scheduler.ReadFile(c.File)
	if err == nil {
		fmt.Printf("%s: good: %s\n", c.File, contents(got))
	}
	return err
}

// contents says in a few words what a file sets up.
func contents(c *scheduler.Config) string {
	text := ""
	if c.Listen != "" {
		text = fmt.Sprintf("%d classes, %d workers", len(c.Settings.Classes), len(c.Known.Members))
	}
	if c.Web != nil {
		if text != "" {
			text += ", "
		}
		text += fmt.Sprintf("%d frontends, %d backends", len(c.Web.Frontends), len(c.Web.Backends))
	}
	return text
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
