// Package docs_test holds the pages against the sources; the package has tests alone.
package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	codeSpan   = regexp.MustCompile("`([^`\n]+)`")
	sourcePath = regexp.MustCompile(`^(?:[a-zA-Z0-9_.-]+/)*[a-zA-Z0-9_-]+\.(?:go|md|toml|sh|txt|yml)$|` +
		`^(?:internal|coord|cmd|docs|deploy|scripts|jobs|scheduler|admission|dispatcher|workeragent)(?:/[a-zA-Z0-9_-]+)+/?$`)
	testName   = regexp.MustCompile(`^(?:Test|Fuzz|Benchmark)[A-Z][A-Za-z0-9]+$`)
	identifier = regexp.MustCompile(`^([A-Za-z]\w*)\.([A-Za-z]\w*)(?:\.([A-Za-z]\w*))?$`)
	pageLink   = regexp.MustCompile(`\]\(([^)#:]+)(?:#[^)]*)?\)`)
)

// usersPages are files of the users that our pages speak of; they are not part of this repository.
var usersPages = map[string]bool{
	"LATER.md": true, "NEWS-22.md": true, "NEWS-23.md": true, "NEWS-24.md": true, "SYSTEM.md": true, "RULES.md": true, "PROTOCOL.md": true,
	"DEPLOY.md": true, "BENCH.md": true, "second-loss.toml": true,
}

// TestPagesNameWhatExists holds the pages against the sources: files, packages, tests, declared names and links that a page
// names are there. Pages on incidents and the changelog tell of their own time and are left out.
func TestPagesNameWhatExists(t *testing.T) {
	t.Chdir("..")
	sources := readSources(t)
	pages := append(glob(t, "*.md"), append(glob(t, "docs/*.md"), glob(t, "docs/design/*.md")...)...)
	for _, page := range pages {
		if page == "CHANGELOG.md" {
			continue
		}
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, span := range codeSpan.FindAllStringSubmatch(string(text), -1) {
			if problem := sources.check(page, span[1]); problem != "" {
				t.Errorf("%s names %s, %s", page, span[1], problem)
			}
		}
		for _, link := range pageLink.FindAllStringSubmatch(string(text), -1) {
			if !exists(page, link[1]) {
				t.Errorf("%s links to %s, which does not exist", page, link[1])
			}
		}
	}
}

func glob(t *testing.T, pattern string) []string {
	t.Helper()
	paths, err := filepath.Glob(pattern)
	if err != nil {
		t.Fatal(err)
	}
	return paths
}

// exists reports whether a path is there, seen from the root, from the page's folder or from where packages stand.
func exists(page, path string) bool {
	for _, base := range []string{".", filepath.Dir(page), "docs", "docs/design", "internal", "internal/system"} {
		if _, err := os.Stat(filepath.Join(base, path)); err == nil {
			return true
		}
	}
	return false
}

// sourceNames is what a page may name.
type sourceNames struct {
	files     map[string]bool // without their folders
	packages  map[string]bool
	types     map[string]bool
	declared  map[string]bool // functions, methods, types, fields, constants and variables
	functions map[string]bool // tests, fuzz tests and benchmarks
}

// check returns what is wrong with a code span of a page, or "".
func (s *sourceNames) check(page, span string) string {
	if testName.MatchString(span) && !s.functions[span] {
		return "which is no test"
	}
	if sourcePath.MatchString(span) {
		if exists(page, span) || s.files[span] || usersPages[span] {
			return ""
		}
		return "which does not exist"
	}
	parts := identifier.FindStringSubmatch(span)
	if parts == nil || !s.packages[parts[1]] && !s.types[parts[1]] {
		return ""
	}
	for _, name := range parts[2:] {
		if name != "" && !s.declared[name] {
			return "which is not declared"
		}
	}
	return ""
}

// readSources collects the names of all sources but the bench's journal.
func readSources(t *testing.T) *sourceNames {
	t.Helper()
	s := &sourceNames{
		files: map[string]bool{}, packages: map[string]bool{}, types: map[string]bool{}, declared: map[string]bool{}, functions: map[string]bool{},
	}
	err := filepath.WalkDir(".", func(path string, entry os.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (path == "journal" || path == ".git") {
			return filepath.SkipDir
		}
		s.files[entry.Name()] = true
		if !strings.HasSuffix(path, ".go") {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		s.packages[strings.TrimSuffix(file.Name.Name, "_test")] = true
		ast.Inspect(file, s.add)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// add takes the names that a node declares.
func (s *sourceNames) add(node ast.Node) bool {
	switch node := node.(type) {
	case *ast.FuncDecl:
		s.declared[node.Name.Name] = true
		s.functions[node.Name.Name] = true
	case *ast.TypeSpec:
		s.declared[node.Name.Name] = true
		s.types[node.Name.Name] = true
	case *ast.Field:
		for _, name := range node.Names {
			s.declared[name.Name] = true
		}
	case *ast.ValueSpec:
		for _, name := range node.Names {
			s.declared[name.Name] = true
		}
	}
	return true
}
