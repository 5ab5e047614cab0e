// Package fleetsim is a discrete-event simulation of a fleet of schedulers. It runs real
// Dispatchers and their exchange of load reports (internal/peers) against modelled
// workers, clients and a lossy network, with scripted faults. An experiment runs
// variants of the schedulers' cooperation on the same seeds and compares them pairwise.
// It shows the combined effect of many schedulers' decisions before a change is
// deployed, in seconds instead of a day on a real fleet.
package fleetsim

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"sedgevale/internal/dispatchconfig"
)

// Version is the version of the experiment file format.
const Version = 1

// Experiment is the content of an experiment file. Field names state the units of times.
// Keys that a file omits have the values of [DefaultExperiment].
type Experiment struct {
	Version       int     `toml:"version"`
	Seeds         int     `toml:"seeds"`      // number of seeds; each variant and size runs once per seed
	FirstSeed     uint64  `toml:"first_seed"` // 0 means 1
	LengthSeconds float64 `toml:"length_s"`
	Schedulers    []int   `toml:"schedulers"` // fleet sizes, each with its own runs
	Workers       []int   `toml:"boxes"`      // number of workers for each entry of schedulers, or one for all
	Load          float64 `toml:"load"`       // offered load relative to the capacity of all workers
	Burst         float64 `toml:"burst"`      // additional load in the middle third of the run, relative to Load
	Skew          float64 `toml:"skew"`       // sigma of the log-normal distribution of the schedulers' traffic shares
	Retries       int     `toml:"retries"`    // maximum number of retries of a client that was rejected with a retry-after

	Worker   WorkerModel  `toml:"box"`
	Network  NetworkModel `toml:"net"`
	Variants []Variant    `toml:"variant"`
	Faults   []Fault      `toml:"trouble"`
}

// WorkerModel describes the workers. Pairs are the bounds of uniform distributions: Speed
// is sampled once per worker, ReportMillis for each interval.
type WorkerModel struct {
	Cores             []int      `toml:"cores"` // values that are sampled uniformly
	Speed             [2]float64 `toml:"speed"`
	Queue             int        `toml:"queue"` // capacity, in jobs
	ReportMillis      [2]float64 `toml:"report_ms"`
	HandshakeMillis   float64    `toml:"handshake_ms"` // additional run time of a job on a new connection
	IdleSeconds       float64    `toml:"idle_s"`       // idle time after which a connection is closed
	SlowStartCapacity float64    `toml:"cold_from"`    // share of the full speed at the start
	SlowStartSeconds  float64    `toml:"cold_s"`
	DropsCancelled    bool       `toml:"drops_called"` // a job that is cancelled before its start does not run
}

// NetworkModel describes the network.
type NetworkModel struct {
	OneWayMillis float64    `toml:"way_ms"`  // one-way latency between schedulers and workers or clients
	PeerMillis   [2]float64 `toml:"peer_ms"` // one-way latency between schedulers, sampled uniformly for each message
}

// Variant is one configuration of the schedulers' cooperation.
type Variant struct {
	Name           string  `toml:"name"`
	Peers          bool    `toml:"peers"`    // schedulers exchange load reports
	MinSubscribers int     `toml:"hearers"`  // minimum number of schedulers that receive a scheduler's load reports
	MinSubset      int     `toml:"least"`    // minimum number of workers in a scheduler's subset
	DelayMillis    float64 `toml:"delay_ms"` // additional delay of each message
	Loss           float64 `toml:"loss"`     // share of messages that are lost
}

// Fault is a scheduled fault. Its kind is one of faultKinds.
type Fault struct {
	Kind       string  `toml:"kind"`
	AtSeconds  float64 `toml:"at_s"`
	ForSeconds float64 `toml:"for_s"`
	Share      float64 `toml:"share"`  // share of the schedulers or workers that are affected
	Factor     float64 `toml:"factor"` // speed factor of a slow worker, or error rate of a failing one
}

// faultKinds lists the kinds of faults.
var faultKinds = []string{
	"kill",    // schedulers crash and restart
	"freeze",  // schedulers stall
	"split",   // a partition between two halves of the schedulers
	"replace", // workers are replaced by new ones within for_s
	"slow",    // the speed of workers is multiplied by factor
	"fail",    // workers answer a share of factor of their tasks with an immediate error
}

// DefaultExperiment returns the values of keys that a file omits.
func DefaultExperiment() Experiment {
	return Experiment{Seeds: 5, FirstSeed: 1, LengthSeconds: 20, Schedulers: []int{24}, Workers: []int{12}, Load: 0.75, Burst: 0.3, Skew: 0.5, Retries: 1,
		Worker: WorkerModel{Cores: []int{4, 4, 5}, Speed: [2]float64{0.6, 1.7}, Queue: 40, ReportMillis: [2]float64{830, 1600}, HandshakeMillis: 4.5, IdleSeconds: 15,
			SlowStartCapacity: 0.2, SlowStartSeconds: 16, DropsCancelled: true},
		Network: NetworkModel{OneWayMillis: 0.3, PeerMillis: [2]float64{2.4, 26}}}
}

// Read reads and validates an experiment file. Errors name the file and the key.
func Read(path string) (Experiment, error) {
	e := DefaultExperiment()
	if _, err := dispatchconfig.Decode(path, &e); err != nil {
		return e, err
	}
	if err := e.Validate(); err != nil {
		return e, fmt.Errorf("%s: %w", path, err)
	}
	return e, nil
}

// Upper bounds, so that an experiment with a mistyped value does not run for days.
const (
	maxSchedulers    = 2000
	maxWorkers       = 10000
	maxSeeds         = 1000
	maxLengthSeconds = 600
)

