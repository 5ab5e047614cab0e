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

// ExplainRequest is a request that Explain routes.
type ExplainRequest struct {
	Frontend string   // "": the first
	Line     string   // METHOD TARGET, as a request line begins
	Headers  []string // NAME: VALUE each
	Source   string   // the client's address; "": 127.0.0.1
	TLS      bool
}

// Explanation is the route of a request.
type Explanation struct {
	Frontend, Rule, Backend, Server string
	Answer                          *route.Answer // in place of a server
	Target                          string        // as the server sees it
}

// Explain returns the frontend, rule, backend and server that a request would be routed to if all
// servers were up. Of several servers that balancing may pick it returns the first.
func Explain(w *dispatchconfig.Web, files route.Files, ask ExplainRequest) (*Explanation, error) {
	f, err := findFrontend(w, ask.Frontend)
	if err != nil {
		return nil, err
	}
	q, err := ask.request(f)
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
	way := &Explanation{Frontend: f.Name}
	answered, err := way.throughFrontend(f, files, q, backends)
	if err != nil {
		return nil, err
	}
	if answered {
		return way, nil
	}
	if err := way.throughBackend(backends[way.Backend], files, q); err != nil {
		return nil, err
	}
	return way, nil
}

// findFrontend returns the frontend of a name, or the first for "".
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

// request returns the request as a frontend receives it.
func (ask *ExplainRequest) request(f *dispatchconfig.WebFrontend) (*route.Request, error) {
	method, target, ok := strings.Cut(strings.TrimSpace(ask.Line), " ")
	target, _, _ = strings.Cut(target, " ") // the version does not matter
	if !ok || target == "" {
		return nil, fmt.Errorf("%q is no request line: METHOD TARGET", ask.Line)
	}
	q := &route.Request{Method: method, Target: target, Version: "1.1", TLS: ask.TLS, Src: netip.MustParseAddr("127.0.0.1")}
	if ask.Source != "" {
		a, err := netip.ParseAddr(ask.Source)
		if err != nil {
			return nil, fmt.Errorf("%q is no address", ask.Source)
		}
		q.Src = a
	}
	if ap, err := netip.ParseAddrPort(f.Listen[0]); err == nil {
		q.DstPort = int(ap.Port())
	}
	for _, h := range ask.Headers {
		name, value, ok := strings.Cut(h, ":")
		if !ok {
			return nil, fmt.Errorf("%q is no header field, NAME: VALUE", h)
		}
		q.Fields = append(q.Fields, http1.Field{Name: strings.TrimSpace(name), Value: strings.TrimSpace(value)})
	}
	return q, nil
}

// throughFrontend finds the backend by the frontend's rules. It reports whether the request is
// answered without one.
func (w *Explanation) throughFrontend(f *dispatchconfig.WebFrontend, files route.Files, q *route.Request, backends map[string]*dispatchconfig.WebBackend) (answered bool, err error) {
	rules, err := route.Compile(f.Spec, files)
	if err != nil {
		return false, err
	}
	if w.answer(rules, q) {
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

// throughBackend finds the server by the backend's rules and its pool.
func (w *Explanation) throughBackend(b *dispatchconfig.WebBackend, files route.Files, q *route.Request) error {
	rules, err := route.Compile(b.Spec, files)
	if err != nil {
		return err
	}
	if w.answer(rules, q) {
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

// answer reports whether one of the rules answers the request.
func (w *Explanation) answer(rules *route.Rules, q *route.Request) bool {
	if w.Answer = rules.ApplyRequest(q); w.Answer == nil {
		return false
	}
	w.Rule = w.Answer.Reason
	return true
}

// poolHint returns the part of the request that decides on the server.
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

// String returns the explanation as text, a line for each part.
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
