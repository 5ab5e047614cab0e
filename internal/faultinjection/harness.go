// Package faultinjection starts several processes of the program with stand-in boxes, discovery and clients, puts relays
// of its own between them that lose, delay, repeat, cut and reset, kills and freezes the processes, and has a referee
// who reads only the boxes' ledgers and the clients' answers. It is for tests of how many schedulers behave together
// when parts break; all of it stays on loopback.
package faultinjection

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"sedgevale/internal/fake"
	"sedgevale/internal/testkit"
	"sedgevale/scheduler"
)

// serveFile names the operator's file by which a test binary is a scheduler.
const serveFile = "SEDGEVALE_RIG_SERVE"

// ServeIfAsked makes this process a scheduler if a rig has started it, and returns only if none has. It belongs into
// TestMain.
func ServeIfAsked() {
	path := os.Getenv(serveFile)
	if path == "" {
		return
	}
	read := func() (*scheduler.Config, error) { return scheduler.ReadFile(path) }
	if err := scheduler.Serve(read, slog.New(slog.NewTextHandler(os.Stderr, nil))); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(0)
}

// Command returns what makes this test binary a scheduler by an operator's file, with TMPDIR and a log.
func Command(file, dir string, log io.Writer) *exec.Cmd {
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), serveFile+"="+file, "TMPDIR="+dir)
	c.Stderr = log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return c
}

// AwaitReady returns once a scheduler serves at an address.
func AwaitReady(listen string) error {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		if status, _, err := ask("http://" + listen + "/ready"); err == nil && status == http.StatusOK {
			return nil
		}
	}
	return errors.New("the scheduler does not get ready")
}

// BoxOptions are one box of a rig.
type BoxOptions struct {
	Cell   int
	Slots  int
	Work   time.Duration // of a job, on average
	Faults fake.Faults
}

// Options are the choices for a Rig.
type Options struct {
	Dir        string // for files and logs
	Seed       uint64
	Schedulers int
	Boxes      []BoxOptions
	Alone      bool // schedulers tell each other nothing
	// Start is the configuration that all begin with; without teams: two co-ops, and no revision is told.
	Start Configuration
}

// Settings are those of the brief in small: three classes, two co-ops.
const Settings = settings + `[[settings.realms]]
name = "valley"
share = 0.6
[[settings.realms]]
name = "east"
share = 0.4
`

// settings are those without the co-ops.
const settings = `
[settings]
discovery = "ask"
kinds = ["box"]
zones = ["hut"]
weights = "rough"
[settings.bounds]
cancel = true
dial_timeout = 0.3
idle_close = 15
max_attempts = 4
max_retry_after = 2
parallel_tries = true
retry_after = true
[settings.family_info]
class_stretch = [2, 2, 2]
queue_order = "fifo"
tells_start = true
[settings.report]
via = "answers"
[settings.rules]
start_capacity = 0.13
warm_up = 22
fall_multiple = 3
fall = 2
[[settings.classes]]
name = "usage-view"
effect = "free"
promise = 0.3
hard_limit = 2
[[settings.classes]]
name = "plan-change"
effect = "single_shot"
promise = 0.3
hard_limit = 2
[[settings.classes]]
name = "bill-pay"
effect = "guarded"
dedup_scope = "cell"
window = 7.5
promise = 0.3
hard_limit = 2
`

// Mix is the brief's mix of jobs.
var Mix = []fake.Mix{{Class: "usage-view", Part: 0.44}, {Class: "plan-change", Part: 0.31},
	{Class: "bill-pay", Part: 0.25, Keyed: true}}

// Rig is some schedulers and all that they meet.
type Rig struct {
	opt        Options
	Net        *Network
	Ledger     *fake.Ledger
	Boxes      []*fake.Box
	Cells      map[string]int // by box
	Schedulers []*Scheduler

	mu      sync.Mutex
	drained map[string][]Span // of boxes: all schedulers have been told that they leave
}

// Scheduler is one process of the program.
type Scheduler struct {
	Name        string
	Listen, Ops string
	file        string
	text        func(Configuration) []byte // the file by a configuration
	discovery   *fake.Discovery
	log         *os.File

	mu      sync.Mutex
	cmd     *exec.Cmd
	up      bool // it has served since its start, and was not killed
	owed    bool // it is to be signalled to read its file again once it is up
	outages []Span
}

