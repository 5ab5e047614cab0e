package resourcequota

import (
	"container/list"
	"net"
	"time"
)

// phase is what a connection waits for.
type phase int

const (
	phaseReading phase = iota // for the peer: the rest of a request, or that the peer reads the end of an answer
	phaseIdle                 // for the next request
	phaseServing              // for this process
	phaseCount
)

// Port describes the connections of one listening address.
type Port struct {
	// Receive is the size in bytes of the kernel's buffer for what a peer sends. The kernel may hold up to twice as much.
	Receive int
}

// connectionMemory is what the process itself holds for a connection, in bytes: its goroutine, buffers and a request's head.
const connectionMemory = 32 << 10

// cost is the memory of one connection in bytes.
func (p *Port) cost() int64 { return connectionMemory + int64(p.Receive) }

// connectionTable holds the open connections of a process by phase, the one that is in its phase for the longest time first. It
// is guarded by Quota.mu.
type connectionTable struct {
	total      int
	bytes      int64
	ofPort     map[*Port]int
	byPhase    [phaseCount]*list.List
	evicted    uint64
	turnedAway uint64
}

func newConnectionTable() connectionTable {
	t := connectionTable{ofPort: map[*Port]int{}}
	for i := range t.byPhase {
		t.byPhase[i] = list.New()
	}
	return t
}

// connection is an accepted connection that counts against a Quota until it is closed.
type connection struct {
	net.Conn
	quota *Quota
	port  *Port

	// The fields below are guarded by quota.mu.
	phase   phase
	since   time.Time     // begin of the phase
	element *list.Element // in the list of the phase; nil once the connection is closed
}

// accept adds a connection. If there is no room it closes others: first the one that has been idle for the longest time, then the
// one that has been waiting for its peer for the longest time, if that is over stallTimeout. It returns nil if there still is no
// room.
func (q *Quota) accept(conn net.Conn, port *Port) *connection {
	q.mu.Lock()
	defer q.mu.Unlock()
	for !q.hasRoom(port) {
		if !q.evict(port) {
			q.connections.turnedAway++
			return nil
		}
	}
	c := &connection{Conn: conn, quota: q, port: port}
	t := &q.connections
	t.total++
	t.bytes += port.cost()
	t.ofPort[port]++
	c.enter(phaseReading)
	return c
}

// hasRoom reports whether another connection of a port fits. q.mu is held.
func (q *Quota) hasRoom(port *Port) bool {
	t := &q.connections
	if t.total >= q.limits.Connections || t.bytes+port.cost() > q.limits.ConnectionBytes {
		return false
	}
	return !q.portFull(port)
}

// evict closes one connection, of the port itself if that has used up its share, and reports whether there was one. q.mu is held.
func (q *Quota) evict(port *Port) bool {
	latest := time.Now().Add(-stallTimeout)
	for _, candidates := range []phase{phaseIdle, phaseReading} {
		for e := q.connections.byPhase[candidates].Front(); e != nil; e = e.Next() {
			c := e.Value.(*connection)
			if candidates == phaseReading && c.since.After(latest) {
				break
			}
			if c.port != port && q.portFull(port) {
				continue
			}
			q.connections.evicted++
			c.leave()
			discardOnClose(c.Conn)
			_ = c.Conn.Close() // its server notices the error of the next read or write
			return true
		}
	}
	return false
}

// discardOnClose makes the kernel discard what the peer of a connection has not read when the connection is closed.
func discardOnClose(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// portFull reports whether a port has used up its share of the connections. q.mu is held.
func (q *Quota) portFull(port *Port) bool {
	return q.connections.ofPort[port] >= q.portLimit(port)
}

// portLimit returns the number of connections that one port may have.
func (q *Quota) portLimit(port *Port) int {
	limit := int(min(int64(q.limits.Connections), q.limits.ConnectionBytes/port.cost()))
	return max(1, limit-limit/portShare)
}

// enter moves a connection into a phase. quota.mu is held.
func (c *connection) enter(p phase) {
	if c.element != nil {
		c.quota.connections.byPhase[c.phase].Remove(c.element)
	}
	c.phase, c.since = p, time.Now()
	c.element = c.quota.connections.byPhase[p].PushBack(c)
}

// leave removes a connection from the table. quota.mu is held.
func (c *connection) leave() {
	if c.element == nil {
		return
	}
	t := &c.quota.connections
	t.byPhase[c.phase].Remove(c.element)
	c.element = nil
	t.total--
	t.bytes -= c.port.cost()
	t.ofPort[c.port]--
}

// setPhase moves an open connection into a phase.
func (c *connection) setPhase(p phase) {
	c.quota.mu.Lock()
	defer c.quota.mu.Unlock()
	if c.element != nil {
		c.enter(p)
	}
}

// Close closes the connection and returns its part of the quota.
func (c *connection) Close() error {
	c.quota.mu.Lock()
	c.leave()
	c.quota.mu.Unlock()
	return c.Conn.Close()
}
