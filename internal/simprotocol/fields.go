package simprotocol

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"math"
	"strconv"
	"time"
)

// readLine reads the next line, which may be longer than the buffer of the input.
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
	r.unread = r.line
	return nil
}

// nextField consumes the next field of the line, and returns nil if there is none.
func (r *Reader) nextField() []byte {
	if r.unread == nil {
		return nil
	}
	i := bytes.IndexByte(r.unread, ' ')
	if i < 0 {
		w := r.unread
		r.unread = nil
		return w
	}
	w := r.unread[:i]
	r.unread = r.unread[i+1:]
	return w
}

// endOfLine returns an error if the line has more fields.
func (r *Reader) endOfLine() error {
	if len(r.unread) > 0 {
		return r.syntaxError("more parts than the message has")
	}
	return nil
}

// syntaxError returns an error about the current line.
func (r *Reader) syntaxError(what string) error { return &SyntaxError{string(r.line), what} }

// intern returns b as a string. It allocates only for a name that it has not returned before.
func (r *Reader) intern(b []byte) string {
	if s, ok := r.names[string(b)]; ok {
		return s
	}
	s := string(b)
	r.names[s] = s
	return s
}

// isAbsent reports whether a field is missing, empty or "-", which the protocol writes for an absent value.
func isAbsent(w []byte) bool { return len(w) == 0 || len(w) == 1 && w[0] == '-' }

// requiredField reads a field that must not be absent. The field is valid until the next line is read.
func (r *Reader) requiredField(what string) ([]byte, error) {
	w := r.nextField()
	if isAbsent(w) {
		return nil, r.syntaxError("no " + what)
	}
	return w, nil
}

func (r *Reader) requestID() (string, error) {
	w, err := r.requiredField("request id")
	return string(w), err
}

// parseNumber parses an unsigned integer of at most 31 bits.
func (r *Reader) parseNumber(w []byte, what string) (int, error) {
	n, err := strconv.ParseUint(string(w), 10, 31)
	if err != nil {
		return 0, r.syntaxError("bad " + what)
	}
	return int(n), nil
}

// optionalIndex reads an unsigned integer of at most 31 bits, or 0 for an empty field or "-".
func (r *Reader) optionalIndex(what string) (int, error) {
	v, err := r.optionalUint(what)
	if err != nil || v > math.MaxInt32 {
		return 0, r.syntaxError("bad " + what)
	}
	return int(v), nil
}

// optionalUint reads an unsigned integer, or 0 for an empty field or "-".
func (r *Reader) optionalUint(what string) (uint64, error) {
	w := r.nextField()
	if w == nil {
		return 0, r.syntaxError("no " + what)
	}
	if isAbsent(w) {
		return 0, nil
	}
	v, err := strconv.ParseUint(string(w), 10, 64)
	if err != nil {
		return 0, r.syntaxError("bad " + what)
	}
	return v, nil
}

// seedField reads the seed of an instance as a signed or unsigned integer of 64 bits.
func (r *Reader) seedField() (uint64, error) {
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

// boolField reads 1 as true, and 0 or "-" as false.
func (r *Reader) boolField() (bool, error) {
	w := r.nextField()
	switch {
	case isAbsent(w) && w != nil, string(w) == "0":
		return false, nil
	case string(w) == "1":
		return true, nil
	}
	return false, r.syntaxError("bad bool")
}

// optionalFloat reads a finite number, or 0 for an empty field or "-".
func (r *Reader) optionalFloat(what string) (float64, error) {
	w := r.nextField()
	if w == nil {
		return 0, r.syntaxError("no " + what)
	}
	if isAbsent(w) {
		return 0, nil
	}
	v, err := parseFloat(w)
	if err != nil {
		return 0, r.syntaxError("bad " + what)
	}
	return v, nil
}

// maxSeconds bounds times in seconds, so that they fit into a time.Duration.
const maxSeconds = 1e9

// timeField reads a time in seconds and rounds it to microseconds.
func (r *Reader) timeField() (time.Duration, error) {
	v, err := r.optionalFloat("time")
	if err != nil {
		return 0, err
	}
	if v < -maxSeconds || v > maxSeconds {
		return 0, r.syntaxError("time out of range")
	}
	return time.Duration(math.Round(v*1e6)) * time.Microsecond, nil
}

// skipFields consumes n fields, which must be present.
func (r *Reader) skipFields(n int) error {
	for range n {
		if r.nextField() == nil {
			return r.syntaxError("too few parts")
		}
	}
	return nil
}

// parseFloat parses a finite number. Up to 17 characters of digits with a decimal point, the usual form, are parsed without an
// allocation; strconv parses all others.
func parseFloat(w []byte) (float64, error) {
	var mantissa, divisor uint64 = 0, 0
	for i, c := range w {
		switch {
		case c >= '0' && c <= '9' && i < 17:
			mantissa = mantissa*10 + uint64(c-'0')
			divisor *= 10
		case c == '.' && divisor == 0 && i > 0 && i < len(w)-1:
			divisor = 1
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
	if divisor > 1 {
		return float64(mantissa) / float64(divisor), nil
	}
	return float64(mantissa), nil
}
