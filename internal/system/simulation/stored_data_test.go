package simulation

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sedgevale/coord/rendezvous"
	"sedgevale/internal/system/core"
	"sedgevale/internal/system/statefile"
	"sedgevale/workeragent"
)

var updateStored = flag.Bool("update", false, "regenerate the data directories that other tests read")

// storedData is the directory of the generated data directories of core machines, which other tests read.
const storedData = "../statefile/testdata"

// storedConfiguration is the format of the configuration with which the stored jobs are submitted; its argument is the
// version.
const storedConfiguration = `{"version":%d,"routes":[` +
	`{"name":"q","host":"h","path_prefix":"/q/","timeout_ms":3000,"target_latency_ms":1000,"priority":0,"service":"svc","retries":2,"extension":2},` +
	`{"name":"r","host":"h","path_prefix":"/r/","timeout_ms":4000,"target_latency_ms":2000,"priority":1,"service":"svc","retries":0,"extension":2}],` +
	`"services":[{"name":"svc"}]}`

// storedJobs are the submitted jobs. scriptedWorker documents how their specs control the worker.
var storedJobs = []struct{ path, body string }{
	{"/q/00000000000000d1", `{"spec":"short","stages":[{"count":2,"cpu":100,"estimate_ms":200},{"count":1,"cpu":100,"depends_on":[0]}]}`},
	{"/q/00000000000000f1", `{"spec":"fail","stages":[{"count":1,"cpu":100,"estimate_ms":200}]}`},
	{"/q/00000000000000a1", `{"spec":"save","stages":[{"count":2,"cpu":150,"mem_mb":64,"estimate_ms":60000,"checkpoints":true}]}`},
	{"/r/00000000000000c1", `{"spec":"hold","stages":[{"count":1,"cpu":100,"long_running":true}],"long_running":true}`},
	{"/r/00000000000000b1", `{"spec":"hold","stages":[{"count":1,"cpu":999999}]}`},
	{"/q/00000000000000e1", `{"spec":"short","stages":[{"count":1,"cpu":100,"estimate_ms":200}],"repeat":40,"start_at_ms":946684810000,"interval_ms":4000}`},
}

// scriptedWorker simulates a worker whose runs are controlled by the spec of their job. Runs of "short" succeed at the next
// heartbeat, and runs of "fail" fail. Runs of "save" report a checkpoint and continue, except that the first attempt of the
// second task fails after its checkpoint. All other runs continue until they are stopped.
type scriptedWorker struct {
	cluster      *cluster
	client       *http.Client
	sequence     int64
	lastFinished int64
	active       []workeragent.ActiveRun
	specs        map[string]string // spec of the job by task
	finished     []workeragent.FinishedRun
}

func (s *scriptedWorker) run(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(100 * time.Millisecond)
		s.sendHeartbeat(ctx)
	}
	s.client.CloseIdleConnections()
}

