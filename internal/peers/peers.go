// Package peers decides what schedulers of one site tell each other of the jobs that they have out at boxes:
// who hears of which box, what goes into the next datagram, and what to believe of what comes. It does no
// input or output and takes the time as an argument. It is for a driver that owns a socket (internal/peerlink)
// and for experiments in virtual time.
//
// Each box has an audience: some schedulers for which it is one of the few boxes that they look at first, their
// part. Whoever has jobs out at a box tells its audience, in absolute values and as soon as they change, and the
// audience counts them like its own. Nothing is acknowledged: what is lost is mended by the next telling,
// repeated each second while there is something to tell, and what was told is forgotten after two seconds.
//
// Where they also watch who is there (members.go), they tell each other which revision of the configuration each has in force
// (revisions.go).
package peers

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// Repeat is how often something out is told again though it has not changed, so that losses heal.
	Repeat = time.Second
	// Forget is how long what was told counts.
	Forget = 2 * time.Second
	// TickEvery is how often Tick wants to be called.
	TickEvery = 50 * time.Millisecond
	// silentFor is after how long an incarnation that says nothing any more may give way to an earlier one:
	// a machine's clock can be set back.
	silentFor = 3 * time.Second
	// window is how late a datagram may come, by those that its sender has sent since.
	window = time.Second
	// waitGrace is for how long an attempt has waited at least when that is told.
	waitGrace = 40 * time.Millisecond
	lossGain  = 0.25
	// firstBack is by how many numbers one may come behind the first that is heard.
	firstBack = 16
)

// Options are the choices for a Node.
type Options struct {
	Self, Members int    // its number and how many there are
	Site          uint64 // a fingerprint of the site and its settings: only who has the same is believed
	Incarnation   uint16 // of this run: later than that of the run before, by at most half of what there are
	Hearers       int    // least size of an audience
	Least         int    // least boxes in a part

	// Watch is for what the watch on who is there draws at random; nil: nobody is watched.
	Watch *rand.Rand
	// Revision is the configuration that is in force at the start. It is told where there is a watch.
	Revision Revision
}

// Node is what one scheduler tells and hears. It is not safe for concurrent use.
type Node struct {
	opt     Options
	codec   codec
	members []member
	watch   watch
	table   table
	boxes   map[string]*box
	order   []*box // the same, in the order in which they were named: what is told must not hang on a map's
	keys    map[uint32]*box
	part    []string
	sharers int
	heard   bool      // somebody has told something within Forget
	parted  bool      // the part in force has changed
	dirty   []*box    // to be told
	news    []*box    // what others have out there has changed
	busy    []*box    // with words of others
	pending []pending // by member
	sending []uint16  // those with something pending
	buf     []byte
	Counts  Counts
}

// Counts are what a Node has seen.
type Counts struct {
	Sent      uint64 `json:"sent"`
	SentBytes uint64 `json:"sent_bytes"`
	Received  uint64 `json:"received"`
	Refused   uint64 `json:"refused"` // of no use: garbage, another version or site, late, of strangers
	Unknown   uint64 `json:"unknown"` // entries of boxes that no list has named here
	Expired   uint64 `json:"expired"` // words forgotten though they said that something was out
	Heard     int    `json:"heard"`   // members that have told something within Forget
	Boxes     int    `json:"boxes"`
	Part      int    `json:"part"`
	Shares    int    `json:"shares"` // members that share a box of the part at most
}

type member struct {
	incarnation uint16
	known       bool
	heardAt     time.Duration
	high, floor uint16 // the newest sequence number, and one that was the newest a window ago
	before      uint16 // the newest when the window began
	turned      time.Duration
	sent        uint16 // the last number sent to it
	got         uint16 // datagrams since the window began
	loss        float64
}

type pending struct {
	entries [heldRoom * heldSize]byte
	n       int
}

type box struct {
	id       string
	hash     uint64
	key      uint32
	audience []uint16
	listed   bool
	out      Out
	said     Out           // the last that was told
	told     time.Duration // when
	raised   time.Duration // when more began to wait, of which nobody knows whether it goes on
	dirty    bool
	news     bool
	busy     bool
	words    []word
}

// word is the last that a member has told of a box.
type word struct {
	member uint16
	seq    uint16
	out    Out
	at     time.Duration
}

// New returns a Node.
func New(o Options) *Node {
	return &Node{opt: o, codec: newCodec(o.Site), members: make([]member, o.Members), watch: newWatch(o), table: newTable(o), boxes: map[string]*box{},
		keys: map[uint32]*box{}, pending: make([]pending, o.Members), buf: make([]byte, 0, MaxDatagram)}
}

func hashOf(id string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(id) {
		h = (h ^ uint64(id[i])) * 1099511628211
	}
	return mix(h)
}

