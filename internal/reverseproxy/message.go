package reverseproxy

import (
	"net"
	"strings"

	"sedgevale/internal/http1"
	"sedgevale/internal/httpd"
)

// connectionOptions returns the fields that a message's Connection names.
func connectionOptions(fields []http1.Field) (names []string) {
	for i := range fields {
		if strings.EqualFold(fields[i].Name, "Connection") {
			for part := range strings.SplitSeq(fields[i].Value, ",") {
				if part = strings.TrimSpace(part); part != "" {
					names = append(names, part)
				}
			}
		}
	}
	return names
}

// containsFold reports whether a name is among others, whatever the case.
func containsFold(names []string, name string) bool {
	for _, n := range names {
		if strings.EqualFold(n, name) {
			return true
		}
	}
	return false
}

// requestedUpgrade returns the protocol that a request asks to upgrade to, "" for none.
func requestedUpgrade(h *http1.Head) string {
	if h.HTTP10 || !containsFold(connectionOptions(h.Fields), "upgrade") {
		return ""
	}
	return h.Get("Upgrade")
}

// appendRequestHead appends the head of a request to a server. Length is that of the body, -1 if
// it comes in chunks, -2 if there is none.
func appendRequestHead(b []byte, method, target string, fields []http1.Field, length int64, client net.Addr, forward bool, upgrade string) []byte {
	b = http1.AppendRequest(b, method, originForm(target))
	own := connectionOptions(fields)
	from, host := "", false
	for i := range fields {
		f := &fields[i]
		switch {
		case hopByHop(f.Name), containsFold(own, f.Name), strings.EqualFold(f.Name, "Content-Length"), strings.EqualFold(f.Name, "Expect"):
		case forward && strings.EqualFold(f.Name, "X-Forwarded-For"):
			if from != "" {
				from += ", "
			}
			from += f.Value
		default:
			host = host || strings.EqualFold(f.Name, "Host")
			b = http1.AppendField(b, f.Name, f.Value)
		}
	}
	if !host { // of an HTTP/1.0 client; what we send is HTTP/1.1
		b = http1.AppendField(b, "Host", "")
	}
	if forward {
		b = appendForwardedFor(b, from, client)
	}
	switch {
	case upgrade != "":
		b = http1.AppendField(b, "Connection", "Upgrade")
		b = http1.AppendField(b, "Upgrade", upgrade)
	case length == -1:
		b = http1.AppendField(b, "Transfer-Encoding", "chunked")
	}
	if length >= 0 {
		b = appendLength(b, length)
	}
	return append(b, "\r\n"...)
}

// originForm turns a target in absolute form, which is for proxies, into the origin form that
// servers want (RFC 9112, section 3.2).
func originForm(target string) string {
	if strings.HasPrefix(target, "/") || target == "*" {
		return target
	}
	i := strings.Index(target, "://")
	if i < 0 {
		return target
	}
	if j := strings.IndexByte(target[i+3:], '/'); j >= 0 {
		return target[i+3+j:]
	}
	return "/"
}

// appendForwardedFor adds the client's address to those that came with the request, if any.
func appendForwardedFor(b []byte, from string, client net.Addr) []byte {
	addr, _, err := net.SplitHostPort(client.String())
	if err != nil {
		return b
	}
	if from != "" {
		from += ", "
	}
	return http1.AppendField(b, "X-Forwarded-For", from+addr)
}

func appendLength(b []byte, n int64) []byte {
	var digits [20]byte
	i := len(digits)
	for {
		i--
		digits[i] = byte('0' + n%10)
		if n /= 10; n == 0 {
			break
		}
	}
	return http1.AppendField(b, "Content-Length", string(digits[i:]))
}

// responseFields returns the fields of a server's response that are forwarded, and how its body
// is framed towards the client.
func responseFields(h *http1.Head, head, old bool) (fields []http1.Field, framing httpd.Framing) {
	own := connectionOptions(h.Fields)
	none := head || h.Status < 200 || h.Status == 204 || h.Status == 304
	for _, f := range h.Fields {
		switch {
		case hopByHop(f.Name), containsFold(own, f.Name):
		case strings.EqualFold(f.Name, "Content-Length") && (h.Chunked || h.Status == 204):
		default:
			fields = append(fields, f)
		}
	}
	switch {
	case none, h.Length >= 0 && !h.Chunked:
		return fields, httpd.ByLength
	case old:
		return fields, httpd.ByClose
	}
	return fields, httpd.ByChunks
}
