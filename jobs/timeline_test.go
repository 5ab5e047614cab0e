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

// timeline plays a text against a scheduler. A line is a time in milliseconds, who acts (a client, an owner's disk, or a
// worker by name) and what happens; lines with = say what must be seen.
//
//	worker a cpu=4000 gpu=8 mem=64000 kind=k rack=r1 [draining 500] [active T/1] [end N/T/1/done] [inflight T/1] [expired]
//	client submit J spec | cancel J | J = running
//	disk commit                 all changes so far are durable
//	orders a = start T stop T acked 3
//	tick
//	pending q = 1               jobs of a queue of which no task has run
//	failover                    a new owner takes over the durable records
//
// A spec is stages divided by |, each with words like
// 3x cpu=500 gang racklocal after=0 checkpoints longrunning affinity=r1 antiaffinity=1 label=k est=900 gpu=2.
type timeline struct {
	t                  *testing.T
	scheduler          *Scheduler
	store              recordStore
	durableCompletions map[string]int64
	configs            []QueueConfig // of a new owner
}

var testQueues = []QueueConfig{
	{Name: "q", Priority: 0, Retries: 2, Extension: 2, TargetLatencyMS: 1000},
	{Name: "low", Priority: 2, Retries: 2, Extension: 2, TargetLatencyMS: 1000},
}

func newTimeline(t *testing.T) *timeline {
	line := &timeline{
		t: t, store: recordStore{records: map[string][]byte{}}, durableCompletions: map[string]int64{}, configs: testQueues,
	}
	line.newScheduler()
	return line
}

func (line *timeline) newScheduler() {
	line.scheduler = newTestScheduler(13*time.Second, rand.New(rand.NewPCG(1, 2)), line.configs)
}

// play plays a timeline and returns it.
func play(t *testing.T, text string) *timeline {
	t.Helper()
	line := newTimeline(t)
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
		line.step(time.Duration(ms)*time.Millisecond, fields[1:], row)
	}
	return line
}

// step plays one row and then a scheduling cycle.
func (line *timeline) step(now time.Duration, fields []string, row string) {
	line.t.Helper()
	switch fields[0] {
	case "worker":
		line.scheduler.HandleReport(now, line.report(fields[1:]))
	case "client":
		line.client(now, fields[1:], row)
	case "disk":
		line.store.commit(line.scheduler)
	case "tick":
		line.scheduler.Tick(now, now.Milliseconds())
	case "pending":
		if got := strconv.Itoa(line.scheduler.PendingJobs(fields[1])); got != fields[3] {
			line.t.Errorf("%q: got %s", row, got)
		}
	case "orders":
		line.orders(now, fields[1], strings.Join(fields[3:], " "), row)
	case "failover":
		line.newScheduler()
		line.store.restore(line.t, line.scheduler, now)
	default:
		line.t.Fatalf("%q is not understood", row)
	}
	line.scheduler.Schedule(now)
	line.store.flush(line.t, line.scheduler)
}

func (line *timeline) client(now time.Duration, fields []string, row string) {
	line.t.Helper()
	switch fields[0] {
	case "submit":
		queue := "q"
		if strings.HasPrefix(fields[1], "low") {
			queue = "low"
		}
		if _, err := line.scheduler.Submit(now, now.Milliseconds(), fields[1], queue, jobBody(fields[2:])); err != nil {
			line.t.Errorf("%q: %v", row, err)
		}
	case "cancel":
		line.scheduler.Cancel(now, fields[1])
	default:
		got, known := line.scheduler.Status(fields[0])
		if !known {
			got = "unknown"
		}
		if string(got) != fields[2] {
			line.t.Errorf("%q: got %s", row, got)
		}
	}
}

// report parses a worker's report.
func (line *timeline) report(fields []string) *Report {
	line.t.Helper()
	name := fields[0]
	r := &Report{AgentAddress: "side-" + name, AgentIncarnation: "1", Instance: "i-" + name, State: string(Ready), Labels: []string{"k", "r1"}}
	for i := 1; i < len(fields); i++ {
		if key, value, ok := strings.Cut(fields[i], "="); ok {
			line.setAttribute(r, key, value)
			continue
		}
		if fields[i] == "expired" {
			r.State = string(LeaseExpired)
			continue
		}
		line.addEvent(r, fields[i], fields[i+1])
		i++
	}
	return r
}

func (line *timeline) setAttribute(r *Report, key, value string) {
	line.t.Helper()
	switch key {
	case "cpu":
		r.Capacity.CPU = number(line.t, value)
	case "gpu":
		r.Capacity.GPU = number(line.t, value)
	case "mem":
		r.Capacity.MemMB = number(line.t, value)
	case "kind":
		r.Labels[0] = value
	case "rack":
		r.Labels[1] = value
	case "incarnation":
		r.AgentIncarnation = value
	case "instance":
		r.Instance = value
	default:
		line.t.Fatalf("worker %s=%s is not understood", key, value)
	}
}

func (line *timeline) addEvent(r *Report, event, value string) {
	line.t.Helper()
	switch event {
	case "draining":
		r.State = string(Draining)
		r.DrainRemainingMS = number(line.t, value)
	case "endall":
		line.endAll(r, value)
	case "active":
		run, checkpoint := parseRun(line.t, value)
		r.Active = append(r.Active, ActiveRun{Task: run.Task, Attempt: run.Attempt, Checkpoint: checkpoint})
	case "inflight":
		run, _ := parseRun(line.t, value)
		r.InFlight = append(r.InFlight, run)
	case "dropped":
		run, _ := parseRun(line.t, value)
		r.Dropped = append(r.Dropped, run)
	case "end":
		parts := strings.Split(value, "/")
		end := finished(number(line.t, parts[0]), RunRef{parts[1], number(line.t, parts[2])}, parts[3])
		if len(parts) > 4 {
			end.Checkpoint = parts[4]
		}
		r.Finished = append(r.Finished, end)
	default:
		line.t.Fatalf("worker %s is not understood", event)
	}
}

// endAll has all runs of a reporting worker end with one outcome.
func (line *timeline) endAll(r *Report, outcome string) {
	w := line.scheduler.workers[WorkerRef(r.Instance, r.AgentAddress)]
	if w == nil {
		return
	}
	n := w.appliedCompletions
	for ref := range w.Runs {
		n++
		r.Finished = append(r.Finished, finished(n, ref, outcome))
	}
}

// parseRun parses a run and its checkpoint from T/attempt#checkpoint.
func parseRun(t *testing.T, text string) (run RunRef, checkpoint string) {
	t.Helper()
	text, checkpoint, _ = strings.Cut(text, "#")
	task, attempt, _ := strings.Cut(text, "/")
	return RunRef{task, number(t, attempt)}, checkpoint
}

// orders compares a worker's orders with a pattern.
func (line *timeline) orders(now time.Duration, name, want, row string) {
	line.t.Helper()
	var words []string
	for _, w := range line.scheduler.workers {
		if w.Instance != "i-"+name {
			continue
		}
		orders := line.scheduler.Orders(now, w, line.durableCompletions[name])
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
		if orders.DurableCompletions > line.durableCompletions[name] {
			line.durableCompletions[name] = orders.DurableCompletions
			words = append(words, fmt.Sprintf("acked %d", orders.DurableCompletions))
		}
	}
	sort.Strings(words)
	got := strings.Join(words, " ")
	if got == "" {
		got = "nothing"
	}
	if matched, err := path.Match(want, got); err != nil || !matched {
		line.t.Errorf("%q: got %q", row, got)
	}
}
