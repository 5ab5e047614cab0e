package slopes

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"sedgevale"
	"sedgevale/internal/core"
	"sedgevale/internal/discovery"
	"sedgevale/internal/peers"
)

// Point is what was measured at a load.
type Point struct {
	Load
	Heap      float64 // bytes that the Dispatcher keeps
	Held      float64 // slots on its books
	RoundUS   float64 // microseconds of a round
	JobUS     float64 // of a short job, from its request to its end, with its timers
	Share     float64 // of a core, in percent: rounds and jobs
	Refused   int
	Full      int // sends to workers without a free slot
	Jobs      int
	PerS      float64 // short jobs that came, a second
	SendsAJob float64
}

// Measure plays a load on one scheduler for a minute. Times are those of its second half.
func Measure(l Load) Point {
	return MeasureFor(l, time.Minute)
}

// MeasureFor does so for another while.
func MeasureFor(l Load, all time.Duration) Point {
	s := newSite(l, 1, false)
	warm, length := all/2, all/2
	s.run(warm)
	s.spent = Spent{}
	s.run(warm + length)
	p := Point{Load: l, Refused: s.spent.Refused, Full: s.spent.Full, Jobs: s.spent.Jobs, PerS: float64(s.spent.Jobs) / length.Seconds()}
	if s.spent.Rounds > 0 {
		p.RoundUS = us(s.spent.Round) / float64(s.spent.Rounds)
	}
	if s.spent.Jobs > 0 {
		p.JobUS = us(s.spent.Job) / float64(s.spent.Jobs)
		p.SendsAJob = float64(s.spent.Sends) / float64(s.spent.Jobs)
	}
	p.Share = 100 * (s.spent.Round + s.spent.Job).Seconds() / length.Seconds()
	for _, out := range s.scheds[0].d.Out() {
		p.Held += out.Held
	}
	p.Heap = s.heap()
	return p
}

