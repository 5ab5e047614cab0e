package http1

import (
	"net/http"
	"strconv"
)

// reason is the text of a status; it says nothing to programs.
func reason(status int) string {
	switch status { // where this project's words are not those of net/http
	case 413:
		return "Content Too Large"
	case 421:
		return "Misdirected Request"
	}
	return http.StatusText(status)
}

// AppendStatus adds the start line of a response.
func AppendStatus(b []byte, status int) []byte {
	b = strconv.AppendInt(append(b, "HTTP/1.1 "...), int64(status), 10)
	return append(append(append(b, ' '), reason(status)...), "\r\n"...)
}

// AppendRequest adds the start line of a request.
func AppendRequest(b []byte, method, target string) []byte {
	b = append(append(b, method...), ' ')
	return append(append(b, target...), " HTTP/1.1\r\n"...)
}

// AppendField adds a header field.
func AppendField(b []byte, name, value string) []byte {
	b = append(append(b, name...), ": "...)
	return append(append(b, value...), "\r\n"...)
}

// AppendBody ends the head with the length of the body and adds the body.
func AppendBody(b, body []byte) []byte {
	b = strconv.AppendInt(append(b, "Content-Length: "...), int64(len(body)), 10)
	return append(append(b, "\r\n\r\n"...), body...)
}

// AppendChunk adds one chunk of a body; an empty one adds nothing, for it would end it.
func AppendChunk(b, chunk []byte) []byte {
	if len(chunk) == 0 {
		return b
	}
	b = append(strconv.AppendInt(b, int64(len(chunk)), 16), "\r\n"...)
	return append(append(b, chunk...), "\r\n"...)
}

// AppendLastChunk ends a body in chunks, with the trailer.
func AppendLastChunk(b []byte, trailer []Field) []byte {
	b = append(b, "0\r\n"...)
	for _, f := range trailer {
		b = AppendField(b, f.Name, f.Value)
	}
	return append(b, "\r\n"...)
}
