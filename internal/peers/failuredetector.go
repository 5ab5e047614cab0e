package peers

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"
)

// The failure detector implements SWIM (Das, Gupta and Motivala, 2002). Each member pings one other member per interval. A member that
// does not acknowledge is pinged indirectly through two other members, then suspected, and declared dead if it does not refute the
// suspicion. Claims about members' states are gossiped in the same datagrams. Datagrams received directly from a member take
// precedence over claims of other members about it.
const (
	pingInterval         = 250 * time.Millisecond
	pingsPerDeadPing     = 4 // one ping in this many goes to a member that is dead or unknown
	ackTimeout           = 200 * time.Millisecond
	indirectAckTimeout   = 300 * time.Millisecond // counted from the indirect pings
	suspectTimeout       = time.Second            // time for a suspected member to refute the suspicion
	directEvidenceTTL    = 500 * time.Millisecond // how long a received datagram takes precedence over claims of other members
	maxTickGap           = 500 * time.Millisecond // after a longer gap this process was suspended, and missing acknowledgements are no evidence of a failure
	indirectPings        = 2                      // number of members asked to ping one that does not acknowledge
	extraPingsPerTimeout = 2                      // additional pings after an ack timeout, since failures may be correlated
	maxExtraPings        = 8                      // maximum number of additional pings per tick
	initialFullSyncs     = 8                      // number of pings after the start that request the full member state
	pingsPerFullSync     = 16                     // one later ping in this many requests it, while some members are unknown
	gossipFactor         = 3                      // a claim is sent about gossipFactor * log2(members) times
)

// State is the state of a member.
type State uint8

// The states of a member, in order of precedence within a generation and incarnation: a higher one supersedes a lower one.
const (
	Unknown State = iota // neither a datagram of the member nor a claim about it was received
	Alive
	Suspect
	Dead
)

// String returns the name of the state in /admin/peers and in log lines.
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

// claim is a statement about the state of a member in one of its generations.
type claim struct {
	number      uint16
	state       State
	generation  uint16 // generation of the member's process, raised with each start
	incarnation uint8  // number of suspicions that the process has refuted
}

// supersedes reports whether c takes precedence over d, a claim about the same member.
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

// claimSize is the size of an encoded claim in bytes: two with the state in the high two bits and the member's number below, two with
// the generation and one with the incarnation.
const claimSize = 5

func appendClaim(buf []byte, c claim) []byte {
	buf = binary.BigEndian.AppendUint16(buf, uint16(c.state)<<14|c.number)
	return append(binary.BigEndian.AppendUint16(buf, c.generation), c.incarnation)
}

func decodeClaim(b []byte) claim {
	n := binary.BigEndian.Uint16(b)
	return claim{n & 0x3fff, State(n >> 14), binary.BigEndian.Uint16(b[2:]), b[4]}
}

// failureDetector holds the states of all members, including its own, and the pings under way.
type failureDetector struct {
	rand         *rand.Rand // nil: no failure detection; pings are not answered
	views        []view     // by member number
	gossip       []uint16   // members whose claims are still to be gossiped, the newest last
	pingOrder    []uint16   // all other members, reshuffled for each round of pings
	nextPing     int        // index in pingOrder
	pingCount    int
	extraPings   int // number of additional pings to send at the next tick
	nextPingAt   time.Duration
	lastTick     time.Duration
	probes       []probe
	urgent       []uint16 // members to ping next, so that they refute a disputed claim
	messages     []message
	relayedPings []relayedPing
	changes      []Change // state changes since the last call of Changes
}

// view is the state of a member as this Node knows it.
type view struct {
	claim
	disputedClaim claim         // claim of another member that contradicts direct evidence; sent to the member for it to refute
	since         time.Duration // time of the last state change
	transmitsLeft int           // number of times that the claim is still to be gossiped
}

// probe is a ping that has not been acknowledged yet.
type probe struct {
	number   uint16
	sentAt   time.Duration
	indirect bool // indirect pings were requested
}

// relayedPing is a ping on behalf of the member requester, to which the acknowledgement is forwarded.
type relayedPing struct {
	requester, target uint16
	requestedAt       time.Duration
}

// message is a queued datagram of the failure detector.
type message struct {
	to        uint16
	kind      kind
	target    uint16 // member to ping, in a ping request
	subject   uint16 // member whose claim comes first; the receiver's own number: only a claim for it to refute
	fullState bool   // include the claims of all members
}

// Change is a change of a member's state.
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

// shuffle reorders the members for the next round of pings.
func (d *failureDetector) shuffle() {
	d.rand.Shuffle(len(d.pingOrder), func(i, j int) { d.pingOrder[i], d.pingOrder[j] = d.pingOrder[j], d.pingOrder[i] })
}

// gossipTransmits returns the number of times that a claim is gossiped.
func (d *failureDetector) gossipTransmits() int {
	n := gossipFactor
	for m := len(d.views); m > 1; m /= 2 {
		n += gossipFactor
	}
	return n
}

