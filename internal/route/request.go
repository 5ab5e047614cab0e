// Package route selects the backend of a request and edits requests and responses, by rules with
// conditions in the language of HAProxy's access lists. It does no input or output, and takes
// random numbers as an argument. Rules are compiled once and may then be used by several goroutines.
package route

import (
	"net/netip"
	"strings"

	"sedgevale/internal/http1"
)

// Request is what conditions are evaluated on. Rules that edit a request change it in place.
type Request struct {
	Method  string
	Target  string // path and query, as received
	Version string // "1.1" or "1.0"
	Fields  []http1.Field
	Src     netip.Addr // the client
	DstPort int        // the local port
	TLS     bool

	Rand           uint64                   // drawn for this request
	ServingServers func(backend string) int // number of a backend's servers that take requests; may be nil

	// Of the response, for its rules alone.
	Status   int
	Response []http1.Field

	vars    map[string]string   // set by rules of this request
	fetched map[*fetch][]string // cache of samples, until something is edited
}

// Path returns the path, without the query.
func (q *Request) Path() string {
	p := q.Target
	if i := strings.IndexByte(p, '?'); i >= 0 {
		p = p[:i]
	}
	if !strings.HasPrefix(p, "/") { // absolute form: the path begins behind the authority
		if i := strings.Index(p, "://"); i >= 0 {
			if j := strings.IndexByte(p[i+3:], '/'); j >= 0 {
				return p[i+3+j:]
			}
			return "/"
		}
	}
	return p
}

// Query returns the part after the first question mark.
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
	q.edited()
}

// SetQuery replaces the query.
func (q *Request) SetQuery(query string) {
	path, _, _ := strings.Cut(q.Target, "?")
	if q.Target = path; query != "" {
		q.Target = path + "?" + query
	}
	q.edited()
}

// edited clears the cache of samples.
func (q *Request) edited() { clear(q.fetched) }

// Header returns the first value of a header field.
func (q *Request) Header(name string) string {
	for i := range q.Fields {
		if strings.EqualFold(q.Fields[i].Name, name) {
			return q.Fields[i].Value
		}
	}
	return ""
}

// setHeader replaces all fields of a name by one, addHeader adds one, delHeader removes
// all.
func setHeader(fields []http1.Field, name, value string) []http1.Field {
	return append(delHeader(fields, name), http1.Field{Name: name, Value: value})
}

func delHeader(fields []http1.Field, name string) []http1.Field {
	out := make([]http1.Field, 0, len(fields)+1)
	for _, f := range fields {
		if !strings.EqualFold(f.Name, name) {
			out = append(out, f)
		}
	}
	return out
}

// param returns the values of a parameter of the query.
func (q *Request) param(name string) (out []string) {
	for pair := range strings.SplitSeq(q.Query(), "&") {
		k, v, _ := strings.Cut(pair, "=")
		if k == name && pair != "" {
			out = append(out, v)
		}
	}
	return out
}

// cookie returns the values of a cookie.
func (q *Request) cookie(name string) (out []string) {
	for i := range q.Fields {
		if !strings.EqualFold(q.Fields[i].Name, "Cookie") {
			continue
		}
		for part := range strings.SplitSeq(q.Fields[i].Value, ";") {
			k, v, ok := strings.Cut(strings.TrimSpace(part), "=")
			if ok && k == name {
				out = append(out, v)
			}
		}
	}
	return out
}
