package cpreport

import (
	"io"
	"maps"
	"slices"

	"github.com/zeebo/errs"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Size of a plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 28 * vg.Centimeter
)

// panel is one of the plots over time that WriteSVG draws one below the other.
type panel struct {
	label string
	value func(*Second) float64
}

var panels = []panel{
	{"p99 (ms)", func(s *Second) float64 { return s.P99Millis }},
	{"coverage", func(s *Second) float64 { return s.Coverage }},
	{"extra load (%)", func(s *Second) float64 { return 100 * s.ExtraLoad }},
	{"refusals per second", func(s *Second) float64 { return float64(s.Refused) }},
}

// WriteSVG draws the timeline of p99, coverage, extra load and refusals, with one line for each policy.
func WriteSVG(w io.Writer, r *Report) error {
	canvas := vgsvg.New(plotWidth, plotHeight)
	tiles := draw.Tiles{Rows: len(panels), Cols: 1, PadY: vg.Millimeter}
	for row, p := range panels {
		chart, err := p.draw(r)
		if err != nil {
			return errs.Wrap(err)
		}
		chart.Draw(tiles.At(draw.New(canvas), 0, row))
	}
	_, err := canvas.WriteTo(w)
	return errs.Wrap(err)
}

func (p panel) draw(r *Report) (*plot.Plot, error) {
	lines := make(map[string]plotter.XYs)
	for i := range r.Timeline {
		s := &r.Timeline[i]
		lines[s.Policy] = append(lines[s.Policy], plotter.XY{X: float64(s.Second), Y: p.value(s)})
	}
	chart := plot.New()
	chart.X.Label.Text = "second"
	chart.Y.Label.Text = p.label
	chart.Y.Min = 0
	for i, policy := range slices.Sorted(maps.Keys(lines)) {
		line, err := plotter.NewLine(lines[policy])
		if err != nil {
			return nil, err
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i)
		chart.Add(line)
		chart.Legend.Add(policy, line)
	}
	return chart, nil
}
