package route

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"sedgevale/internal/http1"
	"sedgevale/internal/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m, 300) }

// parseRequest parses a request in the form `METHOD TARGET [Name:Value ...] [src=ADDR] [port=N] [tls]`.
func parseRequest(line string) *Request {
	words, _ := SplitWords(line)
	q := &Request{Method: words[0], Target: words[1], Version: "1.1", Src: netip.MustParseAddr("192.0.2.7"), DstPort: 80}
	for _, w := range words[2:] {
		switch {
		case strings.HasPrefix(w, "src="):
			q.Src = netip.MustParseAddr(w[4:])
		case strings.HasPrefix(w, "port="):
			port, err := strconv.Atoi(w[5:])
			if err != nil {
				panic(err)
			}
			q.DstPort = port
		case w == "tls":
			q.TLS = true
		default:
			name, value, _ := strings.Cut(w, ":")
			q.Fields = append(q.Fields, http1.Field{Name: name, Value: value})
		}
	}
	return q
}

// conditionCases are tests of access lists, each with a request that matches and one that does not.
var conditionCases = []struct{ test, matching, nonMatching string }{
	{"path /a", "GET /a?x=1", "GET /a/b"},
	{"path_beg /static /img", "GET /img/x", "GET /x/img"},
	{"path_end .png .css", "GET /a.css?v=2", "GET /a.css.js"},
	{"path_sub admin", "GET /x/admin/y", "GET /x"},
	{"path_dir api", "GET /v1/api/x", "GET /apis"},
	{"path_reg ^/v[0-9]+/", "GET /v12/x", "GET /x/v1/"},
	{"path,lower -m beg /abc", "GET /ABC/d", "GET /x"},
	{"path -i /A", "GET /a", "GET /b"},
	{"path_len gt 5", "GET /abcdef", "GET /ab"},
	{"hdr(host) -i example.com", "GET / Host:EXAMPLE.com", "GET / Host:example.org"},
	{"hdr(host) -m end -i .example.com", "GET / Host:a.Example.com", "GET / Host:example.com"},
	{"hdr_dom(host) example", "GET / Host:www.example.com:80", "GET / Host:myexample.com"},
	{"hdr(x) b", "GET / X:a,b", "GET / X:ab"},
	{"hdr(x) b", "GET / X:a X:b", "GET /"},
	{"hdr(x,-1) b", "GET / X:a,b", "GET / X:b,a"},
	{"hdr_cnt(x) ge 2", "GET / X:a X:b", "GET / X:a"},
	{"hdr(x) -m found", "GET / X:", "GET / Y:1"},
	{"req.fhdr(x) a,b", "GET / X:a,b", "GET / X:a"},
	{"method GET HEAD", "HEAD /", "POST /"},
	{"src 10.0.0.0/8 192.0.2.1", "GET / src=10.9.8.7", "GET / src=11.0.0.1"},
	{"src 10.0.0.0/255.255.0.0", "GET / src=10.0.8.7", "GET / src=10.1.0.1"},
	{"src -f nets", "GET / src=192.168.1.9", "GET / src=192.168.2.9"},
	{"src 2001:db8::/32", "GET / src=2001:db8::1", "GET / src=2001:db9::1"},
	{"url_param(id) 7", "GET /?a=1&id=7", "GET /?id=8"},
	{"urlp(id) -m found", "GET /?id=", "GET /?idx=1"},
	{"cook(s) a", "GET / Cookie:'x=1; s=a'", "GET / Cookie:s=b"},
	{"dst_port 8000:9000", "GET / port=8443", "GET / port=443"},
	{"ssl_fc", "GET / tls", "GET /"},
	{"hdr(host),field(1,.) a", "GET / Host:a.b", "GET / Host:b.a"},
	{"hdr(host),host_only -i h", "GET / Host:h:81", "GET / Host:i:81"},
	{"path,regsub(^/x/,/) /y", "GET /x/y", "GET /z"},
	{"always_true", "GET /", ""},
	{"path_beg -- -x", "GET -x", "GET /x"},
}

// TestConditions checks sample fetches, converters and match methods in conditions.
func TestConditions(t *testing.T) {
	files := func(path string) ([]byte, error) {
		return map[string][]byte{"nets": []byte("# ours\n10.0.0.0/8\n\n192.168.1.0/24\n")}[path], nil
	}
	for _, c := range conditionCases {
		l := NewACLSet(files)
		words, err := SplitWords(c.test)
		if err == nil {
			err = l.Add("a", words)
		}
		if err != nil {
			t.Errorf("%s: %v", c.test, err)
			continue
		}
		cond, err := l.CompileCondition([]string{"if", "a"})
		if err != nil {
			t.Fatal(err)
		}
		if !cond.Holds(parseRequest(c.matching)) {
			t.Errorf("%s does not hold for %s", c.test, c.matching)
		}
		if c.nonMatching != "" && cond.Holds(parseRequest(c.nonMatching)) {
			t.Errorf("%s holds for %s", c.test, c.nonMatching)
		}
	}
}

