// Package route compiles and evaluates HTTP routing rules in HAProxy's syntax: it selects the backend of a
// request and edits or answers requests and responses. It does no network I/O, reads files only through
// Files, and takes random numbers as input. Compiled rules are safe for concurrent use.
package route

import (
	"net/netip"
	"strings"

	"sedgevale/internal/http1"
)

// Request is the input of conditions and rules: a request and, for response rules, the response to it.
// Rules edit it in place.
type Request struct {
	Method  string
	Target  string // path and query, as received
	Version string // "1.1" or "1.0"
	Fields  []http1.Field
	Src     netip.Addr // address of the client
	DstPort int        // local port of the connection
	TLS     bool

	Rand           uint64                   // random number of this request, for the fetch rand
	ServingServers func(backend string) int // number of a backend's servers that accept requests; may be nil

	// Status and Response are the status code and header fields of the response, for response rules only.
	Status   int
	Response []http1.Field

	vars        map[string]string   // variables set by rules
	sampleCache map[*fetch][]string // cached samples, cleared by every edit
}

// Path returns the path of the target without the query.
func (q *Request) Path() string {
	p := q.Target
	if i := strings.IndexByte(p, '?'); i >= 0 {
		p = p[:i]
	}
	if !strings.HasPrefix(p, "/") { // absolute form: the path follows the authority
		if i := strings.Index(p, "://"); i >= 0 {
			if j := strings.IndexByte(p[i+3:], '/'); j >= 0 {
				return p[i+3+j:]
			}
			return "/"
		}
	}
	return p
}

// Query returns the part of the target after the first question mark.
func (q *Request) Query() string {
	_, query, _ := strings.Cut(q.Target, "?")
	return query
}

// SetPath replaces the path and keeps the query.
func (q *Request) SetPath(path string) {
	if !strings.HasPrefix(path, "/") && path != "*" {
		path = "/" + path
	}
	if _, query, ok := strings.Cut(q.Target, "?"); ok {
		path += "?" + query
	}
	q.Target = path
	q.invalidateSamples()
}

// SetQuery replaces the query.
func (q *Request) SetQuery(query string) {
	path, _, _ := strings.Cut(q.Target, "?")
	if q.Target = path; query != "" {
		q.Target = path + "?" + query
	}
	q.invalidateSamples()
}

// invalidateSamples clears the sample cache after an edit.
func (q *Request) invalidateSamples() { clear(q.sampleCache) }

// Header returns the value of the first header field of a name, or "" if there is none.
func (q *Request) Header(name string) string {
	for i := range q.Fields {
		if strings.EqualFold(q.Fields[i].Name, name) {
			return q.Fields[i].Value
		}
	}
	return ""
}

// setHeader replaces all header fields of a name by one.
func setHeader(fields []http1.Field, name, value string) []http1.Field {
	return append(delHeader(fields, name), http1.Field{Name: name, Value: value})
}

// delHeader removes all header fields of a name.
func delHeader(fields []http1.Field, name string) []http1.Field {
	out := make([]http1.Field, 0, len(fields)+1)
	for _, f := range fields {
		if !strings.EqualFold(f.Name, name) {
			out = append(out, f)
		}
	}
	return out
}

// param returns the values of a query parameter.
func (q *Request) param(name string) (out []string) {
	for pair := range strings.SplitSeq(q.Query(), "&") {
		k, v, _ := strings.Cut(pair, "=")
		if k == name && pair != "" {
			out = append(out, v)
		}
	}
	return out
}

// cookie returns the values of a cookie from all Cookie fields.
func (q *Request) cookie(name string) (out []string) {
	for i := range q.Fields {
		if !strings.EqualFold(q.Fields[i].Name, "Cookie") {
			continue
		}
		for pair := range strings.SplitSeq(q.Fields[i].Value, ";") {
			k, v, ok := strings.Cut(strings.TrimSpace(pair), "=")
			if ok && k == name {
				out = append(out, v)
			}
		}
	}
	return out
}
