package report

import (
	"fmt"
	"html"
	"io"
	"math"
)

// The plot's size in pixels.
const (
	plotWidth  = 900
	plotHeight = 420
	leftEdge   = 70
	rightEdge  = 200
	topEdge    = 40
	bottomEdge = 50
)

// colors are the colors of the curves, which people with red-green color blindness
// can distinguish.
var colors = []string{"#0072b2", "#d55e00", "#009e73", "#cc79a7", "#e69f00", "#56b4e9"}

// maxNines is the end of the horizontal axis, in nines: 1 - 10^-4.
const maxNines = 4.0

// WriteSVG plots each kind of each run: the fraction of responses, on a scale with equal
// distances between 90 %, 99 % and 99.9 %, against the latency on a log scale.
func (r *Report) WriteSVG(w io.Writer) error {
	p := newPlot(r)
	p.writeHeader(w, r.Command)
	p.writeAxes(w)
	n := 0
	for i := range r.Runs {
		for _, kind := range r.Runs[i].Kinds {
			p.writeCurve(w, n, r.Runs[i].Name+" "+kind.Name, kind.Curve)
			n++
		}
	}
	_, err := fmt.Fprintln(w, "</svg>")
	return err
}

// plot maps latencies to pixels. lowest and highest are the exponents of the powers of
// ten, in ms, at which the vertical axis begins and ends.
type plot struct{ lowest, highest float64 }

func newPlot(r *Report) plot {
	minMS, maxMS := math.Inf(1), math.Inf(-1)
	for i := range r.Runs {
		for _, kind := range r.Runs[i].Kinds {
			for _, point := range kind.Curve {
				if point.MS > 0 {
					minMS, maxMS = min(minMS, point.MS), max(maxMS, point.MS)
				}
			}
		}
	}
	if math.IsInf(minMS, 0) {
		return plot{lowest: -1, highest: 1}
	}
	lowest := math.Floor(math.Log10(minMS))
	return plot{lowest: lowest, highest: max(lowest+1, math.Ceil(math.Log10(maxMS)))}
}

func (p plot) x(quantile float64) float64 {
	nines := maxNines
	if quantile < 100 {
		nines = min(maxNines, -math.Log10(1-quantile/100))
	}
	return leftEdge + nines/maxNines*(plotWidth-leftEdge-rightEdge)
}

func (p plot) y(ms float64) float64 {
	fraction := (math.Log10(max(ms, math.Pow(10, p.lowest))) - p.lowest) / (p.highest - p.lowest)
	return plotHeight - bottomEdge - fraction*(plotHeight-topEdge-bottomEdge)
}

// title is the title of the plot. The command may be too long for the plot and is
// written as the description.
const title = "latency of answered calls, from the scheduled time to the last byte"

func (p plot) writeHeader(w io.Writer, command string) {
	fmt.Fprintf(w, `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 %d %d" font-family="sans-serif" font-size="12">`+"\n", plotWidth, plotHeight)
	fmt.Fprintf(w, "<desc>%s</desc>\n", html.EscapeString(command))
	fmt.Fprintf(w, `<rect width="%d" height="%d" fill="white"/><text x="%d" y="20">%s</text>`+"\n", plotWidth, plotHeight, leftEdge, title)
}

func (p plot) writeAxes(w io.Writer) {
	const grid = `<line x1="%.1f" y1="%.1f" x2="%.1f" y2="%.1f" stroke="#ccc"/>` + "\n"
	for power := p.lowest; power <= p.highest; power++ {
		y := p.y(math.Pow(10, power))
		fmt.Fprintf(w, grid, float64(leftEdge), y, float64(plotWidth-rightEdge), y)
		fmt.Fprintf(w, `<text x="%d" y="%.1f" text-anchor="end">%g ms</text>`+"\n", leftEdge-6, y+4, math.Pow(10, power))
	}
	for _, quantile := range []float64{0, p90, p99, p999, 99.99} {
		x := p.x(quantile)
		fmt.Fprintf(w, grid, x, float64(topEdge), x, float64(plotHeight-bottomEdge))
		fmt.Fprintf(w, `<text x="%.1f" y="%d" text-anchor="middle">%g %%</text>`+"\n", x, plotHeight-bottomEdge+18, quantile)
	}
	fmt.Fprintf(w, `<text x="%d" y="%d">fraction of responses within the latency</text>`+"\n", leftEdge, plotHeight-10)
}

func (p plot) writeCurve(w io.Writer, n int, name string, curve []Point) {
	color := colors[n%len(colors)]
	fmt.Fprintf(w, `<polyline fill="none" stroke="%s" stroke-width="2" points="`, color)
	for _, point := range curve {
		fmt.Fprintf(w, "%.1f,%.1f ", p.x(point.Quantile), p.y(point.MS))
	}
	fmt.Fprintln(w, `"/>`)
	const lineHeight = 18
	fmt.Fprintf(w, `<text x="%d" y="%d" fill="%s">%s</text>`+"\n",
		plotWidth-rightEdge+10, topEdge+lineHeight*(n+1), color, html.EscapeString(name))
}
