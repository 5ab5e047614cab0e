package reverseproxy

import (
	"net"
	"sync"
	"time"

	"sedgevale"
	"sedgevale/internal/http1"
	"sedgevale/internal/httpd"
)

// tunnel joins client and server once the server has agreed to go on with another
// protocol (RFC 9110, section 7.8).
func (c *rconn) tunnel() {
	f := c.f
	o, ok := f.call.out.(*loopOut)
	h := c.parser.Head
	if f.over || !ok || f.call.upgrade == "" || !f.call.begin() {
		c.junk(errUnasked)
		return
	}
	c.relay.tell(f, sedgevale.Served)
	c.moved = true
	server, rest, err := c.relay.loop.Detach(c.gc)
	if err != nil {
		c.moved = false
		c.junk(err)
		return
	}
	f.over = true
	delete(c.relay.calls, f.call)
	release := func() {
		_ = server.Close()
		c.relay.site.opt.Budget.Release()
	}
	posted := make(chan struct{})
	o.c.Post(func(hc *httpd.Conn) {
		close(posted)
		hc.State = nil
		client, err := hc.Detach()
		if err != nil {
			release()
			f.call.finish()
			hc.Abort()
			return
		}
		go func() {
			defer f.call.finish()
			defer release()
			defer func() { _ = client.Close() }()
			join(client, server, upgraded(h), rest)
		}()
	})
	go func() { // a client that is closed by now is not called
		select {
		case <-posted:
		case <-time.After(unsentPatience):
			f.call.mu.Lock()
			over := f.call.over
			f.call.mu.Unlock()
			if over {
				release()
			}
		}
	}()
}

// upgraded writes the head by which a server agrees.
func upgraded(h http1.Head) []byte {
	b := http1.AppendStatus(nil, 101)
	for _, f := range h.Fields {
		if !hopByHop(f.Name) {
			b = http1.AppendField(b, f.Name, f.Value)
		}
	}
	b = http1.AppendField(b, "Connection", "Upgrade")
	b = http1.AppendField(b, "Upgrade", h.Get("Upgrade"))
	return append(b, "\r\n"...)
}

// join copies both ways until both have ended, or nothing has come for long.
func join(client *httpd.Detached, server net.Conn, head, rest []byte) {
	if _, err := client.Write(append(head, rest...)); err != nil {
		return
	}
	if len(client.Rest) > 0 {
		if _, err := server.Write(client.Rest); err != nil {
			return
		}
	}
	var wg sync.WaitGroup
	wg.Go(func() { copyOneWay(client.Conn, server) })
	copyOneWay(server, client.Conn)
	wg.Wait()
}

// copyOneWay copies until the source ends, nothing has come for long, or either side fails.
func copyOneWay(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		_ = from.SetReadDeadline(time.Now().Add(tunnelIdle))
		n, err := from.Read(buf)
		if n > 0 {
			_ = to.SetWriteDeadline(time.Now().Add(pumpIdle))
			if _, err := to.Write(buf[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			if c, ok := to.(*net.TCPConn); ok && isEOF(err) {
				_ = c.CloseWrite()
			} else {
				_ = to.Close()
			}
			return
		}
	}
}
