package simulation

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"sedgevale/internal/system/core"
	"sedgevale/internal/system/edge"
	"sedgevale/internal/system/fakeworker"
	"sedgevale/internal/system/node"
	"sedgevale/internal/system/settings"
	"sedgevale/internal/system/side"
	"sedgevale/workeragent"
)

const (
	service   = "svc"
	taskCPU   = 500 // millicores
	coreCount = 4   // core machines of the default topology: three seeds and a spare
	sideCount = 3

	defaultWorkerTasks = 8 // tasks that fit on a worker
)

// topology is the initial number of core machines of a cluster, and how many simultaneous failures of them it tolerates.
type topology struct {
	cores, tolerance int
}

var initialSeeds = []string{"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"}

var defaultTopology = topology{cores: coreCount, tolerance: 1}

// machine is a machine of the cluster. It persists across restarts of its process.
type machine struct {
	name      string
	ip        string
	class     string
	dir       string
	host      *host
	cancel    context.CancelCauseFunc
	ended     chan struct{}
	bootstrap bool
}

// runningWorker is a worker of a side machine.
type runningWorker struct {
	*fakeworker.Worker

	crash context.CancelFunc
}

// cluster is a simulated cluster: real schedulers and fake workers on a simulated network, with methods that act as clients
// and operators and inject faults.
type cluster struct {
	t                  *testing.T
	network            *network
	random             *rand.Rand
	checker            *checker
	machines           map[string]*machine
	columns            []string                  // names of the machines in the order of the timeline's columns
	workers            map[string]*runningWorker // by the name of the side machine
	workerIncarnations int
	workerTasks        int               // capacity of the workers that are started from now on, in tasks
	workerServices     map[string]string // services of workers by the name of the side machine; service if missing
	topology           topology
	seeds              []string // seeds in the settings of processes that are started from now on
	coresAdded         int      // number of core machines added so far
	decommissioned     map[string]bool
	started            time.Time
	background         sync.WaitGroup

	mu                  sync.Mutex // guards random, machines, columns and the fields below
	timeline            []string
	acceptedJobs        map[string]bool
	acknowledgedVersion int64 // newest version of the configuration that was acknowledged to an operator
}

func newCluster(t *testing.T, seed uint64) *cluster { return newClusterOf(t, seed, defaultTopology) }

func newClusterOf(t *testing.T, seed uint64, size topology) *cluster {
	c := &cluster{
		topology: size, seeds: initialSeeds, decommissioned: map[string]bool{},
		t: t, network: newNetwork(), random: rand.New(rand.NewPCG(seed, 11)), checker: newChecker(time.Now()),
		machines: map[string]*machine{}, workers: map[string]*runningWorker{}, workerTasks: defaultWorkerTasks, started: time.Now(), acceptedJobs: map[string]bool{},
	}
	for range size.cores {
		c.addCore(true)
	}
	for i := range sideCount {
		c.add("side", i, fmt.Sprintf("10.0.2.%d", i+1))
	}
	c.add("edge", 0, "10.0.1.1")
	for _, name := range c.columns {
		c.start(name)
	}
	for i := range sideCount {
		c.startWorker("side" + strconv.Itoa(i))
	}
	return c
}

// add adds a machine with an empty disk, and does not start it.
func (c *cluster) add(class string, index int, ip string) {
	name := class + strconv.Itoa(index)
	c.machines[name] = &machine{name: name, ip: ip, class: class, dir: c.t.TempDir(), bootstrap: true}
	c.columns = append(c.columns, name)
}

// addCore adds a core machine with an empty disk and returns its name.
func (c *cluster) addCore(bootstrap bool) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.coresAdded++
	c.add("core", c.coresAdded-1, fmt.Sprintf("10.0.0.%d", c.coresAdded))
	name := "core" + strconv.Itoa(c.coresAdded-1)
	c.machines[name].bootstrap = bootstrap
	return name
}

// coreNames returns the names of the core machines that have not been decommissioned.
func (c *cluster) coreNames() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for _, name := range c.columns {
		if c.machines[name].class == "core" && !c.decommissioned[name] {
			names = append(names, name)
		}
	}
	return names
}

// anyCore returns a random core machine.
func (c *cluster) anyCore() *machine {
	names := c.coreNames()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machines[names[c.random.IntN(len(names))]]
}

// intN returns a random number in [0, n).
func (c *cluster) intN(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.IntN(n)
}

// rotateSeeds replaces the seeds in the settings of processes that are started from now on.
func (c *cluster) rotateSeeds() {
	names := c.coreNames()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = nil
	for _, i := range c.random.Perm(len(names))[:min(3, len(names))] {
		c.seeds = append(c.seeds, c.machines[names[i]].ip+":80")
	}
}

// logger returns a logger that records changes of ownership and membership in the machine's column of the timeline.
func (c *cluster) logger(name string) logr.Logger {
	return funcr.New(func(_, line string) {
		for _, about := range []string{"shard taken over", "shard lost", "membership", "voter"} {
			if strings.Contains(line, about) {
				c.record(name, "%s", line)
			}
		}
	}, funcr.Options{})
}

// record adds an event to the machine's column of the timeline.
func (c *cluster) record(name, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	column := slices.Index(c.columns, name)
	c.timeline = append(c.timeline, fmt.Sprintf("%7.2f %s%s", time.Since(c.started).Seconds(),
		strings.Repeat("          ", column), fmt.Sprintf(format, args...)))
}

