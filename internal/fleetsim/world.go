package fleetsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sedgevale"
	"sedgevale/internal/dispatchconfig"
	"sedgevale/internal/peers"
)

// The classes of the brief: what they are worth, their part of the jobs, their work and slots.
var classes = []struct {
	sedgevale.Class
	worth, part float64
	work        time.Duration // core time at speed 1, on average
	twice       float64       // share that takes two slots
}{
	{sedgevale.Class{Name: "usage-view", Effect: sedgevale.Safe, Aim: 100 * time.Millisecond, Stretch: 1.75, Limit: 5 * time.Second}, 1, 0.44, 200 * time.Millisecond, 0},
	{sedgevale.Class{Name: "plan-change", Effect: sedgevale.Unsafe, Aim: 100 * time.Millisecond, Stretch: 2.5, Limit: 5 * time.Second}, 3, 0.31, 100 * time.Millisecond, 0.25},
	{sedgevale.Class{Name: "bill-pay", Effect: sedgevale.Keyed, Scope: sedgevale.ScopeCell, Window: 7500 * time.Millisecond,
		Aim: 100 * time.Millisecond, Stretch: 2.5, Limit: 5 * time.Second}, 10, 0.25, 100 * time.Millisecond, 0.25},
}

// The co-ops' shares, and how much of what all boxes can do is promised to them.
var tenants = []sedgevale.Tenant{{Name: "brazos-valley", Share: 0.30}, {Name: "navasota-rural", Share: 0.19}, {Name: "leon-county", Share: 0.18},
	{Name: "robertson-farm", Share: 0.13}, {Name: "milam-line", Share: 0.11}, {Name: "burleson-east", Share: 0.09}}

const promised = 0.79

// What the platform charges: shares of the worth asked for, for a new connection a job, a full message a job, and
// as much work wasted as was asked for.
const (
	priceHandshake = 0.02
	pricePeer      = 0.01
	priceWaste     = 0.043
	fullMessage    = 256
)

// meanWork is the slot time of a job at speed 1, on average, in seconds.
func meanWork() (sum float64) {
	for _, c := range classes {
		sum += c.part * c.work.Seconds() * (1 + c.twice)
	}
	return sum
}

// world is one play.
type world struct {
	clock
	f       *File
	v       *Variant
	rand    *rand.Rand // of the day: alike for all variants
	net     *rand.Rand // of messages
	boxes   []*box
	ids     map[string]int
	members []sedgevale.WorkerInfo
	nodes   []*node
	rate    float64 // jobs a second
	quota   float64 // jobs a second that are promised to all co-ops
	parts   []float64
	halves  bool // the two halves do not hear each other
	serial  int

	r     Result
	times *hdrhistogram.Histogram
}

// job is what a client wants.
type job struct {
	id       string
	class    int
	tenant   int
	slots    int
	work     time.Duration
	asked    time.Duration
	limit    time.Duration
	tries    int
	over     bool
	attempts []*attempt
}

type attempt struct {
	box  int
	t    *task
	over bool
}

// node is a scheduler.
type node struct {
	w       *world
	number  int
	run     int
	up      bool
	frozen  time.Duration // until then
	d       *sedgevale.Dispatcher
	peers   *peers.Node
	jobs    map[string]*job
	idle    map[int][]time.Duration // idle connections by box: since when
	changed []sedgevale.Told
	news    []sedgevale.Told
	worth   float64
	asked   float64
}

// play runs one variant on one seed.
func play(f *File, v *Variant, size int, seed uint64) Result {
	w := &world{f: f, v: v, rand: rand.New(rand.NewPCG(seed, 1)), net: rand.New(rand.NewPCG(seed, 2)), ids: map[string]int{},
		times: hdrhistogram.New(1, 60_000_000, 3)}
	w.r = Result{Variant: v.Name, Seed: seed, Schedulers: f.Schedulers[size], Boxes: f.boxes(size)}
	capacity := 0.0
	for range w.r.Boxes {
		cores := f.Box.Cores[w.rand.IntN(len(f.Box.Cores))]
		w.addBox(cores, between(w.rand, f.Box.Speed), 0)
		capacity += float64(cores) * w.boxes[len(w.boxes)-1].speed
	}
	w.rate, w.quota = f.Load*capacity/meanWork(), promised*capacity/meanWork()
	sum := 0.0
	for range w.r.Schedulers {
		p := math.Exp(f.Skew * w.rand.NormFloat64())
		w.parts = append(w.parts, p)
		sum += p
	}
	for i := range w.parts {
		w.parts[i] /= sum
	}
	for i := range w.r.Schedulers {
		w.nodes = append(w.nodes, &node{w: w, number: i})
	}
	for _, n := range w.nodes {
		n.start()
	}
	for i := range f.Troubles {
		t := &f.Troubles[i]
		w.after(dispatchconfig.Seconds(t.AtS), func() { w.trouble(t) })
	}
	w.arrive()
	w.run(dispatchconfig.Seconds(f.LengthS) + 6*time.Second)
	return w.result(capacity)
}

