package httpd

import (
	"context"
	"net"
	"os"
	"time"

	"sedgevale/internal/http1"
)

// Framing says how the end of a response's body is marked.
type Framing uint8

// The ways in which the end of a body is marked.
const (
	ByLength Framing = iota // its Content-Length is among the fields, or it has no body
	ByChunks
	ByClose // the connection's end, for HTTP/1.0
)

// BeginResponse sends the head of a response whose body follows by Part until EndBody. Fields must
// have no Transfer-Encoding, Connection or, but for ByLength, Content-Length.
func (c *Conn) BeginResponse(status int, fields []http1.Field, framing Framing) {
	if c.state == stateClosed {
		return
	}
	c.framing = framing
	c.closeAfter = c.closeAfter || framing == ByClose
	c.writeHead(status, fields)
	if framing == ByChunks {
		c.out = http1.AppendField(c.out, "Transfer-Encoding", "chunked")
	}
	c.out = append(c.out, "\r\n"...)
	_, _ = c.conn.Write(c.out)
}

// WriteBody sends a part of a body.
func (c *Conn) WriteBody(b []byte) {
	if c.state == stateClosed || len(b) == 0 {
		return
	}
	if c.framing == ByChunks {
		c.out = http1.AppendChunk(c.out[:0], b)
		b = c.out
	}
	_, _ = c.conn.Write(b)
	if cap(c.out) > writeBuffer {
		c.out = nil
	}
}

// EndBody ends a body. The trailer counts only in chunks.
func (c *Conn) EndBody(trailer []http1.Field) {
	if c.state == stateClosed {
		return
	}
	if c.framing == ByChunks {
		_, _ = c.conn.Write(http1.AppendLastChunk(c.out[:0], trailer))
	}
	c.endResponse()
}

// CloseAfter has the connection end with this response.
func (c *Conn) CloseAfter() { c.closeAfter = true }

// Remote returns the client's address.
func (c *Conn) Remote() net.Addr { return c.conn.RemoteAddr() }

// Local returns the server's address that the client connected to.
func (c *Conn) Local() net.Addr { return c.conn.LocalAddr() }

// Detach takes the connection off its event loop, with what was read and not parsed yet. The
// Conn is closed by that, but Handler.Disconnected is not called. An error leaves it as it was.
func (c *Conn) Detach() (*Detached, error) {
	buf, _ := c.conn.Peek(-1)
	return c.detach(append([]byte(nil), buf...))
}

func (c *Conn) detach(rest []byte) (*Detached, error) {
	fd, err := c.conn.Dup()
	if err != nil {
		return nil, err
	}
	f := os.NewFile(uintptr(fd), "client")
	conn, err := net.FileConn(f)
	_ = f.Close() // conn has a duplicate
	if err != nil {
		return nil, err
	}
	d := &Detached{Conn: conn, Parser: c.parser, Unparsed: rest, server: c.server, opened: c.opened}
	c.server.clients.Add(1) // still open, until it is closed or given back
	c.server.descriptors.AcquireClient()
	c.detached = true
	c.loop.close(c)
	return d, nil
}

// overflow hands a request over whose body is too long for the event loop. Rest is what was
// read behind what the parser has taken.
func (c *Conn) overflow(over BodyOverflowHandler, rest []byte) {
	head, body := c.parser.Head, c.body
	c.setState(stateBusy)
	d, err := c.detach(append([]byte(nil), rest...))
	if err != nil {
		c.loop.close(c)
		return
	}
	over.Overflow(&Request{Head: &head, Body: body, At: time.Now()}, d)
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
	})
}

// Draining reports whether the server wants its connections to end.
func (d *Detached) Draining() bool { return d.server.draining.Load() }

// Reattach puts a connection back on an event loop, for its next request. Nothing of that
// may have been read yet: it would be lost. Where the server is stopped it closes the
// connection.
func (d *Detached) Reattach() {
	_ = d.SetDeadline(time.Time{})
	d.release()
	// gnet waits for the event loop, without end once that has ended; so Stop has to wait for this.
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
