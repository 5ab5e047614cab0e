package reverseproxy

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"sedgevale/dispatcher"
	"sedgevale/internal/dispatch"
	"sedgevale/internal/dispatchconfig"
	"sedgevale/internal/http1"
	"sedgevale/internal/httpd"
	"sedgevale/internal/pool"
	"sedgevale/internal/route"
)

// frontendHandler is a frontend's httpd.Handler.
type frontendHandler struct {
	proxy *Proxy
	name  string
}

// proxyRequest is one request, from its head to the end of its response. It has an Exchange for
// each server that is tried. Its responder writes to the client.
//
// Where its lock and a backend's are both held, the backend's is taken first.
type proxyRequest struct {
	proxy         *Proxy
	backend       *backend
	parsed        route.Request
	head          *http1.Head
	body          []byte // complete, or with a transfer the beginning
	responder     responder
	transfer      *transfer      // nil: body is complete
	upgrade       string         // the protocol that Upgrade asks for; "": none
	responseRules []*route.Rules // those that edit responses, the backend's first
	forwardFor    bool           // X-Forwarded-For is added

	// mu guards the fields below.
	mu         sync.Mutex
	hint       pool.Hint
	attempts   int
	server     string // the one whose capacity it holds; "": none
	member     int    // of the pool, for the last attempt
	exchange   *dispatch.Exchange
	cause      string // of the last failure, as retry_on names it
	sent       bool   // it has been written to the server
	responding bool   // the head of a response has gone to the client
	finished   bool   // its capacity is given back; nothing more goes to the client
}

// responder writes a response to a client. Its methods may be called from any goroutine, one after the other.
type responder interface {
	// reply gives a complete response of our own. With last the connection ends behind it.
	reply(status int, fields []http1.Field, body []byte, last bool)
	// deliver passes on a part of a server's response.
	deliver(part *responsePart)
	// abort ends the connection within a server's response.
	abort()
}

// responsePart is a part of a server's response: its head, bytes of its body, its end.
type responsePart struct {
	head    *http1.Head // nil: has been delivered
	parts   [][]byte
	size    int // of the parts together, in bytes
	end     bool
	trailer []http1.Field // with end
}

// Serve is called with each request whose body is here.
func (h *frontendHandler) Serve(c *httpd.Conn, q *httpd.Request) {
	up := requestedUpgrade(q.Head)
	r := &proxyRequest{proxy: h.proxy, head: q.Head, body: q.Body, upgrade: up}
	lr := &loopResponder{conn: c, request: r}
	r.responder = lr
	c.State = r
	r.route(h.name, c.Remote().String(), portOf(c.Local()))
}

// Disconnected is called when the client has disconnected.
func (h *frontendHandler) Disconnected(c *httpd.Conn) {
	if r, ok := c.State.(*proxyRequest); ok {
		r.clientDisconnected()
	}
}

// Overflow is called with a request whose body is too long for the event loop.
func (h *frontendHandler) Overflow(q *httpd.Request, conn *httpd.Detached) {
	r := &proxyRequest{proxy: h.proxy, head: q.Head, body: q.Body}
	r.transfer = newTransfer(r, conn)
	r.responder = r.transfer
	go r.transfer.run(func() { r.route(h.name, conn.RemoteAddr().String(), portOf(conn.LocalAddr())) })
}

// route applies the rules, selects the backend and begins the first attempt.
func (r *proxyRequest) route(front, client string, port int) {
	active := r.proxy.active.Load()
	f := active.frontends[front]
	if f == nil { // removed by a reload; its address is still listened on
		r.replyUnavailable(nil, "this address serves nothing any more")
		return
	}
	r.parse(client, port)
	if a := f.rules.ApplyRequest(&r.parsed); a != nil {
		r.replyByRule(a)
		return
	}
	name, _ := f.rules.SelectBackend(&r.parsed, func(name string) bool { return active.backends[name] != nil })
	b := active.backends[name]
	if b == nil {
		r.replyUnavailable(nil, "no backend serves this request")
		return
	}
	r.backend = b
	b.mu.Lock()
	rules, hash, cookie := b.rules, b.hash, b.spec.Cookie
	r.forwardFor = f.spec.ForwardFor || b.spec.ForwardFor
	b.mu.Unlock()
	if a := rules.ApplyRequest(&r.parsed); a != nil {
		r.replyByRule(a)
		return
	}
	for _, compiled := range []*route.Rules{rules, f.rules} {
		if compiled.EditsResponse() {
			r.responseRules = append(r.responseRules, compiled)
		}
	}
	r.hint.Rand = r.parsed.Rand
	if hash != nil {
		r.hint.Key = hash.Expand(&r.parsed)
	}
	if cookie != nil {
		r.hint.Cookie = r.takeCookie(cookie.Name, cookie.Indirect)
	}
	r.pickServer()
}

