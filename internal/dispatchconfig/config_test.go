package dispatchconfig

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sedgevale/dispatcher"
)

const platform = `{"name":"n0","listen":"127.0.0.1:3000","discovery":"127.0.0.1:8500","seed":"92094eb940cf389a",
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
	if err := os.WriteFile(path, []byte(platform), 0o600); err != nil {
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
	if c.Name != "n0" || c.Listen != "127.0.0.1:3000" || c.Discovery != "127.0.0.1:8500" || c.Known.Revision != 7 ||
		c.Limits.Sockets != 1024 || c.SeedNumber() != 0x92094eb940cf389a {
		t.Errorf("%+v", c)
	}
	// The file can be replaced, the environment cannot: where the variables won, a
	// reload would keep using the discovery of the start.
	if err := os.WriteFile(path, []byte(strings.Replace(platform, `"discovery":"127.0.0.1:8500",`, "", 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	if c, err := FromEnv(); err != nil || c.Discovery != "127.0.0.1:1" {
		t.Errorf("without discovery in the file: %+v, error %v", c, err)
	}
	testModule(t, c)
}

// testModule checks the module's settings of the platform's file.
func testModule(t *testing.T, c *Config) {
	t.Helper()
	m, err := c.Settings.ModuleSettings(3)
	if err != nil {
		t.Fatal(err)
	}
	k := m.Classes[0]
	if k.Idempotency != dispatcher.IdempotentByKey || k.DedupScope != dispatcher.DedupCell || k.DedupWindow != 7500*time.Millisecond ||
		k.TargetStretch != 2.5 || k.Kinds != nil || m.Dispatchers != 6 || !m.WatchOnDemand || !m.StartNotified || m.LoadByProbe ||
		m.Weights != dispatcher.WeightSize || m.SlowStartDuration != 22*time.Second || m.MaxRetryAfter != 2*time.Second ||
		m.Tenants[0].Quota != 58 {
		t.Errorf("%+v", m)
	}
}

// Guards the error of a bad configuration, which is one line.
func TestBadConfig(t *testing.T) {
	for _, change := range [][2]string{
		{`{"name"`, `{"name`}, {`"guarded"`, `"other"`}, {`"cell",`, `"town",`}, {`"rough"`, `"heavy"`},
		{`"hard_limit":5.0`, `"hard_limit":0`}, {`"share":0.3`, `"share":0`}, {`"127.0.0.1:3000"`, `"here"`},
		{`"127.0.0.2:3000"`, `"there:x"`}, {`"draining"`, `"tired"`}, {`"known"`, `"unknown"`}, {`"bill-pay"`, `""`},
	} {
		text := strings.Replace(platform, change[0], change[1], 1)
		c, err := Parse([]byte(text))
		if err == nil {
			err = c.Check()
		}
		if err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s in place of %s: %v", change[1], change[0], err)
		}
	}
}

// Guards against another customer's settings that lack something being served by halves: the field is named by its path,
// with what was expected.
func TestIncompleteSettingsNameTheField(t *testing.T) {
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
		if !strings.Contains(platform, c[0]) {
			t.Fatalf("%s is not in the file", c[0])
		}
		conf, err := Parse([]byte(strings.Replace(platform, c[0], c[1], 1)))
		if err == nil {
			err = conf.Check()
		}
		if err == nil || !strings.HasPrefix(err.Error(), c[2]) {
			t.Errorf("%s in place of %s: %v, want %s", c[1], c[0], err, c[2])
		}
	}
}

// Guards against a file that is accepted though it is incomplete: one that is empty or
// truncated, that lacks a key, or in which a deadline or the number of attempts is no
// number above 0.
func TestFollows(t *testing.T) {
	before, err := Parse([]byte(platform))
	if err != nil {
		t.Fatal(err)
	}
	take := func(text string) error {
		c, err := Parse([]byte(text))
		if err == nil {
			err = c.Check()
		}
		if err == nil {
			err = c.CheckReplaces(before)
		}
		return err
	}
	class := platform[strings.Index(platform, `{"dedup_scope"`):strings.Index(platform, `],`+"\n"+`"discovery"`)]
	second := strings.Replace(class, "bill-pay", "bill-pay-ii", 1)
	for _, good := range []string{
		platform,
		strings.Replace(platform, class, class+","+second, 1),
		strings.Replace(platform, class, second, 1),
		strings.Replace(platform, `"max_attempts":6`, `"max_attempts":1,"more":true`, 1),
		strings.Replace(platform, `"flavor":"old-box",`, "", 1),
	} {
		if err := take(good); err != nil {
			t.Errorf("a good file: %v", err)
		}
	}
	bad := []string{"", "{}", "[]", "null", strings.Replace(platform, class, class+","+class, 1),
		strings.Replace(platform, class, class+","+strings.Replace(second, `"effect":"guarded",`, "", 1), 1)}
	for n := len(platform) - 1; n > 0; n -= 7 {
		bad = append(bad, platform[:n])
	}
	for _, key := range []string{`"name":"n0",`, `"listen":"127.0.0.1:3000",`, `"discovery":"127.0.0.1:8500",`, `"seed":"92094eb940cf389a",`,
		`"memory_mb":192,`, `"max_attempts":6,`, `"dedup_scope":"cell",`, `"hard_limit":5.0,`, `"tells_start":true`, `"class_kind":[-1],`,
		`"peers_total":2,`} {
		bad = append(bad, strings.Replace(strings.Replace(platform, key, "", 1), ",}", "}", 1))
	}
	for _, key := range []string{`"hard_limit":5.0`, `"max_attempts":6`, `"promise":0.1`} {
		name, _, _ := strings.Cut(key, ":")
		for _, v := range []string{"0", "-5", `"5"`, "null", "true", "[1]", "{}", "1e999"} {
			bad = append(bad, strings.Replace(platform, key, name+":"+v, 1))
		}
	}
	for _, text := range bad {
		if err := take(text); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%v for %s", err, text)
		}
	}
}

// The file that the project ships can be served.
func TestShippedOperatorFile(t *testing.T) {
	c, err := ReadOperator("../../deploy/operator.toml")
	if err != nil || c.SSE == nil || len(c.Settings.Classes) != 3 {
		t.Errorf("%+v, error %v", c, err)
	}
}
