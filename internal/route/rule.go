package route

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"sedgevale/internal/http1"
)

// Answer is a response of a rule: the request is not forwarded.
type Answer struct {
	Status int
	Fields []http1.Field
	Body   []byte
	Reason string // the text of the rule
}

// Rule is a compiled rule on requests or responses: what is done, and when.
type Rule struct {
	when *Condition
	text string
	// apply applies the rule. It returns an answer to the request, or nil and whether the rules that follow are skipped.
	apply func(q *Request) (a *Answer, last bool)
}

// cutCondition splits the words of a rule into action and condition.
func cutCondition(words []string) (act, when []string) {
	depth := 0
	for i, w := range words {
		switch w {
		case "{":
			depth++
		case "}":
			depth--
		case "if", "unless":
			if depth == 0 && i > 0 {
				return words[:i], words[i:]
			}
		}
	}
	return words, nil
}

// ParseRequestRule parses the words of an http-request rule.
func (l *ACLSet) ParseRequestRule(words []string) (*Rule, error) {
	return l.parseRule(words, requestActions, "http-request")
}

// ParseResponseRule parses the words of an http-response rule.
func (l *ACLSet) ParseResponseRule(words []string) (*Rule, error) {
	return l.parseRule(words, responseActions, "http-response")
}

// actionParser parses the arguments of an action. The function that it returns is a Rule's apply.
type actionParser func(args []string, files Files) (func(q *Request) (*Answer, bool), error)

// parseRule parses a rule: an action with its arguments, and a condition.
func (l *ACLSet) parseRule(words []string, actions map[string]actionParser, what string) (*Rule, error) {
	act, when := cutCondition(words)
	if len(act) == 0 {
		return nil, fmt.Errorf("%s lacks its action", what)
	}
	name, args := act[0], act[1:]
	if n, rest, ok := strings.Cut(name, "("); ok { // set-var(name)
		name, args = n, append([]string{strings.TrimSuffix(rest, ")")}, args...)
	}
	parse, ok := actions[name]
	if !ok {
		return nil, unsupported("%s %s", what, name)
	}
	r := &Rule{text: JoinWords(words)}
	var err error
	if r.apply, err = parse(args, l.files); err != nil {
		return nil, fmt.Errorf("%s %s: %w", what, name, err)
	}
	if r.when, err = l.CompileCondition(when); err != nil {
		return nil, fmt.Errorf("%s %s: %w", what, name, err)
	}
	return r, nil
}

// Apply applies rules in order, until one returns an answer or says that it is the last.
func Apply(rules []*Rule, q *Request) *Answer {
	for _, r := range rules {
		if !r.when.Holds(q) {
			continue
		}
		a, last := r.apply(q)
		if a != nil {
			a.Reason = r.text
			return a
		}
		if last {
			return nil
		}
	}
	return nil
}

var requestActions = map[string]actionParser{
	"allow":          func([]string, Files) (func(*Request) (*Answer, bool), error) { return allow, nil },
	"deny":           parseDeny,
	"tarpit":         parseDeny, // answered at once: delaying rejections is not supported
	"redirect":       parseRedirect,
	"return":         parseReturn,
	"set-header":     headerAction(true, setHeader),
	"add-header":     headerAction(true, addHeader),
	"del-header":     parseDelHeader(true),
	"replace-header": parseReplaceHeader(true, false),
	"replace-value":  parseReplaceHeader(true, true),
	"set-path":       formatAction(func(q *Request, s string) { q.SetPath(s) }),
	"set-query":      formatAction(func(q *Request, s string) { q.SetQuery(s) }),
	"set-uri":        formatAction(func(q *Request, s string) { q.Target = s; q.edited() }),
	"set-method":     formatAction(func(q *Request, s string) { q.Method = s; q.edited() }),
	"replace-path":   parseReplace(func(q *Request) string { return q.Path() }, func(q *Request, s string) { q.SetPath(s) }),
	"replace-uri":    parseReplace(func(q *Request) string { return q.Target }, func(q *Request, s string) { q.Target = s; q.edited() }),
	"set-var":        parseSetVar,
	"set-var-fmt":    parseSetVarFormat,
	"unset-var":      parseUnsetVar,
	"strict-mode":    func([]string, Files) (func(*Request) (*Answer, bool), error) { return noAction, nil },
	"disable-l7-retry": func([]string, Files) (func(*Request) (*Answer, bool), error) {
		return nil, unsupported("a rule that decides on retries")
	},
}

