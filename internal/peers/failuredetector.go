package peers

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"
)

// The failure detector is SWIM (Das, Gupta and Motivala, 2002): each member pings one other at a time; one that does not
// acknowledge is pinged through two others, then suspected, and dead if it does not refute that. What is found out is gossiped in
// the same datagrams. A member's own datagrams outweigh what others claim of it.
const (
	pingInterval         = 250 * time.Millisecond
	pingsPerDeadPing     = 4 // one ping of so many goes to a member that is dead or unknown
	ackTimeout           = 200 * time.Millisecond
	indirectAckTimeout   = 300 * time.Millisecond // after the indirect pings
	suspectTimeout       = time.Second            // for a refutation
	directEvidenceTTL    = 500 * time.Millisecond // a datagram that was received so lately outweighs claims of others
	maxTickGap           = 500 * time.Millisecond // after a longer one this process was suspended, and missing acknowledgements are no evidence
	indirectPings        = 2                      // members that are asked to ping one that does not acknowledge
	extraPingsPerTimeout = 2                      // pings besides, since failures may be correlated
	maxExtraPings        = 8                      // at a time
	initialFullSyncs     = 8                      // the first pings of a run ask for all that is known
	pingsPerFullSync     = 16                     // later one of so many does, while some members are unknown
	gossipFactor         = 3                      // a claim is sent so many times log2 of the members
)

// State is the state of a member.
type State uint8

// The states. Of the same generation and incarnation, later ones supersede earlier ones.
const (
	Unknown State = iota // no datagram and no claim about it was received
	Alive
	Suspect
	Dead
)

// String returns the state as /admin/peers and the log show it.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "doubted"
	case Dead:
		return "gone"
	}
	return "unknown"
}

// claim is the state of a member, as of one of its generations.
type claim struct {
	number      uint16
	state       State
	generation  uint16 // number of the member's process, raised with each start
	incarnation uint8  // how often that process has refuted a suspicion
}

// supersedes reports whether a claim replaces another one of the same member.
func (c claim) supersedes(d claim) bool {
	switch {
	case d.state == Unknown || c.state == Unknown:
		return c.state != Unknown
	case c.generation != d.generation:
		return newer(c.generation, d.generation)
	case c.incarnation != d.incarnation:
		return int8(c.incarnation-d.incarnation) > 0
	}
	return c.state > d.state
}

// claimSize is the size of an encoded claim in bytes: the state in the two bits above the number, the generation, the
// incarnation.
const claimSize = 5

func appendClaim(buf []byte, c claim) []byte {
	buf = binary.BigEndian.AppendUint16(buf, uint16(c.state)<<14|c.number)
	return append(binary.BigEndian.AppendUint16(buf, c.generation), c.incarnation)
}

func decodeClaim(b []byte) claim {
	n := binary.BigEndian.Uint16(b)
	return claim{n & 0x3fff, State(n >> 14), binary.BigEndian.Uint16(b[2:]), b[4]}
}

// failureDetector is what a Node knows of the state of members, its own among them.
type failureDetector struct {
	rand         *rand.Rand // nil: there is no failure detection, and no member is answered
	views        []view     // by number
	gossip       []uint16   // members whose claims are to be sent, the newest last
	pingOrder    []uint16   // all others, shuffled before each round
	nextPing     int        // index in pingOrder
	pingCount    int
	extraPings   int // to be sent at the next tick
	nextPingAt   time.Duration
	lastTick     time.Duration
	probes       []probe
	urgent       []uint16 // members that are to be pinged next, to refute an accusation
	messages     []message
	relayedPings []relayedPing
	changes      []Change // since the last call of Changes
}

// view is what is known of the state of a member.
type view struct {
	claim
	accusation    claim // by others, against direct evidence; it is sent to the member for it to refute
	since         time.Duration
	transmitsLeft int // of the claim
}

// probe is a ping that was not acknowledged yet.
type probe struct {
	number   uint16
	at       time.Duration
	indirect bool // other members were asked to ping it
}

// relayedPing is a ping on behalf of another member, whose acknowledgement is to be passed on.
type relayedPing struct {
	requester, target uint16
	at                time.Duration
}

