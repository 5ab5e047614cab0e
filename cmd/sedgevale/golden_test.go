package main

import (
	"bytes"
	"flag"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/alexflint/go-arg"
)

var updateGolden = flag.Bool("update", false, "rewrite the golden file with the usage of all commands")

var subcommandNames = regexp.MustCompile(`subcommand:([a-z|-]+)`)

// subcommands returns the paths of all subcommands that a type defines, including nested ones and aliases.
func subcommands(t reflect.Type) (paths []string) {
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	for i := range t.NumField() {
		names := subcommandNames.FindStringSubmatch(t.Field(i).Tag.Get("arg"))
		if names == nil {
			continue
		}
		nested := subcommands(t.Field(i).Type)
		for name := range strings.SplitSeq(names[1], "|") {
			paths = append(paths, name)
			for _, path := range nested {
				paths = append(paths, name+" "+path)
			}
		}
	}
	return paths
}

// usageOf returns the flags and arguments in the usage text of a command.
func usageOf(t *testing.T, path string) string {
	t.Helper()
	parser, err := arg.NewParser(arg.Config{Program: "sedgevale"}, &cli{})
	if err != nil {
		t.Fatal(err)
	}
	names := strings.Fields(path)
	var text bytes.Buffer
	if err := parser.WriteUsageForSubcommand(&text, names...); err != nil {
		return err.Error()
	}
	return strings.Join(strings.Fields(text.String())[2+len(names):], " ")
}

// Guards against a removed or renamed command, flag or argument: documentation and scripts use them, and go-arg derives some
// of them from the names of struct fields. A command that is renamed keeps its former name as an alias.
func TestUsageOfAllCommands(t *testing.T) {
	const golden = "testdata/usage.txt"
	if *updateGolden {
		var text strings.Builder
		for _, path := range subcommands(reflect.TypeFor[cli]()) {
			text.WriteString(path + ": " + usageOf(t, path) + "\n")
		}
		if err := os.WriteFile(golden, []byte(text.String()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	if len(lines) < 32 {
		t.Errorf("%s has %d commands, there were 32", golden, len(lines))
	}
	for _, line := range lines {
		path, want, _ := strings.Cut(line, ":")
		if got := usageOf(t, path); got != strings.TrimSpace(want) {
			t.Errorf("sedgevale %s: the usage is %q, want %q", path, got, strings.TrimSpace(want))
		}
	}
}