// setClaim replaces the claim about a member and gossips it.
func (n *Node) setClaim(now time.Duration, c claim) {
	v := &n.detector.views[c.number]
	if v.state != c.state {
		n.detector.changes = append(n.detector.changes, Change{int(c.number), v.state, c.state})
		v.since = now
	}
	v.claim = c
	n.detector.gossipAbout(c.number)
}

// gossipAbout queues the claim about a member for gossip, ahead of those already queued.
func (d *failureDetector) gossipAbout(m uint16) {
	if d.views[m].transmitsLeft > 0 {
		d.gossip = slices.DeleteFunc(d.gossip, func(other uint16) bool { return other == m })
	}
	d.gossip = append(d.gossip, m)
	d.views[m].transmitsLeft = d.gossipTransmits()
}

// observeAlive records a datagram of a member as evidence that the member is alive. The incarnation is used only if hasIncarnation is
// set.
func (n *Node) observeAlive(now time.Duration, from int, generation uint16, incarnation uint8, hasIncarnation bool) {
	d := &n.detector
	if d.rand == nil {
		return
	}
	v := &d.views[from]
	if !hasIncarnation && v.generation == generation {
		incarnation = v.incarnation
	}
	switch c := (claim{uint16(from), Alive, generation, incarnation}); {
	case v.state != Alive || v.generation != generation:
		if v.state > Alive && v.generation == generation {
			v.disputedClaim = v.claim
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
		return int(r.target) == from || now-r.requestedAt > indirectAckTimeout
	})
}

// addUrgent queues a member to be pinged by the next queuePings.
func (d *failureDetector) addUrgent(m uint16) {
	if !slices.Contains(d.urgent, m) {
		d.urgent = append(d.urgent, m)
	}
}

