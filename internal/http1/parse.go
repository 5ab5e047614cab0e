// Package http1 reads and writes HTTP/1.1 messages. It works on bytes alone:
// it opens no connection, keeps no buffer, and bounds all that it reads.
package http1

import (
	"bytes"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// The bounds of a message.
const (
	MaxHead   = 16 << 10 // start line and fields
	maxFields = 100
	maxChunkLine  = 256     // the line that opens a chunk
	maxTrailerBytes  = 4 << 10 // trailer fields, which are dropped
)

// Error is a message that does not follow the protocol. Status is what a
// server should answer.
type Error struct {
	Status int
	Text   string
}

func (e *Error) Error() string { return fmt.Sprintf("%s (%d)", e.Text, e.Status) }

func errBadRequest(text string) error { return &Error{400, text} }

// Field is a header field.
type Field struct{ Name, Value string }

// Head is the start line and the fields of a message.
type Head struct {
	Method, Target string // of a request
	Status         int    // of a response
	Fields         []Field
	Close          bool // the connection ends with this message
	Length         int64
	Chunked        bool
	Old            bool    // HTTP/1.0
	Trailer        []Field // behind a chunked body; only if the Parser keeps it
}

// Get returns the value of the first field of that name, or "".
func (h *Head) Get(name string) string {
	for i := range h.Fields {
		if strings.EqualFold(h.Fields[i].Name, name) {
			return h.Fields[i].Value
		}
	}
	return ""
}

// Event is what Parser.Next has found.
type Event uint8

// The events of a message, in their order: one Headed, any number of Body,
// one Ended. More means that further bytes are needed.
const (
	More Event = iota
	Headed
	Body
	Ended
)

// Kind tells requests from responses.
type Kind uint8

// The kinds of messages.
const (
	Request Kind = iota
	Response
)

type state uint8

const (
	atHead state = iota
	atBody
	atBodyUntilClose // a response's body up to the end of the connection
	atChunkLine
	atChunk
	atChunkEnd
	atTrailer
	atEnd
)

// Parser takes messages apart as their bytes come. The caller keeps what Next
// has not taken and offers it again with what follows.
type Parser struct {
	Head Head // of the message at hand; valid from Headed on

	// NoBody says of the next response that it has no body whatever its head says: it
	// answers HEAD.
	NoBody bool
	// KeepTrailer has the fields behind a chunked body kept; else they are dropped.
	KeepTrailer bool

	kind    Kind
	state   state
	scanned int // bytes already searched for the end of the head or line
	bodyLeft    int64
	trailerBytes int
}

// NewParser returns a Parser for one direction of a connection.
func NewParser(kind Kind) *Parser { return &Parser{kind: kind} }

// Idle reports whether the parser stands between two messages.
func (p *Parser) Idle() bool { return p.state == atHead && p.scanned == 0 }

// UntilClose reports whether the body lasts as long as the connection.
func (p *Parser) UntilClose() bool { return p.state == atBodyUntilClose }

// Next looks at the bytes that are there and returns how many it has taken,
// what they were, and for Body the bytes themselves, which are part of buf.
// With More nothing further can be said until more bytes come. After an error
// the connection is of no more use.
func (p *Parser) Next(buf []byte) (n int, ev Event, body []byte, err error) {
	for {
		switch p.state {
		case atHead:
			k, done, err := p.nextHead(buf[n:])
			n += k
			if err != nil || !done {
				return n, More, nil, err
			}
			return n, Headed, nil, nil
		case atBody, atChunk, atBodyUntilClose:
			if p.bodyLeft == 0 && p.state != atBodyUntilClose {
				p.state = map[state]state{atBody: atEnd, atChunk: atChunkEnd}[p.state]
				continue
			}
			k := len(buf) - n
			if p.state != atBodyUntilClose {
				k = int(min(int64(k), p.bodyLeft))
				p.bodyLeft -= int64(k)
			}
			if k == 0 {
				return n, More, nil, nil
			}
			return n + k, Body, buf[n : n+k], nil
		case atChunkLine, atChunkEnd, atTrailer:
			k, done, err := p.nextLine(buf[n:])
			n += k
			if err != nil || !done {
				return n, More, nil, err
			}
		case atEnd:
			p.state = atHead
			return n, Ended, nil, nil
		}
	}
}

// nextLine reads one of the lines around chunks.
func (p *Parser) nextLine(buf []byte) (n int, done bool, err error) {
	limit := maxChunkLine
	if p.state == atTrailer {
		limit = maxTrailerBytes - p.trailerBytes
	}
	end := bytes.IndexByte(buf[p.scanned:], '\n')
	if end < 0 {
		p.scanned = len(buf)
		if len(buf) > limit {
			return 0, false, errBadRequest("line of a chunk too long")
		}
		return 0, false, nil
	}
	end += p.scanned
	p.scanned = 0
	if end > limit {
		return 0, false, errBadRequest("line of a chunk too long")
	}
	if end == 0 || buf[end-1] != '\r' {
		return 0, false, errBadRequest("line of a chunk without CR LF")
	}
	line := buf[:end-1]
	switch p.state {
	case atChunkEnd:
		if len(line) > 0 {
			return 0, false, errBadRequest("chunk longer than announced")
		}
		p.state = atChunkLine
	case atChunkLine:
		size, _, _ := bytes.Cut(line, []byte(";"))
		size = bytes.TrimRight(size, " \t")
		v, err := strconv.ParseUint(string(size), 16, 31)
		if err != nil || len(size) > 8 || size[0] == '+' {
			return 0, false, errBadRequest("bad size of a chunk")
		}
		p.bodyLeft, p.state = int64(v), atChunk
		if v == 0 {
			p.state, p.trailerBytes = atTrailer, 0
		}
	case atTrailer:
		p.trailerBytes += end
		if len(line) == 0 {
			p.state = atEnd
		} else if p.KeepTrailer {
			f, err := parseField(string(line))
			if err != nil {
				return 0, false, err
			}
			p.Head.Trailer = append(p.Head.Trailer, f)
		}
	}
	return end + 1, true, nil
}

func (p *Parser) nextHead(buf []byte) (n int, done bool, err error) {
	skip := 0
	if p.kind == Request { // an empty line before a request is allowed
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
		if len(buf) > MaxHead {
			return 0, false, &Error{431, "head too large"}
		}
		return 0, false, nil
	}
	end += from
	p.scanned = 0
	if end > MaxHead {
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
	old, err := p.parseStartLine(start)
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
	return p.setFraming(old)
}

func (p *Parser) parseStartLine(line string) (old bool, err error) {
	h := &p.Head
	var version string
	if p.kind == Request {
		var ok, ok2 bool
		h.Method, line, ok = strings.Cut(line, " ")
		h.Target, version, ok2 = strings.Cut(line, " ")
		if !ok || !ok2 || !isToken(h.Method) || !isVisible(h.Target) {
			return false, errBadRequest("bad request line")
		}
	} else {
		var status string
		version, line, _ = strings.Cut(line, " ")
		status, _, _ = strings.Cut(line, " ")
		v, err := strconv.ParseUint(status, 10, 16)
		if err != nil || len(status) != 3 || v < 100 {
			return false, errBadRequest("bad status line")
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
	return false, errBadRequest("bad version")
}

func parseField(line string) (Field, error) {
	name, value, ok := strings.Cut(line, ":")
	if !ok || !isToken(name) {
		return Field{}, errBadRequest("bad field")
	}
	value = strings.Trim(value, " \t")
	for i := range len(value) {
		if c := value[i]; c < ' ' && c != '\t' || c == 0x7f {
			return Field{}, errBadRequest("control character in a field")
		}
	}
	return Field{name, value}, nil
}

// setFraming finds where the body ends.
func (p *Parser) setFraming(old bool) error {
	h := &p.Head
	h.Close, h.Old = old, old
	hosts, coded := 0, false
	for _, f := range h.Fields {
		switch {
		case strings.EqualFold(f.Name, "Connection"):
			for part := range strings.SplitSeq(f.Value, ",") {
				switch part = strings.TrimSpace(part); {
				case strings.EqualFold(part, "close"):
					h.Close = true
				case strings.EqualFold(part, "keep-alive") && old:
					h.Close = false
				}
			}
		case strings.EqualFold(f.Name, "Content-Length"):
			v, err := strconv.ParseUint(f.Value, 10, 63)
			if err != nil || f.Value[0] == '+' || h.Length >= 0 && h.Length != int64(v) {
				return errBadRequest("bad Content-Length")
			}
			h.Length = int64(v)
		case strings.EqualFold(f.Name, "Transfer-Encoding"):
			if coded {
				return errBadRequest("Transfer-Encoding given twice")
			}
			coded = true
			if !strings.EqualFold(f.Value, "chunked") {
				return &Error{501, "unknown Transfer-Encoding"}
			}
			h.Chunked = true
		case strings.EqualFold(f.Name, "Host"):
			hosts++
		}
	}
	if h.Chunked && (h.Length >= 0 || old) {
		return errBadRequest("Transfer-Encoding with Content-Length or HTTP/1.0")
	}
	if p.kind == Request && (hosts > 1 || hosts == 0 && !old) {
		return errBadRequest("one Host is needed")
	}
	switch {
	case p.kind == Response && p.NoBody && h.Status >= 200:
		p.state, p.bodyLeft, p.NoBody = atBody, 0, false
	case h.Chunked:
		p.state = atChunkLine
	case p.kind == Response && (h.Status < 200 || h.Status == 204 || h.Status == 304):
		p.state, p.bodyLeft = atBody, 0
	case h.Length >= 0:
		p.state, p.bodyLeft = atBody, h.Length
	case p.kind == Response:
		p.state, p.bodyLeft, h.Close = atBodyUntilClose, math.MaxInt64, true
	default:
		p.state, p.bodyLeft = atBody, 0
	}
	return nil
}

func isToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		if c <= ' ' || c >= 0x7f || strings.IndexByte(`"(),/:;<=>?@[\]{}`, c) >= 0 {
			return false
		}
	}
	return s != ""
}

func isVisible(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] == 0x7f {
			return false
		}
	}
	return s != ""
}
