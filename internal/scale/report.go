package scale

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strings"
	"text/tabwriter"
	"time"
)

// figures are what is fitted, and printed of each point.
var figures = []struct {
	name, unit string
	of         func(r *Result) float64
}{
	{"control cpu", "% of a core", func(r *Result) float64 { return r.Control.CPU }},
	{"all cpu", "% of a core", func(r *Result) float64 { return r.All.CPU }},
	{"control memory", "MB", func(r *Result) float64 { return r.Control.RSS }},
	{"all memory", "MB", func(r *Result) float64 { return r.All.RSS }},
	{"control sent", "KB/s", func(r *Result) float64 { return r.Control.Sent }},
	{"sent", "KB/s", func(r *Result) float64 { return r.All.Sent }},
	{"received", "KB/s", func(r *Result) float64 { return r.All.Received }},
	{"datagrams", "1/s", func(r *Result) float64 { return r.All.Datagrams }},
	{"discovery", "bytes/s", func(r *Result) float64 { return r.All.Discovery }},
}

// Fits fits each figure over each sweep. Points that do not count give nothing.
func Fits(f *File, all []Result) (fits []Fit) {
	for n := range f.Sweeps {
		for _, figure := range figures {
			var x, y []float64
			for i := range all {
				for _, u := range all[i].Users {
					if u.Sweep == n && all[i].Invalid == "" {
						x, y = append(x, u.X), append(y, figure.of(&all[i]))
					}
				}
			}
			if one, ok := fit(f.Sweeps[n].name(), figure.name, x, y); ok {
				one.Sweep = n
				fits = append(fits, one)
			}
		}
	}
	return fits
}

// Table writes points and fits for people.
func Table(out io.Writer, f *File, all []Result, took time.Duration) error {
	t := tabwriter.NewWriter(out, 0, 0, 1, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "\t\t\t\t\t\tCHANGES\tLIST\tCPU %\tCPU %\tMB\tMB\tSENT\tRECV\tDATA-\tDISC\t")
	fmt.Fprintln(t, "POINT\tWORKERS\tTEAMS\tRUNNING\tSTARTS/S\tSCHED\t/S\t/S\tCONTROL\tALL\tCONTROL\tALL\tKB/S\tKB/S\tGRAMS/S\tBYTES/S\t")
	hereMB, processes, invalid := 0.0, 0, 0
	for i, r := range all {
		s := r.Size
		lists := float64(2) * (s.RestartsPerDay + s.FailuresPerDay) * f.Timelapse / 86400
		fmt.Fprintf(t, "%d\t%d\t%d\t%d\t%g\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.1f\t%.1f\t%.1f\t%.1f\t%.0f\t%.0f\t%s\n", i+1, s.Workers, s.Teams, s.Running,
			s.StartsPerS, s.Schedulers, s.ChangesPerDay*f.Timelapse/86400, lists, r.Control.CPU, r.All.CPU, r.Control.RSS, r.All.RSS,
			r.All.Sent, r.All.Received, r.All.Datagrams, r.All.Discovery, mark(r.Invalid))
		hereMB, processes = max(hereMB, r.HereMB), max(processes, r.Processes)
		if r.Invalid != "" {
			invalid++
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(out, "\n%d points in %v, %d of them invalid; %d processes at most; this one, with all that is hollow, had %.0f MB at most; changes and lists %g times as fast as a day's\n",
		len(all), took.Round(time.Second), invalid, processes, hereMB, f.Timelapse)
	for i, r := range all {
		switch {
		case r.InForceMost == 0:
		case r.InForce == 0:
			fmt.Fprintf(out, "point %d: jobs of a team that a change adds are not taken within %g s\n", i+1, r.InForceMost)
		default:
			fmt.Fprintf(out, "point %d: jobs of a team that a change adds are taken after %.3f s at the slowest real process\n", i+1, r.InForce)
		}
	}
	fits := Fits(f, all)
	if len(fits) == 0 {
		return nil
	}
	fmt.Fprintln(out)
	t = tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "SWEEP\tFIGURE\tUNIT\tRUNS\tAT 0\tSLOPE\t+-\tLARGEST\tBY THE OTHERS\tMEASURED\t20%")
	for i := range fits {
		one := &fits[i]
		unit := ""
		for _, g := range figures {
			if g.name == one.Figure {
				unit = g.unit
			}
		}
		holds := "holds"
		if math.IsNaN(one.Predicted) {
			holds = "unknown"
		} else if !one.Holds() {
			holds = "NOT"
		}
		fmt.Fprintf(t, "%d %s\t%s\t%s\t%d\t%.3g\t%.3g\t%.2g\t%.4g\t%.4g\t%.4g\t%s\n", one.Sweep+1, one.Of, one.Figure, unit, one.N, one.Base, one.Slope,
			one.Error, one.Largest, one.Predicted, one.Measured, holds)
	}
	return t.Flush()
}

func mark(invalid string) string {
	if invalid == "" {
		return ""
	}
	return "  INVALID: " + strings.ReplaceAll(invalid, "\t", " ")
}

// MarshalJSON writes what is not known as null.
func (f Fit) MarshalJSON() ([]byte, error) {
	known := func(v float64) *float64 {
		if math.IsNaN(v) {
			return nil
		}
		return &v
	}
	return json.Marshal(map[string]any{"fit": f.Of, "sweep": f.Sweep, "figure": f.Figure, "n": f.N, "base": known(f.Base), "slope": known(f.Slope),
		"error": known(f.Error), "largest": f.Largest, "predicted": known(f.Predicted), "measured": f.Measured, "holds": f.Holds()})
}
