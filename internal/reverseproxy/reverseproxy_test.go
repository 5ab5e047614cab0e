package reverseproxy

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"sedgevale/internal/dispatchconfig"
	"sedgevale/internal/testkit"
)

// TestForwarding checks which header fields, bodies of each framing and trailers are forwarded, all on one reused
// connection.
func TestForwarding(t *testing.T) {
	addr := origin(t, echoRequest)
	c := singleBackendConfig(t, dispatchconfig.WebServer{Addr: addr})
	c.Frontends[0].ForwardFor = true
	_, front := serve(t, c)
	w := dial(t, front) // one connection for all requests
	for _, x := range []struct {
		name, send, method string
		status             int
		body, saw          string
	}{
		{"post", "POST /echo?a=%2Fb HTTP/1.1\nHost: h\nContent-Length: 5\nX-Keep: k\n\nhello", "POST", 200, "hello",
			`POST /echo?a=%2Fb host=h xff=127.0.0.1 te=[] len=5 conn="" mine="" keep="k" expect=""`},
		{"chunks", "POST /echo HTTP/1.1\nHost: h\nTransfer-Encoding: chunked\n\n3\nabc\n2;x=y\nde\n0\n\n", "POST", 200, "abcde", "len=5"},
		{"listed", "GET /echo HTTP/1.1\nHost: h\nConnection: X-Mine\nX-Mine: secret\nKeep-Alive: 5\nX-Forwarded-For: 10.1.1.1\n\n", "GET", 200, "",
			`xff=10.1.1.1, 127.0.0.1 te=[] len=0 conn="" mine=""`},
		{"expect", "PUT /echo HTTP/1.1\nHost: h\nExpect: 100-continue\nContent-Length: 2\n\nok", "PUT", 200, "ok", `expect=""`},
		{"head", "HEAD /echo HTTP/1.1\nHost: h\n\n", "HEAD", 200, "", "HEAD /echo"},
		{"204", "DELETE /204 HTTP/1.1\nHost: h\n\n", "DELETE", 204, "", "DELETE"},
		{"304", "GET /304 HTTP/1.1\nHost: h\n\n", "GET", 304, "", "GET"},
		{"teapot", "GET /teapot HTTP/1.1\nHost: h\n\n", "GET", 418, "short and stout\n", "GET"},
		{"absolute", "GET http://other/x?y HTTP/1.1\nHost: h\n\n", "GET", 200, "", "GET /x?y"},
		{"odd path", "GET /a%2F../b//c;d=%FF HTTP/1.1\nHost: h\n\n", "GET", 200, "", "GET /a%2F../b//c;d=%FF"},
		{"method", "PROPFIND / HTTP/1.1\nHost: h\n\n", "PROPFIND", 200, "", "PROPFIND /"},
	} {
		w.send("%s", x.send)
		a, body := w.readResponse(x.method)
		if a.StatusCode == 100 {
			a, body = w.readResponse(x.method)
		}
		if a.StatusCode != x.status || body != x.body || !strings.Contains(a.Header.Get("X-Saw"), x.saw) || len(a.Header.Values("X-Two")) != 2 {
			t.Errorf("%s: got %d %q; the server received %s", x.name, a.StatusCode, body, a.Header.Get("X-Saw"))
		}
	}
	w.send("GET /chunked HTTP/1.1\nHost: h\n\n")
	if a, body := w.readResponse("GET"); body != "one two" || a.Trailer.Get("X-Sum") != "7" {
		t.Errorf("chunked response: got %q, trailer %v", body, a.Trailer)
	}
	old := dial(t, front)
	old.send("GET /chunked HTTP/1.0\n\n")
	if a, body := old.readResponse("GET"); body != "one two" || len(a.TransferEncoding) > 0 {
		t.Errorf("response to HTTP/1.0: got %q, Transfer-Encoding %v", body, a.TransferEncoding)
	}
}

