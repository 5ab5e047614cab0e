package peers

import (
	"encoding/binary"
	"math/bits"
	"slices"
	"time"
)

// The revision of the configuration that each member has in force is disseminated in two ways (Demers and others, 1987). Rumor
// mongering: an update is pushed to random members, a bounded number of times. Anti-entropy: once a second, a random member is sent
// digests of the table's buckets, as many as fit into a datagram. If its own digests differ, it replies with its entries of up to
// maxBucketsPerReply of those buckets and with its own digests, to which the first member replies with entries in turn, so that both
// end up with the later entries. Anti-entropy repairs losses and brings a new member up to date. While nothing changes, only digests
// are sent.
//
// Only the member itself creates its entry. It raises a serial number with each change, so that a later entry supersedes an earlier
// one even if the revision decreases. An entry belongs to one generation of its member and is active only while the failure detector
// considers that generation present, so that no entry outlives its sender. The entries of dead members are kept and compared,
// though they are not active, so that a failure detector that flaps under loss causes no additional traffic.
const (
	antiEntropyInterval     = time.Second
	fastAntiEntropyInterval = 250 * time.Millisecond // for some rounds after an update, since other updates may have been lost
	fastRoundsAfterUpdate   = 8                      // number of exchanges at the fast interval
	fastRoundsAfterMismatch = 4                      // number of exchanges at the fast interval
	membersPerBucket        = 32                     // so that the entries of a bucket fit into one datagram if their revisions are equal
	maxBucketsPerReply      = 4
	extraTransmits          = 3 // an update is pushed about log2(members) + extraTransmits times
	maxGossipPerTick        = 2 // maximum number of datagrams with updates

	// LagThreshold is how long a member may be behind before it is reported. A change should be in force everywhere by then.
	LagThreshold = 15 * time.Second
	// minLagObservation is how long this Node must have observed that a member is behind before it is reported: after a
	// partition, the member's old entry stays active until a newer one arrives.
	minLagObservation = 3 * time.Second
	// maxHistory is the maximum length of revisionTable.history.
	maxHistory = 256
)

// Revision identifies a version of the configuration.
type Revision struct {
	Number uint32 // set by the operator, who raises it with each change; 0: none
	Digest uint32 // digest of the parts that must be equal at all members
}

// revisionEntry is the revision that a member has in force, as stated by the member itself.
type revisionEntry struct {
	generation, serial uint16
	Revision
	known         bool
	transmitsLeft int           // number of times that the entry is still to be pushed
	behindSince   time.Duration // time since which the member is observed behind; -1: not behind
	lagReported   bool          // the current lag was appended to revisionTable.lags
}

// historyStep is a revision number and the time since which that revision or a later one has been in force at some member.
type historyStep struct {
	number uint32
	since  time.Duration
}

// Lag reports that a member is behind the newest revision of the configuration, or has caught up.
type Lag struct {
	Number           int // number of the member
	Revision, Newest uint32
	BehindFor        time.Duration // how long the member has been behind; 0 if it has caught up
	CaughtUp         bool
}

// revisionTable holds the revisions in force at the members.
type revisionTable struct {
	entries        []revisionEntry // by member number, including its own
	gossip         []uint16        // members whose entries are still to be pushed, the newest last
	gossipDue      int             // number of datagrams with updates that the next Flush may send
	nextExchangeAt time.Duration
	nextBucket     int           // first bucket of the next exchange
	fastRounds     int           // number of exchanges still to be made at the fast interval
	history        []historyStep // sorted by number and time
	lags           []Lag         // lags found since the last call of Lags
	digestMessages []digestMessage
	bucketReplies  []bucketReply
}

// digestMessage is a queued datagram of digests.
type digestMessage struct {
	to          uint16
	firstBucket int
	isReply     bool
}

// bucketReply is a bucket whose entries are queued to be sent.
type bucketReply struct {
	to     uint16
	bucket int
}

func newRevisionTable(o Options) revisionTable {
	t := revisionTable{entries: make([]revisionEntry, o.Members)}
	for i := range t.entries {
		t.entries[i].behindSince = -1
	}
	t.entries[o.Self] = revisionEntry{generation: o.Generation, Revision: o.Revision, known: true, behindSince: -1}
	if o.DetectorRand != nil {
		t.nextExchangeAt = time.Duration(o.DetectorRand.Int64N(int64(antiEntropyInterval))) // random, so that the members' exchanges do not coincide
		t.gossipAbout(uint16(o.Self))
	}
	return t
}