var responseActions = map[string]actionParser{
	"allow":          func([]string, Files) (func(*Request) (*Answer, bool), error) { return allow, nil },
	"deny":           parseDeny,
	"set-header":     headerAction(false, setHeader),
	"add-header":     headerAction(false, addHeader),
	"del-header":     parseDelHeader(false),
	"replace-header": parseReplaceHeader(false, false),
	"replace-value":  parseReplaceHeader(false, true),
	"set-status":     parseSetStatus,
}

func allow(*Request) (*Answer, bool)    { return nil, true }
func noAction(*Request) (*Answer, bool) { return nil, false }

func addHeader(fields []http1.Field, name, value string) []http1.Field {
	return append(slices.Clip(fields), http1.Field{Name: name, Value: value})
}

// status reads a status between two bounds, both included.
func status(s string, minStatus, maxStatus int) (int, error) {
	v, err := strconv.Atoi(s)
	if err != nil || v < minStatus || v > maxStatus {
		return 0, fmt.Errorf("%q is no status between %d and %d", s, minStatus, maxStatus)
	}
	return v, nil
}

func parseDeny(args []string, _ Files) (func(*Request) (*Answer, bool), error) {
	code := 403
	for len(args) > 0 {
		switch {
		case (args[0] == "deny_status" || args[0] == "status") && len(args) > 1:
			var err error
			if code, err = status(args[1], 200, 599); err != nil {
				return nil, err
			}
			args = args[2:]
		default:
			return nil, unsupported("the argument %s", args[0])
		}
	}
	return func(*Request) (*Answer, bool) {
		return &Answer{Status: code, Fields: plainText, Body: []byte("denied by a rule\n")}, true
	}, nil
}

var plainText = []http1.Field{{Name: "Content-Type", Value: "text/plain"}}

// parseRedirect reads location, prefix or scheme, code, and drop-query, append-slash,
// set-cookie and clear-cookie.
func parseRedirect(args []string, files Files) (func(*Request) (*Answer, bool), error) {
	r := &redirect{code: 302}
	for len(args) > 0 {
		word := args[0]
		args = args[1:]
		switch word {
		case "drop-query":
			r.dropQuery = true
			continue
		case "append-slash":
			r.appendSlash = true
			continue
		}
		if len(args) == 0 {
			return nil, fmt.Errorf("%s lacks its value", word)
		}
		if err := r.set(word, args[0], files); err != nil {
			return nil, err
		}
		args = args[1:]
	}
	if r.kind == "" {
		return nil, fmt.Errorf("needs location, prefix or scheme")
	}
	return r.answer, nil
}

// redirect is a compiled redirect rule.
type redirect struct {
	code        int     // status of the answer
	kind        string  // "location", "prefix" or "scheme"
	to          *Format // the location, the prefix or the scheme
	dropQuery   bool
	appendSlash bool
	cookie      string // value of Set-Cookie; "": none
}

// set takes in an argument that has a value.
func (r *redirect) set(word, value string, files Files) (err error) {
	switch word {
	case "location", "prefix", "scheme":
		r.kind = word
		r.to, err = ParseFormat(value, files)
	case "code":
		if r.code, err = status(value, 301, 308); err == nil && !slices.Contains([]int{301, 302, 303, 307, 308}, r.code) {
			err = fmt.Errorf("%d is no redirection", r.code)
		}
	case "set-cookie":
		r.cookie = value + "; path=/;"
	case "clear-cookie":
		r.cookie = value + "; path=/; Max-Age=0;"
	default:
		err = unsupported("the argument %s", word)
	}
	return err
}

// answer is the rule's apply.
func (r *redirect) answer(q *Request) (*Answer, bool) {
	location := r.to.Expand(q)
	switch r.kind {
	case "prefix":
		if location == "/" {
			location = ""
		}
		location += r.target(q)
	case "scheme":
		location += "://" + q.Header("Host") + r.target(q)
	}
	fields := []http1.Field{{Name: "Location", Value: sanitizeField(location)}}
	if r.cookie != "" {
		fields = append(fields, http1.Field{Name: "Set-Cookie", Value: sanitizeField(r.cookie)})
	}
	return &Answer{Status: r.code, Fields: fields}, true
}

// target returns the request's path and query as they go into the location.
func (r *redirect) target(q *Request) string {
	target := q.Target
	if !strings.HasPrefix(target, "/") {
		target = q.Path()
	}
	if path, _, _ := strings.Cut(target, "?"); r.dropQuery {
		target = path
	}
	if path, query, ok := strings.Cut(target, "?"); r.appendSlash && !strings.HasSuffix(path, "/") {
		if target = path + "/"; ok {
			target += "?" + query
		}
	}
	return target
}

