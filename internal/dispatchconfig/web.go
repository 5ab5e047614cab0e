package dispatchconfig

import (
	"cmp"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"time"

	"sedgevale/internal/healthcheck"
	"sedgevale/internal/pool"
	"sedgevale/internal/route"
)

// Web sets up the reverse proxy for plain HTTP; see docs/HAPROXY.md. Times are in seconds.
type Web struct {
	Frontends []WebFrontend `toml:"frontends"`
	Backends  []WebBackend  `toml:"backends"`

	dir string // of the operator's file; paths in rules are relative to it
}

// WebFrontend is a set of addresses to listen on with its rules.
type WebFrontend struct {
	Name           string   `toml:"name"`
	Listen         []string `toml:"listen"`
	ForwardFor     bool     `toml:"forward_for,omitempty"` // X-Forwarded-For is added
	RequestTimeout float64  `toml:"request_timeout,omitzero"`
	IdleTimeout    float64  `toml:"idle_timeout,omitzero"`
	route.Spec
}

// WebBackend is a group of interchangeable servers.
type WebBackend struct {
	Name           string      `toml:"name"`
	Balance        string      `toml:"balance,omitempty"`
	HashOn         string      `toml:"hash_on,omitempty"` // an expression, with balance "hash"
	AllBackups     bool        `toml:"all_backups,omitempty"`
	ForwardFor     bool        `toml:"forward_for,omitempty"`
	Retries        *int        `toml:"retries,omitempty"`  // after connections that fail; none: 3
	RetryOn        []string    `toml:"retry_on,omitempty"` // none: conn-failure
	ConnectTimeout float64     `toml:"connect_timeout,omitzero"`
	ServerTimeout  float64     `toml:"server_timeout,omitzero"` // until the head of a response
	QueueTimeout   float64     `toml:"queue_timeout,omitzero"`
	MaxQueue       int         `toml:"max_queue,omitzero"`
	SlowStart      float64     `toml:"slow_start,omitzero"`
	RetryAfter     float64     `toml:"retry_after,omitzero"` // seconds, sent with a 503; 0: not sent
	Cookie         *WebCookie  `toml:"cookie,omitempty"`
	Check          *WebCheck   `toml:"check,omitempty"`
	Servers        []WebServer `toml:"servers"`
	route.Spec
}

// WebCookie is the persistence cookie that ties clients to servers.
type WebCookie struct {
	Name     string `toml:"name"`
	Insert   bool   `toml:"insert,omitempty"`   // set by the proxy; false: by the server
	Indirect bool   `toml:"indirect,omitempty"` // servers do not see it
	NoCache  bool   `toml:"nocache,omitempty"`
	HTTPOnly bool   `toml:"httponly,omitempty"`
	Secure   bool   `toml:"secure,omitempty"`
	Domain   string `toml:"domain,omitempty"`
}

// WebCheck says how a backend's servers are checked.
type WebCheck struct {
	Kind         string   `toml:"kind,omitempty"` // "tcp" or "http"
	Method       string   `toml:"method,omitempty"`
	URI          string   `toml:"uri,omitempty"`
	Version      string   `toml:"version,omitempty"`
	Headers      []string `toml:"headers,omitempty"` // NAME: VALUE
	Expect       []string `toml:"expect,omitempty"`  // [!] status|rstatus|string|rstring VALUE
	Interval     float64  `toml:"inter,omitzero"`
	FastInterval float64  `toml:"fastinter,omitzero"`
	DownInterval float64  `toml:"downinter,omitzero"`
	Rise         int      `toml:"rise,omitzero"`
	Fall         int      `toml:"fall,omitzero"`
	Timeout      float64  `toml:"timeout,omitzero"`
}

