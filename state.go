package sedgevale

// Types, book-keeping and the arithmetic of means, levels and quantiles. Nothing
// here decides: that is all in dispatcher.go, and so are the constants.

import (
	"container/heap"
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

// sign notes that the worker is alive.
func (w *worker) sign(now time.Duration) { w.lastSign, w.broken, w.suspect, w.backoff = now, 0, 0, 0 }

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

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

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

// ownEyes reports whether a late start tells of a silent connection: nobody else
// fills the worker's slots, or connections are known to fall silent now.
func (d *Dispatcher) ownEyes() bool { return d.set.Peers == 1 || d.silent > silentLeast }

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

type sign struct {
	w  *worker
	at time.Duration
}

func (d *Dispatcher) queue(r *request) {
	r.queued = true
	r.tenant.backlog[r.class.index] += r.work
	r.tenant.waiting += r.Slots
	d.backlog++
	heap.Push(&r.tenant.queue, r)
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

func (d *Dispatcher) reported(now time.Duration, w *worker, p *Report) {
	w.free, w.freeAt = p.Free, now
	d.kindRoom[w.Kind] = max(d.kindRoom[w.Kind], p.Free)
	if p.Free < 0.5 {
		d.cut(w, 0)
	}
}