// message is a datagram of the failure detector that is to be sent.
type message struct {
	to        uint16
	kind      kind
	target    uint16 // of a ping request
	subject   uint16 // whose claim comes first; the receiver's own number: none
	fullState bool   // with all that is known
}

// Change is a member whose state has changed.
type Change struct {
	Number   int
	From, To State
}

func newFailureDetector(o Options) failureDetector {
	d := failureDetector{rand: o.DetectorRand, views: make([]view, o.Members)}
	if o.DetectorRand == nil {
		return d
	}
	for i := range d.views {
		d.views[i].number = uint16(i)
		if i != o.Self {
			d.pingOrder = append(d.pingOrder, uint16(i))
		}
	}
	d.views[o.Self].claim = claim{uint16(o.Self), Alive, o.Generation, 0}
	d.shuffle()
	d.gossipAbout(uint16(o.Self))
	return d
}

// shuffle begins another round of pings.
func (d *failureDetector) shuffle() {
	d.rand.Shuffle(len(d.pingOrder), func(i, j int) { d.pingOrder[i], d.pingOrder[j] = d.pingOrder[j], d.pingOrder[i] })
}

// gossipTransmits returns how often a claim is sent.
func (d *failureDetector) gossipTransmits() int {
	n := gossipFactor
	for m := len(d.views); m > 1; m /= 2 {
		n += gossipFactor
	}
	return n
}

// setClaim changes what is known of a member, and gossips it.
func (n *Node) setClaim(now time.Duration, c claim) {
	v := &n.detector.views[c.number]
	if v.state != c.state {
		n.detector.changes = append(n.detector.changes, Change{int(c.number), v.state, c.state})
		v.since = now
	}
	v.claim = c
	n.detector.gossipAbout(c.number)
}

// gossipAbout has the claim of a member sent, before those that were queued until now.
func (d *failureDetector) gossipAbout(m uint16) {
	if d.views[m].transmitsLeft > 0 {
		d.gossip = slices.DeleteFunc(d.gossip, func(other uint16) bool { return other == m })
	}
	d.gossip = append(d.gossip, m)
	d.views[m].transmitsLeft = d.gossipTransmits()
}

// observeAlive handles a datagram of a member as evidence that it is alive. Incarnation counts only where stated is set.
func (n *Node) observeAlive(now time.Duration, from int, generation uint16, incarnation uint8, stated bool) {
	d := &n.detector
	if d.rand == nil {
		return
	}
	v := &d.views[from]
	if !stated && v.generation == generation {
		incarnation = v.incarnation
	}
	switch c := (claim{uint16(from), Alive, generation, incarnation}); {
	case v.state != Alive || v.generation != generation:
		if v.state > Alive && v.generation == generation {
			v.accusation = v.claim
			d.addUrgent(uint16(from))
		}
		n.setClaim(now, c)
	case c.supersedes(v.claim):
		n.setClaim(now, c)
	}
	d.relayedPings = slices.DeleteFunc(d.relayedPings, func(r relayedPing) bool {
		if int(r.target) == from {
			d.messages = append(d.messages, message{to: r.requester, kind: kindIndirectAck, subject: r.target})
		}
		return int(r.target) == from || now-r.at > indirectAckTimeout
	})
}

// addUrgent has a member pinged next.
func (d *failureDetector) addUrgent(m uint16) {
	if !slices.Contains(d.urgent, m) {
		d.urgent = append(d.urgent, m)
	}
}

// receiveDetectorMessage handles a datagram of the failure detector.
func (n *Node) receiveDetectorMessage(now time.Duration, from int, h head, body []byte) {
	d := &n.detector
	if d.rand == nil {
		return
	}
	n.observeAlive(now, from, h.generation, body[0], true)
	body = body[1:]
	if h.kind == kindPingRequest {
		target := binary.BigEndian.Uint16(body)
		body = body[2:]
		if int(target) == from {
			d.messages = append(d.messages, message{to: uint16(from), kind: kindAck, subject: uint16(from), fullState: true})
		} else if int(target) < len(d.views) && int(target) != n.options.Self && len(d.relayedPings) < len(d.views) {
			d.relayedPings = append(d.relayedPings, relayedPing{uint16(from), target, now})
			d.messages = append(d.messages, message{to: target, kind: kindPing, subject: target})
		}
	}
	if h.kind == kindIndirectAck && len(body) > 0 { // another member has received its acknowledgement; a gossiped claim alone may be old
		target := decodeClaim(body).number
		d.probes = slices.DeleteFunc(d.probes, func(p probe) bool { return p.number == target })
	}
	for ; len(body) > 0; body = body[claimSize:] {
		n.applyClaim(now, decodeClaim(body))
	}
	if h.kind == kindPing {
		d.messages = append(d.messages, message{to: uint16(from), kind: kindAck, subject: uint16(from)})
	}
}

