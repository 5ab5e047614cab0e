package sedgevale

import (
	"math/rand/v2"
	"time"

	"sedgevale/admission"
)

const (
	roundInterval  = 100 * time.Millisecond // Wisp's control interval
	stallThreshold = 25 * time.Millisecond  // a round overdue by more means that this process did not run meanwhile
	catchUpDelay   = time.Millisecond       // its timer fires after all events that wait to be read
)

// The kinds of timers, in the lowest 4 bits of a token. The next 5 bits are the
// attempt's number, the rest is the request's serial number.
const (
	tokenRound    = iota // the next round
	tokenWatch           // retry the watch on the list of workers
	tokenDeadline        // the request's client stops waiting
	tokenSendBy          // the request must have been sent
	tokenStartDue        // the attempt should have started
	tokenProbe           // answers to the request's probes are overdue
	tokenCaughtUp        // all that came during a stall has been read
)

var (
	unlimited   = admission.Unlimited
	limitTuning = admission.LimitTuning{DecreaseFactor: limitDecreaseFactor, IncreaseStep: limitIncreaseStep, MinLimit: minLimit}
)

// Dispatcher makes the decisions of one dispatcher. Use [New] to make one. It
// is not safe for concurrent use.
//
// Work is counted in slot seconds, times in seconds of the host's clock unless
// they are a [time.Duration].
type Dispatcher struct {
	settings Settings
	host     Host
	rng      *rand.Rand

	// Rounds and stalls.
	running    bool // rounds have begun
	round      int64
	roundDue   time.Duration // of the next round
	catchingUp bool          // after a stall, until all that came meanwhile has been read

	// Requests.
	requests         map[string]*request // by ID
	requestsBySerial map[uint64]*request
	lastSerial       uint64
	pendingRequests  int            // queued
	retryCounter     slidingCounter // attempts beyond each request's first, in the retry budget's window
	requestCounter   slidingCounter // requests in the same window
	arrivals         float64        // decayed count of requests

	// Classes and tenants.
	classes        []*class  // by the settings' index
	classesInUse   []*class  // those, and former ones that requests in flight still have
	tenants        []*tenant // in the order of their turns, with removed ones until their last request is over
	tenantsByIndex []*tenant // by the settings' index; without tenants one that all requests have
	removedTenants int
	turn           int                  // index into tenants
	turnCredited   bool                 // the tenant whose turn it is has had its credit
	claimants      []admission.Claimant // reused by fairLevel

	// Workers.
	workersByName   map[string]*worker
	workers         []*worker // by index; nil: free index
	pools           []*pool
	cells           map[int][]*worker // the workers of a cell that may be sent to
	drainingWorkers []*worker         // whose idle connections are closed once more
	cordons         map[string]bool   // by name, also of workers not listed
	maxWeightByKind []float64
	maxFreeByKind   []float64 // most free slots ever reported, 1 at least
	maxWorkerSize   float64
	watchBackoff    time.Duration
	leastLoaded     *worker   // by the last sample, for a request that may wait at a worker
	leastLoad       float64   // of leastLoaded, in slots for each unit of size
	homesBuffer     []*worker // reused by homeWorkers

	// Limits and capacity.
	cleanWorkers  []*worker // with a clean outcome in this round
	inFlight      float64   // slots of this dispatcher's and its sibling's attempts
	capacityShort bool      // in this round a request found no free capacity
	capacity      float64   // slots in flight that found capacity, at most
	limitsBuffer  []float64 // reused by limitQuantile

	// Learned means.
	meanWork        float64 // of all requests
	meanKnownWork   float64 // of requests whose running time could be estimated
	knownRequests   float64 // the number of those
	roundWork       float64 // done in this round
	workRate        float64 // work a second, for each unit of weight, that workers do for this dispatcher
	lowRuntimeRatio float64 // runtime ratio of the fastest workers, 1 at most

	// Load probes.
	meteredWorker  *worker // probed in two rounds in a row, to see whether its report changes
	meteredSeconds float64 // seconds between such probes, summed and decayed
	reportChanges  float64 // in that time

	// Broken and silent connections, and presumed restarts.
	brokenByCell        map[int]brokenConnection // the last one of each cell
	presumedRestarts    int                      // workers presumed restarted
	silentConnections   float64                  // decayed count of connections that fell silent under an attempt
	promptStartRate     float64                  // EWMA share of attempts that started at once
	rescheduleAllowedAt time.Duration

	// Load of and for other dispatchers, and this one's subset of the workers.
	tracksLoadChanges bool
	loadChanged       []*worker // since the last AppendLoadChanges
	subsetSize        int       // workers in the subset; 0: there is none
	subsetUsable      int       // of those, met in the last pick and usable
	subsetSharers     int       // dispatchers that send to a worker
}

