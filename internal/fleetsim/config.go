// Package fleetsim is an experiment in virtual time: many real Dispatchers with what they tell each other
// (internal/peers), over modelled boxes, clients and a lossy network, with troubles by script. Variants of the settings
// are played on the same seeds and compared pair by pair. It is for judging how the choices of many schedulers add up
// before a change is built, in seconds instead of a day on the real fleet.
package fleetsim

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"sedgevale/internal/dispatchconfig"
)

// Version is that of the experiment's file.
const Version = 1

// File is an experiment. Times are in the units of their names.
type File struct {
	Version    int     `toml:"version"`
	Seeds      int     `toml:"seeds"`      // plays of each variant and size, on the same seeds
	FirstSeed  uint64  `toml:"first_seed"` // 0: 1
	LengthS    float64 `toml:"length_s"`
	Schedulers []int   `toml:"schedulers"` // each size is played by itself
	Boxes      []int   `toml:"boxes"`      // as many sizes, or one for all
	Load       float64 `toml:"load"`       // of what all boxes can do
	Burst      float64 `toml:"burst"`      // so much more in the middle third
	Skew       float64 `toml:"skew"`       // sigma of the log of schedulers' parts of the traffic
	Retries    int     `toml:"retries"`    // of a refused client, when it was told to come back

	Box      Box       `toml:"box"`
	Net      Net       `toml:"net"`
	Variants []Variant `toml:"variant"`
	Troubles []Trouble `toml:"trouble"`
}

// Box is how boxes are; what has two figures is drawn between them for each box.
type Box struct {
	Cores       []int      `toml:"cores"` // drawn from these
	Speed       [2]float64 `toml:"speed"`
	Queue       int        `toml:"queue"` // waiting jobs
	ReportMS    [2]float64 `toml:"report_ms"`
	HandshakeMS float64    `toml:"handshake_ms"` // of work for a new connection
	IdleS       float64    `toml:"idle_s"`
	ColdFrom    float64    `toml:"cold_from"` // share of the speed at the start
	ColdS       float64    `toml:"cold_s"`
	DropsCalled bool       `toml:"drops_called"` // what is called off before it starts does not run
}

// Net is the network. Schedulers' messages take a time between two figures.
type Net struct {
	WayMS  float64    `toml:"way_ms"` // between schedulers and boxes or clients, one way
	PeerMS [2]float64 `toml:"peer_ms"`
}

// Variant is one way for schedulers to work together.
type Variant struct {
	Name    string  `toml:"name"`
	Peers   bool    `toml:"peers"`
	Hearers int     `toml:"hearers"`
	Least   int     `toml:"least"`
	DelayMS float64 `toml:"delay_ms"` // more for each message
	Loss    float64 `toml:"loss"`
}

// Trouble is something that happens: kinds are listed at troubleKinds.
type Trouble struct {
	Kind   string  `toml:"kind"`
	AtS    float64 `toml:"at_s"`
	ForS   float64 `toml:"for_s"`
	Share  float64 `toml:"share"`  // of schedulers or boxes
	Factor float64 `toml:"factor"` // of speed, or the share of errors
}

// troubleKinds are what can happen, and to whom.
var troubleKinds = []string{
	"kill",    // schedulers die and come back
	"freeze",  // schedulers stand still
	"split",   // two halves of the schedulers do not hear each other
	"replace", // boxes are replaced by cold ones within for_s
	"slow",    // boxes have factor times their speed
	"fail",    // boxes answer a share of factor with errors, at once
}

// Default is what a file need not say.
func Default() File {
	return File{Seeds: 5, FirstSeed: 1, LengthS: 20, Schedulers: []int{24}, Boxes: []int{12}, Load: 0.75, Burst: 0.3, Skew: 0.5, Retries: 1,
		Box: Box{Cores: []int{4, 4, 5}, Speed: [2]float64{0.6, 1.7}, Queue: 40, ReportMS: [2]float64{830, 1600}, HandshakeMS: 4.5, IdleS: 15,
			ColdFrom: 0.2, ColdS: 16, DropsCalled: true},
		Net: Net{WayMS: 0.3, PeerMS: [2]float64{2.4, 26}}}
}

// Read reads an experiment and checks it.
func Read(path string) (File, error) {
	f := Default()
	if _, err := dispatchconfig.Decode(path, &f); err != nil {
		return f, err
	}
	if err := f.Check(); err != nil {
		return f, fmt.Errorf("%s: %w", path, err)
	}
	return f, nil
}

