package ledgerio

import (
	"errors"
	"time"

	"threadglade.example/threadglade/internal/settings"
	"threadglade.example/threadglade/ledger"
)

// Read reads a (ledger ...) section for a router of that name; docs/operators/ledger.md has every field. What is wrong is
// noted with the section and reported by its Finish.
func Read(s *settings.Section, routerName string) Options {
	o := Defaults()
	o.Terms.Router = routerName
	if s == nil {
		return o
	}
	ms := func(field string, v *int64, low, high time.Duration) {
		d := time.Duration(*v) * time.Millisecond
		s.Duration(field, &d, low, high)
		*v = d.Milliseconds()
	}
	shortest := ledger.MinPeriod
	if ledger.MinPeriodForTests > 0 {
		shortest = ledger.MinPeriodForTests
	}
	if !s.String("directory", &o.Dir) || o.Dir == "" {
		s.Errorf("directory", "is missing")
	}
	ms("period", &o.Terms.Length, shortest, ledger.MaxPeriod)
	if o.Terms.Length < o.Terms.Grace {
		o.Terms.Grace = o.Terms.Length
	}
	ms("grace", &o.Terms.Grace, 0, time.Duration(o.Terms.Length)*time.Millisecond)
	ms("unknown-after", &o.Terms.UnknownTimeout, time.Second, 24*time.Hour)
	s.Duration("sync", &o.Sync, 0, time.Minute)
	s.Duration("keep", &o.Keep, 0, 10*366*24*time.Hour)
	s.Duration("patience", &o.Patience, time.Millisecond, time.Second)
	s.String("export", &o.Export)
	segment := int(o.Roll >> 10)
	s.Int("segment-kb", &segment, 64, 1<<20)
	o.Roll = int64(segment) << 10
	when := "go-on"
	s.Choice("when-unwritable", &when, "go-on", "refuse")
	o.Refuse = when == "refuse"
	if err := o.Terms.Validate(); err != nil {
		s.Errorf("period", "%v", err)
	}
	o.Tenants = tenants(s)
	return o
}

// tenants reads the tenants' rules and their precedence.
func tenants(s *settings.Section) *ledger.Directory {
	var order []ledger.Source
	for _, w := range s.Strings("precedence") {
		order = append(order, ledger.Source(w))
	}
	var rules []ledger.Rule
	var sections []*settings.Section
	s.EachSection("tenant", func(t *settings.Section) {
		rules = append(rules, ledger.Rule{Tenant: t.Label(), Networks: t.Strings("networks"), Identities: t.Strings("identities"),
			Numbers: t.Strings("numbers")})
		sections = append(sections, t)
	})
	d, err := ledger.NewDirectory(order, rules)
	var rule *ledger.RuleError
	switch {
	case errors.As(err, &rule):
		field := rule.Field
		if field == "name" {
			field = ""
		}
		sections[rule.Rule].Errorf(field, "%s", rule.Text)
	case err != nil:
		s.Errorf("precedence", "%v", err)
	}
	return d
}
