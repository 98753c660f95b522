// Package plot draws measurements as a line plot or a heat map.
package plot

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/palette/moreland"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Line is one line of a plot. XY holds its points in the order in which they are connected.
type Line struct {
	Name string
	XY   [][2]float64
}

// DrawLines writes a line plot to a file, in the format that its extension names (png, svg, pdf). The vertical axis starts at
// 0. Errors name the file.
func DrawLines(path, title, x, y string, lines []Line) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Y.Min = 0
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for i, l := range lines {
		var pts plotter.XYs
		for _, v := range l.XY {
			pts = append(pts, plotter.XY{X: v[0], Y: v[1]})
		}
		line, points, err := plotter.NewLinePoints(pts)
		if err != nil {
			return fmt.Errorf("plot %s: can't draw line %s: %w", path, l.Name, err)
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i/6)
		points.Color, points.Shape = plotutil.Color(i), plotutil.Shape(i)
		p.Add(line, points)
		p.Legend.Add(l.Name, line, points)
	}
	if err := p.Save(16*vg.Centimeter, 10*vg.Centimeter, path); err != nil {
		return fmt.Errorf("plot %s: can't save: %w", path, err)
	}
	return nil
}

// grid is a table of values for a heat map; it implements plotter.GridXYZ.
type grid struct {
	xs, ys []float64
	z      [][]float64 // indexed by y, then x
}

func (g grid) Dims() (c, r int)   { return len(g.xs), len(g.ys) }
func (g grid) Z(c, r int) float64 { return g.z[r][c] }
func (g grid) X(c int) float64    { return float64(c) }
func (g grid) Y(r int) float64    { return float64(r) }

// DrawHeatMap writes a heat map to a file, with each value printed in its cell. z is indexed by y, then x, and must have
// len(ys) rows of len(xs) values. Errors name the file.
func DrawHeatMap(path, title, x, y string, xs, ys []float64, z [][]float64) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	g := grid{xs, ys, z}
	h := plotter.NewHeatMap(g, moreland.SmoothBlueRed().Palette(64))
	if h.Min == h.Max {
		h.Max = h.Min + 1e-6
	}
	p.Add(h)
	ticks := func(vs []float64) plot.ConstantTicks {
		var t plot.ConstantTicks
		for i, v := range vs {
			t = append(t, plot.Tick{Value: float64(i), Label: fmt.Sprintf("%g", v)})
		}
		return t
	}
	p.X.Tick.Marker, p.Y.Tick.Marker = ticks(xs), ticks(ys)
	var at plotter.XYLabels
	for r := range ys {
		for c := range xs {
			at.XYs = append(at.XYs, plotter.XY{X: float64(c), Y: float64(r)})
			at.Labels = append(at.Labels, fmt.Sprintf("%.3f", z[r][c]))
		}
	}
	labels, err := plotter.NewLabels(at)
	if err != nil {
		return fmt.Errorf("plot %s: can't draw labels: %w", path, err)
	}
	p.Add(labels)
	if err := p.Save(16*vg.Centimeter, 10*vg.Centimeter, path); err != nil {
		return fmt.Errorf("plot %s: can't save: %w", path, err)
	}
	return nil
}
