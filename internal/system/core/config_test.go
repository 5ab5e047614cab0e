package core

import (
	"fmt"
	"strings"
	"testing"

	"sedgevale/internal/avrocodec"
	"sedgevale/internal/system/result"
)

const service = `"services":[{"name":"s","tls":false,"preconditions":false}]`

func configText(version int, routes string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[%s],%s,"limits":{"max_body_bytes":1000}}`, version, routes, service)
}

func route(name, prefix string) string {
	return fmt.Sprintf(`{"name":%q,"host":"h","path_prefix":%q,"timeout_ms":3000,"service":"s","retries":2,"extra":1}`, name, prefix)
}

// changeStep is an operator's change and the expected result code.
type changeStep struct {
	patch       bool
	baseVersion int64 // version in the If-Match header
	body        string
	want        result.Code
}

func applySteps(t *testing.T, steps []changeStep) configRecord {
	t.Helper()
	var current []byte
	for i, step := range steps {
		next, err := newConfigChange(step.patch, step.baseVersion, []byte(step.body)).apply(current)
		if result.CodeOf(err) != step.want {
			t.Errorf("step %d: error %v, want code %d", i, err, step.want)
		}
		if err == nil {
			current = next
		}
	}
	var record configRecord
	if err := avrocodec.Decode(current, &record); err != nil {
		t.Fatal(err)
	}
	return record
}

func TestOnlyOneOfTwoConcurrentChangesIsApplied(t *testing.T) {
	first, second := configText(2, route("a", "/a/")), configText(2, route("b", "/b/"))
	record := applySteps(t, []changeStep{
		{false, 0, configText(1, ""), result.OK},
		{false, 1, first, result.OK},
		{false, 1, second, result.Conflict},
		{false, 1, first, result.OK}, // a retry
	})
	if string(record.Text) != first {
		t.Errorf("configuration in force: %s, want %s", record.Text, first)
	}
}

// A retry of an applied change succeeds even if other changes were applied since.
func TestRetriedChangeIsAcknowledged(t *testing.T) {
	first := configText(2, route("a", "/a/"))
	record := applySteps(t, []changeStep{
		{false, 0, configText(1, ""), result.OK},
		{false, 1, first, result.OK},
		{false, 2, configText(3, ""), result.OK},
		{false, 1, first, result.OK},
	})
	if record.Version != 3 {
		t.Errorf("version %d in force, want 3", record.Version)
	}
}

func TestInvalidConfigurationsAreRejected(t *testing.T) {
	good := configText(5, route("a", "/a/"))
	cases := map[string]string{
		"truncated":       good[:len(good)-9],
		"unknown service": strings.Replace(configText(6, route("a", "/a/")), `"service":"s"`, `"service":"x"`, 1),
		"same prefix":     configText(6, route("a", "/a/")+","+route("b", "/a/")),
		"same name":       configText(6, route("a", "/a/")+","+route("a", "/b/")),
		"zero timeout":    strings.Replace(configText(6, route("a", "/a/")), `"timeout_ms":3000`, `"timeout_ms":0`, 1),
		"old version":     configText(4, route("a", "/a/")),
		"same version":    configText(5, route("b", "/b/")),
		"array":           `[1]`,
		"wrong type":      strings.Replace(configText(6, route("a", "/a/")), `"retries":2`, `"retries":"two"`, 1),
	}
	for name, body := range cases {
		record := applySteps(t, []changeStep{{false, 0, good, result.OK}, {false, 5, body, result.Invalid}})
		if record.Version != 5 {
			t.Errorf("%s: version %d in force, want 5", name, record.Version)
		}
	}
}

func TestPatchChangesNamedItems(t *testing.T) {
	record := applySteps(t, []changeStep{
		{false, 0, configText(1, route("a", "/a/")+","+route("b", "/b/")), result.OK},
		{true, 1, fmt.Sprintf(`{"version":4,"upsert":{"routes":[%s,%s]},"remove":{"routes":["b"]}}`,
			route("a", "/aa/"), route("c", "/c/")), result.OK},
		{true, 1, `{"version":9,"remove":{"routes":["a"]}}`, result.Conflict},
		{true, 4, `{"version":9,"upsert":{"routes":[{"host":"h"}]}}`, result.Invalid},
		{true, 4, `{"upsert":{}}`, result.Invalid},
	})
	text := string(record.Text)
	if record.Version != 4 || strings.Contains(text, `"/b/"`) || !strings.Contains(text, `"/aa/"`) ||
		!strings.Contains(text, `"/c/"`) || strings.Contains(text, `"/a/"`) {
		t.Errorf("configuration in force: %s", text)
	}
	if !strings.Contains(text, `"extra":1`) {
		t.Error("the patch dropped an unknown key of a route")
	}
}

func TestErrorsNameTheItem(t *testing.T) {
	_, err := newConfigChange(false, 0, []byte(configText(1, route("a", "/a/")+","+route("b", "/a/")))).apply(nil)
	if err == nil || !strings.Contains(err.Error(), `routes[1] "b"`) {
		t.Errorf("error %v, want it to name the route", err)
	}
	_, err = newConfigChange(false, 0, []byte(strings.Replace(configText(1, route("a", "/a/")), `3000`, `0`, 1))).apply(nil)
	if err == nil || !strings.Contains(err.Error(), "timeout_ms") {
		t.Errorf("error %v, want it to name the key", err)
	}
}

// A retry of a change in the history is acknowledged. A retry of an older change has an unknown outcome; it is not rejected
// as a conflict, since it may have been applied.
func TestRetriesOfOldChanges(t *testing.T) {
	var current []byte
	var changes []*configChange
	for version := range maxHistory + 100 {
		change := newConfigChange(false, int64(version), []byte(configText(version+1, "")))
		next, err := change.apply(current)
		if err != nil {
			t.Fatal(err)
		}
		current = next
		changes = append(changes, change)
	}
	for i, change := range changes {
		next, err := change.apply(current)
		if i >= 100 {
			if err != nil || string(next) != string(current) {
				t.Fatalf("retry of change %d of %d: error %v, want no error and the value unchanged", i, len(changes), err)
			}
		} else if result.CodeOf(err) != result.OutcomeUnknown {
			t.Fatalf("retry of change %d of %d: error %v, want code %d", i, len(changes), err, result.OutcomeUnknown)
		}
	}
	conflicting := newConfigChange(false, maxHistory, []byte(configText(maxHistory+1, route("a", "/a/"))))
	if _, err := conflicting.apply(current); result.CodeOf(err) != result.Conflict {
		t.Errorf("different change of a version in the history: error %v, want code %d", err, result.Conflict)
	}
	if len(current) > 12<<10 {
		t.Errorf("register value of %d bytes, want at most %d", len(current), 12<<10)
	}
}
