package ledger

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Settings are the parameters of a ledger. Router and Length can't change during its lifetime; changes of Grace and
// UnknownTimeout apply from then on.
type Settings struct {
	Router         string
	Length         int64 // of a period, in ms; periods start at multiples of it since the Unix epoch, in UTC
	Grace          int64 // delay from a period's end to its closing, in ms
	UnknownTimeout int64 // time since its last attempt at which an earlier process's call is closed as unknown, in ms
}

// Bounds of a period's length.
const (
	MinPeriod = time.Minute
	MaxPeriod = 24 * time.Hour
)

// MinPeriodForTests replaces MinPeriod if it is not 0. Only tests set it, before they start anything.
var MinPeriodForTests time.Duration

// Validate checks the settings. The error starts with the invalid field's name in the settings file.
func (s Settings) Validate() error {
	shortest := MinPeriod
	if MinPeriodForTests > 0 {
		shortest = MinPeriodForTests
	}
	length := time.Duration(s.Length) * time.Millisecond
	switch {
	case ValidName(s.Router) != nil:
		return fmt.Errorf("router: %w", ValidName(s.Router))
	case length < shortest || length > MaxPeriod || MaxPeriod%length != 0:
		return fmt.Errorf("period: %v must divide a day evenly and be from %v to %v", length, shortest, MaxPeriod)
	case s.Grace < 0 || s.Grace > s.Length:
		return fmt.Errorf("grace: %v is not between 0 and the period", time.Duration(s.Grace)*time.Millisecond)
	case s.UnknownTimeout < 1000 || s.UnknownTimeout > MaxPeriod.Milliseconds():
		return fmt.Errorf("unknown-after: %v is not between 1s and 24h",
			time.Duration(s.UnknownTimeout)*time.Millisecond)
	}
	return nil
}

// PeriodStart returns the start of the period that contains a time; both in milliseconds since the Unix epoch.
func (s Settings) PeriodStart(at int64) int64 {
	start := at - at%s.Length
	if start > at { // before 1970
		start -= s.Length
	}
	return start
}

// OpenCall is a call that has an attempt in flight or is established.
type OpenCall struct {
	Call                  uint64
	Tenant, Class, Server uint32
	Attempt               uint32
	Retry                 bool
	SentAt                int64 // ledger time of the attempt
	EstablishedAt         int64 // ledger time of the answer; 0: no answer is known
	InTime                bool
	Usage                 Usage // of earlier attempts
}

// State is the result of applying all entries so far: what a Keeper needs to continue after a restart. It holds no
// totals; a Collector computes those from the entries.
type State struct {
	Settings
	Names       []string             // by index; index 0 means no name
	Calls       map[uint64]*OpenCall // by call key
	UsedPeriods map[int64]bool       // starts of periods that are not closed and in which calls have ended
	Now         int64                // the latest ledger time
	Closed      int64                // all periods before it are closed; 0: no period has started
	Sequence    uint64               // number of the latest statement
	Entries     uint64               // number of entries applied
	freeCalls   []*OpenCall
	started     bool // the beginning of a checkpoint has been applied
	complete    bool // a whole checkpoint has been applied
}

// NewState returns an empty state; the first entry applied has to begin a checkpoint.
func NewState() *State {
	return &State{Names: []string{""}, Calls: map[uint64]*OpenCall{}, UsedPeriods: map[int64]bool{}}
}

// NewInitializedState returns the state of a new ledger, as if a checkpoint had been applied.
func NewInitializedState(settings Settings) *State {
	s := NewState()
	s.Settings, s.started, s.complete = settings, true, true
	return s
}

// Name returns the name with an index, or "" if there is none.
func (s *State) Name(index uint32) string {
	if int(index) < len(s.Names) {
		return s.Names[index]
	}
	return ""
}

