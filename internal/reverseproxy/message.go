package reverseproxy

import (
	"net"
	"strings"

	"sedgevale/internal/http1"
	"sedgevale/internal/httpd"
)

// connectionOptions returns the options of a message's Connection fields (RFC 9110, section 7.6.1).
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

// containsFold reports whether names contains name, ignoring case.
func containsFold(names []string, name string) bool {
	for _, n := range names {
		if strings.EqualFold(n, name) {
			return true
		}
	}
	return false
}

// requestedUpgrade returns the value of a request's Upgrade field, or "" if the request does not ask for an upgrade.
func requestedUpgrade(h *http1.Head) string {
	if h.HTTP10 || !containsFold(connectionOptions(h.Fields), "upgrade") {
		return ""
	}
	return h.Get("Upgrade")
}

// appendRequestHead appends the head of the request that is sent to a server. length is the length of the body
// in bytes, -1 for a chunked body, or -2 for no body.
func appendRequestHead(b []byte, method, target string, fields []http1.Field, length int64, client net.Addr, forward bool, upgrade string) []byte {
	b = http1.AppendRequest(b, method, originForm(target))
	options := connectionOptions(fields)
	forwardedFor, hasHost := "", false
	for i := range fields {
		f := &fields[i]
		switch {
		case hopByHop(f.Name), containsFold(options, f.Name), strings.EqualFold(f.Name, "Content-Length"), strings.EqualFold(f.Name, "Expect"):
		case forward && strings.EqualFold(f.Name, "X-Forwarded-For"):
			if forwardedFor != "" {
				forwardedFor += ", "
			}
			forwardedFor += f.Value
		default:
			hasHost = hasHost || strings.EqualFold(f.Name, "Host")
			b = http1.AppendField(b, f.Name, f.Value)
		}
	}
	if !hasHost { // an HTTP/1.0 client may omit Host, but the HTTP/1.1 request to the server needs it
		b = http1.AppendField(b, "Host", "")
	}
	if forward {
		b = appendForwardedFor(b, forwardedFor, client)
	}
	switch {
	case upgrade != "":
		b = http1.AppendField(b, "Connection", "Upgrade")
		b = http1.AppendField(b, "Upgrade", upgrade)
	case length == -1:
		b = http1.AppendField(b, "Transfer-Encoding", "chunked")
	}
	if length >= 0 {
		b = appendContentLength(b, length)
	}
	return append(b, "\r\n"...)
}

// originForm converts a request target in absolute form, which clients send to proxies, to the origin form that
// servers expect (RFC 9112, section 3.2).
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

// appendForwardedFor appends X-Forwarded-For with the client's address after the addresses that the request already
// listed.
func appendForwardedFor(b []byte, previous string, client net.Addr) []byte {
	addr, _, err := net.SplitHostPort(client.String())
	if err != nil {
		return b
	}
	if previous != "" {
		previous += ", "
	}
	return http1.AppendField(b, "X-Forwarded-For", previous+addr)
}

func appendContentLength(b []byte, n int64) []byte {
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

// responseFields returns the header fields of a server's response that are forwarded to the client, and the framing
// of the forwarded body.
func responseFields(h *http1.Head, isHead, isHTTP10 bool) (fields []http1.Field, framing httpd.Framing) {
	options := connectionOptions(h.Fields)
	noBody := isHead || h.Status < 200 || h.Status == 204 || h.Status == 304
	for _, f := range h.Fields {
		switch {
		case hopByHop(f.Name), containsFold(options, f.Name):
		case strings.EqualFold(f.Name, "Content-Length") && (h.Chunked || h.Status == 204):
		default:
			fields = append(fields, f)
		}
	}
	switch {
	case noBody, h.Length >= 0 && !h.Chunked:
		return fields, httpd.FramingLength
	case isHTTP10:
		return fields, httpd.FramingClose
	}
	return fields, httpd.FramingChunked
}
