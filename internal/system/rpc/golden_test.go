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

// A call of the internal protocol as it goes over the wire: its path, and the answers of a method that succeeds, that fails
// with a numbered result, and that is not there.
func TestCallBytes(t *testing.T) {
	server := rpc.NewServer()
	rpc.Handle(server, "some.method", func(_ context.Context, r *goldenMessage) (*goldenMessage, error) {
		if r.Text == "" {
			return nil, result.Errorf(result.Fenced, "a newer token")
		}
		return &goldenMessage{Text: r.Text + "!"}, nil
	})
	for _, one := range []struct{ path, body, want string }{
		{"/rpc/some.method", "\x04hi", "200|avro/binary||\x06hi!"},
		{"/rpc/some.method", "\x00", "409||1004|a newer token"},
		{"/rpc/other.method", "\x00", "404|text/plain; charset=utf-8||404 page not found\n"},
	} {
		request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, one.path, strings.NewReader(one.body))
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
		if got != one.want {
			t.Errorf("%s %q: %q, want %q", one.path, one.body, got, one.want)
		}
	}
}

// What the client sends, and how it reads answers.
func TestClientBytes(t *testing.T) {
	var asked string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		asked = r.Method + " " + r.URL.Path + " " + string(body)
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
	var answer goldenMessage
	if err := client.Call(t.Context(), address, "some.method", &goldenMessage{"hi"}, &answer); err != nil || answer.Text != "hi!" {
		t.Errorf("the answer is %+v, error %v", answer, err)
	}
	if asked != "POST /rpc/some.method \x04hi" {
		t.Errorf("it sends %q", asked)
	}
	if err := client.Call(t.Context(), address, "some.method", &goldenMessage{}, &answer); result.CodeOf(err) != result.Fenced {
		t.Errorf("a numbered result is read as %v", err)
	}
}
