// Package faultinjection is a harness for tests of several scheduler processes under faults. It runs the processes with fake
// workers, discovery and clients, connects them through relays that drop, delay, duplicate, block and reset traffic, kills and
// freezes processes, and checks the guarantees of the service using only the workers' run log and the responses to clients. All
// traffic stays on loopback.
package faultinjection

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"sedgevale/internal/fake"
	"sedgevale/internal/testkit"
)

// WorkerOptions configures a fake worker.
type WorkerOptions struct {
	Cell   int
	Slots  int
	Work   time.Duration // mean run time of a job
	Faults fake.FaultShares
}

// Options configures a Cluster.
type Options struct {
	Dir        string // directory of the operator's files and the logs
	Seed       uint64
	Schedulers int
	Workers    []WorkerOptions
	Isolated   bool // schedulers do not exchange load reports
	// Initial is the configuration at the start. If it has no tenants, the cluster gets two.
	Initial Configuration
}

// Cluster is a set of schedulers with their workers and the network between them.
type Cluster struct {
	options    Options
	Network    *Network
	RunLog     *fake.RunLog
	Workers    []*fake.Worker
	CellOf     map[string]int // cell of each worker
	Schedulers []*Scheduler

	mu      sync.Mutex            // guards drained
	drained map[string][]Interval // by worker: when discovery listed it as draining
}

// New sets up a cluster whose schedulers are not started yet. The caller must close it even after an error.
func New(o Options) (*Cluster, error) {
	if len(o.Initial.Tenants) == 0 {
		o.Initial.Tenants = []Tenant{{Name: "valley", Share: 0.6}, {Name: "east", Share: 0.4}}
	}
	c := &Cluster{options: o, Network: NewNetwork(o.Seed), RunLog: fake.NewRunLog(), CellOf: map[string]int{}, drained: map[string][]Interval{}}
	workers, err := c.addWorkers()
	if err != nil {
		return c, err
	}
	peers, err := c.addSchedulers()
	if err != nil {
		return c, err
	}
	for i, s := range c.Schedulers {
		if err := c.setUpScheduler(s, workers, peers[i], i); err != nil {
			return c, err
		}
	}
	return c, nil
}

