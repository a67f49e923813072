package restart

import (
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Panel is a titled set of rows that Plot draws in one diagram.
type Panel struct {
	Title string
	Rows  []Row
}

// points adapts rows to plotter.XYer and plotter.YErrorer: their means with confidence intervals, in percent.
type points []Row

func (p points) Len() int                         { return len(p) }
func (p points) XY(i int) (x, y float64)          { return float64(i), 100 * p[i].Mean }
func (p points) YError(i int) (low, high float64) { return 100 * p[i].Interval, 100 * p[i].Interval }

// Plot draws a panel into a file: the loss of each seed as a dot, and the means with their confidence intervals.
func Plot(panel Panel, file string) error {
	p := plot.New()
	p.Title.Text = panel.Title
	p.Y.Label.Text = "value lost in the 10 s after the restart, %"
	p.Y.Min = 0
	var names []string
	var dots plotter.XYs
	for i, r := range panel.Rows {
		names = append(names, r.Name)
		for _, x := range r.Losses {
			dots = append(dots, plotter.XY{X: float64(i), Y: 100 * x})
		}
	}
	p.NominalX(names...)
	seeds, err := plotter.NewScatter(dots)
	if err != nil {
		return err
	}
	seeds.Color, seeds.Radius = color.Gray{180}, vg.Points(1.5)
	bars, err := plotter.NewYErrorBars(points(panel.Rows))
	if err != nil {
		return err
	}
	means, err := plotter.NewScatter(points(panel.Rows))
	if err != nil {
		return err
	}
	means.Radius = vg.Points(3)
	p.Add(plotter.NewGrid(), seeds, bars, means)
	return p.Save(7*vg.Inch, 4*vg.Inch, file)
}
