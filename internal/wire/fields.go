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

// readLine reads the next line, also one longer than the buffer.
func (r *Reader) readLine() error {
	line, err := r.in.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		r.longLine = r.longLine[:0]
		for errors.Is(err, bufio.ErrBufferFull) {
			r.longLine = append(r.longLine, line...)
			line, err = r.in.ReadSlice('\n')
		}
		r.longLine = append(r.longLine, line...)
		line = r.longLine
	}
	if err != nil && (len(line) == 0 || !errors.Is(err, io.EOF)) {
		return err
	}
	r.line = bytes.TrimSuffix(line, []byte("\n"))
	r.rest = r.line
	return nil
}

// nextField takes the next field of the line; nil where there is none.
func (r *Reader) nextField() []byte {
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

// endOfLine returns an error if the line has more fields.
func (r *Reader) endOfLine() error {
	if len(r.rest) > 0 {
		return r.syntaxError("more parts than the message has")
	}
	return nil
}

// syntaxError returns an error about the current line.
func (r *Reader) syntaxError(what string) error { return &SyntaxError{string(r.line), what} }

// intern returns the string of b without a copy for those that came before.
func (r *Reader) intern(b []byte) string {
	if s, ok := r.names[string(b)]; ok {
		return s
	}
	s := string(b)
	r.names[s] = s
	return s
}

// absent reports whether a field is missing, empty or the protocol's dash.
func absent(w []byte) bool { return len(w) == 0 || len(w) == 1 && w[0] == '-' }

// text reads a field that must not be absent; it is valid until the next line.
func (r *Reader) text(what string) ([]byte, error) {
	w := r.nextField()
	if absent(w) {
		return nil, r.syntaxError("no " + what)
	}
	return w, nil
}

func (r *Reader) requestID() (string, error) {
	w, err := r.text("request id")
	return string(w), err
}

// number parses a small whole number.
func (r *Reader) number(w []byte, what string) (int, error) {
	n, err := strconv.ParseUint(string(w), 10, 31)
	if err != nil {
		return 0, r.syntaxError("bad " + what)
	}
	return int(n), nil
}

// index reads a small whole number; an absent one is 0.
func (r *Reader) index(what string) (int, error) {
	v, err := r.unsigned(what)
	if err != nil || v > math.MaxInt32 {
		return 0, r.syntaxError("bad " + what)
	}
	return int(v), nil
}

// unsigned reads a whole number; an absent one is 0.
func (r *Reader) unsigned(what string) (uint64, error) {
	w := r.nextField()
	if w == nil {
		return 0, r.syntaxError("no " + what)
	}
	if absent(w) {
		return 0, nil
	}
	v, err := strconv.ParseUint(string(w), 10, 64)
	if err != nil {
		return 0, r.syntaxError("bad " + what)
	}
	return v, nil
}

// seed reads a seed, which may be signed.
func (r *Reader) seed() (uint64, error) {
	w := r.nextField()
	if v, err := strconv.ParseInt(string(w), 10, 64); err == nil {
		return uint64(v), nil
	}
	v, err := strconv.ParseUint(string(w), 10, 64)
	if err != nil {
		return 0, r.syntaxError("bad seed")
	}
	return v, nil
}

// bool reads 0, 1 or a dash.
func (r *Reader) bool() (bool, error) {
	w := r.nextField()
	switch {
	case absent(w) && w != nil, string(w) == "0":
		return false, nil
	case string(w) == "1":
		return true, nil
	}
	return false, r.syntaxError("bad bool")
}

// float reads a number; an absent one is 0.
func (r *Reader) float(what string) (float64, error) {
	w := r.nextField()
	if w == nil {
		return 0, r.syntaxError("no " + what)
	}
	if absent(w) {
		return 0, nil
	}
	v, err := parseFloat(w)
	if err != nil {
		return 0, r.syntaxError("bad " + what)
	}
	return v, nil
}

// maxSeconds bounds times to what a Duration holds.
const maxSeconds = 1e9

// seconds reads a time, to the microsecond.
func (r *Reader) seconds() (time.Duration, error) {
	v, err := r.float("time")
	if err != nil {
		return 0, err
	}
	if v < -maxSeconds || v > maxSeconds {
		return 0, r.syntaxError("time out of range")
	}
	return time.Duration(math.Round(v*1e6)) * time.Microsecond, nil
}

// skip skips n fields.
func (r *Reader) skip(n int) error {
	for range n {
		if r.nextField() == nil {
			return r.syntaxError("too few parts")
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
