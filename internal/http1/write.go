package http1

import "strconv"

var reasons = map[int]string{
	200: "OK", 204: "No Content", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	406: "Not Acceptable", 408: "Request Timeout", 409: "Conflict", 413: "Content Too Large", 429: "Too Many Requests",
	431: "Request Header Fields Too Large", 500: "Internal Server Error", 501: "Not Implemented",
	502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout", 505: "HTTP Version Not Supported",
}

// AppendStatus adds the start line of a response.
func AppendStatus(b []byte, status int) []byte {
	b = strconv.AppendInt(append(b, "HTTP/1.1 "...), int64(status), 10)
	return append(append(append(b, ' '), reasons[status]...), "\r\n"...)
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
