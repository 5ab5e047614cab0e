// Package scale measures what a scheduler costs at a size that no machine of ours has: a few real processes of the
// program, as built, stand beside hollow parts that share this process. Hollow schedulers run the real internal/peers on
// UDP sockets of their own and say that they have tasks out; hollow workers speak the platform's protocol and do nothing;
// a hollow discovery changes its list, and the real processes' files change. The real ones are read from the outside
// alone. All of it stays on loopback.
//
// What is to be run, who gets what, whether a run counts and what the slopes are is decided without input or output in
// config.go, plan.go and fit.go; the rest drives. Processor time is in percent of a core, memory in MiB (1 << 20 bytes),
// traffic in bytes or datagrams a second of real time. Slopes are ordinary least squares (gonum/stat).
package scale

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"sedgevale/internal/config"
)

// Version is that of the file.
const Version = 1

// Size is what a sweep can vary. The keys of the file are the names of the tags.
type Size struct {
	Workers        int     `toml:"workers" json:"workers"`
	Slots          int     `toml:"slots" json:"slots"` // tasks at a time, of a worker
	Teams          int     `toml:"teams" json:"teams"`
	Running        int     `toml:"running" json:"running"`           // tasks out, of all schedulers together
	StartsPerS     float64 `toml:"starts_per_s" json:"starts_per_s"` // of all schedulers together
	Schedulers     int     `toml:"schedulers" json:"schedulers"`     // real and hollow
	ChangesPerDay  float64 `toml:"changes_per_day" json:"changes_per_day"`
	RestartsPerDay float64 `toml:"restarts_per_day" json:"restarts_per_day"` // of workers: restarted and replaced by turns
	FailuresPerDay float64 `toml:"failures_per_day" json:"failures_per_day"`
}

// File is a scale run. Times are in the units of their names.
type File struct {
	Version int `toml:"version"`
	Size
	Real          int     `toml:"real"`     // of the schedulers, processes of the program
	LongS         float64 `toml:"long_s"`   // a long task's mean time
	ShortMS       float64 `toml:"short_ms"` // a short one's
	Zones         int     `toml:"zones"`
	ZoneAtOnce    bool    `toml:"zone_at_once"`    // in the middle of each measurement all workers of a zone are replaced
	WorkersInFile bool    `toml:"workers_in_file"` // the real processes' files list the workers, as the platform's do
	Timelapse     float64 `toml:"timelapse"`       // a day's changes come so many times as fast
	LengthS       float64 `toml:"length_s"`        // of each of a point's two measurements
	WarmupS       float64 `toml:"warmup_s"`        // before each
	Seed          uint64  `toml:"seed"`
	Hearers       int     `toml:"hearers"` // as the program has them; a run in which audiences differ is invalid
	Least         int     `toml:"least"`
	Sweeps        []Sweep `toml:"sweep"`
}

// Sweep varies one key, or two in step, over several points.
type Sweep struct {
	Of      string             `toml:"of"`
	At      []float64          `toml:"at"`
	With    string             `toml:"with"` // then the fit goes by the product of both
	WithAt  []float64          `toml:"with_at"`
	Set     map[string]float64 `toml:"set"` // keys that are otherwise than in the file
	Repeats int                `toml:"repeats"`
	// Inverse has the fit go by 1 over the key: of what each has a part of.
	Inverse bool `toml:"inverse"`
}

// Machine is what a run may use.
type Machine struct {
	MemoryMB    int // half of the machine's
	Descriptors int // of a process
	Processes   int
}

// MostProcesses is how many processes a run may have, this one included.
const MostProcesses = 300

// Default is what a file need not say.
func Default() File {
	return File{Size: Size{Slots: 16}, Real: 1, LongS: 300, ShortMS: 100, Zones: 1, WorkersInFile: true, Timelapse: 1, LengthS: 6, WarmupS: 2,
		Seed: 1, Hearers: 8, Least: 4}
}

// Read reads a file and checks it against the machine.
func Read(path string, m Machine) (File, error) {
	f := Default()
	if _, err := config.Decode(path, &f); err != nil {
		return f, err
	}
	if err := f.Check(m); err != nil {
		return f, fmt.Errorf("%s: %w", path, err)
	}
	return f, nil
}