// echoRequest responds with the request's body and, in X-Saw, a description of the request. The path selects the status
// and the framing of the response.
func echoRequest(w http.ResponseWriter, q *http.Request) {
	body, _ := io.ReadAll(q.Body)
	w.Header().Set("X-Saw", fmt.Sprintf("%s %s host=%s xff=%s te=%v len=%d conn=%q mine=%q keep=%q expect=%q", q.Method, q.RequestURI, q.Host,
		strings.Join(q.Header.Values("X-Forwarded-For"), "|"), q.TransferEncoding, q.ContentLength, q.Header.Get("Connection"),
		q.Header.Get("X-Mine"), q.Header.Get("X-Keep"), q.Header.Get("Expect")))
	w.Header().Add("X-Two", "1")
	w.Header().Add("X-Two", "2")
	switch q.URL.Path {
	case "/204":
		w.WriteHeader(204)
	case "/304":
		w.Header().Set("Etag", `"x"`)
		w.WriteHeader(304)
	case "/chunked":
		w.Header().Set("Trailer", "X-Sum")
		_, _ = io.WriteString(w, "one ")
		w.(http.Flusher).Flush()
		_, _ = io.WriteString(w, "two")
		w.Header().Set("X-Sum", "7")
	case "/teapot":
		http.Error(w, "short and stout", http.StatusTeapot)
	default:
		w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		_, _ = w.Write(body)
	}
}

// TestSmuggling guards against request smuggling: a request that two parsers could delimit differently is rejected and
// does not reach a server.
func TestSmuggling(t *testing.T) {
	var hits atomic.Int64
	addr := origin(t, func(http.ResponseWriter, *http.Request) { hits.Add(1) })
	_, front := serve(t, singleBackendConfig(t, dispatchconfig.WebServer{Addr: addr}))
	for _, bad := range []string{
		"POST / HTTP/1.1\nHost: h\nContent-Length: 5\nTransfer-Encoding: chunked\n\n0\n\nGET /x HTTP/1.1\n\n",
		"POST / HTTP/1.1\nHost: h\nTransfer-Encoding: chunked\nTransfer-Encoding: identity\n\n0\n\n",
		"POST / HTTP/1.1\nHost: h\nTransfer-Encoding: xchunked\n\n0\n\n",
		"POST / HTTP/1.1\nHost: h\nTransfer-Encoding : chunked\n\n0\n\n",
		"POST / HTTP/1.1\nHost: h\nContent-Length: 5\nContent-Length: 6\n\nhello!",
		"POST / HTTP/1.1\nHost: h\nContent-Length: +5\n\nhello",
		"POST / HTTP/1.1\nHost: h\nContent-Length: 5, 5\n\nhello",
		"POST / HTTP/1.1\nHost: h\nContent-Length:\n\n",
		"GET / HTTP/1.1\nHost: h\nHost: i\n\n",
		"GET / HTTP/1.1\n\n",
		"GET / HTTP/1.1\nHost: h\n X: folded\n\n",
		"GET / HTTP/1.1\nHost: h\nX\x00Y: 1\n\n",
		"POST / HTTP/1.1\nHost: h\nTransfer-Encoding: chunked\n\n5 \nhello\n0\n\nx",
		"POST / HTTP/1.1\nHost: h\nTransfer-Encoding: chunked\n\n-1\n\n",
		"POST / HTTP/1.0\nTransfer-Encoding: chunked\n\n0\n\n",
		"GET  / HTTP/1.1\nHost: h\n\n",
		"GET / HTTP/2.0\nHost: h\n\n",
	} {
		w := dial(t, front)
		text := strings.ReplaceAll(bad, "\n", "\r\n")
		if _, err := io.WriteString(w.conn, text); err != nil {
			t.Fatal(err)
		}
		a, err := http.ReadResponse(w.in, nil)
		if err == nil {
			_ = a.Body.Close()
		}
		if bad == "POST / HTTP/1.1\nHost: h\nTransfer-Encoding: chunked\n\n5 \nhello\n0\n\nx" {
			continue // some parsers allow spaces after a chunk size, but all of them delimit this request alike
		}
		if err != nil || a.StatusCode < 400 {
			t.Errorf("%q: got response %v, error %v; want a status of at least 400", bad, a, err)
		}
	}
	if n := hits.Load(); n > 1 {
		t.Errorf("%d requests reached the server, want at most 1", n)
	}
}

func sha256Hex(b []byte) string { return fmt.Sprintf("%x", sha256.Sum256(b)) }

