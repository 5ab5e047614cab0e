package reverseproxy

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"sedgevale"
	"sedgevale/internal/dispatch"
	"sedgevale/internal/dispatchconfig"
	"sedgevale/internal/http1"
	"sedgevale/internal/httpd"
	"sedgevale/internal/pool"
	"sedgevale/internal/route"
)

// door is a frontend's httpd.Handler.
type door struct {
	site *Site
	name string
}

// call is one request, from its head to the end of its answer. It is the client side of
// its Exchanges, one for each server that is tried. What it does towards the client is
// done by its out.
type call struct {
	site    *Site
	back    *backend
	q       route.Request
	head    *http1.Head
	body    []byte // whole, or for a pump the beginning
	out     out
	pump    *pump // nil: the body is here whole
	upgrade string
	edits   []*route.Rules // whose rules on responses count, the backend's first
	forward bool

	mu     sync.Mutex
	hint   pool.Hint
	tries  int
	server string // has it now; "": none
	member int
	x      *dispatch.Exchange
	cause  string // of the last failure, as retry_on names it
	flying bool   // it is out at the server
	begun  bool   // the head of an answer has gone to the client
	over   bool
}

// out is the way to a client. Its methods may be called from anywhere and in their order.
type out interface {
	// answer gives a whole answer.
	answer(status int, fields []http1.Field, body []byte, last bool)
	// deliver passes on a part of a server's answer.
	deliver(d *delivery)
	// broken tells that a server's answer breaks off.
	broken()
}

// delivery is a part of a server's answer: its head, bytes of its body, its end.
type delivery struct {
	head    *http1.Head
	parts   [][]byte
	size    int
	end     bool
	trailer []http1.Field
}

// Serve is called with each request whose body is here.
func (d *door) Serve(c *httpd.Conn, q *httpd.Request) {
	up := upgradeOf(q.Head)
	k := &call{site: d.site, head: q.Head, body: q.Body, upgrade: up}
	w := &loopOut{c: c, call: k}
	k.out = w
	c.State = k
	k.route(d.name, c.Remote().String(), portOf(c.Local()))
}

// Gone is called when the client has left.
func (d *door) Gone(c *httpd.Conn) {
	if k, ok := c.State.(*call); ok {
		k.gone()
	}
}

// Overflow is called with a request whose body is too long for the event loop.
func (d *door) Overflow(q *httpd.Request, conn *httpd.Detached) {
	k := &call{site: d.site, head: q.Head, body: q.Body}
	k.pump = newPump(k, conn)
	k.out = k.pump
	go k.pump.run(func() { k.route(d.name, conn.RemoteAddr().String(), portOf(conn.LocalAddr())) })
}

// route finds out where a request goes, and begins.
func (k *call) route(front, client string, port int) {
	t := k.site.tables.Load()
	f := t.frontends[front]
	if f == nil { // gone with new settings; its address is still listened on
		k.refuse(nil, "this address serves nothing any more")
		return
	}
	k.parse(client, port)
	if a := f.rules.Request(&k.q); a != nil {
		k.own(a)
		return
	}
	name, _ := f.rules.Backend(&k.q, func(name string) bool { return t.backends[name] != nil })
	b := t.backends[name]
	if b == nil {
		k.refuse(nil, "no backend serves this request")
		return
	}
	k.back = b
	b.mu.Lock()
	rules, hash, cookie := b.rules, b.hash, b.spec.Cookie
	k.forward = f.spec.ForwardFor || b.spec.ForwardFor
	b.mu.Unlock()
	if a := rules.Request(&k.q); a != nil {
		k.own(a)
		return
	}
	for _, r := range []*route.Rules{rules, f.rules} {
		if r.EditsResponse() {
			k.edits = append(k.edits, r)
		}
	}
	k.hint.Rand = k.q.Rand
	if hash != nil {
		k.hint.Key = hash.Of(&k.q)
	}
	if cookie != nil {
		k.hint.Cookie = k.takeCookie(cookie.Name, cookie.Indirect)
	}
	k.try()
}

// parse makes of the request's head what rules can ask of.
func (k *call) parse(client string, port int) {
	version := "1.1"
	if k.head.Old {
		version = "1.0"
	}
	k.q = route.Request{Method: k.head.Method, Target: k.head.Target, Version: version, Fields: k.head.Fields, DstPort: port,
		Rand: rand.Uint64(), Alive: k.site.alive}
	if a, err := netip.ParseAddrPort(client); err == nil {
		k.q.Src = a.Addr().Unmap()
	}
}

