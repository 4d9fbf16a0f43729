package ledgerio

import (
	"errors"
	"time"

	"threadglade.example/threadglade/internal/settings"
	"threadglade.example/threadglade/ledger"
)

// ReadSettings reads a (ledger ...) section for the router routerName; docs/operators/ledger.md describes every field.
// A nil section yields the defaults. Errors are recorded in the section and reported by its Finish.
func ReadSettings(section *settings.Section, routerName string) Options {
	options := Defaults()
	options.Settings.Router = routerName
	if section == nil {
		return options
	}
	readMillis := func(field string, v *int64, low, high time.Duration) {
		d := time.Duration(*v) * time.Millisecond
		section.Duration(field, &d, low, high)
		*v = d.Milliseconds()
	}
	minPeriod := ledger.MinPeriod
	if ledger.MinPeriodForTests > 0 {
		minPeriod = ledger.MinPeriodForTests
	}
	if !section.String("directory", &options.Dir) || options.Dir == "" {
		section.Errorf("directory", "is missing")
	}
	readMillis("period", &options.Settings.Length, minPeriod, ledger.MaxPeriod)
	if options.Settings.Length < options.Settings.Grace {
		options.Settings.Grace = options.Settings.Length
	}
	readMillis("grace", &options.Settings.Grace, 0, time.Duration(options.Settings.Length)*time.Millisecond)
	readMillis("unknown-after", &options.Settings.UnknownTimeout, time.Second, 24*time.Hour)
	section.Duration("sync", &options.SyncInterval, 0, time.Minute)
	section.Duration("keep", &options.Retention, 0, 10*366*24*time.Hour)
	section.Duration("patience", &options.DiskTimeout, time.Millisecond, time.Second)
	section.String("export", &options.ExportDir)
	segmentKB := int(options.MaxSegmentBytes >> 10)
	section.Int("segment-kb", &segmentKB, 64, 1<<20)
	options.MaxSegmentBytes = int64(segmentKB) << 10
	whenUnwritable := "go-on"
	section.Choice("when-unwritable", &whenUnwritable, "go-on", "refuse")
	options.RefuseUnbillable = whenUnwritable == "refuse"
	if err := options.Settings.Validate(); err != nil {
		section.Errorf("period", "%v", err)
	}
	options.Tenants = readTenants(section)
	return options
}

// readTenants reads the tenants' rules and the precedence of the sources.
func readTenants(section *settings.Section) *ledger.Directory {
	var order []ledger.Source
	for _, source := range section.Strings("precedence") {
		order = append(order, ledger.Source(source))
	}
	var rules []ledger.Rule
	var sections []*settings.Section
	section.EachSection("tenant", func(tenant *settings.Section) {
		rules = append(rules, ledger.Rule{
			Tenant:     tenant.Label(),
			Networks:   tenant.Strings("networks"),
			Identities: tenant.Strings("identities"),
			Numbers:    tenant.Strings("numbers"),
		})
		sections = append(sections, tenant)
	})
	directory, err := ledger.NewDirectory(order, rules)
	var rule *ledger.RuleError
	switch {
	case errors.As(err, &rule):
		field := rule.Field
		if field == "name" {
			field = ""
		}
		sections[rule.Rule].Errorf(field, "%s", rule.Text)
	case err != nil:
		section.Errorf("precedence", "%v", err)
	}
	return directory
}
