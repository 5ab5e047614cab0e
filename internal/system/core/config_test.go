package core

import (
	"fmt"
	"strings"
	"testing"

	"sedgevale/internal/avrocodec"
	"sedgevale/internal/system/result"
)

const service = `"services":[{"name":"s","tls":false,"preconditions":false}]`

func whole(version int, routes string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[%s],%s,"limits":{"max_body_bytes":1000}}`, version, routes, service)
}

func route(name, prefix string) string {
	return fmt.Sprintf(`{"name":%q,"host":"h","path_prefix":%q,"timeout_ms":3000,"service":"s","retries":2,"extra":1}`, name, prefix)
}

// steps applies changes one after another; a line is: kind, If-Match, body, the code that is wanted.
type changeStep struct {
	patch bool
	match int64
	body  string
	want  result.Code
}

func run(t *testing.T, steps []changeStep) configRecord {
	t.Helper()
	var current []byte
	for i, step := range steps {
		next, err := newOperatorChange(step.patch, step.match, []byte(step.body)).apply(current)
		if result.CodeOf(err) != step.want {
			t.Errorf("step %d: error %v, code %d wanted", i, err, step.want)
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

func TestOnlyOneOfTwoRacingChangesIsTaken(t *testing.T) {
	one, two := whole(2, route("a", "/a/")), whole(2, route("b", "/b/"))
	record := run(t, []changeStep{
		{false, 0, whole(1, ""), result.OK},
		{false, 1, one, result.OK},
		{false, 1, two, result.Conflict},
		{false, 1, one, result.OK}, // sent again
	})
	if string(record.Text) != one {
		t.Errorf("in force: %s", record.Text)
	}
}

// A change that was taken is never refused, also when others came since.
func TestTakenChangeIsAcknowledgedAgain(t *testing.T) {
	one := whole(2, route("a", "/a/"))
	record := run(t, []changeStep{
		{false, 0, whole(1, ""), result.OK},
		{false, 1, one, result.OK},
		{false, 2, whole(3, ""), result.OK},
		{false, 1, one, result.OK},
	})
	if record.Version != 3 {
		t.Errorf("version %d in force", record.Version)
	}
}

func TestInvalidConfigurationsChangeNothing(t *testing.T) {
	good := whole(5, route("a", "/a/"))
	cases := map[string]string{
		"cut short":       good[:len(good)-9],
		"unknown service": strings.Replace(whole(6, route("a", "/a/")), `"service":"s"`, `"service":"x"`, 1),
		"same place":      whole(6, route("a", "/a/")+","+route("b", "/a/")),
		"same name":       whole(6, route("a", "/a/")+","+route("a", "/b/")),
		"no time-out":     strings.Replace(whole(6, route("a", "/a/")), `"timeout_ms":3000`, `"timeout_ms":0`, 1),
		"old version":     whole(4, route("a", "/a/")),
		"same version":    whole(5, route("b", "/b/")),
		"no object":       `[1]`,
		"wrong type":      strings.Replace(whole(6, route("a", "/a/")), `"retries":2`, `"retries":"two"`, 1),
	}
	for name, body := range cases {
		record := run(t, []changeStep{{false, 0, good, result.OK}, {false, 5, body, result.Invalid}})
		if record.Version != 5 {
			t.Errorf("%s: version %d in force", name, record.Version)
		}
	}
}

func TestPatchChangesNamedItems(t *testing.T) {
	record := run(t, []changeStep{
		{false, 0, whole(1, route("a", "/a/")+","+route("b", "/b/")), result.OK},
		{true, 1, fmt.Sprintf(`{"version":4,"upsert":{"routes":[%s,%s]},"remove":{"routes":["b"]}}`,
			route("a", "/aa/"), route("c", "/c/")), result.OK},
		{true, 1, `{"version":9,"remove":{"routes":["a"]}}`, result.Conflict},
		{true, 4, `{"version":9,"upsert":{"routes":[{"host":"h"}]}}`, result.Invalid},
		{true, 4, `{"upsert":{}}`, result.Invalid},
	})
	text := string(record.Text)
	if record.Version != 4 || strings.Contains(text, `"/b/"`) || !strings.Contains(text, `"/aa/"`) ||
		!strings.Contains(text, `"/c/"`) || strings.Contains(text, `"/a/"`) {
		t.Errorf("in force: %s", text)
	}
	if !strings.Contains(text, `"extra":1`) {
		t.Error("a key that is not known was lost")
	}
}

func TestErrorsNameTheItem(t *testing.T) {
	_, err := newOperatorChange(false, 0, []byte(whole(1, route("a", "/a/")+","+route("b", "/a/")))).apply(nil)
	if err == nil || !strings.Contains(err.Error(), `routes[1] "b"`) {
		t.Errorf("error %v", err)
	}
	_, err = newOperatorChange(false, 0, []byte(strings.Replace(whole(1, route("a", "/a/")), `3000`, `0`, 1))).apply(nil)
	if err == nil || !strings.Contains(err.Error(), "timeout_ms") {
		t.Errorf("error %v", err)
	}
}

// An order that is sent again is acknowledged again after hundreds of changes, and never refused after more.
func TestOldChangesAreNeverRejected(t *testing.T) {
	var current []byte
	var orders []*operatorChange
	for version := range maxHistory + 100 {
		order := newOperatorChange(false, int64(version), []byte(whole(version+1, "")))
		next, err := order.apply(current)
		if err != nil {
			t.Fatal(err)
		}
		current = next
		orders = append(orders, order)
	}
	for i, order := range orders {
		next, err := order.apply(current)
		if i >= 100 {
			if err != nil || string(next) != string(current) {
				t.Fatalf("order %d of %d, sent again: %v", i, len(orders), err)
			}
		} else if result.CodeOf(err) != result.OutcomeUnknown {
			t.Fatalf("order %d of %d, sent again: %v", i, len(orders), err)
		}
	}
	rival := newOperatorChange(false, maxHistory, []byte(whole(maxHistory+1, route("a", "/a/"))))
	if _, err := rival.apply(current); result.CodeOf(err) != result.Conflict {
		t.Errorf("another order on a version that is remembered: %v", err)
	}
	if len(current) > 12<<10 {
		t.Errorf("the register holds %d bytes", len(current))
	}
}
