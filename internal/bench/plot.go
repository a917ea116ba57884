package bench

import (
	"fmt"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// WritePlots writes two PNG files for each experiment into dir and returns the paths of the files. They plot the 99th
// percentile of the latency and the share of complete answers over time, with one line for each variant.
func WritePlots(dir string, reports []Report) ([]string, error) {
	var names []string
	byName := map[string][]Report{}
	for _, r := range reports {
		if byName[r.Experiment] == nil {
			names = append(names, r.Experiment)
		}
		byName[r.Experiment] = append(byName[r.Experiment], r)
	}
	var out []string
	for _, name := range names {
		latency := filepath.Join(dir, name+"-p99.png")
		if err := writePlot(latency, name, "p99 latency, ms", byName[name], func(p Point) float64 { return p.P99MS }); err != nil {
			return out, err
		}
		complete := filepath.Join(dir, name+"-complete.png")
		if err := writePlot(complete, name, "share complete", byName[name], func(p Point) float64 { return p.ShareComplete }); err != nil {
			return out, err
		}
		out = append(out, latency, complete)
	}
	return out, nil
}

// writePlot writes one plot with a line for each report.
func writePlot(path, name, label string, reports []Report, y func(Point) float64) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s (seed %d)", name, reports[0].Seed)
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = label
	p.Y.Min = 0
	p.Legend.Top = true
	var args []any
	for _, r := range reports {
		xy := make(plotter.XYs, len(r.Series))
		for i, point := range r.Series {
			xy[i] = plotter.XY{X: point.AtS, Y: y(point)}
		}
		args = append(args, r.Variant.Name, xy)
	}
	if err := plotutil.AddLinePoints(p, args...); err != nil {
		return fmt.Errorf("plot %s: %w", path, err)
	}
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("plot %s: %w", path, err)
	}
	return nil
}