func (w *world) addBox(cores int, speed float64, from time.Duration) {
	id := fmt.Sprintf("s-%08x", w.rand.Uint32())
	b := newBox(&w.clock, rand.New(rand.NewPCG(w.rand.Uint64(), 3)), &w.f.Box, cores, speed)
	b.upFrom, b.cold = from, from > 0
	w.ids[id] = len(w.boxes)
	w.members = append(w.members, sedgevale.WorkerInfo{Worker: id, Cell: len(w.boxes) / 8, Weight: float64(cores), StartedAt: from})
	w.boxes = append(w.boxes, b)
}

// arrive has the next job come.
func (w *world) arrive() {
	rate, length := w.rate, dispatchconfig.Seconds(w.f.LengthS)
	if w.now > length/3 && w.now < 2*length/3 {
		rate *= 1 + w.f.Burst
	}
	w.after(dispatchconfig.Seconds(w.rand.ExpFloat64()/rate), func() {
		if w.now >= length {
			return
		}
		x, at, c := w.rand.Float64(), w.rand.Float64(), 0
		for c < len(classes)-1 && x >= classes[c].part {
			x -= classes[c].part
			c++
		}
		i := 0
		for i < len(w.parts)-1 && at >= w.parts[i] {
			at -= w.parts[i]
			i++
		}
		j := &job{class: c, slots: 1, asked: w.now, limit: w.now + classes[c].Limit,
			work: time.Duration(float64(classes[c].work) * math.Exp(0.5*w.rand.NormFloat64()-0.125))}
		if w.rand.Float64() < classes[c].twice {
			j.slots = 2
		}
		for x := w.rand.Float64(); j.tenant < len(tenants)-1 && x >= tenants[j.tenant].Share; j.tenant++ {
			x -= tenants[j.tenant].Share
		}
		w.r.Asked++
		w.r.askedWorth += classes[c].worth
		w.r.askedWork += j.work.Seconds() * float64(j.slots)
		w.nodes[i].asked += classes[c].worth
		w.hand(j, i)
		w.arrive()
	})
}

// hand gives a job to a scheduler; where that is down, to another.
func (w *world) hand(j *job, to int) {
	for range 3 {
		if w.nodes[to].up {
			break
		}
		to = w.net.IntN(len(w.nodes))
	}
	w.serial++
	j.id = fmt.Sprint("j", w.serial)
	w.after(ms(w.f.Net.WayMS), func() { w.nodes[to].take(j) })
}

// told has a node do something, once it runs.
func (n *node) told(do func()) {
	run := n.run
	if n.up && n.frozen > n.w.now {
		n.w.after(n.frozen-n.w.now, func() {
			if n.run == run && n.up {
				n.told(do)
			}
		})
		return
	}
	do()
	n.flush()
}

// later has a node told something after a while, unless it has died meanwhile.
func (n *node) later(after time.Duration, do func()) {
	run := n.run
	n.w.after(after, func() {
		if n.up && n.run == run {
			n.told(do)
		}
	})
}

