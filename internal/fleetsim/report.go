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

// figure is one that plays are compared by.
type figure struct {
	name, title string
	of          func(*Result) float64
}

// figures are those of the tables and plots, in their order.
var figures = []figure{
	{"worth", "worth served in time, of what was asked for", func(r *Result) float64 { return r.Worth }},
	{"gain", "worth less the price of connections, messages and waste", func(r *Result) float64 { return r.Gain }},
	{"calls off", "attempts called off, of all", func(r *Result) float64 { return r.CallsOff }},
	{"conns/job", "new connections a job", func(r *Result) float64 { return r.ConnectionsOf }},
	{"bytes/job", "bytes of messages a job", func(r *Result) float64 { return r.BytesOf }},
	{"worst box", "work of the worst box over what its size deserves", func(r *Result) float64 { return r.WorstBox }},
	{"worst sched", "worth at the worst scheduler over the mean", func(r *Result) float64 { return r.WorstNode }},
	{"p99 ms", "99th percentile of served jobs, ms", func(r *Result) float64 { return r.P99MS }},
}

// Table writes the means of all variants, and by how much each differs from the first, with 95% intervals.
func Table(out io.Writer, f *File, all []Result) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, size := range f.Schedulers {
		fmt.Fprintf(t, "%d schedulers, %d seeds", size, f.Seeds)
		for _, g := range figures {
			fmt.Fprintf(t, "\t%s", g.name)
		}
		fmt.Fprintln(t)
		for i, v := range f.Variants {
			fmt.Fprint(t, v.Name)
			for _, g := range figures {
				fmt.Fprintf(t, "\t%.4g", Pairs(all, size, v.Name, "", g.of).Mean)
			}
			fmt.Fprintln(t)
			if i == 0 {
				continue
			}
			fmt.Fprint(t, "  less the first")
			for _, g := range figures {
				d := Pairs(all, size, v.Name, f.Variants[0].Name, g.of)
				fmt.Fprintf(t, "\t%+.3g ±%.2g", d.Mean, d.Half)
			}
			fmt.Fprintln(t)
		}
		fmt.Fprintln(t)
	}
	return t.Flush()
}

// points are a variant's means by size, with their intervals.
type points struct {
	plotter.XYs
	plotter.YErrors
}

// HTML writes one page with a plot of each figure over the number of schedulers.
func HTML(out io.Writer, f *File, all []Result) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "<!DOCTYPE html>\n<meta charset=\"utf-8\">\n<title>swarm</title>\n<h1>Swarm</h1>\n<p>%d seeds, %g s, load %g; bars: 95%% intervals</p>\n",
		f.Seeds, f.LengthS, f.Load)
	var table bytes.Buffer
	if err := Table(&table, f, all); err != nil {
		return err
	}
	fmt.Fprintf(&b, "<pre>%s</pre>\n", html.EscapeString(table.String()))
	for _, g := range figures {
		p := plot.New()
		p.Title.Text, p.X.Label.Text = g.title, "schedulers"
		if len(f.Schedulers) > 1 {
			p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
		}
		for i, v := range f.Variants {
			var pts points
			for _, size := range f.Schedulers {
				d := Pairs(all, size, v.Name, "", g.of)
				if math.IsNaN(d.Half) {
					d.Half = 0
				}
				pts.XYs = append(pts.XYs, plotter.XY{X: float64(size), Y: d.Mean})
				pts.YErrors = append(pts.YErrors, struct{ Low, High float64 }{d.Half, d.Half})
			}
			line, dots, err := plotter.NewLinePoints(pts.XYs)
			if err != nil {
				return fmt.Errorf("plot of %s: %w", g.name, err)
			}
			bars, err := plotter.NewYErrorBars(pts)
			if err != nil {
				return fmt.Errorf("plot of %s: %w", g.name, err)
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
