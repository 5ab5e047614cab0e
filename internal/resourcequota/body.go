package resourcequota

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// BodyLimits bound the body of a request.
type BodyLimits struct {
	MaxBytes    int64
	Copies      int64 // how many times the process holds the body while it handles the request
	NeedsLength bool  // whether a body without a Content-Length is refused
}

// Errors of ReadBody besides ErrBusy and those of the connection.
var (
	errLengthRequired = errors.New("body: a Content-Length is required")
	errSlow           = fmt.Errorf("body: it came too slowly while others needed the room: %w", ErrBusy)
)

// TooLargeError is returned for a body of more than Limit bytes.
type TooLargeError struct{ Limit int64 }

func (e *TooLargeError) Error() string { return fmt.Sprintf("body: more than %d bytes", e.Limit) }

// bodyChunk is the size in bytes of the pieces in which a body of unknown length is read.
const bodyChunk = 16 << 10

// ReservationFor returns a Reservation on the quota of the request's server. It is nil if the server has none.
func ReservationFor(ctx context.Context) *Reservation {
	c := connectionOf(ctx)
	if c == nil {
		return nil
	}
	return c.quota.Reserve(func() { _ = c.SetReadDeadline(time.Unix(1, 0)) })
}

// ReadBody reads the body of a request and counts it against the quota of the server. The caller must release the Reservation, also
// after an error, once it holds the body no more. The error is ErrBusy, a *TooLargeError or that of the connection; WriteRefusal
// writes the answer.
func ReadBody(r *http.Request, limits BodyLimits) ([]byte, *Reservation, error) {
	reservation := ReservationFor(r.Context())
	body, err := readBody(r, reservation, limits)
	if reservation.Complete() {
		return nil, reservation, errSlow
	}
	if err != nil {
		return nil, reservation, err
	}
	if c := connectionOf(r.Context()); c != nil {
		c.setPhase(phaseServing)
	}
	return body, reservation, nil
}

func readBody(r *http.Request, reservation *Reservation, limits BodyLimits) ([]byte, error) {
	switch {
	case r.ContentLength > limits.MaxBytes:
		return nil, &TooLargeError{limits.MaxBytes}
	case r.ContentLength < 0 && limits.NeedsLength:
		return nil, errLengthRequired
	case r.ContentLength < 0:
		return readChunked(r.Body, reservation, limits)
	}
	if err := reservation.Grow(r.ContentLength * limits.Copies); err != nil {
		return nil, err
	}
	body := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, body); err != nil {
		return nil, fmt.Errorf("body: %w", err)
	}
	return body, nil
}

// readChunked reads a body of unknown length in pieces, each of which is counted before it is read.
func readChunked(source io.Reader, reservation *Reservation, limits BodyLimits) ([]byte, error) {
	var pieces [][]byte
	var length int64
	for {
		if err := reservation.Grow(bodyChunk * limits.Copies); err != nil {
			return nil, err
		}
		piece := make([]byte, bodyChunk)
		n, err := fill(source, piece)
		pieces = append(pieces, piece[:n])
		length += int64(n)
		switch {
		case length > limits.MaxBytes:
			return nil, &TooLargeError{limits.MaxBytes}
		case errors.Is(err, io.EOF):
			return join(pieces, length), nil
		case err != nil:
			return nil, fmt.Errorf("body: %w", err)
		}
	}
}

// fill reads until the buffer is full or the source returns an error, which it returns unchanged: unlike io.ReadFull it tells the end
// of a body from a body that broke off.
func fill(source io.Reader, buffer []byte) (n int, err error) {
	for n < len(buffer) && err == nil {
		var read int
		read, err = source.Read(buffer[n:])
		n += read
	}
	return n, err
}

// join concatenates pieces with a known total length.
func join(pieces [][]byte, length int64) []byte {
	if len(pieces) == 1 {
		return pieces[0]
	}
	body := make([]byte, 0, length)
	for _, piece := range pieces {
		body = append(body, piece...)
	}
	return body
}

// RetryAfterSeconds is the value of the Retry-After header of refusals.
const RetryAfterSeconds = "1"

// StatusOf returns the status of the answer to a request whose body ReadBody could not read.
func StatusOf(err error) int {
	var tooLarge *TooLargeError
	switch {
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, ErrBusy):
		return http.StatusServiceUnavailable
	case errors.Is(err, errLengthRequired):
		return http.StatusLengthRequired
	}
	return http.StatusBadRequest
}

// WriteRefusal answers a request whose body ReadBody could not read. The request was not taken. The connection is closed, since
// the rest of the body may still be on its way.
func WriteRefusal(w http.ResponseWriter, err error) {
	status := StatusOf(err)
	w.Header().Set("Connection", "close")
	if status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", RetryAfterSeconds)
	}
	http.Error(w, err.Error(), status)
}
