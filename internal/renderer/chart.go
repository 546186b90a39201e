package renderer

import (
	"bytes"
	"errors"
	"fmt"
	"html/template"
	"image/color"
	"math"
	"strings"
	"time"
	"unicode"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"daisylane/internal/analyzer"
)

// Size of a chart in points. At a width of 400 px its text is still 9 px high.
const (
	chartWidth  vg.Length = 400
	chartHeight vg.Length = 235
	textSize    vg.Length = 10

	legendPadding vg.Length = 2
	legendRow     vg.Length = 13 // height of a row of a legend
)

// Numbers of points with a glyph on each line, and of labels on the time axis.
const (
	glyphs    = 12
	timeTicks = 5
)

// maxLabel is the maximum length of a name in a legend in characters.
const maxLabel = 22

// styles tell the lines of a chart apart by color, dashes and glyphs. The colors are those
// of Okabe and Ito, which people without color vision can tell apart by lightness.
var styles = []struct {
	color  color.RGBA
	dashes []vg.Length
	glyph  draw.GlyphDrawer
}{
	{color.RGBA{0, 114, 178, 255}, nil, draw.CircleGlyph{}},
	{color.RGBA{213, 94, 0, 255}, []vg.Length{6, 3}, draw.PyramidGlyph{}},
	{color.RGBA{0, 0, 0, 255}, []vg.Length{2, 2}, draw.CrossGlyph{}},
	{color.RGBA{0, 158, 115, 255}, []vg.Length{8, 3, 2, 3}, draw.BoxGlyph{}},
	{color.RGBA{204, 121, 167, 255}, []vg.Length{12, 4}, draw.PlusGlyph{}},
	{color.RGBA{230, 159, 0, 255}, []vg.Length{4, 2, 1, 2, 1, 2}, draw.RingGlyph{}},
	{color.RGBA{110, 110, 110, 255}, []vg.Length{1, 3}, draw.TriangleGlyph{}},
}

// markStyles are the glyphs of events, from the top row of their chart to the lowest.
var markStyles = []struct {
	kind  analyzer.EventKind
	glyph draw.GlyphDrawer
	color color.RGBA
}{
	{analyzer.EventStart, draw.PyramidGlyph{}, styles[3].color},
	{analyzer.EventStop, draw.BoxGlyph{}, styles[2].color},
	{analyzer.EventLost, draw.CrossGlyph{}, styles[1].color},
	{analyzer.EventRegained, draw.RingGlyph{}, styles[0].color},
}

// axis is the time axis that the charts of a page share.
type axis struct {
	from  time.Time // of the first bucket
	width time.Duration
	marks []analyzer.Series
	n     int // buckets
}

func newAxis(day *analyzer.Day) axis {
	return axis{time.Unix(day.From.Unix(), 0).UTC(), day.Width, day.Marks, day.Buckets}
}

// newPlot returns an empty chart with the time axis.
func (a axis) newPlot() *plot.Plot {
	p := plot.New()
	p.BackgroundColor = color.White
	p.X.Tick.Marker = plot.TickerFunc(a.ticks)
	p.Y.Tick.Marker = plot.TickerFunc(countTicks)
	p.X.Tick.Label.Font, p.Y.Tick.Label.Font = textFont, textFont
	return p
}

var textFont = font.Font{Typeface: "Liberation", Variant: "Sans", Size: textSize}

// ticks labels the time axis with the time of day, or with dates on wide axes.
func (a axis) ticks(_, _ float64) []plot.Tick {
	layout := "15:04:05"
	if a.width >= 24*time.Hour {
		layout = "2006-01-02"
	} else if a.width >= time.Minute {
		layout = "15:04"
	}
	var list []plot.Tick
	step := max(1, (a.n+timeTicks-1)/timeTicks)
	for i := 0; i <= a.n; i += step {
		list = append(list, plot.Tick{Value: float64(i), Label: a.from.Add(time.Duration(i) * a.width).Format(layout)})
	}
	return list
}

// countTicks labels an axis of counts with short numbers, without fractions.
func countTicks(low, high float64) []plot.Tick {
	var list []plot.Tick
	for _, t := range (plot.DefaultTicks{}).Ticks(low, high) {
		if t.Label == "" || t.Value != math.Trunc(t.Value) {
			continue
		}
		list = append(list, plot.Tick{Value: t.Value, Label: formatShort(t.Value)})
	}
	return list
}

func formatShort(v float64) string {
	for _, unit := range []struct {
		size float64
		name string
	}{{1e9, " G"}, {1e6, " M"}, {1e3, " k"}} {
		if math.Abs(v) >= unit.size {
			return fmt.Sprintf("%.4g%s", v/unit.size, unit.name)
		}
	}
	return fmt.Sprintf("%.4g", v)
}

