package peers

import (
	"encoding/binary"
	"math/bits"
	"slices"
	"time"
)

// Which revision of the configuration each member has in force spreads in two ways (Demers and others, 1987). Rumour mongering:
// an update is pushed to members drawn at random, a bounded number of times each. Anti-entropy: once a second a member drawn at
// random is sent a digest of each bucket of the table; where its own differ, it replies with its entries of those buckets and
// with its own digests, so that both end up with the later entries. That repairs losses and brings a new member everything. At
// rest only digests are sent.
//
// A member alone states what it has in force; with each change it raises a serial number, so that a later entry supersedes an
// earlier one also where the revision goes back. An entry is of one generation of its member and counts only while the failure
// detector holds just that one for present: no entry outlives its sender. The entries of dead members are kept and compared,
// though they do not count, so that a failure detector that flaps under loss costs nothing.
const (
	antiEntropyInterval     = time.Second
	fastAntiEntropyInterval = 250 * time.Millisecond // for some rounds after an update, as more may have been lost
	fastRoundsAfterUpdate   = 8
	fastRoundsAfterMismatch = 4  // after digests that differ
	membersPerBucket        = 32 // so that the entries of a bucket fit into a datagram
	maxBucketsPerReply      = 4
	extraTransmits          = 3 // times that an update is pushed, besides log2 of the members
	maxGossipPerTick        = 2 // datagrams with updates

	// LagThreshold is how long a member may be behind before that is reported: a change should be in force everywhere by then.
	LagThreshold = 15 * time.Second
	// minLagObservation is how long a member must have been seen behind: after a partition its former entry counts until a newer
	// one arrives.
	minLagObservation = 3 * time.Second
	// maxHistory bounds the steps of revisionTable.history.
	maxHistory = 256
)

// Revision identifies a state of the configuration.
type Revision struct {
	Number uint32 // given by the operator, raised with each change; 0: none
	Digest uint32 // of the parts that must be the same at all members
}

// revisionEntry is the revision that a member has in force, as it has stated itself.
type revisionEntry struct {
	generation, serial uint16
	Revision
	known         bool
	transmitsLeft int           // how often it is still to be pushed
	behindSince   time.Duration // since when the member is seen behind; -1: it is not
	lagReported   bool
}

// historyStep is a revision and the time since when it, or a later one, has been in force at some member.
type historyStep struct {
	number uint32
	since  time.Duration
}

// Lag is a member that is behind with the configuration, or no longer is.
type Lag struct {
	Number           int // of the member
	Revision, Newest uint32
	For              time.Duration // how long it is behind; 0 with Over
	Over             bool          // it has caught up
}

// revisionTable is what a Node knows of the revisions in force.
type revisionTable struct {
	entries        []revisionEntry // by number, its own among them
	gossip         []uint16        // members whose entries are to be pushed, the newest last
	gossipDue      int             // datagrams with updates that may be sent now
	nextExchangeAt time.Duration
	nextBucket     int           // the first of the next exchange
	fastRounds     int           // exchanges that are to follow at the fast interval
	history        []historyStep // by number and time
	lags           []Lag         // since the last call of Lags
	digestMessages []digestMessage
	bucketReplies  []bucketReply
}

// digestMessage is a datagram of digests that is to be sent.
type digestMessage struct {
	to          uint16
	firstBucket int
	isReply     bool
}

// bucketReply is a bucket whose entries are to be sent.
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
		t.nextExchangeAt = time.Duration(o.DetectorRand.Int64N(int64(antiEntropyInterval))) // members should not start in step
		t.gossipAbout(uint16(o.Self))
	}
	return t
}

// gossipAbout has a member's entry pushed.
func (t *revisionTable) gossipAbout(m uint16) {
	if t.entries[m].transmitsLeft > 0 {
		t.gossip = slices.DeleteFunc(t.gossip, func(other uint16) bool { return other == m })
	}
	t.gossip = append(t.gossip, m)
	t.entries[m].transmitsLeft = bits.Len(uint(len(t.entries))) + extraTransmits
}

// SetRevision sets the revision that this scheduler has in force from now on. Flush has to be called after it.
func (n *Node) SetRevision(now time.Duration, r Revision) {
	me := &n.revisionTable.entries[n.options.Self]
	if me.Revision == r {
		return
	}
	me.Revision = r
	me.serial++
	if n.detector.rand != nil {
		n.revisionTable.gossipAbout(uint16(n.options.Self))
		n.revisionTable.gossipDue = 1
		n.revisionTable.speedUp(now, fastRoundsAfterUpdate)
	}
}

// speedUp has some exchanges follow at the fast interval.
func (t *revisionTable) speedUp(now time.Duration, times int) {
	t.fastRounds, t.nextExchangeAt = max(t.fastRounds, times), min(t.nextExchangeAt, now+fastAntiEntropyInterval)
}

// isPresent reports whether a member is alive or merely suspected.
func (n *Node) isPresent(m int) bool {
	s := n.detector.views[m].state
	return m == n.options.Self || s == Alive || s == Suspect
}

