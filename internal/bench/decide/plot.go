package decide

import (
	"image/color"
	"io"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Size of the drawing, and the number of its plots.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 18 * vg.Centimeter
	plotRows   = 2
)

// colours are the schedulers' colours, in the order of Report.Results.
var colours = []color.Color{
	color.RGBA{R: 0x1b, G: 0x7f, B: 0x4d, A: 0xff},
	color.RGBA{R: 0xc0, G: 0x4f, B: 0x15, A: 0xff},
	color.RGBA{R: 0x30, G: 0x50, B: 0xa0, A: 0xff},
}

// SVG plots the used capacity and the distance from the teams' shares over the day.
func (r Report) SVG(w io.Writer) error {
	packing, err := r.plot("used capacity", func(p sample) (float64, bool) { return 100 * p.used, true })
	if err != nil {
		return trace.Wrap(err)
	}
	distance, err := r.plot("capacity to be moved to reach all shares", func(p sample) (float64, bool) {
		return 100 * p.moved, p.moved >= 0
	})
	if err != nil {
		return trace.Wrap(err)
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	tiles := draw.Tiles{Rows: plotRows, Cols: 1, PadY: vg.Centimeter}
	all := draw.New(canvas)
	packing.Draw(tiles.At(all, 0, 0))
	distance.Draw(tiles.At(all, 0, 1))
	_, err = canvas.WriteTo(w)
	return trace.Wrap(err)
}

// plot plots one quantity over the day, one line per scheduler.
func (r Report) plot(title string, value func(sample) (float64, bool)) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "minutes"
	p.Y.Label.Text = "percent of the fleet"
	p.Y.Min = 0
	p.Legend.Top = true
	for i, res := range r.Results {
		line, err := plotter.NewLine(res.series(value))
		if err != nil {
			return nil, trace.Wrap(err)
		}
		line.Color = colours[i%len(colours)]
		p.Add(line)
		p.Legend.Add(res.Scheduler, line)
	}
	return p, nil
}

func (r *Result) series(value func(sample) (float64, bool)) plotter.XYs {
	xys := plotter.XYs{{}}
	for _, pt := range r.samples {
		if y, ok := value(pt); ok {
			xys = append(xys, plotter.XY{X: pt.at.Minutes(), Y: y})
		}
	}
	return xys
}