// TestLongBodies checks that long bodies arrive complete in both directions with each framing, and that the
// connection is reused after them.
func TestLongBodies(t *testing.T) {
	big := make([]byte, 5<<20)
	r := rand.New(rand.NewPCG(1, 2))
	for i := range big {
		big[i] = byte(r.Uint32())
	}
	addr := origin(t, func(w http.ResponseWriter, q *http.Request) {
		h := sha256.New()
		n, _ := io.Copy(h, q.Body)
		w.Header().Set("X-Sum", fmt.Sprintf("%x", h.Sum(nil)))
		w.Header().Set("X-Len", fmt.Sprint(n))
		switch q.URL.Path {
		case "/length":
			w.Header().Set("Content-Length", fmt.Sprint(len(big)))
			_, _ = w.Write(big)
		case "/chunks":
			for at := 0; at < len(big); at += 70_001 {
				_, _ = w.Write(big[at:min(len(big), at+70_001)])
			}
		}
	})
	_, front := serve(t, singleBackendConfig(t, dispatchconfig.WebServer{Addr: addr}))
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for _, path := range []string{"/length", "/chunks", "/none"} {
		for _, size := range []int{0, 1000, 64 << 10, 64<<10 + 1, 3 << 20} {
			for _, chunked := range []bool{false, true} {
				var body io.Reader = bytes.NewReader(big[:size])
				if chunked {
					body = io.MultiReader(body) // hides its length
				}
				a, err := post(t, client, "http://"+front+path, body)
				if err != nil {
					t.Fatalf("%s with %d bytes, chunked %v: %v", path, size, chunked, err)
				}
				got, err := io.ReadAll(a.Body)
				_ = a.Body.Close()
				want := big
				if path == "/none" {
					want = nil
				}
				if err != nil || a.StatusCode != 200 || a.Header.Get("X-Sum") != sha256Hex(big[:size]) || !bytes.Equal(got, want) {
					t.Fatalf("%s with %d bytes, chunked %v: status %d, server received %s bytes, client received %d, error %v", path, size, chunked, a.StatusCode,
						a.Header.Get("X-Len"), len(got), err)
				}
			}
		}
	}
}

// TestSlowReader checks backpressure: a slow client slows the server down instead of filling the proxy's buffers.
func TestSlowReader(t *testing.T) {
	var sent atomic.Int64
	addr := origin(t, func(w http.ResponseWriter, _ *http.Request) {
		chunk := make([]byte, 64<<10)
		for range 1600 { // 100 MiB
			n, err := w.Write(chunk)
			if err != nil {
				return
			}
			sent.Add(int64(n))
		}
	})
	_, front := serve(t, singleBackendConfig(t, dispatchconfig.WebServer{Addr: addr}))
	w := dial(t, front)
	w.send("GET / HTTP/1.1\nHost: h\n\n")
	last := int64(-1)
	for range 100 { // wait until the server blocks
		time.Sleep(100 * time.Millisecond)
		now := sent.Load()
		if now == last && now > 0 {
			break
		}
		last = now
	}
	if last > 40<<20 {
		t.Errorf("the proxy read %d bytes while the client read nothing, want at most %d", last, 40<<20)
	}
	a, err := http.ReadResponse(w.in, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = a.Body.Close() }()
	if n, err := io.Copy(io.Discard, a.Body); n != 1600*64<<10 || err != nil {
		t.Errorf("client received %d bytes, error %v", n, err)
	}
}

// TestTunnel checks that after a 101 response bytes are forwarded in both directions, including those that the server
// sent together with the response head.
func TestTunnel(t *testing.T) {
	addr := testkit.Accept(t, func(c net.Conn) {
		defer func() { _ = c.Close() }()
		in := bufio.NewReader(c)
		q, err := http.ReadRequest(in)
		if err != nil || q.Header.Get("Upgrade") != "websocket" || !strings.EqualFold(q.Header.Get("Connection"), "upgrade") {
			_, _ = io.WriteString(c, "HTTP/1.1 400 No\r\nContent-Length: 0\r\n\r\n")
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nX-K: v\r\n\r\nfirst ")
		for {
			line, err := in.ReadString('\n')
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, "echo "+line)
		}
	})
	s, front := serve(t, singleBackendConfig(t, dispatchconfig.WebServer{Addr: addr, MaxConn: 1}))
	w := dial(t, front)
	w.send("GET /ws HTTP/1.1\nHost: h\nConnection: keep-alive, Upgrade\nUpgrade: websocket\n\n")
	a, err := http.ReadResponse(w.in, nil)
	if err != nil || a.StatusCode != 101 || a.Header.Get("X-K") != "v" {
		t.Fatalf("upgrade: got response %v, error %v", a, err)
	}
	defer func() { _ = a.Body.Close() }()
	for i := range 3 {
		if _, err := fmt.Fprintf(w.conn, "hello %d\n", i); err != nil {
			t.Fatal(err)
		}
		line, err := w.in.ReadString('\n')
		want := fmt.Sprintf("echo hello %d\n", i)
		if i == 0 {
			want = "first " + want
		}
		if err != nil || line != want {
			t.Fatalf("got %q, error %v; want %q", line, err, want)
		}
	}
	if st := s.Status(); st[0].Busy != 1 {
		t.Errorf("an open tunnel counts as %d requests in flight, want 1", st[0].Busy)
	}
	w.close()
	testkit.Eventually(t, "the tunnel to end", func() bool { return s.Status()[0].Busy == 0 })
}

