// Package pool picks the member of a backend for a request: by the members' state, weight, requests in
// flight and backups, by the cookie or text that ties the request to one, and by a load-balancing
// algorithm. The decision module decides whether and when the request is sent. The package does no input
// or output and takes the time as an argument. A Pool is not safe for concurrent use.
package pool

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Balance is a load-balancing algorithm.
type Balance string

// The algorithms, by HAProxy's names.
const (
	RoundRobin Balance = "roundrobin" // by weight, evenly spread
	LeastConn  Balance = "leastconn"  // the fewest requests in flight in relation to the weight
	First      Balance = "first"      // the first that has capacity
	Random     Balance = "random"     // drawn by weight
	Hash       Balance = "hash"       // rendezvous hashing of a text of the request: if a member leaves, only its requests move
)

// Member is a member of a backend.
type Member struct {
	Name     string
	Weight   int // 0 to 256; with 0 only requests with its persistence cookie
	Backup   bool
	Disabled bool
	MaxConn  int // requests at a time; 0: no bound
	Cookie   string
}

// Options configure a Pool.
type Options struct {
	Members      []Member
	Balance      Balance       // "": RoundRobin
	AllBackups   bool          // all backups at once, not the first that serves
	MaxQueue     int           // requests that may wait; 0: 1024
	QueueTimeout time.Duration // how long; 0: 5 s
	SlowStart    time.Duration // in which a member that becomes healthy comes up to its weight
}

// State says which requests a member may be sent.
type State uint8

// The states.
const (
	Up          State = iota
	Down              // its checks fail
	Draining          // only requests with its persistence cookie
	Maintenance       // no requests, whatever its checks say
)

// String returns the state in lower case.
func (s State) String() string { return [...]string{"up", "down", "draining", "maintenance"}[s] }

// maxWeight is HAProxy's.
const maxWeight = 256

// minSlowStart is the part of its weight with which a member begins its slow start.
const minSlowStart = 0.1

const (
	defaultMaxQueue     = 1024
	defaultQueueTimeout = 5 * time.Second
)

// member is a Member and what changes of it.
type member struct {
	Member
	state         State
	since         time.Duration // when it came up; 0: long ago
	currentWeight float64       // current weight of smooth weighted round robin
	// inFlight counts the requests that the member has now: Acquire adds, Release subtracts.
	inFlight int
}

// Pool is the members of a backend.
type Pool struct {
	opt     Options
	members []member
	queue   []queuedRequest // the longest waiting first
}

// queuedRequest is a request that waits for a member's capacity.
type queuedRequest struct {
	token any // the caller's
	hint  Hint
	// deadline is when it has waited too long, on the clock of the caller's now.
	deadline time.Duration
}

// Hint is the part of a request that decides which members it prefers.
type Hint struct {
	Cookie string // of persistence; "": none
	Key    string // what is hashed, with Balance Hash
	Rand   uint64 // drawn for this request, with Balance Random
	Tried  []int  // members that were tried: others are preferred
}

// Check returns an error for invalid options.
func (o *Options) Check() error {
	if len(o.Members) == 0 {
		return errors.New("no member")
	}
	if !slices.Contains([]Balance{"", RoundRobin, LeastConn, First, Random, Hash}, o.Balance) {
		return fmt.Errorf("balance %q is unknown", o.Balance)
	}
	if o.MaxQueue < 0 || o.QueueTimeout < 0 || o.SlowStart < 0 {
		return errors.New("queue and times must not be negative")
	}
	seen, cookies := map[string]bool{}, map[string]bool{}
	for _, m := range o.Members {
		switch {
		case m.Name == "":
			return errors.New("a member without a name")
		case seen[m.Name]:
			return fmt.Errorf("member %q is there twice", m.Name)
		case m.Weight < 0 || m.Weight > maxWeight:
			return fmt.Errorf("member %q: weight %d is not between 0 and %d", m.Name, m.Weight, maxWeight)
		case m.MaxConn < 0:
			return fmt.Errorf("member %q: maxconn must not be negative", m.Name)
		case m.Cookie != "" && cookies[m.Cookie]:
			return fmt.Errorf("member %q: another has the cookie %q", m.Name, m.Cookie)
		}
		seen[m.Name], cookies[m.Cookie] = true, true
	}
	return nil
}

// New returns a Pool whose members are up, but for those that are disabled.
func New(o Options) (*Pool, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	if o.Balance == "" {
		o.Balance = RoundRobin
	}
	if o.MaxQueue == 0 {
		o.MaxQueue = defaultMaxQueue
	}
	if o.QueueTimeout == 0 {
		o.QueueTimeout = defaultQueueTimeout
	}
	p := &Pool{opt: o}
	for _, m := range o.Members {
		s := Up
		if m.Disabled {
			s = Maintenance
		}
		p.members = append(p.members, member{Member: m, state: s})
	}
	return p, nil
}

