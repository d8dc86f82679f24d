package experiment

import (
	"path/filepath"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"cicadabarrow.example/cicadabarrow/internal/fault"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	// WaitsPlot is the name of the file that shows the waiting times.
	WaitsPlot = "waits.svg"
	// PackingPlot is the name of the file that shows the packing of the workers.
	PackingPlot = "packing.svg"
)

// Plot writes plots of the waiting times and of the packing to a folder.
func (r *Result) Plot(folder string) error {
	if err := r.plotWaits(filepath.Join(folder, WaitsPlot)); err != nil {
		return err
	}
	return r.plotPacking(filepath.Join(folder, PackingPlot))
}

// plotWaits plots the cumulative distribution of the waiting times of each queue.
func (r *Result) plotWaits(file string) error {
	p := plot.New()
	p.Title.Text = "Waiting time"
	p.X.Label.Text = "seconds from submission to first start"
	p.Y.Label.Text = "share of jobs"
	var lines []any
	for i := range r.Queues {
		lines = append(lines, r.Queues[i].Name, cumulativeShares(r.Queues[i].Waits))
	}
	return save(p, file, lines)
}

func cumulativeShares(sorted []time.Duration) plotter.XYs {
	out := make(plotter.XYs, len(sorted))
	for i, wait := range sorted {
		out[i] = plotter.XY{X: wait.Seconds(), Y: float64(i+1) / float64(len(sorted))}
	}
	return out
}

func (r *Result) plotPacking(file string) error {
	p := plot.New()
	p.Title.Text = "Packing"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "share of all cores in use"
	p.Y.Min, p.Y.Max = 0, 1
	line := make(plotter.XYs, len(r.PackingPerSecond))
	for i, part := range r.PackingPerSecond {
		line[i] = plotter.XY{X: float64(i), Y: part}
	}
	return save(p, file, []any{"packing", line})
}

func save(p *plot.Plot, file string, lines []any) error {
	if err := plotutil.AddLines(p, lines...); err != nil {
		return fault.New("plot", KindUnwritten, "%w", err)
	}
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return fault.New("plot", KindUnwritten, "%w", err)
	}
	return nil
}
