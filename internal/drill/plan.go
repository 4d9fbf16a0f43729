// Package drill starts real processes of this program, puts faulty links between them, causes faults at stated times, and judges by what its stand-ins saw:
// case servers, callers, and a witness that hears each act. It must never believe what a router or keeper says of itself, and nothing that serves imports it.
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

// Plan is a drill as its file states it; docs/operators/drill.md has the language.
type Plan struct {
	Name, About string
	Seed        int
	For         time.Duration
	Keepers     int
	Routers     int
	Servers     int
	Load        int // set-ups a second from callers, over all routers
	Lease       time.Duration
	Renew       time.Duration
	Every       time.Duration // of beacons
	Cycles      int           // how often the faults come
	Period      time.Duration
	Faults      []Fault
	Holds       []Hold
	Agents      int              // that a case server says it has; 0: very many
	Redials     int              // of callers who are refused
	Zones       int              // routers judge together, spread over so many zones; 0: they do not
	Liars       int              // so many routers, the first ones, tell the opposite of what they see; in a build for tests
	Numbers     []string         // beginnings of the numbers called
	Answer      [2]time.Duration // how long a case server takes to answer
	Stand       [2]time.Duration // how long a call stands at its case server
	More        string           // further sections of the processes' settings
	Own         string           // the same, of routers alone; $DIR is a folder of each one
}

// Fault is one thing done at a time.
type Fault struct {
	At   time.Duration
	Line int
	What string
	Args []string
}

// Hold is one thing that must hold.
type Hold struct {
	Line int
	What string
	Args []string
}

func (f Fault) String() string { return strings.TrimSpace(f.What + " " + strings.Join(f.Args, " ")) }
func (h Hold) String() string  { return strings.TrimSpace(h.What + " " + strings.Join(h.Args, " ")) }

// form says what arguments a word takes: p a process or pattern, d a duration, n a number, w a word.
var faultForms = map[string]string{
	"kill": "p", "stop": "p", "wake": "p", "term": "p", "start": "p", "twin": "p", "wipe": "p", "damage": "p", "fill": "p", "empty": "p", "step": "pd", "dying": "pwn",
	"cut": "pp", "cut-to": "pp", "heal": "pp", "heal-all": "", "delay": "ppdd", "slow": "ppn", "reset": "pp", "stall": "pp", "flap": "ppd", "intrude": "wp", "call-only": "p", "replace": "p", "load": "n", "limit-set": "ww", "limit-unset": "w",
	"flood": "pwn", "behave": "pw", "hold-server": "pd", "release-server": "p", "evacuate": "p",
}

var holdForms = map[string]string{
	"one-acts": "", "one-leads": "", "lead-within": "d", "known-within": "d", "lost-calls": "n", "stood-share": "n", "acts": "pdd", "silent": "pdd", "leads-none": "dd", "exits": "p",
	"limit-rate": "wnddn", "limit-calls": "wn", "use-rate": "wnddn", "limit-cold": "pnddn", "recovers": "ddn",
	"limit-further": "nn", "sent-most": "pddn", "billed-once": "nn", "released-once": "nn", "carries": "pddn", "stood-within": "ddn",
}

var process = sync.OnceValue(func() *regexp.Regexp {
	return regexp.MustCompile(`^(leader|was-leader|all|[krsc]\*|[krsc][0-9]+\+?(&[krsc][0-9]+\+?)*)$`)
})

// Load reads a drill file. The error names file, line and field.
func Load(path string) (*Plan, error) {
	s, err := settings.LoadAs(path, "drill")
	if err != nil {
		return nil, err
	}
	return read(s)
}

// Parse reads a drill from text.
func Parse(name, text string) (*Plan, error) {
	s, err := settings.ParseAs(name, text, "drill")
	if err != nil {
		return nil, err
	}
	return read(s)
}

