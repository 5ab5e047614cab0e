package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"sedgevale/internal/system/clusterconfig"
	"sedgevale/internal/system/core"
	"sedgevale/internal/system/local"
	"sedgevale/internal/system/rpc"
	"sedgevale/internal/system/statefile"
)

const operateTimeout = 5 * time.Second

// jobCmd asks a running system about jobs.
type jobCmd struct {
	Submit *jobSubmitCmd `arg:"subcommand:submit" help:"Hand a job in."`
	Show   *jobShowCmd   `arg:"subcommand:show" help:"Tell a job's state."`
	Cancel *jobCancelCmd `arg:"subcommand:cancel" help:"End a job."`
}

// queueFlags name a queue of a running system.
type queueFlags struct {
	Edge   string `arg:"--edge,required" placeholder:"HOST:PORT" help:"An edge scheduler."`
	Host   string `arg:"--host,required" help:"The queue's host."`
	Prefix string `arg:"--prefix,required" help:"The queue's path prefix."`
}

func (q queueFlags) call(method, id string, body io.Reader) error {
	return call(method, "http://"+q.Edge+q.Prefix+id, q.Host, "", body)
}

type jobSubmitCmd struct {
	queueFlags
	ID   string `arg:"positional,required" help:"16 hex digits."`
	File string `arg:"positional" help:"The job as JSON; standard input without it."`
}

func (c jobSubmitCmd) Run() error {
	body, err := open(c.File)
	if err != nil {
		return err
	}
	defer body.Close()
	return c.call(http.MethodPost, c.ID, body)
}

type jobShowCmd struct {
	queueFlags
	ID string `arg:"positional,required" help:"The job's ID."`
}

func (c jobShowCmd) Run() error { return c.call(http.MethodGet, c.ID, nil) }

type jobCancelCmd struct {
	queueFlags
	ID string `arg:"positional,required" help:"The job's ID."`
}

func (c jobCancelCmd) Run() error { return c.call(http.MethodDelete, c.ID, nil) }

// configCmd reads and changes the configuration of a running system.
type configCmd struct {
	Get   *configGetCmd   `arg:"subcommand:get" help:"Print the newest configuration."`
	Put   *configPutCmd   `arg:"subcommand:put" help:"Replace the configuration."`
	Patch *configPatchCmd `arg:"subcommand:patch" help:"Change named items."`
	Check *configCheckCmd `arg:"subcommand:check" help:"Is a configuration valid? Asks nobody."`
}

// controlFlags name a core scheduler as the operator calls it.
type controlFlags struct {
	Control string `arg:"--control,required" placeholder:"HOST:PORT" help:"A core scheduler's control_plane address."`
}

func (f controlFlags) call(method, match string, body io.Reader) error {
	return call(method, "http://"+f.Control+"/sedgevale/config", "", match, body)
}

type configGetCmd struct{ controlFlags }

func (c configGetCmd) Run() error { return c.call(http.MethodGet, "", nil) }

type configPutCmd struct {
	controlFlags
	On   string `arg:"--on,required" placeholder:"VERSION" help:"The version that it builds on, 0 for the first."`
	File string `arg:"positional" help:"The configuration; standard input without it."`
}

func (c configPutCmd) Run() error {
	body, err := open(c.File)
	if err != nil {
		return err
	}
	defer body.Close()
	return c.call(http.MethodPut, c.On, body)
}

type configPatchCmd struct {
	controlFlags
	On   string `arg:"--on,required" placeholder:"VERSION" help:"The version that it builds on."`
	File string `arg:"positional" help:"The change; standard input without it."`
}

func (c configPatchCmd) Run() error {
	body, err := open(c.File)
	if err != nil {
		return err
	}
	defer body.Close()
	return c.call(http.MethodPatch, c.On, body)
}

type configCheckCmd struct {
	File string `arg:"positional" help:"The configuration; standard input without it."`
}

func (c configCheckCmd) Run() error {
	body, err := open(c.File)
	if err != nil {
		return err
	}
	defer body.Close()
	text, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	config, err := clusterconfig.Parse(text)
	if err == nil {
		err = config.Check()
	}
	if err != nil {
		return fmt.Errorf("%s: %w", nameOf(c.File), err)
	}
	fmt.Printf("%s: good: version %d, %d routes, %d services\n", nameOf(c.File), config.Version, len(config.Routes), len(config.Services))
	return nil
}

func nameOf(file string) string {
	if file == "" {
		return "standard input"
	}
	return file
}

func open(file string) (io.ReadCloser, error) {
	if file == "" {
		return io.NopCloser(os.Stdin), nil
	}
	return os.Open(file)
}