func (n *node) start() {
	w := n.w
	n.run++
	n.up, n.frozen = true, 0
	n.jobs, n.idle = map[string]*job{}, map[int][]time.Duration{}
	set := sedgevale.Settings{Peers: len(w.nodes), MaxAttempts: 6, ParallelTries: true, MayCancel: true, TellsStart: true, InOrder: true,
		MaxRetryAfter: 2 * time.Second, Weights: sedgevale.WeightSize, WarmUp: dispatchconfig.Seconds(w.f.Box.ColdS), StartCapacity: w.f.Box.ColdFrom,
		FallMultiple: fallMultiple, Fall: fall}
	for _, c := range classes {
		set.Classes = append(set.Classes, c.Class)
	}
	for _, t := range tenants {
		t.Quota = t.Share * w.quota
		set.Tenants = append(set.Tenants, t)
	}
	var err error
	if n.d, err = sedgevale.New(set, w.rand.Uint64(), n); err != nil {
		panic(err) // the settings are ours
	}
	if w.v.Peers {
		n.peers = peers.New(peers.Options{Self: n.number, Members: len(w.nodes), Site: 1, Incarnation: uint16(n.run), Hearers: w.v.Hearers, Least: w.v.Least})
		n.d.TrackLoadChanges()
		n.later(peers.TickEvery, n.tick)
	}
	n.told(func() { n.list(sedgevale.ListStale) })
}

func (n *node) list(kind sedgevale.ListKind) {
	n.d.WorkersUpdated(n.w.now, kind, n.w.members)
	if n.peers == nil {
		return
	}
	var ids []string
	for _, m := range n.w.members {
		if m.State == sedgevale.Active {
			ids = append(ids, m.Worker)
		}
	}
	n.peers.Boxes(ids)
	n.parted()
}

func (n *node) parted() {
	n.peers.Parted(func(part []string, sharers int) { n.d.SetSubset(n.w.now, part, sharers) })
}

func (n *node) tick() {
	n.peers.Tick(n.w.now)
	n.parted()
	n.deliver()
	n.later(peers.TickEvery, n.tick)
}

// flush tells others what has changed.
func (n *node) flush() {
	if n.peers == nil || !n.up {
		return
	}
	n.changed = n.d.AppendLoadChanges(n.changed[:0])
	for _, t := range n.changed {
		n.peers.Out(n.w.now, t.Worker, peers.Out{Slots: int(t.Held + 0.5), Waiting: t.Waiting}, t.Full)
	}
	n.peers.Flush(n.w.now, n.post)
}

func (n *node) post(to int, datagram []byte) {
	w, half := n.w, len(n.w.nodes)/2
	other := w.nodes[to]
	if !other.up || w.net.Float64() < w.v.Loss || w.halves && (n.number < half) != (to < half) {
		return
	}
	w.r.Messages++
	w.r.bytes += len(datagram)
	data := slices.Clone(datagram)
	other.later(ms(between(w.net, w.f.Net.PeerMS)+w.v.DelayMS), func() {
		if other.peers.Receive(w.now, n.number, data) == nil {
			other.deliver()
		}
	})
}

func (n *node) deliver() {
	n.news = n.news[:0]
	n.peers.News(func(id string, slots, waiting int) {
		n.news = append(n.news, sedgevale.Told{Worker: id, Load: sedgevale.Load{Held: float64(slots), Waiting: waiting}})
	})
	if len(n.news) > 0 {
		n.d.UpdatePeerLoad(n.w.now, n.news)
	}
}

// take takes a job from a client.
func (n *node) take(j *job) {
	if !n.up {
		n.w.lost(j)
		return
	}
	n.told(func() {
		j.over, j.attempts = false, nil
		n.jobs[j.id] = j
		_ = n.d.SubmitRequest(n.w.now, sedgevale.Request{ID: j.id, Class: j.class, Tenant: j.tenant, Left: j.limit - n.w.now, Slots: float64(j.slots), Retry: j.tries > 0})
	})
}

// What follows is the node's side of sedgevale.Host.