// fields are the numbers of a Size by their keys.
func (s *Size) fields() map[string]any {
	return map[string]any{"workers": &s.Workers, "slots": &s.Slots, "teams": &s.Teams, "running": &s.Running, "starts_per_s": &s.StartsPerS,
		"schedulers": &s.Schedulers, "changes_per_day": &s.ChangesPerDay, "restarts_per_day": &s.RestartsPerDay, "failures_per_day": &s.FailuresPerDay}
}

// keys are the names of what can be varied.
func keys() string { return strings.Join(slices.Sorted(maps.Keys(new(Size).fields())), ", ") }

// with returns the size with one key changed.
func (s Size) with(key string, v float64) (Size, error) {
	switch field := s.fields()[key].(type) {
	case *int:
		if v != math.Trunc(v) {
			return s, fmt.Errorf("%s: %v, want a whole number", key, v)
		}
		*field = int(v)
	case *float64:
		*field = v
	default:
		return s, fmt.Errorf("%q cannot be varied; want one of %s", key, keys())
	}
	return s, nil
}

// Check returns an error that names the first field that makes no sense or asks for more than the machine bears, and
// what was expected there.
func (f *File) Check(m Machine) error {
	switch {
	case f.Version != Version:
		return fmt.Errorf("version: %d, want %d", f.Version, Version)
	case f.Real < 1 || f.Real > f.Schedulers:
		return fmt.Errorf("real: %d, want 1 to schedulers (%d)", f.Real, f.Schedulers)
	case f.Real+1 > m.Processes:
		return fmt.Errorf("real: %d processes beside this one, want %d in all at most", f.Real, m.Processes)
	case !(f.LongS > 0):
		return fmt.Errorf("long_s: %v, want more than 0", f.LongS)
	case !(f.ShortMS > 0):
		return fmt.Errorf("short_ms: %v, want more than 0", f.ShortMS)
	case f.Zones < 1 || f.Zones > f.Workers:
		return fmt.Errorf("zones: %d, want 1 to workers (%d)", f.Zones, f.Workers)
	case !(f.Timelapse >= 1):
		return fmt.Errorf("timelapse: %v, want 1 or more", f.Timelapse)
	case !(f.LengthS >= 1):
		return fmt.Errorf("length_s: %v, want 1 or more", f.LengthS)
	case !(f.WarmupS >= 0):
		return fmt.Errorf("warmup_s: %v, want 0 or more", f.WarmupS)
	case f.Hearers < 1 || f.Least < 1:
		return errors.New("hearers and least: want 1 or more")
	}
	if err := f.bears(f.Size, m); err != nil {
		return err
	}
	for i, s := range f.Sweeps {
		if err := f.checkSweep(&s, m); err != nil {
			return fmt.Errorf("sweep %d (%s): %w", i+1, s.Of, err)
		}
	}
	return nil
}

func (f *File) checkSweep(s *Sweep, m Machine) error {
	switch {
	case len(s.At) < 2:
		return fmt.Errorf("at: %d points, want 2 or more", len(s.At))
	case slices.Max(s.At) == slices.Min(s.At):
		return errors.New("at: all points are the same")
	case (s.With == "") != (len(s.WithAt) == 0) || s.With != "" && len(s.WithAt) != len(s.At):
		return fmt.Errorf("with and with_at: %q and %d points, want a key and %d points, or neither", s.With, len(s.WithAt), len(s.At))
	case s.Inverse && slices.Min(s.At) <= 0:
		return errors.New("at: want more than 0 where inverse is true")
	case s.Repeats < 0:
		return fmt.Errorf("repeats: %d, want 1 or more, or none for 1", s.Repeats)
	}
	for i := range s.At {
		size, err := f.at(s, i)
		if err == nil {
			err = f.bears(size, m)
		}
		if err != nil {
			return fmt.Errorf("point %d: %w", i+1, err)
		}
	}
	return nil
}

// at returns the size of a sweep's point.
func (f *File) at(s *Sweep, i int) (Size, error) {
	size, err := f.Size, error(nil)
	for _, k := range slices.Sorted(maps.Keys(s.Set)) {
		if size, err = size.with(k, s.Set[k]); err != nil {
			return size, fmt.Errorf("set: %w", err)
		}
	}
	if size, err = size.with(s.Of, s.At[i]); err != nil {
		return size, fmt.Errorf("of: %w", err)
	}
	if s.With != "" {
		if size, err = size.with(s.With, s.WithAt[i]); err != nil {
			return size, fmt.Errorf("with: %w", err)
		}
	}
	return size, nil
}

