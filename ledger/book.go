package ledger

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Terms are what a book is kept by. Router and Length belong to it for good; the other two hold from now on.
type Terms struct {
	Router       string
	Length       int64 // of a period, in milliseconds; periods begin at multiples of it since the Unix epoch, in UTC
	Grace        int64 // how long after its end a period is closed, in milliseconds
	UnknownAfter int64 // after how long a call from before a restart is closed as unknown, in milliseconds
}

// Bounds of Terms.
const (
	ShortestPeriod = time.Minute
	LongestPeriod  = 24 * time.Hour
)

// ShortestForTests, if set, is the shortest period instead of ShortestPeriod. Only tests set it, before anything runs.
var ShortestForTests time.Duration

// Validate names the field that is wrong.
func (t Terms) Validate() error {
	shortest := ShortestPeriod
	if ShortestForTests > 0 {
		shortest = ShortestForTests
	}
	length := time.Duration(t.Length) * time.Millisecond
	switch {
	case ValidName(t.Router) != nil:
		return fmt.Errorf("router: %w", ValidName(t.Router))
	case length < shortest || length > LongestPeriod || LongestPeriod%length != 0:
		return fmt.Errorf("period: %v is no part of a day from %v to %v", length, shortest, LongestPeriod)
	case t.Grace < 0 || t.Grace > t.Length:
		return fmt.Errorf("grace: %v is not within 0 and the period", time.Duration(t.Grace)*time.Millisecond)
	case t.UnknownAfter < 1000 || t.UnknownAfter > LongestPeriod.Milliseconds():
		return fmt.Errorf("unknown-after: %v is not within 1s and 24h", time.Duration(t.UnknownAfter)*time.Millisecond)
	}
	return nil
}

// Start is the beginning of the period that holds a time.
func (t Terms) Start(at int64) int64 {
	start := at - at%t.Length
	if start > at { // before 1970
		start -= t.Length
	}
	return start
}

// Open is a call of which an attempt is out, or that stands.
type Open struct {
	Call                  uint64
	Tenant, Class, Server uint32
	Attempt               uint32
	Retry                 bool
	Since                 int64 // ledger time of the attempt
	Stood                 int64 // ledger time of the answer; 0: none is known
	InTime                bool
	Usage                 Usage // of the attempts before
}

// Book is what the entries so far come to: enough to go on counting after a restart. Totals are not in it; a Collector
// makes them of the entries.
type Book struct {
	Terms
	Names    []string // by index; 0 is no name
	Calls    map[uint64]*Open
	Used     map[int64]bool // periods that are not closed and in which calls have ended
	Now      int64          // the latest ledger time
	Closed   int64          // all periods before this are closed; 0: none has begun
	Sequence uint64         // of the latest statement
	Entries  uint64
	free     []*Open
	begun    bool
	whole    bool // a checkpoint is whole
}

// NewBook is a book with nothing in it, before its first checkpoint has been read.
func NewBook() *Book {
	return &Book{Names: []string{""}, Calls: map[uint64]*Open{}, Used: map[int64]bool{}}
}

// StartBook is the book of a router that has none yet.
func StartBook(t Terms) *Book {
	b := NewBook()
	b.Terms, b.begun, b.whole = t, true, true
	return b
}

// Name is the text that an index stands for.
func (b *Book) Name(index uint32) string {
	if int(index) < len(b.Names) {
		return b.Names[index]
	}
	return ""
}

