package peers

import (
	"encoding/binary"
	"math/bits"
	"slices"
	"time"
)

// Which revision of the configuration each member has in force spreads in two ways (Demers and others, 1987). Rumour
// mongering: what is new here is pushed to members drawn at random, a bounded number of times each. Anti-entropy: once a
// second a member drawn at random is sent a hash of each part of the table; where its own differ, it answers with what
// it has there and with its own hashes, so that both end up with the later of each. That heals losses and brings a
// newcomer all. At rest only the hashes are sent.
//
// A member alone says what it has in force; with each change it counts up a serial number, so that its later word outweighs an
// earlier one also where the revision goes back. A word is of one run of its member and counts only while the watch holds just
// that run for there: nothing outlives its sender. The words of those that are gone are kept and compared, though they do not count,
// so that a watch that wavers under loss costs nothing.
const (
	compareEvery = time.Second
	compareSoon  = 250 * time.Millisecond // for a while after something new, as more may have been lost
	hurryFor     = 8                      // comparisons
	bucketSize   = 32                     // members in a part of the table: the words of all fit into a datagram
	answerMost   = 4                      // parts of the table in an answer
	rumourExtra  = 2                      // times that something new is pushed, besides log2 of the members
	rumoursATick = 2                      // datagrams of news a tick

	// LagAfter is after how long a member that is behind is worth a line in the log. A change is to be in force everywhere
	// within that time.
	LagAfter = 15 * time.Second
	// lagSeen is for how long it must have been seen behind: after a split its former word counts until its new one comes.
	lagSeen = 3 * time.Second
	// mostSteps bounds what is kept of when which revision was first in force.
	mostSteps = 256
)

// Revision is a state of the configuration.
type Revision struct {
	Number uint32 // the operator's, counted up with each change; 0: none was given
	Digest uint32 // of what must be the same for all
}

// inForce is a member's word on what it has in force.
type inForce struct {
	run, serial uint16
	Revision
	known bool
	tell  int           // how often it is still to be pushed
	seen  time.Duration // since when the member is seen behind; -1: it is not
	lags  bool          // that was reported
}

// step is a revision of which we know since when it, or a later one, has been in force somewhere.
type step struct {
	number uint32
	since  time.Duration
}

// Lag is a member that is behind, or no longer is.
type Lag struct {
	Number           int
	Revision, Newest uint32
	For              time.Duration
	Over             bool
}

// table is what a Node knows of the revisions in force.
type table struct {
	words    []inForce // by number, our own among them
	news     []uint16  // to be pushed; the newest last
	due      time.Duration
	from     int // the bucket at which the next comparison begins
	hurry    int // comparisons that are to follow soon
	steps    []step
	lags     []Lag
	pushes   int // datagrams of news that are due
	compares []compareWith
	answers  []answerTo
}

// compareWith is a datagram of hashes that is to be sent.
type compareWith struct {
	to     uint16
	from   int
	answer bool
}

// answerTo is a part of the table that is to be sent.
type answerTo struct {
	to     uint16
	bucket int
}

func newTable(o Options) table {
	t := table{words: make([]inForce, o.Members)}
	for i := range t.words {
		t.words[i].seen = -1
	}
	t.words[o.Self] = inForce{run: o.Incarnation, Revision: o.Revision, known: true, seen: -1}
	if o.Watch != nil {
		t.due = time.Duration(o.Watch.Int64N(int64(compareEvery))) // they do not all start at once
		t.tell(uint16(o.Self))
	}
	return t
}

// tell has a member's word pushed as news.
func (t *table) tell(m uint16) {
	if t.words[m].tell > 0 {
		t.news = slices.DeleteFunc(t.news, func(other uint16) bool { return other == m })
	}
	t.news = append(t.news, m)
	t.words[m].tell = bits.Len(uint(len(t.words))) + rumourExtra
}

// Revise brings the revision that this scheduler has in force from now on. Flush is to be called after it.
func (n *Node) Revise(now time.Duration, r Revision) {
	me := &n.table.words[n.opt.Self]
	if me.Revision == r {
		return
	}
	me.Revision = r
	me.serial++
	if n.watch.rand != nil {
		n.table.tell(uint16(n.opt.Self))
		n.table.pushes = 1
		n.table.hasten(now, hurryFor)
	}
}

// hasten has some comparisons follow soon.
func (t *table) hasten(now time.Duration, times int) {
	t.hurry, t.due = max(t.hurry, times), min(t.due, now+compareSoon)
}

// there reports whether a member counts as there.
func (n *Node) there(m int) bool {
	s := n.watch.views[m].state
	return m == n.opt.Self || s == Alive || s == Doubted
}

// inForce returns a member's word, or nil if there is none that counts.
func (n *Node) inForce(m int) *inForce {
	w := &n.table.words[m]
	if n.there(m) && n.worded(m) {
		return w
	}
	return nil
}

// worded reports whether a member's word is of the run that the watch knows, be that there or gone.
func (n *Node) worded(m int) bool {
	w, v := &n.table.words[m], &n.watch.views[m]
	return w.known && (m == n.opt.Self || v.state != Unknown && w.run == v.run)
}