// Apply applies an entry. It returns an error if the entry contradicts earlier ones.
func (s *State) Apply(e *Entry) error {
	if !s.started && e.Kind != KindCheckpointBegin {
		return fmt.Errorf("the first entry is of kind %d and does not begin a checkpoint", e.Kind)
	}
	s.Entries++
	if e.At > s.Now {
		s.Now = e.At
	}
	for _, index := range [...]uint32{e.Tenant, e.Class, e.Server} {
		if int(index) >= len(s.Names) {
			return fmt.Errorf("name index %d is not defined", index)
		}
	}
	switch e.Kind {
	case KindCheckpointBegin:
		if s.started && (s.Router != e.Text || s.Length != e.Period) {
			return fmt.Errorf("the ledger of %s with periods of %d ms contains a checkpoint of %s with periods of %d ms",
				s.Router, s.Length, e.Text, e.Period)
		}
		s.Settings = Settings{e.Text, e.Period, e.Grace, e.From}
		if s.Length <= 0 {
			return fmt.Errorf("period length of %d ms is not positive", s.Length)
		}
		s.Names = s.Names[:1]
		clear(s.Calls)
		clear(s.UsedPeriods)
		s.started, s.complete = true, false
	case KindCheckpointEnd:
		s.Now, s.complete = max(s.Now, e.At), true
		if e.Sequence < s.Sequence || e.Period < s.Closed {
			return fmt.Errorf("the checkpoint records %d statements, but %d were made", e.Sequence, s.Sequence)
		}
		s.Closed, s.Sequence = e.Period, e.Sequence
	case KindName:
		if int(e.Index) != len(s.Names) {
			return fmt.Errorf("name index %d is out of order, want %d", e.Index, len(s.Names))
		}
		s.Names = append(s.Names, e.Text)
	case KindAttempt:
		call := s.Calls[e.Call]
		if call == nil {
			if n := len(s.freeCalls); n > 0 {
				call, s.freeCalls = s.freeCalls[n-1], s.freeCalls[:n-1]
			} else {
				call = &OpenCall{}
			}
			s.Calls[e.Call] = call
		}
		*call = OpenCall{Call: e.Call, Tenant: e.Tenant, Class: e.Class, Server: e.Server, Attempt: e.Attempt,
			Retry: e.Retry, SentAt: e.At, Usage: e.Usage}
		if e.From > 0 { // the attempt was recorded later than it was sent
			call.SentAt = e.From
		}
	case KindAnswer:
		if call := s.Calls[e.Call]; call != nil {
			call.EstablishedAt, call.InTime = max(e.At, 1), e.InTime
			if e.From > 0 {
				call.EstablishedAt = e.From
			}
		}
	case KindEnd:
		if e.Usage[Offered] != 1 {
			return fmt.Errorf("the end of call %s counts %d set-ups, want 1", FormatCallKey(e.Call), e.Usage[Offered])
		}
		if err := e.Usage.CheckBalance(); err != nil {
			return fmt.Errorf("the end of call %s: %w", FormatCallKey(e.Call), err)
		}
		s.removeCall(e.Call)
		s.markUsed(s.PeriodStart(e.At))
	case KindUsedPeriod:
		s.markUsed(e.Period)
	case KindRemoved:
		s.removeCall(e.Call)
	case KindSpilled:
		if err := e.Usage.CheckBalance(); err != nil {
			return fmt.Errorf("spilled totals of period %d: %w", e.Period, err)
		}
		s.markUsed(e.Period)
	case KindClose:
		switch {
		case e.Sequence != s.Sequence+1:
			return fmt.Errorf("statement %d is out of order after statement %d", e.Sequence, s.Sequence)
		case s.Closed != 0 && e.From != s.Closed:
			return fmt.Errorf("statement %d starts at %d, but the previous one ended at %d", e.Sequence, e.From,
				s.Closed)
		case e.Period <= e.From || e.Period%s.Length != 0 || e.From%s.Length != 0:
			return fmt.Errorf("statement %d has an invalid range from %d to %d", e.Sequence, e.From, e.Period)
		}
		s.Closed, s.Sequence = e.Period, e.Sequence
		for p := range s.UsedPeriods {
			if p < s.Closed {
				delete(s.UsedPeriods, p)
			}
		}
	}
	return nil
}

