package sedgevale

import (
	"math/rand/v2"
	"time"

	"sedgevale/admission"
)

const (
	roundInterval  = 100 * time.Millisecond // Wisp's control interval
	stallThreshold = 25 * time.Millisecond  // a round overdue by more means that we stood still
	catchUpDelay   = time.Millisecond       // a timer for it comes after all that waits to be read
)

const (
	tokenRound = iota
	tokenWatch
	tokenDeadline
	tokenSendBy
	tokenStartDue
	tokenProbe
	tokenCaughtUp
)

var (
	unlimited   = admission.Unlimited
	limitTuning = admission.Tuning{CutFactor: limitCutFactor, RiseStep: limitRaiseStep, Least: minLimit}
)

// Dispatcher decides for one dispatcher. Make one with New.
type Dispatcher struct {
	settings            Settings
	host                Host
	rng                 *rand.Rand
	requests            map[string]*request
	requestsBySerial    map[uint64]*request
	lastSerial          uint64
	tenants             []*tenant // in the order of their turns; also those that are gone until their last job is over
	tenantsByIndex      []*tenant // by the settings' index; without tenants one that all jobs have
	removedTenants      int       // tenants that are gone
	classes             []*class  // by the settings' index
	classesInUse        []*class  // those, and former ones that jobs under way still have
	workersByName       map[string]*worker
	workers             []*worker // by index; nil: free index
	pools               []*pool
	cells               map[int][]*worker // those that may be sent to
	cleanWorkers        []*worker
	drainingWorkers     []*worker // their connections are closed once more
	maxWeightByKind     []float64 // largest weight seen of a kind
	maxFreeByKind       []float64 // most free slots reported of a kind
	inFlight            float64
	pendingRequests     int
	turn                int
	turnCredited        bool // the tenant whose turn it is has had its credit
	capacityShort       bool // this round a job found no room
	capacity            float64
	meanWork            float64
	meanKnownWork       float64 // the same over requests whose class was known
	knownRequests       float64 // those
	roundWork           float64 // work done in this round
	workRate            float64 // work a second and unit of weight that workers carry for us
	arrivals            float64 // decayed count of jobs
	maxWorkerSize       float64 // size of a worker
	leastLoaded         *worker // of the last pick
	leastLoad           float64
	round               int64
	roundDue            time.Duration            // of the next round
	catchingUp          bool                     // the dispatcher stood still, and still reads what came meanwhile
	meteredWorker       *worker                  // asked twice on end, to see whether its report changes
	meteredSeconds      float64                  // seconds between such askings
	reportChanges       float64                  // in that time
	brokenByCell        map[int]brokenConnection // by cell: the last worker there that broke or refused a connection
	presumedRestarts    int                      // workers taken for restarted
	cordons             map[string]bool
	fastPace            float64        // pace of the quick workers
	silentConnections   float64        // decayed count of connections that fell silent under an attempt
	promptStartRate     float64        // share of attempts that started at once
	rescheduleAllowedAt time.Duration  // when jobs may be called off again
	retryCounter        slidingCounter // attempts beyond each request's first
	requestCounter      slidingCounter // requests
	running             bool
	watchBackoff        time.Duration
	scratch             []float64
	claimants           []admission.Claimant
	homesBuffer         []*worker
	tracksLoadChanges   bool      // what we have out is told to others
	loadChanged         []*worker // where that has changed
	subsetSize          int       // workers that are ours; 0: all alike
	subsetUsable        int       // of those, usable in the last pick
	subsetSharers       int       // dispatchers that send to a worker
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
	d := &Dispatcher{settings: set, host: host, rng: rand.New(rand.NewPCG(seed, 0)),
		requests: map[string]*request{}, requestsBySerial: map[uint64]*request{}, workersByName: map[string]*worker{},
		watchBackoff: minWatchBackoff, promptStartRate: 1, fastPace: 1,
		pools: []*pool{{}}, cells: map[int][]*worker{}, brokenByCell: map[int]brokenConnection{}, cordons: map[string]bool{}}
	d.resetCounters()
	d.settings.Peers = max(1, set.Peers)
	d.subsetSharers = d.settings.Peers
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

func (d *Dispatcher) setTimer(after time.Duration, kind uint64, r *request, n int) {
	d.host.SetTimer(max(after, time.Millisecond), kind|uint64(n)<<4|r.serial<<9)
}

// TimerFired tells that the time asked for by Host.SetTimer has passed.
func (d *Dispatcher) TimerFired(now time.Duration, token uint64) {
	d.detectStall(now)
	kind, r, n := token&15, d.requestsBySerial[token>>9], int(token>>4&31)
	if kind == tokenStartDue && !d.catchingUp && (r == nil || !r.attempts[n].startOverdue) { // over: at once
		d.promptStartRate += promptStartGain * (boolToFloat(r == nil || r.attempts[n].startedAt > 0) - d.promptStartRate)
	}
	switch {
	case kind == tokenRound:
		d.endRound(now)
	case kind == tokenWatch:
		d.host.WatchWorkers()
	case kind == tokenCaughtUp:
		d.catchingUp = false
		d.releasePending(now)
	case r == nil || r.ended:
	case d.catchingUp && kind == tokenStartDue: // what it looks for may have come meanwhile
		d.setTimer(catchUpDelay, kind, r, n)
	case kind == tokenStartDue:
		d.checkStart(now, r, n)
	case kind == tokenProbe:
		d.releasePending(now)
	case kind == tokenSendBy && r.queued && now >= r.sendBy && r.inFlight > 0: // a copy that finds no place
		d.removePending(r)
	case kind == tokenDeadline && !r.streaming, kind == tokenSendBy && r.queued && now >= r.sendBy:
		d.endUnserved(now, r)
	}
}

// detectStall notices, by an overdue round, that this dispatcher had no turn for a while.
// Until all that came meanwhile has been read nothing is sent: a drain or an outcome may
// be among it. Times by our own clock say nothing then about workers.
func (d *Dispatcher) detectStall(now time.Duration) {
	if d.running && !d.catchingUp && now > d.roundDue+stallThreshold {
		d.catchingUp = true
		d.host.SetTimer(catchUpDelay, tokenCaughtUp)
	}
}

// endRound is Wisp's Algorithm 1.
func (d *Dispatcher) endRound(now time.Duration) {
	d.round++
	for _, w := range d.cleanWorkers {
		w.cleanRound = false
		if w.lastCutRound < d.round-1 && w.limit < unlimited {
			spare := w.limit - w.inFlight
			if now-w.freeSlotsAt < d.reportTTL() && w.freeSlotsAt > 0 {
				spare = w.freeSlots
			}
			d.setLimit(w, limitTuning.Raise(w.limit, spare))
		}
	}
	d.cleanWorkers = d.cleanWorkers[:0]
	d.workRate += 0.05 * (d.roundWork/roundInterval.Seconds()/d.pools[0].targetWeight() - d.workRate)
	d.roundWork = 0
	for _, c := range d.classesInUse {
		c.meanCompletion += completionDecay * min(0, c.meanRuntime-c.meanCompletion)
	}
	d.fastPace = d.fastestPace()
	d.closeIdleConnsAgain(now)
	d.probeMeteredWorker()
	d.silentConnections *= 1 - silentConnectionsDecay
	for _, w := range d.workers {
		if w != nil && d.settings.TellsStart && !d.catchingUp {
			w.pace += paceDecay * (1 - w.pace)
			d.writeOffOverdue(now, w)
		}
	}
	d.retireTenants(now)
	d.updateLocalShares()
	for _, t := range d.tenants {
		t.limit = min(t.localShare, d.limitQuantile(t))
		t.arrivals *= 1 - arrivalsDecay
	}
	d.arrivals, d.capacityShort = d.arrivals*(1-arrivalsDecay), false
	d.capacityChanged()
	d.roundDue = now + roundInterval
	d.host.SetTimer(roundInterval, tokenRound)
	d.releasePending(now)
}

func boolToFloat(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
