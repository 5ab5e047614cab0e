package http1

import (
	"net/http"
	"strconv"
)

// reason returns the reason phrase of a status code.
func reason(status int) string {
	switch status { // net/http has older phrases for these codes
	case 413:
		return "Content Too Large"
	case 421:
		return "Misdirected Request"
	}
	return http.StatusText(status)
}

// AppendStatus appends the status line of a response.
func AppendStatus(b []byte, status int) []byte {
	b = strconv.AppendInt(append(b, "HTTP/1.1 "...), int64(status), 10)
	return append(append(append(b, ' '), reason(status)...), "\r\n"...)
}

// AppendRequest appends the request line of a request.
func AppendRequest(b []byte, method, target string) []byte {
	b = append(append(b, method...), ' ')
	return append(append(b, target...), " HTTP/1.1\r\n"...)
}

// AppendField appends a header field.
func AppendField(b []byte, name, value string) []byte {
	b = append(append(b, name...), ": "...)
	return append(append(b, value...), "\r\n"...)
}

// AppendBody appends a Content-Length field, the end of the head and the body.
func AppendBody(b, body []byte) []byte {
	b = strconv.AppendInt(append(b, "Content-Length: "...), int64(len(body)), 10)
	return append(append(b, "\r\n\r\n"...), body...)
}

// AppendChunk appends one chunk of a body. It appends nothing if chunk is empty, because an empty chunk would end the body.
func AppendChunk(b, chunk []byte) []byte {
	if len(chunk) == 0 {
		return b
	}
	b = append(strconv.AppendInt(b, int64(len(chunk)), 16), "\r\n"...)
	return append(append(b, chunk...), "\r\n"...)
}

// AppendLastChunk appends the last chunk of a body and the trailer fields.
func AppendLastChunk(b []byte, trailer []Field) []byte {
	b = append(b, "0\r\n"...)
	for _, f := range trailer {
		b = AppendField(b, f.Name, f.Value)
	}
	return append(b, "\r\n"...)
}