// Apply adds an entry. The error says how the entry contradicts those before.
func (b *Book) Apply(e *Entry) error {
	if !b.begun && e.Kind != Begin {
		return fmt.Errorf("the first entry is of kind %d, no checkpoint's", e.Kind)
	}
	b.Entries++
	if e.At > b.Now {
		b.Now = e.At
	}
	for _, index := range [...]uint32{e.Tenant, e.Class, e.Server} {
		if int(index) >= len(b.Names) {
			return fmt.Errorf("name %d has not been told", index)
		}
	}
	switch e.Kind {
	case Begin:
		if b.begun && (b.Router != e.Text || b.Length != e.Period) {
			return fmt.Errorf("the book of %s by %d ms goes on as that of %s by %d ms", b.Router, b.Length, e.Text, e.Period)
		}
		b.Terms = Terms{e.Text, e.Period, e.Grace, e.From}
		if b.Length <= 0 {
			return fmt.Errorf("periods of %d ms", b.Length)
		}
		b.Names = b.Names[:1]
		clear(b.Calls)
		clear(b.Used)
		b.begun, b.whole = true, false
	case Mark:
		b.Now, b.whole = max(b.Now, e.At), true
		if e.Sequence < b.Sequence || e.Period < b.Closed {
			return fmt.Errorf("the checkpoint knows of %d statements, %d were made", e.Sequence, b.Sequence)
		}
		b.Closed, b.Sequence = e.Period, e.Sequence
	case Name:
		if int(e.Index) != len(b.Names) {
			return fmt.Errorf("name %d comes after %d names", e.Index, len(b.Names))
		}
		b.Names = append(b.Names, e.Text)
	case Intent:
		c := b.Calls[e.Call]
		if c == nil {
			if n := len(b.free); n > 0 {
				c, b.free = b.free[n-1], b.free[:n-1]
			} else {
				c = &Open{}
			}
			b.Calls[e.Call] = c
		}
		*c = Open{Call: e.Call, Tenant: e.Tenant, Class: e.Class, Server: e.Server, Attempt: e.Attempt, Retry: e.Retry,
			Since: e.At, Usage: e.Usage}
		if e.From > 0 { // told anew
			c.Since = e.From
		}
	case Answer:
		if c := b.Calls[e.Call]; c != nil {
			c.Stood, c.InTime = max(e.At, 1), e.InTime
			if e.From > 0 {
				c.Stood = e.From
			}
		}
	case End:
		if e.Usage[Offered] != 1 {
			return fmt.Errorf("the end of %s counts %d tries", CallText(e.Call), e.Usage[Offered])
		}
		if err := e.Usage.Balance(); err != nil {
			return fmt.Errorf("the end of %s: %w", CallText(e.Call), err)
		}
		b.forget(e.Call)
		b.use(b.Start(e.At))
	case Used:
		b.use(e.Period)
	case Gone:
		b.forget(e.Call)
	case Spilled:
		if err := e.Usage.Balance(); err != nil {
			return fmt.Errorf("what was spilled in %d: %w", e.Period, err)
		}
		b.use(e.Period)
	case Close:
		switch {
		case e.Sequence != b.Sequence+1:
			return fmt.Errorf("statement %d comes after %d", e.Sequence, b.Sequence)
		case b.Closed != 0 && e.From != b.Closed:
			return fmt.Errorf("statement %d begins at %d, the one before ended at %d", e.Sequence, e.From, b.Closed)
		case e.Period <= e.From || e.Period%b.Length != 0 || e.From%b.Length != 0:
			return fmt.Errorf("statement %d runs from %d to %d", e.Sequence, e.From, e.Period)
		}
		b.Closed, b.Sequence = e.Period, e.Sequence
		for p := range b.Used {
			if p < b.Closed {
				delete(b.Used, p)
			}
		}
	}
	return nil
}

func (b *Book) forget(call uint64) {
	if c := b.Calls[call]; c != nil {
		delete(b.Calls, call)
		if len(b.free) < 1024 {
			b.free = append(b.free, c)
		}
	}
}

func (b *Book) use(period int64) {
	if period >= b.Closed {
		b.Used[period] = true
	}
}

// Trim drops names that no open call needs and numbers the rest anew. It is for a start, after which a segment of its own begins:
// servers that are gone would else stay in the books for ever.
func (b *Book) Trim() {
	names, at := []string{""}, map[uint32]uint32{0: 0}
	move := func(index uint32) uint32 {
		if _, known := at[index]; !known {
			at[index] = uint32(len(names))
			names = append(names, b.Name(index))
		}
		return at[index]
	}
	for _, key := range slices.Sorted(maps.Keys(b.Calls)) {
		c := b.Calls[key]
		c.Tenant, c.Class, c.Server = move(c.Tenant), move(c.Class), move(c.Server)
	}
	b.Names = names
}

// Checkpoint is entries that make this book anew.
func (b *Book) Checkpoint() []Entry {
	list := make([]Entry, 0, 2+len(b.Names)+2*len(b.Calls))
	list = append(list, Entry{Kind: Begin, Text: b.Router, Period: b.Length, Grace: b.Grace, From: b.UnknownAfter})
	for i, text := range b.Names[1:] {
		list = append(list, Entry{Kind: Name, Index: uint32(i + 1), Text: text})
	}
	for _, key := range slices.Sorted(maps.Keys(b.Calls)) {
		c := b.Calls[key]
		list = append(list, Entry{Kind: Intent, Call: c.Call, Tenant: c.Tenant, Class: c.Class, Server: c.Server,
			Attempt: c.Attempt, Retry: c.Retry, From: c.Since, Usage: c.Usage})
		if c.Stood > 0 {
			list = append(list, Entry{Kind: Answer, Call: c.Call, From: c.Stood, InTime: c.InTime})
		}
	}
	for _, p := range slices.Sorted(maps.Keys(b.Used)) {
		list = append(list, Entry{Kind: Used, Period: p})
	}
	return append(list, Entry{Kind: Mark, At: b.Now, Period: b.Closed, Sequence: b.Sequence})
}

