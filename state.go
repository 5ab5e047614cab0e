package sedgevale

// Types, book-keeping and the arithmetic of means, levels and quantiles. Nothing
// here decides: that is all in dispatcher.go, and so are the constants.

import (
	"cmp"
	"container/heap"
	"iter"
	"math/rand/v2"
	"slices"
	"time"

	"sedgevale/admission"
)

// worker is what this dispatcher knows of a worker.
type worker struct {
	WorkerInfo
	index     int // in tenant.alpha and Dispatcher.workers
	size      float64
	places    []int // by pool: where in its zone's list, -1 if not in it
	held      float64
	unstarted int
	sigma     float64
	cutIn     int64         // the round of the last cut
	beside    Load          // of other dispatchers of this scheduler, counted in held and unstarted
	besides   bool          // that has been told before
	others    Load          // of other schedulers, counted in held and unstarted
	marked    bool          // what we have out here has changed since Changed
	ours      bool          // of our part of the workers
	sent      float64       // work ever sent
	outAt     time.Duration // when it was taken out
	cordoned  bool          // taken out by an operator, whatever the list says
	outcomes  bool          // this round had clean outcomes
	closedAt  time.Duration // when its idle connections were last closed, while it leaves
	askers    []*request    // they wait for its answer to a probe
	told      Report        // the last answer to a probe
	free      float64       // free slots by the last report, less what we sent since
	freeAt    time.Duration
	suspect   time.Duration // not to be sent to before; 0: trusted
	backoff   time.Duration
	lastSign  time.Duration
	trial     time.Duration // when it was last tried while not trusted
	broken    int           // connections that broke or failed since the last sign
	rest      time.Duration // gives bad answers: not to be sent to before
	restFor   time.Duration
	bad       float64 // EWMA share of errors
	pace      float64 // EWMA of its running times over the class's mean
	out       []flight
	coldUntil time.Duration
	presumed  time.Duration // when it was taken for restarted; 0: not
	credit    float64       // work that a cold worker may be sent
	creditAt  time.Duration
}

// flight is an attempt that is out.
type flight struct {
	r *request
	n int
}

type attempt struct {
	w       *worker
	sent    time.Duration
	started time.Duration
	noted   time.Duration // its last progress
	over    bool
	proven  bool // over, and nothing ran
	moved   bool // it failed there, or was called off for another worker
	off     bool // nothing more is expected of it; off the books
	late    bool // its start is overdue
}

type request struct {
	Request
	class    *class
	serial   uint64
	tenant   *tenant
	hash     uint64
	work     float64 // estimated slot seconds
	own      float64 // estimated running time, by which its aim grows
	deadline time.Duration
	aim      time.Duration
	latest   time.Duration // when it must be sent
	attempts []attempt
	out      int
	ended    bool
	queued   bool
	stream   bool
	looked   []*worker // asked for their load on its behalf
	looking  int       // answers of those still to come
	looks    int
	lookTill time.Duration // not waited for any longer
}

type tenant struct {
	name     string
	weight   float64       // its share as the settings give it
	open     int           // requests that are not forgotten
	gone     bool          // the settings do not have it any more
	until    time.Duration // for gone: when nobody can come any more who was taken before; 0: not reckoned yet
	share    float64       // of all shares; 0: gone, and without a job
	quota    float64       // jobs a second here that are within its share; 0: not told
	tokens   float64       // of those, not yet sent
	tokensAt time.Duration
	queue    queue
	backlog  []float64 // work held, by a class's index
	waiting  float64   // slots of the queue
	inflight float64
	deficit  float64
	blocked  bool    // its turn ended for lack of room, not of credit
	arrived  float64 // decayed count of jobs
	sigma    float64
	local    float64
	jobs     uint64
	known    []*worker // the last that served it in time
	alpha    []alpha
	used     []int
}

// alpha is a tenant's EWMA share of jobs sent to a worker.
type alpha = admission.Share

// class is a class of jobs and what was learned of it. Jobs point to it: it stays as
// it is for those under way when the settings change.
type class struct {
	Class
	index    int // in tenant.backlog and Dispatcher.kept
	pool     *pool
	run      float64 // mean running time, seconds
	base     float64 // the same over long, and lower rather than higher: what aims grow by
	hint     float64 // mean hint of those
	complete float64 // mean time from send to answer
	runs     float64
	inflight int
}