// TestConditionLogic compares random conditions with a direct evaluation of the same boolean formula.
func TestConditionLogic(t *testing.T) {
	l := NewACLSet(NoFiles)
	for _, name := range []string{"a", "b", "c"} {
		if err := l.Add(name, []string{"hdr(" + name + ")", "1"}); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		value := map[string]bool{}
		q := parseRequest("GET /")
		for _, name := range []string{"a", "b", "c"} {
			if value[name] = rapid.Bool().Draw(t, name); value[name] {
				q.Fields = append(q.Fields, http1.Field{Name: name, Value: "1"})
			}
		}
		unless := rapid.Bool().Draw(t, "unless")
		words := []string{"if"}
		if unless {
			words[0] = "unless"
		}
		holds := false
		for i := range rapid.IntRange(1, 3).Draw(t, "groups") {
			if i > 0 {
				words = append(words, rapid.SampledFrom([]string{"or", "||"}).Draw(t, "or"))
			}
			all := true
			for range rapid.IntRange(1, 3).Draw(t, "terms") {
				term, name, not := drawTerm(t)
				words = append(words, term...)
				all = all && value[name] != not
			}
			holds = holds || all
		}
		c, err := l.CompileCondition(words)
		if err != nil {
			t.Fatalf("%v: %v", words, err)
		}
		if c.Holds(q) != (holds != unless) {
			t.Fatalf("%v on %v is %v", words, value, c.Holds(q))
		}
	})
	for _, bad := range []string{"if", "if or a", "if a or", "if {", "if { path /", "if nobody", "a", "if !", "if { }", "if a ||"} {
		if _, err := l.CompileCondition(strings.Fields(bad)); err == nil {
			t.Errorf("the invalid condition %q was accepted", bad)
		}
	}
}

// drawTerm draws a named or anonymous term that tests whether a header field is 1, possibly negated.
func drawTerm(t *rapid.T) (words []string, name string, not bool) {
	name = rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
	not = rapid.Bool().Draw(t, "not")
	switch {
	case rapid.Bool().Draw(t, "anonymous"):
		if not {
			words = append(words, "!")
		}
		words = append(words, "{", "hdr("+name+")", "1", "}")
	case not:
		words = append(words, "!"+name)
	default:
		words = append(words, name)
	}
	return words, name, not
}

// TestRules checks request and response rules and their order, and the selection of backends.
func TestRules(t *testing.T) {
	files := func(string) ([]byte, error) {
		return []byte("a.example  app_a\nb.example app_b\na.example never\n"), nil
	}
	r, err := Compile(Spec{
		ACL: []string{"office src 10.0.0.0/8", "admin path_beg /admin"},
		Request: []string{
			"deny deny_status 404 if { path_sub .. }",
			"deny if admin !office",
			"redirect scheme https code 301 if { hdr(host) -i secure.example } !{ ssl_fc }",
			"redirect location /new%[path,regsub(^/old,)] code 308 if { path_beg /old }",
			"redirect prefix https://cdn.example drop-query code 302 if { path_beg /cdn }",
			"return status 200 content-type text/plain lf-string 'hi %[src]' if { path /hello }",
			"set-header X-Real %[src]",
			"add-header X-Tag one if { path_beg /tag }",
			"add-header X-Tag two if { path_beg /tag }",
			"del-header X-Secret",
			`replace-path ^/api/(.*) /\1`,
			`replace-header Cookie (.*)sid=[^;]*(.*) \1sid=x\2`,
			"set-var(txn.kind) path,word(1,/)",
			"set-header X-Kind %[var(txn.kind)]",
			"allow if office",
			"set-header X-Last yes",
		},
		Response: []string{"set-header X-Frame DENY", "del-header Server", "set-status 503 if { status 502 }",
			"set-header X-Long yes if { res.hdr(content-length) -m int gt 100 }"},
		Use: []string{"special if { path_beg /special }", "%[hdr(host),lower,map(hosts)] if TRUE", "late if TRUE"}, Default: "main",
	}, files)
	if err != nil {
		t.Fatal(err)
	}
	testAnswers(t, r)
	testEdits(t, r)
	exists := func(name string) bool { return strings.HasPrefix(name, "app_") }
	for line, want := range map[string]string{"GET /special/x": "special", "GET / Host:A.example": "app_a", "GET / Host:b.example": "app_b",
		"GET / Host:c.example": "main"} {
		if got, _ := r.SelectBackend(parseRequest(line), exists); got != want {
			t.Errorf("%s is sent to %q, want %q", line, got, want)
		}
	}
}

