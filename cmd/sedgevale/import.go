package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"sedgevale/internal/haproxy"
)

type importCmd struct {
	Config   []string          `arg:"positional,required" help:"HAProxy's configuration; several files are read as one."`
	Out      string            `arg:"-o,--out" help:"The file to write; standard output without it."`
	Report   string            `arg:"--report" default:"text" help:"The report on standard error: text for people, json with a line for each directive."`
	All      bool              `arg:"--all" help:"With --report text: a line for every directive, not only for those that ask for attention."`
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

// Run writes the operator's file, and reports on standard error what became of each line.
func (c importCmd) Run() error {
	c.Define = splitCommas(c.Define)
	if err := existing(c.Config...); err != nil {
		return err
	}
	if c.Report != "text" && c.Report != "json" {
		return fmt.Errorf("--report: %q is neither text nor json", c.Report)
	}
	opt := haproxy.Options{Env: c.Env, Defines: map[string]bool{}, Hosts: c.Host, Name: c.Name}
	for _, d := range c.Define {
		opt.Defines[d] = true
	}
	dir := filepath.Dir(c.Config[0])
	opt.Files = func(path string) ([]byte, error) {
		if !filepath.IsAbs(path) {
			path = filepath.Join(dir, path)
		}
		return os.ReadFile(path)
	}
	var sources []haproxy.Source
	for _, name := range c.Config {
		text, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		sources = append(sources, haproxy.Source{Name: name, Text: text})
	}
	got, err := haproxy.Import(sources, opt)
	if got == nil {
		return err
	}
	if c.Explain != "" && err == nil {
		way, err := haproxy.Explain(got.File.Web, opt.Files, haproxy.Ask{Frontend: c.Frontend, Line: c.Explain, Headers: c.Header, Source: c.Source})
		if err == nil {
			fmt.Print(way)
		}
		return err
	}
	report := got.Report.JSON
	if c.Report == "text" {
		report = func(w io.Writer) error { return got.Report.Text(w, c.All) }
	}
	if e := report(os.Stderr); e != nil || err != nil {
		return errors.Join(err, e)
	}
	if err := c.write(got); err != nil {
		return err
	}
	if n := got.Report.Count(haproxy.NotCarried); c.Strict && n > 0 {
		return status{3, fmt.Errorf("%d directives are not carried over", n)}
	}
	return nil
}

func (c importCmd) write(got *haproxy.Result) error {
	if c.Out == "" {
		return got.Write(os.Stdout)
	}
	out, err := os.Create(c.Out)
	if err != nil {
		return err
	}
	return errors.Join(got.Write(out), out.Close())
}
