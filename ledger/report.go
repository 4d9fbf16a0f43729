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
var templateFiles embed.FS

var pageTemplate = template.Must(template.New("report.html.tmpl").Funcs(template.FuncMap{
	"at":    formatTime,
	"hours": func(ms int64) string { return strconv.FormatFloat(float64(ms)/3_600_000, 'f', 2, 64) },
	"worth": func(milli int64) string { return strconv.FormatFloat(float64(milli)/1000, 'f', 3, 64) },
	"short": func(id string) string { return id[:min(len(id), 12)] },
}).ParseFS(templateFiles, "report.html.tmpl"))

// Report is the result of a merge, to be written as HTML or CSV.
type Report struct {
	Made     time.Time // when the report was made
	Exports  []*Export
	Rows     []Row
	Total    Usage
	Findings []Finding
	Calls    uint64 // number of calls that the exports list
}

// Figure returns the corrected value of the field with a name, or 0 for an unknown name. It is for the template.
func (r Row) Figure(name string) int64 { return figureByName(&r.Mended, name) }

// Mend returns the sum of the corrections of the field with a name. It is for the template.
func (r Row) Mend(name string) int64 {
	return figureByName(&r.Mended, name) - figureByName(&r.Stated, name)
}

// Sum returns the total of the field with a name. It is for the template.
func (r Report) Sum(name string) int64 { return figureByName(&r.Total, name) }

// Shown returns the names of the fields that have a column on the page.
func (Report) Shown() []string {
	return []string{"offered", "repeats", "stood_in_time", "stood_late", "refused", "failed", "left", "unknown"}
}

func figureByName(u *Usage, name string) int64 {
	f, err := ParseField(name)
	if err != nil {
		return 0
	}
	return u[f]
}

// HTML writes the report as a self-contained page.
func (r Report) HTML(w io.Writer) error { return pageTemplate.Execute(w, r) }

// CSV writes a line for each period, tenant and class, with every field both with and without corrections.
func (r Report) CSV(w io.Writer) error {
	c := csv.NewWriter(w)
	head := []string{"period", "tenant", "class"}
	for f := range FieldCount {
		head = append(head, f.String())
	}
	for f := range FieldCount {
		head = append(head, "stated_"+f.String())
	}
	c.Write(head)
	for _, row := range r.Rows {
		line := []string{formatTime(row.Period), row.Tenant, row.Class}
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
