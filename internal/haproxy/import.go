package haproxy

import (
	"errors"
	"slices"
	"strings"

	"sedgevale/internal/dispatchconfig"
	"sedgevale/internal/route"
)

// Options hold the inputs of an import besides the configuration files.
type Options struct {
	Env     map[string]string // environment variables
	Defines map[string]bool   // names for which .if defined(NAME) holds, in addition to those in Env
	Hosts   map[string]string // IP addresses by host name; the importer does not resolve names
	Files   route.Files       // reads pattern and map files; nil: every read fails with fs.ErrNotExist
	Name    string            // name of the scheduler; the name of the first frontend if empty
}

// Result is the outcome of an import.
type Result struct {
	File   dispatchconfig.File
	Report Report
	origin map[string]string // section, file and line by "f NAME" for frontends and "b NAME" for backends
}

// ErrNoFrontend is returned by Import if it could not import any frontend.
var ErrNoFrontend = errors.New("no frontend can be carried over")

// importer converts parsed sections to an operator's file and collects the report entries.
type importer struct {
	opt      Options
	sections []*section
	result   *Result
	errs     []error
	verdicts map[position]Entry // one per directive; the most severe one if several sections inherit it
	order    []position         // keys of verdicts in insertion order
	web      dispatchconfig.Web
	sockets  int
}

// position identifies a directive by its file and line.
type position struct {
	file string
	line int
}

// severity ranks verdicts; a higher value is more severe.
var severity = map[Verdict]int{NotNeeded: 1, Carried: 2, CarriedDifferently: 3, NotCarried: 4}

// Import converts an HAProxy configuration. It returns the errors of all malformed directives joined.
// Well-formed directives that cannot be converted are not errors and are listed in the report.
func Import(sources []Source, opt Options) (*Result, error) {
	if opt.Files == nil {
		opt.Files = route.NoFiles
	}
	r := &sectionReader{opt: &opt}
	for _, s := range sources {
		r.read(s)
	}
	im := &importer{opt: opt, sections: r.sections, result: &Result{origin: map[string]string{}}, verdicts: map[position]Entry{}, errs: r.errs}
	im.importSettings()
	im.importProxies()
	im.reportUnusedDefaults()
	if len(im.errs) > 0 {
		return nil, errors.Join(im.errs...)
	}
	res := im.result
	for _, p := range im.order {
		res.Report = append(res.Report, im.verdicts[p])
	}
	res.Report = append(res.Report, r.entries...)
	res.Report.sort(sources)
	if len(im.web.Frontends) == 0 {
		return res, ErrNoFrontend
	}
	res.File.Web = &im.web
	res.File.Limits.Sockets = im.sockets
	if res.File.Name = opt.Name; res.File.Name == "" {
		res.File.Name = im.web.Frontends[0].Name
	}
	return res, nil
}

// importSettings imports the global section and reports the defaults and unsupported sections.
func (im *importer) importSettings() {
	for _, s := range im.sections {
		switch {
		case s.kind == "global":
			im.importGlobal(s)
		case s.kind == "defaults":
			im.addEntry(s.directive, s, NotNeeded, "what it says counts for the sections that follow")
		case unsupportedSectionKinds[s.kind]:
			im.addEntry(s.directive, s, NotCarried, "there is nothing that corresponds to a section "+s.kind)
			for _, d := range s.body {
				im.addEntry(d, s, NotCarried, "of a section that has no counterpart")
			}
		}
	}
}

// importProxies imports the backend, listen and frontend sections. Backends come first because a rule
// that selects a backend is imported only if the backend is.
func (im *importer) importProxies() {
	backends := map[string]bool{}
	for _, kind := range []string{"backend", "listen", "frontend"} {
		for _, s := range im.sections {
			if s.kind == kind {
				im.importProxy(s, backends)
			}
		}
	}
}

// reportUnusedDefaults adds entries for the directives of defaults sections that no section inherits.
func (im *importer) reportUnusedDefaults() {
	for _, s := range im.sections {
		if s.kind != "defaults" {
			continue
		}
		for _, d := range s.body {
			if _, ok := im.verdicts[position{d.file, d.line}]; !ok {
				im.addEntry(d, s, NotNeeded, "no section that it counts for uses it")
			}
		}
	}
}

