// Package peers implements the protocol by which the schedulers of a site exchange the load that each of them puts on the workers:
// it assigns subscribers to workers, composes datagrams and validates received ones. It does no I/O and takes the current time as an
// argument, so that the same code runs on a UDP socket (internal/peerlink) and in simulations in virtual time.
//
// The subscribers of a worker are the schedulers that have it in their subset, the few workers that they try first. A scheduler
// with load on a worker sends the absolute value to the subscribers whenever it changes, and they add it to their own load. Loads are
// not acknowledged: a lost datagram is repaired by the next one, sent every second while there is load, and a report expires after
// two seconds.
//
// With failure detection (failuredetector.go), the members also gossip which revision of the configuration each of them has in
// force (revisions.go).
package peers

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// RepeatInterval is the interval at which an unchanged load is sent again, to repair losses.
	RepeatInterval = time.Second
	// LoadTTL is the time after which a received load expires.
	LoadTTL = 2 * time.Second
	// TickInterval is the interval at which Tick should be called.
	TickInterval = 50 * time.Millisecond
	// minGenerationTimeout is the time without datagrams from a member after which an earlier generation of it is accepted:
	// generations follow the wall clock, which may be set back.
	minGenerationTimeout = 3 * time.Second
	// sequenceWindow is the time within which datagrams may arrive out of order.
	sequenceWindow = time.Second
	// waitingGracePeriod is how long an attempt must have been waiting before it is reported as waiting.
	waitingGracePeriod = 40 * time.Millisecond
	// lossGain is the weight of the latest sequenceWindow in the exponential moving average of a member's loss rate.
	lossGain = 0.25
	// initialSequenceSlack is how far a sequence number may be below the first one received from a member.
	initialSequenceSlack = 16
)

// Options configure a Node.
type Options struct {
	Self, Members  int    // number of this member, and count of all members
	Site           uint64 // fingerprint of the site and its settings; datagrams with another one are rejected
	Generation     uint16 // generation of this process, higher than that of the previous process by at most half of the range
	MinSubscribers int    // minimum number of subscribers per worker
	MinSubset      int    // minimum number of workers per subset

	// DetectorRand is the source of the failure detector's random choices. If it is nil, there is no failure detection.
	DetectorRand *rand.Rand
	// Revision is the configuration revision in force at the start. It is gossiped only with failure detection.
	Revision Revision
}

// Node is the protocol state of one scheduler. It is not safe for concurrent use.
type Node struct {
	options       Options
	codec         codec
	members       []member // by member number
	detector      failureDetector
	revisionTable revisionTable

	workers        map[string]*workerState
	orderedWorkers []*workerState // the workers in a fixed order, so that the order of the datagrams is deterministic
	workersByKey   map[uint32]*workerState
	subset         []string // IDs of the workers in this scheduler's subset
	maxSharers     int      // maximum number of members that share a worker of the subset
	anyActive      bool     // a datagram of any member was received within LoadTTL
	subsetChanged  bool     // subset has changed since the last TakeSubsetChange

	unsent    []*workerState  // workers whose load the next Flush sends
	changed   []*workerState  // workers whose load by other schedulers has changed since the last TakeLoadChanges
	reported  []*workerState  // workers with reports of other schedulers
	pending   []outgoingLoads // by member number
	receivers []uint16        // members with pending loads
	buf       []byte          // the datagram being composed
	Counts    Counts
}

// Counts are the counters and gauges of a Node.
type Counts struct {
	Sent           uint64 `json:"sent"` // datagrams sent
	SentBytes      uint64 `json:"sent_bytes"`
	Received       uint64 `json:"received"`
	Rejected       uint64 `json:"refused"` // datagrams that Receive rejected
	UnknownWorkers uint64 `json:"unknown"` // received loads of workers that this scheduler does not know
	Expired        uint64 `json:"expired"` // reports of a non-zero load that expired
	ActiveMembers  int    `json:"heard"`   // members from which a datagram was received within LoadTTL
	Workers        int    `json:"boxes"`   // workers in the list
	Subset         int    `json:"part"`    // workers in the subset
	MaxSharers     int    `json:"shares"`  // maximum number of members that share a worker of the subset
}

// member is the state of the datagrams exchanged with a member.
type member struct {
	generation          uint16
	known               bool // a datagram of the member was received
	lastReceivedAt      time.Duration
	highestSequence     uint16 // the highest sequence number received
	lowestSequence      uint16 // highestSequence at the start of the previous window; datagrams up to it are rejected
	windowStart         time.Duration
	windowStartSequence uint16 // highestSequence at the start of the window
	receivedInWindow    uint16 // datagrams received in the window
	lossRate            float64
	lastSentSequence    uint16 // sequence number of the last datagram sent to the member
}

// outgoingLoads holds the encoded loads of the next datagram to a member.
type outgoingLoads struct {
	entries [maxLoadsPerDatagram * loadSize]byte
	count   int
}

