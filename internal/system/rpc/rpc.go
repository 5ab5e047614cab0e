// Package rpc carries the internal protocol between schedulers: Avro bodies in HTTP/1.1 requests, numbered result codes in
// place of status codes, and connections that time out when the peer stops acknowledging.
package rpc

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"sedgevale/internal/avrocodec"
	"sedgevale/internal/system/result"
)

const (
	pathPrefix      = "/rpc/"
	resultHeader    = "Sedgevale-Result"
	maxMessageBytes = 32 << 20
	dialTimeout     = 700 * time.Millisecond
	tcpUserTimeout  = 1500 * time.Millisecond
	idleTimeout     = 20 * time.Second
	maxIdlePerHost  = 8
)

// Client calls methods of other schedulers. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// Dial opens a connection to an address, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// DialTCP returns a Dial for TCP connections that fail when sent data stays unacknowledged for 1.5 s.
func DialTCP() Dial {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: time.Second, Control: setUserTimeout}
	return dialer.DialContext
}

// NewClient returns a Client that connects with dial.
func NewClient(dial Dial) *Client {
	transport := &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &Client{http: &http.Client{Transport: transport}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// setUserTimeout sets the TCP user timeout (RFC 5482), after which the kernel ends a connection with unacknowledged data.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(descriptor uintptr) {
		failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// Call calls a method at an address: request and response point to structs that avrocodec encodes. An error of the method
// is a *result.Error. An error of the transport has the code result.TransportFailed, or result.Unavailable if no connection
// was made, so that the method has certainly not been called. No call is ever sent twice.
func (c *Client) Call(ctx context.Context, address, method string, request, response any) error {
	body, err := avrocodec.Encode(request)
	if err != nil {
		return result.Errorf(result.BadRequest, "%s: %w", method, err)
	}
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+pathPrefix+method, bytes.NewReader(body))
	if err != nil {
		return result.Errorf(result.BadRequest, "%s: %w", method, err)
	}
	call.GetBody = nil // without it http.Transport cannot repeat a request that the peer may have read
	answer, err := c.http.Do(call)
	if err != nil {
		if dialFailed(err) {
			return result.Errorf(result.Unavailable, "%s at %s: %w", method, address, err)
		}
		return result.Errorf(result.TransportFailed, "%s at %s: %w", method, address, err)
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := readAnswer(answer.Body)
	if err != nil {
		return result.Errorf(result.TransportFailed, "%s at %s: %w", method, address, err)
	}
	if code, _ := strconv.Atoi(answer.Header.Get(resultHeader)); code != 0 {
		return &result.Error{Code: result.Code(code), Text: string(text)}
	}
	if answer.StatusCode != http.StatusOK {
		return result.Errorf(result.TransportFailed, "%s at %s: status %d", method, address, answer.StatusCode)
	}
	if err := avrocodec.Decode(text, response); err != nil {
		return result.Errorf(result.TransportFailed, "%s at %s: %w", method, address, err)
	}
	return nil
}

// errAnswerTooLong is returned for an answer of more than maxMessageBytes.
var errAnswerTooLong = fmt.Errorf("rpc: the answer has more than %d bytes", maxMessageBytes)

// readAnswer reads the body of an answer.
func readAnswer(body io.Reader) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(body, maxMessageBytes+1))
	if err == nil && len(text) > maxMessageBytes {
		return nil, errAnswerTooLong
	}
	return text, err
}

// dialFailed reports whether the error is one of dialling.
func dialFailed(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// Server dispatches calls to methods.
type Server struct {
	mux *http.ServeMux
}

// NewServer returns a Server without methods.
func NewServer() *Server { return &Server{mux: http.NewServeMux()} }

// Handler returns the HTTP handler of all methods.
func (s *Server) Handler() http.Handler { return s.mux }

// Handle registers a method. An error of serve is sent with its result.CodeOf.
func Handle[Request, Response any](s *Server, method string, serve func(context.Context, *Request) (*Response, error)) {
	s.mux.HandleFunc("POST "+pathPrefix+method, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMessageBytes))
		if err != nil {
			writeError(w, result.Errorf(result.BadRequest, "%s: %w", method, err))
			return
		}
		request := new(Request)
		if err := avrocodec.Decode(body, request); err != nil {
			writeError(w, result.Errorf(result.BadRequest, "%s: %w", method, err))
			return
		}
		response, err := serve(r.Context(), request)
		if err != nil {
			writeError(w, err)
			return
		}
		text, err := avrocodec.Encode(response)
		if err != nil {
			writeError(w, fmt.Errorf("%s: %w", method, err))
			return
		}
		w.Header().Set("Content-Type", "avro/binary")
		w.Header()["Date"] = nil
		_, _ = w.Write(text)
	})
}

func writeError(w http.ResponseWriter, err error) {
	w.Header().Set(resultHeader, strconv.Itoa(int(result.CodeOf(err))))
	w.WriteHeader(http.StatusConflict)
	text := err.Error()
	var coded *result.Error
	if errors.As(err, &coded) {
		text = coded.Text
	}
	_, _ = io.WriteString(w, text)
}
