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

// peer is a server that reads requests and has serve answer each, with its number.
func peer(t *testing.T, serve func(n int64, c net.Conn)) (address string, requests *atomic.Int64) {
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
				defer func() { _ = c.Close() }() // serve may have closed it
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

func answer(t *testing.T, c net.Conn, text string) {
	t.Helper()
	body, err := avrocodec.Encode(&message{text})
	if err != nil {
		t.Error(err)
	}
	response := http.Response{StatusCode: http.StatusOK, ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(body)), Body: io.NopCloser(bytes.NewReader(body))}
	_ = response.Write(c)
}

// A call on an idle connection that the peer closes once it has read the request is sent once; net/http does not
// retry it.
func TestCallIsNeverRepeated(t *testing.T) {
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
			address, requests := peer(t, func(n int64, c net.Conn) {
				if n == 1 {
					answer(t, c, "first")
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
			if result.CodeOf(err) != result.TransportFailed || result.Unchanged(err) {
				t.Errorf("error %v; the call may have been acted on", err)
			}
			if requests.Load() != 2 {
				t.Errorf("%d requests for two calls", requests.Load())
			}
		})
	}
}

// An answer that arrives after its caller has given up is dropped, and is not the answer to a later call.
func TestLateAnswerIsDropped(t *testing.T) {
	given := make(chan struct{})
	address, requests := peer(t, func(n int64, c net.Conn) {
		if n == 1 {
			<-given
			answer(t, c, "late")
			return
		}
		answer(t, c, "second")
	})
	client := NewClient(DialTCP())
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	if err := client.Call(ctx, address, "m", &message{"one"}, &message{}); result.CodeOf(err) != result.TransportFailed {
		t.Errorf("error %v", err)
	}
	close(given)
	for range 20 {
		next, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		got := &message{}
		if err := client.Call(next, address, "m", &message{"two"}, got); err != nil || got.Text != "second" {
			t.Errorf("%q came, %v", got.Text, err)
		}
		cancel()
	}
	if requests.Load() != 21 {
		t.Errorf("%d requests for 21 calls", requests.Load())
	}
}

// An answer longer than the bound is an error; its first part is not taken for it.
func TestAnswerOverTheBound(t *testing.T) {
	body, err := avrocodec.Encode(&message{"a complete message"})
	if err != nil {
		t.Fatal(err)
	}
	address, _ := peer(t, func(_ int64, c net.Conn) {
		long := io.MultiReader(bytes.NewReader(body), bytes.NewReader(make([]byte, maxMessageBytes)))
		response := http.Response{StatusCode: http.StatusOK, ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(body) + maxMessageBytes), Body: io.NopCloser(long)}
		_ = response.Write(c)
	})
	client := NewClient(DialTCP())
	defer client.Close()
	err = client.Call(t.Context(), address, "m", &message{"ask"}, &message{})
	if !errors.Is(err, errAnswerTooLong) || result.CodeOf(err) != result.TransportFailed {
		t.Errorf("error %v", err)
	}
}