// A datagram of words has one revision and its digest, in four bytes each, and the members that have it in force: number, run
// and serial number, in two bytes each. One of hashes has the number of the first bucket, with the highest bit set in an answer,
// and a hash of four bytes for each bucket from there on.
const (
	wordsHead  = 8
	wordSize   = 6
	hashesHead = 2
	hashSize   = 4
	hashRoom   = (MaxDatagram - headSize - checkSize - hashesHead) / hashSize
	answerBit  = 1 << 15
)

// revisions takes in a datagram of the table.
func (n *Node) revisions(now time.Duration, from int, h head, body []byte) {
	switch {
	case n.watch.rand == nil:
	case h.kind == kindWords:
		n.words(now, body)
	default:
		n.hashes(now, from, body)
	}
}

// words takes in what a member tells of revisions.
func (n *Node) words(now time.Duration, body []byte) {
	r := Revision{binary.BigEndian.Uint32(body), binary.BigEndian.Uint32(body[4:])}
	for body = body[wordsHead:]; len(body) > 0; body = body[wordSize:] {
		m := int(binary.BigEndian.Uint16(body))
		run, serial := binary.BigEndian.Uint16(body[2:]), binary.BigEndian.Uint16(body[4:])
		if m >= len(n.table.words) || m == n.opt.Self {
			continue
		}
		w, of := &n.table.words[m], n.watch.views[m].run
		switch {
		case !w.known || w.run != run && (run == of || w.run != of && newer(run, w.run)):
		case w.run == run && newer(serial, w.serial):
		case w.run == of && newer(run, of): // the watch will hear of that run
		default:
			continue
		}
		w.known, w.run, w.serial, w.Revision = true, run, serial, r
		n.table.tell(uint16(m))
		n.table.hasten(now, hurryFor)
	}
}

// hashes takes in a member's hashes of its table and has it sent what differs.
func (n *Node) hashes(now time.Duration, from int, body []byte) {
	first := binary.BigEndian.Uint16(body)
	bucket, answers := int(first&^answerBit), 0
	differ := 0
	for body = body[hashesHead:]; len(body) > 0 && bucket < n.buckets(); body = body[hashSize:] {
		if binary.BigEndian.Uint32(body) != n.hash(bucket) {
			if differ++; answers < answerMost {
				n.table.answers = append(n.table.answers, answerTo{uint16(from), bucket})
				answers++
			} else if at := n.watch.rand.IntN(differ); at < answerMost { // each is as likely to be answered
				n.table.answers[len(n.table.answers)-1-at].bucket = bucket
			}
		}
		bucket++
	}
	if differ > 0 {
		n.table.hasten(now, 1)
		if first&answerBit == 0 {
			n.table.compares = append(n.table.compares, compareWith{uint16(from), int(first), true})
		}
	}
}

func (n *Node) buckets() int { return (len(n.table.words) + bucketSize - 1) / bucketSize }

// bucket calls f for each word of a part of the table.
func (n *Node) bucket(b int, f func(m int, w *inForce)) {
	for m := b * bucketSize; m < min((b+1)*bucketSize, len(n.table.words)); m++ {
		if n.worded(m) {
			f(m, &n.table.words[m])
		}
	}
}

// hash is the sum over what is known of a bucket's members, so that their order does not count.
func (n *Node) hash(b int) uint32 {
	sum := uint64(0)
	n.bucket(b, func(m int, w *inForce) {
		sum += mix(mix(uint64(m)<<32|uint64(w.run)<<16|uint64(w.serial)) ^ uint64(w.Number)<<32 ^ uint64(w.Digest))
	})
	return uint32(sum >> 32)
}

// compare is the table's part of Tick.
func (n *Node) compare(now time.Duration) {
	t := &n.table
	if n.watch.rand == nil {
		return
	}
	if len(t.news) > 0 {
		t.pushes = rumoursATick
	}
	if now >= t.due {
		t.due = now + compareEvery
		if t.hurry > 0 {
			t.hurry--
			t.due = now + compareSoon
		}
		if to, ok := n.anyAlive(); ok {
			t.compares = append(t.compares, compareWith{to: to, from: t.from})
		}
		if t.from += hashRoom; t.from >= n.buckets() {
			t.from = 0
		}
	}
	n.judge(now)
}

// anyAlive draws one of the others that are there.
func (n *Node) anyAlive() (uint16, bool) {
	w := &n.watch
	for range w.order {
		if m := w.order[w.rand.IntN(len(w.order))]; w.views[m].state == Alive {
			return m, true
		}
	}
	return 0, false
}