// pool is the workers that some classes may be sent to. The first is for those
// that may go anywhere.
type pool struct {
	kinds, places []int // the only kinds and zones; nil: any
	zones         [][]*worker
	rings         [][]point
	ringOld       bool
	active        int
	weight        float64 // of the active workers
	held          float64 // slots there that we know to be taken
	near          [1][]*worker
	nearOld       bool    // near is not up to date
	nearWeight    float64 // of the active workers of our part
	nearHeld      float64 // slots there that we know to be taken
	limited       int     // active workers with a finite sigma
	limits        float64 // the sum of those
	noRoom        bool    // since the last outcome
	full          bool    // in this release a job found no room
}

// tally counts events of the last span in parts of it, in constant memory.
type tally struct {
	part  time.Duration
	last  int64 // the newest part
	parts [tallyParts + 1]int
}

// tallyParts is how many parts of a span a tally tells apart.
const tallyParts = 64

// roll forgets what is older than the span.
func (t *tally) roll(now time.Duration) {
	at := int64(now / t.part)
	for range min(at-t.last, tallyParts+1) {
		t.last++
		t.parts[t.last%(tallyParts+1)] = 0
	}
	t.last = at
}

func (t *tally) add(now time.Duration) {
	t.roll(now)
	t.parts[t.last%(tallyParts+1)]++
}

// counts returns how many events at most, and how many at least, the last span
// has had: with and without the part in which it begins.
func (t *tally) counts(now time.Duration) (most, least int) {
	t.roll(now)
	for _, n := range t.parts {
		most += n
	}
	return most, most - t.parts[(t.last+1)%(tallyParts+1)]
}

type point struct {
	hash uint64
	w    *worker
}

// Dispatcher decides for one dispatcher. Make one with New.
type Dispatcher struct {
	set        Settings
	host       Host
	rng        *rand.Rand
	requests   map[string]*request
	serials    map[uint64]*request
	serial     uint64
	tenants    []*tenant // in the order of their turns; also those that are gone until their last job is over
	named      []*tenant // by the settings' index; without tenants one that all jobs have
	gone       int       // tenants that are gone
	classes    []*class  // by the settings' index
	kept       []*class  // those, and former ones that jobs under way still have
	byName     map[string]*worker
	workers    []*worker // by index; nil: free index
	pools      []*pool
	cells      map[int][]*worker // those that may be sent to
	touched    []*worker
	leaving    []*worker // their connections are closed once more
	kindSize   []float64 // largest weight seen of a kind
	kindRoom   []float64 // most free slots reported of a kind
	held       float64
	backlog    int
	turn       int
	credited   bool // the tenant whose turn it is has had its credit
	crowded    bool // this round a job found no room
	room       float64
	meanWork   float64
	usual      float64 // the same over requests whose class was known
	weighed    float64 // those
	served     float64 // work done in this round
	carry      float64 // work a second and unit of weight that workers carry for us
	arrived    float64 // decayed count of jobs
	largest    float64 // size of a worker
	fewest     *worker // of the last pick
	fewestLoad float64
	round      int64
	due        time.Duration // of the next round
	settling   bool          // the dispatcher stood still, and still reads what came meanwhile
	gauge      *worker       // asked twice on end, to see whether its report changes
	metered    float64       // seconds between such askings
	changes    float64       // in that time
	broke      map[int]sign  // by cell: the last worker there that broke or refused a connection
	presumed   int           // workers taken for restarted
	cordons    map[string]bool
	quick      float64       // pace of the quick workers
	silent     float64       // decayed count of connections that fell silent under an attempt
	prompt     float64       // share of attempts that started at once
	moveFrom   time.Duration // when jobs may be called off again
	further    tally         // attempts beyond each request's first
	taken      tally         // requests
	running    bool
	rewatch    time.Duration
	scratch    []float64
	claims     []admission.Claimant
	found      []*worker
	tells      bool      // what we have out is told to others
	marked     []*worker // where that has changed
	part       int       // workers that are ours; 0: all alike
	met        int       // of those, usable in the last pick
	sharers    int       // dispatchers that send to a worker
}

// queue is a heap of a tenant's held jobs by slack (the paper's section 4.2):
// the one that must be sent soonest comes first. Ended ones stay until popped.
type queue []*request

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool { return q[i].latest < q[j].latest }

func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *queue) Push(r any) { *q = append(*q, r.(*request)) }

func (q *queue) Pop() any {
	old := *q
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return r
}

func (d *Dispatcher) setSigma(w *worker, to float64) {
	d.count(w, -1)
	w.sigma = to
	d.count(w, 1)
}

