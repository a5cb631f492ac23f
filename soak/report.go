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

// WriteText writes a summary line, and a line for each violation, for people to read.
func (r *Report) WriteText(w io.Writer) error {
	var total SecondCounts
	for _, s := range r.Seconds {
		total.Answered += s.Answered
		total.NotRun += s.NotRun
		total.Unknown += s.Unknown
	}
	_, err := fmt.Fprintf(w, "seed %d: %d processes, %v, %d faults, %d answered, %d not run, %d unknown, %d resets, %d refused, %d violations\n",
		r.Seed, r.Processes, r.Duration, len(r.Plan), total.Answered, total.NotRun, total.Unknown, r.Resets, r.Refused, len(r.Violations))
	for _, v := range r.Violations {
		if err == nil {
			_, err = fmt.Fprintf(w, "  %8.3f s  %s: %s\n", v.At.Seconds(), v.Promise, v.Detail)
		}
	}
	return errors.Wrap(err, "soak: report")
}

// Save writes the report into dir, as report.json and as the plot service.svg.
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
	return errors.Wrap(plotTemplate.Execute(f, r.newPlotData()), "soak: plot")
}

// Sizes of the plot, in pixels.
const (
	plotSecondWidth = 24  // width of a second on the time axis
	plotHeight      = 160 // height of the bars
	plotRowHeight   = 12  // height of a row of the list of faults
)

// plotBar is the part of a second's bar that shows one outcome. Its sizes are in pixels.
type plotBar struct {
	X, Y, Height int
	Color        string
}

// plotMark is a vertical line at the start of a fault, with the fault's kind as its label.
type plotMark struct {
	X, Y int
	Text string
}

// plotData is the input of plotTemplate. Its sizes are in pixels.
type plotData struct {
	// Width and Height are the size of the plot; Base is the Y coordinate of the bars' lower end.
	Width, Height, Base int
	Bars                []plotBar
	Marks               []plotMark
}

// newPlotData returns a stacked bar of the outcomes for each second, and a mark for each fault.
func (r *Report) newPlotData() plotData {
	maxTotal := 1
	for _, s := range r.Seconds {
		maxTotal = max(maxTotal, s.Answered+s.NotRun+s.Unknown)
	}
	d := plotData{Width: plotSecondWidth * (len(r.Seconds) + 6), Base: plotHeight, Height: plotHeight + plotRowHeight*(len(r.Plan)+1)}
	for i, s := range r.Seconds {
		y := plotHeight
		for _, part := range []struct {
			count int
			color string
		}{{s.Answered, "#4a8"}, {s.NotRun, "#db4"}, {s.Unknown, "#c54"}} {
			height := part.count * plotHeight / maxTotal
			y -= height
			d.Bars = append(d.Bars, plotBar{X: i * plotSecondWidth, Y: y, Height: height, Color: part.color})
		}
	}
	for i, f := range r.Plan {
		d.Marks = append(d.Marks, plotMark{X: int(f.At.Seconds() * plotSecondWidth), Y: plotHeight + plotRowHeight*(i+1), Text: string(f.Kind)})
	}
	return d
}

var plotTemplate = template.Must(template.New("plot").Parse(`<svg xmlns="http://www.w3.org/2000/svg" width="{{.Width}}" height="{{.Height}}" font-size="10" font-family="sans-serif">
{{$d := .}}{{range .Bars}}<rect x="{{.X}}" y="{{.Y}}" width="22" height="{{.Height}}" fill="{{.Color}}"/>
{{end}}{{range .Marks}}<line x1="{{.X}}" y1="0" x2="{{.X}}" y2="{{.Y}}" stroke="#999" stroke-width="0.5"/><text x="{{.X}}" y="{{.Y}}">{{.Text}}</text>
{{end}}</svg>
`))
