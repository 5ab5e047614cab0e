package fleetsim_test

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/BurntSushi/toml"

	"sedgevale/internal/fleetsim"
	"sedgevale/internal/testkit"
)

// TestKeysOfExperiments checks the keys of an experiment file and of a result, and the field that each key belongs to.
func TestKeysOfExperiments(t *testing.T) {
	var file fleetsim.Experiment
	testkit.Fill(&file)
	var text bytes.Buffer
	if err := toml.NewEncoder(&text).Encode(file); err != nil {
		t.Fatal(err)
	}
	if got, want := text.String(), "version = 2\nseeds = 3\nfirst_seed = 4\nlength_s = 4.5\nschedulers = [6]\nboxes = [7]\nload = 7.5\nburst = 8.5\nskew = 9.5\nretries = 11\n\n[box]\n  cores = [12]\n  speed = [12.5, 13.5]\n  queue = 15\n  report_ms = [15.5, 16.5]\n  handshake_ms = 17.5\n  idle_s = 18.5\n  cold_from = 19.5\n  cold_s = 20.5\n  drops_called = true\n\n[net]\n  way_ms = 22.5\n  peer_ms = [23.5, 24.5]\n\n[[variant]]\n  name = \"s25\"\n  peers = true\n  hearers = 28\n  least = 29\n  delay_ms = 29.5\n  loss = 30.5\n\n[[trouble]]\n  kind = \"s31\"\n  at_s = 32.5\n  for_s = 33.5\n  share = 34.5\n  factor = 35.5\n"; got != want {
		t.Errorf("the file: got\n%q\nwant\n%q", got, want)
	}
	var result fleetsim.Result
	testkit.Fill(&result)
	lines, err := json.Marshal(result)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := string(lines), `{"variant":"s1","seed":3,"schedulers":4,"boxes":5,"asked":6,"served":7,"in_time":8,"refused":9,"refusals":10,"failed":11,"lost":12,"attempts":13,"called_off":14,"connections":15,"messages":16,"worth":16.5,"gain":17.5,"calls_off":18.5,"connections_job":19.5,"bytes_job":20.5,"messages_job":21.5,"worst_box":22.5,"worst_scheduler":23.5,"pushed":24.5,"p50_ms":25.5,"p99_ms":26.5}`; got != want {
		t.Errorf("a result: got\n%q\nwant\n%q", got, want)
	}
	var figures fleetsim.Metrics
	testkit.Fill(&figures)
	if lines, err = json.Marshal(figures); err != nil {
		t.Fatal(err)
	}
	if got, want := string(lines), `{"worth":1.5,"gain":2.5,"calls_off":3.5,"connections_job":4.5,"bytes_job":5.5,"messages_job":6.5,"worst_box":7.5,"worst_scheduler":8.5,"pushed":9.5,"p50_ms":10.5,"p99_ms":11.5}`; got != want {
		t.Errorf("figures: got\n%q\nwant\n%q", got, want)
	}
}
