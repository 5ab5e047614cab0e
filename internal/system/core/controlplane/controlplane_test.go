package controlplane

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-logr/logr"

	"sedgevale/internal/system/result"
)

// fakeConfigs records the last change and answers with what it is given.
type fakeConfigs struct {
	text        string
	err         error
	patch       bool
	baseVersion int64
	body        string
	canceled    bool // the change's context ended with the request
}

func (f *fakeConfigs) ReadConfig(context.Context) ([]byte, error) { return []byte(f.text), f.err }

func (f *fakeConfigs) ChangeConfig(ctx context.Context, patch bool, baseVersion int64, body []byte) error {
	f.patch, f.baseVersion, f.body, f.canceled = patch, baseVersion, string(body), ctx.Err() != nil
	return f.err
}

// serve answers one request whose client has hung up already.
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

func TestConfigurationIsSentAsItIs(t *testing.T) {
	answer := serve(t, &fakeConfigs{text: `{"version":1}`}, http.MethodGet, "", "")
	if answer.Code != http.StatusOK || answer.Body.String() != `{"version":1}` || answer.Header().Get("Content-Type") != "application/json" {
		t.Errorf("%d %q %v", answer.Code, answer.Body, answer.Header())
	}
}

// A change goes on when its operator hangs up; its base version stands in If-Match, quoted or not.
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
	for _, one := range cases {
		configs := &fakeConfigs{}
		answer := serve(t, configs, one.method, one.ifMatch, "body")
		if answer.Code != http.StatusOK || answer.Body.Len() != 0 {
			t.Errorf("%s: %d %q", one.method, answer.Code, answer.Body)
		}
		if want := (fakeConfigs{patch: one.patch, baseVersion: one.baseVersion, body: "body"}); *configs != want {
			t.Errorf("%s: %+v, %+v wanted", one.method, *configs, want)
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
			answer := serve(t, &fakeConfigs{err: result.Errorf(code, "why")}, method, "", "")
			if answer.Code != want || !strings.Contains(answer.Body.String(), "why") {
				t.Errorf("%s, code %d: %d %q, %d wanted", method, code, answer.Code, answer.Body, want)
			}
		}
	}
}

// What cannot be a change does not reach the store.
func TestImpossibleRequestsAreRejected(t *testing.T) {
	cases := map[string]struct {
		ifMatch, body string
		want          int
	}{
		"no version":    {"x", "body", http.StatusBadRequest},
		"too long":      {"1", strings.Repeat("x", maxConfigBytes+1), http.StatusRequestEntityTooLarge},
		"two versions":  {"1, 2", "body", http.StatusBadRequest},
		"beyond 64 bit": {"9223372036854775808", "body", http.StatusBadRequest},
	}
	for name, one := range cases {
		configs := &fakeConfigs{err: errors.New("must not be asked")}
		if answer := serve(t, configs, http.MethodPut, one.ifMatch, one.body); answer.Code != one.want || configs.body != "" {
			t.Errorf("%s: %d %q, %d wanted", name, answer.Code, answer.Body, one.want)
		}
	}
	if answer := serve(t, &fakeConfigs{}, http.MethodDelete, "", ""); answer.Code != http.StatusMethodNotAllowed {
		t.Errorf("DELETE: %d", answer.Code)
	}
}
