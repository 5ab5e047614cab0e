package httpd

import (
	"context"
	"errors"
	"net"
	"os"
	"time"

	"sedgevale/internal/http1"
	"sedgevale/internal/resourcequota"
)

// Framing is the way in which the end of a response body is marked.
type Framing uint8

// Framings of a response body.
const (
	FramingLength  Framing = iota // Content-Length is among the fields, or the response has no body
	FramingChunked                // chunked transfer coding
	FramingClose                  // end of the connection, for HTTP/1.0 clients
)

// BeginResponse sends the head of a response. The caller then sends the body with WriteBody and ends it with EndBody.
// fields must contain neither Transfer-Encoding nor Connection, and Content-Length only with FramingLength.
func (c *Conn) BeginResponse(status int, fields []http1.Field, framing Framing) {
	if c.state == stateClosed {
		return
	}
	c.framing = framing
	c.closeAfter = c.closeAfter || framing == FramingClose
	c.writeHead(status, fields)
	if framing == FramingChunked {
		c.out = http1.AppendField(c.out, "Transfer-Encoding", "chunked")
	}
	c.out = append(c.out, "\r\n"...)
	_, _ = c.conn.Write(c.out)
	c.chargeResponse()
}

// WriteBody sends a part of a body.
func (c *Conn) WriteBody(b []byte) {
	if c.state == stateClosed || len(b) == 0 {
		return
	}
	if c.framing == FramingChunked {
		c.out = http1.AppendChunk(c.out[:0], b)
		b = c.out
	}
	_, _ = c.conn.Write(b)
	if cap(c.out) > writeBufferSize {
		c.out = nil
	}
	c.chargeResponse()
}

// EndBody ends a body. The trailer is sent with FramingChunked only.
func (c *Conn) EndBody(trailer []http1.Field) {
	if c.state == stateClosed {
		return
	}
	if c.framing == FramingChunked {
		_, _ = c.conn.Write(http1.AppendLastChunk(c.out[:0], trailer))
	}
	c.endResponse()
}

// CloseAfterResponse closes the connection after the current response.
func (c *Conn) CloseAfterResponse() { c.closeAfter = true }

// RemoteAddr returns the address of the client.
func (c *Conn) RemoteAddr() net.Addr { return c.conn.RemoteAddr() }

// LocalAddr returns the local address that the client connected to.
func (c *Conn) LocalAddr() net.Addr { return c.conn.LocalAddr() }

// Detach removes the connection from its event loop and returns it with the bytes read but not yet parsed. This
// closes the Conn without calling Handler.Disconnected. If Detach fails, the Conn is unchanged.
func (c *Conn) Detach() (*Detached, error) {
	buf, _ := c.conn.Peek(-1)
	return c.detach(append([]byte(nil), buf...), tunnelBytes)
}

// detach is like Detach; memory is what counts for the connection from then on.
func (c *Conn) detach(unparsed []byte, memory int64) (*Detached, error) {
	fd, err := c.conn.Dup()
	if err != nil {
		return nil, err
	}
	f := os.NewFile(uintptr(fd), "client")
	conn, err := net.FileConn(f)
	_ = f.Close() // net.FileConn has duplicated the descriptor
	if err != nil {
		return nil, err
	}
	reservation, err := c.server.quota.Reserve(memory, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	if err != nil {
		_ = conn.Close() // the event loop still has its own descriptor
		return nil, err
	}
	d := &Detached{Conn: conn, Parser: c.parser, Unparsed: unparsed, server: c.server, opened: c.opened, reservation: reservation}
	c.server.clients.Add(1) // compensates for OnClose; Close or Reattach decrements it
	c.server.descriptors.AcquireClient()
	c.detached = true
	c.loop.close(c)
	return d, nil
}

// overflow passes a request whose body is too long for the event loop to h. rest holds the bytes received
// but not yet parsed.
func (c *Conn) overflow(h BodyOverflowHandler, rest []byte) {
	head, body := c.parser.Head, c.body
	c.setState(stateServing)
	d, err := c.detach(append([]byte(nil), rest...), transferBytes)
	if errors.Is(err, resourcequota.ErrBusy) {
		c.refuse()
		return
	}
	if err != nil {
		c.loop.close(c)
		return
	}
	h.Overflow(&Request{Head: &head, Body: body, At: time.Now()}, d)
}

// Close closes the connection.
func (d *Detached) Close() error {
	err := d.Conn.Close()
	d.release()
	return err
}

func (d *Detached) release() {
	d.once.Do(func() {
		d.server.clients.Add(-1)
		d.server.descriptors.Release()
		d.reservation.Release()
	})
}

// Draining reports whether Server.Drain has been called.
func (d *Detached) Draining() bool { return d.server.draining.Load() }

// Reattach returns the connection to an event loop for its next request. No byte of that
// request may have been read, because it would be lost. If the server has stopped, Reattach closes the
// connection.
func (d *Detached) Reattach() {
	d.release()
	_ = d.SetDeadline(time.Time{}) // after the last moment at which the quota may have interrupted the client
	// EnrollContext waits for the event loop and would block forever after it has stopped, so Stop must wait for this
	// goroutine.
	reattached := make(chan struct{})
	started := d.server.goroutines.Go(func(context.Context) {
		defer close(reattached)
		if _, err := d.server.client.EnrollContext(d.Conn, nil); err != nil {
			_ = d.Conn.Close()
		}
	})
	if !started {
		_ = d.Conn.Close()
		return
	}
	<-reattached
}