// parse makes of the request's head what rules are evaluated on.
func (r *proxyRequest) parse(client string, port int) {
	version := "1.1"
	if r.head.HTTP10 {
		version = "1.0"
	}
	r.parsed = route.Request{Method: r.head.Method, Target: r.head.Target, Version: version, Fields: r.head.Fields, DstPort: port,
		Rand: rand.Uint64(), ServingServers: r.proxy.servingServers}
	if a, err := netip.ParseAddrPort(client); err == nil {
		r.parsed.Src = a.Addr().Unmap()
	}
}

// takeCookie returns the value of the persistence cookie, and removes the cookie from the request if hide is set.
func (r *proxyRequest) takeCookie(name string, hide bool) (value string) {
	fields := slices.Clone(r.parsed.Fields)
	for i := 0; i < len(fields); i++ {
		if !strings.EqualFold(fields[i].Name, "Cookie") {
			continue
		}
		var rest []string
		for part := range strings.SplitSeq(fields[i].Value, ";") {
			n, v, ok := strings.Cut(strings.TrimSpace(part), "=")
			if ok && n == name {
				value = v
				if hide {
					continue
				}
			}
			rest = append(rest, strings.TrimSpace(part))
		}
		if fields[i].Value = strings.Join(rest, "; "); fields[i].Value == "" {
			fields = slices.Delete(fields, i, i+1)
			i--
		}
	}
	if hide && value != "" {
		r.parsed.Fields = fields
	}
	return value
}

// replyByRule replies with the response of a rule.
func (r *proxyRequest) replyByRule(a *route.Answer) {
	r.finish()
	r.responder.reply(a.Status, a.Fields, a.Body, false)
}

// replyUnavailable replies with 503, for a reason in words, and with Retry-After if the backend has one.
func (r *proxyRequest) replyUnavailable(b *backend, why string) {
	var fields []http1.Field
	if b != nil {
		if after := b.retryAfter(); after != "" {
			fields = []http1.Field{{Name: "Retry-After", Value: after}}
		}
	}
	r.finish()
	r.responder.reply(503, append(fields, http1.Field{Name: "Content-Type", Value: "text/plain"}), []byte(why+"\n"), false)
}

// finish ends the request, once, and gives its capacity back. It reports whether this was the end.
func (r *proxyRequest) finish() bool {
	r.mu.Lock()
	was, server := r.finished, r.server
	r.finished, r.server = true, ""
	r.mu.Unlock()
	if server != "" {
		r.backend.release(server)
	}
	return !was
}

func (r *proxyRequest) isFinished() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.finished
}

// clientDisconnected ends the request, whose client has disconnected.
func (r *proxyRequest) clientDisconnected() {
	r.mu.Lock()
	x, waits := r.exchange, r.server == "" && !r.finished
	r.mu.Unlock()
	if r.backend != nil && waits {
		r.backend.leaveQueue(r)
	}
	if r.finish() && x != nil {
		r.proxy.planners.ClientDisconnected(x)
		r.proxy.transport.cancelRequest(r)
	}
}

// pickServer asks the pool for a server, and submits the request unless it has to wait.
func (r *proxyRequest) pickServer() {
	i, v := r.backend.pickServer(r)
	switch v {
	case pool.Assigned:
		r.submit(i)
	case pool.Unavailable:
		r.noServer()
	}
}