// activeEntry returns the entry of a member that is present; nil where there is none.
func (n *Node) activeEntry(m int) *revisionEntry {
	e := &n.revisionTable.entries[m]
	if n.isPresent(m) && n.entryValid(m) {
		return e
	}
	return nil
}

// entryValid reports whether a member's entry is of the generation that the failure detector knows, present or dead.
func (n *Node) entryValid(m int) bool {
	e, v := &n.revisionTable.entries[m], &n.detector.views[m]
	return e.known && (m == n.options.Self || v.state != Unknown && e.generation == v.generation)
}

// A datagram of entries has one revision and its digest, in four bytes each, and the members that have it in force: number,
// generation and serial number, in two bytes each. One of digests has the number of the first bucket, with the highest bit set
// in a reply, and a digest of four bytes for each bucket from there on. Sizes are in bytes.
const (
	entriesHeadSize       = 8
	entrySize             = 6
	digestsHeadSize       = 2
	digestSize            = 4
	maxDigestsPerDatagram = (MaxDatagram - headSize - checkSize - digestsHeadSize) / digestSize
	replyBit              = 1 << 15
)

// receiveRevisionMessage handles a datagram of the revision table.
func (n *Node) receiveRevisionMessage(now time.Duration, from int, h head, body []byte) {
	switch {
	case n.detector.rand == nil:
	case h.kind == kindEntries:
		n.applyEntries(now, body)
	default:
		n.compareDigests(now, from, body)
	}
}

// applyEntries merges entries into the table.
func (n *Node) applyEntries(now time.Duration, body []byte) {
	r := Revision{binary.BigEndian.Uint32(body), binary.BigEndian.Uint32(body[4:])}
	for body = body[entriesHeadSize:]; len(body) > 0; body = body[entrySize:] {
		m := int(binary.BigEndian.Uint16(body))
		generation, serial := binary.BigEndian.Uint16(body[2:]), binary.BigEndian.Uint16(body[4:])
		if m >= len(n.revisionTable.entries) || m == n.options.Self {
			continue
		}
		e, known := &n.revisionTable.entries[m], n.detector.views[m].generation
		switch {
		case !e.known || e.generation != generation && (generation == known || e.generation != known && newer(generation, e.generation)):
		case e.generation == generation && newer(serial, e.serial):
		case e.generation == known && newer(generation, known): // the failure detector will learn of that generation
		default:
			continue
		}
		e.known, e.generation, e.serial, e.Revision = true, generation, serial, r
		n.revisionTable.gossipAbout(uint16(m))
		n.revisionTable.speedUp(now, fastRoundsAfterUpdate)
	}
}

// compareDigests compares a member's digests with its own, and has the member sent the entries of some buckets that differ.
func (n *Node) compareDigests(now time.Duration, from int, body []byte) {
	first := binary.BigEndian.Uint16(body)
	bucket, replies, differing := int(first&^replyBit), 0, 0
	for body = body[digestsHeadSize:]; len(body) > 0 && bucket < n.buckets(); body = body[digestSize:] {
		if binary.BigEndian.Uint32(body) != n.bucketDigest(bucket) {
			if differing++; replies < maxBucketsPerReply {
				n.revisionTable.bucketReplies = append(n.revisionTable.bucketReplies, bucketReply{uint16(from), bucket})
				replies++
			} else if at := n.detector.rand.IntN(differing); at < maxBucketsPerReply { // reservoir sampling: each is as likely to be sent
				n.revisionTable.bucketReplies[len(n.revisionTable.bucketReplies)-1-at].bucket = bucket
			}
		}
		bucket++
	}
	if differing > 0 {
		n.revisionTable.speedUp(now, fastRoundsAfterMismatch)
		if first&replyBit == 0 {
			n.revisionTable.digestMessages = append(n.revisionTable.digestMessages, digestMessage{uint16(from), int(first), true})
		}
	}
}

