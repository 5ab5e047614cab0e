package jobs

import (
	"fmt"
	"math/rand/v2"
	"path"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"
)

// scenario runs a scripted sequence of events against a scheduler. Each line has a time in milliseconds, an actor (such as a
// client, the owner's disk or a named worker) and an event. A line with " = " states what is expected.
//
//	worker a cpu=4000 gpu=8 mem=64000 kind=k rack=r1 [draining 500] [active T/1] [end N/T/1/done] [inflight T/1] [expired]
//	client submit J spec | cancel J | J = running
//	disk commit                 commits all changes so far
//	orders a = start T stop T acked 3
//	tick
//	pending q = 1               expected PendingJobs of a queue
//	failover                    a new owner restores the committed records
//
// A spec consists of stages separated by |. A stage consists of words such as
// 3x cpu=500 gang racklocal after=0 checkpoints longrunning affinity=r1 antiaffinity=1 label=k est=900 gpu=2.
type scenario struct {
	t                  *testing.T
	scheduler          *Scheduler
	store              recordStore
	durableCompletions map[string]int64
	configs            []QueueConfig // queue configurations of a new owner
}

var testQueues = []QueueConfig{
	{Name: "q", Priority: 0, Retries: 2, Extension: 2, TargetLatencyMS: 1000},
	{Name: "low", Priority: 2, Retries: 2, Extension: 2, TargetLatencyMS: 1000},
}

func newScenario(t *testing.T) *scenario {
	sc := &scenario{
		t: t, store: recordStore{records: map[string][]byte{}}, durableCompletions: map[string]int64{}, configs: testQueues,
	}
	sc.newScheduler()
	return sc
}

func (sc *scenario) newScheduler() {
	sc.scheduler = newTestScheduler(13*time.Second, rand.New(rand.NewPCG(1, 2)), sc.configs)
}

// runScenario runs the lines of a scenario and returns it.
func runScenario(t *testing.T, text string) *scenario {
	t.Helper()
	sc := newScenario(t)
	for _, row := range strings.Split(text, "\n") {
		row = strings.TrimSpace(row)
		if row == "" || strings.HasPrefix(row, "#") {
			continue
		}
		fields := strings.Fields(row)
		ms, err := strconv.Atoi(fields[0])
		if err != nil {
			t.Fatalf("%q: %v", row, err)
		}
		sc.step(time.Duration(ms)*time.Millisecond, fields[1:], row)
	}
	return sc
}

// step runs one line of a scenario, then a scheduling cycle and a flush.
func (sc *scenario) step(now time.Duration, fields []string, row string) {
	sc.t.Helper()
	switch fields[0] {
	case "worker":
		sc.scheduler.HandleReport(now, sc.report(fields[1:]))
	case "client":
		sc.client(now, fields[1:], row)
	case "disk":
		sc.store.commit(sc.scheduler)
	case "tick":
		sc.scheduler.Tick(now, now.Milliseconds())
	case "pending":
		if got := strconv.Itoa(sc.scheduler.PendingJobs(fields[1], "")); got != fields[3] {
			sc.t.Errorf("%q: got %s", row, got)
		}
	case "orders":
		sc.orders(now, fields[1], strings.Join(fields[3:], " "), row)
	case "failover":
		sc.newScheduler()
		sc.store.restore(sc.t, sc.scheduler, now)
	default:
		sc.t.Fatalf("unknown event in %q", row)
	}
	sc.scheduler.Schedule(now)
	sc.store.flush(sc.t, sc.scheduler)
}

func (sc *scenario) client(now time.Duration, fields []string, row string) {
	sc.t.Helper()
	switch fields[0] {
	case "submit":
		queue := "q"
		if strings.HasPrefix(fields[1], "low") {
			queue = "low"
		}
		if _, err := sc.scheduler.Submit(now, now.Milliseconds(), &Submission{ID: fields[1], Queue: queue, Body: jobBody(fields[2:])}); err != nil {
			sc.t.Errorf("%q: %v", row, err)
		}
	case "cancel":
		sc.scheduler.Cancel(now, JobRef{ID: fields[1]})
	default:
		got, known := sc.scheduler.Status(JobRef{ID: fields[0]})
		if !known {
			got = "unknown"
		}
		if string(got) != fields[2] {
			sc.t.Errorf("%q: got %s", row, got)
		}
	}
}

