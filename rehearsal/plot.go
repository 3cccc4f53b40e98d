package rehearsal

import (
	"fmt"
	"io"

	"github.com/ansel1/merry/v2"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// WriteSVG plots the hosts of each pool over time, and those in use as dashed lines.
func (r Report) WriteSVG(w io.Writer) error {
	pl := plot.New()
	pl.Title.Text = fmt.Sprintf("%s, seed %d: hosts in each pool, in use dashed", r.Pattern, r.Seed)
	pl.X.Label.Text, pl.Y.Label.Text = "s", "hosts"
	pl.Legend.Top = true
	for i := range poolCount {
		hosts, used := make(plotter.XYs, len(r.Samples)), make(plotter.XYs, len(r.Samples))
		for k, s := range r.Samples {
			at := s.At.Seconds()
			hosts[k], used[k] = plotter.XY{X: at, Y: s.Hosts[i]}, plotter.XY{X: at, Y: s.Used[i]}
		}
		solid, err := plotter.NewLine(hosts)
		if err != nil {
			return merry.Prepend(err, "draw the hosts")
		}
		dashed, err := plotter.NewLine(used)
		if err != nil {
			return merry.Prepend(err, "draw the hosts in use")
		}
		solid.Color, dashed.Color, dashed.Dashes = plotutil.Color(i), plotutil.Color(i), plotutil.Dashes(1)
		pl.Add(solid, dashed)
		pl.Legend.Add(string(poolName(i)), solid)
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	pl.Draw(draw.New(canvas))
	_, err := canvas.WriteTo(w)

	return err
}
