package ledger

import (
	"embed"
	"encoding/csv"
	"html/template"
	"io"
	"strconv"
	"time"
)

//go:embed report.html.tmpl
var pages embed.FS

var page = template.Must(template.New("report.html.tmpl").Funcs(template.FuncMap{
	"at":    at,
	"hours": func(ms int64) string { return strconv.FormatFloat(float64(ms)/3_600_000, 'f', 2, 64) },
	"worth": func(milli int64) string { return strconv.FormatFloat(float64(milli)/1000, 'f', 3, 64) },
	"short": func(id string) string { return id[:min(len(id), 12)] },
}).ParseFS(pages, "report.html.tmpl"))

// Report is what a merge has found, for people.
type Report struct {
	Made     time.Time
	Exports  []*Export
	Rows     []Row
	Total    Usage
	Findings []Finding
	Calls    uint64 // that stood, listed one by one
}

// Figure names a field in templates.
func (r Row) Figure(name string) int64 { return figure(&r.Mended, name) }

// Mend is by how much a field was corrected since its period was stated.
func (r Row) Mend(name string) int64 { return figure(&r.Mended, name) - figure(&r.Stated, name) }

// Sum names a field of the total.
func (r Report) Sum(name string) int64 { return figure(&r.Total, name) }

// Shown is the fields that the page has columns for.
func (Report) Shown() []string {
	return []string{"offered", "repeats", "stood_in_time", "stood_late", "refused", "failed", "left", "unknown"}
}

func figure(u *Usage, name string) int64 {
	f, err := ParseField(name)
	if err != nil {
		return 0
	}
	return u[f]
}

// HTML writes the report as one page that needs nothing beside it.
func (r Report) HTML(w io.Writer) error { return page.Execute(w, r) }

// CSV writes one line a period, tenant and class, with every field as stated and as mended.
func (r Report) CSV(w io.Writer) error {
	c := csv.NewWriter(w)
	head := []string{"period", "tenant", "class"}
	for f := range Fields {
		head = append(head, f.String())
	}
	for f := range Fields {
		head = append(head, "stated_"+f.String())
	}
	c.Write(head)
	for _, row := range r.Rows {
		line := []string{at(row.Period), row.Tenant, row.Class}
		for _, u := range []*Usage{&row.Mended, &row.Stated} {
			for _, n := range u {
				line = append(line, strconv.FormatInt(n, 10))
			}
		}
		c.Write(line)
	}
	c.Flush()
	return c.Error()
}
