package fleet

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	vgdraw "gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"ternbeam/internal/lab/standin"
)

// curve is one line of a plot.
type curve struct {
	name   string
	points plotter.XYs
}

// curveInterval is the distance between the points of a curve.
const curveInterval = 250 * time.Millisecond

// rateCurve returns the rate per second of the events that match.
func rateCurve(name string, events []Event, end time.Duration, matches func(Event) bool) curve {
	c := curve{name: name, points: make(plotter.XYs, int(end/curveInterval)+1)}
	for i := range c.points {
		c.points[i].X = (time.Duration(i) * curveInterval).Seconds()
	}
	for _, e := range events {
		if at := int(e.At / curveInterval); matches(e) && at < len(c.points) {
			c.points[at].Y += 1 / curveInterval.Seconds()
		}
	}
	return c
}

// watchCurve returns the number of agents that hold a watch.
func watchCurve(events []Event, end time.Duration) curve {
	c := curve{name: "hold a watch"}
	open, holding := map[int]int{}, 0
	for _, e := range events {
		if e.Kind != WatchStarted && e.Kind != WatchEnded {
			continue
		}
		c.points = append(c.points, plotter.XY{X: e.At.Seconds(), Y: float64(holding)})
		if e.Kind == WatchStarted {
			if open[e.Agent]++; open[e.Agent] == 1 {
				holding++
			}
		} else if open[e.Agent]--; open[e.Agent] == 0 {
			holding--
		}
		c.points = append(c.points, plotter.XY{X: e.At.Seconds(), Y: float64(holding)})
	}
	c.points = append(c.points, plotter.XY{X: end.Seconds(), Y: float64(holding)})
	return c
}

// curveColors can be distinguished in print, on dark backgrounds and by most color-blind readers.
var curveColors = []color.Color{color.RGBA{0, 114, 178, 255}, color.RGBA{213, 94, 0, 255}, color.RGBA{0, 158, 115, 255}, color.RGBA{204, 121, 167, 255},
	color.RGBA{130, 130, 130, 255}}

// faultColor is the background color of the time in which a fault lasts.
var faultColor = color.RGBA{150, 150, 150, 60}

// drawSVG draws curves as an SVG element, with the times of faults marked.
func drawSVG(title, unit string, events []Event, end time.Duration, curves ...curve) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "s", unit
	p.X.Min, p.X.Max, p.Y.Min, p.Y.Max = 0, end.Seconds(), 0, 1
	gray := color.Gray{128}
	p.BackgroundColor = color.Transparent
	for _, a := range []*plot.Axis{&p.X, &p.Y} {
		a.Color, a.Label.TextStyle.Color, a.Tick.Color, a.Tick.Label.Color = gray, gray, gray, gray
	}
	p.Title.TextStyle.Color, p.Legend.TextStyle.Color = gray, gray
	p.Legend.Top, p.Legend.Padding = true, vg.Points(2)
	for _, c := range curves {
		for _, xy := range c.points {
			p.Y.Max = max(p.Y.Max, 1.1*xy.Y)
		}
	}
	for _, s := range faultSpans(events, end) {
		area, err := plotter.NewPolygon(plotter.XYs{{X: s.from.Seconds(), Y: 0}, {X: s.from.Seconds(), Y: p.Y.Max}, {X: s.to.Seconds(), Y: p.Y.Max}, {X: s.to.Seconds(), Y: 0}})
		if err != nil {
			return "", err
		}
		area.Color, area.LineStyle.Width = faultColor, vg.Points(0.5)
		area.LineStyle.Color = faultColor
		p.Add(area)
	}
	for i, c := range curves {
		line, err := plotter.NewLine(c.points)
		if err != nil {
			return "", err
		}
		line.Color, line.Width = curveColors[i%len(curveColors)], vg.Points(1.2)
		p.Add(line)
		p.Legend.Add(c.name, line)
	}
	canvas := vgsvg.New(9*vg.Inch, 2.6*vg.Inch)
	p.Draw(vgdraw.New(canvas))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", err
	}
	text := out.Bytes()
	if at := bytes.Index(text, []byte("<svg")); at > 0 { // the XML header must not be inside an HTML page
		text = text[at:]
	}
	return template.HTML(text), nil
}

