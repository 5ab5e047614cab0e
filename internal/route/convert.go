package route

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// parseConverter returns the converter of a name and the kind of its output.
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
			host, port := cutPort(s)
			if name == "host_only" {
				return host, true
			}
			return port, port != ""
		}, kindStr, nil
	case "field", "word":
		c, err := parseField(name, args)
		return c, kindStr, err
	case "regsub":
		c, err := parseRegsub(args)
		return c, kindStr, err
	}
	if method, ok := strings.CutPrefix(name, "map"); ok {
		c, err := parseMap(strings.TrimPrefix(method, "_"), args, files)
		return c, kindStr, err
	}
	return nil, 0, unsupported("the converter %s", name)
}

// cutPort splits a host into its name and port. The port is "" if there is none.
func cutPort(s string) (host, port string) {
	if i := strings.LastIndexByte(s, ':'); i >= 0 && !strings.HasSuffix(s, "]") {
		return s[:i], s[i+1:]
	}
	return s, ""
}

// parseField parses field(N,DELIMITERS) and word(N,DELIMITERS). Word skips empty parts. A negative N counts
// from the end.
func parseField(name string, args []string) (converter, error) {
	if err := requireArgs(name, args, 2); err != nil {
		return nil, err
	}
	n, err := strconv.Atoi(args[0])
	if err != nil || n == 0 || args[1] == "" {
		return nil, fmt.Errorf("%s(%s): want a number and delimiters", name, strings.Join(args, ","))
	}
	delimiters := args[1]
	return func(s string) (string, bool) {
		parts := strings.FieldsFunc(s, func(r rune) bool { return strings.ContainsRune(delimiters, r) })
		if name == "field" {
			parts = splitAll(s, delimiters)
		}
		i := n - 1
		if n < 0 {
			i = len(parts) + n
		}
		if i < 0 || i >= len(parts) {
			return "", false
		}
		return parts[i], true
	}, nil
}

// parseRegsub parses regsub(REGEX,REPLACEMENT[,FLAGS]). Flag i ignores case, flag g replaces all matches.
func parseRegsub(args []string) (converter, error) {
	if err := requireArgs("regsub", args, 2); err != nil {
		return nil, err
	}
	re, err := compileRegexp(args[0], len(args) > 2 && strings.Contains(args[2], "i"))
	if err != nil {
		return nil, err
	}
	to, all := convertBackrefs(args[1]), len(args) > 2 && strings.Contains(args[2], "g")
	return func(s string) (string, bool) { return replace(re, s, to, all), true }, nil
}

func splitAll(s, delimiters string) (parts []string) {
	for {
		i := strings.IndexAny(s, delimiters)
		if i < 0 {
			return append(parts, s)
		}
		parts, s = append(parts, s[:i]), s[i+1:]
	}
}

// parseMap parses map_MATCH(FILE[,DEFAULT]). Each line of the file has a key and a value.
func parseMap(method string, args []string, files Files) (converter, error) {
	if err := requireArgs("map", args, 1); err != nil {
		return nil, err
	}
	if method == "" || method == "str_str" {
		method = "str"
	}
	compile, ok := matchers[method]
	if !ok {
		return nil, unsupported("the converter map_%s", method)
	}
	b, err := files(args[0])
	if err != nil {
		return nil, fmt.Errorf("map: %w", err)
	}
	exact := map[string]string{}
	type entry struct {
		test  func(string) bool
		value string
	}
	var list []entry
	for _, line := range fileLines(b) {
		key, value := cutMapLine(line)
		if method == "str" {
			if _, duplicate := exact[key]; !duplicate { // the first entry of a key wins
				exact[key] = value
			}
			continue
		}
		test, err := compile([]string{key}, false)
		if err != nil {
			return nil, fmt.Errorf("map %s: %w", args[0], err)
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
	}, nil
}

// cutMapLine splits a line of a map file into key and value at the first blank.
func cutMapLine(line string) (key, value string) {
	i := strings.IndexAny(line, " \t")
	if i < 0 {
		return line, ""
	}
	return line[:i], strings.TrimSpace(line[i:])
}

// fileLines returns the lines of a pattern or map file without empty lines and comments.
func fileLines(b []byte) (out []string) {
	for line := range strings.Lines(string(b)) {
		if line = strings.TrimSpace(line); line != "" && !strings.HasPrefix(line, "#") {
			out = append(out, line)
		}
	}
	return out
}

func compileRegexp(s string, foldCase bool) (*regexp.Regexp, error) {
	if foldCase {
		s = "(?i)" + s
	}
	re, err := regexp.Compile(s)
	if err != nil {
		return nil, unsupported("the regular expression %q (%v)", s, err)
	}
	return re, nil
}

// convertBackrefs converts references such as \1 to the ${1} of package regexp.
func convertBackrefs(s string) string {
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

// replace replaces the first match of re in s, or all matches.
func replace(re *regexp.Regexp, s, to string, all bool) string {
	if all {
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