// New sets a rig up whose schedulers are not started yet. Close ends it.
func New(o Options) (*Rig, error) {
	if len(o.Start.Teams) == 0 {
		o.Start.Teams = []Team{{Name: "valley", Share: 0.6}, {Name: "east", Share: 0.4}}
	}
	r := &Rig{opt: o, Net: NewNetwork(o.Seed), Ledger: fake.NewLedger(), Cells: map[string]int{}, drained: map[string][]Span{}}
	var addrs []string
	shelves := map[int]*fake.Shelf{}
	for i, b := range o.Boxes {
		if shelves[b.Cell] == nil {
			shelves[b.Cell] = fake.NewShelf(0)
		}
		box := fake.NewBox(fake.BoxOptions{ID: boxName(i), Slots: b.Slots, Faults: b.Faults, Seed: o.Seed + uint64(i),
			Shelf: shelves[b.Cell], Ledger: r.Ledger, Work: func(_ string, rnd *rand.Rand) time.Duration {
				return time.Duration((0.5 + rnd.Float64()) * float64(b.Work))
			}})
		addr, err := box.Listen("127.0.0.1:0")
		if err != nil {
			return r, err
		}
		r.Boxes, addrs, r.Cells[boxName(i)] = append(r.Boxes, box), append(addrs, addr), b.Cell
	}
	names, listen := []string{}, []netip.AddrPort{}
	for i := range o.Schedulers {
		s := &Scheduler{Name: fmt.Sprintf("n%d", i), file: filepath.Join(o.Dir, fmt.Sprintf("n%d.toml", i))}
		var err error
		if s.Listen, err = testkit.Free("tcp4"); err != nil {
			return r, err
		}
		if s.Ops, err = testkit.Free("tcp4"); err != nil {
			return r, err
		}
		at, err := testkit.Free("udp4")
		if err != nil {
			return r, err
		}
		r.Schedulers, names, listen = append(r.Schedulers, s), append(names, s.Name), append(listen, netip.MustParseAddrPort(at))
	}
	known, err := r.Net.Datagrams(names, listen)
	if err != nil {
		return r, err
	}
	for i, s := range r.Schedulers {
		if err := r.equip(s, addrs, known[i], i); err != nil {
			return r, err
		}
	}
	return r, nil
}

// equip gives a scheduler its own discovery, ways to the boxes, and file.
func (r *Rig) equip(s *Scheduler, boxes []string, known []netip.AddrPort, number int) error {
	var members []fake.Member
	for i, b := range r.opt.Boxes {
		addr, err := r.Net.Stream(s.Name, boxName(i), boxes[i])
		if err != nil {
			return err
		}
		members = append(members, fake.Member{ID: boxName(i), HostPort: addr, Locality: "hut", Flavor: "box", Cell: b.Cell,
			Phase: "ready", Size: float64(b.Slots)})
	}
	s.discovery = fake.NewDiscovery(members...)
	at, err := s.discovery.Listen("127.0.0.1:0")
	if err != nil {
		return err
	}
	if at, err = r.Net.Stream(s.Name, "discovery", at); err != nil {
		return err
	}
	s.text = func(c Configuration) []byte {
		var b bytes.Buffer
		fmt.Fprintf(&b, "name = %q\nlisten = %q\nops = %q\ndiscovery = %q\n", s.Name, s.Listen, s.Ops, at)
		if c.Revision > 0 {
			fmt.Fprintf(&b, "revision = %d\n", c.Revision)
		}
		alike := settings
		if !r.opt.Alone {
			fmt.Fprintf(&b, "peer_listen = %q\npeers = [", known[number])
			for _, a := range known {
				fmt.Fprintf(&b, "%q, ", a)
			}
			b.WriteString("]\n")
		} else {
			alike = strings.Replace(alike, "[settings]", fmt.Sprintf("[settings]\npeers_total = %d\nslot_no = %d", len(known), number), 1)
		}
		b.WriteString(alike)
		for _, team := range c.Teams {
			fmt.Fprintf(&b, "[[settings.realms]]\nname = %q\nshare = %g\nquota_rps = %g\n", team.Name, team.Share, team.Quota)
		}
		for _, m := range members {
			fmt.Fprintf(&b, "[[workers]]\nid = %q\nhost_port = %q\nlocality = %q\nflavor = %q\ncell = %d\nsize = %g\n",
				m.ID, m.HostPort, m.Locality, m.Flavor, m.Cell, m.Size)
		}
		return b.Bytes()
	}
	if s.log, err = os.Create(strings.TrimSuffix(s.file, ".toml") + ".log"); err != nil {
		return err
	}
	return s.Replace(s.text(r.opt.Start))
}