// gossipAbout queues a member's entry to be pushed.
func (t *revisionTable) gossipAbout(m uint16) {
	if t.entries[m].transmitsLeft > 0 {
		t.gossip = slices.DeleteFunc(t.gossip, func(other uint16) bool { return other == m })
	}
	t.gossip = append(t.gossip, m)
	t.entries[m].transmitsLeft = bits.Len(uint(len(t.entries))) + extraTransmits
}

// SetRevision sets the revision that this scheduler has in force. Flush must be called after it.
func (n *Node) SetRevision(now time.Duration, r Revision) {
	self := &n.revisionTable.entries[n.options.Self]
	if self.Revision == r {
		return
	}
	self.Revision = r
	self.serial++
	if n.detector.rand != nil {
		n.revisionTable.gossipAbout(uint16(n.options.Self))
		n.revisionTable.gossipDue = 1
		n.revisionTable.scheduleFastRounds(now, fastRoundsAfterUpdate)
	}
}

// scheduleFastRounds schedules at least times exchanges at the fast interval.
func (t *revisionTable) scheduleFastRounds(now time.Duration, times int) {
	t.fastRounds, t.nextExchangeAt = max(t.fastRounds, times), min(t.nextExchangeAt, now+fastAntiEntropyInterval)
}

// isPresent reports whether a member is alive or suspect, or is this Node.
func (n *Node) isPresent(m int) bool {
	s := n.detector.views[m].state
	return m == n.options.Self || s == Alive || s == Suspect
}

// activeEntry returns the valid entry of a present member, or nil.
func (n *Node) activeEntry(m int) *revisionEntry {
	e := &n.revisionTable.entries[m]
	if n.isPresent(m) && n.entryValid(m) {
		return e
	}
	return nil
}

// entryValid reports whether a member's entry is of the generation that the failure detector knows, whether present or dead.
func (n *Node) entryValid(m int) bool {
	e, v := &n.revisionTable.entries[m], &n.detector.views[m]
	return e.known && (m == n.options.Self || v.state != Unknown && e.generation == v.generation)
}

// A datagram of kindEntries has one revision number and its digest, four bytes each, followed by the members that have that revision in
// force: number, generation and serial number, two bytes each. A datagram of kindDigests has the number of the first bucket in two
// bytes, with replyBit set in a reply, followed by a digest of four bytes for each bucket from there on. Sizes are in bytes.
const (
	entriesHeaderSize     = 8
	entrySize             = 6
	digestsHeaderSize     = 2
	digestSize            = 4
	maxDigestsPerDatagram = (MaxDatagram - headerSize - checksumSize - digestsHeaderSize) / digestSize
	replyBit              = 1 << 15
)

// receiveRevisionMessage handles a datagram of kindEntries or kindDigests.
func (n *Node) receiveRevisionMessage(now time.Duration, from int, h header, body []byte) {
	switch {
	case n.detector.rand == nil:
	case h.kind == kindEntries:
		n.applyEntries(now, body)
	default:
		n.compareDigests(now, from, body)
	}
}

// applyEntries merges received entries into the table.
func (n *Node) applyEntries(now time.Duration, body []byte) {
	r := Revision{binary.BigEndian.Uint32(body), binary.BigEndian.Uint32(body[4:])}
	for body = body[entriesHeaderSize:]; len(body) > 0; body = body[entrySize:] {
		m := int(binary.BigEndian.Uint16(body))
		generation, serial := binary.BigEndian.Uint16(body[2:]), binary.BigEndian.Uint16(body[4:])
		if m >= len(n.revisionTable.entries) || m == n.options.Self {
			continue
		}
		e, known := &n.revisionTable.entries[m], n.detector.views[m].generation
		switch {
		case !e.known || e.generation != generation && (generation == known || e.generation != known && newer(generation, e.generation)):
		case e.generation == generation && newer(serial, e.serial):
		case e.generation == known && newer(generation, known): // a generation that the failure detector does not know yet
		default:
			continue
		}
		e.known, e.generation, e.serial, e.Revision = true, generation, serial, r
		n.revisionTable.gossipAbout(uint16(m))
		n.revisionTable.scheduleFastRounds(now, fastRoundsAfterUpdate)
	}
}