// WebServer is a server of a backend.
type WebServer struct {
	Name      string    `toml:"name"`
	Addr      string    `toml:"addr"`
	Weight    *int      `toml:"weight,omitempty"` // none: 1
	Backup    bool      `toml:"backup,omitempty"`
	Disabled  bool      `toml:"disabled,omitempty"`
	MaxConn   int       `toml:"maxconn,omitzero"`
	Cookie    string    `toml:"cookie,omitempty"`
	Check     *WebCheck `toml:"check,omitempty"`      // over the backend's, part by part
	NoCheck   bool      `toml:"no_check,omitempty"`   // though the backend has one
	CheckAddr string    `toml:"check_addr,omitempty"` // where, if not at addr
	Track     string    `toml:"track,omitempty"`      // BACKEND/SERVER: its state is that server's
}

// Defaults of a backend, as HAProxy has them.
const (
	defaultRetries        = 3
	defaultConnectTimeout = 5.0  // seconds
	defaultServerTimeout  = 60.0 // seconds
)

// RetryConditions are the failures that retry_on can name.
var RetryConditions = []string{"conn-failure", "empty-response", "response-timeout", "junk-response", "500", "502", "503", "504", "none"}

// Attempts returns how often a request may be sent, the first time included.
func (b *WebBackend) Attempts() int {
	if b.Retries == nil {
		return 1 + defaultRetries
	}
	return 1 + *b.Retries
}

// Timeouts returns how long to wait for a connection, and for the head of a response.
func (b *WebBackend) Timeouts() (connect, server time.Duration) {
	return Seconds(cmp.Or(b.ConnectTimeout, defaultConnectTimeout)), Seconds(cmp.Or(b.ServerTimeout, defaultServerTimeout))
}

// RetriesOn reports whether a request that failed in that way, one of RetryConditions, may be retried.
func (b *WebBackend) RetriesOn(what string) bool {
	if len(b.RetryOn) == 0 {
		return what == "conn-failure"
	}
	return slices.Contains(b.RetryOn, what)
}

// PoolOptions returns the options of the backend's pool.
func (b *WebBackend) PoolOptions() pool.Options {
	o := pool.Options{Balance: pool.Balance(b.Balance), AllBackups: b.AllBackups, MaxQueue: b.MaxQueue,
		QueueTimeout: Seconds(b.QueueTimeout), SlowStart: Seconds(b.SlowStart)}
	if o.QueueTimeout == 0 {
		o.QueueTimeout, _ = b.Timeouts() // as HAProxy does
	}
	for _, s := range b.Servers {
		m := pool.Member{Name: s.Name, Weight: 1, Backup: s.Backup, Disabled: s.Disabled, MaxConn: s.MaxConn, Cookie: s.Cookie}
		if s.Weight != nil {
			m.Weight = *s.Weight
		}
		o.Members = append(o.Members, m)
	}
	return o
}

// HealthCheck returns how a server is checked; ok is false where it is not.
func (b *WebBackend) HealthCheck(s *WebServer) (spec healthcheck.Spec, addr string, ok bool, err error) {
	if s.NoCheck || b.Check == nil && s.Check == nil || s.Track != "" {
		return spec, "", false, nil
	}
	var c WebCheck
	if b.Check != nil {
		c = *b.Check
	}
	if o := s.Check; o != nil {
		override(&c.Kind, o.Kind)
		override(&c.Method, o.Method)
		override(&c.URI, o.URI)
		override(&c.Version, o.Version)
		override(&c.Interval, o.Interval)
		override(&c.FastInterval, o.FastInterval)
		override(&c.DownInterval, o.DownInterval)
		override(&c.Rise, o.Rise)
		override(&c.Fall, o.Fall)
		override(&c.Timeout, o.Timeout)
		if len(o.Headers) > 0 {
			c.Headers = o.Headers
		}
		if len(o.Expect) > 0 {
			c.Expect = o.Expect
		}
	}
	if addr = s.CheckAddr; addr == "" {
		addr = s.Addr
	}
	spec, err = c.spec()
	return spec, addr, true, err
}

// override sets *to unless from is zero.
func override[T comparable](to *T, from T) {
	*to = cmp.Or(from, *to)
}

