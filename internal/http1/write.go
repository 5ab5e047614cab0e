package http1

import (
	"net/http"
	"strconv"
)

// reason returns the reason phrase of a status.
func reason(status int) string {
	switch status { // whose phrases in net/http are older ones
	case 413:
		return "Content Too Large"
	case 421:
		return "Misdirected Request"
	}
	return http.StatusText(status)
}

// AppendStatus appends the start line of a response.
func AppendStatus(b []byte, status int) []byte {
	b = strconv.AppendInt(append(b, "HTTP/1.1 "...), int64(status), 10)
	return append(append(append(b, ' '), reason(status)...), "\r\n"...)
}

// AppendRequest appends the start line of a request.
func AppendRequest(b []byte, method, target string) []byte {
	b = append(append(b, method...), ' ')
	return append(append(b, target...), " HTTP/1.1\r\n"...)
}

// AppendField appends a header field.
func AppendField(b []byte, name, value string) []byte {
	b = append(append(b, name...), ": "...)
	return append(append(b, value...), "\r\n"...)
}

// AppendBody appends Content-Length, the end of the head, and the body.
func AppendBody(b, body []byte) []byte {
	b = strconv.AppendInt(append(b, "Content-Length: "...), int64(len(body)), 10)
	return append(append(b, "\r\n\r\n"...), body...)
}

// AppendChunk appends one chunk of a body. For an empty chunk, which would end the body, it appends nothing.
func AppendChunk(b, chunk []byte) []byte {
	if len(chunk) == 0 {
		return b
	}
	b = append(strconv.AppendInt(b, int64(len(chunk)), 16), "\r\n"...)
	return append(append(b, chunk...), "\r\n"...)
}

// AppendLastChunk appends the end of a chunked body, with its trailer fields.
func AppendLastChunk(b []byte, trailer []Field) []byte {
	b = append(b, "0\r\n"...)
	for _, f := range trailer {
		b = AppendField(b, f.Name, f.Value)
	}
	return append(b, "\r\n"...)
}
