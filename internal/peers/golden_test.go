package peers_test

import (
	"encoding/json"
	"testing"

	"sedgevale/internal/peers"
	"sedgevale/internal/testkit"
)

// Verifies the JSON encoding of Status, in which each key must hold the value of its field.
func TestStatusJSON(t *testing.T) {
	var status peers.Status
	testkit.Fill(&status)
	text, err := json.Marshal(status)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := string(text), `{"self":2,"watched":true,"members":[{"number":4,"state":"s4","run":6,"heard_ms":7,"loss":7.5,"revision":9,"digest":"s9","behind_ms":11,"differs":true}],"newest":13,"boxes":[{"id":"s13","audience":[15],"ours":{"slots":16,"waiting":17},"others":{"slots":18,"waiting":19},"tellers":20,"oldest_ms":21}],"counts":{"sent":22,"sent_bytes":23,"received":24,"refused":25,"unknown":26,"expired":27,"heard":28,"boxes":29,"part":30,"shares":31}}`; got != want {
		t.Errorf("JSON of Status:\n%q\nwant\n%q", got, want)
	}
}
