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
	"sedgevale/internal/dispatchconfig"
	"sedgevale/internal/dispatchdriver"
	"sedgevale/internal/http1"
	"sedgevale/internal/httpd"
	"sedgevale/internal/pool"
	"sedgevale/internal/route"
)

// frontendHandler is the httpd.Handler and httpd.BodyOverflowHandler of a frontend.
type frontendHandler struct {
	proxy *Proxy
	name  string
}

// proxyRequest is a client's request until its response has ended. Each attempt on a server has its own
// dispatchdriver.Exchange. The responder writes to the client.
//
// Lock order: backend.mu is acquired before proxyRequest.mu.
type proxyRequest struct {
	proxy         *Proxy
	backend       *backend
	parsed        route.Request
	head          *http1.Head
	body          []byte // the complete body, or its beginning if transfer is set
	responder     responder
	transfer      *transfer      // streams the rest of the body; nil if body is complete
	upgrade       string         // requested protocol of the Upgrade field; "" for none
	responseRules []*route.Rules // rules that edit the response, the backend's before the frontend's
	forwardFor    bool           // whether to add X-Forwarded-For

	// mu guards the fields below.
	mu          sync.Mutex
	hint        pool.Hint
	attempts    int
	server      string // name of the server on which the request holds a connection slot; "" for none
	serverIndex int    // pool index of the server of the last attempt
	exchange    *dispatchdriver.Exchange
	cause       string // cause of the last failure, as named in retry_on
	sent        bool   // whether the request has been written to the server
	responding  bool   // whether a response head is being forwarded to the client
	finished    bool   // whether the request has ended and its connection slot is released
}

// responder writes a response to a client. Its methods may be called from any goroutine, but not concurrently.
type responder interface {
	// reply sends a complete response that the proxy generated. If last is set, the connection is closed after it.
	reply(status int, fields []http1.Field, body []byte, last bool)
	// deliver forwards a part of a server's response.
	deliver(part *responsePart)
	// abort closes the connection before the response is complete.
	abort()
}

// responsePart is a part of a server's response: any of its head, body bytes and end.
type responsePart struct {
	head    *http1.Head // nil if already delivered
	parts   [][]byte    // consecutive parts of the body
	size    int         // total size of parts in bytes
	end     bool
	trailer []http1.Field // trailer fields, set only with end
}

// Serve handles a request whose body is complete.
func (h *frontendHandler) Serve(c *httpd.Conn, q *httpd.Request) {
	upgrade := requestedUpgrade(q.Head)
	r := &proxyRequest{proxy: h.proxy, head: q.Head, body: q.Body, upgrade: upgrade}
	lr := &loopResponder{conn: c, request: r}
	r.responder = lr
	c.State = r
	r.route(h.name, c.RemoteAddr().String(), portOf(c.LocalAddr()))
}

// Disconnected cancels the request of a client that has disconnected.
func (h *frontendHandler) Disconnected(c *httpd.Conn) {
	if r, ok := c.State.(*proxyRequest); ok {
		r.clientDisconnected()
	}
}

// Overflow handles a request whose body is too long for the event loop.
func (h *frontendHandler) Overflow(q *httpd.Request, conn *httpd.Detached) {
	r := &proxyRequest{proxy: h.proxy, head: q.Head, body: q.Body}
	r.transfer = newTransfer(r, conn)
	r.responder = r.transfer
	go r.transfer.run(func() { r.route(h.name, conn.RemoteAddr().String(), portOf(conn.LocalAddr())) })
}

// route applies the rules, selects the backend and starts the first attempt.
func (r *proxyRequest) route(frontend, client string, port int) {
	active := r.proxy.active.Load()
	f := active.frontends[frontend]
	if f == nil { // a reload removed the frontend, but its listener stays open until a restart
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
		r.hint.Cookie = r.extractCookie(cookie.Name, cookie.Indirect)
	}
	r.assignServer()
}

// parse fills r.parsed, the form of the request on which rules are evaluated.
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

// extractCookie returns the value of the persistence cookie and, if hide is set, removes the cookie from the request.
func (r *proxyRequest) extractCookie(name string, hide bool) (value string) {
	fields := slices.Clone(r.parsed.Fields)
	for i := 0; i < len(fields); i++ {
		if !strings.EqualFold(fields[i].Name, "Cookie") {
			continue
		}
		var kept []string
		for part := range strings.SplitSeq(fields[i].Value, ";") {
			n, v, ok := strings.Cut(strings.TrimSpace(part), "=")
			if ok && n == name {
				value = v
				if hide {
					continue
				}
			}
			kept = append(kept, strings.TrimSpace(part))
		}
		if fields[i].Value = strings.Join(kept, "; "); fields[i].Value == "" {
			fields = slices.Delete(fields, i, i+1)
			i--
		}
	}
	if hide && value != "" {
		r.parsed.Fields = fields
	}
	return value
}