// removeCall removes a call from the open ones, if it is among them.
func (s *State) removeCall(call uint64) {
	if open := s.Calls[call]; open != nil {
		delete(s.Calls, call)
		if len(s.freeCalls) < 1024 {
			s.freeCalls = append(s.freeCalls, open)
		}
	}
}

// markUsed notes that a call has ended in the period that starts at period, unless it is closed.
func (s *State) markUsed(period int64) {
	if period >= s.Closed {
		s.UsedPeriods[period] = true
	}
}

// CompactNames drops names that no open call uses and renumbers the rest, so that the names of removed servers don't
// accumulate. It may only be called when the next entries written are a checkpoint, as at a start, since earlier
// entries use the old numbers.
func (s *State) CompactNames() {
	names, renumbered := []string{""}, map[uint32]uint32{0: 0}
	renumber := func(index uint32) uint32 {
		if _, known := renumbered[index]; !known {
			renumbered[index] = uint32(len(names))
			names = append(names, s.Name(index))
		}
		return renumbered[index]
	}
	for _, key := range slices.Sorted(maps.Keys(s.Calls)) {
		call := s.Calls[key]
		call.Tenant, call.Class, call.Server = renumber(call.Tenant), renumber(call.Class), renumber(call.Server)
	}
	s.Names = names
}

// Checkpoint returns entries that restore this state when applied to an empty one.
func (s *State) Checkpoint() []Entry {
	list := make([]Entry, 0, 2+len(s.Names)+2*len(s.Calls))
	list = append(list, Entry{Kind: KindCheckpointBegin, Text: s.Router, Period: s.Length, Grace: s.Grace,
		From: s.UnknownTimeout})
	for i, text := range s.Names[1:] {
		list = append(list, Entry{Kind: KindName, Index: uint32(i + 1), Text: text})
	}
	for _, key := range slices.Sorted(maps.Keys(s.Calls)) {
		call := s.Calls[key]
		list = append(list, Entry{Kind: KindAttempt, Call: call.Call, Tenant: call.Tenant, Class: call.Class,
			Server: call.Server, Attempt: call.Attempt, Retry: call.Retry, From: call.SentAt, Usage: call.Usage})
		if call.EstablishedAt > 0 {
			list = append(list, Entry{Kind: KindAnswer, Call: call.Call, From: call.EstablishedAt, InTime: call.InTime})
		}
	}
	for _, p := range slices.Sorted(maps.Keys(s.UsedPeriods)) {
		list = append(list, Entry{Kind: KindUsedPeriod, Period: p})
	}
	return append(list, Entry{Kind: KindCheckpointEnd, At: s.Now, Period: s.Closed, Sequence: s.Sequence})
}

// HasCheckpoint reports whether a checkpoint has been applied to its end.
func (s *State) HasCheckpoint() bool { return s.complete }

// Statement reports the usage of one closed period, or a closed range of several periods without usage.
type Statement struct {
	Sequence uint64
	From, To int64 // in milliseconds since the Unix epoch; [From, To)
	Totals   map[Key]*Usage
	Calls    []uint64 // keys of the calls that were established, ascending
	Spilled  uint64   // calls in Totals that are missing from Calls, because only totals were kept of them
	Unknown  []UnknownCall
	Late     map[int64]map[Key]*Usage // usage counted after its period was closed, by the start of that period
}

// UnknownCall is a call whose end was lost at a restart.
type UnknownCall struct {
	Call        string `json:"call"`
	Tenant      string `json:"tenant"`
	Class       string `json:"class"`
	Server      string `json:"server"`
	Since       int64  `json:"since_ms"` // when its last attempt was sent
	Established bool   `json:"stood"`
}