// Whole says whether a checkpoint has been read to its end.
func (b *Book) Whole() bool { return b.whole }

// Statement is what one closing states: the use of a period, or that nothing was used in several.
type Statement struct {
	Sequence uint64
	From, To int64 // in milliseconds since the Unix epoch; [From, To)
	Totals   map[Key]*Usage
	Calls    []uint64 // that stood, ascending
	Spilled  uint64   // calls that are in Totals, but not one by one
	Unknown  []UnknownCall
	Late     map[int64]map[Key]*Usage // what ended in periods that were closed before, by their beginnings
}

// UnknownCall is a call that a restart has cut off from its end.
type UnknownCall struct {
	Call   string `json:"call"`
	Tenant string `json:"tenant"`
	Class  string `json:"class"`
	Server string `json:"server"`
	Since  int64  `json:"since_ms"` // when its last attempt left
	Stood  bool   `json:"stood"`
}

// Collector makes statements of entries. It is fed the entries of whole segments, in order.
type Collector struct {
	Book  *Book
	open  map[int64]*Statement // by the beginnings of their periods
	late  map[int64]map[Key]*Usage
	inner bool // within a checkpoint, which tells nothing new
	// Stated is called with each statement when its closing is read.
	Stated func(*Statement) error
}

// NewCollector begins with nothing.
func NewCollector(stated func(*Statement) error) *Collector {
	return &Collector{Book: NewBook(), open: map[int64]*Statement{}, late: map[int64]map[Key]*Usage{}, Stated: stated}
}

// Take adds an entry.
func (c *Collector) Take(e *Entry) error {
	if err := c.Book.Apply(e); err != nil {
		return err
	}
	switch e.Kind {
	case Begin:
		c.inner = true
	case Mark:
		c.inner = false
	case End, Spilled:
		period, count := e.Period, e.Count
		if e.Kind == End {
			period = c.Book.Start(e.At)
		}
		key := Key{c.Book.Name(e.Tenant), c.Book.Name(e.Class)}
		if period < c.Book.Closed {
			m := c.late[period]
			if m == nil {
				m = map[Key]*Usage{}
				c.late[period] = m
			}
			add(m, key, &e.Usage)
			return nil
		}
		s := c.statement(period)
		add(s.Totals, key, &e.Usage)
		s.Spilled += count
		if e.Kind == End {
			if e.Usage[StoodInTime]+e.Usage[StoodLate] > 0 {
				s.Calls = append(s.Calls, e.Call)
			}
			if e.Usage[Unknown] > 0 {
				s.Unknown = append(s.Unknown, UnknownCall{CallText(e.Call), key.Tenant, key.Class, c.Book.Name(e.Server), e.From, e.Stood})
			}
		}
	case Close:
		return c.close(e)
	}
	return nil
}

func (c *Collector) statement(period int64) *Statement {
	s := c.open[period]
	if s == nil {
		s = &Statement{From: period, To: period + c.Book.Length, Totals: map[Key]*Usage{}}
		c.open[period] = s
	}
	return s
}

func add(m map[Key]*Usage, key Key, u *Usage) {
	if m[key] == nil {
		m[key] = &Usage{}
	}
	m[key].Add(u)
}

func (c *Collector) close(e *Entry) error {
	s := &Statement{Totals: map[Key]*Usage{}}
	for from := range c.open {
		switch {
		case from >= e.Period:
		case from >= e.From && e.Period-e.From == c.Book.Length:
			s = c.open[from]
			delete(c.open, from)
		case from >= e.From:
			return fmt.Errorf("statement %d says that nothing was used from %d to %d, but calls ended in %d", e.Sequence, e.From,
				e.Period, from)
		default: // of before the first segment that was read: stated long ago
			delete(c.open, from)
		}
	}
	s.Sequence, s.From, s.To, s.Late = e.Sequence, e.From, e.Period, c.late
	c.late = map[int64]map[Key]*Usage{}
	slices.Sort(s.Calls)
	slices.SortFunc(s.Unknown, func(a, b UnknownCall) int { return cmp.Compare(a.Call, b.Call) })
	if c.Stated == nil {
		return nil
	}
	return c.Stated(s)
}

// Unstated is what has been counted in periods that are not closed yet, by their beginnings, and what will be stated late.
func (c *Collector) Unstated() (open []*Statement, late map[int64]map[Key]*Usage) {
	for _, from := range slices.Sorted(maps.Keys(c.open)) {
		if from >= c.Book.Closed {
			open = append(open, c.open[from])
		}
	}
	return open, c.late
}
