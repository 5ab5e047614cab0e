package sedgevale

import (
	"math/rand/v2"
	"time"

	"sedgevale/admission"
)

const (
	roundEvery = 100 * time.Millisecond // Wisp's control interval
	lateRound  = 25 * time.Millisecond  // a round overdue by more means that we stood still
	settleFor  = time.Millisecond       // a timer for it comes after all that waits to be read
)

const (
	tokenRound = iota
	tokenWatch
	tokenDeadline
	tokenHold
	tokenStart
	tokenLook
	tokenSettle
)

var (
	inf    = admission.Unlimited
	tuning = admission.Tuning{CutFactor: cutFactor, RiseStep: riseStep, Least: minSigma}
)

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

// Timer tells that the time asked for by Host.SetTimer has passed.
func (d *Dispatcher) Timer(now time.Duration, token uint64) {
	d.stoodStill(now)
	kind, r, n := token&15, d.serials[token>>9], int(token>>4&31)
	if kind == tokenStart && !d.settling && (r == nil || !r.attempts[n].late) { // over: at once
		d.prompt += promptGain * (oneIf(r == nil || r.attempts[n].started > 0) - d.prompt)
	}
	switch {
	case kind == tokenRound:
		d.endRound(now)
	case kind == tokenWatch:
		d.host.Watch()
	case kind == tokenSettle:
		d.settling = false
		d.release(now)
	case r == nil || r.ended:
	case d.settling && kind == tokenStart: // what it looks for may have come meanwhile
		d.timer(settleFor, kind, r, n)
	case kind == tokenStart:
		d.checkStart(now, r, n)
	case kind == tokenLook:
		d.release(now)
	case kind == tokenHold && r.queued && now >= r.latest && r.out > 0: // a copy that finds no place
		d.dequeue(r)
	case kind == tokenDeadline && !r.stream, kind == tokenHold && r.queued && now >= r.latest:
		d.end(now, r)
	}
}

// stoodStill notices, by an overdue round, that this dispatcher had no turn for a while.
// Until all that came meanwhile has been read nothing is sent: a drain or an outcome may
// be among it. Times by our own clock say nothing then about workers.
func (d *Dispatcher) stoodStill(now time.Duration) {
	if d.running && !d.settling && now > d.due+lateRound {
		d.settling = true
		d.host.SetTimer(settleFor, tokenSettle)
	}
}

// endRound is Wisp's Algorithm 1.
func (d *Dispatcher) endRound(now time.Duration) {
	d.round++
	for _, w := range d.touched {
		w.outcomes = false
		if w.cutIn < d.round-1 && w.sigma < inf {
			spare := w.sigma - w.held
			if now-w.freeAt < d.fresh() && w.freeAt > 0 {
				spare = w.free
			}
			d.setSigma(w, tuning.Raise(w.sigma, spare))
		}
	}
	d.touched = d.touched[:0]
	d.carry += 0.05 * (d.served/roundEvery.Seconds()/d.pools[0].ownWeight() - d.carry)
	d.served = 0
	for _, c := range d.kept {
		c.complete += completeDecay * min(0, c.run-c.complete)
	}
	d.quick = d.quickest()
	d.closeAgain(now)
	d.askAgain()
	d.silent *= 1 - silentDecay
	for _, w := range d.workers {
		if w != nil && d.set.TellsStart && !d.settling {
			w.pace += paceDecay * (1 - w.pace)
			d.overdue(now, w)
		}
	}
	d.retire(now)
	d.shareOut()
	for _, t := range d.tenants {
		t.sigma = min(t.local, d.quantile(t))
		t.arrived *= 1 - arrivedDecay
	}
	d.arrived, d.crowded = d.arrived*(1-arrivedDecay), false
	d.roomAgain()
	d.due = now + roundEvery
	d.host.SetTimer(roundEvery, tokenRound)
	d.release(now)
}

func oneIf(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