// TestInvalidRules checks that Compile rejects invalid rules.
func TestInvalidRules(t *testing.T) {
	for _, bad := range []Spec{
		{Request: []string{"deny deny_status 999"}}, {Request: []string{"redirect code 301"}}, {Request: []string{"set-header X"}},
		{Request: []string{"no-such-thing"}}, {Request: []string{"set-header Content-Length 5"}}, {Request: []string{"set-header 'X Y' 5"}},
		{ACL: []string{"a path_reg ("}}, {ACL: []string{"a no_such_sample x"}}, {ACL: []string{"a path"}}, {ACL: []string{"a src nowhere"}},
		{ACL: []string{"a path -m maybe x"}}, {Use: []string{"b if nobody"}}, {Request: []string{"return string 'open"}},
		{Request: []string{"redirect location %[path code 301"}}, {ACL: []string{""}},
	} {
		if _, err := Compile(bad, NoFiles); err == nil {
			t.Errorf("the invalid spec %+v was accepted", bad)
		}
	}
}

// testAnswers checks requests that the rules of TestRules answer.
func testAnswers(t *testing.T, r *Rules) {
	t.Helper()
	for _, c := range []struct {
		line, location string
		status         int
	}{
		{"GET /a/../b", "", 404},
		{"GET /admin", "", 403},
		{"GET /x?y=1 Host:secure.example", "https://secure.example/x?y=1", 301},
		{"GET /old/a Host:h", "/new/a", 308},
		{"GET /cdn/a?q=1 Host:h", "https://cdn.example/cdn/a", 302},
		{"GET /hello", "", 200},
	} {
		a := r.ApplyRequest(parseRequest(c.line))
		if a == nil || a.Status != c.status || c.location != "" && a.Fields[0].Value != c.location {
			t.Errorf("%s: %+v", c.line, a)
		}
	}
	if a := r.ApplyRequest(parseRequest("GET /hello")); string(a.Body) != "hi 192.0.2.7" {
		t.Errorf("body %q", a.Body)
	}
}

// testEdits checks how the rules of TestRules edit requests and a response.
func testEdits(t *testing.T, r *Rules) {
	t.Helper()
	run := func(line string) (q *Request, a *Answer) {
		q = parseRequest(line)
		return q, r.ApplyRequest(q)
	}
	q, a := run("GET /api/tag?x=1 X-Secret:1 x-secret:2 Cookie:'a=1; sid=123; b=2' X-Real:forged")
	if a != nil || q.Target != "/tag?x=1" || q.Header("X-Secret") != "" || q.Header("X-Real") != "192.0.2.7" ||
		q.Header("Cookie") != "a=1; sid=x; b=2" || q.Header("X-Kind") != "tag" || q.Header("X-Last") != "yes" {
		t.Errorf("%+v, %+v", q, a)
	}
	if q, _ := run("GET /tag"); strings.Count(fmt.Sprint(q.Fields), "X-Tag") != 2 {
		t.Errorf("%v", q.Fields)
	}
	if q, a := run("GET /admin src=10.1.1.1"); a != nil || q.Header("X-Last") != "" {
		t.Errorf("after allow: %+v %+v", q.Fields, a)
	}
	q = parseRequest("GET /")
	q.Status, q.Response = 502, []http1.Field{{Name: "Server", Value: "x"}, {Name: "Content-Length", Value: "101"}}
	if a := r.ApplyResponse(q); a != nil || q.Status != 503 || len(q.Response) != 3 {
		t.Errorf("%+v %d %v", a, q.Status, q.Response)
	}
}

// TestNoHeaderInjection checks that values from the request cannot inject header fields.
func TestNoHeaderInjection(t *testing.T) {
	r, err := Compile(Spec{Request: []string{"set-header X-Path %[path]", "redirect location /a%[urlp(to)]"}}, NoFiles)
	if err != nil {
		t.Fatal(err)
	}
	q := parseRequest("GET /")
	q.Target = "/a\r\nX-Evil: 1?to=b\r\nSet-Cookie: c"
	a := r.ApplyRequest(q)
	for _, f := range append(q.Fields, a.Fields...) {
		if strings.ContainsAny(f.Value, "\r\n") {
			t.Errorf("%s: %q", f.Name, f.Value)
		}
	}
}

