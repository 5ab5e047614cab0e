// Package local runs a complete demo system on loopback: three core schedulers, an edge scheduler and four side schedulers
// as child processes, and a fake worker for each side scheduler and a client in this process.
package local

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"time"

	"sedgevale/internal/system/fakeworker"
	"sedgevale/workeragent"
)

const (
	coreCount      = 3
	sideCount      = 4
	service        = "demo"
	host           = "jobs.example"
	pathPrefix     = "/demo/"
	taskCPU        = 500  // millicores
	workerCPU      = 8000 // millicores
	workerMemMB    = 32768
	controlPort    = 18144
	clientPort     = 18149
	readinessPort  = 18141
	portRangeStart = 18160
	portRangeEnd   = 18169

	configureAttempts = 100
	configureBackoff  = 100 * time.Millisecond
)

// system is a demo system on loopback.
type system struct {
	dir       string // directory of state, settings and logs
	program   string // path of the program that runs the schedulers
	out       io.Writer
	processes []*exec.Cmd
}

// Loopback addresses. Each machine has its own IP address.
func coreIP(i int) string    { return fmt.Sprintf("127.0.40.%d", i+1) }
func sideIP(i int) string    { return fmt.Sprintf("127.0.42.%d", i+1) }
func edgeAddress() string    { return fmt.Sprintf("%s:%d", edgeIP, clientPort) }
func controlAddress() string { return fmt.Sprintf("%s:%d", coreIP(0), controlPort) }
func coreAddress() string    { return fmt.Sprintf("%s:%d", coreIP(0), portRangeStart) }

const edgeIP = "127.0.41.1"

// Run starts a system that runs the given program and stores its state in dir, and runs workers and a client until ctx is
// cancelled. It returns once all processes have exited.
func Run(ctx context.Context, dir, program string, out io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	s := &system{dir: dir, program: program, out: out}
	defer s.wait()
	defer cancel()
	if err := s.startAll(ctx); err != nil {
		return err
	}
	if err := s.configure(ctx); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(out, "clients: http://%s%s (Host: %s); operator: http://%s/sedgevale/config; members: %s\n",
		edgeAddress(), pathPrefix, host, controlAddress(), coreAddress())
	var workers sync.WaitGroup
	defer workers.Wait()
	defer cancel()
	for i := range sideCount {
		workers.Go(func() { runWorker(ctx, i) })
	}
	s.runClient(ctx)
	return nil
}

// configuration returns the initial cluster configuration.
func configuration() string {
	return fmt.Sprintf(`{"version":1,"routes":[{"name":"demo","host":%q,"path_prefix":%q,"timeout_ms":3000,`+
		`"target_latency_ms":1000,"priority":0,"service":%q,"retries":3,"extension":2}],"services":[{"name":%q}],`+
		`"limits":{"max_body_bytes":262144}}`, host, pathPrefix, service, service)
}

// configure sets the initial configuration, unless an earlier run has set one. It makes up to configureAttempts
// attempts.
func (s *system) configure(ctx context.Context) error {
	for range configureAttempts {
		status, err := putConfiguration(ctx)
		if err == nil && (status == http.StatusOK || status == http.StatusPreconditionFailed) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(configureBackoff):
		}
	}
	return fmt.Errorf("no core scheduler accepted the configuration; see the logs in %s", s.dir)
}

// putConfiguration sends the initial configuration to a core scheduler once, and returns the HTTP status.
func putConfiguration(ctx context.Context) (int, error) {
	url := "http://" + controlAddress() + "/sedgevale/config"
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader([]byte(configuration())))
	if err != nil {
		return 0, err
	}
	request.Header.Set("If-Match", "0")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}

// runWorker simulates the worker of a side scheduler until ctx is cancelled.
func runWorker(ctx context.Context, i int) {
	fakeworker.New(fakeworker.Options{
		ID: fmt.Sprintf("i-%d-%d", i+1, os.Getpid()), Service: service, SideAddress: fmt.Sprintf("%s:%d", sideIP(i), controlPort),
		Capacity: workeragent.Capacity{CPU: workerCPU, MemMB: workerMemMB}, Labels: []string{"a", fmt.Sprintf("r%d", i/2+1)},
		TaskCPU: taskCPU, MinTaskTime: 100 * time.Millisecond, MaxTaskTime: 900 * time.Millisecond, FailOneIn: 50,
		Client: &http.Client{Transport: &http.Transport{}}, Observer: discard{},
		Random: rand.New(rand.NewPCG(uint64(i), rand.Uint64())),
	}).Run(ctx)
}

// discard is a fakeworker.Observer that ignores all events.
type discard struct{}

func (discard) TaskStarted(string, string, int64, int64) {}
func (discard) TaskEnded(string, string)                 {}
func (discard) CompletionAcknowledged(string)            {}
func (discard) InvalidMessage(error)                     {}
