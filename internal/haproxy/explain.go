package haproxy

import (
	"fmt"
	"net/netip"
	"strings"

	"sedgevale/internal/dispatchconfig"
	"sedgevale/internal/http1"
	"sedgevale/internal/pool"
	"sedgevale/internal/route"
)

// ExplainRequest describes the request that Explain routes.
type ExplainRequest struct {
	Frontend string   // name of the frontend; the first one if empty
	Line     string   // "METHOD TARGET"; a version that follows is ignored
	Headers  []string // header fields as "NAME: VALUE"
	Source   string   // IP address of the client; 127.0.0.1 if empty
	TLS      bool
}

// Explanation describes how a request is routed.
type Explanation struct {
	Frontend, Rule, Backend, Server string
	Answer                          *route.Answer // set if a rule or an error answers the request instead of a server
	Target                          string        // request target as sent to the server
}

// Explain returns the frontend, rule, backend and server that a request is routed to if all servers are
// up. The server is the first one that a new pool of the backend picks.
func Explain(w *dispatchconfig.Web, files route.Files, req ExplainRequest) (*Explanation, error) {
	f, err := findFrontend(w, req.Frontend)
	if err != nil {
		return nil, err
	}
	q, err := req.request(f)
	if err != nil {
		return nil, err
	}
	backends := map[string]*dispatchconfig.WebBackend{}
	for i := range w.Backends {
		backends[w.Backends[i].Name] = &w.Backends[i]
	}
	q.ServingServers = func(name string) int {
		if b := backends[name]; b != nil {
			return len(b.Servers)
		}
		return 0
	}
	explanation := &Explanation{Frontend: f.Name}
	answered, err := explanation.applyFrontend(f, files, q, backends)
	if err != nil {
		return nil, err
	}
	if answered {
		return explanation, nil
	}
	if err := explanation.applyBackend(backends[explanation.Backend], files, q); err != nil {
		return nil, err
	}
	return explanation, nil
}

// findFrontend returns the frontend with the given name, or the first frontend if the name is empty.
func findFrontend(w *dispatchconfig.Web, name string) (*dispatchconfig.WebFrontend, error) {
	if name == "" {
		return &w.Frontends[0], nil
	}
	for i := range w.Frontends {
		if w.Frontends[i].Name == name {
			return &w.Frontends[i], nil
		}
	}
	return nil, fmt.Errorf("no frontend is called %q", name)
}

// request builds the request as the frontend receives it.
func (req *ExplainRequest) request(f *dispatchconfig.WebFrontend) (*route.Request, error) {
	method, target, ok := strings.Cut(strings.TrimSpace(req.Line), " ")
	target, _, _ = strings.Cut(target, " ") // drop the HTTP version
	if !ok || target == "" {
		return nil, fmt.Errorf("%q is no request line: METHOD TARGET", req.Line)
	}
	q := &route.Request{Method: method, Target: target, Version: "1.1", TLS: req.TLS, Src: netip.MustParseAddr("127.0.0.1")}
	if req.Source != "" {
		a, err := netip.ParseAddr(req.Source)
		if err != nil {
			return nil, fmt.Errorf("%q is no address", req.Source)
		}
		q.Src = a
	}
	if ap, err := netip.ParseAddrPort(f.Listen[0]); err == nil {
		q.DstPort = int(ap.Port())
	}
	for _, h := range req.Headers {
		name, value, ok := strings.Cut(h, ":")
		if !ok {
			return nil, fmt.Errorf("%q is no header field, NAME: VALUE", h)
		}
		q.Fields = append(q.Fields, http1.Field{Name: strings.TrimSpace(name), Value: strings.TrimSpace(value)})
	}
	return q, nil
}

// applyFrontend applies the rules of the frontend and selects the backend. It reports whether the request
// is answered without a backend.
func (w *Explanation) applyFrontend(f *dispatchconfig.WebFrontend, files route.Files, q *route.Request, backends map[string]*dispatchconfig.WebBackend) (answered bool, err error) {
	rules, err := route.Compile(f.Spec, files)
	if err != nil {
		return false, err
	}
	if w.applyRules(rules, q) {
		return true, nil
	}
	w.Backend, w.Rule = rules.SelectBackend(q, func(n string) bool { return backends[n] != nil })
	if w.Rule == "" {
		w.Rule = "default"
	}
	if backends[w.Backend] == nil {
		w.Answer = &route.Answer{Status: 503, Reason: "no backend serves this request"}
		return true, nil
	}
	return false, nil
}

// applyBackend applies the rules of the backend and picks a server from its pool.
func (w *Explanation) applyBackend(b *dispatchconfig.WebBackend, files route.Files, q *route.Request) error {
	rules, err := route.Compile(b.Spec, files)
	if err != nil {
		return err
	}
	if w.applyRules(rules, q) {
		return nil
	}
	w.Target = q.Target
	if len(b.Servers) == 0 {
		w.Answer = &route.Answer{Status: 503, Reason: "the backend has no servers"}
		return nil
	}
	p, err := pool.New(b.PoolOptions())
	if err != nil {
		return err
	}
	hint, err := poolHint(b, files, q)
	if err != nil {
		return err
	}
	if i, v := p.Pick(1, hint); v == pool.Assigned {
		w.Server = p.Name(i)
	} else {
		w.Answer = &route.Answer{Status: 503, Reason: "no server of the backend serves"}
	}
	return nil
}

// applyRules applies the request rules and reports whether one of them answers the request.
func (w *Explanation) applyRules(rules *route.Rules, q *route.Request) bool {
	if w.Answer = rules.ApplyRequest(q); w.Answer == nil {
		return false
	}
	w.Rule = w.Answer.Reason
	return true
}

// poolHint returns the hash key and the persistence cookie of the request.
func poolHint(b *dispatchconfig.WebBackend, files route.Files, q *route.Request) (h pool.Hint, err error) {
	if b.HashOn != "" {
		on, err := route.ParseFormat("%["+b.HashOn+"]", files)
		if err != nil {
			return h, err
		}
		h.Key = on.Expand(q)
	}
	if b.Cookie != nil {
		persistence, err := route.ParseFormat("%[cook("+b.Cookie.Name+")]", files)
		if err == nil {
			h.Cookie = persistence.Expand(q)
		}
	}
	return h, nil
}

// String formats the explanation as text with one part per line.
func (w *Explanation) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "frontend %s\n", w.Frontend)
	if w.Rule != "" {
		fmt.Fprintf(&b, "rule     %s\n", w.Rule)
	}
	if w.Backend != "" {
		fmt.Fprintf(&b, "backend  %s\n", w.Backend)
	}
	if w.Server != "" {
		fmt.Fprintf(&b, "server   %s, as %s\n", w.Server, w.Target)
	}
	if w.Answer != nil {
		fmt.Fprintf(&b, "answer   %d %s\n", w.Answer.Status, w.Answer.Reason)
		for _, f := range w.Answer.Fields {
			fmt.Fprintf(&b, "         %s: %s\n", f.Name, f.Value)
		}
	}
	return b.String()
}
