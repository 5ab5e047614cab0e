package httpd

import (
	"time"

	"sedgevale/internal/http1"
	"sedgevale/internal/resourcequota"
)

const (
	// bodyCopies is how many times the process holds a body: as it was read, and in the buffer of the connection to a worker.
	bodyCopies = 2
	// bufferGrowth is how much larger than its content the event loop's buffer of a connection may be.
	bufferGrowth = 2
	// kernelUnsentBytes is what the kernel holds of a response that a client does not read: up to one packet of the largest size.
	kernelUnsentBytes = 64 << 10
	// chargeUnit is the granularity in bytes in which memory counts against the quota; less than one unit does not count.
	chargeUnit = 4 << 10
	// transferBytes is what counts for a connection whose body is streamed, and tunnelBytes for a tunnel: buffers for both directions.
	transferBytes = 256 << 10
	tunnelBytes   = 96 << 10
	// unreadTimeout is how long a client may take until it reads any of the answer that waits for it.
	unreadTimeout = 10 * time.Second
	// backlogShare is the divisor of the descriptors for connections that wait until they are accepted.
	backlogShare = 2
)

// busyText is the body of the response to a request for which there is no room.
const busyText = "the process holds as much for other requests as it may; try again later\n"

// Quota bounds the memory that a Server holds for clients. Several servers may share one.
type Quota struct {
	Memory  *resourcequota.Quota
	Receive int // size in bytes of the kernel's buffer for what a client sends
	Backlog int // connections that wait until they are accepted
}

// NewQuota returns a Quota for a process with the given memory in bytes and descriptors, of which a value of 0 means that of the
// machine.
func NewQuota(memory int64, descriptors int) *Quota {
	limits := resourcequota.LimitsFor(memory, descriptors)
	receive := limits.ConnectionBytes / int64(limits.Connections) / kernelGrowth
	return &Quota{
		Memory: resourcequota.New(limits), Receive: int(min(max(receive, minReceiveBytes), maxReceiveBytes)),
		Backlog: limits.Connections / backlogShare,
	}
}

// Bounds of Quota.Receive, and how much larger than asked for the kernel makes the buffer.
const (
	kernelGrowth    = 2
	minReceiveBytes = 16 << 10
	maxReceiveBytes = 128 << 10
)

// SetQuota bounds the memory that the server holds. It must be called before Start.
func (s *Server) SetQuota(q *Quota) { s.quota = q }

// memory returns what the process holds for the connection, in bytes.
func (c *Conn) memory() int64 {
	held := bodyCopies * (max(cap(c.body), c.declared) + c.requestBytes)
	unsent := c.conn.OutboundBuffered()
	if unsent > 0 {
		held += kernelUnsentBytes
	}
	return int64(held + bufferGrowth*(c.conn.InboundBuffered()+unsent))
}

// charge counts the memory of the connection against the quota and reports whether there is room for it.
func (c *Conn) charge() bool {
	if c.server.quota == nil {
		return true
	}
	wanted := c.memory() / chargeUnit * chargeUnit
	if wanted == c.charged {
		return true
	}
	if wanted == 0 {
		c.discharge()
		return true
	}
	if c.reservation == nil {
		c.reservation = c.server.quota.Memory.Reserve(func() { c.Post((*Conn).yield) })
	}
	if c.reservation.TryGrow(wanted-c.charged) != nil {
		return false
	}
	c.charged = wanted
	return true
}

// discharge returns the connection's part of the quota.
func (c *Conn) discharge() {
	c.reservation.Release()
	c.reservation, c.charged = nil, 0
}

// yield makes room for others after the client has been slow: it refuses a request that is incomplete, and breaks off a response
// that the client does not read.
func (c *Conn) yield() {
	switch {
	case c.state == stateReading:
		c.refuse()
	case c.conn.OutboundBuffered() > 0:
		c.breakOff()
	}
}

// breakOff closes the connection of a client that does not read, and discards what the kernel holds for it.
func (c *Conn) breakOff() {
	_ = c.conn.SetLinger(0)
	c.loop.close(c)
}

// refuse responds to a request for which there is no room, and closes the connection.
func (c *Conn) refuse() {
	c.body, c.declared, c.requestBytes = nil, 0, 0
	c.RespondLast(503, []http1.Field{{Name: "Retry-After", Value: resourcequota.RetryAfterSeconds}}, []byte(busyText))
	c.charge()
}

// chargeResponse counts what the kernel has not taken of a response. It closes the connection if there is no room, and reports
// whether it is still open.
func (c *Conn) chargeResponse() bool {
	if c.state == stateClosed {
		return false
	}
	if !c.charge() {
		c.breakOff()
		return false
	}
	unsent := c.conn.OutboundBuffered()
	switch {
	case unsent == 0 && c.unsent > 0:
		delete(c.loop.unread, c)
		c.reservation.Complete()
	case unsent > 0:
		if c.unsent == 0 || unsent < c.unsent {
			c.readAt = time.Now()
			c.reservation.Await()
		}
		c.loop.unread[c] = struct{}{}
	}
	c.unsent = unsent
	return true
}

// sweepUnread counts the responses that wait for their clients, and closes the connections of those that read nothing for
// unreadTimeout.
func (l *eventLoop) sweepUnread(now time.Time) {
	for c := range l.unread {
		if c.chargeResponse() && c.unsent > 0 && now.Sub(c.readAt) > unreadTimeout {
			c.breakOff()
		}
	}
}

// Reserve counts bytes until the Reservation is released. It returns resourcequota.ErrBusy if there is no room. The quota may call
// interrupt while the Reservation awaits a client. A nil Quota has room for everything.
func (q *Quota) Reserve(bytes int64, interrupt func()) (*resourcequota.Reservation, error) {
	if q == nil {
		return nil, nil
	}
	reservation := q.Memory.Reserve(interrupt)
	if err := reservation.TryGrow(bytes); err != nil {
		reservation.Release()
		return nil, err
	}
	return reservation, nil
}

// Progressed records that the client has sent or read something, and is expected to go on.
func (d *Detached) Progressed() { d.reservation.Await() }

// Complete records that nothing is expected from the client.
func (d *Detached) Complete() { d.reservation.Complete() }
