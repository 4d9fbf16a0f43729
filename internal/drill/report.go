package drill

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"html/template"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

//go:embed report.html.tmpl
var reportTemplate string

// parsedReport parses the report's templates on first use, so that processes that run no drill don't pay for it.
var parsedReport = sync.OnceValue(func() *template.Template {
	return template.Must(template.New("report").Parse(reportTemplate))
})

// Dimensions of the timeline, in pixels.
const (
	rowHeight   = 22
	chartWidth  = 960
	chartMargin = 90
)

// bar is a span of one process in the timeline.
type bar struct {
	X, Y, W int
	Kind    string
	Tip     string
}

// mark is a point in time: a fault or a tick of the time axis.
type mark struct {
	X, Y int
	Tip  string
}

// row is the label of a process.
type row struct {
	Y    int
	Name string
}

// chart is the data of the timeline's template, in pixels.
type chart struct {
	Width, Height, Bottom, Margin int
	Rows                          []row
	Bars                          []bar
	Marks                         []mark
	Ticks                         []mark
}

// timeline lays out which processes acted and led when, and when each fault was caused.
func (r *Result) timeline() chart {
	names := map[string]bool{}
	for _, span := range r.Spans {
		names[span.Name] = true
	}
	timeline := chart{Width: chartWidth + chartMargin + 10, Margin: chartMargin}
	x := func(t time.Duration) int {
		return chartMargin + int(int64(chartWidth)*int64(max(t, 0))/int64(max(r.EndedAt, 1)))
	}
	y := map[string]int{}
	for i, name := range slices.Sorted(maps.Keys(names)) {
		y[name] = 20 + i*rowHeight
		timeline.Rows = append(timeline.Rows, row{y[name] + 13, name})
	}
	timeline.Bottom = 20 + len(names)*rowHeight + 10
	timeline.Height = timeline.Bottom + 30
	for _, span := range r.Spans {
		timeline.Bars = append(timeline.Bars, bar{
			x(span.From), y[span.Name], max(x(span.To)-x(span.From), 2), fmt.Sprintf("%s%d", span.Kind, span.Number%2),
			fmt.Sprintf("%s: %s %d, %.2f s to %.2f s",
				span.Name, span.Kind, span.Number, (span.From - r.FormedAt).Seconds(), (span.To - r.FormedAt).Seconds()),
		})
	}
	for _, event := range r.Happened {
		timeline.Marks = append(timeline.Marks, mark{
			x(event.At), timeline.Bottom,
			fmt.Sprintf("%.2f s: %s (%s)", (event.At - r.FormedAt).Seconds(), event.What, strings.Join(event.Who, " ")),
		})
	}
	step := max(time.Second, (r.EndedAt / 20).Round(time.Second))
	for t := time.Duration(0); r.FormedAt+t <= r.EndedAt; t += step {
		timeline.Ticks = append(timeline.Ticks, mark{x(r.FormedAt + t), timeline.Bottom + 18, fmt.Sprint(t)})
	}
	return timeline
}

// Write writes a result to verdict.json, timeline.svg and index.html in dir, next to the processes' logs.
func (r *Result) Write(dir string) error {
	b, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "verdict.json"), append(b, '\n'), 0o644); err != nil {
		return err
	}
	data := map[string]any{"R": r, "Chart": r.timeline()}
	for name, file := range map[string]string{"svg": "timeline.svg", "html": "index.html"} {
		var text strings.Builder
		if err := parsedReport().ExecuteTemplate(&text, name, data); err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(dir, file), []byte(text.String()), 0o644); err != nil {
			return err
		}
	}
	return nil
}
