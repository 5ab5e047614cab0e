// Package rpc implements the transport of the internal protocol between schedulers: remote procedure calls with Avro
// bodies over HTTP/1.1, numbered result codes in place of HTTP status codes, and connections that time out when the peer
// stops acknowledging data.
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
	"sedgevale/internal/resourcequota"
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

// Dial opens a connection to an address. Its signature is that of net.Dialer.DialContext.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// DialTCP returns a Dial for TCP connections that fail when sent data remains unacknowledged for 1.5 s.
func DialTCP() Dial {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: time.Second, Control: setUserTimeout}
	return dialer.DialContext
}

// NewClient returns a Client that opens connections with dial.
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

// setUserTimeout sets the TCP user timeout (RFC 5482), after which the kernel closes a connection with unacknowledged data.
func setUserTimeout(_, _ string, rawConn syscall.RawConn) error {
	var optionErr error
	err := rawConn.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}

// Call calls a method of the scheduler at an address. request and response point to structs that avrocodec can encode. An
// error that the method returns is a *result.Error. A transport error has the code result.Unavailable if no connection was
// established, in which case the method has certainly not been called, and result.TransportFailed otherwise. A request is
// never sent more than once.
func (c *Client) Call(ctx context.Context, address, method string, request, response any) error {
	body, err := avrocodec.Encode(request)
	if err != nil {
		return result.Errorf(result.BadRequest, "%s: %w", method, err)
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+pathPrefix+method, bytes.NewReader(body))
	if err != nil {
		return result.Errorf(result.BadRequest, "%s: %w", method, err)
	}
	httpRequest.GetBody = nil // without GetBody, http.Transport cannot resend a request that the peer may have read
	httpResponse, err := c.http.Do(httpRequest)
	if err != nil {
		if isDialError(err) {
			return result.Errorf(result.Unavailable, "%s at %s: %w", method, address, err)
		}
		return result.Errorf(result.TransportFailed, "%s at %s: %w", method, address, err)
	}
	defer func() { _ = httpResponse.Body.Close() }()
	responseBody, err := readResponse(httpResponse.Body)
	if err != nil {
		return result.Errorf(result.TransportFailed, "%s at %s: %w", method, address, err)
	}
	if code, _ := strconv.Atoi(httpResponse.Header.Get(resultHeader)); code != 0 {
		return &result.Error{Code: result.Code(code), Text: string(responseBody)}
	}
	if httpResponse.StatusCode != http.StatusOK {
		return result.Errorf(result.TransportFailed, "%s at %s: status %d", method, address, httpResponse.StatusCode)
	}
	if err := avrocodec.Decode(responseBody, response); err != nil {
		return result.Errorf(result.TransportFailed, "%s at %s: %w", method, address, err)
	}
	return nil
}

// errResponseTooLong is returned for a response body of more than maxMessageBytes.
var errResponseTooLong = fmt.Errorf("rpc: the answer has more than %d bytes", maxMessageBytes)

// readResponse reads a response body of at most maxMessageBytes.
func readResponse(body io.Reader) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(body, maxMessageBytes+1))
	if err == nil && len(text) > maxMessageBytes {
		return nil, errResponseTooLong
	}
	return text, err
}

// isDialError reports whether an error occurred while the connection was being established.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// Server dispatches calls to registered methods.
type Server struct {
	mux    *http.ServeMux
	limits resourcequota.BodyLimits // of a call's body, which is held as it is sent and decoded
}

// NewServer returns a Server with no methods registered.
func NewServer() *Server { return NewServerWithLimit(maxMessageBytes) }

// NewServerWithLimit returns a Server with no methods registered that refuses calls of more than the given number of bytes.
func NewServerWithLimit(bytes int64) *Server {
	return &Server{mux: http.NewServeMux(), limits: resourcequota.BodyLimits{MaxBytes: bytes, Copies: 2, NeedsLength: true}}
}

// Handler returns the HTTP handler of all methods.
func (s *Server) Handler() http.Handler { return s.mux }

// Handle registers a method. An error that serve returns is sent to the caller with the code that result.CodeOf returns.
func Handle[Request, Response any](s *Server, method string, serve func(context.Context, *Request) (*Response, error)) {
	s.mux.HandleFunc("POST "+pathPrefix+method, func(w http.ResponseWriter, r *http.Request) {
		body, reservation, err := resourcequota.ReadBody(r, s.limits)
		defer reservation.Release()
		if err != nil {
			w.Header().Set("Connection", "close") // the rest of the body may still be on its way
			writeError(w, result.Errorf(refusalCode(err), "%s: %w", method, err))
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
		if len(text) > resourcequota.SmallRequest {
			if err := reservation.Grow(int64(len(text))); err != nil {
				writeError(w, result.Errorf(result.OutcomeUnknown, "%s: the answer: %w", method, err))
				return
			}
		}
		w.Header().Set("Content-Type", "avro/binary")
		w.Header()["Date"] = nil
		_, _ = w.Write(text)
	})
}

// refusalCode returns the result code for a call whose body could not be read. The call has not been applied.
func refusalCode(err error) result.Code {
	if errors.Is(err, resourcequota.ErrBusy) {
		return result.Unavailable
	}
	return result.BadRequest
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