// lines draws a line for each series. With marks, events are drawn above the lines.
func (a axis) lines(list []analyzer.Series, marks bool) (template.HTML, error) {
	p, legend := a.newPlot(), newLegend()
	var top int64 = 1
	for i, one := range list {
		style := styles[i%len(styles)]
		all, some := make(plotter.XYs, len(one.Values)), plotter.XYs{}
		for b, n := range one.Values {
			all[b] = plotter.XY{X: float64(b) + 0.5, Y: float64(n)}
			top = max(top, n)
			// The glyphs of different lines stand at different times.
			if step := max(1, len(one.Values)/glyphs); b%step == i%step && n != 0 {
				some = append(some, all[b])
			}
		}
		line := &plotter.Line{XYs: all, LineStyle: draw.LineStyle{Color: style.color, Width: 1.3, Dashes: style.dashes}}
		points := newGlyphs(some, style.color, style.glyph)
		p.Add(line, points)
		legend.Add(label(one.Name)+": "+formatNumber(one.Total), line, points)
	}
	p.Y.Min, p.Y.Max = 0, float64(top)
	n := len(list)
	if marks {
		p.Y.Max *= 1.15
		for _, style := range markStyles[:3] {
			points := a.marksOf(style.kind, p.Y.Max*0.97, style.color, style.glyph)
			p.Add(points)
			legend.Add("above: "+markNames[style.kind], points)
			n++
		}
	}
	return a.render(p, legend, n)
}

// markNames are the names of the kinds of events in charts.
var markNames = map[analyzer.EventKind]string{
	analyzer.EventStart: "start", analyzer.EventStop: "stop", analyzer.EventLost: "dependency lost", analyzer.EventRegained: "regained",
}

// events draws a row of glyphs for each kind of event.
func (a axis) events() (template.HTML, error) {
	p, legend := a.newPlot(), newLegend()
	var rows []plot.Tick
	for i, style := range markStyles {
		y := float64(len(markStyles) - i)
		p.Add(a.marksOf(style.kind, y, style.color, style.glyph))
		rows = append(rows, plot.Tick{Value: y, Label: markNames[style.kind]})
	}
	p.Y.Min, p.Y.Max = 0.5, float64(len(markStyles))+0.5
	p.Y.Tick.Marker = plot.ConstantTicks(rows)
	return a.render(p, legend, 0)
}

// marksOf returns a glyph for each bucket with an event of the kind.
func (a axis) marksOf(kind analyzer.EventKind, y float64, c color.Color, glyph draw.GlyphDrawer) *plotter.Scatter {
	var list plotter.XYs
	for _, one := range a.marks {
		for b, n := range one.Values {
			if one.Name == string(kind) && n > 0 {
				list = append(list, plotter.XY{X: float64(b) + 0.5, Y: y})
			}
		}
	}
	return newGlyphs(list, c, glyph)
}

func newGlyphs(list plotter.XYs, c color.Color, glyph draw.GlyphDrawer) *plotter.Scatter {
	return &plotter.Scatter{XYs: list, GlyphStyle: draw.GlyphStyle{Color: c, Radius: 2.6, Shape: glyph}}
}

func newLegend() plot.Legend {
	legend := plot.NewLegend()
	legend.Left, legend.Top, legend.ThumbnailWidth = true, true, 34
	legend.TextStyle.Font, legend.Padding = textFont, legendPadding
	return legend
}

// render returns the chart as an SVG element, with n rows of its legend below it.
func (a axis) render(p *plot.Plot, legend plot.Legend, n int) (template.HTML, error) {
	below := vg.Length(n) * legendRow
	p.X.Min, p.X.Max = 0, float64(max(1, a.n))
	canvas := vgsvg.New(chartWidth, chartHeight+below)
	all := draw.New(canvas)
	p.Draw(draw.Crop(all, 0, -textSize, below, 0))
	legend.Draw(draw.Crop(all, textSize, 0, 0, -chartHeight))
	var buf bytes.Buffer
	if _, err := canvas.WriteTo(&buf); err != nil {
		return "", fmt.Errorf("write chart: %w", err)
	}
	text := buf.String()
	start := strings.Index(text, "<svg")
	if start < 0 {
		return "", errors.New("chart is not an SVG element")
	}
	return template.HTML(text[start:]), nil // the canvas escapes texts
}

// label returns a name as it can stand in a chart: an SVG element can't have control
// characters, and its fonts lack many others.
func label(name string) string {
	name = strings.Map(func(r rune) rune {
		if !unicode.IsPrint(r) || r == unicode.ReplacementChar {
			return '?'
		}
		return r
	}, name)
	if text := []rune(name); len(text) > maxLabel {
		name = string(text[:maxLabel]) + "..."
	}
	return name
}