// count keeps the sums of the pools that the worker is in.
func (d *Dispatcher) count(w *worker, sign int) {
	for i, p := range d.pools {
		if w.places[i] < 0 {
			continue
		}
		p.active += sign
		p.weight += float64(sign) * w.size
		p.held += float64(sign) * w.held
		if w.ours {
			p.nearWeight += float64(sign) * w.size
			p.nearHeld += float64(sign) * w.held
		}
		if w.sigma < inf {
			p.limited += sign
			p.limits += float64(sign) * w.sigma
		}
	}
}

// hold books slots of ours at the worker.
func (d *Dispatcher) hold(w *worker, slots float64) {
	d.held += slots
	d.occupy(w, slots)
	if d.tells && !w.marked {
		w.marked = true
		d.marked = append(d.marked, w)
	}
}

// occupy books slots at the worker, whoever has them.
func (d *Dispatcher) occupy(w *worker, slots float64) {
	w.held += slots
	for i, p := range d.pools {
		if w.places[i] < 0 {
			continue
		}
		p.held += slots
		if w.ours {
			p.nearHeld += slots
		}
	}
}

func (d *Dispatcher) roomAgain() {
	for _, p := range d.pools {
		p.noRoom = false
	}
}

func (d *Dispatcher) dequeue(r *request) {
	t := r.tenant
	r.queued = false
	t.backlog[r.class.index] = max(0, t.backlog[r.class.index]-r.work)
	t.waiting -= r.Slots
	d.backlog--
	for len(t.queue) > 0 && !t.queue[0].queued {
		heap.Pop(&t.queue)
	}
}

// drawAfter returns the known workers, then a few of the zones, in random order.
func (d *Dispatcher) drawAfter(known []*worker, zones [][]*worker) iter.Seq[*worker] {
	return func(yield func(*worker) bool) {
		for i, at := 0, d.rng.IntN(len(known)+1); i < len(known); i++ {
			if !yield(known[(i+at)%len(known)]) {
				return
			}
		}
		d.draw(zones)(yield)
	}
}

// draw returns a few workers of the zones in random order.
func (d *Dispatcher) draw(zones [][]*worker) iter.Seq[*worker] {
	n := 0
	for _, z := range zones {
		n += len(z)
	}
	return func(yield func(*worker) bool) {
		if n == 0 {
			return
		}
		at, step := d.rng.IntN(n), 1
		if n > pickTries {
			step += d.rng.IntN(n - 1)
		}
		for range min(n, pickTries) {
			if !yield(nth(zones, at)) {
				return
			}
			at = (at + step) % n
		}
	}
}

func nth(zones [][]*worker, i int) *worker {
	for _, z := range zones {
		if i < len(z) {
			return z[i]
		}
		i -= len(z)
	}
	return nil
}

// note keeps a request that has come.
func (d *Dispatcher) note(r *request) {
	t := r.tenant
	t.arrived++
	if t.open++; t.gone && t.open == 1 { // it has its share back
		d.shares()
	}
	d.requests[r.ID], d.serials[r.serial] = r, r
}

// forget frees the request once it has its answer and its attempts are over.
func (d *Dispatcher) forget(r *request) {
	if r.ended && r.out == 0 && d.requests[r.ID] == r {
		r.tenant.open--
		delete(d.requests, r.ID)
		delete(d.serials, r.serial)
	}
}

func (d *Dispatcher) find(id string, n int) (*request, *attempt, error) {
	r := d.requests[id]
	if r == nil {
		return nil, nil, ErrUnknownRequest
	}
	if n < 0 || n >= len(r.attempts) || r.attempts[n].over {
		return nil, nil, ErrUnknownAttempt
	}
	return r, &r.attempts[n], nil
}

// sign notes that the worker is alive.
func (w *worker) sign(now time.Duration) { w.lastSign, w.broken, w.suspect, w.backoff = now, 0, 0, 0 }

// place puts a worker into the lists of those that may be sent to, or takes it
// out of them.
func (d *Dispatcher) place(w *worker) {
	d.unplace(w)
	for i, p := range d.pools {
		if !p.admits(w) {
			continue
		}
		for len(p.zones) <= w.Zone {
			p.zones, p.rings = append(p.zones, nil), append(p.rings, nil)
		}
		w.places[i] = len(p.zones[w.Zone])
		p.zones[w.Zone] = append(p.zones[w.Zone], w)
		p.ringOld, p.nearOld = true, true
	}
	if w.places[0] >= 0 {
		d.cells[w.Cell] = append(d.cells[w.Cell], w)
	}
	d.count(w, 1)
}

