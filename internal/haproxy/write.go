package haproxy

import (
	"bytes"
	"fmt"
	"io"
	"strings"

	"github.com/BurntSushi/toml"

	"sedgevale/internal/dispatchconfig"
)

// Write writes the operator's file. It omits zero and default values and adds a comment with the source
// location of each frontend and backend.
func (r *Result) Write(w io.Writer) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "# Imported from HAProxy's configuration. `sedgevale check` says whether it is good.\nname = %q\n", r.File.Name)
	if r.File.Limits.Sockets > 0 {
		fmt.Fprintf(&b, "\n[limits]\nsockets = %d\n", r.File.Limits.Sockets)
	}
	for _, f := range r.File.Web.Frontends {
		if err := writeTable(&b, r.origin["f "+f.Name], map[string][]dispatchconfig.WebFrontend{"frontends": {f}}); err != nil {
			return err
		}
	}
	for _, k := range r.File.Web.Backends {
		if err := writeTable(&b, r.origin["b "+k.Name], map[string][]dispatchconfig.WebBackend{"backends": {k}}); err != nil {
			return err
		}
	}
	_, err := w.Write(b.Bytes())
	return err
}

// maxInlineListBytes is the maximum length of a line that holds a list. Longer lists have one item per line.
const maxInlineListBytes = 80

// writeTable writes one element of an array of tables, preceded by a comment with its origin.
func writeTable(b *bytes.Buffer, origin string, v any) error {
	var text bytes.Buffer
	e := toml.NewEncoder(&text)
	e.Indent = ""
	if err := e.Encode(map[string]any{"web": v}); err != nil {
		return err
	}
	fmt.Fprintf(b, "\n# %s\n", strings.ReplaceAll(origin, "\n", " "))
	for line := range strings.Lines(text.String()) {
		if t := strings.TrimSpace(line); t != "[web]" && t != "" {
			if strings.Contains(line, " = [\"") && len(line) > maxInlineListBytes {
				// The encoder escapes quotes inside strings, so `", "` occurs only between items.
				line = strings.Replace(strings.ReplaceAll(line, `", "`, "\",\n    \""), `["`, "[\n    \"", 1)
				line = strings.TrimSuffix(line, "]\n") + ",\n]\n"
			}
			b.WriteString(line)
		}
	}
	return nil
}
