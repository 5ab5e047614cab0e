package resourcequota

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// unsentBytes is how much of an answer the kernel takes before the peer reads, in bytes.
	unsentBytes = 16 << 10
	// backlogShare is the divisor of a port's connections that may wait until they are accepted.
	backlogShare = 2
	// refusalTimeout limits the time for writing a refusal to a new connection.
	refusalTimeout = 10 * time.Millisecond
)

// refusalText is the answer on a connection for which there is no room.
const refusalText = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// Serve makes an HTTP server count its connections and requests against the quota, and returns the listener that the server must
// serve. It replaces the server's ConnContext, ConnState and Handler.
func (q *Quota) Serve(server *http.Server, listener net.Listener, port *Port) net.Listener {
	LimitSocket(listener, port.Receive, q.portLimit(port)/backlogShare)
	server.ConnContext = withConnection
	server.ConnState = trackState
	server.Handler = trackRequests(server.Handler)
	return &quotaListener{Listener: listener, quota: q, port: port}
}

// LimitSocket sets the size in bytes of the buffer for what a peer sends, which accepted connections inherit, and the number of
// connections that the kernel keeps until they are accepted. It does nothing for listeners that are not sockets. A system that
// does not know an option keeps its default.
func LimitSocket(listener net.Listener, receive, backlog int) {
	withDescriptor(listener, func(descriptor int) {
		_ = unix.SetsockoptInt(descriptor, unix.SOL_SOCKET, unix.SO_RCVBUF, receive)
		_ = unix.Listen(descriptor, backlog) // changes the backlog of a socket that listens already
	})
}

// withDescriptor calls f with the descriptor of a connection or listener. It does nothing for those that are not sockets.
func withDescriptor(socket any, f func(descriptor int)) {
	conn, ok := socket.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := conn.SyscallConn(); err == nil {
		_ = raw.Control(func(descriptor uintptr) { f(int(descriptor)) })
	}
}

// dialReceiveBytes is the size of the kernel's buffer for what a server sends before this process reads it, in bytes.
const dialReceiveBytes = 32 << 10

// LimitReceive is a Control of a net.Dialer that limits what the kernel holds of a server's answer while a slow client keeps this
// process from reading it.
func LimitReceive(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_RCVBUF, dialReceiveBytes)
	})
}

// LimitUnsent makes the kernel take little of an answer before the peer reads, whatever the size of its send buffer: unlike a small
// buffer, this does not limit what is on its way to a peer that reads.
func LimitUnsent(conn net.Conn) {
	withDescriptor(conn, func(descriptor int) {
		_ = unix.SetsockoptInt(descriptor, unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, unsentBytes)
	})
}

// quotaListener accepts connections that count against a Quota.
type quotaListener struct {
	net.Listener
	quota *Quota
	port  *Port
}

// Accept returns the next connection for which there is room. It answers and closes the others.
func (l *quotaListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.quota.accept(conn, l.port); c != nil {
			LimitUnsent(conn)
			return c, nil
		}
		_ = conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
		_, _ = conn.Write([]byte(refusalText)) // a peer that has sent much already sees a reset instead
		_ = conn.Close()
	}
}

// connectionKey is the key of a request's *connection in its context.
type connectionKey struct{}

func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// connectionOf returns the connection of a request, or nil if its server has no quota.
func connectionOf(ctx context.Context) *connection {
	c, _ := ctx.Value(connectionKey{}).(*connection)
	return c
}

// trackState moves a connection into the phase that corresponds to its state.
func trackState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*connection)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.setPhase(phaseReading)
	case http.StateIdle:
		c.setPhase(phaseIdle)
	case http.StateNew, http.StateHijacked, http.StateClosed:
	}
}

// trackRequests returns a handler that marks a connection as served while a request without a body is handled. ReadBody does so
// for requests with a body.
func trackRequests(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connectionOf(r.Context())
		if c != nil && r.ContentLength == 0 {
			c.setPhase(phaseServing)
		}
		handler.ServeHTTP(w, r)
		if c != nil {
			c.setPhase(phaseReading) // until the peer has read the answer
		}
	})
}
