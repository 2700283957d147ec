package errorbudget

import (
	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	barWidth   = 5 * vg.Millimeter
)

// Plot writes a bar chart of the burn rate of each class and window to a file.
func Plot(file string, rows []WindowRate) error {
	p := plot.New()
	p.Title.Text = "burn rate"
	p.Y.Label.Text = "times the budget"
	var rates plotter.Values
	var names []string
	for _, r := range rows {
		rates = append(rates, r.Rate)
		names = append(names, r.Class+"\n"+r.Length.String())
	}
	if len(rates) > 0 {
		bars, err := plotter.NewBarChart(rates, barWidth)
		if err != nil {
			return errors.Wrap(err, "draw bars")
		}
		p.Add(bars)
		p.NominalX(names...)
	}
	return errors.Wrap(p.Save(plotWidth, plotHeight, file), "save plot")
}
