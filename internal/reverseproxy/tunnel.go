package reverseproxy

import (
	"net"
	"sync"
	"time"

	"sedgevale/dispatcher"
	"sedgevale/internal/http1"
	"sedgevale/internal/httpd"
)

// tunnel relays bytes between client and server after the server has switched
// protocols with a 101 response (RFC 9110, section 7.8).
func (sc *serverConn) tunnel() {
	ua := sc.attempt
	lr, ok := ua.request.responder.(*loopResponder)
	h := sc.parser.Head
	if ua.done || !ok || ua.request.upgrade == "" || !ua.request.beginResponse() {
		sc.failResponse(errUnsolicited)
		return
	}
	sc.transport.report(ua, dispatcher.Served)
	sc.detached = true
	server, rest, err := sc.transport.loop.Detach(sc.loopConn)
	if err != nil {
		sc.detached = false
		sc.failResponse(err)
		return
	}
	ua.done = true
	delete(sc.transport.byRequest, ua.request)
	release := func() {
		_ = server.Close()
		sc.transport.proxy.opt.Budget.Release()
	}
	posted := make(chan struct{})
	lr.conn.Post(func(hc *httpd.Conn) {
		close(posted)
		hc.State = nil
		client, err := hc.Detach()
		if err != nil {
			release()
			ua.request.finish()
			hc.Abort()
			return
		}
		go func() {
			defer ua.request.finish()
			defer release()
			defer func() { _ = client.Close() }()
			client.Complete() // a tunnel may be silent for long
			relay(client, server, upgradeHead(h), rest)
		}()
	})
	go func() { // Post drops the function if the client connection is closed, so its resources are released here
		select {
		case <-posted:
		case <-time.After(postTimeout):
			if ua.request.isFinished() {
				release()
			}
		}
	}()
}

// upgradeHead returns the 101 response head that is forwarded to the client.
func upgradeHead(h http1.Head) []byte {
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

// relay writes the response head and the bytes that followed it, then copies in both directions until both have
// ended or exceeded tunnelIdleTimeout.
func relay(client *httpd.Detached, server net.Conn, head, rest []byte) {
	if _, err := client.Write(append(head, rest...)); err != nil {
		return
	}
	if len(client.Unparsed) > 0 {
		if _, err := server.Write(client.Unparsed); err != nil {
			return
		}
	}
	var wg sync.WaitGroup
	wg.Go(func() { copyOneWay(client.Conn, server) })
	copyOneWay(server, client.Conn)
	wg.Wait()
}

// copyOneWay copies until the source ends, is idle for tunnelIdleTimeout, or either connection fails.
func copyOneWay(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		_ = from.SetReadDeadline(time.Now().Add(tunnelIdleTimeout))
		n, err := from.Read(buf)
		if n > 0 {
			_ = to.SetWriteDeadline(time.Now().Add(bodyIdleTimeout))
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
