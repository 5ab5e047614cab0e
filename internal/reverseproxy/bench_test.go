package reverseproxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sedgevale/internal/dispatchconfig"
	"sedgevale/internal/route"
	"sedgevale/internal/testkit"
)

// benchRoleEnv is the environment variable that makes the test binary run as a proxy: "ours" for this package's with a
// number of rules, "httputil" for that of net/http/httputil.
const benchRoleEnv = "SEDGEVALE_BENCH_PROXY"

func TestMain(m *testing.M) {
	role := os.Getenv(benchRoleEnv)
	if role == "" {
		os.Exit(m.Run())
	}
	args := strings.Fields(role) // role, address, server, rules
	if args[0] == "httputil" {
		to, err := url.Parse("http://" + args[2])
		if err != nil {
			panic(err)
		}
		p := httputil.NewSingleHostReverseProxy(to)
		p.Transport = &http.Transport{MaxIdleConnsPerHost: 2048, MaxIdleConns: 4096, DisableCompression: true}
		panic(http.ListenAndServe(args[1], p))
	}
	rules, _ := strconv.Atoi(args[3])
	spec := route.Spec{Default: "app"}
	for i := range rules {
		spec.Use = append(spec.Use, fmt.Sprintf("app if { path_beg /p%d/ }", i))
	}
	b := &testing.B{}
	serve(b, &dispatchconfig.Web{Frontends: []dispatchconfig.WebFrontend{{Name: "in", Listen: []string{args[1]}, ForwardFor: true, Spec: spec}},
		Backends: []dispatchconfig.WebBackend{{Name: "app", Servers: []dispatchconfig.WebServer{{Name: "s", Addr: args[2]}}}}})
	select {}
}

// minimalServer starts a server with minimal overhead, which sends a fixed response to each request, and returns its
// address.
func minimalServer(b *testing.B) string {
	l := listen(b)
	b.Cleanup(func() { _ = l.Close() })
	answer := []byte("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 100\r\n\r\n" + strings.Repeat("x", 100))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				in := bufio.NewReader(c)
				for {
					for {
						line, err := in.ReadSlice('\n')
						if err != nil {
							return
						}
						if len(line) <= 2 {
							break
						}
					}
					if _, err := c.Write(answer); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

// cpuTime returns the CPU time that a process has used.
func cpuTime(b *testing.B, pid int) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		b.Fatal(err)
	}
	f := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+2:]))
	u, _ := strconv.ParseInt(f[11], 10, 64)
	s, _ := strconv.ParseInt(f[12], 10, 64)
	return time.Duration(u+s) * 10 * time.Millisecond
}

// peakMemoryMiB returns the peak resident set size of a process in MiB.
func peakMemoryMiB(pid int) float64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb / 1024
		}
	}
	return 0
}

// BenchmarkProxy compares this reverse proxy with httputil.ReverseProxy, each in a separate
// process with the same server and clients. It reports CPU time per request, latency and memory
// by numbers of connections and rules.
func BenchmarkProxy(b *testing.B) {
	for _, conns := range []int{1, 64, 1024} {
		for _, role := range []string{"httputil", "ours 10", "ours 1000"} {
			b.Run(fmt.Sprintf("conns=%d/%s", conns, strings.ReplaceAll(role, " ", "-rules=")), func(b *testing.B) { benchProxy(b, conns, role) })
		}
	}
}

// startProxyProcess runs a proxy in a separate process until the benchmark ends.
func startProxyProcess(b *testing.B, role, addr string) (pid int) {
	c := exec.CommandContext(context.Background(), os.Args[0]) // not b.Context, which is canceled before Cleanup ends the process
	c.Env = append(os.Environ(), benchRoleEnv+"="+role)
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = c.Process.Kill(); _ = c.Wait() })
	testkit.Eventually(b, "the proxy to listen", func() bool {
		var dialer net.Dialer
		x, err := dialer.DialContext(b.Context(), "tcp", addr)
		if err == nil {
			_ = x.Close()
		}
		return err == nil
	})
	return c.Process.Pid
}

func benchProxy(b *testing.B, conns int, role string) {
	addr, server := testkit.FreeAddr(b), minimalServer(b)
	name, rules, _ := strings.Cut(role, " ")
	pid := startProxyProcess(b, fmt.Sprintf("%s %s %s %s", name, addr, server, rules), addr)
	var next atomic.Int64
	hist := hdrhistogram.New(1, 60_000_000, 3)
	var mu sync.Mutex
	run := func(n int64) {
		next.Store(0)
		var wg sync.WaitGroup
		for range conns {
			wg.Go(func() {
				latencies := benchClient(b, addr, func() bool { return next.Add(1) <= n })
				mu.Lock()
				defer mu.Unlock()
				for _, v := range latencies {
					_ = hist.RecordValue(max(1, v))
				}
			})
		}
		wg.Wait()
	}
	run(int64(conns) * 4) // warm up: establish the connections
	hist.Reset()
	before := cpuTime(b, pid)
	b.ResetTimer()
	run(int64(b.N))
	b.StopTimer()
	b.ReportMetric(float64((cpuTime(b, pid)-before).Microseconds())/float64(b.N), "cpu-µs/req")
	b.ReportMetric(float64(hist.ValueAtQuantile(50)), "p50-µs")
	b.ReportMetric(float64(hist.ValueAtQuantile(99)), "p99-µs")
	b.ReportMetric(peakMemoryMiB(pid), "MB")
}

// benchClient sends requests on one connection while more returns true, and returns their latencies in microseconds. It
// reports an error to b and then returns nil.
func benchClient(b *testing.B, addr string, more func() bool) (latencies []int64) {
	var dialer net.Dialer
	x, err := dialer.DialContext(b.Context(), "tcp", addr)
	if err != nil {
		b.Error(err)
		return nil
	}
	defer func() { _ = x.Close() }()
	in := bufio.NewReader(x)
	for more() {
		started := time.Now()
		if _, err := io.WriteString(x, "GET /some/page?x=1 HTTP/1.1\r\nHost: www.example\r\nUser-Agent: bench\r\nAccept: */*\r\n\r\n"); err != nil {
			b.Error(err)
			return nil
		}
		a, err := http.ReadResponse(in, nil)
		if err != nil || a.StatusCode != 200 {
			b.Error(a, err)
			return nil
		}
		_, _ = io.Copy(io.Discard, a.Body)
		_ = a.Body.Close()
		latencies = append(latencies, time.Since(started).Microseconds())
	}
	return latencies
}

// BenchmarkLongBody forwards bodies of 1 GiB and reports the proxy's memory.
func BenchmarkLongBody(b *testing.B) {
	got := make(chan int64, 1)
	server := origin(b, func(_ http.ResponseWriter, q *http.Request) {
		n, _ := io.Copy(io.Discard, q.Body)
		got <- n
	})
	addr := testkit.FreeAddr(b)
	pid := startProxyProcess(b, fmt.Sprintf("ours %s %s 10", addr, server), addr)
	const size = 1 << 30
	b.SetBytes(size)
	for b.Loop() {
		a, err := post(b, http.DefaultClient, "http://"+addr+"/", io.LimitReader(zeros{}, size))
		if err != nil {
			b.Fatal(err)
		}
		_ = a.Body.Close()
		if n := <-got; n != size {
			b.Fatalf("the server received %d bytes, want %d", n, size)
		}
	}
	b.ReportMetric(peakMemoryMiB(pid), "MB")
}
