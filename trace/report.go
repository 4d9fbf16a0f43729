package trace

import (
	"bytes"
	"cmp"
	"embed"
	"html/template"
	"image/color"
	"io"
	"maps"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	drawing "gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"threadglade.example/threadglade"
)

//go:embed report.html.tmpl
var templateFiles embed.FS

var pageTemplate = template.Must(template.New("report.html.tmpl").Funcs(template.FuncMap{
	"at": func(us int64) string { r := Record{At: us}; return r.Time().Format("2006-01-02 15:04:05.000") },
}).ParseFS(templateFiles, "report.html.tmpl"))

// maxPoints is the largest number of intervals that a report's time is divided into.
const maxPoints = 240

// Page is an HTML report on one file. Its exported fields are the data of the template. It isn't safe for concurrent
// use.
type Page struct {
	Meta     Meta
	From, To int64
	Records  int
	Service  template.HTML
	Answers  template.HTML
	Rates    template.HTML
	Classes  []*Group
	Servers  []*Group
	Reasons  []*Group
	Notes    []string

	interval                                                int64 // microseconds
	timeSummary, classSummary, serverSummary, reasonSummary *Summary
	rates                                                   map[string]plotter.XYs
	lastRateTime                                            map[string]int64
}

// NewPage returns an empty report on the file with the given metadata and index.
func NewPage(meta Meta, index *Index) (*Page, error) {
	page := &Page{Meta: meta, rates: map[string]plotter.XYs{}, lastRateTime: map[string]int64{}}
	for i, b := range index.Blocks {
		if i == 0 || b.From < page.From {
			page.From = b.From
		}
		page.To = max(page.To, b.To)
		page.Records += b.Count
	}
	page.interval = max(1_000_000, (page.To-page.From)/maxPoints+1)
	var err error
	for _, summary := range []struct {
		s     **Summary
		by    string
		every int64
	}{{&page.timeSummary, "", page.interval}, {&page.classSummary, ByClass, 0}, {&page.serverSummary, ByServer, 0},
		{&page.reasonSummary, ByReason, 0}} {
		if *summary.s, err = NewSummary(meta, summary.by, summary.every); err != nil {
			return nil, err
		}
	}
	return page, nil
}

// Add adds the next record.
func (r *Page) Add(record *Record) {
	for _, s := range []*Summary{r.timeSummary, r.classSummary, r.serverSummary, r.reasonSummary} {
		s.Add(record)
	}
	if record.Kind == Decision && record.Texts[Server] != "" && record.Figures[RateMilli] >= 0 &&
		record.At-r.lastRateTime[record.Texts[Server]] >= r.interval {
		r.lastRateTime[record.Texts[Server]] = record.At
		r.rates[record.Texts[Server]] = append(r.rates[record.Texts[Server]],
			plotter.XY{X: float64(record.At-r.From) / 1e6, Y: float64(record.Figures[RateMilli]) / 1000})
	}
	switch record.Kind {
	case ListEntry:
		if state := threadglade.ServerState(record.Figures[State]); state != threadglade.Up && len(r.Notes) < 200 {
			change := "is draining"
			if state == threadglade.Removed {
				change = "was removed"
			}
			r.Notes = append(r.Notes,
				record.Time().Format("15:04:05.000")+" "+record.Texts[Router]+": server "+record.Texts[Server]+" "+change)
		}
	case Gap, Reload, Start:
		if len(r.Notes) < 200 {
			r.Notes = append(r.Notes, record.Time().Format("15:04:05.000")+" "+record.Texts[Router]+": "+record.Kind.String())
		}
	}
}

// lineColors are the colours of a chart's lines, in order of their names.
var lineColors = []color.Color{
	color.RGBA{31, 119, 180, 255},
	color.RGBA{214, 39, 40, 255},
	color.RGBA{44, 160, 44, 255},
	color.RGBA{148, 103, 189, 255},
	color.RGBA{255, 127, 14, 255},
	color.RGBA{23, 190, 207, 255},
	color.RGBA{140, 86, 75, 255},
	color.RGBA{127, 127, 127, 255},
}

// drawChart draws lines as an SVG image.
func drawChart(title, yLabel string, lines map[string]plotter.XYs) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "seconds", yLabel
	p.Legend.Top = true
	names := slices.SortedFunc(maps.Keys(lines), func(a, b string) int { return cmp.Compare(a, b) })
	for i, name := range names[:min(len(names), len(lineColors))] {
		l, err := plotter.NewLine(lines[name])
		if err != nil {
			return "", err
		}
		l.Color, l.Width = lineColors[i], vg.Points(1.2)
		p.Add(l)
		p.Legend.Add(name, l)
	}
	p.Y.Min = min(0, p.Y.Min)
	canvas := vgsvg.New(24*vg.Centimeter, 7*vg.Centimeter)
	p.Draw(drawing.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", err
	}
	text := b.Bytes()
	if at := bytes.Index(text, []byte("<svg")); at > 0 {
		text = text[at:] // an SVG element within HTML has no XML header
	}
	return template.HTML(text), nil // safe: the SVG writer escapes names
}

// WriteHTML writes the report as a self-contained page. It is called once, after all records were added.
func (r *Page) WriteHTML(w io.Writer) (err error) {
	r.Classes, r.Servers, r.Reasons =
		r.classSummary.Groups(), r.serverSummary.Groups(), r.reasonSummary.Groups()
	service, answers := map[string]plotter.XYs{}, map[string]plotter.XYs{}
	add := func(m map[string]plotter.XYs, name string, x, y float64) {
		m[name] = append(m[name], plotter.XY{X: x, Y: y})
	}
	intervalSeconds := float64(r.interval) / 1e6
	for _, g := range r.timeSummary.Groups() {
		x := float64(g.From-r.From) / 1e6
		if g.Worth > 0 {
			add(service, "earned / offered", x, g.Earned/g.Worth)
		}
		add(answers, "offered", x, float64(g.Offered)/intervalSeconds)
		add(answers, "stood", x, float64(g.Stood)/intervalSeconds)
		add(answers, "refused", x, float64(g.Refused)/intervalSeconds)
		add(answers, "failed", x, float64(g.Failed)/intervalSeconds)
	}
	if r.Service, err = drawChart("Service", "worth earned over offered", service); err != nil {
		return err
	}
	if r.Answers, err = drawChart("Requests and answers", "per second", answers); err != nil {
		return err
	}
	if len(r.rates) > 0 {
		if r.Rates, err = drawChart("Admission rates of controlled servers", "calls per second", r.rates); err != nil {
			return err
		}
	}
	return pageTemplate.Execute(w, r)
}
