package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"sedgevale/internal/haproxy"
)

// importCmd converts an HAProxy configuration to an operator's file.
type importCmd struct {
	Config   []string          `arg:"positional,required" help:"HAProxy's configuration; several files are read as one."`
	Out      string            `arg:"-o,--out" help:"The file to write; standard output without it."`
	Report   string            `arg:"--report" default:"text" help:"The report on standard error: text for people, json with a line for each directive."`
	All      bool              `arg:"--all" help:"With --report text: a line for every directive, not only for those that need attention."`
	Strict   bool              `arg:"--strict" help:"Exit with 3 if anything is not carried over."`
	Env      map[string]string `arg:"separate,--env" placeholder:"NAME=VALUE" help:"Environment variables that the configuration uses."`
	Define   []string          `arg:"separate,--define" placeholder:"NAME" help:"Names for which .if defined(NAME) holds."`
	Host     map[string]string `arg:"separate,--host" placeholder:"NAME=ADDRESS" help:"Addresses of host names, which are not looked up."`
	Name     string            `arg:"--name" help:"Name of the scheduler; that of the first frontend without it."`
	Explain  string            `arg:"--explain" placeholder:"REQUEST-LINE" help:"Write nothing, but say where a request as \"GET /path\" would go."`
	Frontend string            `arg:"--frontend" help:"With --explain: the frontend it comes to, the first without it."`
	Header   []string          `arg:"separate,--header" placeholder:"NAME: VALUE" help:"With --explain: a header field; may be given several times."`
	Source   string            `arg:"--source" help:"With --explain: the client's address."`
}

// Run writes the operator's file, and reports on standard error how each directive was converted.
func (c importCmd) Run() error {
	if err := requireFiles(c.Config...); err != nil {
		return err
	}
	if c.Report != "text" && c.Report != "json" {
		return fmt.Errorf("--report: %q is neither text nor json", c.Report)
	}
	sources, err := c.sources()
	if err != nil {
		return err
	}
	options := c.options()
	imported, err := haproxy.Import(sources, options)
	switch {
	case imported == nil:
		return err
	case err == nil && c.Explain != "":
		return c.explain(imported, options.Files)
	}
	if err := errors.Join(err, c.report(imported)); err != nil {
		return err
	}
	if err := c.write(imported); err != nil {
		return err
	}
	if n := imported.Report.Count(haproxy.NotCarried); c.Strict && n > 0 {
		return exitError{exitNotCarried, fmt.Errorf("%d directives are not carried over", n)}
	}
	return nil
}

// options returns the options of the import. Relative paths in the configuration are resolved against the directory of its
// first file.
func (c importCmd) options() haproxy.Options {
	options := haproxy.Options{Env: c.Env, Defines: map[string]bool{}, Hosts: c.Host, Name: c.Name}
	for _, name := range splitCommas(c.Define) {
		options.Defines[name] = true
	}
	dir := filepath.Dir(c.Config[0])
	options.Files = func(path string) ([]byte, error) {
		if !filepath.IsAbs(path) {
			path = filepath.Join(dir, path)
		}
		return os.ReadFile(path)
	}
	return options
}

// sources reads the files of HAProxy's configuration.
func (c importCmd) sources() ([]haproxy.Source, error) {
	var sources []haproxy.Source
	for _, name := range c.Config {
		text, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		sources = append(sources, haproxy.Source{Name: name, Text: text})
	}
	return sources, nil
}

// explain prints how a request would be routed.
func (c importCmd) explain(imported *haproxy.Result, files func(string) ([]byte, error)) error {
	route, err := haproxy.Explain(imported.File.Web, files, haproxy.ExplainRequest{
		Frontend: c.Frontend, Line: c.Explain, Headers: c.Header, Source: c.Source,
	})
	if err == nil {
		fmt.Print(route)
	}
	return err
}

// report writes the conversion report to standard error.
func (c importCmd) report(imported *haproxy.Result) error {
	if c.Report == "json" {
		return imported.Report.JSON(os.Stderr)
	}
	return imported.Report.Text(os.Stderr, c.All)
}

// write writes the operator's file to Out, or to standard output without it.
func (c importCmd) write(imported *haproxy.Result) error {
	if c.Out == "" {
		return imported.Write(os.Stdout)
	}
	out, err := os.Create(c.Out)
	if err != nil {
		return err
	}
	return errors.Join(imported.Write(out), out.Close())
}
