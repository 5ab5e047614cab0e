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

// play runs a timeline against a Book. A line is a time in milliseconds, who acts (a client, an owner's disk, or a
// worker by name) and what happens; lines with = tell what must be seen.
//
//	worker a cpu=4000 gpu=8 mem=64000 kind=k rack=r1 [draining 500] [active T/1:50] [end N/T/1/done] [held T/1] [lapsed]
//	client submit J spec | cancel J | J = running
//	disk commit                 all changes so far are durable
//	orders a = start T stop T noted 3
//	tick
//	pending q = 1               jobs of a queue of which no task has begun
//	failover                    a new owner takes the durable records over
//
// A spec is steps divided by |, each with words like 3x cpu=500 gang after=0 keep lasts near=r1 apart=1 est=900 gpu=2.
type timeline struct {
	t                  *testing.T
	scheduler          *Book
	records            map[string][]byte // durable
	pending            []Change
	last               int64
	durableCompletions map[string]int64
	ended              map[string][]EndedRun
	configs            []QueueConfig // that a new owner is told
}

var testQueues = []QueueConfig{
	{Name: "q", Priority: 0, Retries: 2, Extension: 2, TargetLatencyMS: 1000},
	{Name: "low", Priority: 2, Retries: 2, Extension: 2, TargetLatencyMS: 1000},
}

func newTimeline(t *testing.T) *timeline {
	line := &timeline{t: t, records: map[string][]byte{}, durableCompletions: map[string]int64{}, ended: map[string][]EndedRun{}, configs: testQueues}
	line.newScheduler()
	return line
}

func (line *timeline) newScheduler() {
	line.scheduler = New(Options{LapseAfter: 13 * time.Second, KeepEnded: time.Minute, FarX: 1.5}, rand.New(rand.NewPCG(1, 2)))
	line.scheduler.Configure(line.configs)
}

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

func (line *timeline) step(now time.Duration, fields []string, row string) {
	line.t.Helper()
	switch fields[0] {
	case "worker":
		line.scheduler.Report(now, line.report(fields[1:]))
	case "client":
		line.client(now, fields[1:], row)
	case "disk":
		line.commit()
	case "tick":
		line.scheduler.Tick(now, now.Milliseconds())
	case "pending":
		if got := strconv.Itoa(line.scheduler.Pending(fields[1])); got != fields[3] {
			line.t.Errorf("%q: got %s", row, got)
		}
	case "orders":
		line.orders(now, fields[1], strings.Join(fields[3:], " "), row)
	case "failover":
		line.pending = nil
		line.newScheduler()
		var records []Change
		for key, value := range line.records {
			records = append(records, Change{key, value})
		}
		if err := line.scheduler.Restore(now, records); err != nil {
			line.t.Fatalf("%q: %v", row, err)
		}
	default:
		line.t.Fatalf("%q is not understood", row)
	}
	line.scheduler.Schedule(now)
	line.flush()
}

func (line *timeline) flush() {
	last, err := line.scheduler.Flush(func(c Change) int64 {
		line.pending = append(line.pending, c)
		line.last++
		return line.last
	}, line.last)
	if err != nil {
		line.t.Fatal(err)
	}
	line.last = last
}

// commit makes all changes so far durable.
func (line *timeline) commit() {
	for _, c := range line.pending {
		if c.Value == nil {
			delete(line.records, c.Key)
		} else {
			line.records[c.Key] = c.Value
		}
	}
	line.pending = nil
	line.scheduler.Committed(line.last)
}

