package http1

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"sedgevale/internal/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m, 300) }

// parseParts parses messages that arrive in the given parts and returns a description of them.
func parseParts(kind Kind, parts ...[]byte) (description string, err error) {
	p := NewParser(kind)
	var buf, body []byte
	for _, part := range parts {
		buf = append(buf, part...)
		for {
			n, ev, b, err := p.Next(buf)
			if n > len(buf) {
				return description, errors.New("Next consumed more bytes than it was passed")
			}
			body = append(body, b...)
			buf = buf[n:]
			if err != nil {
				return description, err
			}
			if ev == NeedMore {
				break
			}
			if ev == Ended {
				h := &p.Head
				description += fmt.Sprintf("%s %s %d %v %q\n", h.Method, h.Target, h.Status, h.Fields, body)
				body = nil
			}
		}
	}
	if len(buf) > 0 || !p.Idle() {
		description += "unfinished"
	}
	return description, nil
}

var token = rapid.StringMatching(`[a-zA-Z0-9-]{1,12}`)

// message draws a valid message and the description that parseParts returns for it.
func message(t *rapid.T, kind Kind) (text []byte, want string) {
	method, target, status := "", "", 0
	var b bytes.Buffer
	if kind == Request {
		method, target = token.Draw(t, "method"), "/"+token.Draw(t, "target")
		fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: h\r\n", method, target)
	} else {
		status = rapid.SampledFrom([]int{200, 429, 500, 503}).Draw(t, "status")
		fmt.Fprintf(&b, "HTTP/1.1 %d Some text\r\nHost: h\r\n", status)
	}
	fields := []Field{{"Host", "h"}}
	add := func(name, value string) {
		fmt.Fprintf(&b, "%s:%s\r\n", name, " "+value+" ")
		fields = append(fields, Field{name, value})
	}
	for range rapid.IntRange(0, 3).Draw(t, "fields") {
		add("X-"+token.Draw(t, "name"), token.Draw(t, "value"))
	}
	body := rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "body")
	if rapid.Bool().Draw(t, "chunked") {
		add("Transfer-Encoding", "chunked")
		b.WriteString("\r\n")
		for rest := body; len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "chunk")
			fmt.Fprintf(&b, "%x;ext=1\r\n%s\r\n", n, rest[:n])
			rest = rest[n:]
		}
		b.WriteString("0\r\nTrailer: x\r\n\r\n")
	} else {
		add("Content-Length", fmt.Sprint(len(body)))
		b.WriteString("\r\n")
		b.Write(body)
	}
	return b.Bytes(), fmt.Sprintf("%s %s %d %v %q\n", method, target, status, fields, body)
}

// TestSplitInput checks that the result of parsing a sequence of valid messages does not depend on how the input is split.
func TestSplitInput(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kind := rapid.SampledFrom([]Kind{Request, Response}).Draw(t, "kind")
		var all []byte
		want := ""
		for range rapid.IntRange(1, 3).Draw(t, "messages") {
			text, description := message(t, kind)
			all, want = append(all, text...), want+description
		}
		var parts [][]byte
		for len(all) > 0 {
			n := rapid.IntRange(1, len(all)).Draw(t, "split")
			parts, all = append(parts, all[:n]), all[n:]
		}
		if got, err := parseParts(kind, parts...); err != nil || got != want {
			t.Fatalf("got %q, error %v; want %q", got, err, want)
		}
	})
}

// TestInvalidInput checks that random input, alone or after a valid beginning, causes neither a panic nor a read beyond its
// end, and that every error is an *Error.
func TestInvalidInput(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kind := rapid.SampledFrom([]Kind{Request, Response}).Draw(t, "kind")
		text, _ := message(t, kind)
		text = append([]byte(nil), text[:rapid.IntRange(0, len(text)).Draw(t, "start")]...)
		for range rapid.IntRange(0, 4).Draw(t, "flips") {
			if len(text) > 0 {
				text[rapid.IntRange(0, len(text)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
			}
		}
		text = append(text, rapid.SliceOfN(rapid.Byte(), 0, 100).Draw(t, "tail")...)
		_, err := parseParts(kind, text)
		var protocolError *Error
		if err != nil && !errors.As(err, &protocolError) {
			t.Fatalf("got %T %v, want an *Error", err, err)
		}
	})
}

func TestProtocolErrors(t *testing.T) {
	for text, want := range map[string]int{
		"GET / HTTP/1.1\r\n\r\n":                                                                     400,
		"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n":                                               400,
		"GET / HTTP/1.1\r\nHost : a\r\n\r\n":                                                         400,
		"GET / HTTP/1.1\r\nHost: a\r\n folded\r\n\r\n":                                               400,
		"GET / HTTP/1.1\r\nHost: a\x00\r\n\r\n":                                                      400,
		"GET  / HTTP/1.1\r\nHost: a\r\n\r\n":                                                         400,
		"GET / HTTP/3.1\r\nHost: a\r\n\r\n":                                                          505,
		"GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n":                400,
		"GET / HTTP/1.1\r\nHost: a\r\nContent-Length: +1\r\n\r\n":                                    400,
		"GET / HTTP/1.1\r\nHost: a\r\nContent-Length: \r\n\r\n":                                      400,
		"GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n":       400,
		"GET / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: br\r\n\r\n":                                 501,
		"GET / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n":                     400,
		"GET / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n":                 400,
		"GET / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n\r\n":                        400,
		"GET / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1", 999): 400,
		"GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("A: b\r\n", 101) + "\r\n":                   431,
		strings.Repeat("x", MaxHeadBytes+1):                                                          431,
	} {
		var protocolError *Error
		if _, err := parseParts(Request, []byte(text)); !errors.As(err, &protocolError) || protocolError.Status != want {
			t.Errorf("%.70q: got error %v, want status %d", text, err, want)
		}
	}
}

// TestResponseBodies checks that the body of a response without a length lasts until the connection is closed, and that
// responses whose status forbids a body have none.
func TestResponseBodies(t *testing.T) {
	p := NewParser(Response)
	text := []byte("HTTP/1.1 200 OK\r\n\r\nabc")
	n, ev, _, err := p.Next(text)
	if ev != HeadParsed || err != nil || !p.UntilClose() || !p.Head.Close {
		t.Errorf("response without a length: got event %v, head %v, error %v", ev, p.Head, err)
	}
	if _, ev, body, _ := p.Next(text[n:]); ev != Body || string(body) != "abc" {
		t.Errorf("body without a length: got event %v, body %q; want abc", ev, body)
	}
	got, err := parseParts(Response, []byte("HTTP/1.1 204 No\r\n\r\nHTTP/1.1 100 Continue\r\nA: b\r\n\r\n"))
	if err != nil || !strings.HasPrefix(got, "  204 [] \"\"\n  100 [{A b}] \"\"\n") || strings.Contains(got, "unfinished") {
		t.Errorf("responses without a body: got %q, error %v", got, err)
	}
}
