// Package rpc carries the internal protocol between schedulers: Avro bodies in HTTP requests, numbered
// result codes in place of status codes, and connections that end when the other side falls silent.
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
	userTimeout     = 1500 * time.Millisecond
	idleTimeout     = 20 * time.Second
	idlePerHost     = 8
)

// Client calls other schedulers.
type Client struct {
	http *http.Client
}

// Dial opens a connection to an address.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// DialTCP opens TCP connections that end when the other side stays silent for some time.
func DialTCP() Dial {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: time.Second, Control: limitSilence}
	return dialer.DialContext
}

// NewClient returns a Client on connections that dial opens.
func NewClient(dial Dial) *Client {
	transport := &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	return &Client{http: &http.Client{Transport: transport}}
}

// Close gives up connections that no call uses.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// limitSilence has the kernel end a connection whose bytes stay unacknowledged.
func limitSilence(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(descriptor uintptr) {
		failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// Call sends a request to a method at an address and reads the answer. An error of the method comes back
// as *result.Error; one of the transport has the code result.TransportFailed, or result.Unavailable where
// no connection came about, so that the method has surely not been called.
func (c *Client) Call(ctx context.Context, address, method string, request, response any) error {
	body, err := avrocodec.Encode(request)
	if err != nil {
		return result.Errorf(result.BadRequest, "%s: %w", method, err)
	}
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+pathPrefix+method, bytes.NewReader(body))
	if err != nil {
		return result.Errorf(result.BadRequest, "%s: %w", method, err)
	}
	call.GetBody = nil // a request that may have been read is never sent twice by the transport
	answer, err := c.http.Do(call)
	if err != nil {
		if neverConnected(err) {
			return result.Errorf(result.Unavailable, "%s at %s: %w", method, address, err)
		}
		return result.Errorf(result.TransportFailed, "%s at %s: %w", method, address, err)
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxMessageBytes))
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

// neverConnected reports whether the error came while dialling.
func neverConnected(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

// Server takes calls.
type Server struct {
	mux *http.ServeMux
}

// NewServer returns a Server without methods.
func NewServer() *Server { return &Server{mux: http.NewServeMux()} }

// Handler returns the HTTP handler of all methods.
func (s *Server) Handler() http.Handler { return s.mux }

// Handle adds a method to a server.
func Handle[Request, Response any](s *Server, method string, serve func(context.Context, *Request) (*Response, error)) {
	s.mux.HandleFunc("POST "+pathPrefix+method, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMessageBytes))
		if err != nil {
			fail(w, result.Errorf(result.BadRequest, "%s: %w", method, err))
			return
		}
		request := new(Request)
		if err := avrocodec.Decode(body, request); err != nil {
			fail(w, result.Errorf(result.BadRequest, "%s: %w", method, err))
			return
		}
		response, err := serve(r.Context(), request)
		if err != nil {
			fail(w, err)
			return
		}
		text, err := avrocodec.Encode(response)
		if err != nil {
			fail(w, fmt.Errorf("%s: %w", method, err))
			return
		}
		w.Header().Set("Content-Type", "avro/binary")
		w.Header()["Date"] = nil
		_, _ = w.Write(text)
	})
}

func fail(w http.ResponseWriter, err error) {
	w.Header().Set(resultHeader, strconv.Itoa(int(result.CodeOf(err))))
	w.WriteHeader(http.StatusConflict)
	text := err.Error()
	var coded *result.Error
	if errors.As(err, &coded) {
		text = coded.Text
	}
	_, _ = io.WriteString(w, text)
}
