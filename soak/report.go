package soak

import (
	"encoding/json"
	"fmt"
	"html/template"
	"io"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
)

// WriteText writes a report for people.
func (r *Report) WriteText(w io.Writer) error {
	var sum SecondCounts
	for _, s := range r.Seconds {
		sum.Answered += s.Answered
		sum.NotRun += s.NotRun
		sum.Unknown += s.Unknown
	}
	_, err := fmt.Fprintf(w, "seed %d: %d processes, %v, %d faults, %d answered, %d not run, %d unknown, %d resets, %d violations\n",
		r.Seed, r.Processes, r.For, len(r.Plan), sum.Answered, sum.NotRun, sum.Unknown, r.Resets, len(r.Violations))
	for _, v := range r.Violations {
		if err == nil {
			_, err = fmt.Fprintf(w, "  %8.3f s  %s: %s\n", v.At.Seconds(), v.Promise, v.Detail)
		}
	}
	return errors.Wrap(err, "soak: report")
}

// Save writes the report as JSON and as a plot into a folder.
func (r *Report) Save(dir string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.Wrap(err, "soak: report")
	}
	if err := os.WriteFile(filepath.Join(dir, "report.json"), append(data, '\n'), 0o644); err != nil {
		return errors.Wrap(err, "soak: report")
	}
	f, err := os.Create(filepath.Join(dir, "service.svg"))
	if err != nil {
		return errors.Wrap(err, "soak: plot")
	}
	defer f.Close()
	return errors.Wrap(plot.Execute(f, r.plotData()), "soak: plot")
}

// The measures of the plot in pixels.
const (
	plotSecond = 24
	plotHeight = 160
	plotRow    = 12
)

type plotBar struct {
	X, Y, Height int
	Color        string
}

type plotMark struct {
	X, Y int
	Text string
}

type plotData struct {
	Width, Height, Base int
	Bars                []plotBar
	Marks               []plotMark
}

// plotData stacks what callers saw in each second, and marks the faults below.
func (r *Report) plotData() plotData {
	most := 1
	for _, s := range r.Seconds {
		most = max(most, s.Answered+s.NotRun+s.Unknown)
	}
	d := plotData{Width: plotSecond * (len(r.Seconds) + 6), Base: plotHeight, Height: plotHeight + plotRow*(len(r.Plan)+1)}
	for i, s := range r.Seconds {
		y := plotHeight
		for _, part := range []struct {
			n     int
			color string
		}{{s.Answered, "#4a8"}, {s.NotRun, "#db4"}, {s.Unknown, "#c54"}} {
			height := part.n * plotHeight / most
			y -= height
			d.Bars = append(d.Bars, plotBar{X: i * plotSecond, Y: y, Height: height, Color: part.color})
		}
	}
	for i, f := range r.Plan {
		d.Marks = append(d.Marks, plotMark{X: int(f.At.Seconds() * plotSecond), Y: plotHeight + plotRow*(i+1), Text: string(f.Kind)})
	}
	return d
}

var plot = template.Must(template.New("plot").Parse(`<svg xmlns="http://www.w3.org/2000/svg" width="{{.Width}}" height="{{.Height}}" font-size="10" font-family="sans-serif">
{{$d := .}}{{range .Bars}}<rect x="{{.X}}" y="{{.Y}}" width="22" height="{{.Height}}" fill="{{.Color}}"/>
{{end}}{{range .Marks}}<line x1="{{.X}}" y1="0" x2="{{.X}}" y2="{{.Y}}" stroke="#999" stroke-width="0.5"/><text x="{{.X}}" y="{{.Y}}">{{.Text}}</text>
{{end}}</svg>
`))
