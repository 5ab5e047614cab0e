package core

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"sedgevale/internal/avrocodec"
	"sedgevale/internal/system/result"
)

var configModelSeeds = flag.Int("model.seeds", 300, "number of random histories of TestModelOfConfigChanges")

const (
	configModelCalls    = 120
	configModelVersions = 8 // versions are drawn up to this far above the current one
)

// configCall is an operator's whole call.
type configCall struct {
	patch       bool
	baseVersion int64
	body        string
}

// configModel states what each call must be answered: it keeps all calls that were applied, and the current version.
type configModel struct {
	random  *rand.Rand
	sent    []configCall
	applied []configCall
	version int64
}

// nextCall draws a new call, the repetition of an earlier one, or an earlier one with another base version or of another kind.
func (m *configModel) nextCall() configCall {
	if len(m.sent) > 0 && m.random.IntN(3) > 0 {
		call := m.sent[m.random.IntN(len(m.sent))]
		switch m.random.IntN(6) {
		case 0, 1:
			call.baseVersion = m.version
		case 2:
			call.baseVersion = m.random.Int64N(m.version + 2)
		case 3:
			call.patch = !call.patch
		case 4:
			call.patch, call.body = false, patchPrefix+call.body
		}
		return call
	}
	base, version := m.version, m.version+m.random.Int64N(configModelVersions)
	if m.random.IntN(4) == 0 {
		base = m.random.Int64N(m.version + 2)
	}
	name := string('a' + rune(m.random.IntN(3)))
	if m.random.IntN(2) == 0 {
		return configCall{false, base, configText(int(version), route(name, "/"+name+"/"))}
	}
	return configCall{true, base, fmt.Sprintf(`{"version":%d,"upsert":{"routes":[%s]}}`, version, route(name, "/"+name+"/"))}
}

// check checks the answer to a call and the version that is in force after it.
func (m *configModel) check(t *testing.T, call configCall, err error, version int64) {
	t.Helper()
	repeated := slices.Contains(m.applied, call)
	switch {
	case repeated && err != nil:
		t.Errorf("a repetition of %+v on version %d: error %v", call, m.version, err)
	case repeated && version != m.version:
		t.Errorf("a repetition of %+v changed version %d to %d", call, m.version, version)
	case !repeated && err == nil && (call.baseVersion != m.version || version <= m.version):
		t.Errorf("%+v was acknowledged on version %d, version %d is in force", call, m.version, version)
	case !repeated && err == nil:
		m.applied = append(m.applied, call)
		m.version = version
	case version != m.version:
		t.Errorf("%+v was rejected on version %d, version %d is in force", call, m.version, version)
	}
}

// TestModelOfConfigChanges checks random histories of operators' calls: a call is acknowledged if and only if it is applied now or the
// whole call was applied before, however many changes came since. It guards against the failure of review/8 and its kind.
func TestModelOfConfigChanges(t *testing.T) {
	for seed := range uint64(*configModelSeeds) {
		m := &configModel{random: rand.New(rand.NewPCG(seed, 8))}
		var current []byte
		var record configRecord
		for range configModelCalls {
			call := m.nextCall()
			m.sent = append(m.sent, call)
			next, err := newConfigChange(call.patch, call.baseVersion, []byte(call.body)).apply(current)
			if err == nil {
				current = next
				if err := avrocodec.Decode(current, &record); err != nil {
					t.Fatal(err)
				}
			} else if code := result.CodeOf(err); code != result.Conflict && code != result.Invalid {
				t.Errorf("%+v: error %v", call, err)
			}
			m.check(t, call, err, record.Version)
			if t.Failed() {
				t.Fatalf("seed %d", seed)
			}
		}
		if len(m.applied) < configModelCalls/10 {
			t.Fatalf("seed %d: only %d of %d calls were applied", seed, len(m.applied), configModelCalls)
		}
	}
}
