package scale

import (
	"math"
	"strings"
	"time"
)

// Plan is what each scheduler gets of a size.
type Plan struct {
	Running    int     // long tasks out
	ShortPerS  float64 // starts of short tasks; long ones that end start again besides
	StartsPerS float64 // of both
}

// plan shares a size out evenly. Long tasks end at random times, one in long_s each, and start again.
func (f *File) plan(s Size) Plan {
	n := float64(max(1, s.Schedulers))
	p := Plan{Running: int(float64(s.Running)/n + 0.5), StartsPerS: s.StartsPerS / n}
	p.ShortPerS = p.StartsPerS - float64(p.Running)/f.LongS
	return p
}

// Point is one run of a size.
type Point struct {
	Size   Size `json:"size"`
	Repeat int  `json:"repeat"`
	// Users are the sweeps, by index, with the x that it stands for in each.
	Users []User `json:"sweeps,omitempty"`
}

// User is a sweep's use of a point.
type User struct {
	Sweep int     `json:"sweep"`
	X     float64 `json:"x"`
}

// points returns what is to be run: the size of the file itself, then each sweep's. What is the same is run once.
func (f *File) points() []Point {
	all := []Point{{Size: f.Size}}
	for n := range f.Sweeps {
		s := &f.Sweeps[n]
		for r := range max(1, s.Repeats) {
			for i := range s.At {
				size, _ := f.at(s, i) // as Check has seen
				x := f.pace(s.Of, s.At[i])
				if s.Inverse {
					x = 1 / x
				}
				if s.With != "" {
					x *= f.pace(s.With, s.WithAt[i])
				}
				all = use(all, Point{Size: size, Repeat: r}, User{n, x})
			}
		}
	}
	return all
}

// perDay ends the keys of what comes so many times a day.
const perDay = "_per_day"

// pace turns what comes so many times a day into how often it comes a second in the run, and leaves the rest as it is.
func (f *File) pace(key string, v float64) float64 {
	if strings.HasSuffix(key, perDay) {
		return v * f.Timelapse / (24 * 3600)
	}
	return v
}

// name is what a sweep's fits go by.
func (s *Sweep) name() string {
	one := func(key string) string {
		if what, ok := strings.CutSuffix(key, perDay); ok {
			return what + "/s"
		}
		return key
	}
	of := one(s.Of)
	if s.Inverse {
		of = "1/" + of
	}
	if s.With != "" {
		return of + " x " + one(s.With)
	}
	return of
}

func use(all []Point, p Point, u User) []Point {
	for i := range all {
		if all[i].Size == p.Size && all[i].Repeat == p.Repeat {
			all[i].Users = append(all[i].Users, u)
			return all
		}
	}
	p.Users = []User{u}
	return append(all, p)
}

// Load is what a measurement was meant to have and had.
type Load struct {
	StartsPlanned   float64 `json:"starts_planned"` // at the real processes and the hollow schedulers together
	Starts          float64 `json:"starts"`
	RunningPlanned  float64 `json:"running_planned"` // mean over the measurement
	Running         float64 `json:"running"`
	Ticks           int     `json:"ticks"`
	LateTicks       int     `json:"late_ticks"`
	WorstLate       float64 `json:"worst_late_ms"`
	ChangesPlanned  float64 `json:"changes_planned"` // of the real processes' files
	Changes         float64 `json:"changes"`
	StrangeAudience bool    `json:"strange_audience,omitempty"`
}

// What a run may lack and still count.
const (
	lateAfter = 25 * time.Millisecond // half of peers.TickEvery
	lateMost  = 0.02                  // of all ticks
	leastLoad = 0.95                  // of what was planned
	mostLoad  = 1.1
)

// verdict says why a measurement does not count; "" if it does.
func (l *Load) verdict() string {
	short := func(got, want float64) bool { return got < leastLoad*want || got > mostLoad*want }
	chance := 3 * math.Sqrt(l.StartsPlanned) // starts come at random
	switch {
	case l.Ticks == 0:
		return "no tick of the clock"
	case float64(l.LateTicks) > lateMost*float64(l.Ticks):
		return "late by its own clock"
	case l.Starts < leastLoad*l.StartsPlanned-chance || l.Starts > mostLoad*l.StartsPlanned+chance:
		return "starts not reached"
	case short(l.Running, l.RunningPlanned):
		return "running tasks not reached"
	case l.Changes < leastLoad*l.ChangesPlanned-1:
		return "changes not reached"
	case l.StrangeAudience:
		return "audiences are not as the program has them"
	}
	return ""
}
