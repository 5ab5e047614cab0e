package haproxy

import (
	"fmt"
	"io"
	"net/netip"
	"strings"

	"sedgevale/internal/dispatchconfig"
	"sedgevale/internal/http1"
	"sedgevale/internal/pool"
	"sedgevale/internal/route"
)

// Ask is a request whose way is asked for.
type Ask struct {
	Frontend string // "": the first
	Line     string // METHOD TARGET, as a request line begins
	Headers  []string
	Source   string // the client's address; "": 127.0.0.1
	TLS      bool
}

// Way is where a request goes.
type Way struct {
	Frontend, Rule, Backend, Server string
	Answer                          *route.Answer // in place of a server
	Target                          string        // as the server sees it
}

// Explain says which frontend, rule, backend and server a request would take, while all
// servers serve. Of several whose turn it may be the first is named.
func Explain(w *dispatchconfig.Web, files route.Files, ask Ask) (*Way, error) {
	f := &w.Frontends[0]
	if ask.Frontend != "" {
		f = nil
		for i := range w.Frontends {
			if w.Frontends[i].Name == ask.Frontend {
				f = &w.Frontends[i]
			}
		}
		if f == nil {
			return nil, fmt.Errorf("no frontend is called %q", ask.Frontend)
		}
	}
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
	backends := map[string]*dispatchconfig.WebBackend{}
	for i := range w.Backends {
		backends[w.Backends[i].Name] = &w.Backends[i]
	}
	q.Alive = func(name string) int {
		if b := backends[name]; b != nil {
			return len(b.Servers)
		}
		return 0
	}
	way := &Way{Frontend: f.Name}
	rules, err := route.Compile(f.Spec, files)
	if err != nil {
		return nil, err
	}
	if way.Answer = rules.Request(q); way.Answer != nil {
		way.Rule = way.Answer.Why
		return way, nil
	}
	way.Backend, way.Rule = rules.Backend(q, func(n string) bool { return backends[n] != nil })
	if way.Rule == "" {
		way.Rule = "default"
	}
	b := backends[way.Backend]
	if b == nil {
		way.Answer = &route.Answer{Status: 503, Why: "no backend serves this request"}
		return way, nil
	}
	rules, err = route.Compile(b.Spec, files)
	if err != nil {
		return nil, err
	}
	if way.Answer = rules.Request(q); way.Answer != nil {
		way.Rule = way.Answer.Why
		return way, nil
	}
	way.Target = q.Target
	if len(b.Servers) == 0 {
		way.Answer = &route.Answer{Status: 503, Why: "the backend has no servers"}
		return way, nil
	}
	p, err := pool.New(b.Pool())
	if err != nil {
		return nil, err
	}
	var h pool.Hint
	if b.HashOn != "" {
		on, err := route.ParseFormat("%["+b.HashOn+"]", files)
		if err != nil {
			return nil, err
		}
		h.Key = on.Of(q)
	}
	if b.Cookie != nil {
		tied, err := route.ParseFormat("%[cook("+b.Cookie.Name+")]", files)
		if err == nil {
			h.Cookie = tied.Of(q)
		}
	}
	if i, v := p.Pick(1, h); v == pool.Go {
		way.Server = p.Name(i)
	} else {
		way.Answer = &route.Answer{Status: 503, Why: "no server of the backend serves"}
	}
	return way, nil
}

// Text writes a way for a person.
func (w *Way) Text(out io.Writer) {
	fmt.Fprintf(out, "frontend %s\n", w.Frontend)
	if w.Rule != "" {
		fmt.Fprintf(out, "rule     %s\n", w.Rule)
	}
	if w.Backend != "" {
		fmt.Fprintf(out, "backend  %s\n", w.Backend)
	}
	if w.Server != "" {
		fmt.Fprintf(out, "server   %s, as %s\n", w.Server, w.Target)
	}
	if w.Answer != nil {
		fmt.Fprintf(out, "answer   %d %s\n", w.Answer.Status, w.Answer.Why)
		for _, f := range w.Answer.Fields {
			fmt.Fprintf(out, "         %s: %s\n", f.Name, f.Value)
		}
	}
}