// workerState is the state of a worker.
type workerState struct {
	id           string
	hash         uint64
	key          uint32   // identifies the worker in datagrams
	subscribers  []uint16 // sorted
	listed       bool     // the worker is in the latest list
	load         Load     // load that this scheduler puts on the worker
	advertised   Load     // the load that was last sent
	advertisedAt time.Duration
	waitingSince time.Duration // time of the last increase of load.Waiting
	unsent       bool          // the worker is in Node.unsent
	changed      bool          // the worker is in Node.changed
	reported     bool          // the worker is in Node.reported
	reports      []report
}

// report is the latest load on a worker that a member has sent.
type report struct {
	member     uint16
	sequence   uint16
	load       Load
	receivedAt time.Duration
}

// New returns a Node that knows no workers yet.
func New(o Options) *Node {
	return &Node{
		options: o, codec: newCodec(o.Site), members: make([]member, o.Members), detector: newFailureDetector(o),
		revisionTable: newRevisionTable(o), workers: map[string]*workerState{}, workersByKey: map[uint32]*workerState{},
		pending: make([]outgoingLoads, o.Members), buf: make([]byte, 0, MaxDatagram),
	}
}

// hashWorkerID returns the 64-bit FNV-1a hash of id, finalized by fmix64 so that all of its bits are usable.
func hashWorkerID(id string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(id) {
		h = (h ^ uint64(id[i])) * 1099511628211
	}
	return fmix64(h)
}

// Flush sends all pending datagrams. A datagram is valid only during the call of send.
func (n *Node) Flush(now time.Duration, send func(to int, datagram []byte)) {
	for i, w := range n.unsent {
		n.unsent[i], w.unsent = nil, false
		load := w.load
		if now-w.waitingSince < waitingGracePeriod {
			load.Waiting = min(load.Waiting, w.advertised.Waiting)
		}
		if load == w.advertised && now-w.advertisedAt < RepeatInterval {
			continue // nothing to send: the load has changed back, or only by attempts within waitingGracePeriod
		}
		w.advertised, w.advertisedAt = load, now
		for _, m := range w.subscribers {
			n.queueLoad(m, w, send)
		}
		for i := range w.reports { // members with load on the worker also get it, subscribed or not
			if m := w.reports[i].member; !slices.Contains(w.subscribers, m) {
				n.queueLoad(m, w, send)
			}
		}
	}
	n.unsent = n.unsent[:0]
	for _, m := range n.receivers {
		n.sendLoads(m, send)
	}
	n.receivers = n.receivers[:0]
	n.sendDetectorMessages(send)
	n.sendRevisionMessages(send)
}

// queueLoad adds the load of a worker to the next datagram to a member.
func (n *Node) queueLoad(m uint16, w *workerState, send func(int, []byte)) {
	if int(m) == n.options.Self {
		return
	}
	p := &n.pending[m]
	if p.count == maxLoadsPerDatagram {
		n.sendLoads(m, send)
	}
	if p.count == 0 && !slices.Contains(n.receivers, m) {
		n.receivers = append(n.receivers, m)
	}
	appendLoad(p.entries[:p.count*loadSize], w.key, w.advertised)
	p.count++
}

// sendLoads sends the pending loads to a member.
func (n *Node) sendLoads(m uint16, send func(int, []byte)) {
	p := &n.pending[m]
	if p.count == 0 {
		return
	}
	n.beginDatagram(kindLoads, m)
	n.buf = append(n.buf, p.entries[:p.count*loadSize]...)
	p.count = 0
	n.finishDatagram(m, send)
}

// Tick drops expired reports and runs the timers of the failure detector and the revision table. It should be called every
// TickInterval, and Flush must be called after it.
func (n *Node) Tick(now time.Duration) {
	for _, w := range n.orderedWorkers {
		if w.load != w.advertised || w.load != (Load{}) && now-w.advertisedAt >= RepeatInterval {
			n.markUnsent(w)
		}
	}
	n.reported = slices.DeleteFunc(n.reported, func(w *workerState) bool {
		w.reports = slices.DeleteFunc(w.reports, func(r report) bool {
			expired := now-r.receivedAt >= LoadTTL
			if expired && r.load != (Load{}) {
				n.Counts.Expired++
				n.markChanged(w)
			}
			return expired
		})
		w.reported = len(w.reports) > 0
		return !w.reported
	})
	n.Counts.ActiveMembers = 0
	for i := range n.members {
		if m := &n.members[i]; m.known && now-m.lastReceivedAt < LoadTTL {
			n.Counts.ActiveMembers++
		}
	}
	if active := n.Counts.ActiveMembers > 0; active != n.anyActive {
		n.anyActive, n.subsetChanged = active, true
	}
	n.tickDetector(now)
	n.tickRevisions(now)
}