func us(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// heap returns what would be freed without the Dispatcher: what the driver shares with it does not count.
func (s *site) heap() float64 {
	with := live()
	s.scheds[0].d = nil
	without := live()
	runtime.KeepAlive(s)
	return float64(with) - float64(without)
}

// live returns the bytes of objects that are in use.
func live() uint64 {
	runtime.GC()
	runtime.GC() // what has a finalizer goes with the second
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Allocations returns how many objects, and bytes, a Dispatcher allocates for a short job in the steady state, rounds included.
func Allocations(l Load) (objects, bytes float64) {
	s := newSite(l, 1, false)
	s.run(30 * time.Second)
	const length = 20 * time.Second
	jobs := int(l.JobsPerS * length.Seconds())
	for range 2 * jobs {
		s.serial++
		s.names = append(s.names, fmt.Sprintf("job-%08d", s.serial))
	}
	s.jobs = append(make([]job, 0, len(s.jobs)+2*jobs), s.jobs...)
	s.due = append(make([]event, 0, len(s.due)+20*jobs), s.due...)
	s.spent = Spent{}
	var from, to runtime.MemStats
	runtime.ReadMemStats(&from)
	s.run(s.now + length)
	runtime.ReadMemStats(&to)
	n := float64(max(1, s.spent.Jobs))
	return float64(to.Mallocs-from.Mallocs) / n, float64(to.TotalAlloc-from.TotalAlloc) / n
}

// Words plays a site of real Dispatchers and Nodes with short jobs alone, and returns the bytes and the entries that are told
// for a job, as the difference to the same site without jobs.
func Words(l Load, length time.Duration) (bytes, entries, sends float64) {
	play := func(l Load) (Spent, float64) {
		s := newSite(l, l.Schedulers, true)
		const warm = 4 * time.Second
		s.run(warm)
		s.spent = Spent{}
		s.run(warm + length)
		return s.spent, float64(s.spent.Jobs)
	}
	with, jobs := play(l)
	l.JobsPerS = 0
	without, _ := play(l)
	return float64(with.Bytes-without.Bytes) / jobs, float64(with.Entries-without.Entries) / jobs, float64(with.Sends) / jobs
}

// ListPoint is the processor time of a list of workers, in milliseconds, and its bytes.
type ListPoint struct {
	Workers, Schedulers int
	WholeMS, PatchMS    float64 // by the Dispatcher: the list anew, and one entry of it
	AudiencesMS         float64 // by the Node: who hears of whom
	ReplacedMS          float64 // by the Dispatcher: a whole list in which up to 170 workers are others
	Replaced            int
	RetuneMS            float64 // by the Dispatcher: the same settings again
	ParseMS             float64 // of the whole list as discovery tells it
	Bytes               int     // of that
}

// Lists measures what a list costs.
func Lists(l Load, repeats int) ListPoint {
	l.JobsPerS, l.Running = 0, 0
	s := newSite(l, 1, false)
	s.run(time.Second)
	d := s.scheds[0].d
	p := ListPoint{Workers: l.Workers, Schedulers: l.Schedulers, Replaced: min(170, l.Workers/2)}
	node := l.node(0)
	text := listText(l.Workers)
	p.Bytes = len(text)
	for range repeats {
		p.ParseMS += timed(func() {
			if _, err := discovery.Parse(text); err != nil {
				panic(err) // the list is ours
			}
		})
		p.RetuneMS += timed(func() {
			if err := d.Retune(l.settings()); err != nil {
				panic(err) // the settings are ours
			}
		})
		p.WholeMS += timed(func() { d.Members(s.now, sedgevale.ListWhole, s.members) })
		one := s.members[s.rand.IntN(len(s.members))]
		one.State = sedgevale.Leaving
		p.PatchMS += timed(func() { d.Members(s.now, sedgevale.ListPatch, []sedgevale.WorkerInfo{one}) })
		d.Members(s.now, sedgevale.ListWhole, s.members)
		p.AudiencesMS += timed(func() { node.Boxes(s.ids) })
		others := append([]sedgevale.WorkerInfo{}, s.members...)
		for i, id := range workerIDs(s.rand, p.Replaced) {
			others[i].Worker = id
		}
		p.ReplacedMS += timed(func() { d.Members(s.now, sedgevale.ListWhole, others) })
		d.Members(s.now, sedgevale.ListWhole, s.members)
	}
	n := float64(repeats)
	p.ParseMS, p.RetuneMS = p.ParseMS/n, p.RetuneMS/n
	p.WholeMS, p.PatchMS, p.AudiencesMS, p.ReplacedMS = p.WholeMS/n, p.PatchMS/n, p.AudiencesMS/n, p.ReplacedMS/n
	return p
}

// SharePoint is what one telling between the two processes of an upgrade costs, in milliseconds, and its bytes.
type SharePoint struct {
	Load
	Busy   int // workers where something is out
	Bytes  int
	TellMS float64 // what is out at each worker, written
	HearMS float64 // read, and taken in
}

// Sharing measures the telling of an upgrade (internal/core's Shared) for a load after a minute.
func Sharing(l Load, minute time.Duration, repeats int) SharePoint {
	s := newSite(l, 1, false)
	s.run(minute)
	d, p := s.scheds[0].d, SharePoint{Load: l}
	s.run(s.now + way) // nothing else is due in the same moment
	for range repeats {
		var text []byte
		p.TellMS += timed(func() {
			var err error
			if text, err = json.Marshal(core.Shared{Out: d.Out()}); err != nil {
				panic(err) // what is told is ours
			}
		})
		p.HearMS += timed(func() {
			var got core.Shared
			if err := json.Unmarshal(text, &got); err != nil {
				panic(err) // it was just written
			}
			d.Beside(s.now, got.Out)
		})
		p.Bytes = len(text)
	}
	p.Busy = len(d.Out())
	p.TellMS, p.HearMS = p.TellMS/float64(repeats), p.HearMS/float64(repeats)
	return p
}

// listText is a whole list as discovery writes it.
func listText(workers int) []byte {
	list := discovery.List{Revision: 1, Complete: true}
	for i, id := range workerIDs(rand.New(rand.NewPCG(1, 1)), workers) {
		list.Members = append(list.Members, discovery.Member{ID: id, HostPort: fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255),
			Locality: fmt.Sprintf("zone-%02d", i%19), Flavor: "kind-1", Cell: i / 8, Phase: "ready", Size: 16, UpSince: 1_796_000_000_000})
	}
	text, err := json.Marshal(list)
	if err != nil {
		panic(err) // the list is ours
	}
	return text
}

func timed(do func()) (ms float64) {
	from := time.Now()
	do()
	return us(time.Since(from)) / 1000
}

func workerIDs(rng *rand.Rand, n int) (ids []string) {
	for range n {
		ids = append(ids, fmt.Sprintf("w-%08x", rng.Uint32()))
	}
	return ids
}

// NodeHeap returns the bytes that a Node keeps which knows all boxes and has heard of all tasks of its part.
func NodeHeap(l Load, running int) float64 {
	rng := rand.New(rand.NewPCG(l.Seed, 1))
	ids := workerIDs(rng, l.Workers)
	nodes := make([]*peers.Node, l.Schedulers)
	for i := range nodes {
		nodes[i] = l.node(i)
		nodes[i].Boxes(ids)
	}
	for i, n := range nodes {
		part, _ := n.Part()
		if part == nil {
			part = ids
		}
		for k := i; k < running; k += l.Schedulers {
			n.Out(0, part[rng.IntN(len(part))], peers.Out{Slots: 1}, false)
		}
		n.Flush(0, func(to int, datagram []byte) { _ = nodes[to].Receive(0, i, datagram) })
	}
	with := live()
	nodes[0] = nil
	without := live()
	runtime.KeepAlive(ids)
	runtime.KeepAlive(nodes)
	return float64(with) - float64(without)
}
