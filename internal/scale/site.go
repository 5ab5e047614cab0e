package scale

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"sedgevale/internal/config"
	"sedgevale/internal/discovery"
	"sedgevale/internal/standin"
)

const (
	kind        = "hollow"
	drainFor    = time.Second
	replaceIn   = time.Second
	limitFactor = 10 // the longest that a task may take, in mean times
)

// site is what all schedulers of a point share: the workers under the ids that they have now, and discovery.
type site struct {
	f         *File
	size      Size
	workers   *Workers
	discovery *standin.Discovery
	server    *http.Server
	addrs     []string
	bytes     []atomic.Int64 // written by discovery, by real process
	changes   atomic.Int64   // of the list
	drainFor  time.Duration  // before a worker is restarted or replaced
	replaceIn time.Duration  // after a failure, until there is another

	mu      sync.Mutex
	rand    *rand.Rand
	members []standin.Member // by worker
	busy    []bool           // it is being restarted or replaced
	serial  int
	tell    func(ids []string, ready []place, fresh bool)
}

// newSite has discovery listen: at an address of its own for each real process, so that bytes are told apart.
func newSite(f *File, size Size, w *Workers) (*site, error) {
	s := &site{f: f, size: size, workers: w, rand: rand.New(rand.NewPCG(f.Seed, 0x517e)), bytes: make([]atomic.Int64, f.Real),
		busy: make([]bool, size.Workers), drainFor: drainFor, replaceIn: replaceIn}
	for i := range size.Workers {
		s.members = append(s.members, standin.Member{ID: fmt.Sprintf("w%d", i), HostPort: w.all[i].addr,
			Locality: zoneName(i % f.Zones), Flavor: kind, Phase: "ready", Size: float64(size.Slots)})
	}
	s.discovery = standin.NewDiscovery(append([]standin.Member(nil), s.members...)...)
	s.server = &http.Server{Handler: s.discovery}
	for i := range f.Real {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			s.Close()
			return nil, fmt.Errorf("hollow discovery: %w", err)
		}
		s.addrs = append(s.addrs, l.Addr().String())
		go func() { _ = s.server.Serve(countingListener{l, &s.bytes[i]}) }() // ends with Close
	}
	return s, nil
}

// Close ends discovery.
func (s *site) Close() { _ = s.server.Close() }

type countingListener struct {
	net.Listener
	written *atomic.Int64
}

// Accept is a listener's.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.written}, err
}

type countingConn struct {
	net.Conn
	written *atomic.Int64
}

// Write is a connection's.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

func zoneName(i int) string { return fmt.Sprintf("zone-%02d", i) }

// now returns the list as it stands.
func (s *site) now() (ids []string, ready []place) {
	for i, m := range s.members {
		if m.Phase == "gone" {
			continue
		}
		ids = append(ids, m.ID)
		if m.Phase == "ready" {
			ready = append(ready, place{m.ID, s.workers.all[i]})
		}
	}
	return ids, ready
}

// set changes some workers' entries at once and tells the hollow schedulers. The real ones hear of it by their watch.
func (s *site) set(fresh bool, workers []int, change func(m *standin.Member)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range workers {
		m := s.members[i]
		change(&m)
		if m.ID != s.members[i].ID && s.members[i].Phase != "gone" {
			old := s.members[i]
			old.Phase = "gone"
			s.discovery.Set(old)
		}
		s.members[i] = m
		s.discovery.Set(m)
	}
	s.changes.Add(1)
	if s.tell != nil {
		ids, ready := s.now()
		s.tell(ids, ready, fresh)
	}
}

func (s *site) newID(m *standin.Member) {
	s.serial++
	m.ID = fmt.Sprintf("%s.%d", strings.SplitN(m.ID, ".", 2)[0], s.serial)
}

// restart drains workers and has them serve again, cold: as who they were, or replaced by others.
func (s *site) restart(ctx context.Context, workers []int, replaced bool) {
	s.set(false, workers, func(m *standin.Member) { m.Phase = "draining" })
	if !pause(ctx, s.drainFor) {
		return
	}
	for _, i := range workers {
		s.workers.all[i].restart()
	}
	s.set(replaced, workers, func(m *standin.Member) {
		if m.Phase, m.UpSince = "ready", time.Now().UnixMilli(); replaced {
			s.newID(m)
		}
	})
}

// fail cuts a worker off; after a while there is another in its place.
func (s *site) fail(ctx context.Context, worker int) {
	s.workers.all[worker].restart()
	s.set(true, []int{worker}, func(m *standin.Member) { m.Phase = "gone" })
	if !pause(ctx, s.replaceIn) {
		return
	}
	s.set(true, []int{worker}, func(m *standin.Member) {
		m.Phase, m.UpSince = "ready", time.Now().UnixMilli()
		s.newID(m)
	})
}

