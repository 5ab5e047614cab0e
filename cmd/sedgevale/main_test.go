package main

import (
	"reflect"
	"testing"

	"github.com/alexflint/go-arg"
)

// Guards scripts that call a command by its former name: the alias accepts the same flags and runs the same command.
func TestFormerCommandNamesAreAliases(t *testing.T) {
	cases := []struct {
		name, alias string
		flags       []string
	}{
		{"fleetsim", "swarm", []string{"experiment.toml", "--json", "-", "--html", "page.html", "-q"}},
		{"fake-workers", "standin", []string{"-f", "operator.toml", "--seed", "7", "--work", "20ms", "--fault", "error=0.1"}},
	}
	for _, c := range cases {
		t.Run(c.alias, func(t *testing.T) {
			parse := func(name string) any {
				t.Helper()
				parser, err := arg.NewParser(arg.Config{Program: "sedgevale"}, &cli{})
				if err != nil {
					t.Fatal(err)
				}
				if err := parser.Parse(append([]string{name}, c.flags...)); err != nil {
					t.Fatalf("%s: %v", name, err)
				}
				return parser.Subcommand()
			}
			got, want := parse(c.alias), parse(c.name)
			if !reflect.DeepEqual(got, want) || reflect.ValueOf(got).Elem().IsZero() {
				t.Errorf("%s parses to %+v, %s parses to %+v", c.alias, got, c.name, want)
			}
			if _, ok := got.(command); !ok {
				t.Errorf("the type of %s does not implement command", c.alias)
			}
		})
	}
}
