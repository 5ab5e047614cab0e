// Package http1 parses and serializes HTTP/1.1 messages (RFC 9112). It works on byte slices only, without connections or
// buffers of its own, and limits the size of everything that it parses.
package http1

import (
	"bytes"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Limits of a message.
const (
	MaxHeadBytes    = 16 << 10 // bytes of the start line and header fields
	maxFields       = 100      // number of header fields
	maxChunkLine    = 256      // bytes of the line with a chunk's size
	maxTrailerBytes = 4 << 10  // bytes of the trailer fields
)

// Error reports a message that violates the protocol, exceeds a limit or uses an unsupported feature.
type Error struct {
	Status int    // status code with which a server should respond
	Text   string // body of that response
}

func (e *Error) Error() string { return fmt.Sprintf("%s (%d)", e.Text, e.Status) }

func badMessage(text string) error { return &Error{400, text} }

// Field is a header field.
type Field struct{ Name, Value string }

// Head is the start line and the fields of a message.
type Head struct {
	Method, Target string // set for requests
	Status         int    // set for responses
	Fields         []Field
	Close          bool  // whether the connection closes after this message
	Length         int64 // Content-Length in bytes; -1 if absent
	Chunked        bool
	HTTP10         bool    // whether the version is HTTP/1.0 rather than HTTP/1.1
	Trailer        []Field // trailer fields of a chunked body, set only with Parser.KeepTrailer
}

// Get returns the value of the first field with the given case-insensitive name, or "".
func (h *Head) Get(name string) string {
	for i := range h.Fields {
		if strings.EqualFold(h.Fields[i].Name, name) {
			return h.Fields[i].Value
		}
	}
	return ""
}

// Event is the kind of element that Parser.Next has parsed.
type Event uint8

// Events of a message: one HeadParsed, any number of Body and one Ended, in this order. NeedMore means that more bytes are
// needed.
const (
	NeedMore Event = iota
	HeadParsed
	Body
	Ended
)

// Kind distinguishes requests from responses.
type Kind uint8

// Kinds of messages.
const (
	Request Kind = iota
	Response
)

// state is the element that the parser expects next.
type state uint8

const (
	atHead state = iota
	atBody
	atBodyUntilClose // body of a response that ends when the connection is closed
	atChunkLine
	atChunk
	atChunkEnd
	atTrailer
	atEnd
)

// Parser parses messages incrementally. The caller keeps the bytes that Next has not consumed and passes them again,
// followed by new bytes.
type Parser struct {
	Head Head // head of the current message; valid after HeadParsed

	// NoBody indicates that the next final response has no body regardless of its head, because it responds to HEAD.
	NoBody bool
	// KeepTrailer stores the trailer fields of chunked bodies in Head.Trailer; otherwise they are discarded.
	KeepTrailer bool

	kind          Kind
	state         state
	scanned       int // bytes already searched for the end of the head or line
	bodyRemaining int64
	trailerBytes  int
}

// NewParser returns a Parser for one direction of a connection.
func NewParser(kind Kind) *Parser { return &Parser{kind: kind} }

// Idle reports whether the parser is between two messages.
func (p *Parser) Idle() bool { return p.state == atHead && p.scanned == 0 }

// UntilClose reports whether the current body lasts until the connection is closed.
func (p *Parser) UntilClose() bool { return p.state == atBodyUntilClose }

// Next parses buf up to the next event. It returns the number of bytes consumed, the event and, for Body, a subslice of buf
// with the bytes of the body. Every error is an *Error, after which the Parser must not be used.
func (p *Parser) Next(buf []byte) (n int, ev Event, body []byte, err error) {
	for {
		switch p.state {
		case atHead:
			k, done, err := p.nextHead(buf[n:])
			n += k
			if err != nil || !done {
				return n, NeedMore, nil, err
			}
			return n, HeadParsed, nil, nil
		case atBody, atChunk, atBodyUntilClose:
			if p.bodyRemaining == 0 && p.state != atBodyUntilClose {
				p.state = map[state]state{atBody: atEnd, atChunk: atChunkEnd}[p.state]
				continue
			}
			k := len(buf) - n
			if p.state != atBodyUntilClose {
				k = int(min(int64(k), p.bodyRemaining))
				p.bodyRemaining -= int64(k)
			}
			if k == 0 {
				return n, NeedMore, nil, nil
			}
			return n + k, Body, buf[n : n+k], nil
		case atChunkLine, atChunkEnd, atTrailer:
			k, done, err := p.nextLine(buf[n:])
			n += k
			if err != nil || !done {
				return n, NeedMore, nil, err
			}
		case atEnd:
			p.state = atHead
			return n, Ended, nil, nil
		}
	}
}

// nextLine parses a line of the chunked transfer coding. If the line is incomplete, it consumes nothing and returns false.
func (p *Parser) nextLine(buf []byte) (n int, done bool, err error) {
	line, n, err := p.scanLine(buf)
	if err != nil || n == 0 {
		return 0, false, err
	}
	switch p.state {
	case atChunkEnd:
		if len(line) > 0 {
			return 0, false, badMessage("chunk longer than announced")
		}
		p.state = atChunkLine
	case atChunkLine:
		err = p.parseChunkSize(line)
	case atTrailer:
		p.trailerBytes += n - 1
		err = p.parseTrailerLine(line)
	}
	if err != nil {
		return 0, false, err
	}
	return n, true, nil
}

// scanLine returns the first line of buf without its CRLF, and its length including the CRLF, or 0 if it is incomplete.
func (p *Parser) scanLine(buf []byte) (line []byte, n int, err error) {
	limit := maxChunkLine
	if p.state == atTrailer {
		limit = maxTrailerBytes - p.trailerBytes
	}
	end := bytes.IndexByte(buf[p.scanned:], '\n')
	if end < 0 {
		p.scanned = len(buf)
		if len(buf) > limit {
			return nil, 0, badMessage("line of a chunk too long")
		}
		return nil, 0, nil
	}
	end += p.scanned
	p.scanned = 0
	if end > limit {
		return nil, 0, badMessage("line of a chunk too long")
	}
	if end == 0 || buf[end-1] != '\r' {
		return nil, 0, badMessage("line of a chunk without CR LF")
	}
	return buf[:end-1], end + 1, nil
}

func (p *Parser) parseChunkSize(line []byte) error {
	size, _, _ := bytes.Cut(line, []byte(";"))
	size = bytes.TrimRight(size, " \t")
	v, err := strconv.ParseUint(string(size), 16, 31)
	if err != nil || len(size) > 8 || size[0] == '+' {
		return badMessage("bad size of a chunk")
	}
	p.bodyRemaining, p.state = int64(v), atChunk
	if v == 0 {
		p.state, p.trailerBytes = atTrailer, 0
	}
	return nil
}

func (p *Parser) parseTrailerLine(line []byte) error {
	if len(line) == 0 {
		p.state = atEnd
		return nil
	}
	if !p.KeepTrailer {
		return nil
	}
	f, err := parseField(string(line))
	if err != nil {
		return err
	}
	p.Head.Trailer = append(p.Head.Trailer, f)
	return nil
}

// nextHead parses a head. If the head is incomplete, it consumes nothing and returns false.
func (p *Parser) nextHead(buf []byte) (n int, done bool, err error) {
	skip := 0
	if p.kind == Request { // servers ignore empty lines before a request (RFC 9112, section 2.2)
		for skip < 4 && bytes.HasPrefix(buf[skip:], []byte("\r\n")) {
			skip += 2
		}
	}
	from := max(skip, p.scanned-3)
	end := -1
	if from < len(buf) {
		end = bytes.Index(buf[from:], []byte("\r\n\r\n"))
	}
	if end < 0 {
		p.scanned = len(buf)
		if len(buf) > MaxHeadBytes {
			return 0, false, &Error{431, "head too large"}
		}
		return 0, false, nil
	}
	end += from
	p.scanned = 0
	if end > MaxHeadBytes {
		return 0, false, &Error{431, "head too large"}
	}
	if err := p.parseHead(string(buf[skip:end])); err != nil {
		return 0, false, err
	}
	return end + 4, true, nil
}

func (p *Parser) parseHead(text string) error {
	p.Head = Head{Length: -1}
	var fields []Field
	start, rest, more := strings.Cut(text, "\r\n")
	http10, err := p.parseStartLine(start)
	if err != nil {
		return err
	}
	for more {
		var line string
		line, rest, more = strings.Cut(rest, "\r\n")
		f, err := parseField(line)
		if err != nil {
			return err
		}
		if len(fields) == maxFields {
			return &Error{431, "too many fields"}
		}
		fields = append(fields, f)
	}
	p.Head.Fields = fields
	return p.setFraming(http10)
}

func (p *Parser) parseStartLine(line string) (http10 bool, err error) {
	h := &p.Head
	var version string
	if p.kind == Request {
		var ok, ok2 bool
		h.Method, line, ok = strings.Cut(line, " ")
		h.Target, version, ok2 = strings.Cut(line, " ")
		if !ok || !ok2 || !isToken(h.Method) || !isVisible(h.Target) {
			return false, badMessage("bad request line")
		}
	} else {
		var status string
		version, line, _ = strings.Cut(line, " ")
		status, _, _ = strings.Cut(line, " ")
		v, err := strconv.ParseUint(status, 10, 16)
		if err != nil || len(status) != 3 || v < 100 {
			return false, badMessage("bad status line")
		}
		h.Status = int(v)
	}
	switch version {
	case "HTTP/1.1":
		return false, nil
	case "HTTP/1.0":
		return true, nil
	}
	if len(version) == 8 && strings.HasPrefix(version, "HTTP/") {
		return false, &Error{505, "unknown version"}
	}
	return false, badMessage("bad version")
}

func parseField(line string) (Field, error) {
	name, value, ok := strings.Cut(line, ":")
	if !ok || !isToken(name) {
		return Field{}, badMessage("bad field")
	}
	value = strings.Trim(value, " \t")
	for i := range len(value) {
		if c := value[i]; c < ' ' && c != '\t' || c == 0x7f {
			return Field{}, badMessage("control character in a field")
		}
	}
	return Field{name, value}, nil
}

// setFraming determines how the end of the body is delimited (RFC 9112, section 6.3).
func (p *Parser) setFraming(http10 bool) error {
	h := &p.Head
	h.Close, h.HTTP10 = http10, http10
	hosts := 0
	for _, f := range h.Fields {
		if strings.EqualFold(f.Name, "Host") {
			hosts++
		}
		if err := h.applyField(f); err != nil {
			return err
		}
	}
	if h.Chunked && (h.Length >= 0 || http10) {
		return badMessage("Transfer-Encoding with Content-Length or HTTP/1.0")
	}
	if p.kind == Request && (hosts > 1 || hosts == 0 && !http10) {
		return badMessage("one Host is needed")
	}
	p.expectBody()
	return nil
}

// applyField applies the effect of a field on the framing.
func (h *Head) applyField(f Field) error {
	switch {
	case strings.EqualFold(f.Name, "Connection"):
		h.applyConnection(f.Value)
	case strings.EqualFold(f.Name, "Content-Length"):
		v, err := strconv.ParseUint(f.Value, 10, 63)
		if err != nil || f.Value[0] == '+' || h.Length >= 0 && h.Length != int64(v) {
			return badMessage("bad Content-Length")
		}
		h.Length = int64(v)
	case strings.EqualFold(f.Name, "Transfer-Encoding"):
		if h.Chunked {
			return badMessage("Transfer-Encoding given twice")
		}
		if !strings.EqualFold(f.Value, "chunked") {
			return &Error{501, "unknown Transfer-Encoding"}
		}
		h.Chunked = true
	}
	return nil
}

func (h *Head) applyConnection(value string) {
	for option := range strings.SplitSeq(value, ",") {
		switch option = strings.TrimSpace(option); {
		case strings.EqualFold(option, "close"):
			h.Close = true
		case strings.EqualFold(option, "keep-alive") && h.HTTP10:
			h.Close = false
		}
	}
}

// expectBody sets the parser state for the body that the head describes.
func (p *Parser) expectBody() {
	h := &p.Head
	switch {
	case p.kind == Response && p.NoBody && h.Status >= 200:
		p.state, p.bodyRemaining, p.NoBody = atBody, 0, false
	case h.Chunked:
		p.state = atChunkLine
	case p.kind == Response && (h.Status < 200 || h.Status == 204 || h.Status == 304):
		p.state, p.bodyRemaining = atBody, 0
	case h.Length >= 0:
		p.state, p.bodyRemaining = atBody, h.Length
	case p.kind == Response:
		p.state, p.bodyRemaining, h.Close = atBodyUntilClose, math.MaxInt64, true
	default:
		p.state, p.bodyRemaining = atBody, 0
	}
}

// isToken reports whether s is a token (RFC 9110, section 5.6.2).
func isToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		if c <= ' ' || c >= 0x7f || strings.IndexByte(`"(),/:;<=>?@[\]{}`, c) >= 0 {
			return false
		}
	}
	return s != ""
}

// isVisible reports whether s is non-empty and contains neither spaces nor control characters.
func isVisible(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] == 0x7f {
			return false
		}
	}
	return s != ""
}