// addWorkers starts the fake workers and returns their addresses.
func (c *Cluster) addWorkers() (addresses []string, err error) {
	resultStores := map[int]*fake.ResultStore{} // by cell
	for i, one := range c.options.Workers {
		if resultStores[one.Cell] == nil {
			resultStores[one.Cell] = fake.NewResultStore(0)
		}
		worker := fake.NewWorker(fake.WorkerOptions{ID: workerName(i), Slots: one.Slots, Faults: one.Faults, Seed: c.options.Seed + uint64(i),
			Results: resultStores[one.Cell], RunLog: c.RunLog, Work: func(_ string, rnd *rand.Rand) time.Duration {
				return time.Duration((0.5 + rnd.Float64()) * float64(one.Work))
			}})
		address, err := worker.Listen("127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		c.Workers, addresses, c.CellOf[workerName(i)] = append(c.Workers, worker), append(addresses, address), one.Cell
	}
	return addresses, nil
}

// addSchedulers chooses the schedulers' addresses and returns each scheduler's list of peer addresses.
func (c *Cluster) addSchedulers() ([][]netip.AddrPort, error) {
	var names []string
	var listen []netip.AddrPort
	for i := range c.options.Schedulers {
		s := &Scheduler{Name: fmt.Sprintf("n%d", i), file: filepath.Join(c.options.Dir, fmt.Sprintf("n%d.toml", i))}
		var err error
		if s.Listen, err = testkit.Free("tcp4"); err != nil {
			return nil, err
		}
		if s.Ops, err = testkit.Free("tcp4"); err != nil {
			return nil, err
		}
		at, err := testkit.Free("udp4")
		if err != nil {
			return nil, err
		}
		c.Schedulers, names, listen = append(c.Schedulers, s), append(names, s.Name), append(listen, netip.MustParseAddrPort(at))
	}
	return c.Network.Datagrams(names, listen)
}

// setUpScheduler creates a scheduler's discovery, its relays to the workers, its log and its operator's file.
func (c *Cluster) setUpScheduler(s *Scheduler, workers []string, peers []netip.AddrPort, index int) error {
	var members []fake.Member
	for i, one := range c.options.Workers {
		address, err := c.Network.Stream(s.Name, workerName(i), workers[i])
		if err != nil {
			return err
		}
		members = append(members, fake.Member{ID: workerName(i), HostPort: address, Locality: "hut", Flavor: "box", Cell: one.Cell,
			Phase: "ready", Size: float64(one.Slots)})
	}
	s.discovery = fake.NewDiscovery(members...)
	at, err := s.discovery.Listen("127.0.0.1:0")
	if err != nil {
		return err
	}
	if at, err = c.Network.Stream(s.Name, "discovery", at); err != nil {
		return err
	}
	if c.options.Isolated {
		peers = nil
	}
	s.configurationText = func(configuration Configuration) []byte {
		return operatorFile(s, at, index, c.options.Schedulers, peers, members, configuration)
	}
	if s.log, err = os.Create(strings.TrimSuffix(s.file, ".toml") + ".log"); err != nil {
		return err
	}
	return s.ReplaceFile(s.configurationText(c.options.Initial))
}

func workerName(i int) string { return fmt.Sprintf("box-%d", i) }

// Start starts a scheduler's process and waits until it is ready.
func (c *Cluster) Start(s *Scheduler) error {
	dir := strings.TrimSuffix(s.file, ".toml") + ".tmp"
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	command := Command(s.file, dir, s.log)
	s.mu.Lock()
	s.cmd = command
	s.up = false
	s.beginOutage()
	err := command.Start()
	s.mu.Unlock()
	if err != nil {
		return err
	}
	if err := AwaitReady(s.Listen); err != nil {
		return fmt.Errorf("%s: %w; see %s", s.Name, err, s.log.Name())
	}
	s.endOutage()
	return s.markUp()
}

// StartAll starts all schedulers and returns the first error.
func (c *Cluster) StartAll() error {
	errs := make(chan error, len(c.Schedulers))
	for _, s := range c.Schedulers {
		go func() { errs <- c.Start(s) }()
	}
	var first error
	for range c.Schedulers {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return first
}

// Drain makes discovery list a worker as draining.
func (c *Cluster) Drain(worker int) { c.setPhase(worker, "draining", 0) }

// Restart makes discovery list a worker as ready and just started.
func (c *Cluster) Restart(worker int) { c.setPhase(worker, "ready", time.Now().UnixMilli()) }

func (c *Cluster) setPhase(worker int, phase string, since int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	spans := c.drained[workerName(worker)]
	if n := len(spans); n > 0 && spans[n-1].To.IsZero() {
		spans[n-1].To = time.Now()
	}
	for _, s := range c.Schedulers {
		for _, m := range s.discovery.Members() {
			if m.ID == workerName(worker) {
				m.Phase, m.UpSince = phase, since
				s.discovery.Set(m)
			}
		}
	}
	if phase == "draining" {
		c.drained[workerName(worker)] = append(spans, Interval{From: time.Now()})
	}
}

// Observations returns the inputs of the rule checks for the given responses.
func (c *Cluster) Observations(responses []fake.Response, timeout time.Duration) Observations {
	observed := Observations{Responses: responses, RunLog: c.RunLog, CellOf: c.CellOf, Timeout: timeout, Outages: map[string][]Interval{}, Drained: map[string][]Interval{}}
	for _, s := range c.Schedulers {
		s.mu.Lock()
		observed.Outages[s.Name] = append([]Interval(nil), s.outages...)
		s.mu.Unlock()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for worker, spans := range c.drained {
		observed.Drained[worker] = append([]Interval(nil), spans...)
	}
	return observed
}

// Close stops all processes, relays and fakes.
func (c *Cluster) Close() {
	for _, s := range c.Schedulers {
		s.Kill()
		if s.discovery != nil {
			_ = s.discovery.Close()
		}
		if s.log != nil {
			_ = s.log.Close()
		}
	}
	c.Network.Close()
	for _, worker := range c.Workers {
		_ = worker.Close()
	}
}

// Reconfigure replaces the files of some schedulers and makes the schedulers reload them.
func (c *Cluster) Reconfigure(configuration Configuration, schedulers ...*Scheduler) error {
	for _, s := range schedulers {
		if err := s.ReplaceFile(s.ConfigurationFile(configuration)); err != nil {
			return err
		}
		if err := s.Hangup(); err != nil {
			return fmt.Errorf("%s: %w", s.Name, err)
		}
	}
	return nil
}