// noServer replies that no server takes the request.
func (r *proxyRequest) noServer() {
	if r.isFinished() {
		return
	}
	r.replyUnavailable(r.backend, "no server is free or serves at present")
}

// idempotent reports whether a method may be carried out twice (RFC 9110, section 9.2.2).
func idempotent(method string) bool {
	switch method {
	case "GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE":
		return true
	}
	return false
}

// maxTransferTime is how long a request with a long body may take until the head of its response.
const maxTransferTime = 6 * time.Hour

// submit hands the request to the planner, for a server whose capacity is taken.
func (r *proxyRequest) submit(i int) {
	b := r.backend
	b.mu.Lock()
	if i >= len(b.spec.Servers) { // the configuration was reloaded meanwhile
		b.mu.Unlock()
		r.noServer()
		return
	}
	class, name := b.unsafeClasses[i], b.spec.Servers[i].Name
	if idempotent(r.parsed.Method) && r.transfer == nil && r.upgrade == "" {
		class = b.safeClasses[i]
	}
	b.mu.Unlock()
	r.mu.Lock()
	if r.finished { // the client disconnected while the request was queued
		r.mu.Unlock()
		b.release(name)
		return
	}
	r.attempts++
	r.server, r.member, r.cause, r.sent = name, i, "", false
	now := r.proxy.opt.Clock.Now()
	limit := class.ClientTimeout
	if r.transfer != nil { // its body takes as long as the client does; the transfer keeps the time-outs
		limit = maxTransferTime
	}
	r.exchange = dispatch.NewExchange(dispatch.Job{ID: r.proxy.requestID(), Class: class, Tenant: -1, Slots: 1, Payload: r}, now+limit, &exchangeClient{r})
	x := r.exchange
	r.mu.Unlock()
	r.proxy.planners.SubmitRequest(x)
}

// exchangeClient is the client side of an Exchange.
type exchangeClient struct{ request *proxyRequest }

func (*exchangeClient) Started()         {}
func (*exchangeClient) Progress(float64) {}

// Answer comes from the planner's goroutine. Served means that the head of a response has
// arrived, which the transport forwards by itself. A rejection means that the request has not run or may be run again, so that
// it may go to another server.
func (s *exchangeClient) Answer(a dispatch.Answer) {
	r := s.request
	if a.Kind == dispatch.Served {
		return
	}
	r.mu.Lock()
	cause, server, finished, responding, sent := r.cause, r.server, r.finished, r.responding, r.sent
	if !finished {
		r.server = ""
	}
	r.mu.Unlock()
	if finished {
		return
	}
	if server != "" {
		r.backend.release(server)
	}
	if responding {
		r.finish()
		r.responder.abort()
		return
	}
	if cause == "" && sent { // the planner has learned of the attempt's end before the transport
		cause = "response-timeout"
	}
	again := a.Kind == dispatch.Rejected && r.mayRetry(cause)
	if cause == "conn-failure" && server != "" {
		r.backend.recordConnectFailure(server)
	}
	if again {
		r.mu.Lock()
		r.hint.Tried = append(r.hint.Tried, r.member)
		r.mu.Unlock()
		r.pickServer()
		return
	}
	switch cause {
	case "conn-failure", "":
		r.replyUnavailable(r.backend, "no server took the request")
	case "response-timeout":
		r.replyFailure(504, "the server did not answer in time")
	default:
		r.replyFailure(502, "the server's answer broke off or was malformed")
	}
}

// mayRetry reports whether the request may go to another server after a failure of that cause.
func (r *proxyRequest) mayRetry(cause string) bool {
	r.mu.Lock()
	attempts := r.attempts
	r.mu.Unlock()
	b := r.backend
	b.mu.Lock()
	defer b.mu.Unlock()
	return cause != "" && b.spec.RetriesOn(cause) && attempts < b.spec.Attempts() && (r.transfer == nil || !r.transfer.hasSentBody())
}

// replyFailure replies that an attempt has failed and none follows.
func (r *proxyRequest) replyFailure(status int, why string) {
	r.finish()
	r.responder.reply(status, []http1.Field{{Name: "Content-Type", Value: "text/plain"}}, []byte(why+"\n"), true)
}

