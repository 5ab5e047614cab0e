package reverseproxy

import (
	"errors"
	"io"
	"net"

	"sedgevale/internal/http1"
)

// bodyReader reads and parses one HTTP message from a blocking connection.
type bodyReader struct {
	conn   net.Conn
	parser *http1.Parser
	buf    []byte // bytes read but not yet parsed
	chunk  []byte // read buffer
}

// next returns the next part of the body, which is valid until the next call, or reports the end of the body.
func (r *bodyReader) next() (body []byte, end bool, err error) {
	for {
		n, ev, part, err := r.parser.Next(r.buf)
		if err != nil {
			return nil, false, err
		}
		r.buf = r.buf[n:]
		switch ev {
		case http1.Body:
			return part, false, nil
		case http1.Ended:
			return nil, true, nil
		case http1.HeadParsed:
			continue
		}
		if err := r.fill(); err != nil {
			if r.parser.UntilClose() && isEOF(err) {
				return nil, true, nil
			}
			return nil, false, err
		}
	}
}

// head reads the head of the final response and skips interim (1xx) responses.
func (r *bodyReader) head() (*http1.Head, error) {
	for {
		n, ev, _, err := r.parser.Next(r.buf)
		if err != nil {
			return nil, err
		}
		r.buf = r.buf[n:]
		if ev == http1.HeadParsed && r.parser.Head.Status >= 200 {
			h := r.parser.Head
			return &h, nil
		}
		if ev != http1.NeedMore {
			continue
		}
		if err := r.fill(); err != nil {
			return nil, err
		}
	}
}

// fill reads from the connection and appends to the unparsed bytes. It returns an error only if it read nothing.
func (r *bodyReader) fill() error {
	unparsed := copy(r.chunk, r.buf)
	n, err := r.conn.Read(r.chunk[unparsed:])
	r.buf = r.chunk[:unparsed+n]
	if n > 0 {
		return nil
	}
	return err
}

func isEOF(err error) bool { return errors.Is(err, io.EOF) }
