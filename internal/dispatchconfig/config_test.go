package dispatchconfig

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sedgevale/dispatcher"
)

const platformFile = `{"name":"n0","listen":"127.0.0.1:3000","discovery":"127.0.0.1:8500","seed":"92094eb940cf389a",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":{"revision":7,"complete":true,"members":[
{"cell":1,"flavor":"old-box","host_port":"127.0.0.2:3000","id":"s-1","locality":"hut","phase":"draining","size":5.0,"up_since_ms":9}]},
"settings":{"bounds":{"cancel":true,"dial_timeout":0.1,"idle_close":15.0,"max_attempts":6,"max_retry_after":2.0,
"may_probe":true,"parallel_tries":true,"retry_after":true},"classes":[{"dedup_scope":"cell","effect":"guarded",
"hard_limit":5.0,"late_share":0.0,"name":"bill-pay","promise":0.1,"stream":false,"value":10.0,"window":7.5}],
"discovery":"ask","family_info":{"class_kind":[-1],"class_stretch":[2.5],"tells_start":true},"kinds":["old-box"],
"peers_total":2,"realms":[{"name":"co-op","quota_rps":58.0,"share":0.3}],"report":{"fields":["x0"],"via":"answers"},
"rules":{"fall":2.0,"fall_multiple":3.0,"start_capacity":0.13,"warm_up":22.0},"weights":"rough","zone":0,"zones":["hut"]}}`

