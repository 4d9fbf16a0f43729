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
var pages embed.FS

var page = template.Must(template.New("report.html.tmpl").Funcs(template.FuncMap{
	"at": func(us int64) string { r := Record{At: us}; return r.Time().Format("2006-01-02 15:04:05.000") },
}).ParseFS(pages, "report.html.tmpl"))

// pointsMost spans a report's time is divided into.
const pointsMost = 240

// Page is a report about one file.
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

	every                     int64
	time, class, server, whys *Summary
	rates                     map[string]plotter.XYs
	lastRate                  map[string]int64
}

// NewPage begins a report on a file with this index.
func NewPage(meta Meta, x *Index) (*Page, error) {
	r := &Page{Meta: meta, rates: map[string]plotter.XYs{}, lastRate: map[string]int64{}}
	for i, b := range x.Blocks {
		if i == 0 || b.From < r.From {
			r.From = b.From
		}
		r.To = max(r.To, b.To)
		r.Records += b.Count
	}
	r.every = max(1_000_000, (r.To-r.From)/pointsMost+1)
	var err error
	for _, one := range []struct {
		s     **Summary
		by    string
		every int64
	}{{&r.time, "", r.every}, {&r.class, ByClass, 0}, {&r.server, ByServer, 0}, {&r.whys, ByReason, 0}} {
		if *one.s, err = NewSummary(meta, one.by, one.every); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// Take adds a record.
func (r *Page) Take(rec *Record) {
	for _, s := range []*Summary{r.time, r.class, r.server, r.whys} {
		s.Take(rec)
	}
	if rec.Kind == Decision && rec.S[Server] != "" && rec.N[RateMilli] >= 0 && rec.At-r.lastRate[rec.S[Server]] >= r.every {
		r.lastRate[rec.S[Server]] = rec.At
		r.rates[rec.S[Server]] = append(r.rates[rec.S[Server]], plotter.XY{X: float64(rec.At-r.From) / 1e6, Y: float64(rec.N[RateMilli]) / 1000})
	}
	switch rec.Kind {
	case Listed:
		if state := threadglade.ServerState(rec.N[State]); state != threadglade.Up && len(r.Notes) < 200 {
			word := "drains"
			if state == threadglade.Removed {
				word = "is gone"
			}
			r.Notes = append(r.Notes, rec.Time().Format("15:04:05.000")+" "+rec.S[Router]+": server "+rec.S[Server]+" "+word)
		}
	case Gap, Reload, Start:
		if len(r.Notes) < 200 {
			r.Notes = append(r.Notes, rec.Time().Format("15:04:05.000")+" "+rec.S[Router]+": "+rec.Kind.String())
		}
	}
}

var colours = []color.Color{color.RGBA{31, 119, 180, 255}, color.RGBA{214, 39, 40, 255}, color.RGBA{44, 160, 44, 255}, color.RGBA{148, 103, 189, 255},
	color.RGBA{255, 127, 14, 255}, color.RGBA{23, 190, 207, 255}, color.RGBA{140, 86, 75, 255}, color.RGBA{127, 127, 127, 255}}

// draw plots lines as SVG.
func draw(title, y string, lines map[string]plotter.XYs) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "seconds", y
	p.Legend.Top = true
	names := slices.SortedFunc(maps.Keys(lines), func(a, b string) int { return cmp.Compare(a, b) })
	for i, name := range names[:min(len(names), len(colours))] {
		l, err := plotter.NewLine(lines[name])
		if err != nil {
			return "", err
		}
		l.Color, l.Width = colours[i], vg.Points(1.2)
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
		text = text[at:] // without the head of a file of its own
	}
	return template.HTML(text), nil // the plot's own drawing; names in it are escaped by it
}

// HTML writes the page; it needs nothing beside it.
func (r *Page) HTML(w io.Writer) (err error) {
	r.Classes, r.Servers, r.Reasons = r.class.Groups(), r.server.Groups(), r.whys.Groups()
	service, answers := map[string]plotter.XYs{}, map[string]plotter.XYs{}
	add := func(m map[string]plotter.XYs, name string, x, y float64) {
		m[name] = append(m[name], plotter.XY{X: x, Y: y})
	}
	span := float64(r.every) / 1e6
	for _, g := range r.time.Groups() {
		x := float64(g.From-r.From) / 1e6
		if g.Worth > 0 {
			add(service, "earned / offered", x, g.Earned/g.Worth)
		}
		add(answers, "offered", x, float64(g.Offered)/span)
		add(answers, "stood", x, float64(g.Stood)/span)
		add(answers, "refused", x, float64(g.Refused)/span)
		add(answers, "failed", x, float64(g.Failed)/span)
	}
	if r.Service, err = draw("Service", "worth earned over offered", service); err != nil {
		return err
	}
	if r.Answers, err = draw("Requests and answers", "a second", answers); err != nil {
		return err
	}
	if len(r.rates) > 0 {
		if r.Rates, err = draw("Admission rates of controlled servers", "calls a second", r.rates); err != nil {
			return err
		}
	}
	return page.Execute(w, r)
}