func (d *Dispatcher) unplace(w *worker) {
	d.count(w, -1)
	if w.places[0] >= 0 {
		d.cells[w.Cell] = slices.DeleteFunc(d.cells[w.Cell], func(v *worker) bool { return v == w })
		if len(d.cells[w.Cell]) == 0 {
			delete(d.cells, w.Cell)
		}
	}
	for i, p := range d.pools {
		at := w.places[i]
		if at < 0 {
			continue
		}
		z := p.zones[w.Zone]
		last := z[len(z)-1]
		z[at], last.places[i] = last, at
		z[len(z)-1] = nil
		p.zones[w.Zone] = z[:len(z)-1]
		w.places[i] = -1
		p.ringOld, p.nearOld = true, true
	}
}

// Cordon takes a worker out, or puts it back. While it is out nothing is sent to it, whatever the list
// says of it meanwhile, also if it vanishes and returns. Put back it counts as cold: from now, or from
// the restart that the list has told of meanwhile. An unknown worker is reported as false, and nothing
// changes.
func (d *Dispatcher) Cordon(now time.Duration, name string, out bool) bool {
	w := d.byName[name]
	if w == nil && !d.cordons[name] {
		return false
	}
	if out == d.cordons[name] {
		return true
	}
	d.wake(now)
	if out {
		d.Keep(name)
		if w != nil {
			w.outAt = now
		}
		return true
	}
	delete(d.cordons, name)
	if w != nil {
		d.unplace(w)
		w.cordoned = false
		d.absolve(w)
		d.trustAgain(w)
		if d.set.WarmUp > 0 {
			from := now
			if w.StartedAt > w.outAt { // the list has told of its restart
				from = min(now, w.StartedAt)
			}
			d.coolDown(now, w, from)
		}
		d.place(w)
	}
	d.roomAgain()
	d.release(now)
	return true
}

// Keep takes a worker out, also one that no list has named yet: it was taken out in an earlier run.
func (d *Dispatcher) Keep(name string) {
	d.cordons[name] = true
	if w := d.byName[name]; w != nil && !w.cordoned {
		d.unplace(w)
		w.cordoned = true
		d.place(w)
	}
}

// trustAgain forgets what was held against a worker.
func (d *Dispatcher) trustAgain(w *worker) {
	w.sigma, w.freeAt, w.pace, w.bad = inf, 0, 1, 0
	w.suspect, w.backoff, w.trial, w.rest, w.restFor, w.broken = 0, 0, 0, 0, 0, 0
}

