package haproxy_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sedgevale/internal/dispatchconfig"
	"sedgevale/internal/haproxy"
)

func importText(text string, opt haproxy.Options) (*haproxy.Result, error) {
	return haproxy.Import([]haproxy.Source{{Name: "x.cfg", Text: []byte(text)}}, opt)
}

// baseConfig is a valid configuration of seven lines that ends in a backend section.
const baseConfig = "defaults\n mode http\nfrontend f\n bind :80\n default_backend b\nbackend b\n server s 10.0.0.1:80\n"

// TestImportErrors checks that Import reports every malformed line, not only the first one.
func TestImportErrors(t *testing.T) {
	for text, want := range map[string]string{
		"server s 1.2.3.4:80\n":                                                     `x.cfg:1: "server" stands before any section`,
		baseConfig + " server\n":                                                    "x.cfg:8: server takes a name and an address",
		baseConfig + " server t 1.2.3.4.5:80\n":                                     `x.cfg:8: server t: "1.2.3.4.5:80" is no address`,
		baseConfig + " server t 1.2.3.4:http\n":                                     `x.cfg:8: server t: "1.2.3.4:http" has no port that can be used`,
		baseConfig + " server s 10.0.0.2:80\n":                                      `x.cfg:8: server "s" is there twice`,
		baseConfig + " server t 10.0.0.2:80 weight\n":                               "x.cfg:8: server t: weight lacks its value",
		baseConfig + " server t 10.0.0.2:80 weight 257\n":                           `x.cfg:8: server t: weight: "257" is no number between 0 and 256`,
		baseConfig + " timeout connect soon\n":                                      `x.cfg:8: timeout connect: "soon" is no time`,
		baseConfig + " http-request\n":                                              "x.cfg:8: http-request lacks its action",
		baseConfig + " http-request deny if nobody\n":                               `x.cfg:8: http-request deny: no acl is called "nobody"`,
		baseConfig + " http-request deny if { path\n":                               "x.cfg:8: http-request deny: an anonymous condition lacks its \"}\"",
		baseConfig + " acl a path_reg (\n":                                          "",
		baseConfig + " acl a src nowhere\n":                                         `x.cfg:8: acl a: "nowhere" is no address or network`,
		baseConfig + " balance\n":                                                   "x.cfg:8: balance takes an algorithm",
		baseConfig + " \"open\n":                                                    "x.cfg:8: a quote is not closed",
		baseConfig + ".if defined(X)\n":                                             "x.cfg:8: .if without .endif",
		baseConfig + ".endif\n":                                                     "x.cfg:8: .endif without .if",
		baseConfig + ".what\n":                                                      "x.cfg:8: .what is unknown",
		"defaults\n mode http\nfrontend f\n bind nowhere:80\n default_backend no\n": "x.cfg:4: bind: \"nowhere:80\" is no address to listen on\nx.cfg:5: no backend is called \"no\"",
		"frontend\n":                           "x.cfg:1: a frontend needs a name",
		baseConfig + "backend b\n":             "x.cfg:8: backend b is there twice",
		baseConfig + "listen b\n bind :81\n":   "x.cfg:8: listen b is there twice",
		"frontend a from nobody\n mode http\n": `x.cfg:1: no defaults section is called "nobody"`,
	} {
		_, err := importText(text, haproxy.Options{})
		if want == "" {
			if err != nil {
				t.Errorf("%q: %v", text, err)
			}
			continue
		}
		if err == nil || err.Error() != want {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
	if got, err := importText("backend b\n mode http\n server s 10.0.0.1:80\n", haproxy.Options{}); err == nil || got == nil {
		t.Errorf("import without a frontend: %v", err)
	}
}

// TestWrite checks that the written file states the origin of each part, omits zero and default values, and
// is a valid operator's file.
func TestWrite(t *testing.T) {
	got, err := importText(baseConfig+" balance leastconn\n option httpchk GET /up\n server u 10.0.0.2:80 weight 0 check\n retries 0\n", haproxy.Options{})
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	if err := got.Write(&b); err != nil {
		t.Fatal(err)
	}
	text := b.String()
	for _, want := range []string{"# frontend f, x.cfg:3\n", "# backend b, x.cfg:6\n", "weight = 0\n", "retries = 0\n"} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is missing in\n%s", want, text)
		}
	}
	for _, no := range []string{"= 0.0", "= \"\"", "= false", "kind = \"\"", "[]", "maxconn = 0", "rise", "settings"} {
		if strings.Contains(text, no) {
			t.Errorf("%q is not omitted in\n%s", no, text)
		}
	}
	path := filepath.Join(t.TempDir(), "o.toml")
	if err := os.WriteFile(path, b.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
	c, err := dispatchconfig.ReadOperator(path)
	if err != nil || *c.Web.Backends[0].Servers[1].Weight != 0 || c.Web.Backends[0].Attempts() != 1 {
		t.Errorf("reading the written file: %+v, %v", c, err)
	}
}

// TestImportFilesAndExplain checks the import of several files with a host name, and Explain.
func TestImportFilesAndExplain(t *testing.T) {
	got, err := haproxy.Import([]haproxy.Source{{Name: "a.cfg", Text: []byte("defaults\n mode http\nfrontend f\n bind :80\n use_backend x if { path_beg /x } { hdr(h) 1 }\n default_backend b\n")},
		{Name: "b.cfg", Text: []byte("backend b\n server s app.local:80\nbackend x\n http-request set-path /y\n server t 10.0.0.2:80\n")}},
		haproxy.Options{Hosts: map[string]string{"app.local": "10.0.0.9"}})
	if err != nil {
		t.Fatal(err)
	}
	if last := got.Report[len(got.Report)-1]; last.File != "b.cfg" || last.Line != 5 {
		t.Errorf("last report entry: %v", last)
	}
	for _, c := range []struct {
		ask    haproxy.ExplainRequest
		server string
		target string
	}{{haproxy.ExplainRequest{Line: "GET /x/1"}, "s", "/x/1"}, {haproxy.ExplainRequest{Line: "GET /x/1 HTTP/1.1", Headers: []string{"H: 1"}}, "t", "/y"}} {
		w, err := haproxy.Explain(got.File.Web, nil, c.ask)
		if err != nil || w.Server != c.server || w.Target != c.target {
			t.Errorf("%+v: %+v %v", c.ask, w, err)
		}
	}
	for _, bad := range []haproxy.ExplainRequest{{Line: "GET"}, {Line: "GET /", Frontend: "no"}, {Line: "GET /", Source: "x"}, {Line: "GET /", Headers: []string{"x"}}} {
		if _, err := haproxy.Explain(got.File.Web, nil, bad); err == nil {
			t.Errorf("Explain accepted the invalid request %+v", bad)
		}
	}
}

// TestImportLargeFile checks that the import of ten thousand lines takes at most 10 s and that each line has
// an entry.
func TestImportLargeFile(t *testing.T) {
	var b strings.Builder
	b.WriteString("defaults\n mode http\nfrontend f\n bind :80\n")
	for i := range 2500 {
		fmt.Fprintf(&b, " use_backend b%d if { hdr(host) -i h%d.example }\n", i, i)
	}
	for i := range 2500 {
		fmt.Fprintf(&b, "backend b%d\n balance roundrobin\n server s 10.0.%d.%d:80\n", i, i/250, i%250)
	}
	began := time.Now()
	got, err := importText(b.String(), haproxy.Options{})
	if err != nil || len(got.Report) != 10004 || len(got.File.Web.Backends) != 2500 {
		t.Fatalf("%v", err)
	}
	if took := time.Since(began); took > 10*time.Second {
		t.Errorf("import took %v, want at most 10s", took)
	}
}

// TestQuotedDirectiveIsUnknown checks that two words quoted as one are an unknown directive, as in HAProxy.
// Handlers of two-word directives could panic on it.
func TestQuotedDirectiveIsUnknown(t *testing.T) {
	for _, quoted := range []string{`"option httpchk"`, `"option forwardfor"`, `"timeout connect"`, `"no option"`, `"http-check expect"`} {
		result, err := importText(baseConfig+" "+quoted+"\n", haproxy.Options{})
		if err != nil {
			t.Errorf("%s: %v", quoted, err)
			continue
		}
		found := false
		for _, entry := range result.Report {
			if entry.Line == 8 {
				found = entry.Verdict == haproxy.NotCarried
			}
		}
		if !found {
			t.Errorf("%s is not reported as not carried over: %v", quoted, result.Report)
		}
	}
}

// TestReasonIsDeterministic checks that a server with several unsupported options is always reported with the
// same reason, independent of map iteration order.
func TestReasonIsDeterministic(t *testing.T) {
	reasons := map[string]int{}
	for range 50 {
		result, err := importText(baseConfig+" server t 10.0.0.2:80 proto h2 send-proxy ssl\n", haproxy.Options{})
		if err != nil {
			t.Fatal(err)
		}
		for _, entry := range result.Report {
			if entry.Line == 8 {
				reasons[entry.Reason]++
			}
		}
	}
	if reasons["servers are spoken to without TLS"] != 50 {
		t.Errorf("reasons: %v", reasons)
	}
}