func boxName(i int) string { return fmt.Sprintf("box-%d", i) }

// Start starts a scheduler's process and returns once it serves.
func (r *Rig) Start(s *Scheduler) error {
	dir := strings.TrimSuffix(s.file, ".toml") + ".tmp"
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	c := Command(s.file, dir, s.log)
	s.mu.Lock()
	s.cmd = c
	s.up = false
	s.begin()
	err := c.Start()
	s.mu.Unlock()
	if err != nil {
		return err
	}
	if err := AwaitReady(s.Listen); err != nil {
		return fmt.Errorf("%s: %w; see %s", s.Name, err, s.log.Name())
	}
	s.end()
	return s.settle()
}

// StartAll starts all schedulers.
func (r *Rig) StartAll() error {
	errs := make(chan error, len(r.Schedulers))
	for _, s := range r.Schedulers {
		go func() { errs <- r.Start(s) }()
	}
	var first error
	for range r.Schedulers {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return first
}

func ask(url string) (status int, body []byte, err error) {
	ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
	defer stop()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, nil, err
	}
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, nil, err
	}
	defer a.Body.Close()
	body, err = io.ReadAll(io.LimitReader(a.Body, 1<<20))
	return a.StatusCode, body, err
}

// Read asks the scheduler's second address and decodes the answer.
func (s *Scheduler) Read(path string, into any) error {
	status, body, err := ask("http://" + s.Ops + path)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("%s: GET %s: status %d", s.Name, path, status)
	}
	return json.Unmarshal(body, into)
}

func (s *Scheduler) begin() {
	if n := len(s.outages); n == 0 || !s.outages[n-1].To.IsZero() {
		s.outages = append(s.outages, Span{From: time.Now()})
	}
}

func (s *Scheduler) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := len(s.outages); n > 0 && s.outages[n-1].To.IsZero() {
		s.outages[n-1].To = time.Now()
	}
}

// Kill ends the process at once.
func (s *Scheduler) Kill() {
	s.mu.Lock()
	s.begin()
	s.up = false
	cmd := s.cmd
	s.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
}

// Freeze stops the process until Thaw.
func (s *Scheduler) Freeze() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.begin()
	return s.cmd.Process.Signal(syscall.SIGSTOP)
}

// Thaw has a frozen process go on. What it answers in the next moment still belongs to the outage.
func (s *Scheduler) Thaw() error {
	s.mu.Lock()
	err := s.cmd.Process.Signal(syscall.SIGCONT)
	s.mu.Unlock()
	time.AfterFunc(thawed, s.end)
	return err
}

// thawed is how long a process may need to read what came while it was frozen.
const thawed = 300 * time.Millisecond

// Drain has discovery tell every scheduler that a box leaves.
func (r *Rig) Drain(box int) { r.phase(box, "draining", 0) }

// Restart has discovery tell every scheduler that a box serves, and started now.
func (r *Rig) Restart(box int) { r.phase(box, "ready", time.Now().UnixMilli()) }

func (r *Rig) phase(box int, phase string, since int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	spans := r.drained[boxName(box)]
	if n := len(spans); n > 0 && spans[n-1].To.IsZero() {
		spans[n-1].To = time.Now()
	}
	for _, s := range r.Schedulers {
		for _, m := range s.discovery.Members() {
			if m.ID == boxName(box) {
				m.Phase, m.UpSince = phase, since
				s.discovery.Set(m)
			}
		}
	}
	if phase == "draining" {
		r.drained[boxName(box)] = append(spans, Span{From: time.Now()})
	}
}

// Evidence is what the referee is given: what boxes and clients say, and when schedulers were out.
func (r *Rig) Evidence(told []fake.Told, timeout time.Duration) Evidence {
	e := Evidence{Told: told, Ledger: r.Ledger, Cells: r.Cells, Timeout: timeout, Outages: map[string][]Span{}, Drained: map[string][]Span{}}
	for _, s := range r.Schedulers {
		s.mu.Lock()
		e.Outages[s.Name] = append([]Span(nil), s.outages...)
		s.mu.Unlock()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for box, spans := range r.drained {
		e.Drained[box] = append([]Span(nil), spans...)
	}
	return e
}

// Close ends all processes and stand-ins.
func (r *Rig) Close() {
	for _, s := range r.Schedulers {
		s.Kill()
		if s.discovery != nil {
			s.discovery.Close()
		}
		if s.log != nil {
			s.log.Close()
		}
	}
	r.Net.Close()
	for _, b := range r.Boxes {
		b.Close()
	}
}
