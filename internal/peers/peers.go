// Package peers is the protocol by which the schedulers of one site share the load that each of them puts on the workers: who
// subscribes to which worker, what the next datagram contains, and which received datagrams are valid. It does no input or output and
// takes the time as an argument, for a driver that owns a socket (internal/peerlink) and for simulations in virtual time.
//
// Each worker has subscribers: some schedulers that have it in their subset, the few workers that they try first. A scheduler
// with load on a worker sends it to the subscribers, in absolute values and as soon as it changes, and they count it like their
// own. Nothing is acknowledged: a lost datagram is repaired by the next, sent each second while there is load, and a report
// expires after two seconds.
//
// With failure detection (failuredetector.go), members also gossip which revision of the configuration each has in force
// (revisions.go).
package peers

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// RepeatInterval is how often a load that has not changed is sent again, to repair losses.
	RepeatInterval = time.Second
	// LoadTTL is how long a received load counts.
	LoadTTL = 2 * time.Second
	// TickInterval is the interval at which Tick should be called.
	TickInterval = 50 * time.Millisecond
	// minGenerationTimeout is how long a run of a process must have sent nothing before datagrams of an earlier generation are
	// accepted: a machine's clock may be set back.
	minGenerationTimeout = 3 * time.Second
	// sequenceWindow is the time within which datagrams may arrive out of order.
	sequenceWindow = time.Second
	// waitingGracePeriod is how long an attempt must have been waiting before it is sent as waiting.
	waitingGracePeriod = 40 * time.Millisecond
	// lossGain is the weight of one sequenceWindow in the moving average of a member's loss rate.
	lossGain = 0.25
	// initialSequenceSlack is by how much a sequence number may be below the first one that is received.
	initialSequenceSlack = 16
)

// Options configure a Node.
type Options struct {
	Self, Members  int    // its number, and how many members there are
	Site           uint64 // a fingerprint of the site and its settings: datagrams with another one are rejected
	Generation     uint16 // the generation of this run: higher than that of the run before, by at most half of the range
	MinSubscribers int    // minimum number of subscribers of a worker
	MinSubset      int    // minimum number of workers in a subset

	// DetectorRand is the source of the failure detector's random choices; nil: no failure detection.
	DetectorRand *rand.Rand
	// Revision is the configuration in force at the start. It is gossiped where there is failure detection.
	Revision Revision
}

// Node is one scheduler's side of the protocol. It is not safe for concurrent use.
type Node struct {
	options       Options
	codec         codec
	members       []member // by number
	detector      failureDetector
	revisionTable revisionTable

	workers       map[string]*workerState
	order         []*workerState // the same in a fixed order, which what is sent must depend on, not on a map's
	workersByKey  map[uint32]*workerState
	subset        []string // of the workers
	sharers       int      // maximum number of members that share a worker of the subset
	anyActive     bool     // a datagram of some member was received within LoadTTL
	subsetChanged bool     // since it was last taken

	unsent    []*workerState  // whose load is to be sent
	changed   []*workerState  // whose load by others has changed since that was last taken
	reported  []*workerState  // with reports of others
	pending   []outgoingLoads // by member
	receivers []uint16        // members with pending loads
	buf       []byte          // the datagram that is being made
	Counts    Counts
}

// Counts are the counters and gauges of a Node.
type Counts struct {
	Sent           uint64 `json:"sent"` // datagrams
	SentBytes      uint64 `json:"sent_bytes"`
	Received       uint64 `json:"received"`
	Rejected       uint64 `json:"refused"` // invalid, of another version or site, stale, or of a sender that is no member
	UnknownWorkers uint64 `json:"unknown"` // loads of workers that no list has named here
	Expired        uint64 `json:"expired"` // reports of a load that expired before they were withdrawn
	ActiveMembers  int    `json:"heard"`   // members of which a datagram was received within LoadTTL
	Workers        int    `json:"boxes"`   // workers in the list
	Subset         int    `json:"part"`    // workers in the subset
	Shares         int    `json:"shares"`  // maximum number of members that share a worker of the subset
}

// member is what is known of the datagrams of a member.
type member struct {
	generation          uint16
	known               bool // a datagram of it was received
	lastReceivedAt      time.Duration
	highestSequence     uint16 // received
	lowestSequence      uint16 // the highest one a window ago; lower ones are rejected
	windowStart         time.Duration
	windowStartSequence uint16 // the highest when the window began
	receivedInWindow    uint16 // datagrams
	lossRate            float64
	lastSentSequence    uint16 // to it
}

// outgoingLoads are the loads in the next datagram to a member.
type outgoingLoads struct {
	entries [maxLoadsPerDatagram * loadSize]byte
	count   int
}

// workerState is what is known of a worker.
type workerState struct {
	id           string
	hash         uint64
	key          uint32   // names it in datagrams
	subscribers  []uint16 // sorted
	listed       bool     // it is in the newest list
	load         Load     // of this scheduler
	advertised   Load     // what was sent last
	advertisedAt time.Duration
	waitingSince time.Duration // when Waiting last rose
	unsent       bool          // it is in Node.unsent
	changed      bool          // it is in Node.changed
	reported     bool          // it is in Node.reported
	reports      []report
}

// report is the last load of a worker that a member has sent.
type report struct {
	member   uint16
	sequence uint16
	load     Load
	at       time.Duration
}

// New returns a Node that knows no workers yet.
func New(o Options) *Node {
	return &Node{
		options: o, codec: newCodec(o.Site), members: make([]member, o.Members), detector: newFailureDetector(o),
		revisionTable: newRevisionTable(o), workers: map[string]*workerState{}, workersByKey: map[uint32]*workerState{},
		pending: make([]outgoingLoads, o.Members), buf: make([]byte, 0, MaxDatagram),
	}
}

// hashOf is FNV-1a with its bits mixed.
func hashOf(id string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(id) {
		h = (h ^ uint64(id[i])) * 1099511628211
	}
	return mix(h)
}

// Flush sends what is due. A datagram is valid only during the call of send.
func (n *Node) Flush(now time.Duration, send func(to int, datagram []byte)) {
	for i, w := range n.unsent {
		n.unsent[i], w.unsent = nil, false
		load := w.load
		if now-w.waitingSince < waitingGracePeriod {
			load.Waiting = min(load.Waiting, w.advertised.Waiting)
		}
		if load == w.advertised && now-w.advertisedAt < RepeatInterval {
			continue // it has changed back before it was sent
		}
		w.advertised, w.advertisedAt = load, now
		for _, m := range w.subscribers {
			n.queueLoad(m, w, send)
		}
		for i := range w.reports { // members with load on it that do not subscribe
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

// sendLoads sends the pending loads of a member.
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

// Tick drops reports that have expired and does what is due; Flush has to be called after it. It should be called at the
// tick interval.
func (n *Node) Tick(now time.Duration) {
	for _, w := range n.order {
		if w.load != w.advertised || w.load != (Load{}) && now-w.advertisedAt >= RepeatInterval {
			n.markUnsent(w)
		}
	}
	n.reported = slices.DeleteFunc(n.reported, func(w *workerState) bool {
		w.reports = slices.DeleteFunc(w.reports, func(r report) bool {
			old := now-r.at >= LoadTTL
			if old && r.load != (Load{}) {
				n.Counts.Expired++
				n.markChanged(w)
			}
			return old
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
