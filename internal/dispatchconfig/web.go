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

// Web configures the reverse proxy for plain HTTP; see docs/HAPROXY.md. Times are in seconds.
type Web struct {
	Frontends []WebFrontend `toml:"frontends"`
	Backends  []WebBackend  `toml:"backends"`

	dir string // directory of the operator's file, which relative paths in rules refer to
}

// WebFrontend is a set of listening addresses with rules for the requests received there.
type WebFrontend struct {
	Name           string   `toml:"name"`
	Listen         []string `toml:"listen"`
	ForwardFor     bool     `toml:"forward_for,omitempty"` // adds X-Forwarded-For to requests
	RequestTimeout float64  `toml:"request_timeout,omitzero"`
	IdleTimeout    float64  `toml:"idle_timeout,omitzero"`
	route.Spec
}

// WebBackend is a group of interchangeable servers.
type WebBackend struct {
	Name           string      `toml:"name"`
	Balance        string      `toml:"balance,omitempty"`
	HashOn         string      `toml:"hash_on,omitempty"` // expression whose value is hashed, for balance "hash"
	AllBackups     bool        `toml:"all_backups,omitempty"`
	ForwardFor     bool        `toml:"forward_for,omitempty"`
	Retries        *int        `toml:"retries,omitempty"`  // maximum number of retries of a request; nil means 3
	RetryOn        []string    `toml:"retry_on,omitempty"` // failures that are retried; if empty, conn-failure
	ConnectTimeout float64     `toml:"connect_timeout,omitzero"`
	ServerTimeout  float64     `toml:"server_timeout,omitzero"` // time to wait for the head of a response
	QueueTimeout   float64     `toml:"queue_timeout,omitzero"`
	MaxQueue       int         `toml:"max_queue,omitzero"`
	SlowStart      float64     `toml:"slow_start,omitzero"`
	RetryAfter     float64     `toml:"retry_after,omitzero"` // Retry-After of a 503 response; 0 means that it is not sent
	Cookie         *WebCookie  `toml:"cookie,omitempty"`
	Check          *WebCheck   `toml:"check,omitempty"`
	Servers        []WebServer `toml:"servers"`
	route.Spec
}

// WebCookie configures the persistence cookie that binds a client to a server.
type WebCookie struct {
	Name     string `toml:"name"`
	Insert   bool   `toml:"insert,omitempty"`   // the proxy sets the cookie; otherwise the server does
	Indirect bool   `toml:"indirect,omitempty"` // the cookie is removed from requests to servers
	NoCache  bool   `toml:"nocache,omitempty"`
	HTTPOnly bool   `toml:"httponly,omitempty"`
	Secure   bool   `toml:"secure,omitempty"`
	Domain   string `toml:"domain,omitempty"`
}

// WebCheck configures the health checks of a backend's servers.
type WebCheck struct {
	Kind         string   `toml:"kind,omitempty"` // "tcp" or "http"
	Method       string   `toml:"method,omitempty"`
	URI          string   `toml:"uri,omitempty"`
	Version      string   `toml:"version,omitempty"`
	Headers      []string `toml:"headers,omitempty"` // header fields of the form NAME: VALUE
	Expect       []string `toml:"expect,omitempty"`  // conditions of the form [!] status|rstatus|string|rstring VALUE
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
	Weight    *int      `toml:"weight,omitempty"` // nil means 1
	Backup    bool      `toml:"backup,omitempty"`
	Disabled  bool      `toml:"disabled,omitempty"`
	MaxConn   int       `toml:"maxconn,omitzero"`
	Cookie    string    `toml:"cookie,omitempty"`
	Check     *WebCheck `toml:"check,omitempty"`      // its nonzero fields override those of the backend's check
	NoCheck   bool      `toml:"no_check,omitempty"`   // disables the backend's check for this server
	CheckAddr string    `toml:"check_addr,omitempty"` // address for health checks; if empty, Addr
	Track     string    `toml:"track,omitempty"`      // BACKEND/SERVER whose health state is used instead of a check
}

// The defaults of a backend are those of HAProxy.
const (
	defaultRetries        = 3
	defaultConnectTimeout = 5.0  // seconds
	defaultServerTimeout  = 60.0 // seconds
)

// RetryConditions are the values that retry_on may contain.
var RetryConditions = []string{"conn-failure", "empty-response", "response-timeout", "junk-response", "500", "502", "503", "504", "none"}

// Attempts returns the maximum number of times that a request is sent, including the first.
func (b *WebBackend) Attempts() int {
	if b.Retries == nil {
		return 1 + defaultRetries
	}
	return 1 + *b.Retries
}

// Timeouts returns the timeout for establishing a connection and that for the head of a
// response.
func (b *WebBackend) Timeouts() (connect, server time.Duration) {
	return Seconds(cmp.Or(b.ConnectTimeout, defaultConnectTimeout)), Seconds(cmp.Or(b.ServerTimeout, defaultServerTimeout))
}

// RetriesOn reports whether a request may be retried after the given failure, which is one of
// RetryConditions.
func (b *WebBackend) RetriesOn(condition string) bool {
	if len(b.RetryOn) == 0 {
		return condition == "conn-failure"
	}
	return slices.Contains(b.RetryOn, condition)
}

