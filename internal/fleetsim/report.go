package fleetsim

import (
	"bytes"
	"fmt"
	"html"
	"io"
	"math"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// metric is a metric with its column in the table and its plot on the page.
type metric struct {
	name, title string
	value       func(*Result) float64
}

// metrics lists the metrics of the report in their order.
var metrics = []metric{
	{"worth", "worth served in time, of what was asked for", func(r *Result) float64 { return r.Value }},
	{"gain", "worth less the price of connections, messages and waste", func(r *Result) float64 { return r.NetValue }},
	{"calls off", "attempts called off, of all", func(r *Result) float64 { return r.CancelRate }},
	{"conns/job", "new connections a job", func(r *Result) float64 { return r.ConnectionsPerJob }},
	{"bytes/job", "bytes of messages a job", func(r *Result) float64 { return r.BytesPerJob }},
	{"worst box", "work of the worst box over what its size deserves", func(r *Result) float64 { return r.WorstWorker }},
	{"worst sched", "worth at the worst scheduler over the mean", func(r *Result) float64 { return r.WorstScheduler }},
	{"p99 ms", "99th percentile of served jobs, ms", func(r *Result) float64 { return r.P99MS }},
}

// Table writes the mean metrics of all variants and their differences from the first
// variant, with 95% confidence intervals.
func Table(out io.Writer, e *Experiment, all []Result) error {
	var b bytes.Buffer
	for _, size := range e.Schedulers {
		fmt.Fprintf(&b, "%d schedulers, %d seeds", size, e.Seeds)
		for _, m := range metrics {
			fmt.Fprintf(&b, "\t%s", m.name)
		}
		fmt.Fprintln(&b)
		for i, v := range e.Variants {
			fmt.Fprint(&b, v.Name)
			for _, m := range metrics {
				fmt.Fprintf(&b, "\t%.4g", Compare(all, size, v.Name, "", m.value).Mean)
			}
			fmt.Fprintln(&b)
			if i == 0 {
				continue
			}
			fmt.Fprint(&b, "  less the first")
			for _, m := range metrics {
				d := Compare(all, size, v.Name, e.Variants[0].Name, m.value)
				fmt.Fprintf(&b, "\t%+.3g ±%.2g", d.Mean, d.HalfWidth)
			}
			fmt.Fprintln(&b)
		}
		fmt.Fprintln(&b)
	}
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if _, err := t.Write(b.Bytes()); err != nil {
		return err
	}
	return t.Flush()
}

// points are the means of one variant by size, with their confidence intervals.
type points struct {
	plotter.XYs
	plotter.YErrors
}

// HTML writes a page with the table and a plot of each metric over the number of schedulers.
func HTML(out io.Writer, e *Experiment, all []Result) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "<!DOCTYPE html>\n<meta charset=\"utf-8\">\n<title>swarm</title>\n<h1>Swarm</h1>\n<p>%d seeds, %g s, load %g; bars: 95%% intervals</p>\n",
		e.Seeds, e.LengthSeconds, e.Load)
	var table bytes.Buffer
	if err := Table(&table, e, all); err != nil {
		return err
	}
	fmt.Fprintf(&b, "<pre>%s</pre>\n", html.EscapeString(table.String()))
	for _, m := range metrics {
		p := plot.New()
		p.Title.Text, p.X.Label.Text = m.title, "schedulers"
		if len(e.Schedulers) > 1 {
			p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
		}
		for i, v := range e.Variants {
			var pts points
			for _, size := range e.Schedulers {
				d := Compare(all, size, v.Name, "", m.value)
				if math.IsNaN(d.HalfWidth) {
					d.HalfWidth = 0
				}
				pts.XYs = append(pts.XYs, plotter.XY{X: float64(size), Y: d.Mean})
				pts.YErrors = append(pts.YErrors, struct{ Low, High float64 }{d.HalfWidth, d.HalfWidth})
			}
			line, dots, err := plotter.NewLinePoints(pts.XYs)
			if err != nil {
				return fmt.Errorf("plot of %s: %w", m.name, err)
			}
			bars, err := plotter.NewYErrorBars(pts)
			if err != nil {
				return fmt.Errorf("plot of %s: %w", m.name, err)
			}
			line.Color, dots.Color, bars.Color = plotutil.Color(i), plotutil.Color(i), plotutil.Color(i)
			dots.Shape = plotutil.Shape(i)
			p.Add(line, dots, bars)
			p.Legend.Add(v.Name, line, dots)
		}
		p.Legend.Top = true
		canvas := vgsvg.New(18*vg.Centimeter, 10*vg.Centimeter)
		p.Draw(draw.New(canvas))
		var svg bytes.Buffer
		if _, err := canvas.WriteTo(&svg); err != nil {
			return err
		}
		b.Write(svg.Bytes()[max(0, bytes.Index(svg.Bytes(), []byte("<svg"))):])
	}
	_, err := out.Write(b.Bytes())
	return err
}