// replyByRule sends the response that a rule generated.
func (r *proxyRequest) replyByRule(a *route.Answer) {
	r.finish()
	r.responder.reply(a.Status, a.Fields, a.Body, false)
}

// replyUnavailable sends a 503 response whose body is the reason, with Retry-After if the backend configures one.
// b is nil if no backend was selected.
func (r *proxyRequest) replyUnavailable(b *backend, reason string) {
	var fields []http1.Field
	if b != nil {
		if after := b.retryAfter(); after != "" {
			fields = []http1.Field{{Name: "Retry-After", Value: after}}
		}
	}
	r.finish()
	r.responder.reply(503, append(fields, http1.Field{Name: "Content-Type", Value: "text/plain"}), []byte(reason+"\n"), false)
}

// finish marks the request as finished and releases its connection slot. It reports whether this call finished it.
func (r *proxyRequest) finish() bool {
	r.mu.Lock()
	alreadyFinished, server := r.finished, r.server
	r.finished, r.server = true, ""
	r.mu.Unlock()
	if server != "" {
		r.backend.release(server)
	}
	return !alreadyFinished
}

func (r *proxyRequest) isFinished() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.finished
}

// clientDisconnected cancels the request after its client has disconnected.
func (r *proxyRequest) clientDisconnected() {
	r.mu.Lock()
	x, queued := r.exchange, r.server == "" && !r.finished
	r.mu.Unlock()
	if r.backend != nil && queued {
		r.backend.dequeue(r)
	}
	if r.finish() && x != nil {
		r.proxy.planners.ClientDisconnected(x)
		r.proxy.transport.cancelRequest(r)
	}
}

// assignServer asks the pool for a server and submits the request unless the pool queued it.
func (r *proxyRequest) assignServer() {
	i, v := r.backend.pickServer(r)
	switch v {
	case pool.Assigned:
		r.submit(i)
	case pool.Unavailable:
		r.replyNoServer()
	}
}

// replyNoServer replies that no server is available.
func (r *proxyRequest) replyNoServer() {
	if r.isFinished() {
		return
	}
	r.replyUnavailable(r.backend, "no server is free or serves at present")
}

// idempotent reports whether a method is idempotent (RFC 9110, section 9.2.2).
func idempotent(method string) bool {
	switch method {
	case "GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE":
		return true
	}
	return false
}

// maxTransferTime limits the time until the response head of a request whose body is streamed.
const maxTransferTime = 6 * time.Hour

// submit submits the request to the planner for the server with pool index i, on which it already holds a connection slot.
func (r *proxyRequest) submit(i int) {
	b := r.backend
	b.mu.Lock()
	if i >= len(b.spec.Servers) { // a reload has removed the server since it was picked
		b.mu.Unlock()
		r.replyNoServer()
		return
	}
	class, name := b.nonIdempotentClasses[i], b.spec.Servers[i].Name
	if idempotent(r.parsed.Method) && r.transfer == nil && r.upgrade == "" {
		class = b.idempotentClasses[i]
	}
	b.mu.Unlock()
	r.mu.Lock()
	if r.finished { // the client disconnected while the request was queued
		r.mu.Unlock()
		b.release(name)
		return
	}
	r.attempts++
	r.server, r.serverIndex, r.cause, r.sent = name, i, "", false
	now := r.proxy.opt.Clock.Now()
	limit := class.ClientTimeout
	if r.transfer != nil { // the upload takes as long as the client needs; the transfer enforces its own timeouts
		limit = maxTransferTime
	}
	r.exchange = dispatchdriver.NewExchange(dispatchdriver.Job{ID: r.proxy.requestID(), Class: class, Tenant: -1, Slots: 1, Payload: r}, now+limit, &exchangeClient{r})
	x := r.exchange
	r.mu.Unlock()
	r.proxy.planners.SubmitRequest(x)
}

// exchangeClient implements dispatchdriver.Client for a proxyRequest.
type exchangeClient struct{ request *proxyRequest }

func (*exchangeClient) Started()         {}
func (*exchangeClient) Progress(float64) {}

