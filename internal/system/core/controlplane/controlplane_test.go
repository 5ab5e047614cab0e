package controlplane

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/go-logr/logr"

	"sedgevale/internal/system/result"
)

// fakeConfigs is a ConfigStore that returns the given text and error and records the last change.
type fakeConfigs struct {
	text        string
	err         error
	patch       bool
	baseVersion int64
	body        string
	canceled    bool // whether the change's context was canceled with the request
}

func (f *fakeConfigs) ReadConfig(context.Context) ([]byte, error) { return []byte(f.text), f.err }

func (f *fakeConfigs) ChangeConfig(ctx context.Context, patch bool, baseVersion int64, body []byte) error {
	f.patch, f.baseVersion, f.body, f.canceled = patch, baseVersion, string(body), ctx.Err() != nil
	return f.err
}

// serve handles one request whose client has already closed the connection.
func serve(t *testing.T, configs ConfigStore, method, ifMatch, body string) *httptest.ResponseRecorder {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	request := httptest.NewRequestWithContext(ctx, method, "/sedgevale/config", strings.NewReader(body))
	if ifMatch != "" {
		request.Header.Set("If-Match", ifMatch)
	}
	recorder := httptest.NewRecorder()
	Handler(configs, logr.Discard()).ServeHTTP(recorder, request)
	return recorder
}

func TestConfigurationIsReturnedUnchanged(t *testing.T) {
	response := serve(t, &fakeConfigs{text: `{"version":1}`}, http.MethodGet, "", "")
	if response.Code != http.StatusOK || response.Body.String() != `{"version":1}` || response.Header().Get("Content-Type") != "application/json" {
		t.Errorf("status %d, body %q, header %v", response.Code, response.Body, response.Header())
	}
}

// A change continues if the operator closes the connection. Its base version is given by If-Match, with or without quotes.
func TestChangesReachTheStore(t *testing.T) {
	cases := []struct {
		method, ifMatch string
		patch           bool
		baseVersion     int64
	}{
		{http.MethodPut, "", false, 0},
		{http.MethodPut, `"7"`, false, 7},
		{http.MethodPatch, " 8 ", true, 8},
	}
	for _, tc := range cases {
		configs := &fakeConfigs{}
		response := serve(t, configs, tc.method, tc.ifMatch, "body")
		if response.Code != http.StatusOK || response.Body.Len() != 0 {
			t.Errorf("%s: status %d, body %q", tc.method, response.Code, response.Body)
		}
		if want := (fakeConfigs{patch: tc.patch, baseVersion: tc.baseVersion, body: "body"}); *configs != want {
			t.Errorf("%s: store called with %+v, want %+v", tc.method, *configs, want)
		}
	}
}

func TestStatusFollowsTheResultCode(t *testing.T) {
	cases := map[result.Code]int{
		result.Conflict: http.StatusPreconditionFailed, result.Invalid: http.StatusBadRequest, result.BadRequest: http.StatusBadRequest,
		result.OutcomeUnknown: http.StatusGatewayTimeout, result.StorageFailed: http.StatusGatewayTimeout,
		result.TransportFailed: http.StatusGatewayTimeout, result.Unavailable: http.StatusServiceUnavailable,
		result.NotReady: http.StatusServiceUnavailable,
	}
	for code, want := range cases {
		for _, method := range []string{http.MethodGet, http.MethodPut, http.MethodPatch} {
			response := serve(t, &fakeConfigs{err: result.Errorf(code, "why")}, method, "", "")
			if response.Code != want || !strings.Contains(response.Body.String(), "why") {
				t.Errorf("%s, result code %d: status %d, body %q, want status %d", method, code, response.Code, response.Body, want)
			}
		}
	}
}

// Malformed requests are rejected without a call of the store.
func TestMalformedRequestsAreRejected(t *testing.T) {
	cases := map[string]struct {
		ifMatch, body string
		want          int
	}{
		"not a number":      {"x", "body", http.StatusBadRequest},
		"body too large":    {"1", strings.Repeat("x", maxConfigBytes+1), http.StatusRequestEntityTooLarge},
		"two versions":      {"1, 2", "body", http.StatusBadRequest},
		"overflows 64 bits": {"9223372036854775808", "body", http.StatusBadRequest},
	}
	for name, tc := range cases {
		configs := &fakeConfigs{err: errors.New("must not be called")}
		if response := serve(t, configs, http.MethodPut, tc.ifMatch, tc.body); response.Code != tc.want || configs.body != "" {
			t.Errorf("%s: status %d, body %q, want status %d", name, response.Code, response.Body, tc.want)
		}
	}
	if response := serve(t, &fakeConfigs{}, http.MethodDelete, "", ""); response.Code != http.StatusMethodNotAllowed {
		t.Errorf("DELETE: status %d, want %d", response.Code, http.StatusMethodNotAllowed)
	}
}

// blockedConfigs is a ConfigStore whose changes wait until the test ends them.
type blockedConfigs struct {
	fakeConfigs
	started chan struct{}
	release chan struct{}
}

func (b *blockedConfigs) ChangeConfig(context.Context, bool, int64, []byte) error {
	b.started <- struct{}{}
	<-b.release
	return nil
}

// A change beyond maxChanges waits, and is refused with Retry-After at the end of its time.
func TestChangesInProgressAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		configs := &blockedConfigs{started: make(chan struct{}), release: make(chan struct{})}
		handler := Handler(configs, logr.Discard())
		change := func() *httptest.ResponseRecorder {
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, httptest.NewRequestWithContext(t.Context(), http.MethodPut, "/sedgevale/config", strings.NewReader("{}")))
			return recorder
		}
		for range maxChanges {
			go change()
			<-configs.started
		}
		refused := change()
		if refused.Code != http.StatusServiceUnavailable || refused.Header().Get("Retry-After") == "" {
			t.Errorf("a change beyond the limit: status %d, header %v", refused.Code, refused.Header())
		}
		close(configs.release)
		go func() { <-configs.started }()
		if taken := change(); taken.Code != http.StatusOK {
			t.Errorf("a change after the others: status %d", taken.Code)
		}
	})
}