// retryCauses are outcomes of attempts as retry_on names them.
var retryCauses = map[dispatcher.Outcome]string{dispatcher.ConnectFailed: "conn-failure", dispatcher.NotSent: "conn-failure",
	dispatcher.Rejected: "conn-failure", dispatcher.ConnectionLost: "empty-response", dispatcher.TimedOut: "response-timeout",
	dispatcher.Errored: "junk-response"}

// recordCause notes why an attempt ends. It is called before that is reported to the planner.
func (r *proxyRequest) recordCause(cause string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cause = cause
}

// recordSent notes that the request is written to a server.
func (r *proxyRequest) recordSent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent = true
}

// mayRetryStatus reports whether a response of that status is to be dropped and the request
// sent to another server.
func (r *proxyRequest) mayRetryStatus(status int) bool {
	if status < 500 || status > 504 || r.transfer != nil {
		return false
	}
	b := r.backend
	b.mu.Lock()
	defer b.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.attempts < b.spec.Attempts() && len(b.spec.RetryOn) > 0 && b.spec.RetriesOn(strconv.Itoa(status)) && idempotent(r.parsed.Method)
}

// beginResponse notes that the head of a response has arrived, and reports whether the client still
// waits for it.
func (r *proxyRequest) beginResponse() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.finished {
		return false
	}
	r.responding = true
	return true
}

// respond edits the head of a server's response and returns what goes to the client. Own is a
// response that a rule makes in its place.
func (r *proxyRequest) respond(h *http1.Head) (status int, fields []http1.Field, framing httpd.Framing, own *route.Answer) {
	fields, framing = responseFields(h, r.head.Method == "HEAD", r.head.HTTP10)
	status = h.Status
	if len(r.responseRules) > 0 {
		r.parsed.Status, r.parsed.Response = status, fields
		for _, compiled := range r.responseRules {
			if a := compiled.ApplyResponse(&r.parsed); a != nil {
				return 0, nil, 0, a
			}
		}
		status, fields = r.parsed.Status, r.parsed.Response
	}
	b := r.backend
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.spec.Cookie
	r.mu.Lock()
	member := r.member
	r.mu.Unlock()
	if c == nil || !c.Insert || member >= len(b.spec.Servers) || b.spec.Servers[member].Cookie == "" || r.hint.Cookie == b.spec.Servers[member].Cookie {
		return status, fields, framing, nil
	}
	fields = append(slices.Clip(fields), http1.Field{Name: "Set-Cookie", Value: setCookie(c, b.spec.Servers[member].Cookie)})
	if c.NoCache {
		fields = append(fields, http1.Field{Name: "Cache-Control", Value: "private"})
	}
	return status, fields, framing, nil
}

// setCookie returns the value of Set-Cookie that ties a client to a server.
func setCookie(c *dispatchconfig.WebCookie, server string) string {
	value := c.Name + "=" + server + "; path=/"
	if c.Domain != "" {
		value += "; domain=" + c.Domain
	}
	if c.HTTPOnly {
		value += "; HttpOnly"
	}
	if c.Secure {
		value += "; Secure"
	}
	return value
}

// appendWire appends the bytes of the request to a server, with what of its body is here. Length is
// that of appendRequestHead.
func (r *proxyRequest) appendWire(b []byte, length int64) []byte {
	b = appendRequestHead(b, r.parsed.Method, r.parsed.Target, r.parsed.Fields, length, addrOf(r.parsed.Src), r.forwardFor, r.upgrade)
	return append(b, r.body...)
}

// bodyLength returns the length of a complete body in bytes, -2 if there is none.
func (r *proxyRequest) bodyLength() int64 {
	if len(r.body) == 0 && r.head.Length < 0 && !r.head.Chunked {
		return -2
	}
	return int64(len(r.body))
}

// addrOf is an address as a net.Addr, with port 0.
type addrOf netip.Addr

func (addrOf) Network() string  { return "tcp" }
func (a addrOf) String() string { return netip.AddrPortFrom(netip.Addr(a), 0).String() }
