package sse

import (
	"testing"

	"pgregory.net/rapid"

	"sedgevale/internal/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m, 200) }

// TestEventID checks that parseEventID inverts eventID.String and rejects invalid text, because a client may
// send anything as Last-Event-ID.
func TestEventID(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := eventID{epoch: randomID(), seq: rapid.IntRange(0, 1<<30).Draw(t, "seq"), final: rapid.Bool().Draw(t, "final"),
			class: rapid.StringN(1, 20, 60).Draw(t, "class"), request: rapid.StringN(1, 20, 60).Draw(t, "request")}
		if got, ok := parseEventID(id.String()); !ok || got != id {
			t.Fatalf("%+v was parsed as %+v, %v", id, got, ok)
		}
		text := rapid.OneOf(rapid.String(), rapid.StringMatching(`[a-f0-9:.%]{0,30}`)).Draw(t, "garbage")
		if got, ok := parseEventID(text); ok && (got.epoch == "" || got.class == "" || got.request == "") {
			t.Fatalf("%q was parsed as %+v, which lacks a required part", text, got)
		}
	})
}