// compareDigests compares received digests with its own and queues the entries of up to maxBucketsPerReply differing buckets for the
// sender.
func (n *Node) compareDigests(now time.Duration, from int, body []byte) {
	first := binary.BigEndian.Uint16(body)
	bucket, replies, differing := int(first&^replyBit), 0, 0
	for body = body[digestsHeaderSize:]; len(body) > 0 && bucket < n.bucketCount(); body = body[digestSize:] {
		if binary.BigEndian.Uint32(body) != n.bucketDigest(bucket) {
			if differing++; replies < maxBucketsPerReply {
				n.revisionTable.bucketReplies = append(n.revisionTable.bucketReplies, bucketReply{uint16(from), bucket})
				replies++
			} else if index := n.detector.rand.IntN(differing); index < maxBucketsPerReply { // reservoir sampling: all differing buckets are equally likely
				n.revisionTable.bucketReplies[len(n.revisionTable.bucketReplies)-1-index].bucket = bucket
			}
		}
		bucket++
	}
	if differing > 0 {
		n.revisionTable.scheduleFastRounds(now, fastRoundsAfterMismatch)
		if first&replyBit == 0 {
			n.revisionTable.digestMessages = append(n.revisionTable.digestMessages, digestMessage{uint16(from), int(first), true})
		}
	}
}

// bucketCount returns the number of buckets of the table.
func (n *Node) bucketCount() int {
	return (len(n.revisionTable.entries) + membersPerBucket - 1) / membersPerBucket
}

// eachEntry calls f for each valid entry of a bucket.
func (n *Node) eachEntry(b int, f func(m int, e *revisionEntry)) {
	for m := b * membersPerBucket; m < min((b+1)*membersPerBucket, len(n.revisionTable.entries)); m++ {
		if n.entryValid(m) {
			f(m, &n.revisionTable.entries[m])
		}
	}
}

// bucketDigest returns the digest of a bucket's valid entries, which does not depend on their order.
func (n *Node) bucketDigest(b int) uint32 {
	sum := uint64(0)
	n.eachEntry(b, func(m int, e *revisionEntry) {
		sum += fmix64(fmix64(uint64(m)<<32|uint64(e.generation)<<16|uint64(e.serial)) ^ uint64(e.Number)<<32 ^ uint64(e.Digest))
	})
	return uint32(sum >> 32)
}

// tickRevisions is the revision table's part of Tick.
func (n *Node) tickRevisions(now time.Duration) {
	t := &n.revisionTable
	if n.detector.rand == nil {
		return
	}
	if len(t.gossip) > 0 {
		t.gossipDue = maxGossipPerTick
	}
	if now >= t.nextExchangeAt {
		t.nextExchangeAt = now + antiEntropyInterval
		if t.fastRounds > 0 {
			t.fastRounds--
			t.nextExchangeAt = now + fastAntiEntropyInterval
		}
		if to, ok := n.randomAlive(); ok {
			t.digestMessages = append(t.digestMessages, digestMessage{to: to, firstBucket: t.nextBucket})
		}
		if t.nextBucket += maxDigestsPerDatagram; t.nextBucket >= n.bucketCount() {
			t.nextBucket = 0
		}
	}
	n.findLagging(now)
}

// randomAlive returns a random other member that is alive, and false if it finds none.
func (n *Node) randomAlive() (uint16, bool) {
	d := &n.detector
	for range d.pingOrder {
		if m := d.pingOrder[d.rand.IntN(len(d.pingOrder))]; d.views[m].state == Alive {
			return m, true
		}
	}
	return 0, false
}

// sendRevisionMessages sends the queued replies and digests, and the updates that are due.
func (n *Node) sendRevisionMessages(send func(int, []byte)) {
	t := &n.revisionTable
	for _, reply := range t.bucketReplies {
		var members []uint16
		n.eachEntry(reply.bucket, func(m int, _ *revisionEntry) { members = append(members, uint16(m)) })
		for len(members) > 0 {
			members = n.sendEntries(reply.to, members, nil, send)
		}
	}
	t.bucketReplies = t.bucketReplies[:0]
	for _, msg := range t.digestMessages {
		first := uint16(msg.firstBucket)
		if msg.isReply {
			first |= replyBit
		}
		n.beginDatagram(kindDigests, msg.to)
		n.buf = binary.BigEndian.AppendUint16(n.buf, first)
		for b := msg.firstBucket; b < min(n.bucketCount(), msg.firstBucket+maxDigestsPerDatagram); b++ {
			n.buf = binary.BigEndian.AppendUint32(n.buf, n.bucketDigest(b))
		}
		n.finishDatagram(msg.to, send)
	}
	t.digestMessages = t.digestMessages[:0]
	for ; t.gossipDue > 0 && len(t.gossip) > 0; t.gossipDue-- {
		to, ok := n.randomAlive()
		if !ok {
			break
		}
		members := slices.Clone(t.gossip)
		slices.Reverse(members)
		n.sendEntries(to, members, func(m uint16) { t.entries[m].transmitsLeft-- }, send)
		t.gossip = slices.DeleteFunc(t.gossip, func(m uint16) bool { return t.entries[m].transmitsLeft <= 0 })
	}
	t.gossipDue = 0
}

