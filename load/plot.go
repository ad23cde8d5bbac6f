package load

import (
	"fmt"
	"image/color"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Series is one line of a plot, with one report for each x value.
type Series struct {
	Label   string
	X       []float64
	Reports []Report
}

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

var lineColors = []color.Color{
	color.RGBA{R: 0x1f, G: 0x77, B: 0xb4, A: 0xff},
	color.RGBA{R: 0xd6, G: 0x27, B: 0x28, A: 0xff},
	color.RGBA{R: 0x2c, G: 0xa0, B: 0x2c, A: 0xff},
	color.RGBA{R: 0x94, G: 0x67, B: 0xbd, A: 0xff},
}

// SavePlot plots the 95th percentile of the time to first token of the prompts under 10k
// tokens against x. The file extension selects the format, such as PNG or SVG.
func SavePlot(file, title, xLabel string, series []Series) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = xLabel
	p.Y.Label.Text = "first token p95, seconds"
	p.Y.Min = 0
	p.Legend.Top = true
	p.Legend.Left = true
	for i, s := range series {
		var points plotter.XYs
		for j, r := range s.Reports {
			points = append(points, plotter.XY{X: s.X[j], Y: float64(r.TTFT95Under10k) / float64(time.Second)})
		}
		line, dots, err := plotter.NewLinePoints(points)
		if err != nil {
			return fmt.Errorf("plot: %w", err)
		}
		line.Color = lineColors[i%len(lineColors)]
		dots.Color = line.Color
		p.Add(line, dots)
		p.Legend.Add(s.Label, line, dots)
	}
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}

// SaveClassPlot draws a bar chart of the 95th percentile of the time to first token of each
// length class. The file extension selects the format.
func (r Report) SaveClassPlot(file, title string) error {
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = "first token p95, seconds"
	var values plotter.Values
	var names []string
	for _, row := range r.Rows {
		values = append(values, row.TTFT95.Seconds())
		names = append(names, row.Class)
	}
	const barWidth = vg.Length(30)
	bars, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	bars.Color = lineColors[0]
	p.Add(bars)
	p.NominalX(names...)
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}