// publish sends what is to be told of revisions.
func (n *Node) publish(send func(int, []byte)) {
	t := &n.table
	for _, a := range t.answers {
		var words []uint16
		n.bucket(a.bucket, func(m int, _ *inForce) { words = append(words, uint16(m)) })
		for len(words) > 0 {
			words = n.sendWords(a.to, words, nil, send)
		}
	}
	t.answers = t.answers[:0]
	for _, c := range t.compares {
		first := uint16(c.from)
		if c.answer {
			first |= answerBit
		}
		n.start(kindHashes, c.to)
		n.buf = binary.BigEndian.AppendUint16(n.buf, first)
		for b := c.from; b < min(n.buckets(), c.from+hashRoom); b++ {
			n.buf = binary.BigEndian.AppendUint32(n.buf, n.hash(b))
		}
		n.close(c.to, send)
	}
	t.compares = t.compares[:0]
	for ; t.pushes > 0 && len(t.news) > 0; t.pushes-- {
		to, ok := n.anyAlive()
		if !ok {
			break
		}
		words := slices.Clone(t.news)
		slices.Reverse(words)
		n.sendWords(to, words, func(m uint16) { t.words[m].tell-- }, send)
		t.news = slices.DeleteFunc(t.news, func(m uint16) bool { return t.words[m].tell <= 0 })
	}
	t.pushes = 0
}

// sendWords sends one datagram: the first member's word and those of others that have the same in force. It returns the rest.
func (n *Node) sendWords(to uint16, of []uint16, sent func(m uint16), send func(int, []byte)) (rest []uint16) {
	var r Revision
	some := false
	for _, m := range of {
		w := &n.table.words[m]
		switch {
		case !n.worded(int(m)):
			w.tell = 0 // the watch knows nothing of that run yet, or a later one: comparing will bring it
			continue
		case !some:
			some, r = true, w.Revision
			n.start(kindWords, to)
			n.buf = binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(n.buf, r.Number), r.Digest)
		case w.Revision != r || len(n.buf)+wordSize+checkSize > MaxDatagram:
			rest = append(rest, m)
			continue
		}
		for _, v := range [3]uint16{m, w.run, w.serial} {
			n.buf = binary.BigEndian.AppendUint16(n.buf, v)
		}
		if sent != nil {
			sent(m)
		}
	}
	if some {
		n.close(to, send)
	}
	return rest
}

// start begins a datagram to a member.
func (n *Node) start(k kind, to uint16) {
	m := &n.members[to]
	m.sent++
	n.buf = n.codec.begin(n.buf, head{k, n.opt.Incarnation, m.sent})
}

// newest is the highest revision in force at a member that is there.
func (n *Node) newest() (number uint32) {
	for m := range n.table.words {
		if w := n.inForce(m); w != nil {
			number = max(number, w.Number)
		}
	}
	return number
}

// judge finds out who is behind.
func (n *Node) judge(now time.Duration) {
	t, newest := &n.table, n.newest()
	t.climb(now, newest)
	for m := range t.words {
		s := &t.words[m]
		w := n.inForce(m)
		if w == nil || w.Number >= newest {
			if s.lags && w != nil {
				t.lags = append(t.lags, Lag{Number: m, Revision: w.Number, Newest: newest, Over: true})
			}
			s.seen, s.lags = -1, false
			continue
		}
		if s.seen < 0 {
			s.seen = now
		}
		if behind := t.behind(now, w.Number); !s.lags && behind > LagAfter && now-s.seen >= lagSeen {
			s.lags = true
			t.lags = append(t.lags, Lag{Number: m, Revision: w.Number, Newest: newest, For: behind})
		}
	}
}

// climb keeps the steps true: by number and by time, the last is the newest revision.
func (t *table) climb(now time.Duration, newest uint32) {
	since := now
	for len(t.steps) > 0 && t.steps[len(t.steps)-1].number > newest { // taken back, or gone with its member
		since = t.steps[len(t.steps)-1].since
		t.steps = t.steps[:len(t.steps)-1]
	}
	if len(t.steps) == 0 || t.steps[len(t.steps)-1].number < newest {
		t.steps = append(t.steps, step{newest, since})
	}
	if len(t.steps) > mostSteps { // the first stays, for who is behind for long
		t.steps = slices.Delete(t.steps, 1, 2)
	}
}

// behind returns for how long a later revision than this has been in force somewhere.
func (t *table) behind(now time.Duration, number uint32) time.Duration {
	for _, s := range t.steps {
		if s.number > number {
			return now - s.since
		}
	}
	return 0
}

// differing returns, of those that have the newest revision in force, whose digest is not that of most; where two are of as many,
// not that of the lowest number among them.
func (n *Node) differing(newest uint32) (differ []bool) {
	counts, first := map[uint32]int{}, map[uint32]int{}
	best, found := uint32(0), false
	for m := range n.table.words {
		if w := n.inForce(m); w != nil && w.Number == newest {
			if counts[w.Digest]++; counts[w.Digest] == 1 {
				first[w.Digest] = m
			}
		}
	}
	for d, c := range counts {
		if !found || c > counts[best] || c == counts[best] && first[d] < first[best] {
			best, found = d, true
		}
	}
	differ = make([]bool, len(n.table.words))
	for m := range differ {
		w := n.inForce(m)
		differ[m] = w != nil && w.Number == newest && w.Digest != best
	}
	return differ
}

// Lags calls f for each member that since the last call has been found behind for longer than LagAfter, or is no longer behind
// after that was said.
func (n *Node) Lags(f func(Lag)) {
	for _, l := range n.table.lags {
		f(l)
	}
	n.table.lags = n.table.lags[:0]
}