// sendEntries sends one datagram with the entries of those members that have the same revision in force as the first one. It calls
// onSent, which may be nil, for each entry sent and returns the remaining members.
func (n *Node) sendEntries(to uint16, members []uint16, onSent func(m uint16), send func(int, []byte)) (rest []uint16) {
	var r Revision
	started := false
	for _, m := range members {
		e := &n.revisionTable.entries[m]
		switch {
		case !n.entryValid(int(m)):
			e.transmitsLeft = 0 // the failure detector does not know the entry's generation yet, or knows a later one; anti-entropy repairs this
			continue
		case !started:
			started, r = true, e.Revision
			n.beginDatagram(kindEntries, to)
			n.buf = binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(n.buf, r.Number), r.Digest)
		case e.Revision != r || len(n.buf)+entrySize+checksumSize > MaxDatagram:
			rest = append(rest, m)
			continue
		}
		for _, v := range [3]uint16{m, e.generation, e.serial} {
			n.buf = binary.BigEndian.AppendUint16(n.buf, v)
		}
		if onSent != nil {
			onSent(m)
		}
	}
	if started {
		n.finishDatagram(to, send)
	}
	return rest
}

// newestRevision returns the highest revision number in force at any present member.
func (n *Node) newestRevision() (number uint32) {
	for m := range n.revisionTable.entries {
		if e := n.activeEntry(m); e != nil {
			number = max(number, e.Number)
		}
	}
	return number
}

// findLagging updates the lag state of all members and records the lags to report.
func (n *Node) findLagging(now time.Duration) {
	t, newest := &n.revisionTable, n.newestRevision()
	t.updateHistory(now, newest)
	for m := range t.entries {
		entry := &t.entries[m]
		active := n.activeEntry(m)
		if active == nil || active.Number >= newest {
			if entry.lagReported && active != nil {
				t.lags = append(t.lags, Lag{Number: m, Revision: active.Number, Newest: newest, CaughtUp: true})
			}
			entry.behindSince, entry.lagReported = -1, false
			continue
		}
		if entry.behindSince < 0 {
			entry.behindSince = now
		}
		if behind := t.lagOf(now, active.Number); !entry.lagReported && behind > LagThreshold && now-entry.behindSince >= minLagObservation {
			entry.lagReported = true
			t.lags = append(t.lags, Lag{Number: m, Revision: active.Number, Newest: newest, BehindFor: behind})
		}
	}
}

// updateHistory updates the history so that it is sorted by number and time and ends with the newest revision.
func (t *revisionTable) updateHistory(now time.Duration, newest uint32) {
	since := now
	for len(t.history) > 0 && t.history[len(t.history)-1].number > newest { // the revision was reverted, or all members that had it are dead
		since = t.history[len(t.history)-1].since
		t.history = t.history[:len(t.history)-1]
	}
	if len(t.history) == 0 || t.history[len(t.history)-1].number < newest {
		t.history = append(t.history, historyStep{newest, since})
	}
	if len(t.history) > maxHistory { // the first step is kept for members that have been behind for long
		t.history = slices.Delete(t.history, 1, 2)
	}
}

// lagOf returns how long a revision later than number has been in force at some member.
func (t *revisionTable) lagOf(now time.Duration, number uint32) time.Duration {
	for _, s := range t.history {
		if s.number > number {
			return now - s.since
		}
	}
	return 0
}

// differingDigests returns, by member number, whether a member has the newest revision in force with another digest than the most
// frequent one. Of equally frequent digests, the one of the lowest member number is taken.
func (n *Node) differingDigests(newest uint32) (differs []bool) {
	counts, first := map[uint32]int{}, map[uint32]int{}
	mostFrequent, found := uint32(0), false
	for m := range n.revisionTable.entries {
		if e := n.activeEntry(m); e != nil && e.Number == newest {
			if counts[e.Digest]++; counts[e.Digest] == 1 {
				first[e.Digest] = m
			}
		}
	}
	for d, c := range counts {
		if !found || c > counts[mostFrequent] || c == counts[mostFrequent] && first[d] < first[mostFrequent] {
			mostFrequent, found = d, true
		}
	}
	differs = make([]bool, len(n.revisionTable.entries))
	for m := range differs {
		e := n.activeEntry(m)
		differs[m] = e != nil && e.Number == newest && e.Digest != mostFrequent
	}
	return differs
}

// Lags calls f for each member that has exceeded LagThreshold since the last call, or that has caught up after it was reported.
func (n *Node) Lags(f func(Lag)) {
	for _, l := range n.revisionTable.lags {
		f(l)
	}
	n.revisionTable.lags = n.revisionTable.lags[:0]
}
