package route

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

func parseConverter(name string, args []string, files Files) (converter, kind, error) {
	switch name {
	case "lower":
		return func(s string) (string, bool) { return strings.ToLower(s), true }, kindStr, nil
	case "upper":
		return func(s string) (string, bool) { return strings.ToUpper(s), true }, kindStr, nil
	case "length":
		return func(s string) (string, bool) { return strconv.Itoa(len(s)), true }, kindInt, nil
	case "host_only", "port_only":
		return func(s string) (string, bool) {
			host, port := s, ""
			if i := strings.LastIndexByte(s, ':'); i >= 0 && !strings.HasSuffix(s, "]") {
				host, port = s[:i], s[i+1:]
			}
			if name == "host_only" {
				return host, true
			}
			return port, port != ""
		}, kindStr, nil
	case "field", "word":
		if err := need(name, args, 2); err != nil {
			return nil, 0, err
		}
		n, err := strconv.Atoi(args[0])
		if err != nil || n == 0 || args[1] == "" {
			return nil, 0, fmt.Errorf("%s(%s): want a number and delimiters", name, strings.Join(args, ","))
		}
		delimiters := args[1]
		return func(s string) (string, bool) {
			parts := strings.FieldsFunc(s, func(r rune) bool { return strings.ContainsRune(delimiters, r) })
			if name == "field" {
				parts = cutAll(s, delimiters)
			}
			i := n - 1
			if n < 0 {
				i = len(parts) + n
			}
			if i < 0 || i >= len(parts) {
				return "", false
			}
			return parts[i], true
		}, kindStr, nil
	case "regsub":
		if err := need(name, args, 2); err != nil {
			return nil, 0, err
		}
		re, err := compileRegexp(args[0], len(args) > 2 && strings.Contains(args[2], "i"))
		if err != nil {
			return nil, 0, err
		}
		to, every := backrefs(args[1]), len(args) > 2 && strings.Contains(args[2], "g")
		return func(s string) (string, bool) { return replace(re, s, to, every), true }, kindStr, nil
	}
	if match, ok := strings.CutPrefix(name, "map"); ok {
		return parseMap(strings.TrimPrefix(match, "_"), args, files)
	}
	return nil, 0, unsupported("the converter %s", name)
}

func cutAll(s, delimiters string) (parts []string) {
	for {
		i := strings.IndexAny(s, delimiters)
		if i < 0 {
			return append(parts, s)
		}
		parts, s = append(parts, s[:i]), s[i+1:]
	}
}

// parseMap reads map_MATCH(FILE[,DEFAULT]): lines of a key and a value.
func parseMap(match string, args []string, files Files) (converter, kind, error) {
	if err := need("map", args, 1); err != nil {
		return nil, 0, err
	}
	if match == "" {
		match = "str"
	}
	if match == "str_str" {
		match = "str"
	}
	m, ok := methods[match]
	if !ok {
		return nil, 0, unsupported("the converter map_%s", match)
	}
	b, err := files(args[0])
	if err != nil {
		return nil, 0, fmt.Errorf("map: %w", err)
	}
	exact := map[string]string{}
	type entry struct {
		test  func(string) bool
		value string
	}
	var list []entry
	for _, line := range fileLines(b) {
		key, value, _ := strings.Cut(line, " ")
		if i := strings.IndexAny(line, " \t"); i >= 0 {
			key, value = line[:i], strings.TrimSpace(line[i:])
		}
		if match == "str" {
			if _, twice := exact[key]; !twice { // the first counts
				exact[key] = value
			}
			continue
		}
		test, err := m([]string{key}, false)
		if err != nil {
			return nil, 0, fmt.Errorf("map %s: %w", args[0], err)
		}
		list = append(list, entry{test, value})
	}
	return func(s string) (string, bool) {
		if v, ok := exact[s]; ok {
			return v, true
		}
		for i := range list {
			if list[i].test(s) {
				return list[i].value, true
			}
		}
		if len(args) > 1 {
			return args[1], true
		}
		return "", false
	}, kindStr, nil
}

func fileLines(b []byte) (out []string) {
	for line := range strings.Lines(string(b)) {
		if line = strings.TrimSpace(line); line != "" && !strings.HasPrefix(line, "#") {
			out = append(out, line)
		}
	}
	return out
}

func compileRegexp(s string, fold bool) (*regexp.Regexp, error) {
	if fold {
		s = "(?i)" + s
	}
	re, err := regexp.Compile(s)
	if err != nil {
		return nil, unsupported("the regular expression %q (%v)", s, err)
	}
	return re, nil
}

// backrefs turns \1 into Go's ${1}.
func backrefs(s string) string {
	var b strings.Builder
	for i := 0; i < len(s); i++ {
		switch {
		case s[i] == '$':
			b.WriteString("$$")
		case s[i] == '\\' && i+1 < len(s) && s[i+1] >= '0' && s[i+1] <= '9':
			i++
			b.WriteString("${" + string(s[i]) + "}")
		case s[i] == '\\' && i+1 < len(s):
			i++
			b.WriteByte(s[i])
		default:
			b.WriteByte(s[i])
		}
	}
	return b.String()
}

// replace replaces the first match, or every one.
func replace(re *regexp.Regexp, s, to string, every bool) string {
	if every {
		return re.ReplaceAllString(s, to)
	}
	at := re.FindStringSubmatchIndex(s)
	if at == nil {
		return s
	}
	out := append([]byte(nil), s[:at[0]]...)
	out = re.ExpandString(out, to, s, at)
	return string(append(out, s[at[1]:]...))
}