// buckets returns how many buckets the table has.
func (n *Node) buckets() int {
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

// bucketDigest returns a digest of a bucket's valid entries.
func (n *Node) bucketDigest(b int) uint32 {
	sum := uint64(0)
	n.eachEntry(b, func(m int, e *revisionEntry) {
		sum += mix(mix(uint64(m)<<32|uint64(e.generation)<<16|uint64(e.serial)) ^ uint64(e.Number)<<32 ^ uint64(e.Digest))
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
		if t.nextBucket += maxDigestsPerDatagram; t.nextBucket >= n.buckets() {
			t.nextBucket = 0
		}
	}
	n.findLagging(now)
}

// randomAlive returns one of the other members that are alive, drawn at random.
func (n *Node) randomAlive() (uint16, bool) {
	d := &n.detector
	for range d.pingOrder {
		if m := d.pingOrder[d.rand.IntN(len(d.pingOrder))]; d.views[m].state == Alive {
			return m, true
		}
	}
	return 0, false
}

// sendRevisionMessages sends what is due of the revision table.
func (n *Node) sendRevisionMessages(send func(int, []byte)) {
	t := &n.revisionTable
	for _, a := range t.bucketReplies {
		var members []uint16
		n.eachEntry(a.bucket, func(m int, _ *revisionEntry) { members = append(members, uint16(m)) })
		for len(members) > 0 {
			members = n.sendEntries(a.to, members, nil, send)
		}
	}
	t.bucketReplies = t.bucketReplies[:0]
	for _, c := range t.digestMessages {
		first := uint16(c.firstBucket)
		if c.isReply {
			first |= replyBit
		}
		n.beginDatagram(kindDigests, c.to)
		n.buf = binary.BigEndian.AppendUint16(n.buf, first)
		for b := c.firstBucket; b < min(n.buckets(), c.firstBucket+maxDigestsPerDatagram); b++ {
			n.buf = binary.BigEndian.AppendUint32(n.buf, n.bucketDigest(b))
		}
		n.finishDatagram(c.to, send)
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

// sendEntries sends one datagram with the entry of the first member and those of others that have the same revision in force. It
// calls sent, which may be nil, for each of them and returns the rest.
func (n *Node) sendEntries(to uint16, of []uint16, sent func(m uint16), send func(int, []byte)) (rest []uint16) {
	var r Revision
	some := false
	for _, m := range of {
		e := &n.revisionTable.entries[m]
		switch {
		case !n.entryValid(int(m)):
			e.transmitsLeft = 0 // the failure detector does not know that generation yet, or knows a later one: anti-entropy will repair it
			continue
		case !some:
			some, r = true, e.Revision
			n.beginDatagram(kindEntries, to)
			n.buf = binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(n.buf, r.Number), r.Digest)
		case e.Revision != r || len(n.buf)+entrySize+checkSize > MaxDatagram:
			rest = append(rest, m)
			continue
		}
		for _, v := range [3]uint16{m, e.generation, e.serial} {
			n.buf = binary.BigEndian.AppendUint16(n.buf, v)
		}
		if sent != nil {
			sent(m)
		}
	}
	if some {
		n.finishDatagram(to, send)
	}
	return rest
}

// newestRevision returns the highest revision in force at a member that is present.
func (n *Node) newestRevision() (number uint32) {
	for m := range n.revisionTable.entries {
		if e := n.activeEntry(m); e != nil {
			number = max(number, e.Number)
		}
	}
	return number
}

// findLagging updates which members are behind.
func (n *Node) findLagging(now time.Duration) {
	t, newest := &n.revisionTable, n.newestRevision()
	t.updateHistory(now, newest)
	for m := range t.entries {
		s := &t.entries[m]
		e := n.activeEntry(m)
		if e == nil || e.Number >= newest {
			if s.lagReported && e != nil {
				t.lags = append(t.lags, Lag{Number: m, Revision: e.Number, Newest: newest, Over: true})
			}
			s.behindSince, s.lagReported = -1, false
			continue
		}
		if s.behindSince < 0 {
			s.behindSince = now
		}
		if behind := t.lagOf(now, e.Number); !s.lagReported && behind > LagThreshold && now-s.behindSince >= minLagObservation {
			s.lagReported = true
			t.lags = append(t.lags, Lag{Number: m, Revision: e.Number, Newest: newest, For: behind})
		}
	}
}

// updateHistory keeps the history ordered by number and time, with the newest revision as its last step.
func (t *revisionTable) updateHistory(now time.Duration, newest uint32) {
	since := now
	for len(t.history) > 0 && t.history[len(t.history)-1].number > newest { // reverted, or its members are dead
		since = t.history[len(t.history)-1].since
		t.history = t.history[:len(t.history)-1]
	}
	if len(t.history) == 0 || t.history[len(t.history)-1].number < newest {
		t.history = append(t.history, historyStep{newest, since})
	}
	if len(t.history) > maxHistory { // the first step is kept, for members that are behind for long
		t.history = slices.Delete(t.history, 1, 2)
	}
}

// lagOf returns for how long a later revision has been in force at some member.
func (t *revisionTable) lagOf(now time.Duration, number uint32) time.Duration {
	for _, s := range t.history {
		if s.number > number {
			return now - s.since
		}
	}
	return 0
}

// differingDigests returns, by number, which of the members with the newest revision in force have another digest than most of
// them; of two digests that are as frequent, the one of the lowest member counts.
func (n *Node) differingDigests(newest uint32) (differ []bool) {
	counts, first := map[uint32]int{}, map[uint32]int{}
	best, found := uint32(0), false
	for m := range n.revisionTable.entries {
		if e := n.activeEntry(m); e != nil && e.Number == newest {
			if counts[e.Digest]++; counts[e.Digest] == 1 {
				first[e.Digest] = m
			}
		}
	}
	for d, c := range counts {
		if !found || c > counts[best] || c == counts[best] && first[d] < first[best] {
			best, found = d, true
		}
	}
	differ = make([]bool, len(n.revisionTable.entries))
	for m := range differ {
		e := n.activeEntry(m)
		differ[m] = e != nil && e.Number == newest && e.Digest != best
	}
	return differ
}

// Lags calls f for each member that since the last call has been found behind for longer than LagThreshold, or has caught up
// after that.
func (n *Node) Lags(f func(Lag)) {
	for _, l := range n.revisionTable.lags {
		f(l)
	}
	n.revisionTable.lags = n.revisionTable.lags[:0]
}
