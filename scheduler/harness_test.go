package scheduler_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"sedgevale/internal/discovery"
	"sedgevale/internal/dispatchconfig"
	"sedgevale/internal/testkit"
	"sedgevale/scheduler"
)

// serveFileEnv is the environment variable with the operator's file. If it is set, this test
// binary runs as a scheduler, which tests can kill.
const serveFileEnv = "SEDGEVALE_TEST_SERVE"

func TestMain(m *testing.M) {
	path := os.Getenv(serveFileEnv)
	if path == "" {
		os.Exit(m.Run())
	}
	read := func() (*dispatchconfig.Config, error) { return dispatchconfig.ReadOperator(path) }
	if strings.HasSuffix(path, ".json") {
		if err := os.Setenv("EDGE_CONFIG", path); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		read = dispatchconfig.FromEnv
	}
	if err := scheduler.Serve(read, slog.New(slog.NewTextHandler(os.Stderr, nil))); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

const startTimeout = 20 * time.Second // timeout of waits that are short unless a test fails

// attempt is a job that has reached a worker. The test controls its response.
type attempt struct {
	worker, id, class, target string
	body                      string
	lines                     chan string     // response lines; closing it ends the response
	abort                     chan struct{}   // closing it aborts the connection
	canceled                  <-chan struct{} // closed when the scheduler cancels the attempt
}

func (a *attempt) write(format string, args ...any) {
	a.lines <- fmt.Sprintf(`{"id":%q,"from":%q,%s}`, a.id, a.worker, fmt.Sprintf(format, args...))
}

func (a *attempt) finish(result string) {
	a.write(`"state":"done","result":%q,"load":{"x0":3}`, result)
	close(a.lines)
}

// fleet is a set of fake workers and the discovery service that lists them.
type fleet struct {
	t        *testing.T
	attempts chan *attempt
	mu       sync.Mutex
	counts   map[string]int // number of attempts by class and by worker
	list     discovery.List
	respond  http.HandlerFunc // handles the next attempt instead of the test; may be nil
	changed  chan struct{}    // closed at the next change of list
	polled   chan int64       // revisions after which the scheduler has requested a newer list
	addr     string
}

func newFleet(t *testing.T, workers ...string) *fleet {
	f := &fleet{t: t, attempts: make(chan *attempt, 64), counts: map[string]int{}, changed: make(chan struct{}),
		polled: make(chan int64, 1024), list: discovery.List{Revision: 1, Complete: true}}
	for i, name := range workers {
		f.list.Members = append(f.list.Members, discovery.Member{ID: name, HostPort: f.serve(f.worker(name)),
			Locality: "hut", Flavor: "box", Cell: i, Phase: "ready", Size: 1})
	}
	f.addr = f.serve(http.HandlerFunc(f.discover))
	return f
}

func (f *fleet) serve(h http.Handler) string {
	f.t.Helper()
	l := testkit.Listen(f.t, "127.0.0.1:0")
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }() // returns after Close
	f.t.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

func (f *fleet) worker(name string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		body, _ := io.ReadAll(q.Body)
		f.mu.Lock()
		respond := f.respond
		f.respond = nil
		f.mu.Unlock()
		if respond != nil {
			respond(w, q)
			return
		}
		a := &attempt{worker: name, id: q.Header.Get("Request-Id"), class: q.URL.Path[1:], target: q.RequestURI,
			body: string(body), lines: make(chan string, 16), abort: make(chan struct{}), canceled: q.Context().Done()}
		f.mu.Lock()
		f.counts[a.class]++
		f.counts[name]++
		f.mu.Unlock()
		f.attempts <- a
		rc := http.NewResponseController(w)
		w.WriteHeader(200)
		_ = rc.Flush()
		for {
			select {
			case line, more := <-a.lines:
				if !more {
					return
				}
				_, _ = io.WriteString(w, line+"\n")
				_ = rc.Flush()
			case <-a.abort:
				panic(http.ErrAbortHandler)
			case <-q.Context().Done():
				return
			}
		}
	})
}

func (f *fleet) discover(w http.ResponseWriter, q *http.Request) {
	since, _ := strconv.ParseInt(q.FormValue("since"), 10, 64)
	f.polled <- since
	f.mu.Lock()
	l, newer := f.list, f.changed
	f.mu.Unlock()
	if l.Revision <= since {
		wait, _ := strconv.Atoi(q.FormValue("timeout_ms"))
		select {
		case <-newer:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-q.Context().Done():
			return
		}
		f.mu.Lock()
		l = f.list
		f.mu.Unlock()
	}
	_ = json.NewEncoder(w).Encode(l)
}

// setPhase changes a worker's phase and returns once the scheduler knows, which it shows by
// requesting a newer list.
func (f *fleet) setPhase(name, phase string) {
	f.t.Helper()
	f.mu.Lock()
	members := append([]discovery.Member(nil), f.list.Members...)
	for i := range members {
		if members[i].ID == name {
			members[i].Phase = phase
		}
	}
	f.list.Members = members
	f.list.Revision++
	want := f.list.Revision
	close(f.changed)
	f.changed = make(chan struct{})
	f.mu.Unlock()
	for {
		if testkit.Await(f.t, "the next discovery request", f.polled) >= want {
			return
		}
	}
}

func (f *fleet) count(key string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts[key]
}