// Respond is called on the planner's goroutine with the outcome of an attempt. Served means that a response head has
// arrived, which the transport or the transfer forwards. Rejected means that the request has not run or is safe to
// retry, so that it may be sent to another server.
func (s *exchangeClient) Respond(a dispatchdriver.Response) {
	r := s.request
	if a.Kind == dispatchdriver.Served {
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
	if cause == "" && sent { // the planner ended the attempt before the transport recorded a cause
		cause = "response-timeout"
	}
	retry := a.Kind == dispatchdriver.Rejected && r.mayRetry(cause)
	if cause == "conn-failure" && server != "" {
		r.backend.recordConnectFailure(server)
	}
	if retry {
		r.mu.Lock()
		r.hint.Tried = append(r.hint.Tried, r.serverIndex)
		r.mu.Unlock()
		r.assignServer()
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

// mayRetry reports whether the request may be sent to another server after a failure with the given cause.
func (r *proxyRequest) mayRetry(cause string) bool {
	r.mu.Lock()
	attempts := r.attempts
	r.mu.Unlock()
	b := r.backend
	b.mu.Lock()
	defer b.mu.Unlock()
	return cause != "" && b.spec.RetriesOn(cause) && attempts < b.spec.Attempts() && (r.transfer == nil || !r.transfer.hasSentBody())
}

// replyFailure reports the failure of the last attempt to the client.
func (r *proxyRequest) replyFailure(status int, reason string) {
	r.finish()
	r.responder.reply(status, []http1.Field{{Name: "Content-Type", Value: "text/plain"}}, []byte(reason+"\n"), true)
}

// retryCauses maps the outcomes of attempts to the causes named in retry_on.
var retryCauses = map[dispatcher.Outcome]string{dispatcher.ConnectFailed: "conn-failure", dispatcher.NotSent: "conn-failure",
	dispatcher.Rejected: "conn-failure", dispatcher.ConnectionLost: "empty-response", dispatcher.TimedOut: "response-timeout",
	dispatcher.Errored: "junk-response"}

// recordCause records why an attempt failed. It must be called before the outcome is reported to the planner.
func (r *proxyRequest) recordCause(cause string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cause = cause
}

// recordSent records that the request is being written to a server.
func (r *proxyRequest) recordSent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent = true
}

// mayRetryStatus reports whether a response with the given status is to be discarded and the request
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

// beginResponse records that a response head has arrived and reports whether the client is still
// waiting for it.
func (r *proxyRequest) beginResponse() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.finished {
		return false
	}
	r.responding = true
	return true
}

// prepareResponse applies the response rules to the head of a server's response and adds the persistence cookie. If a
// rule replaces the whole response, only replacement is set.
func (r *proxyRequest) prepareResponse(h *http1.Head) (status int, fields []http1.Field, framing httpd.Framing, replacement *route.Answer) {
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
	index := r.serverIndex
	r.mu.Unlock()
	if c == nil || !c.Insert || index >= len(b.spec.Servers) || b.spec.Servers[index].Cookie == "" || r.hint.Cookie == b.spec.Servers[index].Cookie {
		return status, fields, framing, nil
	}
	fields = append(slices.Clip(fields), http1.Field{Name: "Set-Cookie", Value: persistenceCookie(c, b.spec.Servers[index].Cookie)})
	if c.NoCache {
		fields = append(fields, http1.Field{Name: "Cache-Control", Value: "private"})
	}
	return status, fields, framing, nil
}

// persistenceCookie returns the Set-Cookie value that assigns a client to a server.
func persistenceCookie(c *dispatchconfig.WebCookie, server string) string {
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

// appendWire appends the request as it is sent to a server: the head and the buffered part of the body. length is as in
// appendRequestHead.
func (r *proxyRequest) appendWire(b []byte, length int64) []byte {
	b = appendRequestHead(b, r.parsed.Method, r.parsed.Target, r.parsed.Fields, length, ipAddr(r.parsed.Src), r.forwardFor, r.upgrade)
	return append(b, r.body...)
}

// bodyLength returns the length of a complete body in bytes, or -2 if the request has no body.
func (r *proxyRequest) bodyLength() int64 {
	if len(r.body) == 0 && r.head.Length < 0 && !r.head.Chunked {
		return -2
	}
	return int64(len(r.body))
}

// ipAddr implements net.Addr for an IP address, with port 0.
type ipAddr netip.Addr

func (ipAddr) Network() string  { return "tcp" }
func (a ipAddr) String() string { return netip.AddrPortFrom(netip.Addr(a), 0).String() }
