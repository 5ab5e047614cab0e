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
type stage struct {
	t       *testing.T
	book    *Book
	records map[string][]byte // durable
	pending []Change
	last    int64
	noted   map[string]int64
	ended   map[string][]EndedRun
	configs []QueueConfig // that a new owner is told
}

var testQueues = []QueueConfig{
	{Name: "q", Priority: 0, Retries: 2, Extension: 2, TargetLatencyMS: 1000},
	{Name: "low", Priority: 2, Retries: 2, Extension: 2, TargetLatencyMS: 1000},
}

func newStage(t *testing.T) *stage {
	s := &stage{t: t, records: map[string][]byte{}, noted: map[string]int64{}, ended: map[string][]EndedRun{}, configs: testQueues}
	s.fresh()
	return s
}

func (s *stage) fresh() {
	s.book = New(Options{LapseAfter: 13 * time.Second, KeepEnded: time.Minute, FarX: 1.5}, rand.New(rand.NewPCG(1, 2)))
	s.book.Configure(s.configs)
}

func play(t *testing.T, text string) *stage {
	t.Helper()
	s := newStage(t)
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
		s.step(time.Duration(ms)*time.Millisecond, fields[1:], row)
	}
	return s
}

func (s *stage) step(now time.Duration, fields []string, row string) {
	s.t.Helper()
	switch fields[0] {
	case "worker":
		s.book.Report(now, s.report(fields[1:]))
	case "client":
		s.client(now, fields[1:], row)
	case "disk":
		s.commit()
	case "tick":
		s.book.Tick(now, now.Milliseconds())
	case "pending":
		if got := strconv.Itoa(s.book.Pending(fields[1])); got != fields[3] {
			s.t.Errorf("%q: got %s", row, got)
		}
	case "orders":
		s.orders(now, fields[1], strings.Join(fields[3:], " "), row)
	case "failover":
		s.pending = nil
		s.fresh()
		var records []Change
		for key, value := range s.records {
			records = append(records, Change{key, value})
		}
		if err := s.book.Restore(now, records, ""); err != nil {
			s.t.Fatalf("%q: %v", row, err)
		}
	default:
		s.t.Fatalf("%q is not understood", row)
	}
	s.book.Schedule(now)
	s.flush()
}

func (s *stage) flush() {
	last, err := s.book.Flush(func(c Change) int64 {
		s.pending = append(s.pending, c)
		s.last++
		return s.last
	}, s.last)
	if err != nil {
		s.t.Fatal(err)
	}
	s.last = last
}

// commit makes all changes so far durable.
func (s *stage) commit() {
	for _, c := range s.pending {
		if c.Value == nil {
			delete(s.records, c.Key)
		} else {
			s.records[c.Key] = c.Value
		}
	}
	s.pending = nil
	s.book.Committed(s.last)
}

func (s *stage) client(now time.Duration, fields []string, row string) {
	s.t.Helper()
	switch {
	case fields[0] == "submit":
		queue := "q"
		if strings.HasPrefix(fields[1], "low") {
			queue = "low"
		}
		if _, err := s.book.Submit(now, now.Milliseconds(), fields[1], queue, specText(fields[2:])); err != nil {
			s.t.Errorf("%q: %v", row, err)
		}
	case fields[0] == "cancel":
		s.book.Cancel(now, fields[1])
	default:
		got, known := s.book.Status(fields[0])
		if !known {
			got = "unknown"
		}
		if string(got) != fields[2] {
			s.t.Errorf("%q: got %s", row, got)
		}
	}
}

func specText(words []string) []byte {
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

func (s *stage) report(fields []string) *Report {
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
			s.endAll(r, fields[i])
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
func (s *stage) endAll(r *Report, how string) {
	w := s.book.workers[RefOf(r.Instance, r.Side)]
	if w == nil {
		return
	}
	number := w.seen
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

func (s *stage) orders(now time.Duration, name, want, row string) {
	s.t.Helper()
	var words []string
	for _, w := range s.book.workers {
		if w.Instance != "i-"+name {
			continue
		}
		orders := s.book.Orders(now, w, s.noted[name])
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
		if orders.Noted > s.noted[name] {
			s.noted[name] = orders.Noted
			words = append(words, fmt.Sprintf("noted %d", orders.Noted))
		}
	}
	sort.Strings(words)
	got := strings.Join(words, " ")
	if got == "" {
		got = "nothing"
	}
	if matched, err := path.Match(want, got); err != nil || !matched {
		s.t.Errorf("%q: got %q", row, got)
	}
}