// Send sends an attempt on a connection that is idle, or on a new one.
func (n *node) Send(id, worker string, _ time.Duration) {
	w, j, at := n.w, n.jobs[id], n.w.ids[worker]
	b, number := w.boxes[at], len(j.attempts)
	a := &attempt{box: at, t: &task{slots: j.slots, work: j.work}}
	j.attempts = append(j.attempts, a)
	w.r.Attempts++
	way := ms(w.f.Net.WayMS)
	idle := n.idle[at]
	for len(idle) > 0 && w.now-idle[0] >= dispatchconfig.Seconds(w.f.Box.IdleS) {
		idle = idle[1:]
	}
	if len(idle) > 0 {
		n.idle[at] = idle[:len(idle)-1]
	} else {
		n.idle[at] = nil
		a.t.extra = ms(w.f.Box.HandshakeMS)
		way *= 3
		w.r.Connections++
	}
	end := func(o sedgevale.Outcome, report *sedgevale.Report) {
		n.later(ms(w.f.Net.WayMS), func() { n.ended(j, number, o, report) })
	}
	a.t.started = func() {
		n.later(ms(w.f.Net.WayMS), func() {
			if !a.over {
				_ = n.d.AttemptStarted(w.now, j.id, number)
			}
		})
	}
	a.t.ended = func(ok bool, free float64) {
		report := &sedgevale.Report{HasFree: true, Free: free}
		if a.t.off || j.over {
			w.r.wasted += j.work.Seconds() * float64(j.slots)
		}
		if ok {
			end(sedgevale.Served, report)
		} else {
			end(sedgevale.Errored, report)
		}
	}
	w.after(way, func() {
		switch {
		case a.t.off:
		case b.gone:
			end(sedgevale.ConnectFailed, nil)
		case !b.take(a.t):
			end(sedgevale.Full, &sedgevale.Report{HasFree: true, Free: b.report})
		}
	})
}

// ended tells the module how an attempt ended, and the client if it was served.
func (n *node) ended(j *job, number int, o sedgevale.Outcome, report *sedgevale.Report) {
	a := j.attempts[number]
	if a.over {
		return
	}
	a.over = true
	if o == sedgevale.Served || o == sedgevale.Errored || o == sedgevale.Full {
		n.idle[a.box] = append(n.idle[a.box], n.w.now)
	}
	if o == sedgevale.Served && !j.over {
		n.w.answered(j, n)
		j.over = true
	}
	_ = n.d.AttemptEnded(n.w.now, sedgevale.Result{ID: j.id, Attempt: number, Outcome: o, Closed: j.over, Report: report})
}

// Cancel calls an attempt off and closes its connection.
func (n *node) Cancel(id string, number int) {
	w, j := n.w, n.jobs[id]
	a := j.attempts[number]
	w.r.CalledOff++
	a.t.off = true
	w.after(ms(w.f.Net.WayMS), func() { w.boxes[a.box].callOff(a.t) })
	n.later(0, func() { n.ended(j, number, sedgevale.Cancelled, nil) })
}

// Reject answers the client, who may come back.
func (n *node) Reject(id string, after time.Duration) {
	w, j := n.w, n.jobs[id]
	j.over = true
	w.r.Refusals++
	if j.tries < w.f.Retries && after > 0 && w.now+after < j.limit {
		again := *j
		again.over, again.tries = false, again.tries+1
		w.after(after, func() { w.hand(&again, w.net.IntN(len(w.nodes))) })
		return
	}
	w.r.Refused++
}

// Fail answers the client.
func (n *node) Fail(id string) {
	n.jobs[id].over = true
	n.w.r.Failed++
}

// SetTimer has the module woken.
func (n *node) SetTimer(after time.Duration, token uint64) {
	n.later(after, func() { n.d.TimerFired(n.w.now, token) })
}

// Probe asks a box for its load.
func (n *node) Probe(worker string) {
	n.later(2*ms(n.w.f.Net.WayMS), func() {
		n.d.ProbeResult(n.w.now, worker, &sedgevale.Report{HasFree: true, Free: n.w.boxes[n.w.ids[worker]].report})
	})
}

// CloseIdleConnections forgets the idle connections to a box.
func (n *node) CloseIdleConnections(worker string) { delete(n.idle, n.w.ids[worker]) }

// WatchWorkers is not needed: lists are told as they change.
func (n *node) WatchWorkers() {}

// Log is of no use here.
func (n *node) Log(string) {}

// answered notes that a client has its result.
func (w *world) answered(j *job, n *node) {
	took := w.now + ms(w.f.Net.WayMS) - j.asked
	c := &classes[j.class]
	w.r.Served++
	_ = w.times.RecordValue(took.Microseconds()) // beyond the histogram's range there is nothing
	if took <= c.Aim+time.Duration(c.Stretch*float64(j.work)) {
		w.r.InTime++
		w.r.worth += c.worth
		n.worth += c.worth
	}
}

// lost notes that a client was reset.
func (w *world) lost(j *job) {
	if !j.over {
		j.over = true
		w.r.Lost++
	}
}
