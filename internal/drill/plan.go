// Package drill runs fault-injection tests: it starts real processes of this program, connects them by links that
// can fail, injects faults at planned times, and checks the outcome by what its stand-ins observed, which are case
// servers, callers and an observer of the processes' beacons. A check must not rely on what a router or keeper
// reports about its own state. No package that serves calls may import this one.
package drill

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"threadglade.example/threadglade/internal/settings"
)

// Plan is a parsed drill file. docs/operators/drill.md describes the format.
type Plan struct {
	Name, About    string
	Seed           int
	Duration       time.Duration // duration of the drill
	Keepers        int
	Routers        int
	Servers        int  // case servers
	CallRate       int  // set-ups per second from callers, over all routers
	StaggeredLoad  bool // callers' connections send in turn, not all at the same moments
	Lease          time.Duration
	RenewInterval  time.Duration // interval of lease renewals
	BeaconInterval time.Duration // interval of beacons
	Cycles         int           // how many times the faults are injected
	Period         time.Duration // between the starts of cycles
	Faults         []Fault       // sorted by time, all cycles included
	Checks         []Check
	Agents         int              // free agents that a case server reports; 0: 1000
	Redials        int              // maximum redials of a refused caller
	Zones          int              // routers share verdicts and are spread over this many zones; 0: they share none
	Liars          int              // the first Liars routers report the opposite of what they see; in test builds only
	Numbers        []string         // prefixes of the called numbers
	AnswerDelay    [2]time.Duration // minimum and maximum answer delay of a case server
	HoldTime       [2]time.Duration // minimum and maximum time a call is established at its case server
	Settings       string           // further sections of all processes' settings
	RouterSettings string           // further sections of the routers' settings; $DIR is the router's folder
}

// Fault is an action at a planned time after the fleet has formed.
type Fault struct {
	At   time.Duration
	Line int
	Kind string
	Args []string
}

// Check is a condition that must hold for the drill to pass.
type Check struct {
	Line int
	Kind string
	Args []string
}

// String returns the fault as in the drill file, without its time.
func (f Fault) String() string { return strings.TrimSpace(f.Kind + " " + strings.Join(f.Args, " ")) }

// String returns the check as in the drill file.
func (c Check) String() string { return strings.TrimSpace(c.Kind + " " + strings.Join(c.Args, " ")) }

// faultForms has the arguments of each kind of fault: p a process or pattern, d a duration, n a number, w a word.
var faultForms = map[string]string{
	"kill": "p", "stop": "p", "wake": "p", "term": "p", "start": "p", "twin": "p", "wipe": "p", "damage": "p",
	"fill": "p", "empty": "p", "step": "pd", "dying": "pwn",
	"cut": "pp", "cut-to": "pp", "heal": "pp", "heal-all": "", "delay": "ppdd", "slow": "ppn", "reset": "pp",
	"stall": "pp", "flap": "ppd", "intrude": "wp", "call-only": "p", "replace": "p", "load": "n",
	"limit-set": "ww", "limit-unset": "w",
	"flood": "pwn", "behave": "pw", "hold-server": "pd", "release-server": "p", "evacuate": "p",
}

// checkForms has the arguments of each kind of check, in the notation of faultForms.
var checkForms = map[string]string{
	"one-acts": "", "one-leads": "", "lead-within": "d", "known-within": "d", "lost-calls": "n", "stood-share": "n",
	"acts": "pdd", "silent": "pdd", "leads-none": "dd", "exits": "p",
	"limit-rate": "wnddn", "limit-calls": "wn", "use-rate": "wnddn", "limit-cold": "pnddn", "recovers": "ddn",
	"limit-further": "nn", "sent-most": "pddn", "billed-once": "nn", "released-once": "nn", "carries": "pddn",
	"stood-within": "ddn",
}

// processPattern matches an argument that names processes or stand-ins.
var processPattern = sync.OnceValue(func() *regexp.Regexp {
	return regexp.MustCompile(`^(leader|was-leader|all|[krsc]\*|[krsc][0-9]+\+?(&[krsc][0-9]+\+?)*)$`)
})

// Load reads a drill file. The error names file, line and field.
func Load(path string) (*Plan, error) {
	s, err := settings.LoadAs(path, "drill")
	if err != nil {
		return nil, err
	}
	return parsePlan(s)
}

// Parse reads a drill from text. Errors name the file as name.
func Parse(name, text string) (*Plan, error) {
	s, err := settings.ParseAs(name, text, "drill")
	if err != nil {
		return nil, err
	}
	return parsePlan(s)
}