// receiveDetectorMessage handles a datagram of the failure detector.
func (n *Node) receiveDetectorMessage(now time.Duration, from int, h header, body []byte) {
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
	if h.kind == kindIndirectAck && len(body) > 0 { // the target has acknowledged an indirect ping; a gossiped claim alone may be old
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

// applyClaim handles a received claim. A claim that this process is suspect or dead is refuted by raising its incarnation.
func (n *Node) applyClaim(now time.Duration, c claim) {
	d := &n.detector
	if int(c.number) >= len(d.views) || c.state == Unknown {
		return
	}
	if int(c.number) == n.options.Self {
		if self := &d.views[n.options.Self]; c.generation == self.generation && c.state > Alive && int8(c.incarnation-self.incarnation) >= 0 {
			self.incarnation = c.incarnation + 1
			d.gossipAbout(c.number)
		}
		return
	}
	v := &d.views[c.number]
	if !c.supersedes(v.claim) {
		return
	}
	if m := &n.members[c.number]; c.state > Alive && c.generation == v.generation && m.known && now-m.lastReceivedAt < directEvidenceTTL {
		v.disputedClaim = c
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
	if now-d.lastTick > maxTickGap { // the process was suspended and received no datagram meanwhile
		d.probes, d.relayedPings = d.probes[:0], d.relayedPings[:0]
		for i := range d.views {
			d.views[i].since = now
		}
	}
	d.lastTick = now
	n.updateProbes(now)
	n.expireSuspects(now)
	for range min(d.extraPings, maxExtraPings) {
		n.queuePings(now)
	}
	d.extraPings = 0
	if now >= d.nextPingAt {
		d.nextPingAt = now + pingInterval
		n.queuePings(now)
	} else if len(d.gossip) > 0 { // an acknowledgement carries the gossip, since it causes no reply
		if m, ok := n.randomAlive(); ok {
			d.messages = append(d.messages, message{to: m, kind: kindAck, subject: m})
		}
	}
}

// updateProbes drops acknowledged probes, suspects members that have not acknowledged indirect pings either, and requests indirect
// pings of members that have not acknowledged the direct one.
func (n *Node) updateProbes(now time.Duration) {
	d := &n.detector
	d.probes = slices.DeleteFunc(d.probes, func(p probe) bool {
		v, m := &d.views[p.number], &n.members[p.number]
		if m.known && m.lastReceivedAt >= p.sentAt || v.state != Alive {
			return true
		}
		if p.indirect && now-p.sentAt > ackTimeout+indirectAckTimeout {
			c := v.claim
			c.state = Suspect
			n.setClaim(now, c)
			return true
		}
		return false
	})
	for i := range d.probes {
		if p := &d.probes[i]; !p.indirect && now-p.sentAt > ackTimeout {
			p.indirect = true
			d.extraPings += extraPingsPerTimeout
			n.pingIndirectly(p.number)
		}
	}
}

// expireSuspects declares members dead that have not refuted a suspicion within suspectTimeout.
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

// pingIndirectly asks up to indirectPings alive members, chosen at random, to ping target.
func (n *Node) pingIndirectly(target uint16) {
	d := &n.detector
	requested := 0
	for _, i := range d.rand.Perm(len(d.pingOrder)) {
		if m := d.pingOrder[i]; m != target && d.views[m].state == Alive {
			d.messages = append(d.messages, message{to: m, kind: kindPingRequest, target: target, subject: target})
			if requested++; requested == indirectPings {
				return
			}
		}
	}
}

// queuePings pings the urgent members and the next present member of the round. One in pingsPerDeadPing calls pings a dead or unknown
// member instead.
func (n *Node) queuePings(now time.Duration) {
	d := &n.detector
	for _, m := range d.urgent {
		d.messages = append(d.messages, message{to: m, kind: kindPing, subject: m})
	}
	d.urgent = d.urgent[:0]
	d.pingCount++
	pingDead := d.pingCount%pingsPerDeadPing == 0
	kind := kindPing
	if d.pingCount <= initialFullSyncs || d.pingCount%pingsPerFullSync == 0 && slices.ContainsFunc(d.views, func(v view) bool { return v.state == Unknown }) {
		kind = kindPingRequest
	}
	pingNext := func(wantDead bool) bool {
		for range d.pingOrder {
			m := d.pingOrder[d.nextPing]
			if d.nextPing++; d.nextPing == len(d.pingOrder) {
				d.nextPing = 0
				d.shuffle()
			}
			if s := d.views[m].state; (s == Alive || s == Suspect) != wantDead {
				d.messages = append(d.messages, message{to: m, kind: kind, target: uint16(n.options.Self), subject: m})
				if s == Alive {
					d.probes = append(d.probes, probe{number: m, sentAt: now})
				}
				return true
			}
		}
		return false
	}
	_ = pingNext(pingDead) || pingNext(!pingDead)
}

// sendDetectorMessages sends the queued messages, each filled up with gossip.
func (n *Node) sendDetectorMessages(send func(to int, datagram []byte)) {
	d := &n.detector
	for _, msg := range d.messages {
		n.beginMessage(msg)
		switch v := &d.views[msg.subject]; {
		case v.disputedClaim.supersedes(v.claim) && msg.subject == msg.to:
			n.buf = appendClaim(n.buf, v.disputedClaim)
		case v.state > Alive || v.state == Alive && msg.subject != msg.to:
			n.buf = appendClaim(n.buf, v.claim)
		}
		n.appendGossip(msg.to)
		if msg.fullState {
			n.appendFullState(msg, send)
		}
		n.finishDatagram(msg.to, send)
	}
	d.messages = d.messages[:0]
}

// appendGossip appends the newest queued claims that fit into the datagram.
func (n *Node) appendGossip(to uint16) {
	d := &n.detector
	for i := len(d.gossip) - 1; i >= 0 && len(n.buf)+claimSize+checksumSize <= MaxDatagram; i-- {
		if m := d.gossip[i]; m != to {
			n.buf = appendClaim(n.buf, d.views[m].claim)
			d.views[m].transmitsLeft--
		}
	}
	d.gossip = slices.DeleteFunc(d.gossip, func(m uint16) bool { return d.views[m].transmitsLeft == 0 })
}

// appendFullState appends the claims about all members and sends further datagrams when one is full.
func (n *Node) appendFullState(msg message, send func(int, []byte)) {
	for m := range n.detector.views {
		if len(n.buf)+claimSize+checksumSize > MaxDatagram {
			n.finishDatagram(msg.to, send)
			n.beginMessage(msg)
		}
		if v := &n.detector.views[m]; v.state != Unknown && m != int(msg.to) && m != n.options.Self {
			n.buf = appendClaim(n.buf, v.claim)
		}
	}
}

// beginDatagram starts a datagram to a member in buf.
func (n *Node) beginDatagram(k kind, to uint16) {
	m := &n.members[to]
	m.lastSentSequence++
	n.buf = n.codec.encodeHeader(n.buf, header{k, n.options.Generation, m.lastSentSequence})
}

// beginMessage starts the datagram of a message in buf.
func (n *Node) beginMessage(msg message) {
	n.beginDatagram(msg.kind, msg.to)
	n.buf = append(n.buf, n.detector.views[n.options.Self].incarnation)
	if msg.kind == kindPingRequest {
		n.buf = binary.BigEndian.AppendUint16(n.buf, msg.target)
	}
}

// finishDatagram appends the checksum to the datagram in buf and sends it.
func (n *Node) finishDatagram(to uint16, send func(int, []byte)) {
	n.buf = n.codec.appendChecksum(n.buf)
	n.Counts.Sent++
	n.Counts.SentBytes += uint64(len(n.buf))
	send(int(to), n.buf)
}

// Changes calls f for each member whose state has changed since the last call.
func (n *Node) Changes(f func(Change)) {
	for _, change := range n.detector.changes {
		f(change)
	}
	n.detector.changes = n.detector.changes[:0]
}
