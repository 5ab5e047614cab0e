//go:build overload

package overloadtest

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sedgevale/internal/fake"
	"sedgevale/internal/httpd"
)

// Addresses of the request dispatcher under test.
const (
	serveIP      = "127.0.53.1"
	platformPort = 28180
	streamPort   = 28181
	proxyPort    = 28182
	opsPort      = 28190
)

// Sizes of bodies and answers at the request dispatcher.
const (
	streamedBytes    = 1 << 20 // of a body that the reverse proxy does not hold
	largeAnswerBytes = 1 << 20
)

// startServe starts a request dispatcher with all its ports, two fake workers and a web server behind its reverse proxy.
func startServe(t *testing.T) *process {
	t.Helper()
	text, err := os.ReadFile("../../deploy/operator.toml")
	if err != nil {
		t.Fatal(err)
	}
	replacements := []string{
		"127.0.0.1:8080", at(serveIP, platformPort), "127.0.0.1:8081", at(serveIP, streamPort), "127.0.0.1:8090", at(serveIP, opsPort),
		"memory_mb = 192", fmt.Sprintf("memory_mb = %d", memoryLimitMB), "sockets = 1024", fmt.Sprintf("sockets = %d", descriptorLimit),
	}
	for i, configured := range []string{"127.0.0.1:3001", "127.0.0.1:3002"} {
		worker := fake.NewWorker(fake.WorkerOptions{ID: fmt.Sprintf("box-%d", i+1), Slots: 4})
		address, err := worker.Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = worker.Close() })
		replacements = append(replacements, configured, address)
	}
	web := httptest.NewServer(http.HandlerFunc(serveWeb))
	t.Cleanup(web.Close)
	file := strings.NewReplacer(replacements...).Replace(string(text)) + fmt.Sprintf(`
[web]
[[web.frontends]]
name = "front"
listen = [%q]
default = "back"
[[web.backends]]
name = "back"
[[web.backends.servers]]
name = "one"
addr = %q
`, at(serveIP, proxyPort), web.Listener.Addr())
	path := filepath.Join(t.TempDir(), "operator.toml")
	if err := os.WriteFile(path, []byte(file), 0o644); err != nil {
		t.Fatal(err)
	}
	return startProcess(t, serveIP, nil, "serve", "-f", path)
}

// serveWeb is the web server behind the reverse proxy.
func serveWeb(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if strings.HasPrefix(r.URL.Path, "/large") {
		_, _ = w.Write(padding[:largeAnswerBytes]) // fails when the proxy closes the connection
	}
}

// sendRequest sends a job to the port of the platform's protocol.
func sendRequest() func() (int, error) {
	number := time.Now().UnixNano()
	return func() (int, error) {
		number++
		ctx, cancel := context.WithTimeout(context.Background(), ordinaryTimeout)
		defer cancel()
		url := "http://" + at(serveIP, platformPort) + "/usage-view"
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("body"))
		if err != nil {
			return 0, err
		}
		request.Header.Set("Request-Id", fmt.Sprintf("job-%d", number))
		request.Header.Set("Tenant", "brazos-valley")
		request.Header.Set("Request-Timeout", "4000m")
		transport := &http.Transport{DisableKeepAlives: true}
		defer transport.CloseIdleConnections()
		response, err := transport.RoundTrip(request)
		if err != nil {
			return 0, err
		}
		return response.StatusCode, errors.Join(err, response.Body.Close())
	}
}

func getPage() (int, error) { return do(http.MethodGet, at(serveIP, proxyPort), "/page", "") }

func TestCrowdAtServe(t *testing.T) {
	var cases []crowdCase
	add := func(name string, b behavior, g target, ordinary func() (int, error)) {
		cases = append(cases, crowdCase{name + "/" + b.name, func(t *testing.T) {
			checkCrowd(t, startServe(t), b, g, ordinary)
		}})
	}
	for _, b := range all() {
		add("platform", b, target{at(serveIP, platformPort), host, "POST /usage-view", httpd.MaxBody}, sendRequest())
		add("event streams", b, target{at(serveIP, streamPort), host, "POST /usage-view", httpd.MaxBody}, sendRequest())
		add("reverse proxy", b, target{at(serveIP, proxyPort), host, "POST /page", httpd.MaxBody}, getPage)
	}
	for _, b := range bodyBehaviors {
		b.clients = byDescriptors
		add("reverse proxy, streamed", b, target{at(serveIP, proxyPort), host, "POST /page", streamedBytes}, getPage)
	}
	for _, b := range headBehaviors {
		add("operators", b, target{address: at(serveIP, opsPort), host: host, request: "GET /"}, sendRequest())
	}
	answers := behavior{"answers of 1 MiB without reading", byDescriptors, false, sendPipelined}
	add("reverse proxy", answers, target{address: at(serveIP, proxyPort), host: host, request: "GET /large"}, getPage)
	runCases(t, cases)
}