func parsePlan(s *settings.Section) (*Plan, error) {
	plan := &Plan{Name: s.Label(), Seed: 1, Duration: 20 * time.Second, Keepers: 3, Routers: 3, Servers: 2, CallRate: 40,
		Lease: 3 * time.Second, BeaconInterval: 10 * time.Millisecond, Cycles: 1}
	s.String("about", &plan.About)
	s.Int("seed", &plan.Seed, 0, 1<<31)
	s.Duration("for", &plan.Duration, time.Second, 24*time.Hour)
	s.Int("keepers", &plan.Keepers, 1, 5)
	s.Int("routers", &plan.Routers, 0, 64)
	s.Int("servers", &plan.Servers, 1, 16)
	s.Int("agents", &plan.Agents, 0, 1<<20)
	s.Int("zones", &plan.Zones, 0, 16)
	s.Int("liars", &plan.Liars, 0, 64)
	s.Int("redials", &plan.Redials, 0, 100)
	s.Int("load", &plan.CallRate, 0, 100_000)
	loadShape := "bursts"
	s.Choice("load-shape", &loadShape, "bursts", "staggered")
	plan.StaggeredLoad = loadShape == "staggered"
	s.Duration("lease", &plan.Lease, 200*time.Millisecond, time.Minute)
	plan.RenewInterval = plan.Lease / 3
	s.Duration("renew", &plan.RenewInterval, 50*time.Millisecond, 30*time.Second)
	s.Duration("beacon-every", &plan.BeaconInterval, 5*time.Millisecond, time.Second)
	s.Int("cycles", &plan.Cycles, 1, 1000)
	s.Duration("period", &plan.Period, 0, time.Hour)
	s.String("settings", &plan.Settings)
	s.String("router-settings", &plan.RouterSettings)
	plan.Numbers = s.Strings("numbers")
	plan.HoldTime, plan.AnswerDelay = [2]time.Duration{100 * time.Millisecond, 400 * time.Millisecond},
		[2]time.Duration{2 * time.Millisecond, 30 * time.Millisecond}
	for field, times := range map[string]*[2]time.Duration{"stand": &plan.HoldTime, "answer": &plan.AnswerDelay} {
		if v := s.Strings(field); v != nil {
			if len(v) == 2 {
				*times = [2]time.Duration{parseDuration(v[0]), parseDuration(v[1])}
			}
			if len(v) != 2 || times[0] <= 0 || times[1] < times[0] {
				s.Errorf(field, "expected two durations, the first positive and not above the second")
			}
		}
	}
	if plan.Name == "" {
		s.Errorf("", "missing name: (drill \"name\" ...)")
	}
	if plan.Keepers%2 == 0 {
		s.Errorf("keepers", "must be 1, 3 or 5")
	}
	if plan.Cycles > 1 && plan.Period == 0 {
		s.Errorf("period", "required with more than one cycle")
	}
	s.EachField(func(line int, name string, values []string) {
		report := func(format string, args ...any) {
			s.Errorf("", "line %d: (%s %s): %s", line, name, strings.Join(values, " "), fmt.Sprintf(format, args...))
		}
		switch name {
		case "at":
			if len(values) < 2 {
				report("expected a time and a fault")
				return
			}
			at, err := time.ParseDuration(values[0])
			if err != nil || at < 0 || at > plan.Duration {
				report("%q is not a time within the drill", values[0])
				return
			}
			if problem := validateArgs(faultForms, values[1], values[2:]); problem != "" {
				report("%s", problem)
				return
			}
			plan.Faults = append(plan.Faults, Fault{at, line, values[1], values[2:]})
		case "hold":
			if len(values) < 1 {
				report("expected a check")
				return
			}
			if problem := validateArgs(checkForms, values[0], values[1:]); problem != "" {
				report("%s", problem)
				return
			}
			plan.Checks = append(plan.Checks, Check{line, values[0], values[1:]})
		default:
			report("unknown field %q", name)
		}
	})
	if len(plan.Checks) == 0 {
		s.Errorf("", "a drill needs at least one (hold CHECK ...)")
	}
	if err := s.Finish(); err != nil {
		return nil, err
	}
	firstCycle := slices.Clone(plan.Faults)
	for i := 1; i < plan.Cycles; i++ {
		for _, f := range firstCycle {
			f.At += time.Duration(i) * plan.Period
			plan.Faults = append(plan.Faults, f)
		}
	}
	slices.SortStableFunc(plan.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	if n := len(plan.Faults); n > 0 && plan.Faults[n-1].At >= plan.Duration {
		plan.Duration = plan.Faults[n-1].At + plan.Period
	}
	return plan, nil
}

// validateArgs returns why args don't match the form of a kind of fault or check, or "" if they do.
func validateArgs(forms map[string]string, kind string, args []string) string {
	form, ok := forms[kind]
	if !ok {
		return fmt.Sprintf("%q is not one of %s", kind, strings.Join(slices.Sorted(mapKeys(forms)), ", "))
	}
	if len(args) != len(form) {
		return fmt.Sprintf("%q takes %d arguments", kind, len(form))
	}
	for i, argType := range form {
		var err error
		switch argType {
		case 'p':
			if !processPattern().MatchString(args[i]) {
				return fmt.Sprintf("%q is not a process or pattern; expected one such as "+
					"k1, r2, s0, c0, r1+ (the twin), r1&r2 (several), r*, all, leader or was-leader", args[i])
			}
		case 'd':
			_, err = time.ParseDuration(args[i])
		case 'n':
			_, err = strconv.Atoi(args[i])
		}
		if err != nil {
			return err.Error()
		}
	}
	return ""
}

// mapKeys iterates over the keys of m.
func mapKeys[V any](m map[string]V) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

// parseDuration parses an argument that validateArgs has accepted.
func parseDuration(s string) time.Duration {
	d, _ := time.ParseDuration(s)
	return d
}

// parseInt parses an argument that validateArgs has accepted.
func parseInt(s string) int {
	n, _ := strconv.Atoi(s)
	return n
}