// New returns a Dispatcher that calls host and draws its random numbers from
// seed. The error is that of the settings, or says that there is no host.
func New(set Settings, seed uint64, host Host) (*Dispatcher, error) {
	if err := set.Validate(); err != nil {
		return nil, err
	}
	if host == nil {
		return nil, errNoHost
	}
	d := &Dispatcher{
		settings:         set,
		host:             host,
		rng:              rand.New(rand.NewPCG(seed, 0)),
		requests:         map[string]*request{},
		requestsBySerial: map[uint64]*request{},
		workersByName:    map[string]*worker{},
		watchBackoff:     minWatchBackoff,
		promptStartRate:  1,
		lowRuntimeRatio:  1,
		pools:            []*pool{{}},
		cells:            map[int][]*worker{},
		brokenByCell:     map[int]brokenConnection{},
		cordons:          map[string]bool{},
	}
	d.resetCounters()
	d.settings.Dispatchers = max(1, set.Dispatchers)
	d.subsetSharers = d.settings.Dispatchers
	d.updateTenants(set.Tenants)
	d.settings.MaxAttempts = attemptLimit(set)
	d.updateClasses(set.Classes)
	return d, nil
}

// startRounds starts the rounds with the first event that needs them.
func (d *Dispatcher) startRounds(now time.Duration) {
	if !d.running {
		d.running = true
		d.roundDue = now + roundInterval
		d.host.SetTimer(roundInterval, tokenRound)
	}
}

// setTimer sets a timer of the request's attempt n, or of the request with n 0.
func (d *Dispatcher) setTimer(after time.Duration, kind uint64, r *request, n int) {
	d.host.SetTimer(max(after, time.Millisecond), kind|uint64(n)<<4|r.serial<<9)
}

// TimerFired reports that the time asked for by [Host.SetTimer] has passed.
func (d *Dispatcher) TimerFired(now time.Duration, token uint64) {
	d.detectStall(now)
	kind, r, n := token&15, d.requestsBySerial[token>>9], int(token>>4&31)
	// A request that is over by now started at once.
	if kind == tokenStartDue && !d.catchingUp && (r == nil || !r.attempts[n].startOverdue) {
		started := boolToFloat(r == nil || r.attempts[n].startedAt > 0)
		d.promptStartRate += promptStartGain * (started - d.promptStartRate)
	}
	switch kind {
	case tokenRound:
		d.endRound(now)
	case tokenWatch:
		d.host.WatchWorkers()
	case tokenCaughtUp:
		d.catchingUp = false
		d.releasePending(now)
	default:
		if r != nil && !r.ended {
			d.requestTimerFired(now, kind, r, n)
		}
	}
}

func (d *Dispatcher) requestTimerFired(now time.Duration, kind uint64, r *request, n int) {
	switch kind {
	case tokenStartDue:
		if d.catchingUp { // the start may be among what came meanwhile
			d.setTimer(catchUpDelay, kind, r, n)
			return
		}
		d.checkStart(now, r, n)
	case tokenProbe:
		d.releasePending(now)
	case tokenSendBy:
		if !r.queued || now < r.sendBy {
			return
		}
		if r.inFlight > 0 { // a hedge that found no worker: the first attempt goes on
			d.removePending(r)
			return
		}
		d.endUnserved(now, r)
	case tokenDeadline:
		if !r.streaming {
			d.endUnserved(now, r)
		}
	}
}

// detectStall notices, by an overdue round, that this dispatcher did not
// run for a while. Nothing is sent until all events that came meanwhile have been
// read: a drain or an outcome may be among them, and durations measured across the
// stall say nothing about workers.
func (d *Dispatcher) detectStall(now time.Duration) {
	if d.running && !d.catchingUp && now > d.roundDue+stallThreshold {
		d.catchingUp = true
		d.host.SetTimer(catchUpDelay, tokenCaughtUp)
	}
}

// endRound is the control round of Wisp's Algorithm 1.
func (d *Dispatcher) endRound(now time.Duration) {
	d.round++
	d.increaseLimits(now)
	d.workRate += 0.05 * (d.roundWork/roundInterval.Seconds()/d.pools[0].targetWeight() - d.workRate)
	d.roundWork = 0
	for _, c := range d.classesInUse {
		c.meanCompletion += completionDecay * min(0, c.meanRuntime-c.meanCompletion)
	}
	d.lowRuntimeRatio = d.secondLowestRuntimeRatio()
	d.closeIdleConnsAgain(now)
	d.probeMeteredWorker()
	d.silentConnections *= 1 - silentConnectionsDecay
	for _, w := range d.workers {
		if w != nil && d.settings.StartNotified && !d.catchingUp {
			w.runtimeRatio += runtimeRatioDecay * (1 - w.runtimeRatio)
			d.writeOffOverdue(now, w)
		}
	}
	d.retireTenants(now)
	d.updateLocalShares()
	for _, t := range d.tenants {
		t.limit = min(t.localShare, d.limitQuantile(t))
		t.arrivals *= 1 - arrivalsDecay
	}
	d.arrivals *= 1 - arrivalsDecay
	d.capacityShort = false
	d.capacityChanged()
	d.roundDue = now + roundInterval
	d.host.SetTimer(roundInterval, tokenRound)
	d.releasePending(now)
}

// boolToFloat returns 1 for true.
func boolToFloat(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
