package load

import (
	"io"

	"github.com/ansel1/merry/v2"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Size of the plot.
const (
	plotWidth   = 24 * vg.Centimeter
	panelHeight = 8 * vg.Centimeter
)

// panel is one plot over the windows of the run.
type panel struct {
	title, unit string
	// value returns the value of a window's solid line, dashed that of a dashed line if set.
	value  func(Window) float64
	dashed func(Window) float64
}

var panels = []panel{
	{title: "Latency, mean per window", unit: "ms", value: func(w Window) float64 { return w.MeanLatency.Std().Seconds() * 1000 }},
	{
		title: "Done per window against the fair part (dashed)", unit: "requests",
		value:  func(w Window) float64 { return float64(w.Done) },
		dashed: func(w Window) float64 { return w.Due },
	},
	{title: "Refused as not run per window", unit: "requests", value: func(w Window) float64 { return float64(w.NotRun) }},
}

// WriteSVG plots latency, completed requests with the fair share, and refusals over time, as a self-contained SVG document.
func (r Report) WriteSVG(w io.Writer) error {
	height := panelHeight * vg.Length(len(panels))
	canvas := vgsvg.New(plotWidth, height)
	dc := draw.New(canvas)

	for i, p := range panels {
		pl, err := r.draw(p)
		if err != nil {
			return merry.Prepend(err, p.title)
		}
		top := panelHeight * vg.Length(len(panels)-i)
		pl.Draw(draw.Crop(dc, 0, 0, top-panelHeight, top-height))
	}

	_, err := canvas.WriteTo(w)

	return err
}

func (r Report) draw(p panel) (*plot.Plot, error) {
	pl := plot.New()
	pl.Title.Text = p.title
	pl.X.Label.Text = "s"
	pl.Y.Label.Text = p.unit
	pl.Legend.Top = true

	for i, t := range r.Teams {
		l, err := plotter.NewLine(r.points(t, p.value))
		if err != nil {
			return nil, err
		}
		l.Color = plotutil.Color(i)
		pl.Add(l)
		pl.Legend.Add(string(t.Team), l)

		if p.dashed == nil {
			continue
		}
		d, err := plotter.NewLine(r.points(t, p.dashed))
		if err != nil {
			return nil, err
		}
		d.Color, d.Dashes = plotutil.Color(i), plotutil.Dashes(1)
		pl.Add(d)
	}

	return pl, nil
}

func (r Report) points(t TeamReport, value func(Window) float64) plotter.XYs {
	xys := make(plotter.XYs, len(t.Windows))
	for i, w := range t.Windows {
		xys[i] = plotter.XY{X: float64(i) * r.Window.Std().Seconds(), Y: value(w)}
	}

	return xys
}