func (d *Dispatcher) drop(w *worker) {
	delete(d.byName, w.Worker)
	d.hold(w, -w.beside.Held)
	w.unstarted -= w.beside.Waiting
	d.occupy(w, -w.others.Held)
	w.unstarted -= w.others.Waiting
	w.beside, w.others = Load{}, Load{}
	d.answered(w)
	d.absolve(w)
	d.workers[w.index] = nil
	for _, t := range d.tenants {
		if w.index < len(t.alpha) && t.alpha[w.index].Used {
			t.alpha[w.index] = alpha{}
			t.used = slices.DeleteFunc(t.used, func(i int) bool { return i == w.index })
		}
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// hashOf returns 0 only for no key.
func hashOf(s string) uint64 {
	if s == "" {
		return 0
	}
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return mix(h) | 1
}

func mix(h uint64) uint64 {
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// New returns a Dispatcher that acts on host. It wants a class and tenants with
// positive times and shares.
func New(set Settings, seed uint64, host Host) (*Dispatcher, error) {
	if err := set.Check(); err != nil {
		return nil, err
	}
	if host == nil {
		return nil, errNoHost
	}
	d := &Dispatcher{set: set, host: host, rng: rand.New(rand.NewPCG(seed, 0)),
		requests: map[string]*request{}, serials: map[uint64]*request{}, byName: map[string]*worker{},
		rewatch: rewatchFirst, prompt: 1, quick: 1,
		pools: []*pool{{}}, cells: map[int][]*worker{}, broke: map[int]sign{}, cordons: map[string]bool{}}
	d.tallies()
	d.set.Peers = max(1, set.Peers)
	d.sharers = d.set.Peers
	d.enroll(set.Tenants)
	d.set.MaxAttempts = attemptsOf(set)
	d.classify(set.Classes)
	return d, nil
}

func (d *Dispatcher) poolOf(kinds, places []int) *pool {
	for _, p := range d.pools {
		if slices.Equal(p.kinds, kinds) && slices.Equal(p.places, places) &&
			(p.kinds == nil) == (kinds == nil) && (p.places == nil) == (places == nil) {
			return p
		}
	}
	p := &pool{kinds: slices.Clone(kinds), places: slices.Clone(places)}
	d.pools = append(d.pools, p)
	return p
}

// answered tells those who wait for the worker's answer to a probe that there
// is nothing more to wait for.
func (d *Dispatcher) answered(w *worker) {
	for _, r := range w.askers {
		r.looking--
	}
	w.askers = w.askers[:0]
}

// Progress tells that a job is being worked on.
func (d *Dispatcher) Progress(now time.Duration, id string, n int, _ float64) error {
	r, a, err := d.find(id, n)
	if err != nil {
		return err
	}
	a.w.sign(now)
	if a.noted = now; a.off && a.started > 0 {
		d.writeOn(r, a)
	}
	return nil
}

// StreamBegan tells that the answer of a streamed class has begun.
func (d *Dispatcher) StreamBegan(now time.Duration, id string, n int) error {
	r, a, err := d.find(id, n)
	if err != nil {
		return err
	}
	a.w.sign(now)
	r.stream = true
	return nil
}

// settle takes an attempt off the books.
func (d *Dispatcher) settle(now time.Duration, r *request, a *attempt, o Outcome) {
	d.writeOff(r, a)
	a.over, a.proven = true, d.neverRan(o)
	a.moved = a.moved || o != NotSent && o != Cancelled && d.pools[0].active > 1
	r.out--
	a.w.out = slices.DeleteFunc(a.w.out, func(f flight) bool { return f.r == r && &r.attempts[f.n] == a })
	if o == Served || o == Errored || o == Full {
		a.w.sign(now)
	}
}

// writeOff takes an attempt off the books of what workers and tenants have in
// hand, when it ends or before.
func (d *Dispatcher) writeOff(r *request, a *attempt) {
	if a.off {
		return
	}
	a.off = true
	r.class.inflight--
	r.tenant.inflight -= r.Slots
	d.hold(a.w, -r.Slots)
	if a.started == 0 {
		a.w.unstarted--
	}
}

// writeOn puts a running attempt on the books that was written off, or that had
// waited until now.
func (d *Dispatcher) writeOn(r *request, a *attempt) {
	a.off = false
	r.class.inflight++
	r.tenant.inflight += r.Slots
	d.hold(a.w, r.Slots)
}

// ownEyes reports whether a late start tells of a silent connection: nobody else
// fills the worker's slots, or connections are known to fall silent now.
func (d *Dispatcher) ownEyes() bool { return d.set.Peers == 1 || d.silent > silentLeast }

// used notes that the tenant has sent a job to the worker.
func (t *tenant) use(w *worker) {
	t.jobs++
	for len(t.alpha) <= w.index {
		t.alpha = append(t.alpha, alpha{})
	}
	a := &t.alpha[w.index]
	if !a.Used {
		t.used = append(t.used, w.index)
	}
	*a = a.Add(t.jobs, alphaGain)
}

// nearby returns the workers of our part that the pool has, by zones of which there is one, or nil.
func (d *Dispatcher) nearby(p *pool) [][]*worker {
	if d.part == 0 {
		return nil
	}
	if p.nearOld {
		p.nearOld, p.near[0] = false, p.near[0][:0]
		for _, z := range p.zones {
			for _, w := range z {
				if w.ours {
					p.near[0] = append(p.near[0], w)
				}
			}
		}
	}
	if len(p.near[0]) == 0 {
		return nil
	}
	return p.near[:]
}

// meanHeld returns the slots that we know to be taken for each unit of weight: in our part, where others
// tell us of theirs, or outside it, by which side the worker is on.
func (p *pool) meanHeld(w *worker) float64 {
	if w.ours {
		return p.nearHeld / max(1e-9, p.nearWeight)
	}
	return (p.held - p.nearHeld) / max(1e-9, p.weight-p.nearWeight)
}

// ownWeight returns the weight of the workers that our jobs go to.
func (p *pool) ownWeight() float64 {
	if p.nearWeight > 1e-6 { // sums of floats leave traces
		return p.nearWeight
	}
	return max(1e-9, p.weight)
}

func (p *pool) buildRings() {
	p.ringOld = false
	for z, ws := range p.zones {
		ring := p.rings[z][:0]
		for _, w := range ws {
			h := hashOf(w.Worker)
			for i := range uint64(ringPoints) {
				ring = append(ring, point{mix(h + i*0x9e3779b97f4a7c15), w})
			}
		}
		slices.SortFunc(ring, func(a, b point) int { return cmp.Compare(a.hash, b.hash) })
		p.rings[z] = ring
	}
}

// wake starts the rounds with the first event that needs them.
func (d *Dispatcher) wake(now time.Duration) {
	if !d.running {
		d.running = true
		d.due = now + roundEvery
		d.host.SetTimer(roundEvery, tokenRound)
	}
}

func (d *Dispatcher) timer(after time.Duration, kind uint64, r *request, n int) {
	d.host.SetTimer(max(after, time.Millisecond), kind|uint64(n)<<4|r.serial<<9)
}

func (d *Dispatcher) newWorker(e *WorkerInfo) *worker {
	w := &worker{WorkerInfo: *e, places: slices.Repeat([]int{-1}, len(d.pools)), sigma: inf, pace: 1,
		index: len(d.workers), cutIn: -1, cordoned: d.cordons[e.Worker]}
	if i := slices.Index(d.workers, nil); i >= 0 {
		w.index = i
		d.workers[i] = w
	} else {
		d.workers = append(d.workers, w)
	}
	d.byName[e.Worker] = w
	return w
}

// book puts an attempt on the books and returns its number.
func (d *Dispatcher) book(now time.Duration, r *request, w *worker) int {
	r.attempts = append(r.attempts, attempt{w: w, sent: now})
	r.out++
	r.class.inflight++
	r.tenant.inflight += r.Slots
	r.tenant.use(w)
	d.hold(w, r.Slots)
	w.unstarted++
	w.free -= r.Slots
	w.sent += r.work
	w.out = append(w.out, flight{r, len(r.attempts) - 1})
	return len(r.attempts) - 1
}

// mayHaveRun returns the worker of a keyed request's first attempt that may
// have run, or nil.
func (d *Dispatcher) mayHaveRun(r *request) *worker {
	for i := range r.attempts {
		if a := &r.attempts[i]; !a.proven && r.class.Effect == Keyed {
			return a.w
		}
	}
	return nil
}

// homes returns the first worker that follows the hash on each zone's ring, of
// the own zone first.
func (d *Dispatcher) homes(p *pool, hash uint64) []*worker {
	if p.ringOld {
		p.buildRings()
	}
	d.found = d.found[:0]
	for z, ring := range p.rings {
		if len(ring) == 0 {
			continue
		}
		i, _ := slices.BinarySearchFunc(ring, hash, func(p point, h uint64) int { return cmp.Compare(p.hash, h) })
		d.found = append(d.found, ring[i%len(ring)].w)
		if z == d.set.Zone {
			last := len(d.found) - 1
			d.found[0], d.found[last] = d.found[last], d.found[0]
		}
	}
	return d.found
}

// claim returns what the tenant wants of the slots that all share.
func (t *tenant) claim() admission.Claimant {
	return admission.Claimant{Want: t.inflight + t.waiting, Share: t.share}
}

// fairLevel returns the max-min level: slots per unit of share.
func (d *Dispatcher) fairLevel(limit float64) float64 {
	d.claims = d.claims[:0]
	for _, t := range d.tenants {
		d.claims = append(d.claims, t.claim())
	}
	return admission.FairLevel(d.claims, limit)
}

func oneIf(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

// absent returns the workers that a whole list no longer has.
func (d *Dispatcher) absent(entries []WorkerInfo) (gone []*worker) {
	named := make(map[string]bool, len(entries))
	for i := range entries {
		named[entries[i].Worker] = true
	}
	for _, w := range d.workers {
		if w != nil && !named[w.Worker] {
			gone = append(gone, w)
		}
	}
	return gone
}

// any returns a random worker that may be sent to, or nil.
func (d *Dispatcher) any() *worker {
	for w := range d.draw(d.pools[0].zones) {
		return w
	}
	return nil
}

func (d *Dispatcher) growKinds(kind int) {
	for len(d.kindSize) <= kind {
		d.kindSize, d.kindRoom = append(d.kindSize, 0), append(d.kindRoom, 1)
	}
}

// meter learns from a worker asked twice within two rounds.
func (d *Dispatcher) meter(now time.Duration, w *worker, p *Report) {
	if since := now - w.freeAt; w.freeAt > 0 && since <= 2*roundEvery && since >= roundEvery/2 {
		d.metered = d.metered*(1-meanGain) + since.Seconds()
		d.changes *= 1 - meanGain
		if w.told != *p {
			d.changes++
		}
	}
	w.told = *p
}

// touch notes that the worker had a clean outcome in this round.
func (d *Dispatcher) touch(w *worker) {
	if !w.outcomes {
		w.outcomes = true
		d.touched = append(d.touched, w)
	}
}

// sizeOf is the worker's listed size where the list tells it. Live weights
// sink below the size, which is the most that was seen of the kind.
func (d *Dispatcher) sizeOf(e *WorkerInfo) float64 {
	if d.set.Weights == WeightNone || e.Weight <= 0 {
		return 1
	}
	if d.set.Weights == WeightLive {
		return d.kindSize[e.Kind]
	}
	return e.Weight
}

func (t *tenant) unknow(w *worker) {
	t.known = slices.DeleteFunc(t.known, func(v *worker) bool { return v == w })
}

func (t *tenant) know(w *worker) {
	t.unknow(w)
	if len(t.known) == knownMost {
		t.known = slices.Delete(t.known, 0, 1)
	}
	t.known = append(t.known, w)
}

// quantile returns Q(sigma_d/alpha_d, q) over the workers that the tenant
// used. With few jobs to a worker alpha is mostly noise, so it is drawn to the
// even share by as many jobs as there are workers.
func (d *Dispatcher) quantile(t *tenant) float64 {
	n := float64(max(1, d.pools[0].active))
	jobs := min(float64(t.jobs), 1/alphaGain)
	d.scratch = d.scratch[:0]
	step := 1 + len(t.used)/quantileSpan
	for i := int(d.round) % step; i < len(t.used); i += step {
		w := d.workers[t.used[i]]
		if w == nil || w.State != Active {
			continue
		}
		a := t.alpha[t.used[i]].Now(t.jobs, alphaGain)
		d.scratch = append(d.scratch, w.sigma/admission.Smoothed(a, jobs, n))
	}
	return admission.Quantile(d.scratch, quantileQ)
}

type sign struct {
	w  *worker
	at time.Duration
}

// weigh draws the usual work from a request whose class is known. One that is not stands for nothing: by a mean over
// requests of no work all who started with a release pushed its cold workers over together.
func (d *Dispatcher) weigh(r *request) {
	if r.class.runs > 0 || r.Hint > 0 {
		d.weighed++
		d.usual += (r.work - d.usual) * max(meanGain, 1/d.weighed)
	}
}

// usualWork is the mean work of requests whose class was known or, while there were none, what the settings let one
// expect: that a class's aim and its running time are alike.
func (d *Dispatcher) usualWork() float64 {
	if d.weighed > 0 {
		return d.usual
	}
	sum := 0.0
	for _, k := range d.classes {
		sum += k.Aim.Seconds()
	}
	return sum / float64(len(d.classes))
}

// weightOf is the request's work, or the usual while its class is not known.
func (d *Dispatcher) weightOf(r *request) float64 {
	if r.class.runs > 0 || r.Hint > 0 {
		return r.work
	}
	return r.Slots * d.usualWork()
}

// coolDown makes the worker a cold one that started at the time. A random part
// of a job is owed at first, so that dispatchers do not all begin at once.
func (d *Dispatcher) coolDown(now time.Duration, w *worker, started time.Duration) {
	w.coldUntil = started + d.set.WarmUp
	w.creditAt = now
	w.credit = -d.rng.Float64() * d.usualWork()
}

// strike makes the worker a cold one, unless it is known to be one.
func (d *Dispatcher) strike(now time.Duration, w *worker) {
	if d.set.WarmUp > 0 && (w.presumed > 0 || w.coldUntil <= now) {
		d.absolve(w)
		d.presumed++
		w.presumed = now
		d.coolDown(now, w, now)
	}
}

// absolve ends presumptions of a restart.
func (d *Dispatcher) absolve(workers ...*worker) {
	for _, w := range workers {
		if w != nil && w.presumed > 0 {
			w.presumed, w.coldUntil = 0, 0
			d.presumed--
		}
	}
}

// lively reads free slots from a live weight, which is the size over 1 +
// requests held per core: it guards against slots that other dispatchers fill.
func (d *Dispatcher) lively(now time.Duration, w *worker) {
	perCore := d.kindSize[w.Kind]/w.Weight - 1
	w.free, w.freeAt = (1-perCore)*d.kindRoom[w.Kind], now
}

func (d *Dispatcher) queue(r *request) {
	r.queued = true
	r.tenant.backlog[r.class.index] += r.work
	r.tenant.waiting += r.Slots
	d.backlog++
	heap.Push(&r.tenant.queue, r)
}

// poolPart is the part of all workers that is open to the request's class; it
// is all while none is.
func (d *Dispatcher) poolPart(r *request) float64 {
	if p := r.class.pool; p.weight > 0 {
		return p.weight / d.pools[0].weight
	}
	return 1
}

// slack is how long a job of the class can wait when it arrives.
func (c *class) slack() float64 { return c.Aim.Seconds() + c.Stretch*c.run - c.complete }

// fresh is how long a report speaks for: slots change hands as jobs end.
func (d *Dispatcher) fresh() time.Duration { return seconds(freshPart * d.meanWork) }

// sparse reports whether less than a job a worker is known to be out, and so little of each.
func (d *Dispatcher) sparse() bool {
	if d.part > 0 {
		return d.pools[0].nearHeld < float64(d.part)
	}
	return d.pools[0].held < float64(d.pools[0].active)
}

// waitAt returns how long a job would wait at a worker by its last report.
func (d *Dispatcher) waitAt(w *worker, r *request) float64 {
	slots := d.kindRoom[w.Kind]
	return max(0, w.told.Held+r.Slots-slots-min(0, w.free)) / slots * r.class.run
}

// slackAt returns how long the request can still wait if a worker of that pace
// runs it. Its own time is not known where there is no hint; it may be short, and
// then its aim is near too. For a further attempt the mean is good enough.
func (d *Dispatcher) slackAt(now time.Duration, r *request, pace float64) float64 {
	part := shortPart
	if r.Hint > 0 || len(r.attempts) > 0 {
		part = 1
	}
	return (min(r.deadline, r.aim) - now).Seconds() - (1-part)*r.class.Stretch*r.own - part*pace*r.work/r.Slots
}

// quickest returns the pace of the second quickest of the workers that may be sent
// to, 1 at most: that much of its class's mean a job takes at least.
func (d *Dispatcher) quickest() float64 {
	first, second := 1.0, 1.0
	for _, w := range d.workers {
		if w == nil || w.State != Active || w.pace >= second {
			continue
		}
		if second = w.pace; w.pace < first {
			first, second = w.pace, first
		}
	}
	return second
}

// feasibleFor returns how long the request can still wait to be sent: its own
// running time and the class's mean wait at workers come off the time left.
func (d *Dispatcher) feasibleFor(now time.Duration, r *request) time.Duration {
	c := r.class
	return seconds(d.slackAt(now, r, d.quick) - max(0, c.complete-c.run))
}

// closeAgain closes once more half the time after the last notice or outcome.
func (d *Dispatcher) closeAgain(now time.Duration) {
	d.leaving = slices.DeleteFunc(d.leaving, func(w *worker) bool {
		if now < w.closedAt+d.set.CloseOnDrain/2 {
			return false
		}
		w.closedAt = 0
		if v := d.byName[w.Worker]; v == nil || v.State != Active {
			d.host.CloseIdle(w.Worker)
		}
		return true
	})
}

// withinBudget reports whether an attempt beyond a request's first keeps the
// budget of those. Attempts count for a 64th of the span longer and requests
// for as much less than they must, so it holds in every window.
func (d *Dispatcher) withinBudget(now time.Duration) bool {
	b := &d.set.Further
	if b.Span == 0 {
		return true
	}
	further, _ := d.further.counts(now)
	_, taken := d.taken.counts(now)
	return float64(further+1) <= float64(b.Free)+b.Ratio*float64(taken)
}

// reportsSpeak reports whether a worker's report changes often enough to tell
// of the next job's slot, not of those before: all who see an old free slot
// go there at once. How often it changes is measured, not told.
func (d *Dispatcher) reportsSpeak() bool {
	return d.metered >= meterLeast && d.metered < speakPart*d.meanWork*d.changes
}

// withinShare reports whether the tenant has sent less than its quota, or
// sends less than its share of what arrives here: a dispatcher may have more
// than its even part of everybody. Where no quota is told, the room counts.
func (d *Dispatcher) withinShare(now time.Duration, t *tenant) bool {
	if t.quota == 0 {
		return t.inflight < t.share*d.room
	}
	rate := t.quota
	if t.arrived <= t.share*d.arrived {
		rate *= modestRoom
	}
	t.tokens = min(max(2, rate), t.tokens+rate*(now-t.tokensAt).Seconds())
	t.tokensAt = now
	return t.tokens >= 1
}

// inTime reports whether a job may expect to be in time at the worker after a wait, by the worker's
// pace. It guards against workers that have become slow, where all jobs would be late.
func (d *Dispatcher) inTime(now time.Duration, w *worker, r *request, wait float64) bool {
	return !d.set.TellsStart || wait <= d.slackAt(now, r, w.pace)
}

func (d *Dispatcher) reported(now time.Duration, w *worker, p *Report) {
	w.free, w.freeAt = p.Free, now
	d.kindRoom[w.Kind] = max(d.kindRoom[w.Kind], p.Free)
	if p.Free < 0.5 {
		d.cut(w, 0)
	}
}
