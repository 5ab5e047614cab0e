// Package pool balances the requests of a backend over its members and queues requests while no member has
// capacity. It considers the state, weight and requests in flight of the members, backup members, and the
// persistence cookie or hash key of the request. The decision module decides whether and when a request is
// sent. The package does no I/O and takes the time as an argument. A Pool is not safe for concurrent use.
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

// The load-balancing algorithms with their names in HAProxy.
const (
	RoundRobin Balance = "roundrobin" // smooth weighted round robin
	LeastConn  Balance = "leastconn"  // fewest requests in flight per weight
	First      Balance = "first"      // first member that has capacity
	Random     Balance = "random"     // weighted random choice
	Hash       Balance = "hash"       // weighted rendezvous hashing of Hint.Key; if a member leaves, only its requests move
)

// Member is a member of a backend.
type Member struct {
	Name     string
	Weight   int // 0 to 256; a member of weight 0 gets only requests with its persistence cookie
	Backup   bool
	Disabled bool
	MaxConn  int    // maximum number of requests in flight; 0: no limit
	Cookie   string // value of the persistence cookie; "": no persistence
}

// Options configure a Pool.
type Options struct {
	Members      []Member
	Balance      Balance       // default: RoundRobin
	AllBackups   bool          // balance over all backups that are up instead of using the first one
	MaxQueue     int           // maximum length of the queue; default: 1024
	QueueTimeout time.Duration // maximum time in the queue; default: 5 s
	SlowStart    time.Duration // time in which the weight of a member that came up grows to its full value
}

// State determines which requests a member may be sent.
type State uint8

// The states of a member.
const (
	Up          State = iota // all requests
	Down                     // no requests: its health checks fail
	Draining                 // only requests with its persistence cookie
	Maintenance              // no requests, whatever the result of its health checks
)

// String returns the name of the state in lower case.
func (s State) String() string { return [...]string{"up", "down", "draining", "maintenance"}[s] }

// maxWeight is the maximum weight of a member. HAProxy has the same limit.
const maxWeight = 256

// minSlowStartFactor is the fraction of its weight that a member has at the start of its slow start.
const minSlowStartFactor = 0.1

const (
	defaultMaxQueue     = 1024
	defaultQueueTimeout = 5 * time.Second
)

// member is a Member with its mutable state.
type member struct {
	Member
	state         State
	upSince       time.Duration // time at which it last came up; 0: no slow start
	currentWeight float64       // state of smooth weighted round robin
	inFlight      int           // number of requests in flight, maintained by Acquire and Release
}

// Pool holds the members of a backend and the queue of its requests.
type Pool struct {
	opt     Options
	members []member
	queue   []queuedRequest // in order of arrival
}

// queuedRequest is a request that waits for a member with capacity.
type queuedRequest struct {
	token    any // identifies the request to the caller
	hint     Hint
	deadline time.Duration // time at which the request expires, on the clock of the caller
}