// takeCookie returns the value of the cookie that ties clients to servers, and takes it
// out of the request where servers are not to see it.
func (k *call) takeCookie(name string, hide bool) (value string) {
	fields := slices.Clone(k.q.Fields)
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
		k.q.Fields = fields
	}
	return value
}

// own gives an answer that a rule has made.
func (k *call) own(a *route.Answer) {
	k.finish()
	k.out.answer(a.Status, a.Fields, a.Body, false)
}

// refuse answers that nobody serves the request.
func (k *call) refuse(b *backend, why string) {
	var fields []http1.Field
	if b != nil {
		if after := b.retryAfter(); after != "" {
			fields = []http1.Field{{Name: "Retry-After", Value: after}}
		}
	}
	k.finish()
	k.out.answer(503, append(fields, http1.Field{Name: "Content-Type", Value: "text/plain"}), []byte(why+"\n"), false)
}

// finish ends the call, once, and reports whether this was the end.
func (k *call) finish() bool {
	k.mu.Lock()
	was, server := k.over, k.server
	k.over, k.server = true, ""
	k.mu.Unlock()
	if server != "" {
		k.back.end(server)
	}
	return !was
}

// gone is told when the client has left.
func (k *call) gone() {
	k.mu.Lock()
	x, waits := k.x, k.server == "" && !k.over
	k.mu.Unlock()
	if k.back != nil && waits {
		k.back.leave(k)
	}
	if k.finish() && x != nil {
		k.site.planners.Gone(x)
		k.site.relay.cancel(k)
	}
}

// try asks the pool for a server.
func (k *call) try() {
	i, v := k.back.pick(k)
	switch v {
	case pool.Go:
		k.start(i)
	case pool.Nobody:
		k.nobody()
	}
}

func (k *call) nobody() {
	k.mu.Lock()
	over := k.over
	k.mu.Unlock()
	if over {
		return
	}
	k.refuse(k.back, "no server is free or serves at present")
}

// idempotent reports whether a method may be carried out twice (RFC 9110, section 9.2.2).
func idempotent(method string) bool {
	switch method {
	case "GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE":
		return true
	}
	return false
}

// pumpMost is how long a request may take whose body is long, until the head of its answer.
const pumpMost = 6 * time.Hour

// start hands the request to the planner, for a server whose room is taken.
func (k *call) start(i int) {
	b := k.back
	b.mu.Lock()
	if i >= len(b.spec.Servers) { // new settings came between
		b.mu.Unlock()
		k.nobody()
		return
	}
	class, name := b.unsafe[i], b.spec.Servers[i].Name
	if idempotent(k.q.Method) && k.pump == nil && k.upgrade == "" {
		class = b.safe[i]
	}
	b.mu.Unlock()
	k.mu.Lock()
	if k.over { // the client left as it waited
		k.mu.Unlock()
		b.end(name)
		return
	}
	k.tries++
	k.server, k.member, k.cause, k.flying = name, i, "", false
	now := k.site.opt.Clock.Now()
	limit := class.Limit
	if k.pump != nil { // its body takes as long as the client does; the pump keeps the times
		limit = pumpMost
	}
	k.x = dispatch.NewExchange(dispatch.Job{ID: k.site.requestID(), Class: class, Tenant: -1, Slots: 1, Load: k}, now+limit, &side{k})
	x := k.x
	k.mu.Unlock()
	k.site.planners.Request(x)
}

// side is the client side of an exchange.
type side struct{ k *call }

func (*side) Started()         {}
func (*side) Progress(float64) {}

