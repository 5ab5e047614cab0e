// Package local runs a small system on loopback for people who try it out: three core schedulers, an edge scheduler and
// four side schedulers as processes, and in this process a fake worker beside each side scheduler and a client.
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
	coreCount   = 3
	sideCount   = 4
	service     = "demo"
	host        = "jobs.example"
	prefix      = "/demo/"
	taskCPU     = 500  // millicores
	workerCPU   = 8000 // millicores
	workerMemMB = 32768
	controlPort = 18144
	clientPort  = 18149
	readyPort   = 18141
	firstPort   = 18160
	lastPort    = 18169

	configureAttempts = 100
	configureBackoff  = 100 * time.Millisecond
)

// system is a small system on loopback.
type system struct {
	dir       string // of state, settings and logs
	program   string
	out       io.Writer
	processes []*exec.Cmd
}

// Addresses on loopback. Each machine has an IP address of its own.
func coreIP(i int) string    { return fmt.Sprintf("127.0.40.%d", i+1) }
func sideIP(i int) string    { return fmt.Sprintf("127.0.42.%d", i+1) }
func edgeAddress() string    { return fmt.Sprintf("%s:%d", edgeIP, clientPort) }
func controlAddress() string { return fmt.Sprintf("%s:%d", coreIP(0), controlPort) }
func coreAddress() string    { return fmt.Sprintf("%s:%d", coreIP(0), firstPort) }

const edgeIP = "127.0.41.1"

// Run starts a system that keeps its state in dir, with the given program, and runs workers and a client until the
// context ends. It returns once all processes have ended.
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
		edgeAddress(), prefix, host, controlAddress(), coreAddress())
	var workers sync.WaitGroup
	defer workers.Wait()
	defer cancel()
	for i := range sideCount {
		workers.Go(func() { runWorker(ctx, i) })
	}
	s.runClient(ctx)
	return nil
}

// configuration returns the first configuration of the system.
func configuration() string {
	return fmt.Sprintf(`{"version":1,"routes":[{"name":"demo","host":%q,"path_prefix":%q,"timeout_ms":3000,`+
		`"target_latency_ms":1000,"priority":0,"service":%q,"retries":3,"extension":2}],"services":[{"name":%q}],`+
		`"limits":{"max_body_bytes":262144}}`, host, prefix, service, service)
}

// configure puts the first configuration, unless there is one from an earlier run.
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
	return fmt.Errorf("no core scheduler took the configuration; see the logs in %s", s.dir)
}

// putConfiguration puts the first configuration once and returns the status.
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

// runWorker simulates the worker beside a side scheduler until the context ends.
func runWorker(ctx context.Context, i int) {
	fakeworker.New(fakeworker.Options{
		ID: fmt.Sprintf("i-%d-%d", i+1, os.Getpid()), Service: service, SideAddress: fmt.Sprintf("%s:%d", sideIP(i), controlPort),
		Capacity: workeragent.Capacity{CPU: workerCPU, MemMB: workerMemMB}, Labels: []string{"a", fmt.Sprintf("r%d", i/2+1)},
		TaskCPU: taskCPU, MinTaskTime: 100 * time.Millisecond, MaxTaskTime: 900 * time.Millisecond, FailOneIn: 50,
		Client: &http.Client{Transport: &http.Transport{}}, Observer: discard{},
		Random: rand.New(rand.NewPCG(uint64(i), rand.Uint64())),
	}).Run(ctx)
}

// discard is an observer that ignores all events.
type discard struct{}

func (discard) TaskStarted(string, string, int64, int64) {}
func (discard) TaskEnded(string, string)                 {}
func (discard) EndAcknowledged(string)                   {}
func (discard) InvalidAnswer(error)                      {}
