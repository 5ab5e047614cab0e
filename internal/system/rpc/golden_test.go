package rpc_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"sedgevale/internal/system/result"
	"sedgevale/internal/system/rpc"
)

type goldenMessage struct{ Text string }

// TestServerWireFormat pins the wire format of the server: the path of a method, and the responses of a method that
// succeeds, of one that fails with a result code, and of one that does not exist.
func TestServerWireFormat(t *testing.T) {
	server := rpc.NewServer()
	rpc.Handle(server, "some.method", func(_ context.Context, r *goldenMessage) (*goldenMessage, error) {
		if r.Text == "" {
			return nil, result.Errorf(result.Fenced, "a newer token")
		}
		return &goldenMessage{Text: r.Text + "!"}, nil
	})
	for _, tc := range []struct{ path, body, want string }{
		{"/rpc/some.method", "\x04hi", "200|avro/binary||\x06hi!"},
		{"/rpc/some.method", "\x00", "409||1004|a newer token"},
		{"/rpc/other.method", "\x00", "404|text/plain; charset=utf-8||404 page not found\n"},
	} {
		request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, tc.path, strings.NewReader(tc.body))
		recorder := httptest.NewRecorder()
		server.Handler().ServeHTTP(recorder, request)
		response := recorder.Result()
		text, err := io.ReadAll(response.Body)
		if err != nil {
			t.Fatal(err)
		}
		if err := response.Body.Close(); err != nil {
			t.Fatal(err)
		}
		got := strings.Join([]string{
			response.Status[:3], response.Header.Get("Content-Type"), response.Header.Get("Sedgevale-Result"), string(text),
		}, "|")
		if got != tc.want {
			t.Errorf("%s %q: response %q, want %q", tc.path, tc.body, got, tc.want)
		}
	}
}

// TestClientWireFormat pins the wire format of the client: the request that it sends, and how it decodes responses.
func TestClientWireFormat(t *testing.T) {
	var sent string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		sent = r.Method + " " + r.URL.Path + " " + string(body)
		if string(body) == "\x00" {
			w.Header().Set("Sedgevale-Result", "1004")
			w.WriteHeader(http.StatusConflict)
		}
		_, _ = io.WriteString(w, "\x06hi!")
	}))
	t.Cleanup(server.Close)
	client := rpc.NewClient(rpc.DialTCP())
	t.Cleanup(client.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	var response goldenMessage
	if err := client.Call(t.Context(), address, "some.method", &goldenMessage{"hi"}, &response); err != nil || response.Text != "hi!" {
		t.Errorf("response %+v, error %v", response, err)
	}
	if sent != "POST /rpc/some.method \x04hi" {
		t.Errorf("the client sent %q", sent)
	}
	if err := client.Call(t.Context(), address, "some.method", &goldenMessage{}, &response); result.CodeOf(err) != result.Fenced {
		t.Errorf("the response with result code 1004 was decoded as error %v", err)
	}
}
