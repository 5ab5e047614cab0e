package rpc

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"sedgevale/internal/avrocodec"
	"sedgevale/internal/system/result"
)

type message struct{ Text string }

func closeConn(t *testing.T, c io.Closer) {
	t.Helper()
	if err := c.Close(); err != nil {
		t.Error(err)
	}
}

// startPeer starts a server that reads HTTP requests and calls serve for each, with the request's number, starting at 1. It
// returns the server's address and the number of requests.
func startPeer(t *testing.T, serve func(n int64, c net.Conn)) (address string, requests *atomic.Int64) {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeConn(t, listener) })
	requests = &atomic.Int64{}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }() // serve may already have closed c
				in := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					serve(requests.Add(1), c)
				}
			}()
		}
	}()
	return listener.Addr().String(), requests
}

// writeResponse writes a successful response with the given text to a connection.
func writeResponse(t *testing.T, c net.Conn, text string) {
	t.Helper()
	body, err := avrocodec.Encode(&message{text})
	if err != nil {
		t.Error(err)
	}
	response := http.Response{StatusCode: http.StatusOK, ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(body)), Body: io.NopCloser(bytes.NewReader(body))}
	_ = response.Write(c)
}

// TestCallIsSentOnce guards against automatic retries by net/http: a call on an idle connection that the peer closes
// after reading the request is sent only once.
func TestCallIsSentOnce(t *testing.T) {
	endings := map[string]func(c net.Conn){
		"closed": func(c net.Conn) { closeConn(t, c) },
		"reset": func(c net.Conn) {
			_ = c.(*net.TCPConn).SetLinger(0)
			closeConn(t, c)
		},
		"truncated": func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\nhalf")
			closeConn(t, c)
		},
	}
	for name, end := range endings {
		t.Run(name, func(t *testing.T) {
			address, requests := startPeer(t, func(n int64, c net.Conn) {
				if n == 1 {
					writeResponse(t, c, "first")
					return
				}
				end(c)
			})
			client := NewClient(DialTCP())
			defer client.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			got := &message{}
			if err := client.Call(ctx, address, "m", &message{"ask"}, got); err != nil || got.Text != "first" {
				t.Fatal(got, err)
			}
			err := client.Call(ctx, address, "m", &message{"ask"}, &message{})
			if result.CodeOf(err) != result.TransportFailed || result.NotApplied(err) {
				t.Errorf("error %v, want TransportFailed, since the peer may have applied the call", err)
			}
			if requests.Load() != 2 {
				t.Errorf("%d requests for two calls", requests.Load())
			}
		})
	}
}

// TestLateResponseIsDiscarded checks that a response that arrives after its call has timed out is discarded and not
// returned by a later call.
func TestLateResponseIsDiscarded(t *testing.T) {
	timedOut := make(chan struct{})
	address, requests := startPeer(t, func(n int64, c net.Conn) {
		if n == 1 {
			<-timedOut
			writeResponse(t, c, "late")
			return
		}
		writeResponse(t, c, "second")
	})
	client := NewClient(DialTCP())
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if err := client.Call(ctx, address, "m", &message{"one"}, &message{}); result.CodeOf(err) != result.TransportFailed {
		t.Errorf("error %v, want TransportFailed after the timeout", err)
	}
	close(timedOut)
	for range 20 {
		next, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		got := &message{}
		if err := client.Call(next, address, "m", &message{"two"}, got); err != nil || got.Text != "second" {
			t.Errorf("response %q, error %v; want %q", got.Text, err, "second")
		}
		cancel()
	}
	if requests.Load() != 21 {
		t.Errorf("%d requests for 21 calls", requests.Load())
	}
}

// TestOversizedResponseIsAnError checks that a response longer than maxMessageBytes is an error, even if it starts with a
// complete message.
func TestOversizedResponseIsAnError(t *testing.T) {
	body, err := avrocodec.Encode(&message{"a complete message"})
	if err != nil {
		t.Fatal(err)
	}
	address, _ := startPeer(t, func(_ int64, c net.Conn) {
		long := io.MultiReader(bytes.NewReader(body), bytes.NewReader(make([]byte, maxMessageBytes)))
		response := http.Response{StatusCode: http.StatusOK, ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(body) + maxMessageBytes), Body: io.NopCloser(long)}
		_ = response.Write(c)
	})
	client := NewClient(DialTCP())
	defer client.Close()
	err = client.Call(t.Context(), address, "m", &message{"ask"}, &message{})
	if !errors.Is(err, errResponseTooLong) || result.CodeOf(err) != result.TransportFailed {
		t.Errorf("error %v, want TransportFailed that wraps %v", err, errResponseTooLong)
	}
}