// PoolOptions returns the options of the backend's server pool.
func (b *WebBackend) PoolOptions() pool.Options {
	o := pool.Options{Balance: pool.Balance(b.Balance), AllBackups: b.AllBackups, MaxQueue: b.MaxQueue,
		QueueTimeout: Seconds(b.QueueTimeout), SlowStart: Seconds(b.SlowStart)}
	if o.QueueTimeout == 0 {
		o.QueueTimeout, _ = b.Timeouts() // HAProxy also defaults the queue timeout to the connect timeout
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

// HealthCheck returns the specification and the address of a server's health check. ok is false
// if the server is not checked.
func (b *WebBackend) HealthCheck(s *WebServer) (spec healthcheck.Spec, addr string, ok bool, err error) {
	if s.NoCheck || b.Check == nil && s.Check == nil || s.Track != "" {
		return spec, "", false, nil
	}
	var c WebCheck
	if b.Check != nil {
		c = *b.Check
	}
	if own := s.Check; own != nil {
		override(&c.Kind, own.Kind)
		override(&c.Method, own.Method)
		override(&c.URI, own.URI)
		override(&c.Version, own.Version)
		override(&c.Interval, own.Interval)
		override(&c.FastInterval, own.FastInterval)
		override(&c.DownInterval, own.DownInterval)
		override(&c.Rise, own.Rise)
		override(&c.Fall, own.Fall)
		override(&c.Timeout, own.Timeout)
		if len(own.Headers) > 0 {
			c.Headers = own.Headers
		}
		if len(own.Expect) > 0 {
			c.Expect = own.Expect
		}
	}
	if addr = s.CheckAddr; addr == "" {
		addr = s.Addr
	}
	spec, err = c.spec()
	return spec, addr, true, err
}

// override sets *dest to value unless value is the zero value.
func override[T comparable](dest *T, value T) {
	*dest = cmp.Or(value, *dest)
}

// spec parses the check and applies the defaults.
func (c *WebCheck) spec() (healthcheck.Spec, error) {
	s := healthcheck.Spec{Kind: c.Kind, Method: c.Method, URI: c.URI, Version: c.Version, Interval: Seconds(c.Interval), FastInterval: Seconds(c.FastInterval),
		DownInterval: Seconds(c.DownInterval), Rise: c.Rise, Fall: c.Fall, Timeout: Seconds(c.Timeout)}
	for _, h := range c.Headers {
		name, value, ok := cutHeaderField(h)
		if !ok {
			return s, fmt.Errorf("check: %q is no header field, NAME: VALUE", h)
		}
		s.Headers = append(s.Headers, healthcheck.Header{Name: name, Value: value})
	}
	for _, e := range c.Expect {
		fields, err := route.SplitWords(e)
		if err != nil {
			return s, fmt.Errorf("check: expect %q: %w", e, err)
		}
		var x healthcheck.Expect
		if len(fields) > 0 && fields[0] == "!" {
			x.Not, fields = true, fields[1:]
		}
		if len(fields) != 2 {
			return s, fmt.Errorf("check: expect %q: want what and a value", e)
		}
		x.Kind, x.Value = fields[0], fields[1]
		s.Expect = append(s.Expect, x)
	}
	if err := s.SetDefaults(); err != nil {
		return s, fmt.Errorf("check: %w", err)
	}
	return s, nil
}

// cutHeaderField splits a header field of the form NAME: VALUE.
func cutHeaderField(s string) (name, value string, ok bool) {
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

// maxRuleFile is the maximum size, in bytes, of a file that a rule refers to.
const maxRuleFile = 64 << 20

// ReadFile reads a file that a rule refers to.
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

// Check validates the frontends and backends and returns the first error.
func (w *Web) Check() error {
	if len(w.Frontends) == 0 {
		return errors.New("web: no frontend")
	}
	backends, err := w.checkBackends()
	if err != nil {
		return err
	}
	listening := map[string]string{} // name of the frontend by address
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

// checkBackends validates all backends and returns them by name.
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

// checkListen validates a frontend's addresses and adds them to listening, which maps the
// addresses of all frontends checked so far to the name of the frontend.
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

// checkRules compiles a frontend's rules and checks that the backends that they select exist.
func (w *Web) checkRules(f *WebFrontend, backends map[string]*WebBackend) error {
	rules, err := route.Compile(f.Spec, w.ReadFile)
	if err != nil {
		return fmt.Errorf("web: frontend %q: %w", f.Name, err)
	}
	selected, _ := rules.Backends()
	for _, name := range selected {
		if backends[name] == nil {
			return fmt.Errorf("web: frontend %q leads to backend %q, which is not there", f.Name, name)
		}
	}
	return nil
}

// canTrack reports whether track, of the form BACKEND/SERVER, is an existing server that does
// not itself track another one.
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

// checkBalance validates the pool options and the expression in hash_on.
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

// checkRetries validates the settings of retries and the timeouts.
func (b *WebBackend) checkRetries() error {
	if b.Attempts() < 1 || b.ConnectTimeout < 0 || b.ServerTimeout < 0 || b.QueueTimeout < 0 || b.RetryAfter < 0 {
		return errors.New("retries and times must not be negative")
	}
	for _, condition := range b.RetryOn {
		if !slices.Contains(RetryConditions, condition) {
			return fmt.Errorf("retry_on: %q is none of %v", condition, RetryConditions)
		}
	}
	return nil
}

// checkServer validates a server's addresses and its health check.
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
