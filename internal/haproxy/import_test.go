package haproxy

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"sedgevale/internal/config"
)

const sample = `# a portal
global
    daemon
    maxconn 2000
    ulimit-n 900

defaults base
    mode http
    timeout connect 250ms
    timeout client 30s
    timeout server 8s
    retries 2
    option redispatch

frontend portal from base
    bind 127.0.0.1:8080,127.0.0.1:8081
    bind /run/portal.sock
    acl slow path_beg /slow
    use_backend other if slow
    default_backend boxes

backend boxes
    balance roundrobin
    timeout server 5s
    default-server weight 10 check inter 2s
    server a 127.0.0.2:3000
    server b 127.0.0.3:3000 weight 50 "cookie" b
    server c 127.0.0.4:3000 disabled
    server d box-d.example:3000
    server e 127.0.0.5:3000 backup

backend other
    server x 127.0.0.6:3000

peers mates
    peer m 127.0.0.7:1024
`

func noteOf(notes []Note, line int) string {
	var all []string
	for _, n := range notes {
		if n.Line == line {
			all = append(all, n.Directive+" - "+n.Reason)
		}
	}
	return strings.Join(all, "; ")
}

func TestImport(t *testing.T) {
	f, notes, err := Import(strings.NewReader(sample), Options{Class: "usage"})
	if err != nil {
		t.Fatal(err)
	}
	s := &f.Settings
	if f.Listen != "127.0.0.1:8080" || s.Bounds.DialTimeout != 0.25 || s.Classes[0].HardLimit != 5 ||
		s.Bounds.MaxAttempts != 3 || f.Limits.Sockets != 900 || s.Classes[0].Effect != "single_shot" {
		t.Errorf("got %+v", f)
	}
	var workers []string
	for _, w := range f.Workers {
		workers = append(workers, w.ID+" "+w.HostPort+" "+w.Phase)
	}
	if got := strings.Join(workers, ", "); got != "a 127.0.0.2:3000 ready, b 127.0.0.3:3000 ready, c 127.0.0.4:3000 draining" {
		t.Errorf("workers: %s", got)
	}
	if f.Workers[0].Size != 10 || f.Workers[1].Size != 50 {
		t.Errorf("weights %v and %v", f.Workers[0].Size, f.Workers[1].Size)
	}
	// Every directive that was not taken over is reported, with its own line.
	for line, want := range map[int]string{
		3: "foreground", 4: "sockets", 10: "10 s", 13: "always so", 16: "earlier bind", 17: "only TCP", 18: "class",
		19: "class", 23: "picks the worker", 25: "no health checks", 27: "no counterpart", 29: "host name",
		30: "backup", 32: "not part of", 33: "not part of", 35: "nothing here", 36: "nothing here",
	} {
		if got := noteOf(notes, line); !strings.Contains(got, want) {
			t.Errorf("line %d: %q lacks %q", line, got, want)
		}
	}
	for _, line := range []int{5, 8, 9, 11, 12, 20, 24, 26, 28} { // taken over
		if got := noteOf(notes, line); got != "" {
			t.Errorf("line %d is reported: %s", line, got)
		}
	}
}

// What is written passes the check of operator's files.
func TestOutputPassesCheck(t *testing.T) {
	f, _, err := Import(strings.NewReader(sample), Options{Class: "usage"})
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "operator.toml")
	var b bytes.Buffer
	if err := f.Write(&b); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, b.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
	c, err := config.ReadOperator(path)
	if err != nil {
		t.Fatalf("%v in\n%s", err, b.String())
	}
	if c.Listen != f.Listen || len(c.Known.Members) != 3 || c.Settings.Classes[0].HardLimit != 5 {
		t.Errorf("read back: %+v", c)
	}
	if err := os.WriteFile(path, append([]byte("lisen = \"x\"\n"), b.Bytes()...), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := config.ReadOperator(path); err == nil || !strings.Contains(err.Error(), "lisen") {
		t.Errorf("a misspelt key: %v", err)
	}
}

func TestRetryOnMakesRepeatsSafe(t *testing.T) {
	f, _, err := Import(strings.NewReader("listen l\n bind :80\n retry-on conn-failure 503\n server a 127.0.0.1:1\n"),
		Options{})
	if err != nil || f.Settings.Classes[0].Effect != "free" || f.Listen != "0.0.0.0:80" {
		t.Errorf("%+v, error %v", f, err)
	}
}

// A malformed directive is an error that names its line.
func TestMalformed(t *testing.T) {
	const head = "listen l\n bind 127.0.0.1:80\n server a 127.0.0.1:1\n"
	for text, line := range map[string]int{
		"mode http\n":                                1,
		head + " bind\n":                             4,
		head + " bind nothing\n":                     4,
		head + " server b\n":                         4,
		head + " server a 127.0.0.2:1\n":             4,
		head + " server b 127.0.0.2:99999\n":         4,
		head + " server b 127.0.0.300:1\n":           4,
		head + " server b 127.0.0.2:1 weight 300\n":  4,
		head + " server b 127.0.0.2:1 weight\n":      4,
		head + " server b 127.0.0.2:1 nonsense\n":    4,
		head + " timeout server soon\n":              4,
		head + " timeout nonsense 1s\n":              4,
		head + " timeout server\n":                   4,
		head + " retries many\n":                     4,
		head + " retry-on sunshine\n":                4,
		head + " mode tcp\n":                         4,
		head + " default_backend missing\n":          4,
		head + " log \"open\n":                       4,
		head + " log \"$HOME\"\n":                    4,
		head + " log end\\\n":                        4,
		head + " .if 1\n":                            4,
		head + "frontend\n":                          4,
		head + "backend b extra\n":                   4,
		"listen l\n bind :80\n server a /run/sock\n": 1,
	} {
		_, _, err := Import(strings.NewReader(text), Options{})
		var at *Error
		if !errors.As(err, &at) || at.Line != line {
			t.Errorf("%q: error %v, want one of line %d", text, err, line)
		}
	}
}