// What parts of a run need, in KiB: estimates from above, measured on runs of deploy/scale.toml.
const (
	nodeKB       = 0.5 // a box, in a hollow scheduler
	connectionKB = 80  // a task out at a real process: a client here, a worker's end here, and both in that process
	workerKB     = 16  // a listener, its goroutine, and the worker in a real process
	processKB    = 60 << 10
	pairKB       = 0.04 // a worker and a team, in a real process: the dense state of sedgevale's tenants
	hereKB       = 80 << 10
	mostSlots    = 31 // what a word between schedulers can tell of one box
	mostMembers  = 4096
	fullest      = 0.95 // of all slots
)

// memoryKB estimates what all processes of a point need.
func (f *File) memoryKB(s Size) float64 {
	own := float64(s.Running) / float64(s.Schedulers)
	return hereKB + float64(f.Real)*(processKB+own*connectionKB+pairKB*float64(s.Workers)*float64(s.Teams)) +
		float64(s.Workers)*workerKB + nodeKB*float64(s.Workers)*float64(s.Schedulers-f.Real)
}

// descriptors estimates what this process needs, and what a real one does.
func (f *File) descriptors(s Size) (here, real int) {
	p := f.plan(s)
	own := p.Running + int(math.Ceil(p.ShortPerS*(1+f.ShortMS/1000)))
	return 200 + s.Workers + s.Schedulers + f.Real*(2*own+own/4), 200 + 2*own + own/4
}

// bears returns an error for a size that makes no sense, or that the machine does not bear.
func (f *File) bears(s Size, m Machine) error {
	p := f.plan(s)
	here, there := f.descriptors(s)
	switch memory := f.memoryKB(s) / 1024; {
	case s.Workers < 1:
		return fmt.Errorf("workers: %d, want 1 or more", s.Workers)
	case s.Slots < 1 || s.Slots > mostSlots:
		return fmt.Errorf("slots: %d, want 1 to %d", s.Slots, mostSlots)
	case s.Teams < 1:
		return fmt.Errorf("teams: %d, want 1 or more", s.Teams)
	case s.Schedulers < 2 || s.Schedulers > mostMembers || s.Schedulers < f.Real:
		return fmt.Errorf("schedulers: %d, want 2 to %d, and not fewer than real (%d)", s.Schedulers, mostMembers, f.Real)
	case s.Running < s.Schedulers:
		return fmt.Errorf("running: %d, want 1 or more for each of %d schedulers", s.Running, s.Schedulers)
	case float64(s.Running)+s.StartsPerS*f.ShortMS/1000 > fullest*float64(s.Workers*s.Slots):
		return fmt.Errorf("running: %d with %v short ones a second, want %.0f%% of workers times slots (%d) at most", s.Running, s.StartsPerS,
			100*fullest, s.Workers*s.Slots)
	case !(p.ShortPerS > 0):
		return fmt.Errorf("starts_per_s: %v, want more than running by long_s (%.3g), which start again as they end", s.StartsPerS,
			float64(s.Running)/f.LongS)
	case !(s.ChangesPerDay >= 0 && s.RestartsPerDay >= 0 && s.FailuresPerDay >= 0):
		return errors.New("changes_per_day, restarts_per_day, failures_per_day: want 0 or more")
	case f.gap(s.ChangesPerDay) < leastGap:
		return fmt.Errorf("changes_per_day: %v at timelapse %v is one every %v, want %v or longer", s.ChangesPerDay, f.Timelapse,
			f.gap(s.ChangesPerDay), leastGap)
	case memory > float64(m.MemoryMB):
		return fmt.Errorf("workers, teams, running, schedulers: about %.0f MB of memory, want %d (half of the machine's) at most", memory, m.MemoryMB)
	case max(here, there) > m.Descriptors:
		return fmt.Errorf("workers, running, schedulers: %d descriptors, want %d at most", max(here, there), m.Descriptors)
	}
	return nil
}

// leastGap is between two changes of a real process's file: its signals would become one.
const leastGap = 10 * time.Millisecond

// gap is the time between two of so many changes a day; none: for ever.
func (f *File) gap(perDay float64) time.Duration {
	if perDay <= 0 {
		return math.MaxInt64
	}
	return time.Duration(24 * float64(time.Hour) / perDay / f.Timelapse)
}
