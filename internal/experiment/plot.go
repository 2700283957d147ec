package experiment

import (
	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	barWidth   = 12 * vg.Millimeter / 2
)

// Plot writes a bar chart of the slowdown of short prompts for each row to a file.
func Plot(file string, rows []Result) error {
	p := plot.New()
	p.Title.Text = "slowdown of short prompts beside long ones"
	p.Y.Label.Text = "times the answer without long prompts"
	var names []string
	var p50, p95, p99 plotter.Values
	for _, r := range rows {
		name := r.Fleet + "\n" + r.Policy
		if r.Fault != FaultNone {
			name += "\n" + string(r.Fault)
		}
		names = append(names, name)
		p50, p95, p99 = append(p50, r.SlowdownP50), append(p95, r.SlowdownP95), append(p99, r.SlowdownP99)
	}
	for i, s := range []struct {
		label  string
		values plotter.Values
	}{{"p50", p50}, {"p95", p95}, {"p99", p99}} {
		bars, err := plotter.NewBarChart(s.values, barWidth)
		if err != nil {
			return errors.Wrap(err, "draw bars")
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = barWidth * vg.Length(i-1)
		p.Add(bars)
		p.Legend.Add(s.label, bars)
	}
	p.Legend.Top = true
	p.NominalX(names...)
	return errors.Wrap(p.Save(plotWidth, plotHeight, file), "save plot")
}