// Boxes brings the whole list of boxes. Boxes that it lacks keep what was told of them for a while.
func (n *Node) Boxes(ids []string) {
	for _, b := range n.order {
		b.listed = false
	}
	hashes := make([]uint64, len(ids))
	for i, id := range ids {
		b := n.box(id)
		b.listed = true
		hashes[i] = b.hash
	}
	n.order = slices.DeleteFunc(n.order, func(b *box) bool {
		old := !b.listed && b.out == (Out{}) && b.said == (Out{}) && len(b.words) == 0 && !b.dirty && !b.news
		if old {
			delete(n.boxes, b.id)
			if n.keys[b.key] == b {
				delete(n.keys, b.key)
			}
		}
		return old
	})
	n.part, n.sharers = n.part[:0], 0
	for i, a := range audiences(n.opt.Members, hashes, n.opt.Hearers, n.opt.Least) {
		b := n.boxes[ids[i]]
		b.audience = a
		if slices.Contains(a, uint16(n.opt.Self)) {
			n.part = append(n.part, b.id)
			n.sharers = max(n.sharers, len(a))
		}
	}
	n.Counts.Boxes, n.Counts.Part, n.Counts.Shares = len(ids), len(n.part), n.sharers
	n.parted = n.parted || n.heard
}

// Parted calls f with the part in force if that may have changed since the last call. While nobody is heard it is none:
// all boxes are alike then, as without others. The slice is valid until the next call of Boxes.
func (n *Node) Parted(f func(boxes []string, sharers int)) {
	if !n.parted {
		return
	}
	n.parted = false
	if n.heard {
		f(n.Part())
	} else {
		f(nil, 0)
	}
}

// Part returns the boxes of this scheduler's part and how many schedulers share one of them at most. Where
// the part is the whole list it is nil. It is valid until the next call of Boxes.
func (n *Node) Part() (boxes []string, sharers int) {
	if len(n.part) == n.Counts.Boxes {
		return nil, n.opt.Members
	}
	return n.part, n.sharers
}

func (n *Node) box(id string) *box {
	if b := n.boxes[id]; b != nil {
		return b
	}
	h := hashOf(id)
	b := &box{id: id, hash: h, key: uint32(h) & 0xffffff}
	n.boxes[id], n.order = b, append(n.order, b)
	if n.keys[b.key] == nil { // two boxes of one key: only the first is told of
		n.keys[b.key] = b
	}
	return b
}

// Out brings what this scheduler has out at a box. The next Flush tells it; but where the box is not full most attempts
// start at once, and that they wait is told only once they have done so for a while.
func (n *Node) Out(now time.Duration, id string, o Out, full bool) {
	b := n.boxes[id]
	if b == nil || n.keys[b.key] != b {
		return
	}
	o = o.bound()
	switch {
	case full:
		b.raised = now - waitGrace
	case o.Waiting > b.out.Waiting:
		b.raised = now
	}
	if b.out = o; o.Slots != b.said.Slots || o.Waiting < b.said.Waiting || full && o != b.said {
		n.mark(b)
	}
}

func (n *Node) mark(b *box) {
	if !b.dirty {
		b.dirty = true
		n.dirty = append(n.dirty, b)
	}
}

// Flush sends what is to be told. The bytes are valid during the call of send only.
func (n *Node) Flush(now time.Duration, send func(to int, datagram []byte)) {
	for i, b := range n.dirty {
		n.dirty[i], b.dirty = nil, false
		say := b.out
		if now-b.raised < waitGrace {
			say.Waiting = min(say.Waiting, b.said.Waiting)
		}
		if say == b.said && now-b.told < Repeat {
			continue // it is as it was before anybody was told
		}
		b.said, b.told = say, now
		for _, m := range b.audience {
			n.tell(m, b, send)
		}
		for i := range b.words { // others that use it though it is not in their part
			if m := b.words[i].member; !slices.Contains(b.audience, m) {
				n.tell(m, b, send)
			}
		}
	}
	n.dirty = n.dirty[:0]
	for _, m := range n.sending {
		n.send(m, send)
	}
	n.sending = n.sending[:0]
	n.post(send)
	n.publish(send)
}

func (n *Node) tell(m uint16, b *box, send func(int, []byte)) {
	if int(m) == n.opt.Self {
		return
	}
	p := &n.pending[m]
	if p.n == heldRoom {
		n.send(m, send)
	}
	if p.n == 0 && !slices.Contains(n.sending, m) {
		n.sending = append(n.sending, m)
	}
	appendHeld(p.entries[:p.n*heldSize], b.key, b.said)
	p.n++
}

func (n *Node) send(m uint16, send func(int, []byte)) {
	p := &n.pending[m]
	if p.n == 0 {
		return
	}
	to := &n.members[m]
	to.sent++
	n.buf = n.codec.begin(n.buf, head{kindHeld, n.opt.Incarnation, to.sent})
	n.buf = append(n.buf, p.entries[:p.n*heldSize]...)
	p.n = 0
	n.close(m, send)
}