func read(s *settings.Section) (*Plan, error) {
	p := &Plan{Name: s.Label(), Seed: 1, For: 20 * time.Second, Keepers: 3, Routers: 3, Servers: 2, Load: 40, Lease: 3 * time.Second, Every: 10 * time.Millisecond, Cycles: 1}
	s.String("about", &p.About)
	s.Int("seed", &p.Seed, 0, 1<<31)
	s.Duration("for", &p.For, time.Second, 24*time.Hour)
	s.Int("keepers", &p.Keepers, 1, 5)
	s.Int("routers", &p.Routers, 0, 64)
	s.Int("servers", &p.Servers, 1, 16)
	s.Int("agents", &p.Agents, 0, 1<<20)
	s.Int("zones", &p.Zones, 0, 16)
	s.Int("liars", &p.Liars, 0, 64)
	s.Int("redials", &p.Redials, 0, 100)
	s.Int("load", &p.Load, 0, 100_000)
	s.Duration("lease", &p.Lease, 200*time.Millisecond, time.Minute)
	p.Renew = p.Lease / 3
	s.Duration("renew", &p.Renew, 50*time.Millisecond, 30*time.Second)
	s.Duration("beacon-every", &p.Every, 5*time.Millisecond, time.Second)
	s.Int("cycles", &p.Cycles, 1, 1000)
	s.Duration("period", &p.Period, 0, time.Hour)
	s.String("settings", &p.More)
	s.String("router-settings", &p.Own)
	p.Numbers = s.Strings("numbers")
	p.Stand, p.Answer = [2]time.Duration{100 * time.Millisecond, 400 * time.Millisecond}, [2]time.Duration{2 * time.Millisecond, 30 * time.Millisecond}
	for field, times := range map[string]*[2]time.Duration{"stand": &p.Stand, "answer": &p.Answer} {
		if v := s.Strings(field); v != nil {
			if len(v) == 2 {
				*times = [2]time.Duration{span(v[0]), span(v[1])}
			}
			if len(v) != 2 || times[0] <= 0 || times[1] < times[0] {
				s.Errorf(field, "two durations are wanted")
			}
		}
	}
	if p.Name == "" {
		s.Errorf("", "a drill has a name: (drill \"name\" ...)")
	}
	if p.Keepers%2 == 0 {
		s.Errorf("keepers", "1, 3 or 5 are wanted")
	}
	if p.Cycles > 1 && p.Period == 0 {
		s.Errorf("period", "cycles come by a period")
	}
	s.EachField(func(line int, name string, values []string) {
		bad := func(format string, args ...any) {
			s.Errorf("", "line %d: (%s %s): %s", line, name, strings.Join(values, " "), fmt.Sprintf(format, args...))
		}
		switch name {
		case "at":
			if len(values) < 2 {
				bad("a time and a fault are wanted")
				return
			}
			at, err := time.ParseDuration(values[0])
			if err != nil || at < 0 || at > p.For {
				bad("%q is no time within the drill", values[0])
				return
			}
			if why := fits(faultForms, values[1], values[2:]); why != "" {
				bad("%s", why)
				return
			}
			p.Faults = append(p.Faults, Fault{at, line, values[1], values[2:]})
		case "hold":
			if len(values) < 1 {
				bad("what must hold is wanted")
				return
			}
			if why := fits(holdForms, values[0], values[1:]); why != "" {
				bad("%s", why)
				return
			}
			p.Holds = append(p.Holds, Hold{line, values[0], values[1:]})
		default:
			bad("unknown field %q", name)
		}
	})
	if len(p.Holds) == 0 {
		s.Errorf("", "nothing must hold: a drill that cannot fail is none")
	}
	if err := s.Finish(); err != nil {
		return nil, err
	}
	first := slices.Clone(p.Faults)
	for i := 1; i < p.Cycles; i++ {
		for _, f := range first {
			f.At += time.Duration(i) * p.Period
			p.Faults = append(p.Faults, f)
		}
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	if n := len(p.Faults); n > 0 && p.Faults[n-1].At >= p.For {
		p.For = p.Faults[n-1].At + p.Period
	}
	return p, nil
}

// fits says why arguments do not fit a word's form; empty if they do.
func fits(forms map[string]string, word string, args []string) string {
	form, ok := forms[word]
	if !ok {
		return fmt.Sprintf("%q is none of %s", word, strings.Join(slices.Sorted(mapKeys(forms)), ", "))
	}
	if len(args) != len(form) {
		return fmt.Sprintf("%q takes %d arguments", word, len(form))
	}
	for i, kind := range form {
		var err error
		switch kind {
		case 'p':
			if !process().MatchString(args[i]) {
				return fmt.Sprintf("%q is no process: k1, r2, s0, c0, r1+ (the twin), r1&r2 (several), r*, all, leader, was-leader", args[i])
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

func mapKeys[V any](m map[string]V) func(func(string) bool) {
	return func(yield func(string) bool) {
		for k := range m {
			if !yield(k) {
				return
			}
		}
	}
}

func span(s string) time.Duration { d, _ := time.ParseDuration(s); return d }
func count(s string) int          { n, _ := strconv.Atoi(s); return n }