// Answer comes from the planner's goroutine. Served means that the head of an answer has
// come, which the relay passes on by itself. After a refusal the request may go to another
// server: the module says by it that nothing of it can have run, or may run again.
func (s *side) Answer(a dispatch.Answer) {
	k := s.k
	if a.Kind == dispatch.Served {
		return
	}
	k.mu.Lock()
	cause, server, over, begun, sent := k.cause, k.server, k.over, k.begun, k.flying
	if !over {
		k.server = ""
	}
	k.mu.Unlock()
	if over {
		return
	}
	if server != "" {
		k.back.end(server)
	}
	if begun {
		k.finish()
		k.out.broken()
		return
	}
	if cause == "" && sent { // the planner has heard of its end before the carrier
		cause = "response-timeout"
	}
	again := a.Kind == dispatch.Refused && k.mayRetry(cause)
	if cause == "conn-failure" && server != "" {
		k.back.failed(server)
	}
	if again {
		k.mu.Lock()
		k.hint.Not = append(k.hint.Not, k.member)
		k.mu.Unlock()
		k.try()
		return
	}
	switch cause {
	case "conn-failure", "":
		k.refuse(k.back, "no server took the request")
	case "response-timeout":
		k.fail(504, "the server did not answer in time")
	default:
		k.fail(502, "the server's answer broke off or was malformed")
	}
}

// mayRetry reports whether the request may go to another server after a failure of that cause.
func (k *call) mayRetry(cause string) bool {
	k.mu.Lock()
	tries := k.tries
	k.mu.Unlock()
	b := k.back
	b.mu.Lock()
	defer b.mu.Unlock()
	return cause != "" && b.spec.RetriesOn(cause) && tries < b.spec.Attempts() && (k.pump == nil || !k.pump.passed())
}

func (k *call) fail(status int, why string) {
	k.finish()
	k.out.answer(status, []http1.Field{{Name: "Content-Type", Value: "text/plain"}}, []byte(why+"\n"), true)
}

// causes are outcomes of attempts as retry_on names them.
var causes = map[sedgevale.Outcome]string{sedgevale.ConnectFailed: "conn-failure", sedgevale.NotSent: "conn-failure",
	sedgevale.Full: "conn-failure", sedgevale.Lost: "empty-response", sedgevale.TimedOut: "response-timeout",
	sedgevale.Errored: "junk-response"}

// failedBy notes why an attempt ends, before the planner hears of it.
func (k *call) failedBy(cause string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cause = cause
}

// leaves notes that the request is written to a server.
func (k *call) leaves() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.flying = true
}

// retryStatus reports whether an answer of that status is to be dropped and the request
// sent elsewhere.
func (k *call) retryStatus(status int) bool {
	if status < 500 || status > 504 || k.pump != nil {
		return false
	}
	b := k.back
	b.mu.Lock()
	defer b.mu.Unlock()
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.tries < b.spec.Attempts() && len(b.spec.RetryOn) > 0 && b.spec.RetriesOn(strconv.Itoa(status)) && idempotent(k.q.Method)
}

// begin notes that the head of an answer has come, and reports whether the client still
// wants it.
func (k *call) begin() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.over {
		return false
	}
	k.begun = true
	return true
}

// respond edits the head of a server's answer and returns what goes to the client.
func (k *call) respond(h *http1.Head) (status int, fields []http1.Field, framing httpd.Framing, own *route.Answer) {
	fields, framing = answerFields(h, k.head.Method == "HEAD", k.head.Old)
	status = h.Status
	if len(k.edits) > 0 {
		k.q.Status, k.q.Response = status, fields
		for _, r := range k.edits {
			if a := r.Response(&k.q); a != nil {
				return 0, nil, 0, a
			}
		}
		status, fields = k.q.Status, k.q.Response
	}
	b := k.back
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.spec.Cookie
	k.mu.Lock()
	member := k.member
	k.mu.Unlock()
	if c == nil || !c.Insert || member >= len(b.spec.Servers) || b.spec.Servers[member].Cookie == "" || k.hint.Cookie == b.spec.Servers[member].Cookie {
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

// wire returns the bytes of the request to a server, with the body if it is here.
func (k *call) wire(b []byte, length int64) []byte {
	b = requestHead(b, k.q.Method, k.q.Target, k.q.Fields, length, addrOf(k.q.Src), k.forward, k.upgrade)
	return append(b, k.body...)
}

// length is that of the body, for a request whose body is here.
func (k *call) length() int64 {
	if len(k.body) == 0 && k.head.Length < 0 && !k.head.Chunked {
		return -2
	}
	return int64(len(k.body))
}

type addrOf netip.Addr

func (addrOf) Network() string  { return "tcp" }
func (a addrOf) String() string { return netip.AddrPortFrom(netip.Addr(a), 0).String() }