// applyClaim handles a claim of another member. A suspicion of this run is refuted by the next incarnation.
func (n *Node) applyClaim(now time.Duration, c claim) {
	d := &n.detector
	if int(c.number) >= len(d.views) || c.state == Unknown {
		return
	}
	if int(c.number) == n.options.Self {
		if me := &d.views[n.options.Self]; c.generation == me.generation && c.state > Alive && int8(c.incarnation-me.incarnation) >= 0 {
			me.incarnation = c.incarnation + 1
			d.gossipAbout(c.number)
		}
		return
	}
	v := &d.views[c.number]
	if !c.supersedes(v.claim) {
		return
	}
	if m := &n.members[c.number]; c.state > Alive && c.generation == v.generation && m.known && now-m.lastReceivedAt < directEvidenceTTL {
		v.accusation = c
		d.addUrgent(c.number)
		return
	}
	n.setClaim(now, c)
}

// tickDetector is the failure detector's part of Tick.
func (n *Node) tickDetector(now time.Duration) {
	d := &n.detector
	if d.rand == nil {
		return
	}
	if now-d.lastTick > maxTickGap { // no datagram was received meanwhile
		d.probes, d.relayedPings = d.probes[:0], d.relayedPings[:0]
		for i := range d.views {
			d.views[i].since = now
		}
	}
	d.lastTick = now
	n.endProbes(now)
	n.expireSuspects(now)
	for range min(d.extraPings, maxExtraPings) {
		n.queuePings(now)
	}
	d.extraPings = 0
	if now >= d.nextPingAt {
		d.nextPingAt = now + pingInterval
		n.queuePings(now)
	} else if len(d.gossip) > 0 {
		if m, ok := n.randomAlive(); ok {
			d.messages = append(d.messages, message{to: m, kind: kindAck, subject: m})
		}
	}
}

// endProbes drops probes that were acknowledged, suspects members that did not acknowledge indirect pings either, and begins
// those of the others.
func (n *Node) endProbes(now time.Duration) {
	d := &n.detector
	d.probes = slices.DeleteFunc(d.probes, func(p probe) bool {
		v, m := &d.views[p.number], &n.members[p.number]
		if m.known && m.lastReceivedAt >= p.at || v.state != Alive {
			return true
		}
		if p.indirect && now-p.at > ackTimeout+indirectAckTimeout {
			c := v.claim
			c.state = Suspect
			n.setClaim(now, c)
			return true
		}
		return false
	})
	for i := range d.probes {
		if p := &d.probes[i]; !p.indirect && now-p.at > ackTimeout {
			p.indirect = true
			d.extraPings += extraPingsPerTimeout
			n.pingIndirectly(p.number)
		}
	}
}

// expireSuspects declares dead the members that have not refuted a suspicion within suspectTimeout.
func (n *Node) expireSuspects(now time.Duration) {
	for i := range n.detector.views {
		v := &n.detector.views[i]
		if v.state == Suspect && now-v.since >= suspectTimeout {
			c := v.claim
			c.state = Dead
			n.setClaim(now, c)
		}
	}
}

// pingIndirectly asks some members that are alive to ping another one.
func (n *Node) pingIndirectly(target uint16) {
	d := &n.detector
	asked := 0
	for _, i := range d.rand.Perm(len(d.pingOrder)) {
		if m := d.pingOrder[i]; m != target && d.views[m].state == Alive {
			d.messages = append(d.messages, message{to: m, kind: kindPingRequest, target: target, subject: target})
			if asked++; asked == indirectPings {
				return
			}
		}
	}
}