func (c *WebCheck) spec() (healthcheck.Spec, error) {
	s := healthcheck.Spec{Kind: c.Kind, Method: c.Method, URI: c.URI, Version: c.Version, Interval: Seconds(c.Interval), FastInterval: Seconds(c.FastInterval),
		DownInterval: Seconds(c.DownInterval), Rise: c.Rise, Fall: c.Fall, Timeout: Seconds(c.Timeout)}
	for _, h := range c.Headers {
		name, value, ok := cutField(h)
		if !ok {
			return s, fmt.Errorf("check: %q is no header field, NAME: VALUE", h)
		}
		s.Headers = append(s.Headers, healthcheck.Header{Name: name, Value: value})
	}
	for _, e := range c.Expect {
		words, err := route.SplitWords(e)
		if err != nil {
			return s, fmt.Errorf("check: expect %q: %w", e, err)
		}
		var x healthcheck.Expect
		if len(words) > 0 && words[0] == "!" {
			x.Not, words = true, words[1:]
		}
		if len(words) != 2 {
			return s, fmt.Errorf("check: expect %q: want what and a value", e)
		}
		x.Kind, x.Value = words[0], words[1]
		s.Expect = append(s.Expect, x)
	}
	if err := s.SetDefaults(); err != nil {
		return s, fmt.Errorf("check: %w", err)
	}
	return s, nil
}

func cutField(s string) (name, value string, ok bool) {
	for i := range len(s) {
		if s[i] == ':' {
			value = s[i+1:]
			for len(value) > 0 && value[0] == ' ' {
				value = value[1:]
			}
			return s[:i], value, i > 0
		}
	}
	return "", "", false
}

// maxRuleFile bounds a file that a rule names.
const maxRuleFile = 64 << 20

// ReadFile reads the files that rules name.
func (w *Web) ReadFile(path string) ([]byte, error) {
	if !filepath.IsAbs(path) {
		path = filepath.Join(w.dir, path)
	}
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxRuleFile {
		return nil, fmt.Errorf("%s has %d bytes, %d at most", path, info.Size(), maxRuleFile)
	}
	return os.ReadFile(path)
}

// Check returns an error for frontends and backends that cannot serve.
func (w *Web) Check() error {
	if len(w.Frontends) == 0 {
		return errors.New("web: no frontend")
	}
	backends, err := w.checkBackends()
	if err != nil {
		return err
	}
	listening := map[string]string{} // the frontend of each address
	names := map[string]bool{}
	for i := range w.Frontends {
		f := &w.Frontends[i]
		if f.Name == "" || names[f.Name] {
			return fmt.Errorf("web: frontend %q has no name or is there twice", f.Name)
		}
		names[f.Name] = true
		if err := f.checkListen(listening); err != nil {
			return err
		}
		if f.RequestTimeout < 0 || f.IdleTimeout < 0 {
			return fmt.Errorf("web: frontend %q: times must not be negative", f.Name)
		}
		if err := w.checkRules(f, backends); err != nil {
			return err
		}
	}
	return nil
}

// checkBackends checks all backends and returns them by name.
func (w *Web) checkBackends() (map[string]*WebBackend, error) {
	backends := map[string]*WebBackend{}
	for i := range w.Backends {
		b := &w.Backends[i]
		if b.Name == "" || backends[b.Name] != nil {
			return nil, fmt.Errorf("web: backend %q has no name or is there twice", b.Name)
		}
		backends[b.Name] = b
		if err := w.checkBackend(b); err != nil {
			return nil, fmt.Errorf("web: backend %q: %w", b.Name, err)
		}
	}
	for _, b := range w.Backends {
		for _, s := range b.Servers {
			if s.Track != "" && !w.canTrack(s.Track) {
				return nil, fmt.Errorf("web: backend %q: server %q tracks %q, which is not there", b.Name, s.Name, s.Track)
			}
		}
	}
	return backends, nil
}