// churn restarts, replaces and fails workers at the pace of the size until the context ends.
func (s *site) churn(ctx context.Context) {
	var wg sync.WaitGroup
	number := 0
	paced := func(perDay float64, one func(worker int)) {
		if perDay <= 0 {
			return
		}
		wg.Go(func() {
			for pause(ctx, s.f.gap(perDay)) {
				if worker, ok := s.idle(); ok {
					wg.Go(func() {
						one(worker)
						s.free(worker)
					})
				}
			}
		})
	}
	paced(s.size.RestartsPerDay, func(worker int) {
		s.mu.Lock()
		number++
		replaced := number%2 == 0
		s.mu.Unlock()
		s.restart(ctx, []int{worker}, replaced)
	})
	paced(s.size.FailuresPerDay, func(worker int) { s.fail(ctx, worker) })
	wg.Wait()
}

// idle draws a worker with which nothing is being done, and reserves it.
func (s *site) idle() (worker int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range tries {
		if worker = s.rand.IntN(len(s.members)); !s.busy[worker] {
			s.busy[worker] = true
			return worker, true
		}
	}
	return 0, false
}

func (s *site) free(worker int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy[worker] = false
}

// replaceZone replaces all workers of the last zone at once.
func (s *site) replaceZone(ctx context.Context) {
	s.mu.Lock()
	var all []int
	for i, m := range s.members {
		if m.Locality == zoneName(s.f.Zones-1) && !s.busy[i] {
			s.busy[i] = true
			all = append(all, i)
		}
	}
	s.mu.Unlock()
	s.restart(ctx, all, true)
	for _, i := range all {
		s.free(i)
	}
}

// pause waits and reports whether the context goes on.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func teamName(i int) string { return fmt.Sprintf("team-%03d", i+1) }

// operatorFile is the text of a real process's file. Its parts are made once: only one team's share differs from one
// change to the next.
type operatorFile struct {
	path       string
	head, tail []byte // around that share
	number     int
}

// shareMark stands for the share that changes.
const shareMark = 0.123456789

// newOperatorFile makes the file of a real process and writes it.
func newOperatorFile(dir string, f *File, size Size, number int, listen, ops, discoveryAddr string, peers []string, members []standin.Member) (*operatorFile, error) {
	c := config.File{Name: fmt.Sprintf("real-%d", number), Listen: listen, Ops: ops, Discovery: discoveryAddr,
		PeerListen: peers[number], Peers: peers, Seed: strconv.FormatUint(f.Seed+uint64(number), 16)}
	t := &c.Settings
	t.Discovery, t.Kinds, t.Weights, t.Report.Via = "ask", []string{kind}, "nominal", "answers"
	for i := range f.Zones {
		t.Zones = append(t.Zones, zoneName(i))
	}
	t.Bounds.Cancel, t.Bounds.ParallelTries, t.Bounds.RetryAfter = true, true, true
	t.Bounds.DialTimeout, t.Bounds.IdleClose, t.Bounds.MaxAttempts, t.Bounds.MaxRetryAfter = 1, 60, 4, 2
	t.Family.ClassStretch, t.Family.QueueOrder, t.Family.TellsStart = []float64{2, 2}, "fifo", true
	t.Rules.StartCapacity, t.Rules.WarmUp, t.Rules.FallMultiple, t.Rules.Fall = 0.13, 22, 3, 2
	t.Classes = []config.Class{
		{Name: longClass, Effect: "free", Promise: limitFactor * f.LongS, HardLimit: 2 * limitFactor * f.LongS},
		{Name: shortClass, Effect: "free", Promise: max(1, limitFactor*f.ShortMS/1000), HardLimit: max(5, 2*limitFactor*f.ShortMS/1000)}}
	for i := range size.Teams {
		share := 1 / float64(size.Teams)
		if i == size.Teams-1 {
			share = shareMark
		}
		t.Realms = append(t.Realms, config.Realm{Name: teamName(i), Share: share, Quota: quotaFactor * max(1, size.StartsPerS/float64(size.Teams))})
	}
	if f.WorkersInFile {
		for _, m := range members {
			c.Workers = append(c.Workers, discovery.Member(m))
		}
	}
	var b bytes.Buffer
	if err := c.Write(&b); err != nil {
		return nil, err
	}
	head, tail, found := bytes.Cut(b.Bytes(), []byte(strconv.FormatFloat(shareMark, 'g', -1, 64)))
	if !found {
		return nil, fmt.Errorf("the operator's file of real-%d lacks its last share", number)
	}
	o := &operatorFile{path: filepath.Join(dir, fmt.Sprintf("real-%d.toml", number)), head: head, tail: tail}
	return o, o.write(size)
}

// quotaFactor is how much more than its even part of the starts a team's quota is.
const quotaFactor = 4

// write replaces the file, with another share of the last team than before.
func (o *operatorFile) write(size Size) error {
	o.number++
	share := 1 / float64(size.Teams) * (1 + 0.01*float64(o.number%100))
	text := bytes.Join([][]byte{o.head, o.tail}, strconv.AppendFloat(nil, share, 'f', 9, 64))
	if err := os.WriteFile(o.path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(o.path+".new", o.path)
}
