package testkit

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Response is an HTTP response that has been read to its end.
type Response struct {
	Status int
	Header http.Header
	Body   string
	Last   bool // the server closes the connection after this response
}

// ReadResponse reads a response and its body from a connection. It returns read errors
// unwrapped, such as io.EOF if the connection ended before the response. If the body is
// incomplete, the response has its status, header and the received part of the body.
func ReadResponse(r *bufio.Reader) (Response, error) {
	a, err := http.ReadResponse(r, nil)
	if err != nil {
		return Response{}, err
	}
	body, err := io.ReadAll(a.Body)
	_ = a.Body.Close() // it has been read
	return Response{a.StatusCode, a.Header, string(body), a.Close}, err
}

// Get sends a GET request through http.DefaultTransport and returns the response.
func Get(t testing.TB, url string) (Response, error) {
	t.Helper()
	q, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	return RoundTrip(http.DefaultTransport, q)
}

// RoundTrip sends a request and returns the response.
func RoundTrip(transport http.RoundTripper, q *http.Request) (Response, error) {
	a, err := transport.RoundTrip(q)
	if err != nil {
		return Response{}, err
	}
	body, err := io.ReadAll(a.Body)
	_ = a.Body.Close() // it has been read
	return Response{a.StatusCode, a.Header, string(body), a.Close}, err
}

// serverShutdownTimeout is longer than net/http waits before it closes a connection whose request it did not read to the end.
const serverShutdownTimeout = 5 * time.Second

// Serve serves on a listener until the end of the test, and then waits until all connections are closed.
func Serve(t *testing.T, server *http.Server, listener net.Listener) {
	t.Helper()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(listener) // returns when the server is shut down
	}()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), serverShutdownTimeout)
		defer cancel()
		if err := server.Shutdown(ctx); err != nil {
			t.Error(err)
		}
		<-done
	})
}
