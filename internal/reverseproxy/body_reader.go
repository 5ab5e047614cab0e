package reverseproxy

import (
	"errors"
	"io"
	"net"

	"sedgevale/internal/http1"
)

// bodyReader reads a message from a connection that blocks.
type bodyReader struct {
	conn   net.Conn
	parser *http1.Parser
	buf    []byte // read and not parsed
	chunk  []byte
}

// next returns the next bytes of the body, which are valid until the next call, or its end.
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

// head reads the head of a response and skips interim ones.
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

// fill reads on behind the bytes that are not parsed. It returns an error only if nothing came.
func (r *bodyReader) fill() error {
	left := copy(r.chunk, r.buf)
	n, err := r.conn.Read(r.chunk[left:])
	r.buf = r.chunk[:left+n]
	if n > 0 {
		return nil
	}
	return err
}

func isEOF(err error) bool { return errors.Is(err, io.EOF) }