// sanitizeField takes away what would end a header field: what is put into one may come from
// the request.
func sanitizeField(s string) string {
	if strings.IndexFunc(s, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }) < 0 {
		return s
	}
	return strings.Map(func(r rune) rune {
		if r < ' ' && r != '\t' || r == 0x7f {
			return -1
		}
		return r
	}, s)
}

// parseReturn reads status, content-type, string, lf-string, file and hdr.
func parseReturn(args []string, files Files) (func(*Request) (*Answer, bool), error) {
	r := &returnRule{code: 200}
	for len(args) > 0 {
		if len(args) < 2 {
			return nil, fmt.Errorf("%s lacks its value", args[0])
		}
		word, value := args[0], args[1]
		args = args[2:]
		var err error
		switch word {
		case "status":
			r.code, err = status(value, 200, 599)
		case "content-type":
			r.contentType = value
		case "string":
			r.body = []byte(value)
		case "lf-string":
			r.format, err = ParseFormat(value, files)
		case "file":
			r.body, err = files(value)
		case "hdr":
			if len(args) == 0 {
				return nil, fmt.Errorf("hdr needs a name and a value")
			}
			var f *Format
			f, err = ParseFormat(args[0], files)
			r.fields, args = append(r.fields, formattedField{value, f}), args[1:]
		default:
			err = unsupported("the argument %s", word)
		}
		if err != nil {
			return nil, err
		}
	}
	return r.answer, nil
}

// returnRule is a compiled return rule.
type returnRule struct {
	code        int
	contentType string  // "": none
	body        []byte  // without format
	format      *Format // of the body; nil: body counts
	fields      []formattedField
}

type formattedField struct {
	name  string
	value *Format
}

// answer is the rule's apply.
func (r *returnRule) answer(q *Request) (*Answer, bool) {
	a := &Answer{Status: r.code, Body: r.body}
	if r.format != nil {
		a.Body = []byte(r.format.Expand(q))
	}
	if r.contentType != "" {
		a.Fields = append(a.Fields, http1.Field{Name: "Content-Type", Value: r.contentType})
	}
	for _, f := range r.fields {
		a.Fields = append(a.Fields, http1.Field{Name: f.name, Value: sanitizeField(f.value.Expand(q))})
	}
	return a, true
}

func (q *Request) setVar(name, value string) {
	if q.vars == nil {
		q.vars = map[string]string{}
	}
	q.vars[name] = value
	q.edited()
}

func parseSetVar(args []string, files Files) (func(*Request) (*Answer, bool), error) {
	if len(args) != 2 {
		return nil, fmt.Errorf("needs a name in parentheses and an expression")
	}
	if strings.HasPrefix(args[0], "proc.") || strings.HasPrefix(args[0], "sess.") {
		return nil, unsupported("a variable that outlives the request")
	}
	f, err := parseFetch(args[1], files)
	if err != nil {
		return nil, err
	}
	return func(q *Request) (*Answer, bool) {
		if got := f.samples(q); len(got) > 0 {
			q.setVar(args[0], got[len(got)-1])
		}
		return nil, false
	}, nil
}

func parseSetVarFormat(args []string, files Files) (func(*Request) (*Answer, bool), error) {
	if len(args) != 2 {
		return nil, fmt.Errorf("needs a name in parentheses and a format")
	}
	f, err := ParseFormat(args[1], files)
	if err != nil {
		return nil, err
	}
	return func(q *Request) (*Answer, bool) {
		q.setVar(args[0], f.Expand(q))
		return nil, false
	}, nil
}

func parseUnsetVar(args []string, _ Files) (func(*Request) (*Answer, bool), error) {
	if len(args) != 1 {
		return nil, fmt.Errorf("needs a name in parentheses")
	}
	return func(q *Request) (*Answer, bool) {
		delete(q.vars, args[0])
		q.edited()
		return nil, false
	}, nil
}

func parseSetStatus(args []string, _ Files) (func(*Request) (*Answer, bool), error) {
	if len(args) != 1 && (len(args) != 3 || args[1] != "reason") {
		return nil, fmt.Errorf("needs a status")
	}
	code, err := status(args[0], 200, 599)
	if err != nil {
		return nil, err
	}
	return func(q *Request) (*Answer, bool) {
		if q.Status >= 200 && q.Status != 204 && q.Status != 304 { // else it says where the body ends
			q.Status = code
		}
		return nil, false
	}, nil
}

var aclName = regexp.MustCompile(`^[A-Za-z0-9_.:-]+$`)