// addEntry records the verdict on a directive. A directive that several sections inherit keeps its most
// severe verdict.
func (im *importer) addEntry(d directive, s *section, v Verdict, reason string) {
	p := position{d.file, d.line}
	old, ok := im.verdicts[p]
	if !ok {
		im.order = append(im.order, p)
	}
	if !ok || severity[v] > severity[old.Verdict] {
		title := s.title()
		if ok {
			title = old.Section
		}
		im.verdicts[p] = Entry{d.file, d.line, title, d.String(), v, reason}
	}
}

// errorf records an error for a malformed directive.
func (im *importer) errorf(d directive, format string, args ...any) {
	err := malformed(d, format, args...)
	if !slices.ContainsFunc(im.errs, func(e error) bool { return e.Error() == err.Error() }) { // an inherited directive fails once per section
		im.errs = append(im.errs, err)
	}
}

// findDefaults returns the defaults section that applies to a section: the one named by "from", or the
// last one before the section. It returns nil if there is none.
func (im *importer) findDefaults(s *section) (found *section) {
	for _, d := range im.sections {
		if s.from == "" && d == s {
			break
		}
		if d.kind == "defaults" && (s.from == "" || d.name == s.from) {
			found = d
		}
	}
	return found
}

// effectiveDirectives returns the directives of a section, preceded by those of its chain of defaults
// sections.
func (im *importer) effectiveDirectives(s *section) (all []scopedDirective) {
	var chain []*section
	for d := im.findDefaults(s); d != nil && !slices.Contains(chain, d); {
		chain = append(chain, d)
		if d.from == "" {
			break
		}
		d = im.findDefaults(&section{from: d.from})
	}
	if s.from != "" && len(chain) == 0 {
		im.errorf(s.directive, "no defaults section is called %q", s.from)
	}
	for i := len(chain) - 1; i >= 0; i-- {
		for _, d := range chain[i].body {
			all = append(all, scopedDirective{d, chain[i]})
		}
	}
	for _, d := range s.body {
		all = append(all, scopedDirective{d, s})
	}
	return all
}

// scopedDirective is a directive with the section that contains it, which may be a defaults section.
type scopedDirective struct {
	directive
	in *section
}

// importGlobal imports the directives of a global section.
func (im *importer) importGlobal(s *section) {
	im.addEntry(s.directive, s, NotNeeded, "settings of the process; see each line")
	for _, d := range s.body {
		w := d.words
		switch w[0] {
		case "ulimit-n", "maxconn":
			if len(w) != 2 {
				im.errorf(d, "%s takes a number", w[0])
				continue
			}
			n, err := parsePositive(w[1])
			if err != nil {
				im.errorf(d, "%s: %v", w[0], err)
				continue
			}
			if w[0] == "ulimit-n" {
				im.sockets = n
				im.addEntry(d, s, Carried, "limits.sockets")
				continue
			}
			if im.sockets == 0 {
				im.sockets = 2*n + 64
			}
			im.addEntry(d, s, CarriedDifferently, "limits.sockets bounds descriptors, two for each connection")
		default:
			v, reason := lookupDisposition(globalDirectives, w)
			im.addEntry(d, s, v, reason)
		}
	}
}

// lookupDisposition returns the verdict and reason that a table has for a directive. It tries the first two
// words, the first word, and then the longest matching prefix pattern.
func lookupDisposition(table map[string]disposition, words []string) (Verdict, string) {
	for _, key := range lookupKeys(words) {
		if f, ok := table[key]; ok {
			return f.verdict, f.reason
		}
	}
	longest := ""
	for pattern := range table {
		if prefix, ok := strings.CutSuffix(pattern, "*"); ok && strings.HasPrefix(words[0], prefix) && len(pattern) > len(longest) {
			longest = pattern
		}
	}
	if f, ok := table[longest]; ok {
		return f.verdict, f.reason
	}
	return NotCarried, reasonUnknown
}

// reasonUnknown is the reason reported for a directive that is in no table.
const reasonUnknown = "not known here"

// disposition is the fixed verdict, with its reason, on all directives of one name.
type disposition struct {
	verdict Verdict
	reason  string
}