// Validate returns an error that names the key of the first invalid value.
func (e *Experiment) Validate() error {
	if err := e.validateLoad(); err != nil {
		return err
	}
	if err := e.validateSizes(); err != nil {
		return err
	}
	if len(e.Variants) == 0 {
		return errors.New("there is no [[variant]]")
	}
	if err := e.validateLimits(); err != nil {
		return err
	}
	if err := e.Worker.validate(); err != nil {
		return err
	}
	if n := &e.Network; n.OneWayMillis < 0 || !(n.PeerMillis[0] >= 0 && n.PeerMillis[1] >= n.PeerMillis[0]) {
		return errors.New("net: way_ms must not be negative, peer_ms two figures that rise")
	}
	for i, v := range e.Variants {
		sameName := func(w Variant) bool { return w.Name == v.Name }
		if v.Name == "" || slices.ContainsFunc(e.Variants[:i], sameName) {
			return fmt.Errorf("variant %d needs a name of its own", i)
		}
		if err := v.validate(); err != nil {
			return fmt.Errorf("variant %q: %w", v.Name, err)
		}
	}
	return e.validateFaults()
}

func (e *Experiment) validateFaults() error {
	for i, f := range e.Faults {
		if !slices.Contains(faultKinds, f.Kind) {
			return fmt.Errorf("trouble %d: unknown kind %q; the kinds are %s", i, f.Kind, strings.Join(faultKinds, ", "))
		}
		if err := f.validate(); err != nil {
			return fmt.Errorf("trouble %d (%s): %w", i, f.Kind, err)
		}
	}
	return nil
}

// validateLoad checks the version, the number and length of the runs, and their load.
func (e *Experiment) validateLoad() error {
	switch {
	case e.Version != Version:
		return fmt.Errorf("version is %d; this program reads version %d", e.Version, Version)
	case e.Seeds < 1 || e.Seeds > maxSeeds:
		return fmt.Errorf("seeds is %d; want 1 to %d", e.Seeds, maxSeeds)
	case !(e.LengthSeconds > 0 && e.LengthSeconds <= maxLengthSeconds):
		return fmt.Errorf("length_s is %g; want above 0, at most %d", e.LengthSeconds, maxLengthSeconds)
	case !(e.Load > 0 && e.Load <= 5) || !inRange(e.Burst, 0, 5) || !inRange(e.Skew, 0, 2):
		return errors.New("load must be above 0 and at most 5, burst 0 to 5, skew 0 to 2")
	case e.Retries < 0 || e.Retries > 5:
		return fmt.Errorf("retries is %d; want 0 to 5", e.Retries)
	}
	return nil
}

// validateSizes checks that each number of schedulers has a number of workers.
func (e *Experiment) validateSizes() error {
	if len(e.Schedulers) == 0 || len(e.Workers) != 1 && len(e.Workers) != len(e.Schedulers) {
		return errors.New("schedulers must not be empty, and boxes needs one entry, or as many as schedulers")
	}
	return nil
}

// validateLimits checks the numbers of schedulers and workers.
func (e *Experiment) validateLimits() error {
	for i, n := range e.Schedulers {
		if m := e.workersAt(i); n < 1 || n > maxSchedulers || m < 1 || m > maxWorkers {
			return fmt.Errorf("schedulers and boxes: entry %d is %d and %d; want 1 to %d and 1 to %d", i, n, m, maxSchedulers, maxWorkers)
		}
	}
	return nil
}

// inRange reports whether low <= v <= high. It returns false for NaN.
func inRange(v, low, high float64) bool { return v >= low && v <= high }

func (w *WorkerModel) validate() error {
	if len(w.Cores) == 0 || slices.Min(w.Cores) < 1 || !(w.Speed[0] > 0 && w.Speed[1] >= w.Speed[0]) || w.Queue < 0 {
		return errors.New("box: cores must be 1 or more, speed two figures above 0 that rise, queue not negative")
	}
	if !(w.ReportMillis[0] > 0 && w.ReportMillis[1] >= w.ReportMillis[0]) ||
		!(w.SlowStartCapacity > 0 && w.SlowStartCapacity <= 1) || w.SlowStartSeconds < 0 ||
		w.HandshakeMillis < 0 || !(w.IdleSeconds > 0) {
		return errors.New("box: report_ms must be two figures above 0 that rise, cold_from above 0 and at most 1, idle_s above 0, the others not negative")
	}
	return nil
}

func (v *Variant) validate() error {
	switch {
	case v.Peers && (v.MinSubscribers < 1 || v.MinSubset < 1):
		return errors.New("hearers and least must be 1 or more")
	case v.DelayMillis < 0 || !inRange(v.Loss, 0, 1):
		return errors.New("delay_ms must not be negative, loss 0 to 1")
	}
	return nil
}

func (f *Fault) validate() error {
	switch {
	case f.AtSeconds < 0 || f.ForSeconds < 0 || !(f.Share > 0 && f.Share <= 1):
		return errors.New("at_s and for_s must not be negative, share above 0 and at most 1")
	case f.Kind == "slow" && !(f.Factor > 0), f.Kind == "fail" && !(f.Factor > 0 && f.Factor <= 1):
		return errors.New("factor must be above 0, for fail at most 1")
	}
	return nil
}

// workersAt returns the number of workers for the size with an index.
func (e *Experiment) workersAt(size int) int { return e.Workers[min(size, len(e.Workers)-1)] }

// millis converts milliseconds to a Duration.
func millis(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
