// Sitegen generates deployment files for the bench with topologies and loads that the committed sites do not cover. The bench's
// wire table is supplied by the user: its path is an argument, and the files are written to a directory that is not committed.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

func main() {
	wire := flag.String("wire", "", "the bench's wire table (JSON)")
	out := flag.String("out", "logs/sites", "the folder to write to")
	flag.Parse()
	if err := writeAll(*wire, *out); err != nil {
		fmt.Fprintln(os.Stderr, "sitegen:", err)
		os.Exit(1)
	}
}

// writeAll writes the wire table and the deployment files of all sites to a directory.
func writeAll(wire, out string) error {
	table, err := os.ReadFile(wire)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(out, 0o755); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(out, "wire.json"), table, 0o644); err != nil {
		return err
	}
	for _, s := range sites {
		if s.lengthS == 0 {
			s.lengthS = defaultLengthS
		}
		if s.labelShare == 0 {
			s.labelShare = defaultLabelShare
		}
		if err := os.WriteFile(filepath.Join(out, s.name+".toml"), []byte(s.toml()), 0o644); err != nil {
			return err
		}
	}
	return nil
}
