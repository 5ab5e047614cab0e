// Package local runs a small system on loopback for people who try it out: three core schedulers, an edge and
// some side schedulers as processes of their own, stand-in workers beside them, and a stand-in client.
package local

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"sedgevale/internal/system/fakeworker"
	"sedgevale/internal/system/settings"
	"sedgevale/workeragent"
)

const (
	coreCount   = 3
	sideCount   = 4
	service     = "demo"
	host        = "jobs.example"
	prefix      = "/demo/"
	taskCPU     = 500
	workerCPU   = 8000
	controlPort = 18144
	clientPort  = 18149
	readyPort   = 18141
	portFirst   = 18160
	portLast    = 18169
	stopTimeout = 8 * time.Second
)

// System is a small system on loopback.
type System struct {
	dir     string
	program string
	out     io.Writer
	nodes   []*exec.Cmd
}

// EdgeAddress is where clients reach the system.
func EdgeAddress() string { return fmt.Sprintf("127.0.41.1:%d", clientPort) }

// ControlAddress is where the operator reaches a core scheduler.
func ControlAddress() string { return fmt.Sprintf("%s:%d", coreIP(0), controlPort) }

// CoreAddress is where the other commands reach a core scheduler.
func CoreAddress() string { return fmt.Sprintf("%s:%d", coreIP(0), portFirst) }

func coreIP(i int) string { return fmt.Sprintf("127.0.40.%d", i+1) }

func sideIP(i int) string { return fmt.Sprintf("127.0.42.%d", i+1) }

// Run starts a system whose state is kept in dir and plays workers and a client until the context ends.
func Run(ctx context.Context, dir, program string, out io.Writer) error {
	s := &System{dir: dir, program: program, out: out}
	defer s.stop()
	if err := s.startAll(); err != nil {
		return err
	}
	if err := s.configure(ctx); err != nil {
		return err
	}
	fmt.Fprintf(out, "clients: http://%s%s (Host: %s); operator: http://%s/sedgevale/config; members: %s\n",
		EdgeAddress(), prefix, host, ControlAddress(), CoreAddress())
	for i := range sideCount {
		go s.worker(ctx, i)
	}
	s.client(ctx)
	return nil
}

func (s *System) startAll() error {
	var seeds []string
	for i := range coreCount {
		seeds = append(seeds, fmt.Sprintf("%s:%d", coreIP(i), controlPort))
	}
	for i := range coreCount {
		if err := s.start("core", fmt.Sprintf("core-%d", i+1), coreIP(i), seeds); err != nil {
			return err
		}
	}
	for i := range sideCount {
		if err := s.start("side", fmt.Sprintf("side-%d", i+1), sideIP(i), seeds); err != nil {
			return err
		}
	}
	return s.start("edge", "edge-1", "127.0.41.1", seeds)
}

// start writes the settings of a process and starts it.
func (s *System) start(role, name, ip string, seeds []string) error {
	data := filepath.Join(s.dir, name)
	_, err := os.Stat(data)
	fresh := os.IsNotExist(err)
	if err := os.MkdirAll(data, 0o755); err != nil {
		return err
	}
	file := settings.Settings{
		Node: name, Role: role, MachineClass: role, IP: ip, Zone: "loopback", Region: "loopback",
		PortRange: []int{portFirst, portLast}, Seeds: seeds, Bootstrap: fresh, DataDir: data, Service: service,
		FaultTolerance: settings.FaultTolerance{Machines: 1}, HeartbeatMS: 1500,
		Limits: settings.Limits{MemoryMB: 200},
		BindAddrs: settings.BindAddrs{
			Frontend: fmt.Sprintf("%s:%d", ip, clientPort), Readiness: fmt.Sprintf("%s:%d", ip, readyPort),
			ControlPlane: fmt.Sprintf("%s:%d", ip, controlPort),
		},
	}
	text, err := json.MarshalIndent(file, "", "  ")
	if err != nil {
		return err
	}
	path := filepath.Join(s.dir, name+".json")
	if err := os.WriteFile(path, text, 0o644); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(s.dir, name+".log"))
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(s.program, role, "--metrics")
	command.Env = append(os.Environ(), settings.EnvironmentKey+"="+path)
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	s.nodes = append(s.nodes, command)
	return nil
}

// stop ends all processes that were started here.
func (s *System) stop() {
	for _, command := range s.nodes {
		_ = command.Process.Signal(syscall.SIGTERM)
	}
	ended := make(chan struct{})
	go func() {
		for _, command := range s.nodes {
			_ = command.Wait()
		}
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(stopTimeout):
		for _, command := range s.nodes {
			_ = command.Process.Kill()
		}
	}
}

// Configuration is the first configuration of the system on loopback.
func Configuration() string {
	return fmt.Sprintf(`{"version":1,"routes":[{"name":"demo","host":%q,"path_prefix":%q,"timeout_ms":3000,`+
		`"target_latency_ms":1000,"priority":0,"service":%q,"retries":3,"extension":2}],"services":[{"name":%q}],`+
		`"limits":{"max_body_bytes":262144}}`, host, prefix, service, service)
}

// configure puts the first configuration, unless there is one from an earlier run.
func (s *System) configure(ctx context.Context) error {
	url := "http://" + ControlAddress() + "/sedgevale/config"
	for range 100 {
		request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader([]byte(Configuration())))
		if err != nil {
			return err
		}
		request.Header.Set("If-Match", "0")
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK || response.StatusCode == http.StatusPreconditionFailed {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(100 * time.Millisecond):
		}
	}
	return fmt.Errorf("no core scheduler took the configuration; see the logs in %s", s.dir)
}

// worker plays one worker.
func (s *System) worker(ctx context.Context, i int) {
	fakeworker.New(fakeworker.Options{
		ID: fmt.Sprintf("i-%d-%d", i+1, os.Getpid()), Service: service, Side: fmt.Sprintf("%s:%d", sideIP(i), controlPort),
		Capacity: workeragent.Capacity{CPU: workerCPU, MemMB: 32768}, Labels: []string{"a", fmt.Sprintf("r%d", i/2+1)},
		TaskCPU: taskCPU, ShortTask: 100 * time.Millisecond, LongTask: 900 * time.Millisecond, FailOneIn: 50,
		Client: &http.Client{Transport: &http.Transport{}}, Observer: silent{},
		Random: rand.New(rand.NewPCG(uint64(i), rand.Uint64())),
	}).Run(ctx)
}

// silent observes nothing.
type silent struct{}

func (silent) Started(string, string, int64, int64) {}
func (silent) Ended(string, string)                 {}
func (silent) Noted(string)                         {}
func (silent) Wrong(error)                          {}