// Collector computes statements from the entries of whole journal segments, added in order.
type Collector struct {
	State        *State
	open         map[int64]*Statement     // by start of the period
	late         map[int64]map[Key]*Usage // usage of closed periods for the next statement, by start of the period
	inCheckpoint bool                     // within a checkpoint, which adds nothing to the totals
	// OnStatement, if not nil, is called with each statement when its KindClose entry is added. Add returns its error.
	OnStatement func(*Statement) error
}

// NewCollector returns a Collector without entries that calls onStatement with each statement.
func NewCollector(onStatement func(*Statement) error) *Collector {
	return &Collector{State: NewState(), open: map[int64]*Statement{}, late: map[int64]map[Key]*Usage{},
		OnStatement: onStatement}
}

// Add adds an entry. It returns an error if the entry contradicts earlier ones.
func (c *Collector) Add(e *Entry) error {
	if err := c.State.Apply(e); err != nil {
		return err
	}
	switch e.Kind {
	case KindCheckpointBegin:
		c.inCheckpoint = true
	case KindCheckpointEnd:
		c.inCheckpoint = false
	case KindEnd, KindSpilled:
		period, count := e.Period, e.Count
		if e.Kind == KindEnd {
			period = c.State.PeriodStart(e.At)
		}
		key := Key{c.State.Name(e.Tenant), c.State.Name(e.Class)}
		if period < c.State.Closed {
			m := c.late[period]
			if m == nil {
				m = map[Key]*Usage{}
				c.late[period] = m
			}
			addUsage(m, key, &e.Usage)
			return nil
		}
		s := c.openStatement(period)
		addUsage(s.Totals, key, &e.Usage)
		s.Spilled += count
		if e.Kind == KindEnd {
			if e.Usage[EstablishedInTime]+e.Usage[EstablishedLate] > 0 {
				s.Calls = append(s.Calls, e.Call)
			}
			if e.Usage[Unknown] > 0 {
				s.Unknown = append(s.Unknown, UnknownCall{FormatCallKey(e.Call), key.Tenant, key.Class,
					c.State.Name(e.Server), e.From, e.Established})
			}
		}
	case KindClose:
		return c.close(e)
	}
	return nil
}

// openStatement returns the statement of the open period that starts at period. It creates a missing one.
func (c *Collector) openStatement(period int64) *Statement {
	s := c.open[period]
	if s == nil {
		s = &Statement{From: period, To: period + c.State.Length, Totals: map[Key]*Usage{}}
		c.open[period] = s
	}
	return s
}

func addUsage(m map[Key]*Usage, key Key, u *Usage) {
	if m[key] == nil {
		m[key] = &Usage{}
	}
	m[key].Add(u)
}

// close completes the statement that a KindClose entry is for, and passes it to OnStatement.
func (c *Collector) close(e *Entry) error {
	s := &Statement{Totals: map[Key]*Usage{}}
	for from := range c.open {
		switch {
		case from >= e.Period:
		case from >= e.From && e.Period-e.From == c.State.Length:
			s = c.open[from]
			delete(c.open, from)
		case from >= e.From:
			return fmt.Errorf("statement %d reports no usage from %d to %d, but calls ended in period %d", e.Sequence,
				e.From, e.Period, from)
		default: // of a period that was closed before the first segment that was read
			delete(c.open, from)
		}
	}
	s.Sequence, s.From, s.To, s.Late = e.Sequence, e.From, e.Period, c.late
	c.late = map[int64]map[Key]*Usage{}
	slices.Sort(s.Calls)
	slices.SortFunc(s.Unknown, func(a, b UnknownCall) int { return cmp.Compare(a.Call, b.Call) })
	if c.OnStatement == nil {
		return nil
	}
	return c.OnStatement(s)
}

// Pending returns the usage that no completed statement contains yet: statements of periods that are not closed, sorted
// by start, and the late usage of closed periods, which goes into the next statement.
func (c *Collector) Pending() (open []*Statement, late map[int64]map[Key]*Usage) {
	for _, from := range slices.Sorted(maps.Keys(c.open)) {
		if from >= c.State.Closed {
			open = append(open, c.open[from])
		}
	}
	return open, c.late
}