// Most of each, so that a slip of the pen does not run for days.
const (
	mostSchedulers = 2000
	mostBoxes      = 10000
	mostSeeds      = 1000
	mostLength     = 600
)

// Check returns what is wrong with an experiment, by its keys.
func (f *File) Check() error {
	switch {
	case f.Version != Version:
		return fmt.Errorf("version is %d; this program reads version %d", f.Version, Version)
	case f.Seeds < 1 || f.Seeds > mostSeeds:
		return fmt.Errorf("seeds is %d; want 1 to %d", f.Seeds, mostSeeds)
	case !(f.LengthS > 0 && f.LengthS <= mostLength):
		return fmt.Errorf("length_s is %g; want above 0, at most %d", f.LengthS, mostLength)
	case !(f.Load > 0 && f.Load <= 5) || !(f.Burst >= 0 && f.Burst <= 5) || !(f.Skew >= 0 && f.Skew <= 2):
		return errors.New("load must be above 0 and at most 5, burst 0 to 5, skew 0 to 2")
	case f.Retries < 0 || f.Retries > 5:
		return fmt.Errorf("retries is %d; want 0 to 5", f.Retries)
	case len(f.Schedulers) == 0 || len(f.Boxes) != 1 && len(f.Boxes) != len(f.Schedulers):
		return errors.New("schedulers must not be empty, and boxes needs one entry, or as many as schedulers")
	case len(f.Variants) == 0:
		return errors.New("there is no [[variant]]")
	}
	for i, n := range f.Schedulers {
		if m := f.boxes(i); n < 1 || n > mostSchedulers || m < 1 || m > mostBoxes {
			return fmt.Errorf("schedulers and boxes: entry %d is %d and %d; want 1 to %d and 1 to %d", i, n, m, mostSchedulers, mostBoxes)
		}
	}
	b := &f.Box
	if len(b.Cores) == 0 || slices.Min(b.Cores) < 1 || !(b.Speed[0] > 0 && b.Speed[1] >= b.Speed[0]) || b.Queue < 0 {
		return errors.New("box: cores must be 1 or more, speed two figures above 0 that rise, queue not negative")
	}
	if !(b.ReportMS[0] > 0 && b.ReportMS[1] >= b.ReportMS[0]) || !(b.ColdFrom > 0 && b.ColdFrom <= 1) || b.ColdS < 0 || b.HandshakeMS < 0 || !(b.IdleS > 0) {
		return errors.New("box: report_ms must be two figures above 0 that rise, cold_from above 0 and at most 1, idle_s above 0, the others not negative")
	}
	if f.Net.WayMS < 0 || !(f.Net.PeerMS[0] >= 0 && f.Net.PeerMS[1] >= f.Net.PeerMS[0]) {
		return errors.New("net: way_ms must not be negative, peer_ms two figures that rise")
	}
	for i, v := range f.Variants {
		switch {
		case v.Name == "" || slices.ContainsFunc(f.Variants[:i], func(w Variant) bool { return w.Name == v.Name }):
			return fmt.Errorf("variant %d needs a name of its own", i)
		case v.Peers && (v.Hearers < 1 || v.Least < 1):
			return fmt.Errorf("variant %q: hearers and least must be 1 or more", v.Name)
		case v.DelayMS < 0 || !(v.Loss >= 0 && v.Loss <= 1):
			return fmt.Errorf("variant %q: delay_ms must not be negative, loss 0 to 1", v.Name)
		}
	}
	for i, t := range f.Troubles {
		switch {
		case !slices.Contains(troubleKinds, t.Kind):
			return fmt.Errorf("trouble %d: unknown kind %q; the kinds are %s", i, t.Kind, strings.Join(troubleKinds, ", "))
		case t.AtS < 0 || t.ForS < 0 || !(t.Share > 0 && t.Share <= 1):
			return fmt.Errorf("trouble %d (%s): at_s and for_s must not be negative, share above 0 and at most 1", i, t.Kind)
		case t.Kind == "slow" && !(t.Factor > 0), t.Kind == "fail" && !(t.Factor > 0 && t.Factor <= 1):
			return fmt.Errorf("trouble %d (%s): factor must be above 0, for fail at most 1", i, t.Kind)
		}
	}
	return nil
}

func (f *File) boxes(size int) int { return f.Boxes[min(size, len(f.Boxes)-1)] }

func ms(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