// checkListen checks a frontend's addresses and adds them to those that are listened on.
func (f *WebFrontend) checkListen(listening map[string]string) error {
	if len(f.Listen) == 0 {
		return fmt.Errorf("web: frontend %q listens nowhere", f.Name)
	}
	for _, a := range f.Listen {
		if err := checkAddr("web: frontend "+f.Name+":", a); err != nil {
			return err
		}
		if other := listening[a]; other != "" {
			return fmt.Errorf("web: %s is the address of frontend %q and of %q", a, other, f.Name)
		}
		listening[a] = f.Name
	}
	return nil
}

// checkRules checks a frontend's rules, which may lead only to backends that are there.
func (w *Web) checkRules(f *WebFrontend, backends map[string]*WebBackend) error {
	rules, err := route.Compile(f.Spec, w.ReadFile)
	if err != nil {
		return fmt.Errorf("web: frontend %q: %w", f.Name, err)
	}
	to, _ := rules.Backends()
	for _, name := range to {
		if backends[name] == nil {
			return fmt.Errorf("web: frontend %q leads to backend %q, which is not there", f.Name, name)
		}
	}
	return nil
}

// canTrack reports whether there is a server of that name, BACKEND/SERVER, that tracks no other.
func (w *Web) canTrack(track string) bool {
	for _, b := range w.Backends {
		for _, s := range b.Servers {
			if b.Name+"/"+s.Name == track && s.Track == "" {
				return true
			}
		}
	}
	return false
}

func (w *Web) checkBackend(b *WebBackend) error {
	if len(b.Use) > 0 || b.Default != "" {
		return errors.New("use and default are for frontends")
	}
	if err := w.checkBalance(b); err != nil {
		return err
	}
	if err := b.checkRetries(); err != nil {
		return err
	}
	if b.Cookie != nil && b.Cookie.Name == "" {
		return errors.New("cookie: no name")
	}
	if _, err := route.Compile(b.Spec, w.ReadFile); err != nil {
		return err
	}
	for i := range b.Servers {
		s := &b.Servers[i]
		if err := b.checkServer(s); err != nil {
			return fmt.Errorf("server %q: %w", s.Name, err)
		}
	}
	return nil
}

// checkBalance checks the pool that the backend makes, and what is hashed.
func (w *Web) checkBalance(b *WebBackend) error {
	if len(b.Servers) > 0 {
		o := b.PoolOptions()
		if err := o.Check(); err != nil {
			return err
		}
	}
	if (b.Balance == string(pool.Hash)) != (b.HashOn != "") {
		return errors.New(`balance "hash" and hash_on belong together`)
	}
	if b.HashOn != "" {
		if _, err := route.ParseFormat("%["+b.HashOn+"]", w.ReadFile); err != nil {
			return fmt.Errorf("hash_on: %w", err)
		}
	}
	return nil
}

// checkRetries checks retries and time-outs.
func (b *WebBackend) checkRetries() error {
	if b.Attempts() < 1 || b.ConnectTimeout < 0 || b.ServerTimeout < 0 || b.QueueTimeout < 0 || b.RetryAfter < 0 {
		return errors.New("retries and times must not be negative")
	}
	for _, word := range b.RetryOn {
		if !slices.Contains(RetryConditions, word) {
			return fmt.Errorf("retry_on: %q is none of %v", word, RetryConditions)
		}
	}
	return nil
}

// checkServer checks a server's addresses and its health check.
func (b *WebBackend) checkServer(s *WebServer) error {
	if _, err := netip.ParseAddrPort(s.Addr); err != nil {
		return fmt.Errorf("%q is no IP address and port", s.Addr)
	}
	if s.CheckAddr != "" {
		if _, err := netip.ParseAddrPort(s.CheckAddr); err != nil {
			return fmt.Errorf("check_addr %q is no IP address and port", s.CheckAddr)
		}
	}
	_, _, _, err := b.HealthCheck(s)
	return err
}