// InheritState copies from an older Pool of the same backend, for members that stay, the state
// (but for maintenance by the file), the requests in flight and the round robin's state.
func (p *Pool) InheritState(old *Pool) {
	for i := range p.members {
		m := &p.members[i]
		j := slices.IndexFunc(old.members, func(o member) bool { return o.Name == m.Name })
		if j < 0 {
			continue
		}
		o := &old.members[j]
		m.inFlight, m.currentWeight, m.since = o.inFlight, o.currentWeight, o.since
		if !m.Disabled && !o.Disabled {
			m.state = o.state
		}
	}
}

// Name returns a member's name.
func (p *Pool) Name(i int) string { return p.members[i].Name }

// Index returns the member of a name, or -1.
func (p *Pool) Index(name string) int {
	return slices.IndexFunc(p.members, func(m member) bool { return m.Name == name })
}

// State returns a member's state and the number of its requests in flight.
func (p *Pool) State(i int) (State, int) { return p.members[i].state, p.members[i].inFlight }

// SetState sets a member's state. One that comes up begins its slow start.
func (p *Pool) SetState(i int, s State, now time.Duration) {
	m := &p.members[i]
	if m.state != Up && s == Up {
		m.since, m.currentWeight = now, 0
	}
	m.state = s
}

// Serving returns how many members may be sent new requests.
func (p *Pool) Serving() int { return len(p.eligible()) }

// eligible returns the members that may be sent new requests, whether or not they have capacity: all that
// are up, or, if none is, the first backup that is up, or all backups.
func (p *Pool) eligible() []int {
	var main, backup []int
	for i := range p.members {
		m := &p.members[i]
		switch {
		case m.state != Up || m.Weight == 0:
		case !m.Backup:
			main = append(main, i)
		default:
			backup = append(backup, i)
		}
	}
	switch {
	case len(main) > 0:
		return main
	case len(backup) > 0 && !p.opt.AllBackups:
		return backup[:1]
	}
	return backup
}

// hasCapacity reports whether the member may have one more request in flight.
func (m *member) hasCapacity() bool { return m.MaxConn == 0 || m.inFlight < m.MaxConn }

// honours reports whether the member takes requests with that persistence cookie.
func (m *member) honours(cookie string) bool {
	return m.Cookie == cookie && (m.state == Up || m.state == Draining)
}

// weight is the member's weight as it counts now.
func (p *Pool) weight(m *member, now time.Duration) float64 {
	w := float64(m.Weight)
	if up := now - m.since; m.since > 0 && up < p.opt.SlowStart {
		w *= max(minSlowStart, float64(up)/float64(p.opt.SlowStart))
	}
	return w
}

// Verdict is the result of Pick.
type Verdict uint8

// The verdicts.
const (
	Assigned    Verdict = iota // to that member
	Busy                       // none has capacity; it may be queued
	Unavailable                // no member serves
)

// Pick picks a member for a request, by the balancing algorithm, whose state it advances. Acquire takes the
// capacity.
func (p *Pool) Pick(now time.Duration, h Hint) (int, Verdict) {
	if i := p.persistent(h); i >= 0 {
		return p.ifFree(i)
	}
	all := p.eligible()
	if len(all) == 0 {
		return -1, Unavailable
	}
	if rest := slices.DeleteFunc(slices.Clone(all), func(i int) bool { return slices.Contains(h.Tried, i) }); len(rest) > 0 {
		all = rest
	}
	if p.opt.Balance == Hash && h.Key != "" {
		return p.ifFree(p.rendezvous(all, h.Key, now))
	}
	free := slices.DeleteFunc(slices.Clone(all), func(i int) bool { return !p.members[i].hasCapacity() })
	if len(free) == 0 {
		return -1, Busy
	}
	switch p.opt.Balance {
	case First:
		return free[0], Assigned
	case Random:
		return p.weightedRandom(free, h.Rand, now), Assigned
	case LeastConn:
		free = p.leastLoaded(free, now)
	}
	return p.roundRobin(free, now), Assigned
}

// persistent returns the member that the request's persistence cookie names, if it takes
// such requests and was not tried before, or -1.
func (p *Pool) persistent(h Hint) int {
	if h.Cookie == "" {
		return -1
	}
	for i := range p.members {
		if p.members[i].honours(h.Cookie) && !slices.Contains(h.Tried, i) {
			return i
		}
	}
	return -1
}

// ifFree is the verdict on a request that only one member may have.
func (p *Pool) ifFree(i int) (int, Verdict) {
	if !p.members[i].hasCapacity() {
		return -1, Busy
	}
	return i, Assigned
}

// leastLoaded returns the members of a list that have the fewest requests for their weight.
func (p *Pool) leastLoaded(among []int, now time.Duration) (fewest []int) {
	least := math.Inf(1)
	for _, i := range among {
		m := &p.members[i]
		load := float64(m.inFlight) / p.weight(m, now)
		if load < least {
			least, fewest = load, fewest[:0]
		}
		if load == least {
			fewest = append(fewest, i)
		}
	}
	return fewest
}