func TestFromEnv(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(platformFile), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("EDGE_CONFIG", path)
	t.Setenv("EDGE_NAME", "n9")
	t.Setenv("EDGE_LISTEN", "127.0.0.3:3000")
	t.Setenv("EDGE_DISCOVERY", "127.0.0.1:1")
	c, err := FromEnv()
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n0" || c.Listen != "127.0.0.1:3000" || c.Discovery != "127.0.0.1:8500" || c.KnownWorkers.Revision != 7 ||
		c.Limits.Sockets != 1024 || c.SeedNumber() != 0x92094eb940cf389a {
		t.Errorf("%+v", c)
	}
	// The variables apply only to keys that the file lacks. If they took precedence over the
	// file, a reload could not change the address of the discovery service.
	if err := os.WriteFile(path, []byte(strings.Replace(platformFile, `"discovery":"127.0.0.1:8500",`, "", 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	if c, err := FromEnv(); err != nil || c.Discovery != "127.0.0.1:1" {
		t.Errorf("FromEnv without discovery in the file: %+v, error %v", c, err)
	}
	checkModuleSettings(t, c)
}

// checkModuleSettings checks the dispatcher.Settings converted from platformFile.
func checkModuleSettings(t *testing.T, c *Config) {
	t.Helper()
	m, err := c.Settings.DispatcherSettings(3)
	if err != nil {
		t.Fatal(err)
	}
	class := m.Classes[0]
	if class.Idempotency != dispatcher.IdempotentByKey || class.DedupScope != dispatcher.DedupCell || class.DedupWindow != 7500*time.Millisecond ||
		class.TargetStretch != 2.5 || class.Kinds != nil || m.Dispatchers != 6 || !m.WatchOnDemand || !m.StartNotified || m.LoadByProbe ||
		m.WeightMeaning != dispatcher.WeightSize || m.SlowStartDuration != 22*time.Second || m.MaxRetryAfter != 2*time.Second ||
		m.Tenants[0].Quota != 58 {
		t.Errorf("%+v", m)
	}
}

// Tests that an invalid configuration is rejected with an error of a single line.
func TestInvalidConfig(t *testing.T) {
	for _, change := range [][2]string{
		{`{"name"`, `{"name`}, {`"guarded"`, `"other"`}, {`"cell",`, `"town",`}, {`"rough"`, `"heavy"`},
		{`"hard_limit":5.0`, `"hard_limit":0`}, {`"share":0.3`, `"share":0`}, {`"127.0.0.1:3000"`, `"here"`},
		{`"127.0.0.2:3000"`, `"there:x"`}, {`"draining"`, `"tired"`}, {`"known"`, `"unknown"`}, {`"bill-pay"`, `""`},
	} {
		text := strings.Replace(platformFile, change[0], change[1], 1)
		c, err := Parse([]byte(text))
		if err == nil {
			err = c.Check()
		}
		if err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s in place of %s: error %v, want an error of one line", change[1], change[0], err)
		}
	}
}

// Guards against incomplete settings that are accepted and serve only some of the jobs: they are
// rejected with an error that holds the path of the field and the expected value.
func TestInvalidSettingsErrorNamesField(t *testing.T) {
	for _, c := range [][3]string{
		{`"name":"bill-pay",`, ``, "settings.classes[0].name: missing"},
		{`"guarded"`, `"once"`, `settings.classes[0].effect: "once" is none of free, guarded, single_shot`},
		{`"dedup_scope":"cell"`, `"dedup_scope":"town"`, `settings.classes[0].dedup_scope: "town" is none of all, zone, cell`},
		{`"hard_limit":5.0,`, ``, "settings.classes[0].hard_limit: missing"},
		{`"promise":0.1,`, ``, "settings.classes[0].promise: missing"},
		{`,"window":7.5`, ``, "settings.classes[0].window: missing"},
		{`"name":"co-op",`, ``, "settings.realms[0].name: missing"},
		{`"share":0.3`, `"share":-1`, "settings.realms[0].share: missing, or not above 0"},
		{`"share":0.3`, `"share":0.3},{"name":"co-op","share":1`, `settings.realms[1].name: "co-op" is there twice`},
		{`"share":0.3`, `"share":0.3,"quota_rps":-1`, "settings.realms[0].quota_rps: want 0"},
		{`"rough"`, `"heavy"`, `settings.weights: "heavy" is none of`},
		{`"fall":2.0,`, ``, "settings.rules.fall: missing"},
		{`"start_capacity":0.13,`, ``, "settings.rules.start_capacity: missing"},
	} {
		if !strings.Contains(platformFile, c[0]) {
			t.Fatalf("platformFile does not contain %s", c[0])
		}
		config, err := Parse([]byte(strings.Replace(platformFile, c[0], c[1], 1)))
		if err == nil {
			err = config.Check()
		}
		if err == nil || !strings.HasPrefix(err.Error(), c[2]) {
			t.Errorf("%s in place of %s: error %v, want %s", c[1], c[0], err, c[2])
		}
	}
}

// Guards against a reload of an incomplete file: one that is empty or truncated, that lacks a
// key, or in which a timeout or the number of attempts is not a number above 0.
func TestCheckReplaces(t *testing.T) {
	previous, err := Parse([]byte(platformFile))
	if err != nil {
		t.Fatal(err)
	}
	reload := func(text string) error {
		c, err := Parse([]byte(text))
		if err == nil {
			err = c.Check()
		}
		if err == nil {
			err = c.CheckReplaces(previous)
		}
		return err
	}
	class := platformFile[strings.Index(platformFile, `{"dedup_scope"`):strings.Index(platformFile, `],`+"\n"+`"discovery"`)]
	second := strings.Replace(class, "bill-pay", "bill-pay-ii", 1)
	for _, valid := range []string{
		platformFile,
		strings.Replace(platformFile, class, class+","+second, 1),
		strings.Replace(platformFile, class, second, 1),
		strings.Replace(platformFile, `"max_attempts":6`, `"max_attempts":1,"more":true`, 1),
		strings.Replace(platformFile, `"flavor":"old-box",`, "", 1),
	} {
		if err := reload(valid); err != nil {
			t.Errorf("valid file rejected: %v", err)
		}
	}
	invalid := []string{"", "{}", "[]", "null", strings.Replace(platformFile, class, class+","+class, 1),
		strings.Replace(platformFile, class, class+","+strings.Replace(second, `"effect":"guarded",`, "", 1), 1)}
	for n := len(platformFile) - 1; n > 0; n -= 7 {
		invalid = append(invalid, platformFile[:n])
	}
	for _, key := range []string{`"name":"n0",`, `"listen":"127.0.0.1:3000",`, `"discovery":"127.0.0.1:8500",`, `"seed":"92094eb940cf389a",`,
		`"memory_mb":192,`, `"max_attempts":6,`, `"dedup_scope":"cell",`, `"hard_limit":5.0,`, `"tells_start":true`, `"class_kind":[-1],`,
		`"peers_total":2,`} {
		invalid = append(invalid, strings.Replace(strings.Replace(platformFile, key, "", 1), ",}", "}", 1))
	}
	for _, key := range []string{`"hard_limit":5.0`, `"max_attempts":6`, `"promise":0.1`} {
		name, _, _ := strings.Cut(key, ":")
		for _, v := range []string{"0", "-5", `"5"`, "null", "true", "[1]", "{}", "1e999"} {
			invalid = append(invalid, strings.Replace(platformFile, key, name+":"+v, 1))
		}
	}
	for _, text := range invalid {
		if err := reload(text); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("error %v, want an error of one line, for %s", err, text)
		}
	}
}

// Tests that the operator's file in deploy is valid.
func TestDeployedOperatorFile(t *testing.T) {
	c, err := ReadOperator("../../deploy/operator.toml")
	if err != nil || c.SSE == nil || len(c.Settings.Classes) != 3 {
		t.Errorf("got %+v, error %v; want an SSE frontend and 3 classes", c, err)
	}
}