// queuePings pings the members that should refute an accusation, and the next member of the round that is present; once in a
// while one that is not.
func (n *Node) queuePings(now time.Duration) {
	d := &n.detector
	for _, m := range d.urgent {
		d.messages = append(d.messages, message{to: m, kind: kindPing, subject: m})
	}
	d.urgent = d.urgent[:0]
	d.pingCount++
	dead := d.pingCount%pingsPerDeadPing == 0
	kind := kindPing
	if d.pingCount <= initialFullSyncs || d.pingCount%pingsPerFullSync == 0 && slices.ContainsFunc(d.views, func(v view) bool { return v.state == Unknown }) {
		kind = kindPingRequest
	}
	pick := func(want bool) bool {
		for range d.pingOrder {
			m := d.pingOrder[d.nextPing]
			if d.nextPing++; d.nextPing == len(d.pingOrder) {
				d.nextPing = 0
				d.shuffle()
			}
			if s := d.views[m].state; (s == Alive || s == Suspect) != want {
				d.messages = append(d.messages, message{to: m, kind: kind, target: uint16(n.options.Self), subject: m})
				if s == Alive {
					d.probes = append(d.probes, probe{number: m, at: now})
				}
				return true
			}
		}
		return false
	}
	_ = pick(dead) || pick(!dead)
}

// sendDetectorMessages sends the failure detector's messages, with as much gossip as fits into the datagrams.
func (n *Node) sendDetectorMessages(send func(to int, datagram []byte)) {
	d := &n.detector
	for _, one := range d.messages {
		n.beginMessage(one)
		switch v := &d.views[one.subject]; {
		case v.accusation.supersedes(v.claim) && one.subject == one.to:
			n.buf = appendClaim(n.buf, v.accusation)
		case v.state > Alive || v.state == Alive && one.subject != one.to:
			n.buf = appendClaim(n.buf, v.claim)
		}
		n.appendGossip(one.to)
		if one.fullState {
			n.appendFullState(one, send)
		}
		n.finishDatagram(one.to, send)
	}
	d.messages = d.messages[:0]
}

// appendGossip adds the newest claims to a datagram.
func (n *Node) appendGossip(to uint16) {
	d := &n.detector
	for i := len(d.gossip) - 1; i >= 0 && len(n.buf)+claimSize+checkSize <= MaxDatagram; i-- {
		if m := d.gossip[i]; m != to {
			n.buf = appendClaim(n.buf, d.views[m].claim)
			d.views[m].transmitsLeft--
		}
	}
	d.gossip = slices.DeleteFunc(d.gossip, func(m uint16) bool { return d.views[m].transmitsLeft == 0 })
}

// appendFullState adds the claims of all members, in further datagrams where one does not hold them.
func (n *Node) appendFullState(one message, send func(int, []byte)) {
	for m := range n.detector.views {
		if len(n.buf)+claimSize+checkSize > MaxDatagram {
			n.finishDatagram(one.to, send)
			n.beginMessage(one)
		}
		if v := &n.detector.views[m]; v.state != Unknown && m != int(one.to) && m != n.options.Self {
			n.buf = appendClaim(n.buf, v.claim)
		}
	}
}

// beginDatagram begins a datagram of a kind to a member.
func (n *Node) beginDatagram(k kind, to uint16) {
	m := &n.members[to]
	m.lastSentSequence++
	n.buf = n.codec.begin(n.buf, head{k, n.options.Generation, m.lastSentSequence})
}

// beginMessage begins the datagram of a message.
func (n *Node) beginMessage(one message) {
	n.beginDatagram(one.kind, one.to)
	n.buf = append(n.buf, n.detector.views[n.options.Self].incarnation)
	if one.kind == kindPingRequest {
		n.buf = binary.BigEndian.AppendUint16(n.buf, one.target)
	}
}

// finishDatagram seals the datagram in buf and sends it.
func (n *Node) finishDatagram(to uint16, send func(int, []byte)) {
	n.buf = n.codec.seal(n.buf)
	n.Counts.Sent++
	n.Counts.SentBytes += uint64(len(n.buf))
	send(int(to), n.buf)
}

// Changes calls f for each member whose state has changed since the last call.
func (n *Node) Changes(f func(Change)) {
	for _, c := range n.detector.changes {
		f(c)
	}
	n.detector.changes = n.detector.changes[:0]
}