// faultSpans returns the spans in which at least one injected fault lasted.
func faultSpans(events []Event, end time.Duration) (all []span) {
	open, from := 0, time.Duration(0)
	for _, e := range events {
		switch {
		case e.Kind == FaultStarted:
			if open == 0 {
				from = e.At
			}
			open++
		case e.Kind == FaultEnded && open > 0:
			if open--; open == 0 {
				all = append(all, span{from, e.At})
			}
		}
	}
	if open > 0 {
		all = append(all, span{from, end})
	}
	return all
}

var reportPage = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>A fleet of {{.R.Scenario.Agents}} agents</title>
<style>
:root { color-scheme: light dark } body { font: 15px/1.45 system-ui, sans-serif; max-width: 62rem; margin: 2rem auto; padding: 0 1rem }
table { border-collapse: collapse; font-variant-numeric: tabular-nums; margin: 1rem 0 } td, th { padding: .2rem .7rem; text-align: right; border-bottom: 1px solid #8886 }
td:first-child, th:first-child { text-align: left } svg { width: 100%; height: auto; margin: .6rem 0 } .bad { color: #d55e00 } @media print { body { margin: 0 } }
</style>
<h1>{{.R.Scenario.Agents}} agents, {{.R.Scenario.Servers}} servers</h1>
<p>{{if .R.Void}}<b class="bad">Void: {{.R.Void}}.</b>{{else if .R.Faults}}<b class="bad">{{len .R.Faults}} expectations violated.</b>{{else}}<b>All expectations are met and no rule is violated.</b>{{end}}
The list service needs {{.R.Scenario.All}} to answer all agents and gives up a call that has waited {{.R.Scenario.Patience}}; seed {{.R.Scenario.Seed}}. Grey: injected faults.</p>
{{if .R.Faults}}<ul class="bad">{{range .R.Faults}}<li>{{.}}</li>{{end}}</ul>{{end}}
<table><tr><th>step<th>hold a watch<th>all after<th>serve<th>all after<th>calls<th>given up<th>max. of one agent<th>while down<th>datagrams/s<th>bytes/s</tr>
{{range .R.Steps}}<tr><td>{{.Step.Name}}<td>{{.Holding}}<td>{{printf "%.1f s" .All.Seconds}}<td>{{.Serving}}<td>{{printf "%.1f s" .ServedBy.Seconds}}<td>{{.Calls}}<td>{{.GivenUp}}<td>{{.Most}}<td>{{.Down}}<td>{{printf "%.1f" .Datagrams}}<td>{{printf "%.0f" .Bytes}}</tr>
{{end}}</table>
<p>Highest load of a cold server: {{printf "%.2f" .R.Push}} times its capacity. Longest sending after a drain: {{.R.Behind}}. Duplicate effects: {{.R.Doubles}}. Stalls of the machine: {{.R.Stalls}}, longest {{.R.Stood}}.</p>
{{range .Plots}}{{.}}
{{end}}</html>
`))

// HTML writes the report as a self-contained page: the scenario's main figures, the verdict, the table and curves over time.
func (r *Report) HTML(w io.Writer) error {
	end := time.Second
	if n := len(r.Events); n > 0 {
		end = max(end, r.Events[n-1].At)
	}
	called := func(how string) curve {
		return rateCurve(how, r.Events, end, func(e Event) bool { return e.Kind == ListCalled && e.Said == how })
	}
	answered := func(how string) curve {
		return rateCurve(how, r.Events, end, func(e Event) bool { return e.Kind == KioskAnswered && e.Said == how })
	}
	plots := []struct {
		title, unit string
		curves      []curve
	}{
		{"Agents that hold a watch", "agents", []curve{watchCurve(r.Events, end)}},
		{"Calls to the list service", "per second", []curve{called(Answered), called(GivenUp), called(Down)}},
	}
	if r.Scenario.Kiosks.Rate > 0 {
		plots = append(plots, struct {
			title, unit string
			curves      []curve
		}{"Answers to kiosks", "per second", []curve{answered(standin.Served.String()), answered(standin.Refused.String()), answered(standin.Failed.String()),
			answered(standin.Lost.String()), answered(Unreachable)}})
	}
	data := struct {
		R     *Report
		Plots []template.HTML
	}{R: r}
	for _, p := range plots {
		drawn, err := drawSVG(p.title, p.unit, r.Events, end, p.curves...)
		if err != nil {
			return fmt.Errorf("drawing %q: %w", p.title, err)
		}
		data.Plots = append(data.Plots, drawn)
	}
	return reportPage.Execute(w, data)
}
