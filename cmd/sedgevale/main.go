// Sedgevale is the command-line program of a job scheduler for a fleet of workers: its subcommands run schedulers, call a
// running system, and inspect the files of a stopped one.
package main

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"
	"strings"

	"github.com/alexflint/go-arg"

	"sedgevale/scheduler"
)

// cli defines the subcommands.
type cli struct {
	Serve       *serveCmd       `arg:"subcommand:serve" help:"Schedule jobs until SIGTERM; SIGHUP reloads the file."`
	Edge        *edgeCmd        `arg:"subcommand:edge" help:"Run the scheduler of an edge machine, which clients call; settings by SEDGEVALE_SETTINGS."`
	Side        *sideCmd        `arg:"subcommand:side" help:"Run the scheduler of a side machine, beside a worker; settings by SEDGEVALE_SETTINGS."`
	Core        *coreCmd        `arg:"subcommand:core" help:"Run the scheduler of a core machine, which keeps the system's state; settings by SEDGEVALE_SETTINGS."`
	Job         *jobCmd         `arg:"subcommand:job" help:"Submit, show or cancel a job of a running system."`
	Config      *configCmd      `arg:"subcommand:config" help:"Read, change or check the configuration of a running system."`
	Members     *membersCmd     `arg:"subcommand:members" help:"Show the membership, peers and shard owners of a running system's core."`
	Queues      *queuesCmd      `arg:"subcommand:queues" help:"Show the state of the queues of a running system."`
	State       *stateCmd       `arg:"subcommand:state" help:"Inspect the state directory of a stopped core scheduler."`
	Local       *localCmd       `arg:"subcommand:local" help:"Run a small system on loopback, with fake workers and a client."`
	Import      *importCmd      `arg:"subcommand:import" help:"Convert an HAProxy configuration to an operator's file."`
	Check       *checkCmd       `arg:"subcommand:check" help:"Check an operator's file."`
	Journal     *journalCmd     `arg:"subcommand:journal" help:"Query the journal of one-shot jobs."`
	Peers       *peersCmd       `arg:"subcommand:peers" help:"Query a scheduler about its peers."`
	FleetSim    *fleetSimCmd    `arg:"subcommand:fleetsim|swarm" help:"Simulate a fleet of many schedulers in virtual time."`
	FakeWorkers *fakeWorkersCmd `arg:"subcommand:fake-workers|standin" help:"Run fake workers in place of those that an operator's file names."`
	Version     *versionCmd     `arg:"subcommand:version" help:"Print the version."`
}

// serveCmd runs a standalone scheduler, which an operator's file or the platform's file configures.
type serveCmd struct {
	File string `arg:"-f,--file" help:"The operator's file; without it, EDGE_CONFIG names the platform's file."`
}

// Run runs the scheduler until SIGTERM.
func (s serveCmd) Run() error {
	read := scheduler.FromEnv
	if s.File != "" {
		if err := requireFiles(s.File); err != nil {
			return err
		}
		read = func() (*scheduler.Config, error) { return scheduler.ReadFile(s.File) }
	}
	return scheduler.Serve(read, slog.New(slog.NewTextHandler(os.Stderr, nil)))
}

// checkCmd validates an operator's file.
type checkCmd struct {
	File string `arg:"positional,required" help:"The file."`
}

// Run validates the file and prints a summary of it.
func (c checkCmd) Run() error {
	if err := requireFiles(c.File); err != nil {
		return err
	}
	got, err := scheduler.ReadFile(c.File)
	if err == nil {
		fmt.Printf("%s: good: %s\n", c.File, summarize(got))
	}
	return err
}

// summarize returns the numbers of classes, workers, frontends and backends of a configuration.
func summarize(c *scheduler.Config) string {
	text := ""
	if c.Listen != "" {
		text = fmt.Sprintf("%d classes, %d workers", len(c.Settings.Classes), len(c.KnownWorkers.Members))
	}
	if c.Web != nil {
		if text != "" {
			text += ", "
		}
		text += fmt.Sprintf("%d frontends, %d backends", len(c.Web.Frontends), len(c.Web.Backends))
	}
	return text
}

// versionCmd prints the version.
type versionCmd struct{}

// Run prints the version of the program and of Go.
func (versionCmd) Run() error {
	version := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
	}
	_, err := fmt.Println("sedgevale", version, runtime.Version())
	return err
}

// Description is the first line of the help.
func (cli) Description() string { return "A job scheduler for a fleet of workers." }

// command is a subcommand whose arguments have been parsed.
type command interface{ Run() error }

// Exit statuses other than 0 for success and 1 for all other errors.
const (
	exitUsage      = 2 // the command line is invalid
	exitDamaged    = 2 // a journal or state directory is damaged
	exitNotCarried = 3 // import --strict: not all directives are carried over
)

func main() {
	parser, err := arg.NewParser(arg.Config{Program: "sedgevale", Exit: os.Exit}, &cli{})
	if err != nil {
		fmt.Fprintln(os.Stderr, "sedgevale:", err)
		os.Exit(exitUsage)
	}
	parser.MustParse(os.Args[1:])
	chosen, ok := parser.Subcommand().(command)
	if !ok {
		parser.WriteHelp(os.Stderr)
		fmt.Fprintln(os.Stderr, "sedgevale: a command is missing")
		os.Exit(exitUsage)
	}
	if err := chosen.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "sedgevale:", err)
		code := 1
		if exit := (exitError{}); errors.As(err, &exit) {
			code = exit.code
		}
		os.Exit(code)
	}
}

// splitCommas returns the values of an option that may be repeated and may hold several values separated by commas.
func splitCommas(values []string) []string {
	var all []string
	for _, value := range values {
		all = append(all, strings.Split(value, ",")...)
	}
	return all
}

// requireFiles returns an error for the first path that does not exist or is a directory.
func requireFiles(files ...string) error {
	for _, file := range files {
		info, err := os.Stat(file)
		if err != nil {
			return err
		}
		if info.IsDir() {
			return fmt.Errorf("%s: is a directory, a file is wanted", file)
		}
	}
	return nil
}

// exitError is an error that ends the program with a given exit status.
type exitError struct {
	code int
	error
}

// Unwrap returns the error without its exit status.
func (e exitError) Unwrap() error { return e.error }