// Tick forgets what is old and marks what is to be told again; Flush is to be called after it. It wants to
// be called every TickEvery.
func (n *Node) Tick(now time.Duration) {
	for _, b := range n.order {
		if b.out != b.said || b.out != (Out{}) && now-b.told >= Repeat {
			n.mark(b)
		}
	}
	n.busy = slices.DeleteFunc(n.busy, func(b *box) bool {
		b.words = slices.DeleteFunc(b.words, func(w word) bool {
			old := now-w.at >= Forget
			if old && w.out != (Out{}) {
				n.Counts.Expired++
				n.changed(b)
			}
			return old
		})
		b.busy = len(b.words) > 0
		return !b.busy
	})
	n.Counts.Heard = 0
	for i := range n.members {
		if m := &n.members[i]; m.known && now-m.heardAt < Forget {
			n.Counts.Heard++
		}
	}
	if heard := n.Counts.Heard > 0; heard != n.heard {
		n.heard, n.parted = heard, true
	}
	n.look(now)
	n.compare(now)
}

func (n *Node) changed(b *box) {
	if !b.news {
		b.news = true
		n.news = append(n.news, b)
	}
}

// Receive takes in a datagram that came from a member. An error says why it was refused; it has changed
// nothing then.
func (n *Node) Receive(now time.Duration, from int, datagram []byte) error {
	err := n.receive(now, from, datagram)
	if n.Counts.Received++; err != nil {
		n.Counts.Refused++
	}
	return err
}

func (n *Node) receive(now time.Duration, from int, datagram []byte) error {
	if from < 0 || from >= len(n.members) || from == n.opt.Self {
		return ErrSender
	}
	h, body, err := n.codec.open(datagram)
	if err != nil {
		return err
	}
	if !n.members[from].admits(now, h) {
		return ErrOld
	}
	if m := &n.members[from]; !m.known || m.incarnation != h.incarnation {
		if m.known {
			n.forget(from)
		}
		*m = member{incarnation: h.incarnation, known: true, high: h.seq, before: h.seq - firstBack,
			floor: h.seq - firstBack, turned: now, sent: m.sent, loss: m.loss, got: firstBack - 1}
	}
	n.members[from].heard(now, h.seq)
	switch h.kind {
	case kindPing, kindAck, kindAsk, kindTold:
		n.control(now, from, h, body)
		return nil
	}
	n.present(now, from, h.incarnation, 0, false)
	if h.kind == kindWords || h.kind == kindHashes {
		n.revisions(now, from, h, body)
		return nil
	}
	for ; len(body) > 0; body = body[heldSize:] {
		key, o := heldAt(body)
		n.word(now, uint16(from), h.seq, key, o)
	}
	return nil
}

// admits reports whether a datagram is of the run that is known or a later one, and not too late.
func (m *member) admits(now time.Duration, h head) bool {
	switch {
	case !m.known:
		return true
	case h.incarnation == m.incarnation:
		return newer(h.seq, m.floor)
	}
	return newer(h.incarnation, m.incarnation) || now-m.heardAt >= silentFor
}

func (m *member) heard(now time.Duration, seq uint16) {
	if now-m.turned >= window {
		if sent := m.high - m.before; sent > 0 && now-m.turned < 4*window {
			m.loss += lossGain * (max(0, 1-float64(m.got)/float64(sent)) - m.loss)
		}
		m.floor, m.before, m.turned, m.got = m.before, m.high, now, 0
	}
	m.got++
	if newer(seq, m.high) {
		m.high = seq
	}
	m.heardAt = now
}

// forget drops what a member has told: it has started anew.
func (n *Node) forget(from int) {
	for _, b := range n.busy {
		b.words = slices.DeleteFunc(b.words, func(w word) bool {
			if int(w.member) == from && w.out != (Out{}) {
				n.changed(b)
			}
			return int(w.member) == from
		})
	}
}

func (n *Node) word(now time.Duration, from, seq uint16, key uint32, o Out) {
	b := n.keys[key]
	if b == nil {
		n.Counts.Unknown++
		return
	}
	i := slices.IndexFunc(b.words, func(w word) bool { return w.member == from })
	if i < 0 {
		i = len(b.words)
		b.words = append(b.words, word{member: from, seq: seq - 1})
		if !b.busy {
			b.busy = true
			n.busy = append(n.busy, b)
		}
	}
	w := &b.words[i]
	if !newer(seq, w.seq) {
		return // a repeat, or overtaken by a later word
	}
	if o != w.out {
		n.changed(b)
	}
	*w = word{from, seq, o, now}
}

// News calls f with what all others together have out at each box where that has changed since the last call.
func (n *Node) News(f func(id string, slots, waiting int)) {
	for i, b := range n.news {
		n.news[i], b.news = nil, false
		slots, waiting := 0, 0
		for _, w := range b.words {
			slots += w.out.Slots
			waiting += w.out.Waiting
		}
		f(b.id, slots, waiting)
	}
	n.news = n.news[:0]
}