// report parses the report about a worker.
func (sc *scenario) report(fields []string) *Report {
	sc.t.Helper()
	name := fields[0]
	r := &Report{AgentAddress: "agent-" + name, AgentIncarnation: "1", Instance: "i-" + name, State: string(Ready), Labels: []string{"k", "r1"}}
	for i := 1; i < len(fields); i++ {
		if key, value, ok := strings.Cut(fields[i], "="); ok {
			sc.setAttribute(r, key, value)
			continue
		}
		if fields[i] == "expired" {
			r.State = string(LeaseExpired)
			continue
		}
		sc.addEvent(r, fields[i], fields[i+1])
		i++
	}
	return r
}

func (sc *scenario) setAttribute(r *Report, key, value string) {
	sc.t.Helper()
	switch key {
	case "cpu":
		r.Capacity.CPU = number(sc.t, value)
	case "gpu":
		r.Capacity.GPU = number(sc.t, value)
	case "mem":
		r.Capacity.MemMB = number(sc.t, value)
	case "kind":
		r.Labels[0] = value
	case "rack":
		r.Labels[1] = value
	case "incarnation":
		r.AgentIncarnation = value
	case "instance":
		r.Instance = value
	default:
		sc.t.Fatalf("unknown worker attribute %s=%s", key, value)
	}
}

func (sc *scenario) addEvent(r *Report, event, value string) {
	sc.t.Helper()
	switch event {
	case "draining":
		r.State = string(Draining)
		r.DrainRemainingMS = number(sc.t, value)
	case "endall":
		sc.endAll(r, value)
	case "active":
		run, checkpoint := parseRun(sc.t, value)
		r.Active = append(r.Active, ActiveRun{Task: run.Task, Attempt: run.Attempt, Checkpoint: checkpoint})
	case "inflight":
		run, _ := parseRun(sc.t, value)
		r.InFlight = append(r.InFlight, run)
	case "dropped":
		run, _ := parseRun(sc.t, value)
		r.Dropped = append(r.Dropped, run)
	case "end":
		parts := strings.Split(value, "/")
		end := finished(number(sc.t, parts[0]), RunRef{parts[1], number(sc.t, parts[2])}, parts[3])
		if len(parts) > 4 {
			end.Checkpoint = parts[4]
		}
		r.Finished = append(r.Finished, end)
	default:
		sc.t.Fatalf("unknown worker event %s", event)
	}
}

// endAll adds all runs of a worker to its report as finished with one outcome.
func (sc *scenario) endAll(r *Report, outcome string) {
	w := sc.scheduler.workers[WorkerRef(r.Instance, r.AgentAddress)]
	if w == nil {
		return
	}
	n := w.appliedCompletions
	for ref := range w.Runs {
		n++
		r.Finished = append(r.Finished, finished(n, ref, outcome))
	}
}

// parseRun parses a run and its checkpoint from the form task/attempt#checkpoint.
func parseRun(t *testing.T, text string) (run RunRef, checkpoint string) {
	t.Helper()
	text, checkpoint, _ = strings.Cut(text, "#")
	task, attempt, _ := strings.Cut(text, "/")
	return RunRef{task, number(t, attempt)}, checkpoint
}

// orders compares the orders to a worker with a pattern of path.Match.
func (sc *scenario) orders(now time.Duration, name, want, row string) {
	sc.t.Helper()
	var words []string
	for _, w := range sc.scheduler.workers {
		if w.Instance != "i-"+name {
			continue
		}
		orders := sc.scheduler.Orders(now, w, sc.durableCompletions[name])
		if orders == nil {
			continue
		}
		for _, start := range orders.Starts {
			word := fmt.Sprintf("start %s/%d", start.Task, start.Attempt)
			if start.Checkpoint != "" {
				word += "#" + start.Checkpoint
			}
			words = append(words, word)
		}
		for _, stop := range orders.Stops {
			words = append(words, fmt.Sprintf("stop %s/%d", stop.Task, stop.Attempt))
		}
		if orders.DurableCompletions > sc.durableCompletions[name] {
			sc.durableCompletions[name] = orders.DurableCompletions
			words = append(words, fmt.Sprintf("acked %d", orders.DurableCompletions))
		}
	}
	sort.Strings(words)
	got := strings.Join(words, " ")
	if got == "" {
		got = "nothing"
	}
	if matched, err := path.Match(want, got); err != nil || !matched {
		sc.t.Errorf("%q: got %q", row, got)
	}
}