// logTimeline logs the timeline of a test that has failed.
func (c *cluster) logTimeline(t *testing.T, seed uint64) {
	if t.Failed() {
		t.Logf("seed %d, %+v\n%s", seed, c.topology, strings.Join(c.timeline, "\n"))
	}
}

// violation records a violation of an invariant.
func (c *cluster) violation(format string, args ...any) {
	c.checker.mu.Lock()
	defer c.checker.mu.Unlock()
	c.checker.violation(format, args...)
}

func (c *cluster) settings(m *machine) *settings.Settings {
	s := &settings.Settings{
		Node: m.name, IP: m.ip, Zone: "z", MachineClass: m.class, PortRange: []int{7000, 7010}, Bootstrap: m.bootstrap,
		Seeds: slices.Clone(c.seeds), Service: service, HeartbeatMS: 1500,
		FaultTolerance: settings.FaultTolerance{Machines: max(1, c.topology.tolerance)}, DataDir: m.dir,
		Bounds: settings.Bounds{MaxLeaseMS: 10000, EndedJobRetentionS: 120, GraceS: 6, RemoteSlowdown: 1.5},
		BindAddrs: settings.BindAddrs{
			Frontend: m.ip + ":90", Readiness: m.ip + ":91", ControlPlane: m.ip + ":80",
		},
	}
	return s
}

// start starts a new incarnation of a machine's process.
func (c *cluster) start(name string) {
	c.mu.Lock()
	m := c.machines[name]
	m.host = c.network.host(m.ip)
	process := node.NewProcess(c.settings(m), c.logger(name), m.host.dial, m.host.listen)
	c.mu.Unlock()
	ctx, cancel := context.WithCancelCause(context.Background())
	m.cancel = cancel
	m.ended = make(chan struct{})
	role := map[string]node.Role{"core": core.Run, "edge": edge.Run, "side": side.Run}[m.class]
	ended := m.ended
	c.background.Add(1)
	go func() {
		defer c.background.Done()
		if err := role(ctx, process); err != nil && !errors.Is(context.Cause(ctx), node.ErrKilled) {
			c.violation("process of %s stopped unexpectedly: %v", name, err)
		}
		process.Close()
		close(ended)
	}()
	m.bootstrap = false
	c.record(name, "start")
}

// kill stops a machine's process immediately, as in a power failure.
func (c *cluster) kill(name string) {
	m := c.machine(name)
	m.host.kill()
	m.cancel(node.ErrKilled)
	c.record(name, "kill")
	<-m.ended
}

// terminate shuts down a machine's process gracefully, and waits for it to exit within its grace period.
func (c *cluster) terminate(name string) {
	m := c.machine(name)
	c.record(name, "term")
	m.cancel(nil)
	select {
	case <-m.ended:
	case <-time.After(6 * time.Second):
		c.violation("process of %s did not exit within its grace period", name)
		c.kill(name)
	}
	m.host.kill()
	c.record(name, "ended")
}

func (c *cluster) machine(name string) *machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machines[name]
}

// wipeDisk gives a stopped machine an empty disk.
func (c *cluster) wipeDisk(name string) {
	c.machine(name).dir = c.t.TempDir()
	c.record(name, "wipe")
}

// tearLog appends a partial frame to a stopped machine's log, as left by a power failure during a write.
func (c *cluster) tearLog(name string) {
	logs, _ := filepath.Glob(filepath.Join(c.machine(name).dir, "log-*"))
	if len(logs) == 0 {
		return
	}
	file, err := os.OpenFile(logs[len(logs)-1], os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		c.t.Fatal(err)
	}
	_, err = file.Write([]byte{200, 0, 0, 0, 1, 2, 3, 4, 5})
	if err := errors.Join(err, file.Close()); err != nil {
		c.t.Fatal(err)
	}
	c.record(name, "torn")
}

// startWorker starts a new incarnation of a side machine's worker.
func (c *cluster) startWorker(name string) {
	c.mu.Lock()
	m := c.machines[name]
	c.workerIncarnations++
	ctx, cancel := context.WithCancel(context.Background())
	incarnation := c.workerIncarnations
	workerService := c.workerServices[name]
	if workerService == "" {
		workerService = service
	}
	c.mu.Unlock()
	h := c.network.host("w" + m.ip)
	worker := fakeworker.New(fakeworker.Options{
		ID: fmt.Sprintf("i-%d", incarnation), Service: workerService, SideAddress: m.ip + ":80", TaskCPU: taskCPU,
		Capacity: workeragent.Capacity{CPU: int64(c.workerTasks) * taskCPU}, Labels: []string{"k", "r1"},
		MinTaskTime: 100 * time.Millisecond, MaxTaskTime: time.Second, FailOneIn: 30, ClockDrift: 0.02, Observer: c.checker,
		Random: rand.New(rand.NewPCG(uint64(incarnation), 5)),
		Client: &http.Client{Transport: &http.Transport{DialContext: h.dial}},
	})
	c.mu.Lock()
	c.workers[name] = &runningWorker{worker, cancel}
	c.mu.Unlock()
	c.background.Add(1)
	go func() {
		defer c.background.Done()
		worker.Run(ctx)
		h.kill()
	}()
	c.record(name, "worker %d", incarnation)
}

// stop kills all processes and workers, and waits for them.
func (c *cluster) stop() {
	for _, worker := range c.workers {
		worker.crash()
	}
	for _, name := range c.columns {
		m := c.machine(name)
		m.host.kill()
		m.cancel(node.ErrKilled)
	}
	c.background.Wait()
}