// TestIndexAgainstLinear checks that indexes don't change the selected backend.
func TestIndexAgainstLinear(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var spec Spec
		word := rapid.SampledFrom([]string{"a", "b", "ab", "abc", "B"})
		for i := range rapid.IntRange(minIndexedUseRules, 30).Draw(t, "rules") {
			kind := rapid.SampledFrom([]string{"hdr(host) -i", "hdr(host)", "path_beg", "path", "path_end", "path -i"}).Draw(t, "kind")
			p := word.Draw(t, "pattern")
			if strings.HasPrefix(kind, "path") {
				p = "/" + p
			}
			extra := rapid.SampledFrom([]string{"", " { method GET }", " !{ hdr(x) 1 }"}).Draw(t, "extra")
			how := rapid.SampledFrom([]string{"if", "if", "if", "unless"}).Draw(t, "how")
			spec.Use = append(spec.Use, fmt.Sprintf("b%d %s { %s %s }%s", i, how, kind, p, extra))
		}
		indexed, err := Compile(spec, NoFiles)
		if err != nil {
			t.Fatal(err)
		}
		linear := *indexed
		linear.indexes, linear.unindexed = nil, nil
		for i := range linear.use {
			linear.unindexed = append(linear.unindexed, i)
		}
		line := fmt.Sprintf("%s /%s Host:%s X:%d", rapid.SampledFrom([]string{"GET", "POST"}).Draw(t, "method"), word.Draw(t, "path"),
			word.Draw(t, "host"), rapid.IntRange(0, 1).Draw(t, "x"))
		a, _ := indexed.SelectBackend(parseRequest(line), nil)
		b, _ := linear.SelectBackend(parseRequest(line), nil)
		if a != b {
			t.Fatalf("%s: got backend %s with indexes, %s with a linear scan: %v", line, a, b, spec.Use)
		}
	})
}

// FuzzCompile checks that neither Compile nor a compiled rule panics on any input.
func FuzzCompile(f *testing.F) {
	f.Add("a path_beg /x", "deny if a", "b if { hdr(host) -m reg ^x }", "/x?y=%00")
	f.Add("a hdr(x,-1),field(2,.) -i b", "redirect location %[path,regsub(a,\\1,g)] code 301", "%[hdr(host)] if TRUE", "*")
	f.Add("a src 10.0.0.0/8", "set-var(txn.a) str(b)", "b unless !{ rand(100) lt 5 }", "http://h/p")
	f.Fuzz(func(_ *testing.T, acl, rule, use, target string) {
		r, err := Compile(Spec{ACL: []string{acl}, Request: []string{rule}, Use: []string{use}, Default: "d"}, NoFiles)
		if err != nil {
			return
		}
		q := parseRequest("GET / Host:a X:1,2")
		q.Target = target
		r.ApplyRequest(q)
		r.SelectBackend(q, func(string) bool { return true })
	})
}

func benchRules(n int) Spec {
	var s Spec
	for i := range n {
		switch i % 4 {
		case 0, 1:
			s.Use = append(s.Use, fmt.Sprintf("b%d if { hdr(host) -i host-%d.example }", i, i))
		case 2:
			s.Use = append(s.Use, fmt.Sprintf("b%d if { path_beg /p%d/ }", i, i))
		default:
			s.Use = append(s.Use, fmt.Sprintf("b%d if { path_end .x%d } { method GET }", i, i))
		}
	}
	s.Default = "main"
	return s
}

// BenchmarkSelectBackend measures the selection of the default backend, which is the worst case, with and
// without indexes.
func BenchmarkSelectBackend(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		r, err := Compile(benchRules(n), NoFiles)
		if err != nil {
			b.Fatal(err)
		}
		linear := *r
		linear.indexes, linear.unindexed = nil, nil
		for i := range linear.use {
			linear.unindexed = append(linear.unindexed, i)
		}
		for name, rules := range map[string]*Rules{"index": r, "linear": &linear} {
			b.Run(fmt.Sprintf("rules=%d/%s", n, name), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					q := Request{Method: "GET", Target: "/some/page.html?x=1", Fields: []http1.Field{{Name: "Host", Value: "www.example"}}}
					if name, _ := rules.SelectBackend(&q, nil); name != "main" {
						b.Fatal(name)
					}
				}
			})
		}
	}
}
