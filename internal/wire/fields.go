package wire

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"math"
	"strconv"
	"time"
)

func (r *Reader) readLine() error {
	line, err := r.in.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		r.long = r.long[:0]
		for err == bufio.ErrBufferFull {
			r.long = append(r.long, line...)
			line, err = r.in.ReadSlice('\n')
		}
		r.long = append(r.long, line...)
		line = r.long
	}
	if err != nil && (len(line) == 0 || !errors.Is(err, io.EOF)) {
		return err
	}
	r.line = bytes.TrimSuffix(line, []byte("\n"))
	r.rest = r.line
	return nil
}

// word takes the next part of the line; nil where there is none.
func (r *Reader) word() []byte {
	if r.rest == nil {
		return nil
	}
	i := bytes.IndexByte(r.rest, ' ')
	if i < 0 {
		w := r.rest
		r.rest = nil
		return w
	}
	w := r.rest[:i]
	r.rest = r.rest[i+1:]
	return w
}

func (r *Reader) done() error {
	if len(r.rest) > 0 {
		return r.bad("more parts than the message has")
	}
	return nil
}

func (r *Reader) bad(what string) error { return &SyntaxError{string(r.line), what} }

func (r *Reader) intern(b []byte) string {
	if s, ok := r.names[string(b)]; ok {
		return s
	}
	s := string(b)
	r.names[s] = s
	return s
}

func absent(w []byte) bool { return len(w) == 0 || len(w) == 1 && w[0] == '-' }

func (r *Reader) text(what string) ([]byte, error) {
	w := r.word()
	if absent(w) {
		return nil, r.bad("no " + what)
	}
	return w, nil
}

func (r *Reader) copied(what string) (string, error) {
	w, err := r.text(what)
	return string(w), err
}

func (r *Reader) number(w []byte, what string) (int, error) {
	n, err := strconv.ParseUint(string(w), 10, 31)
	if err != nil {
		return 0, r.bad("bad " + what)
	}
	return int(n), nil
}

// index reads a small whole number; an absent one is 0.
func (r *Reader) index(what string) (int, error) {
	v, err := r.unsigned(what)
	if err != nil || v > math.MaxInt32 {
		return 0, r.bad("bad " + what)
	}
	return int(v), nil
}

func (r *Reader) unsigned(what string) (uint64, error) {
	w := r.word()
	if w == nil {
		return 0, r.bad("no " + what)
	}
	if absent(w) {
		return 0, nil
	}
	v, err := strconv.ParseUint(string(w), 10, 64)
	if err != nil {
		return 0, r.bad("bad " + what)
	}
	return v, nil
}

func (r *Reader) seed() (uint64, error) {
	w := r.word()
	if v, err := strconv.ParseInt(string(w), 10, 64); err == nil {
		return uint64(v), nil
	}
	v, err := strconv.ParseUint(string(w), 10, 64)
	if err != nil {
		return 0, r.bad("bad seed")
	}
	return v, nil
}

func (r *Reader) bool() (bool, error) {
	w := r.word()
	switch {
	case absent(w) && w != nil, string(w) == "0":
		return false, nil
	case string(w) == "1":
		return true, nil
	}
	return false, r.bad("bad bool")
}

func (r *Reader) float(what string) (float64, error) {
	w := r.word()
	if w == nil {
		return 0, r.bad("no " + what)
	}
	if absent(w) {
		return 0, nil
	}
	v, err := parseFloat(w)
	if err != nil {
		return 0, r.bad("bad " + what)
	}
	return v, nil
}

// maxSeconds keeps times within what a Duration holds.
const maxSeconds = 1e9

func (r *Reader) seconds() (time.Duration, error) {
	v, err := r.float("time")
	if err != nil {
		return 0, err
	}
	if v < -maxSeconds || v > maxSeconds {
		return 0, r.bad("time out of range")
	}
	return time.Duration(math.Round(v*1e6)) * time.Microsecond, nil
}

func (r *Reader) skip(n int) error {
	for range n {
		if r.word() == nil {
			return r.bad("too few parts")
		}
	}
	return nil
}

// parseFloat takes the common short form by hand and leaves the rest to strconv.
func parseFloat(w []byte) (float64, error) {
	var mant, div uint64 = 0, 0
	for i, c := range w {
		switch {
		case c >= '0' && c <= '9' && i < 17:
			mant = mant*10 + uint64(c-'0')
			div *= 10
		case c == '.' && div == 0 && i > 0 && i < len(w)-1:
			div = 1
		default:
			v, err := strconv.ParseFloat(string(w), 64)
			if err == nil && (math.IsNaN(v) || math.IsInf(v, 0)) {
				err = strconv.ErrRange
			}
			return v, err
		}
	}
	if len(w) == 0 {
		return 0, strconv.ErrSyntax
	}
	if div > 1 {
		return float64(mant) / float64(div), nil
	}
	return float64(mant), nil
}