// call makes an HTTP call and prints the answer.
func call(method, url, host, match string, body io.Reader) error {
	ctx, cancel := context.WithTimeout(context.Background(), operateTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return err
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	if match != "" {
		request.Header.Set("If-Match", match)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	answer := strings.TrimSpace(string(text))
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("%s: %s", response.Status, answer)
	}
	if answer == "" {
		answer = response.Status
	}
	fmt.Println(answer)
	return nil
}

// coreFlags name a core scheduler as other schedulers call it.
type coreFlags struct {
	Core string `arg:"--core,required" placeholder:"HOST:PORT" help:"A core scheduler, at the first port of port_range."`
}

func (f coreFlags) ask(method string, request, response any) error {
	ctx, cancel := context.WithTimeout(context.Background(), operateTimeout)
	defer cancel()
	return rpc.NewClient(rpc.DialTCP()).Call(ctx, f.Core, method, request, response)
}

// membersCmd shows the core as one of its schedulers sees it.
type membersCmd struct{ coreFlags }

func (c membersCmd) Run() error {
	m := &core.MembersResponse{}
	if err := c.ask(core.MethodMembers, &core.MembersRequest{}, m); err != nil {
		return err
	}
	fmt.Printf("%s: configuration %d, confirmed by a quorum: %t\n\n", m.Address, m.ConfigVersion, m.ConfigFresh)
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "EPOCH %d\nSEAT\tDISK\tADDRESS\tSINCE\tVOTER\n", m.Membership.Epoch)
	for i, member := range m.Membership.Seats {
		fmt.Fprintf(table, "%d\t%s\t%s\t%d\t%t\n", i, member.ID, member.Address, member.Since, member.Voter)
	}
	fmt.Fprintln(table, "\nPEER\tZONE\tHEARD\tDISK\tEPOCH\tLEAVING")
	for _, p := range m.Peers {
		heard := "never"
		if p.HeardMS >= 0 {
			heard = fmt.Sprintf("%d ms ago", p.HeardMS)
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%t\n", p.Address, p.Zone, heard, p.Member, p.Epoch, p.Leaving)
	}
	fmt.Fprintln(table, "\nSHARD\tOWNER\tTOKEN")
	for _, o := range m.Owners {
		fmt.Fprintf(table, "%s\t%s\t%d\n", o.Shard, o.Address, o.Token)
	}
	return table.Flush()
}

// queuesCmd shows the shards that a core scheduler owns.
type queuesCmd struct {
	coreFlags
	Workers bool `arg:"--workers" help:"Show workers too."`
}

func (c queuesCmd) Run() error {
	q := &core.QueuesResponse{}
	if err := c.ask(core.MethodQueues, &core.QueuesRequest{}, q); err != nil {
		return err
	}
	if len(q.Shards) == 0 {
		fmt.Println("it owns no shard; `sedgevale members` tells who does")
		return nil
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, s := range q.Shards {
		fmt.Fprintf(table, "shard %s, token %d, %d records, %d replicas in step\n", s.Shard, s.Token, s.Records, s.InStep)
		fmt.Fprintln(table, "QUEUE\tPRIORITY\tUNENDED\tPENDING\tHELD\tWAITING\tSIGMA\tUSUAL RUN")
		for _, one := range s.Queues {
			fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.0f ms\n", one.Name, one.Priority, one.Unended, one.Pending, one.Held, one.Wanted,
				one.Sigma, one.UsualMS)
		}
		if len(s.Waiting) > 0 {
			fmt.Fprintln(table, "WAITS BESIDE ROOM\tQUEUE\tTASKS\tFOR\tREASON\tWORKER\tKEPT FOR")
		}
		for _, one := range s.Waiting {
			fmt.Fprintf(table, "%s\t%s\t%d\t%d ms\t%s\t%s\t%s\n", one.Job, one.Queue, one.Tasks, one.WaitedMS, one.Reason, one.Worker, one.Holder)
		}
		if !c.Workers {
			continue
		}
		fmt.Fprintln(table, "WORKER\tSTATE\tRUNS\tHELD\tSIGMA\tFAILING\tPACE")
		for _, w := range s.Workers {
			fmt.Fprintf(table, "%s\t%s\t%d\t%.2f\t%.2f\t%.2f\t%.1f\n", w.Ref, w.State, w.Runs, w.Held, w.Sigma, w.Failing, w.Pace)
		}
	}
	return table.Flush()
}

// stateCmd looks at the state directory of a stopped core scheduler.
type stateCmd struct {
	Check *stateCheckCmd `arg:"subcommand:check" help:"Is everything whole? Exit status 2 if a start would lose anything."`
	Show  *stateShowCmd  `arg:"subcommand:show" help:"Tell what it holds."`
}

type stateCheckCmd struct {
	Dir string `arg:"positional,required" help:"data_dir of the process."`
}

// exitDamaged is the exit status for a state directory that is not whole.
const exitDamaged = 2

func (c stateCheckCmd) Run() error {
	files, err := statefile.Inspect(c.Dir)
	if err != nil {
		return err
	}
	live, torn := 0, int64(0)
	for _, f := range files {
		state := "older, not read"
		switch {
		case !f.Whole:
			state = "not whole, not read"
		case f.Live:
			state = "read at a start"
			live++
			torn += f.Torn
		}
		fmt.Printf("%s: %d bytes, %d entries, %d bytes torn: %s\n", f.Name, f.Bytes, f.Frames, f.Torn, state)
	}
	if live == 0 {
		return status{exitDamaged, fmt.Errorf("%s: no whole snapshot", c.Dir)}
	}
	if torn > 0 {
		fmt.Printf("%d bytes at the end of a log were under way when power went; they were never acknowledged\n", torn)
	}
	return nil
}

type stateShowCmd struct {
	Dir string `arg:"positional,required" help:"data_dir of the process."`
}

func (c stateShowCmd) Run() error { return core.Describe(c.Dir, os.Stdout) }

// localCmd runs a small system on loopback.
type localCmd struct {
	Dir string        `arg:"--dir" default:"logs/system" help:"Keep state, settings and logs there."`
	For time.Duration `arg:"--for" help:"End after so long; at Ctrl-C without it."`
}

func (c localCmd) Run() error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if c.For > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.For)
		defer cancel()
	}
	return local.Run(ctx, c.Dir, program, os.Stdout)
}
