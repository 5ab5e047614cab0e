// Sedgevale is a job scheduler for a fleet of workers.
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

type cli struct {
	Serve   *serveCmd   `arg:"subcommand:serve" help:"Schedule jobs until SIGTERM; SIGHUP reads the file again."`
	Edge    *edgeCmd    `arg:"subcommand:edge" help:"Serve clients on an edge machine; settings by SEDGEVALE_SETTINGS."`
	Side    *sideCmd    `arg:"subcommand:side" help:"Serve the worker on a side machine; settings by SEDGEVALE_SETTINGS."`
	Core    *coreCmd    `arg:"subcommand:core" help:"Keep the system's state on a core machine; settings by SEDGEVALE_SETTINGS."`
	Job     *jobCmd     `arg:"subcommand:job" help:"Hand in, show or cancel a job of a running system."`
	Config  *configCmd  `arg:"subcommand:config" help:"Read, change or check the configuration of a running system."`
	Members *membersCmd `arg:"subcommand:members" help:"Show the core of a running system."`
	Queues  *queuesCmd  `arg:"subcommand:queues" help:"Show how the queues of a running system stand."`
	State   *stateCmd   `arg:"subcommand:state" help:"Look at the state directory of a stopped core scheduler."`
	Local   *localCmd   `arg:"subcommand:local" help:"Run a small system on loopback, with stand-in workers and a stand-in client."`
	Import  *importCmd  `arg:"subcommand:import" help:"Make an operator's file of HAProxy's configuration."`
	Check   *checkCmd   `arg:"subcommand:check" help:"Check an operator's file."`
	Journal *journalCmd `arg:"subcommand:journal" help:"Ask the journal of one-shot jobs."`
	Peers   *peersCmd   `arg:"subcommand:peers" help:"Ask a scheduler about the others of its site."`
	Swarm   *swarmCmd   `arg:"subcommand:swarm" help:"Play an experiment of many schedulers in virtual time."`
	Standin *standinCmd `arg:"subcommand:standin" help:"Play the workers that an operator's file names, to try things out."`
	Version *versionCmd `arg:"subcommand:version" help:"Print the version."`
}

type serveCmd struct {
	File string `arg:"-f,--file" help:"Operator's file. Without it EDGE_CONFIG names the platform's."`
}

func (s serveCmd) Run() error {
	read := scheduler.FromEnv
	if s.File != "" {
		if err := existing(s.File); err != nil {
			return err
		}
		read = func() (*scheduler.Config, error) { return scheduler.ReadFile(s.File) }
	}
	return scheduler.Serve(read, slog.New(slog.NewTextHandler(os.Stderr, nil)))
}

type checkCmd struct {
	File string `arg:"positional,required" help:"The file."`
}

func (c checkCmd) Run() error {
	if err := existing(c.File); err != nil {
		return err
	}
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

func (cli) Description() string { return "A job scheduler for a fleet of workers." }

// command is what a subcommand does.
type command interface{ Run() error }

// exitUsage is the exit status after a command line that is not understood.
const exitUsage = 2

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
		if s := (status{}); errors.As(err, &s) {
			code = s.code
		}
		os.Exit(code)
	}
}

// splitCommas takes lists in either form: an option given again, or values with commas between them.
func splitCommas(values []string) []string {
	var all []string
	for _, value := range values {
		all = append(all, strings.Split(value, ",")...)
	}
	return all
}

// existing returns an error that names a file which is not there.
func existing(files ...string) error {
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

// status is an error with an exit status of its own.
type status struct {
	code int
	error
}

func (s status) Unwrap() error { return s.error }