func (s *scriptedWorker) sendHeartbeat(ctx context.Context) {
	s.sequence++
	heartbeat := workeragent.Heartbeat{
		Service: service, Zone: "z", Version: "v1", State: "ready", Sequence: s.sequence, Active: s.active, Finished: s.finished,
		Capacity: workeragent.Capacity{CPU: 4000, MemMB: 4096, GPU: 1}, Labels: []string{"k", "r1"},
	}
	text, err := heartbeat.MarshalJSON()
	if err != nil {
		s.cluster.violation("heartbeat: %v", err)
		return
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://10.0.2.1:80/sedgevale/instances/stored-1", bytes.NewReader(text))
	if err != nil {
		s.cluster.violation("heartbeat: %v", err)
		return
	}
	response, err := s.client.Do(request)
	if err != nil {
		return
	}
	body, err := io.ReadAll(response.Body)
	if failed := response.Body.Close(); failed != nil {
		s.cluster.violation("heartbeat: %v", failed)
	}
	answer := workeragent.HeartbeatResponse{}
	if err != nil || response.StatusCode != http.StatusOK || len(body) == 0 || answer.UnmarshalJSON(body) != nil {
		return
	}
	s.applyAnswer(&answer)
}

func (s *scriptedWorker) applyAnswer(answer *workeragent.HeartbeatResponse) {
	for len(s.finished) > 0 && s.finished[0].Number <= answer.LastSeen {
		s.finished = s.finished[1:]
	}
	stopped := map[string]bool{}
	for _, run := range answer.Stopped {
		stopped[run.Task] = true
	}
	running := s.active
	s.active = nil
	for _, run := range running {
		switch {
		case stopped[run.Task]:
			s.end(run, "stopped")
		case s.specs[run.Task] == "short":
			s.end(run, "done")
		case s.specs[run.Task] == "fail", run.Checkpoint != "" && run.Attempt == 1 && strings.HasSuffix(run.Task, ".1"):
			s.end(run, "failed")
		default:
			if s.specs[run.Task] == "save" {
				run.Checkpoint, run.Percent = fmt.Sprintf("saved/%s/%d", run.Task, run.Attempt), 40
			}
			s.active = append(s.active, run)
		}
	}
	for _, start := range answer.Started {
		s.specs[start.Task] = start.Spec
		s.active = append(s.active, workeragent.ActiveRun{Task: start.Task, Attempt: start.Attempt, Checkpoint: start.Checkpoint})
	}
}

func (s *scriptedWorker) end(run workeragent.ActiveRun, outcome string) {
	s.lastFinished++
	s.finished = append(s.finished, workeragent.FinishedRun{Number: s.lastFinished, Task: run.Task, Attempt: run.Attempt, Outcome: outcome, Checkpoint: run.Checkpoint})
}

// TestCoreDirectoryHoldsTheWholeState checks the data directories of core machines: they hold the registers, seats, shards
// and jobs of a cluster after the takeover of a shard, the loss of a disk and the start of a new generation. With
// -update it copies the directories to storedData.
func TestCoreDirectoryHoldsTheWholeState(t *testing.T) {
	runScenario(t, topology{cores: 3, tolerance: 1}, func(t *testing.T, c *cluster) {
		defer c.startScriptedWorker()()
		c.submitStoredJobs(t)
		first := c.coreNames()
		owner := rendezvousOwner(c, first)
		var others []string
		for _, name := range first {
			if name != owner {
				others = append(others, name)
			}
		}
		c.kill(owner)
		time.Sleep(5 * time.Second)
		c.kill(others[0])
		c.checkDirectory(t, others[0], "takeover", "epoch 1 of", "shard svc: token 2,", "configuration 2\n")
		c.start(others[0])
		time.Sleep(4 * time.Second)
		c.wipeDisk(owner)
		c.start(owner)
		time.Sleep(catchUpTimeout)
		c.putStoredConfiguration(t, 3)
		c.submitStoredJob(t, "/r/00000000000000b2", storedJobs[4].body)
		c.kill(others[0])
		c.start(others[0])
		time.Sleep(4 * time.Second)
		c.submitStoredJob(t, "/q/00000000000000b3", storedJobs[4].body)
		time.Sleep(time.Second)
		c.kill(others[0])
		c.checkDirectory(t, others[0], "generation", "epoch 3 of", "life 3,", "shard svc: token 2,", "configuration 3\n")
		c.kill(owner)
		c.checkDirectory(t, owner, "rejoined", "epoch 3 of", "joined in epoch 2\n", "votes true,", "configuration 3\n")
	})
}

// startScriptedWorker replaces the fake workers by a scripted worker and returns the function that stops it.
func (c *cluster) startScriptedWorker() context.CancelFunc {
	for i := range sideCount {
		c.workers[fmt.Sprint("side", i)].crash()
	}
	h := c.network.host("w10.0.2.1")
	worker := &scriptedWorker{
		cluster: c, client: &http.Client{Transport: &http.Transport{DialContext: h.dial}, Timeout: 2 * time.Second}, specs: map[string]string{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.background.Add(1)
	go func() {
		defer c.background.Done()
		worker.run(ctx)
	}()
	return cancel
}

// submitStoredJobs submits the stored jobs and cancels one of them.
func (c *cluster) submitStoredJobs(t *testing.T) {
	t.Helper()
	c.putStoredConfiguration(t, 2)
	time.Sleep(2 * time.Second)
	for _, job := range storedJobs {
		c.submitStoredJob(t, job.path, job.body)
	}
	time.Sleep(6 * time.Second)
	if status, _ := c.call(http.MethodDelete, "10.0.1.1:90", storedJobs[3].path, "h", "", ""); status != http.StatusOK {
		t.Fatalf("cancellation of a stored job: status %d", status)
	}
	time.Sleep(2 * time.Second)
}

func (c *cluster) putStoredConfiguration(t *testing.T, version int64) {
	t.Helper()
	status, text := c.call(http.MethodPut, "10.0.0.2:80", "/sedgevale/config", "", fmt.Sprint(version-1), fmt.Sprintf(storedConfiguration, version))
	if status != http.StatusOK {
		t.Fatalf("configuration version %d: status %d, body %s", version, status, text)
	}
}

func (c *cluster) submitStoredJob(t *testing.T, path, body string) {
	t.Helper()
	if status, text := c.call(http.MethodPost, "10.0.1.1:90", path, "h", "", body); status != http.StatusOK {
		t.Fatalf("submission of %s: status %d, body %s", path, status, text)
	}
}

// rendezvousOwner returns the core machine that owns the shard while all of the given machines are up.
func rendezvousOwner(c *cluster, names []string) string {
	var addresses []string
	byAddress := map[string]string{}
	for _, name := range names {
		address := c.machine(name).ip + ":7000"
		addresses = append(addresses, address)
		byAddress[address] = name
	}
	return byAddress[rendezvous.Highest(service, addresses)]
}

// checkDirectory checks that the description of a stopped core machine's data directory contains the given parts and that
// its files are complete. With -update it copies the directory to storedData.
func (c *cluster) checkDirectory(t *testing.T, name, stored string, parts ...string) {
	t.Helper()
	dir := c.machine(name).dir
	var text strings.Builder
	if err := core.Describe(dir, &text); err != nil {
		t.Fatal(err)
	}
	for _, part := range parts {
		if !strings.Contains(text.String(), part) {
			t.Errorf("%s: the description does not contain %q:\n%s", stored, part, text.String())
		}
	}
	files, err := statefile.Inspect(dir)
	if err != nil || len(files) != 2 || !files[0].Complete || !files[1].Complete {
		t.Errorf("%s: files %+v, error %v", stored, files, err)
	}
	if !*updateStored {
		return
	}
	to := filepath.Join(storedData, stored)
	if err := os.RemoveAll(to); err != nil {
		t.Fatal(err)
	}
	if err := os.CopyFS(to, os.DirFS(dir)); err != nil {
		t.Fatal(err)
	}
	t.Logf("copied the data directory of %s to %s:\n%s", name, to, text.String())
}