func (line *timeline) client(now time.Duration, fields []string, row string) {
	line.t.Helper()
	switch {
	case fields[0] == "submit":
		queue := "q"
		if strings.HasPrefix(fields[1], "low") {
			queue = "low"
		}
		if _, err := line.scheduler.Submit(now, now.Milliseconds(), fields[1], queue, jobBody(fields[2:])); err != nil {
			line.t.Errorf("%q: %v", row, err)
		}
	case fields[0] == "cancel":
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

func jobBody(words []string) []byte {
	var steps []string
	step := map[string]string{}
	job := ""
	flush := func() {
		var parts []string
		for name, value := range step {
			parts = append(parts, strconv.Quote(name)+":"+value)
		}
		steps = append(steps, "{"+strings.Join(parts, ",")+"}")
		step = map[string]string{}
	}
	for _, word := range words {
		name, value, _ := strings.Cut(word, "=")
		switch {
		case word == "|":
			flush()
		case strings.HasSuffix(word, "x"):
			step["count"] = strings.TrimSuffix(word, "x")
		case name == "gang":
			step["gang"] = "true"
		case name == "tight":
			step["rack_local"] = "true"
		case name == "keep":
			step["checkpoints"] = "true"
		case name == "lasts":
			step["long_running"] = "true"
		case name == "after":
			step["depends_on"] = "[" + value + "]"
		case name == "near":
			step["affinity_to"] = strconv.Quote(value)
		case name == "label":
			step["constraints"] = strconv.Quote(value)
		case name == "mem":
			step["mem_mb"] = value
		case name == "apart":
			step["anti_affinity"] = value
		case name == "est":
			step["estimate_ms"] = value
		case name == "repeat":
			job += `,"repeat":` + value
		case name == "at":
			job += `,"start_at_ms":` + value
		case name == "every":
			job += `,"interval_ms":` + value
		default:
			step[name] = value
		}
	}
	flush()
	return []byte(`{"spec":"text","stages":[` + strings.Join(steps, ",") + `]` + job + `}`)
}

func (line *timeline) report(fields []string) *Report {
	name := fields[0]
	r := &Report{Side: "side-" + name, Life: "1", Instance: "i-" + name, State: string(Ready), Labels: []string{"k", "r1"}}
	for i := 1; i < len(fields); i++ {
		key, value, has := strings.Cut(fields[i], "=")
		switch {
		case has && key == "cpu":
			r.Capacity.CPU, _ = strconv.ParseInt(value, 10, 64)
		case has && key == "gpu":
			r.Capacity.GPU, _ = strconv.ParseInt(value, 10, 64)
		case has && key == "mem":
			r.Capacity.MemMB, _ = strconv.ParseInt(value, 10, 64)
		case has && key == "kind":
			r.Labels[0] = value
		case has && key == "rack":
			r.Labels[1] = value
		case has && key == "life":
			r.Life = value
		case has && key == "instance":
			r.Instance = value
		case fields[i] == "draining":
			i++
			r.State = string(Draining)
			r.RemainingMS, _ = strconv.ParseInt(fields[i], 10, 64)
		case fields[i] == "endall":
			i++
			line.endAll(r, fields[i])
		case fields[i] == "lapsed":
			r.State = string(Lapsed)
		case fields[i] == "active":
			i++
			r.Active = append(r.Active, parseActive(fields[i]))
		case fields[i] == "held":
			i++
			ref := parseActive(fields[i])
			r.Held = append(r.Held, RunRef{ref.Task, ref.Attempt})
		case fields[i] == "dropped":
			i++
			ref := parseActive(fields[i])
			r.Dropped = append(r.Dropped, RunRef{ref.Task, ref.Attempt})
		case fields[i] == "end":
			i++
			parts := strings.Split(fields[i], "/")
			number, _ := strconv.ParseInt(parts[0], 10, 64)
			attempt, _ := strconv.ParseInt(parts[2], 10, 64)
			end := EndedRun{Number: number, Task: parts[1], Attempt: attempt, How: parts[3]}
			if len(parts) > 4 {
				end.Saved = parts[4]
			}
			r.Finished = append(r.Finished, end)
		}
	}
	return r
}

// endAll has all runs of a reporting worker end in one way.
func (line *timeline) endAll(r *Report, how string) {
	w := line.scheduler.workers[WorkerRef(r.Instance, r.Side)]
	if w == nil {
		return
	}
	number := w.appliedCompletions
	for key := range w.Runs {
		number++
		r.Finished = append(r.Finished, EndedRun{Number: number, Task: key.Task, Attempt: key.Attempt, How: how})
	}
}

func parseActive(text string) ActiveRun {
	text, saved, _ := strings.Cut(text, "#")
	task, attempt, _ := strings.Cut(text, "/")
	n, _ := strconv.ParseInt(attempt, 10, 64)
	return ActiveRun{Task: task, Attempt: n, Saved: saved}
}

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
			if start.Saved != "" {
				word += "#" + start.Saved
			}
			words = append(words, word)
		}
		for _, stop := range orders.Stops {
			words = append(words, fmt.Sprintf("stop %s/%d", stop.Task, stop.Attempt))
		}
		if orders.Noted > line.durableCompletions[name] {
			line.durableCompletions[name] = orders.Noted
			words = append(words, fmt.Sprintf("noted %d", orders.Noted))
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