// roundRobin is smooth weighted round robin: each member gains its weight, and the one that has
// the most gives up the sum. In any run each has its share, evenly spread.
func (p *Pool) roundRobin(among []int, now time.Duration) int {
	best, sum := -1, 0.0
	for _, i := range among {
		m := &p.members[i]
		w := p.weight(m, now)
		m.currentWeight += w
		sum += w
		if best < 0 || m.currentWeight > p.members[best].currentWeight {
			best = i
		}
	}
	p.members[best].currentWeight -= sum
	return best
}

// weightedRandom picks a member with a probability in proportion to its weight; r is the
// request's random number.
func (p *Pool) weightedRandom(among []int, r uint64, now time.Duration) int {
	sum := 0.0
	for _, i := range among {
		sum += p.weight(&p.members[i], now)
	}
	at := float64(r>>11) / (1 << 53) * sum
	for _, i := range among {
		if at -= p.weight(&p.members[i], now); at < 0 {
			return i
		}
	}
	return among[len(among)-1]
}

// rendezvous is weighted rendezvous hashing (Thaler and Ravishankar, 1998, with the weights of
// Schindelhauer and Schomaker, 2005): when a member leaves, only what it had moves.
func (p *Pool) rendezvous(among []int, key string, now time.Duration) int {
	best, most := among[0], math.Inf(-1)
	for _, i := range among {
		m := &p.members[i]
		var d xxhash.Digest
		d.Reset()
		_, _ = d.WriteString(key)
		_, _ = d.WriteString("\x00" + m.Name)
		u := (float64(d.Sum64()>>11) + 0.5) / (1 << 53)
		if score := -p.weight(m, now) / math.Log(u); score > most {
			best, most = i, score
		}
	}
	return best
}

// Acquire notes that a member has one more request in flight.
func (p *Pool) Acquire(i int) { p.members[i].inFlight++ }

// Release notes that a member has one request in flight less.
func (p *Pool) Release(i int) {
	if p.members[i].inFlight > 0 {
		p.members[i].inFlight--
	}
}

// Enqueue queues a request until a member has capacity or Options.QueueTimeout is over. It reports
// false if the queue is full. Token stands for the request in what NextQueued and Expire return.
func (p *Pool) Enqueue(now time.Duration, token any, h Hint) bool {
	if len(p.queue) >= p.opt.MaxQueue {
		return false
	}
	p.queue = append(p.queue, queuedRequest{token, h, now + p.opt.QueueTimeout})
	return true
}

// QueueLen returns how many requests wait.
func (p *Pool) QueueLen() int { return len(p.queue) }

// NextQueued returns the request that has waited the longest of those that can go now, and the
// member that it goes to. It picks and acquires that member.
func (p *Pool) NextQueued(now time.Duration) (token any, i int, ok bool) {
	for k, w := range p.queue {
		if i, v := p.Pick(now, w.hint); v == Assigned {
			p.queue = slices.Delete(p.queue, k, k+1)
			p.Acquire(i)
			return w.token, i, true
		} else if v == Unavailable {
			break
		} else if w.hint.Cookie == "" && p.opt.Balance != Hash {
			break // nor can a later one: without cookie and hash all compete for the same members
		}
	}
	return nil, -1, false
}

// Dequeue takes a request out of the queue, and reports whether it was there.
func (p *Pool) Dequeue(token any) bool {
	k := slices.IndexFunc(p.queue, func(w queuedRequest) bool { return w.token == token })
	if k >= 0 {
		p.queue = slices.Delete(p.queue, k, k+1)
	}
	return k >= 0
}

// Expire dequeues and returns the requests that have waited too long, or for which no member is left.
func (p *Pool) Expire(now time.Duration) (tokens []any) {
	none := len(p.queue) > 0 && len(p.eligible()) == 0
	p.queue = slices.DeleteFunc(p.queue, func(w queuedRequest) bool {
		if now < w.deadline && (!none || p.hasPersistent(w.hint)) {
			return false
		}
		tokens = append(tokens, w.token)
		return true
	})
	return tokens
}

// hasPersistent reports whether a request's persistence cookie names a member that takes it.
func (p *Pool) hasPersistent(h Hint) bool {
	return h.Cookie != "" && slices.ContainsFunc(p.members, func(m member) bool {
		return m.honours(h.Cookie)
	})
}

// NextDeadline returns the earliest deadline of the queued requests; 0: none is queued.
func (p *Pool) NextDeadline() (first time.Duration) {
	for _, w := range p.queue {
		if first == 0 || w.deadline < first {
			first = w.deadline
		}
	}
	return first
}

// Drain empties the queue and returns its requests, the longest waiting first.
func (p *Pool) Drain() (tokens []any) {
	for _, w := range p.queue {
		tokens = append(tokens, w.token)
	}
	p.queue = nil
	return tokens
}