// Hint holds the attributes of a request that determine the choice of a member.
type Hint struct {
	Cookie string // value of the persistence cookie; "": none
	Key    string // hash key for Balance Hash
	Rand   uint64 // random number of the request for Balance Random
	Tried  []int  // members that were already tried; others are preferred
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

// New returns a Pool. Its members are up, except for disabled ones, which are in maintenance.
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

// InheritState copies the state of members with equal names from the previous Pool of the same backend: the
// number of requests in flight, the state of round robin and, unless the member is or was disabled by
// configuration, its State.
func (p *Pool) InheritState(old *Pool) {
	for i := range p.members {
		m := &p.members[i]
		j := slices.IndexFunc(old.members, func(o member) bool { return o.Name == m.Name })
		if j < 0 {
			continue
		}
		o := &old.members[j]
		m.inFlight, m.currentWeight, m.upSince = o.inFlight, o.currentWeight, o.upSince
		if !m.Disabled && !o.Disabled {
			m.state = o.state
		}
	}
}

// Name returns the name of a member.
func (p *Pool) Name(i int) string { return p.members[i].Name }

// Index returns the index of the member with a name, or -1 if there is none.
func (p *Pool) Index(name string) int {
	return slices.IndexFunc(p.members, func(m member) bool { return m.Name == name })
}

// State returns the state of a member and its number of requests in flight.
func (p *Pool) State(i int) (State, int) { return p.members[i].state, p.members[i].inFlight }

// SetState sets the state of a member. A member that comes up begins its slow start.
func (p *Pool) SetState(i int, s State, now time.Duration) {
	m := &p.members[i]
	if m.state != Up && s == Up {
		m.upSince, m.currentWeight = now, 0
	}
	m.state = s
}

// Serving returns the number of members that may be sent new requests.
func (p *Pool) Serving() int { return len(p.eligible()) }

// eligible returns the members that may be sent new requests, regardless of their capacity: all non-backup
// members that are up with a positive weight or, if there are none, the first or all such backups.
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

// hasCapacity reports whether the member may be sent one more request.
func (m *member) hasCapacity() bool { return m.MaxConn == 0 || m.inFlight < m.MaxConn }

// acceptsCookie reports whether the member accepts requests with this persistence cookie.
func (m *member) acceptsCookie(cookie string) bool {
	return m.Cookie == cookie && (m.state == Up || m.state == Draining)
}

// effectiveWeight returns the weight of a member, reduced during its slow start.
func (p *Pool) effectiveWeight(m *member, now time.Duration) float64 {
	w := float64(m.Weight)
	if up := now - m.upSince; m.upSince > 0 && up < p.opt.SlowStart {
		w *= max(minSlowStartFactor, float64(up)/float64(p.opt.SlowStart))
	}
	return w
}

// Verdict is the result of Pick.
type Verdict uint8

// The results of Pick.
const (
	Assigned    Verdict = iota // a member was picked
	Busy                       // no suitable member has capacity; the request may be queued
	Unavailable                // no member is eligible
)

// Pick picks a member for a request and advances the state of the balancing algorithm. The caller calls
// Acquire when it sends the request.
func (p *Pool) Pick(now time.Duration, h Hint) (int, Verdict) {
	if i := p.cookieMember(h); i >= 0 {
		return p.assignIfFree(i)
	}
	candidates := p.eligible()
	if len(candidates) == 0 {
		return -1, Unavailable
	}
	if untried := slices.DeleteFunc(slices.Clone(candidates), func(i int) bool { return slices.Contains(h.Tried, i) }); len(untried) > 0 {
		candidates = untried
	}
	if p.opt.Balance == Hash && h.Key != "" {
		return p.assignIfFree(p.rendezvousHash(candidates, h.Key, now))
	}
	free := slices.DeleteFunc(slices.Clone(candidates), func(i int) bool { return !p.members[i].hasCapacity() })
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

// cookieMember returns the member of the request's persistence cookie, or -1 if there is none or if it was
// already tried.
func (p *Pool) cookieMember(h Hint) int {
	if h.Cookie == "" {
		return -1
	}
	for i := range p.members {
		if p.members[i].acceptsCookie(h.Cookie) && !slices.Contains(h.Tried, i) {
			return i
		}
	}
	return -1
}

// assignIfFree returns the result of Pick for a request that only member i may be sent.
func (p *Pool) assignIfFree(i int) (int, Verdict) {
	if !p.members[i].hasCapacity() {
		return -1, Busy
	}
	return i, Assigned
}

// leastLoaded returns the candidates with the fewest requests in flight per weight.
func (p *Pool) leastLoaded(candidates []int, now time.Duration) (fewest []int) {
	least := math.Inf(1)
	for _, i := range candidates {
		m := &p.members[i]
		load := float64(m.inFlight) / p.effectiveWeight(m, now)
		if load < least {
			least, fewest = load, fewest[:0]
		}
		if load == least {
			fewest = append(fewest, i)
		}
	}
	return fewest
}

// roundRobin implements smooth weighted round robin: each candidate gains its weight, and the candidate with
// the highest current weight is picked and loses the sum of the weights. Picks of a member are proportional to
// its weight and evenly spread.
func (p *Pool) roundRobin(candidates []int, now time.Duration) int {
	best, sum := -1, 0.0
	for _, i := range candidates {
		m := &p.members[i]
		w := p.effectiveWeight(m, now)
		m.currentWeight += w
		sum += w
		if best < 0 || m.currentWeight > p.members[best].currentWeight {
			best = i
		}
	}
	p.members[best].currentWeight -= sum
	return best
}

// weightedRandom picks a candidate with a probability proportional to its weight. r is the random number of
// the request.
func (p *Pool) weightedRandom(candidates []int, r uint64, now time.Duration) int {
	sum := 0.0
	for _, i := range candidates {
		sum += p.effectiveWeight(&p.members[i], now)
	}
	at := float64(r>>11) / (1 << 53) * sum
	for _, i := range candidates {
		if at -= p.effectiveWeight(&p.members[i], now); at < 0 {
			return i
		}
	}
	return candidates[len(candidates)-1]
}

// rendezvousHash implements weighted rendezvous hashing (Thaler and Ravishankar, 1998, with the weights of
// Schindelhauer and Schomaker, 2005): if a member leaves, only its keys move.
func (p *Pool) rendezvousHash(candidates []int, key string, now time.Duration) int {
	best, bestScore := candidates[0], math.Inf(-1)
	for _, i := range candidates {
		m := &p.members[i]
		var d xxhash.Digest
		d.Reset()
		_, _ = d.WriteString(key)
		_, _ = d.WriteString("\x00" + m.Name)
		u := (float64(d.Sum64()>>11) + 0.5) / (1 << 53)
		if score := -p.effectiveWeight(m, now) / math.Log(u); score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// Acquire increments the number of requests in flight of a member.
func (p *Pool) Acquire(i int) { p.members[i].inFlight++ }

// Release decrements the number of requests in flight of a member.
func (p *Pool) Release(i int) {
	if p.members[i].inFlight > 0 {
		p.members[i].inFlight--
	}
}

// Enqueue queues a request until a member has capacity or Options.QueueTimeout elapses. It reports false if
// the queue is full. NextQueued, Expire and Drain return the token to identify the request.
func (p *Pool) Enqueue(now time.Duration, token any, h Hint) bool {
	if len(p.queue) >= p.opt.MaxQueue {
		return false
	}
	p.queue = append(p.queue, queuedRequest{token, h, now + p.opt.QueueTimeout})
	return true
}

// QueueLen returns the number of queued requests.
func (p *Pool) QueueLen() int { return len(p.queue) }

// NextQueued dequeues the oldest request that can be sent now. It picks and acquires the member for it.
func (p *Pool) NextQueued(now time.Duration) (token any, i int, ok bool) {
	for k, w := range p.queue {
		if i, v := p.Pick(now, w.hint); v == Assigned {
			p.queue = slices.Delete(p.queue, k, k+1)
			p.Acquire(i)
			return w.token, i, true
		} else if v == Unavailable {
			break
		} else if w.hint.Cookie == "" && p.opt.Balance != Hash {
			break // assume that no later request fits either: without cookies and hashing, requests compete for the same members
		}
	}
	return nil, -1, false
}

// Dequeue removes a request from the queue. It reports whether the request was queued.
func (p *Pool) Dequeue(token any) bool {
	k := slices.IndexFunc(p.queue, func(w queuedRequest) bool { return w.token == token })
	if k >= 0 {
		p.queue = slices.Delete(p.queue, k, k+1)
	}
	return k >= 0
}

// Expire dequeues and returns the requests whose deadline has passed or that no member can serve.
func (p *Pool) Expire(now time.Duration) (tokens []any) {
	noneEligible := len(p.queue) > 0 && len(p.eligible()) == 0
	p.queue = slices.DeleteFunc(p.queue, func(w queuedRequest) bool {
		if now < w.deadline && (!noneEligible || p.hasCookieMember(w.hint)) {
			return false
		}
		tokens = append(tokens, w.token)
		return true
	})
	return tokens
}

// hasCookieMember reports whether a member accepts the persistence cookie of a request.
func (p *Pool) hasCookieMember(h Hint) bool {
	return h.Cookie != "" && slices.ContainsFunc(p.members, func(m member) bool {
		return m.acceptsCookie(h.Cookie)
	})
}

// NextDeadline returns the earliest deadline of the queued requests, or 0 if the queue is empty.
func (p *Pool) NextDeadline() (first time.Duration) {
	for _, w := range p.queue {
		if first == 0 || w.deadline < first {
			first = w.deadline
		}
	}
	return first
}

// Drain empties the queue and returns its requests in order of arrival.
func (p *Pool) Drain() (tokens []any) {
	for _, w := range p.queue {
		tokens = append(tokens, w.token)
	}
	p.queue = nil
	return tokens
}
