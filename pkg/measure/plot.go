package measure

import (
	"fmt"
	"image/color"
	"os"
	"path/filepath"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/nutmeghitch/nutmeghitch/pkg/errs"
	"github.com/nutmeghitch/nutmeghitch/pkg/loadgen"
)

const (
	// pointWidth is the interval of one point of a plot.
	pointWidth = 500 * time.Millisecond
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 14 * vg.Centimeter
)

var (
	p50Color  = color.RGBA{R: 0x1f, G: 0x77, B: 0xb4, A: 0xff}
	p99Color  = color.RGBA{R: 0xd6, G: 0x27, B: 0x28, A: 0xff}
	markColor = color.RGBA{R: 0x77, G: 0x77, B: 0x77, A: 0xff}
)

// point is one interval of the searches of a run; Seconds counts from the end
// of the warm-up.
type point struct {
	seconds, p50, p99, coverage float64
}

// points returns the searches by interval, the warm-up included. Intervals
// without an answer are left out.
func (r *run) points() []point {
	byInterval := make(map[int][]loadgen.Sample)
	last := 0
	for _, s := range r.report.Samples {
		if s.Search && s.Code == "" {
			i := int(s.At / pointWidth)
			byInterval[i] = append(byInterval[i], s)
			last = max(last, i)
		}
	}
	var out []point
	for i := 0; i <= last; i++ {
		samples := byInterval[i]
		if len(samples) == 0 {
			continue
		}
		l := latencyOf(samples)
		middle := time.Duration(i)*pointWidth + pointWidth/2 - warmUp
		out = append(out, point{seconds: middle.Seconds(), p50: l.P50, p99: l.P99, coverage: 100 * coverage(samples)})
	}
	return out
}

// WritePlot writes p50, p99 and coverage of searches over time to
// dir/<scenario>-<site>.svg, with the steps of the script marked.
func (r *Result) WritePlot(dir string) error {
	latency := r.newPlot("search latency, ms")
	latency.Title.Text = fmt.Sprintf("%s: %s, seed %d", r.Scenario, r.Site, r.Seed)
	p50, err := addLine(latency, r.points, p50Color, func(p point) float64 { return p.p50 })
	if err != nil {
		return errs.Refuse(errs.Internal, "plot: %v", err)
	}
	p99, err := addLine(latency, r.points, p99Color, func(p point) float64 { return p.p99 })
	if err != nil {
		return errs.Refuse(errs.Internal, "plot: %v", err)
	}
	latency.Legend.Add("p50", p50)
	latency.Legend.Add("p99", p99)
	latency.Legend.Top = true
	latency.Y.Min = 0
	covered := r.newPlot("coverage, %")
	covered.X.Label.Text = "seconds after the warm-up"
	if _, err := addLine(covered, r.points, p50Color, func(p point) float64 { return p.coverage }); err != nil {
		return errs.Refuse(errs.Internal, "plot: %v", err)
	}
	covered.Y.Min, covered.Y.Max = min(covered.Y.Min, 99)-0.5, 100.5
	for _, p := range []*plot.Plot{latency, covered} {
		if err := r.addMarks(p, p == covered); err != nil {
			return errs.Refuse(errs.Internal, "plot: %v", err)
		}
	}
	return r.save(dir, latency, covered)
}

func (r *Result) newPlot(label string) *plot.Plot {
	p := plot.New()
	p.Y.Label.Text = label
	p.Add(plotter.NewGrid())
	return p
}

func addLine(p *plot.Plot, points []point, c color.Color, value func(point) float64) (*plotter.Line, error) {
	xys := make(plotter.XYs, len(points))
	for i, pt := range points {
		xys[i] = plotter.XY{X: pt.seconds, Y: value(pt)}
	}
	line, err := plotter.NewLine(xys)
	if err != nil {
		return nil, err
	}
	line.Color = c
	line.Width = vg.Points(1.2)
	p.Add(line)
	return line, nil
}

// addMarks draws a vertical line for each step; named says whether to label it.
func (r *Result) addMarks(p *plot.Plot, named bool) error {
	bottom, top := p.Y.Min, p.Y.Max
	labels := plotter.XYLabels{}
	for i, m := range r.Marks {
		line, err := plotter.NewLine(plotter.XYs{{X: m.Seconds, Y: bottom}, {X: m.Seconds, Y: top}})
		if err != nil {
			return err
		}
		line.Color = markColor
		line.Dashes = []vg.Length{vg.Points(3), vg.Points(3)}
		p.Add(line)
		// Labels of neighbouring marks are put at different heights.
		y := bottom + (top-bottom)*(0.05+0.12*float64(i%3))
		labels.XYs = append(labels.XYs, plotter.XY{X: m.Seconds, Y: y})
		labels.Labels = append(labels.Labels, " "+m.Name)
	}
	if !named || len(labels.XYs) == 0 {
		return nil
	}
	l, err := plotter.NewLabels(labels)
	if err != nil {
		return err
	}
	p.Add(l)
	return nil
}

func (r *Result) save(dir string, latency, covered *plot.Plot) error {
	c := vgsvg.New(plotWidth, plotHeight)
	tiles := draw.Tiles{Rows: 2, Cols: 1, PadY: vg.Millimeter * 4, PadX: vg.Millimeter, PadTop: vg.Millimeter, PadBottom: vg.Millimeter, PadLeft: vg.Millimeter, PadRight: vg.Millimeter * 3}
	canvases := plot.Align([][]*plot.Plot{{latency}, {covered}}, tiles, draw.New(c))
	latency.Draw(canvases[0][0])
	covered.Draw(canvases[1][0])
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errs.Refuse(errs.InvalidRequest, "output directory: %v", err)
	}
	r.Plot = filepath.Join(dir, r.Scenario+"-"+r.Site+".svg")
	f, err := os.Create(r.Plot)
	if err != nil {
		return errs.Refuse(errs.InvalidRequest, "plot: %v", err)
	}
	defer f.Close()
	if _, err := c.WriteTo(f); err != nil {
		return errs.Refuse(errs.Internal, "plot %s: %v", r.Plot, err)
	}
	return f.Close()
}