// respondNext makes h handle the next attempt, whichever worker gets it.
func (f *fleet) respondNext(h http.HandlerFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.respond = h
}

func (f *fleet) next() *attempt {
	f.t.Helper()
	return testkit.Await(f.t, "a job at a worker", f.attempts)
}

// settings returns the settings of a small deployment.
func settings(t *testing.T) (s dispatchconfig.Settings) {
	t.Helper()
	err := json.Unmarshal([]byte(`{"bounds":{"cancel":true,"dial_timeout":1,"idle_close":15,"max_attempts":3,
		"max_retry_after":2,"parallel_tries":true,"retry_after":true},"classes":[
		{"name":"usage-view","effect":"free","hard_limit":10,"promise":8},
		{"name":"plan-change","effect":"single_shot","hard_limit":10,"promise":8},
		{"name":"bill-pay","effect":"guarded","dedup_scope":"cell","window":7.5,"hard_limit":10,"promise":8}],
		"discovery":"ask","family_info":{"tells_start":true},"kinds":["box"],"zones":["hut"],"peers_total":1,
		"realms":[{"name":"co-op","share":1,"quota_rps":100}],"weights":"rough"}`), &s)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// child is a scheduler that runs in a child process.
type child struct {
	t         *testing.T
	file      string
	addr, sse string // addresses of the platform's protocol and of event streams
	cmd       *exec.Cmd
	exited    chan error
	config    dispatchconfig.File
	log       logLines
}

// logLines receives the log lines of a child process.
type logLines chan string

func (l logLines) Write(b []byte) (int, error) {
	for line := range strings.Lines(string(b)) {
		select {
		case l <- line:
		default: // the buffer is full because the test no longer reads it
		}
	}
	return os.Stderr.Write(b)
}

// awaitLog waits for a log line that contains text.
func (c *child) awaitLog(text string) {
	c.t.Helper()
	for {
		if strings.Contains(testkit.Await(c.t, "the log line "+text, c.log), text) {
			return
		}
	}
}

// write writes the operator's file.
func (c *child) write() {
	c.t.Helper()
	w, err := os.Create(c.file)
	if err != nil {
		c.t.Fatal(err)
	}
	if strings.HasSuffix(c.file, ".json") { // the platform's configuration format
		f := &c.config
		err = json.NewEncoder(w).Encode(dispatchconfig.Config{Name: f.Name, Listen: f.Listen, Ops: f.Ops, Discovery: f.Discovery,
			Seed: f.Seed, Limits: f.Limits, KnownWorkers: &discovery.List{Complete: true, Members: f.Workers}, Settings: f.Settings})
	} else {
		err = c.config.Write(w)
	}
	if err := errors.Join(err, w.Close()); err != nil {
		c.t.Fatal(err)
	}
}

func (c *child) signal(s os.Signal) {
	c.t.Helper()
	if err := c.cmd.Process.Signal(s); err != nil {
		c.t.Fatal(err)
	}
}

func startChild(t *testing.T, f *fleet) *child {
	t.Helper()
	c := &child{t: t, file: filepath.Join(t.TempDir(), "operator.toml"), addr: testkit.FreeAddr(t), sse: testkit.FreeAddr(t)}
	c.config = dispatchconfig.File{Name: "test", Listen: c.addr, Ops: testkit.FreeAddr(t), Discovery: f.addr, Seed: "1f", Settings: settings(t),
		Limits: dispatchconfig.Limits{MemoryMB: 192, Sockets: 1024}, Workers: f.list.Members,
		SSE: &dispatchconfig.SSE{Listen: c.sse, Heartbeat: 0.2, Retain: 30}, Planners: 2, Loops: 2}
	c.write()
	c.start()
	t.Cleanup(c.kill)
	return c
}

// launch starts the child process without waiting until it serves.
func (c *child) launch() {
	c.t.Helper()
	c.cmd = exec.CommandContext(context.WithoutCancel(c.t.Context()), os.Args[0]) // the cleanup kill ends the process, not the context
	c.cmd.Env = append(os.Environ(), serveFileEnv+"="+c.file, "TMPDIR="+filepath.Dir(c.file),
		"EDGE_NAME="+c.config.Name, "EDGE_LISTEN="+c.addr, "EDGE_OPS="+c.config.Ops)
	c.log = make(logLines, 256)
	c.cmd.Stderr = c.log
	if err := c.cmd.Start(); err != nil {
		c.t.Fatal(err)
	}
	c.exited = make(chan error, 1)
	cmd, exited := c.cmd, c.exited
	go func() { exited <- cmd.Wait() }()
}

func (c *child) start() {
	c.t.Helper()
	c.launch()
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if a, err := testkit.Get(c.t, "http://"+c.sse+"/ready"); err == nil && a.Status == 200 {
			return
		}
	}
	c.t.Fatal("the scheduler is not ready within startTimeout")
}

// awaitExit waits for the child process to exit by itself with status 0.
func (c *child) awaitExit() {
	c.t.Helper()
	if err := testkit.Await(c.t, "the exit of the child process", c.exited); err != nil {
		c.t.Errorf("child process exited with %v, want status 0", err)
	}
	c.cmd = nil
}

func (c *child) kill() {
	if c.cmd != nil {
		_ = c.cmd.Process.Kill()
		c.t.Log("child process exited: ", <-c.exited)
		c.cmd = nil
	}
}