// TestTruncatedResponse guards against a truncated response that is forwarded as complete, and against a connection slot
// that is never released.
func TestTruncatedResponse(t *testing.T) {
	addr := testkit.Accept(t, func(c net.Conn) {
		defer func() { _ = c.Close() }()
		if q, err := http.ReadRequest(bufio.NewReader(c)); err == nil && q.URL.Path == "/chunked" {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n")
		} else if err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhello")
		}
	})
	s, front := serve(t, singleBackendConfig(t, dispatchconfig.WebServer{Addr: addr, MaxConn: 1}))
	for _, path := range []string{"/chunked", "/length", "/chunked"} {
		w := dial(t, front)
		w.send("GET %s HTTP/1.1\nHost: h\n\n", path)
		a, err := http.ReadResponse(w.in, nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(a.Body); err == nil {
			t.Errorf("%s: the truncated body %q was forwarded as complete", path, body)
		}
		_ = a.Body.Close()
		testkit.Eventually(t, "its connection slot to be released", func() bool { return s.Status()[0].Busy == 0 })
	}
}

// TestClientDisconnects checks clients that disconnect while sending a body, and before or during the response. The connection
// slot must be released, and the server must not treat a truncated body as complete.
func TestClientDisconnects(t *testing.T) {
	var completeBodies atomic.Int64
	addr := origin(t, func(w http.ResponseWriter, q *http.Request) {
		if _, err := io.Copy(io.Discard, q.Body); err == nil && q.Method == "POST" {
			completeBodies.Add(1)
		}
		chunk := make([]byte, 64<<10)
		for range 400 {
			if _, err := w.Write(chunk); err != nil {
				return
			}
		}
	})
	s, front := serve(t, singleBackendConfig(t, dispatchconfig.WebServer{Addr: addr, MaxConn: 1}))
	for _, text := range []string{
		"POST / HTTP/1.1\nHost: h\nContent-Length: 1000000\n\n" + strings.Repeat("x", 200_000),
		"POST / HTTP/1.1\nHost: h\nTransfer-Encoding: chunked\n\n30d40\n" + strings.Repeat("x", 200_000) + "\n",
		"GET / HTTP/1.1\nHost: h\n\n",
	} {
		w := dial(t, front)
		w.send("%s", text)
		testkit.Eventually(t, "the request to reach the server", func() bool { return s.Status()[0].Busy == 1 })
		w.close()
		testkit.Eventually(t, "its connection slot to be released", func() bool { return s.Status()[0].Busy == 0 })
	}
	if completeBodies.Load() != 0 {
		t.Errorf("the server received %d truncated bodies as complete", completeBodies.Load())
	}
}

// TestConstantMemory checks that the proxy's memory use does not depend on the length of a body.
func TestConstantMemory(t *testing.T) {
	addr := origin(t, func(w http.ResponseWriter, q *http.Request) {
		n, _ := io.Copy(io.Discard, q.Body)
		_, _ = fmt.Fprint(w, n)
	})
	_, front := serve(t, singleBackendConfig(t, dispatchconfig.WebServer{Addr: addr}))
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	const size = 64 << 20
	a, err := post(t, http.DefaultClient, "http://"+front, io.LimitReader(zeros{}, size))
	if err != nil {
		t.Fatal(err)
	}
	body, _ := io.ReadAll(a.Body)
	_ = a.Body.Close()
	runtime.ReadMemStats(&after)
	if string(body) != fmt.Sprint(size) {
		t.Errorf("the server received %s bytes, want %d", body, size)
	}
	if grown := int64(after.Sys) - int64(before.Sys); grown > 24<<20 {
		t.Errorf("memory grew by %d bytes for a body of %d bytes", grown, size)
	}
}
