package traceio

import (
	"encoding/binary"
	"fmt"
	"io"
	"net/netip"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/puzpuzpuz/xsync/v4"
	"github.com/rs/zerolog"

	"threadglade.example/threadglade"
	"threadglade.example/threadglade/internal/durable"
	"threadglade.example/threadglade/internal/settings"
	"threadglade.example/threadglade/ledger"
	"threadglade.example/threadglade/router"
	"threadglade.example/threadglade/trace"
)

const (
	// queueMost records may wait for the writer, which looks every lookEvery. They are handed over in chunks.
	queueMost  = 8192
	chunkSize  = 256
	chunksMost = queueMost / chunkSize
	lookEvery  = 10 * time.Millisecond
	// followMost calls are followed at once, serversMost servers, and unansweredMost set-ups of one server.
	followMost     = 200_000
	partSize       = 1024 // of the table of those
	serversMost    = 10_000
	unansweredMost = 4096
	// dumpPause is the least time between two flights that a trigger writes out.
	dumpPause = time.Minute
	// retryAfter is the pause after a file that could not be written.
	retryAfter = time.Second
)

// Options are what the settings say of the trace.
type Options struct {
	Dir       string        // of trace files; empty: no file is written as records come
	FileBytes int64         // a file is closed at this size
	FileSpan  time.Duration // and after this time
	Total     int64         // bytes of all files of the router in the folder; the oldest go first
	Block     time.Duration // how long records may wait for their block to be written: what SIGKILL may lose
	Flight    time.Duration // how far back the ring in memory goes; 0: there is none
	Records   int           // and how many records it holds at most
	FlightDir string        // where it is written out
	Trigger   int           // refusals and failures in one second that have it written out; 0: only SIGUSR2 and the backstop
}

// Defaults of Options.
func Defaults() Options {
	return Options{FileBytes: 64 << 20, FileSpan: time.Hour, Total: 1 << 30, Block: 5 * time.Second, Records: 20_000}
}

// Read reads a (trace ...) section. What is wrong is noted with the section.
func Read(s *settings.Section) Options {
	o := Defaults()
	s.String("directory", &o.Dir)
	mb := func(field string, v *int64, high int) {
		n := int(*v >> 20)
		s.Int(field, &n, 1, high)
		*v = int64(n) << 20
	}
	mb("file-mb", &o.FileBytes, 4096)
	mb("total-mb", &o.Total, 1<<20)
	s.Duration("file-span", &o.FileSpan, time.Second, 24*time.Hour)
	s.Duration("block", &o.Block, 100*time.Millisecond, time.Minute)
	s.Duration("flight", &o.Flight, time.Second, time.Hour)
	s.Int("flight-records", &o.Records, 1000, 1_000_000)
	s.String("flight-directory", &o.FlightDir)
	s.Int("trigger", &o.Trigger, 1, 1_000_000)
	switch {
	case o.Dir == "" && o.Flight == 0:
		s.Errorf("", "directory or flight is wanted")
	case o.Flight > 0 && o.FlightDir == "" && o.Dir == "":
		s.Errorf("flight-directory", "is missing: where is the flight written out?")
	case o.Total < 2*o.FileBytes && o.Dir != "":
		s.Errorf("total-mb", "is less than two files of file-mb")
	}
	if o.FlightDir == "" {
		o.FlightDir = o.Dir
	}
	return o
}

// Config is what a Recorder needs.
type Config struct {
	Options
	FS      durable.FS
	Router  string
	Build   string
	Classes []trace.ClassMeta
	Tenants *ledger.Directory // nil: a call's tenant is what its set-up says
	Clock   router.Clock      // the router's
	Log     zerolog.Logger
}

// Recorder is a router.Observer that records. Its methods are for the loop, which never waits: what the writer has no room for
// is dropped and counted, and the gap is a record.
type Recorder struct {
	cfg     Config
	meta    trace.Meta
	classes atomic.Pointer[[]trace.ClassMeta] // as the next file describes them
	calls   [][]followed                      // by slot, in parts that stay where they are
	open    int
	servers map[string]*known
	ring    []slip
	ringAt  int
	gap     int64 // records dropped since the last that was taken
	lost    [2]int64
	second  time.Duration
	dumped  time.Duration
	dumps   int
	count   Counters

	// The loop fills one chunk at a time, which the writer has from its first record on; those that it has emptied come back, and
	// the latest serves first, so that few are in use and stay in the processor's cache.
	queue, back *xsync.SPSCQueue[*chunk]
	chunk       *chunk // being filled
	empty       []*chunk
	chunks      int  // there are
	spare       slip // where a record goes that is dropped, or only kept in the ring

	stop chan struct{}
	done sync.WaitGroup

	written, missed, bytes, files, removed, errs, flights atomic.Uint64
}

// Counters of a Recorder. Open is what is held now.
type Counters struct {
	Records, Dropped, Unfollowed, Written, Bytes, Files, Removed, Errors, Flights uint64
	Open                                                                          int
}

// followed is a call that is open.
type followed struct {
	call, class, tenant string
	server              string
	came, sent          time.Duration
	attempt             int
	slot                uint32
	out, stood          bool
}

// slip is a record as the loop hands it over: the columns of its kind alone, strings as the router has them. The writer makes
// the record of it.
type slip struct {
	at                          int64
	slot                        uint32 // of its call; 0: none
	kind                        trace.Kind
	call, server, class, tenant string // server is the number called where kind is Request
	identity, front             string // of Request
	n                           [trace.MaxFigures]int64
}

// Where the caller's address of a Request stands, after its figures.
const (
	addrHigh = trace.MaxFigures - 3 + iota
	addrLow
	addrKind // 0 untold, 4 or 6
)

// places are where the figures of each kind stand in a slip.
var places = func() (list [trace.KindLimit][trace.FigureCount]uint8) {
	for k := range list {
		_, columns := trace.Columns(trace.Kind(k))
		for i, f := range columns {
			list[k][f] = uint8(i)
		}
	}
	return list
}()

func (s *slip) set(f trace.Figure, n int64) { s.n[places[s.kind][f]] = n }

func (s *slip) setAddr(a netip.Addr) {
	if !a.IsValid() {
		return
	}
	b := a.As16()
	s.n[addrHigh], s.n[addrLow], s.n[addrKind] = int64(binary.BigEndian.Uint64(b[:8])), int64(binary.BigEndian.Uint64(b[8:])), 6
	if a.Is4() {
		s.n[addrKind] = 4
	}
}

// unfold makes records of slips. It is for one goroutine.
type unfold struct {
	record trace.Record
	addrs  map[netip.Addr]string // lately seen
}

// addrsMost addresses are kept as text.
const addrsMost = 4096

func (u *unfold) of(s *slip) *trace.Record {
	r := &u.record
	*r = trace.Record{Kind: s.kind, At: s.at}
	r.Texts[trace.Call], r.Texts[trace.Class], r.Texts[trace.Tenant] = s.call, s.class, s.tenant
	_, columns := trace.Columns(s.kind)
	for i, f := range columns {
		r.Figures[f] = s.n[i]
	}
	if s.kind != trace.Request {
		r.Texts[trace.Server] = s.server
		if s.kind == trace.Avoidance {
			r.Texts[trace.Front] = s.front
		}
		return r
	}
	r.Texts[trace.Number], r.Texts[trace.Identity], r.Texts[trace.Front] = s.server, s.identity, s.front
	if s.n[addrKind] == 0 {
		return r
	}
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], uint64(s.n[addrHigh]))
	binary.BigEndian.PutUint64(b[8:], uint64(s.n[addrLow]))
	a := netip.AddrFrom16(b)
	if s.n[addrKind] == 4 {
		a = a.Unmap()
	}
	text, known := u.addrs[a]
	if !known {
		if u.addrs == nil || len(u.addrs) >= addrsMost {
			u.addrs = map[netip.Addr]string{}
		}
		text = a.String()
		u.addrs[a] = text
	}
	r.Texts[trace.Caller] = text
	return r
}

// known is what has been heard of a server.
type known struct {
	free, total int
	freeAt      time.Duration
	latency     time.Duration
	rate        float64
	loadAt      time.Duration
	phase       threadglade.Phase
	unanswered  []pending // oldest first from head on; those that are answered are taken off when they come to the front
	head        int
}

type pending struct {
	c    *followed // may serve another call by now
	call string
	at   time.Duration
}

// Record starts a recorder. The error names the folder that cannot be used.
func Record(cfg Config) (*Recorder, error) {
	for _, dir := range []string{cfg.Dir, cfg.FlightDir} {
		if dir == "" {
			continue
		}
		if err := cfg.FS.MakeDir(dir); err != nil {
			return nil, fmt.Errorf("trace: %w", err)
		}
	}
	r := &Recorder{cfg: cfg, servers: map[string]*known{}, stop: make(chan struct{}),
		meta: trace.Meta{Router: cfg.Router, Incarnation: cfg.Clock().Microseconds(), Build: cfg.Build}}
	r.classes.Store(&cfg.Classes)
	if cfg.Flight > 0 {
		r.ring = make([]slip, 0, cfg.Records)
	}
	if cfg.Dir != "" {
		r.queue, r.back = xsync.NewSPSCQueue[*chunk](chunksMost), xsync.NewSPSCQueue[*chunk](chunksMost)
		r.done.Add(1)
		go r.write()
	}
	r.put(r.next(trace.Start, 0))
	return r, nil
}

// Counters returns a copy.
func (r *Recorder) Counters() Counters {
	c := r.count
	c.Written, c.Bytes, c.Files, c.Removed, c.Errors, c.Flights = r.written.Load(), r.bytes.Load(), r.files.Load(), r.removed.Load(), r.errs.Load(), r.flights.Load()
	c.Open = r.open
	c.Dropped += r.missed.Load()
	return c
}

// chunk is records on their way to the writer. The loop writes list and then n, the writer reads n and then list.
type chunk struct {
	list [chunkSize]slip
	n    atomic.Int32
}

// next begins a record, which put ends; at 0 is now.
func (r *Recorder) next(kind trace.Kind, at time.Duration) *slip {
	if at == 0 {
		at = r.cfg.Clock()
	}
	if r.chunk == nil && r.queue != nil {
		r.refill(at)
	}
	s := &r.spare
	if r.chunk != nil {
		s = &r.chunk.list[r.chunk.n.Load()]
	}
	*s = slip{kind: kind, at: at.Microseconds()}
	return s
}

// refill takes a chunk, if there is one, and has it begin with what was dropped while there was none.
func (r *Recorder) refill(at time.Duration) {
	for {
		c, ok := r.back.TryDequeue()
		if !ok {
			break
		}
		r.empty = append(r.empty, c)
	}
	switch n := len(r.empty); {
	case n > 0:
		r.chunk, r.empty = r.empty[n-1], r.empty[:n-1]
	case r.chunks < chunksMost:
		r.chunk = &chunk{}
		r.chunks++
	default:
		return
	}
	r.chunk.n.Store(0)
	r.queue.TryEnqueue(r.chunk) // it has room for all that there are
	if r.gap > 0 {
		s := &r.chunk.list[0]
		*s = slip{kind: trace.Gap, at: at.Microseconds()}
		s.set(trace.Count, r.gap)
		r.gap = 0
		r.chunk.n.Store(1)
	}
}

// put ends the record that next began.
func (r *Recorder) put(s *slip) {
	r.count.Records++
	if r.ring != nil {
		if len(r.ring) < cap(r.ring) {
			r.ring = append(r.ring, *s)
		} else {
			r.ring[r.ringAt] = *s
			r.ringAt = (r.ringAt + 1) % len(r.ring)
		}
	}
	switch {
	case r.chunk != nil:
		if r.chunk.n.Add(1) == chunkSize {
			r.chunk = nil
		}
	case r.queue != nil:
		r.gap++
		r.count.Dropped++
	}
}

func (r *Recorder) server(id string) *known {
	s := r.servers[id]
	if s == nil {
		if len(r.servers) >= serversMost { // those that are gone but were asked about since
			clear(r.servers)
		}
		s = &known{freeAt: -1, loadAt: -1}
		r.servers[id] = s
	}
	return s
}

// Observe implements router.Observer.
func (r *Recorder) Observe(e router.Event) {
	switch e.Kind {
	case router.Listed:
		rec := r.next(trace.ListEntry, e.At)
		rec.server = e.Server
		rec.set(trace.State, int64(e.State))
		if e.State == threadglade.Removed {
			delete(r.servers, e.Server)
		}
		r.put(rec)
		return
	case router.AgentsReported:
		s := r.server(e.Server)
		s.free, s.total, s.freeAt = e.Free, e.Total, e.At
		r.report(&e, s)
		return
	case router.LoadReported:
		s := r.server(e.Server)
		s.latency, s.rate, s.loadAt = e.Latency, e.Rate, e.At
		r.report(&e, s)
		return
	case router.Avoided:
		rec := r.next(trace.Avoidance, e.At)
		rec.server, rec.front = e.Server, strings.TrimSpace(e.Class+" "+e.Front)
		rec.set(trace.ElapsedUs, e.Latency.Microseconds())
		rec.set(trace.DeadlineMs, e.RetryAfter.Milliseconds())
		rec.set(trace.Count, int64(e.Free))
		rec.set(trace.Total, int64(e.Total))
		r.put(rec)
		return
	case router.UnknownServerRelease, router.UnknownCallerRelease:
		rec := r.next(trace.UnexpectedRelease, e.At)
		rec.call = e.Call
		rec.set(trace.Outcome, int64(e.Outcome))
		r.put(rec)
		return
	case router.Arrived:
		r.arrived(&e)
		return
	}
	c := r.at(e.Slot)
	if c == nil || c.slot == 0 {
		return
	}
	switch e.Kind {
	case router.Sent, router.Held, router.Withdrawn:
		r.decided(c, &e)
	case router.Refused:
		r.decided(c, &e)
		r.answered(&e, c, trace.AnswerRefused)
	case router.Failed:
		r.decided(c, &e)
		r.answered(&e, c, trace.AnswerFailed)
	case router.CallerLeft:
		r.answered(&e, c, trace.AnswerAbandoned)
	case router.Established:
		c.out, c.stood = false, true
		r.answered(&e, c, trace.AnswerEstablished)
		c.sent = e.At // it stands from now on
	case router.AttemptEnded:
		rec := r.of(trace.AttemptEnd, c, &e)
		rec.set(trace.Attempt, int64(e.Attempt))
		rec.set(trace.Outcome, int64(e.Outcome))
		rec.set(trace.Cause, int64(e.Cause))
		if c.out {
			rec.set(trace.ElapsedUs, (e.At - c.sent).Microseconds())
		}
		r.put(rec)
		if e.Outcome == threadglade.NotSent && !c.out { // the backstop stopped it
			r.trigger(e.At, "backstop")
		}
		c.out = false
	case router.Ended:
		rec := r.of(trace.Release, c, &e)
		rec.set(trace.Outcome, int64(e.Outcome))
		rec.set(trace.Cause, int64(e.Cause))
		rec.set(trace.ElapsedUs, (e.At - c.sent).Microseconds())
		r.put(rec)
	case router.Closed:
		*c = followed{}
		r.open--
	}
}

// at is where the call of a slot is followed; nil beyond followMost.
func (r *Recorder) at(slot uint32) *followed {
	if slot == 0 || slot > followMost {
		return nil
	}
	part := int(slot / partSize)
	for part >= len(r.calls) {
		r.calls = append(r.calls, make([]followed, partSize))
	}
	return &r.calls[part][slot%partSize]
}

// of begins a record of a call.
func (r *Recorder) of(kind trace.Kind, c *followed, e *router.Event) *slip {
	rec := r.next(kind, e.At)
	rec.call, rec.server, rec.class, rec.tenant, rec.slot = c.call, e.Server, c.class, c.tenant, c.slot
	return rec
}

func (r *Recorder) report(e *router.Event, s *known) {
	rec := r.next(trace.Report, e.At)
	rec.server = e.Server
	rec.set(trace.Free, int64(s.free))
	rec.set(trace.Total, int64(s.total))
	rec.set(trace.LatencyUs, -1)
	rec.set(trace.QPSMilli, -1)
	if s.loadAt >= 0 {
		rec.set(trace.LatencyUs, s.latency.Microseconds())
		rec.set(trace.QPSMilli, int64(1000*s.rate))
	}
	r.put(rec)
}

func (r *Recorder) arrived(e *router.Event) {
	c := r.at(e.Slot)
	if c == nil {
		r.count.Unfollowed++
		return
	}
	r.open++
	c.slot = e.Slot
	c.call, c.class, c.tenant, c.came = e.Call, e.Class, e.Tenant, e.At
	if r.cfg.Tenants != nil {
		c.tenant = r.cfg.Tenants.Tenant(e.Tenant, e.Identity, e.Caller, e.Number)
	}
	rec := r.of(trace.Request, c, e)
	rec.server, rec.identity, rec.front = e.Number, e.Identity, e.Front
	rec.setAddr(e.Caller)
	rec.set(trace.DeadlineMs, (e.Deadline - e.At).Milliseconds())
	rec.set(trace.Destination, int64(e.Destination))
	if e.Retry {
		rec.set(trace.Retry, 1)
	}
	r.put(rec)
}

var acts = [32]trace.Action{router.Sent: trace.ActionSent, router.Held: trace.ActionHeld, router.Withdrawn: trace.ActionWithdrawn,
	router.Refused: trace.ActionRefused, router.Failed: trace.ActionFailed}

// decided records a decision with what was known of its server.
func (r *Recorder) decided(c *followed, e *router.Event) {
	var s *known
	rate, lambda := int64(-1), int64(1000*e.View.Lambda)
	if e.View.Rate >= 0 {
		rate = int64(1000 * e.View.Rate)
	}
	if e.Server != "" {
		if s = r.server(e.Server); s.phase != e.View.Phase {
			s.phase = e.View.Phase
			turn := r.next(trace.ControlChange, e.At)
			turn.server = e.Server
			turn.set(trace.State, int64(s.phase))
			turn.set(trace.RateMilli, rate)
			turn.set(trace.LambdaMilli, lambda)
			r.put(turn)
		}
	}
	rec := r.of(trace.Decision, c, e)
	rec.set(trace.ActionCode, int64(acts[e.Kind]))
	rec.set(trace.Reason, int64(e.Reason))
	rec.set(trace.Attempt, int64(e.Attempt))
	rec.set(trace.FreeAgeMs, -1)
	rec.set(trace.LoadAgeMs, -1)
	rec.set(trace.RateMilli, -1)
	if s != nil {
		if s.freeAt >= 0 {
			rec.set(trace.Free, int64(s.free))
			rec.set(trace.FreeAgeMs, (e.At - s.freeAt).Milliseconds())
		}
		if s.loadAt >= 0 {
			rec.set(trace.LatencyUs, s.latency.Microseconds())
			rec.set(trace.QPSMilli, int64(1000*s.rate))
			rec.set(trace.LoadAgeMs, (e.At - s.loadAt).Milliseconds())
		}
		rec.set(trace.RateMilli, rate)
		rec.set(trace.LambdaMilli, lambda)
		rec.set(trace.InFlight, int64(e.View.InFlight))
		rec.set(trace.OldestPendingMs, r.oldest(s, e.At).Milliseconds())
		if e.Kind == router.Sent {
			c.server, c.sent, c.attempt, c.out = e.Server, e.At, e.Attempt, true
			if len(s.unanswered)-s.head < unansweredMost {
				s.unanswered = append(s.unanswered, pending{c, e.Call, e.At})
			}
		}
	}
	r.put(rec)
}

// oldest is the age of the oldest set-up that a server has not answered.
func (r *Recorder) oldest(s *known, now time.Duration) time.Duration {
	for s.head < len(s.unanswered) {
		p := s.unanswered[s.head]
		if p.c.out && p.c.sent == p.at && p.c.call == p.call {
			return now - p.at
		}
		s.unanswered[s.head] = pending{}
		if s.head++; s.head > 64 && s.head > len(s.unanswered)/2 { // moved down now and then, so that its room serves again
			s.unanswered = s.unanswered[:copy(s.unanswered, s.unanswered[s.head:])]
			s.head = 0
		}
	}
	s.unanswered, s.head = s.unanswered[:0], 0
	return 0
}

func (r *Recorder) answered(e *router.Event, c *followed, end trace.AnswerResult) {
	rec := r.of(trace.Answer, c, e)
	rec.server = c.server
	rec.set(trace.FinalAnswer, int64(end))
	rec.set(trace.FailureCode, int64(e.Failure))
	rec.set(trace.RetryAfterMs, e.RetryAfter.Milliseconds())
	rec.set(trace.ElapsedUs, (e.At - c.came).Microseconds())
	r.put(rec)
	if end == trace.AnswerRefused || end == trace.AnswerFailed {
		if e.At-r.second >= time.Second {
			r.second, r.lost = e.At, [2]int64{r.lost[1], 0}
		}
		if r.lost[1]++; r.cfg.Trigger > 0 && r.lost[1] == int64(r.cfg.Trigger) {
			r.trigger(e.At, "losses")
		}
	}
}

// List records that a list came.
func (r *Recorder) List(serial uint32, servers int) {
	rec := r.next(trace.List, 0)
	rec.set(trace.Serial, int64(serial))
	rec.set(trace.Count, int64(servers))
	r.put(rec)
}

// Reload records that the configuration was read anew.
func (r *Recorder) Reload() { r.put(r.next(trace.Reload, 0)) }

// SetClasses has the next file, which begins at once, describe other classes.
func (r *Recorder) SetClasses(classes []trace.ClassMeta) { r.classes.Store(&classes) }

// SetTenants replaces the tenants' tables.
func (r *Recorder) SetTenants(d *ledger.Directory) { r.cfg.Tenants = d }

// trigger writes the flight out, now and then.
func (r *Recorder) trigger(now time.Duration, why string) {
	if r.ring != nil && (r.dumped == 0 || now-r.dumped >= dumpPause) {
		r.dumped = now
		r.Dump(why)
	}
}

// Dump writes out what the ring in memory holds, beside the loop. The copy takes the loop about a millisecond for 20,000 records.
func (r *Recorder) Dump(why string) {
	if r.ring == nil {
		r.cfg.Log.Warn().Str("event", "trace_flight_off").Msg("trace: there is no flight recorder; (flight SPAN) in the settings has one")
		return
	}
	list := make([]slip, 0, len(r.ring))
	list = append(append(list, r.ring[r.ringAt:]...), r.ring[:r.ringAt]...)
	now := r.cfg.Clock()
	r.dumps++
	path := filepath.Join(r.cfg.FlightDir, fmt.Sprintf("%s-flight-%s-%d%s", fileName(r.cfg.Router), time.UnixMicro(now.Microseconds()).UTC().Format("20060102T150405Z"), r.dumps, Extension))
	meta := r.meta
	meta.Part, meta.Classes = 1, *r.classes.Load()
	r.done.Add(1)
	go func() {
		defer r.done.Done()
		first := 0
		for first < len(list) && list[first].at < (now-r.cfg.Flight).Microseconds() {
			first++
		}
		err := durable.WriteFile(r.cfg.FS, path, func(out io.Writer) error {
			var u unfold
			w, err := NewWriter(out, meta)
			for i := first; i < len(list) && err == nil; i++ {
				err = w.Add(u.of(&list[i]), list[i].slot)
			}
			if err != nil {
				return err
			}
			return w.Close()
		})
		if err != nil {
			r.errs.Add(1)
			r.cfg.Log.Error().Str("event", "trace_flight_failed").Msgf("trace: flight: %v", err)
			return
		}
		r.flights.Add(1)
		r.cfg.Log.Warn().Str("event", "trace_flight").Str("file", path).Str("why", why).Msgf("trace: the last %v are in %s (%s)", r.cfg.Flight, path, why)
	}()
}

// Close flushes and closes the file; it waits a second at most.
func (r *Recorder) Close() error {
	close(r.stop)
	ended := make(chan struct{})
	go func() { r.done.Wait(); close(ended) }()
	select {
	case <-ended:
		return nil
	case <-time.After(time.Second):
		return fmt.Errorf("trace: the disk has not taken the last records")
	}
}

// fileName makes a router's name one of a file.
func fileName(name string) string {
	return strings.Map(func(c rune) rune {
		if c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' || c == '.' {
			return c
		}
		return '_'
	}, name)
}

// ---- the writer ----

// output is the file being written.
type output struct {
	path  string
	file  durable.File
	w     *Writer
	began time.Time
	block time.Time // when the first record that waits came
	// classes are those that it describes.
	classes *[]trace.ClassMeta
}

// write is the writer's goroutine.
func (r *Recorder) write() {
	defer r.done.Done()
	var out *output
	var u unfold
	var c *chunk // being read
	at := int32(0)
	part, gone, again := 0, int64(0), time.Time{} // gone: records that a failed file had taken
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	fail := func(err error) {
		r.errs.Add(1)
		r.cfg.Log.Error().Str("event", "trace_failed").Msgf("trace: %v; records are dropped until it works again", err)
		if out != nil {
			out.file.Close()
			waited := out.w.Waiting() + out.w.Lost
			gone += int64(waited)
			r.missed.Add(uint64(waited))
		}
		out, again = nil, time.Now().Add(retryAfter)
	}
	for last := false; ; {
		select {
		case <-r.stop:
			last = true
		case <-ticker.C:
		}
		now := time.Now()
		if out == nil && now.After(again) {
			part++
			var err error
			if out, err = r.begin(part, now); err != nil {
				out = nil
				fail(err)
			} else if gone > 0 {
				gap := trace.Record{Kind: trace.Gap, At: r.cfg.Clock().Microseconds()}
				gap.Figures[trace.Count], gone = gone, 0
				out.w.Add(&gap, 0) // it only waits for its block
			}
		}
		for out != nil {
			if c == nil {
				var more bool
				if c, more = r.queue.TryDequeue(); !more {
					c = nil
					break
				}
				at = 0
			}
			if at == c.n.Load() {
				if at < chunkSize {
					break
				}
				r.back.TryEnqueue(c) // it has room for all that there are
				c = nil
				continue
			}
			if out.w.Waiting() == 0 {
				out.block = now
			}
			rec, before := &c.list[at], out.w.Count
			at++
			if err := out.w.Add(u.of(rec), rec.slot); err != nil {
				fail(err)
				break
			}
			r.written.Add(uint64(out.w.Count - before))
		}
		if out != nil && out.w.Waiting() > 0 && (last || now.Sub(out.block) >= r.cfg.Block) {
			before := out.w.Count
			if err := out.w.Flush(); err != nil {
				fail(err)
			} else {
				r.written.Add(uint64(out.w.Count - before))
			}
		}
		if out != nil && (last || out.w.Offset() >= r.cfg.FileBytes || now.Sub(out.began) >= r.cfg.FileSpan || out.classes != r.classes.Load()) {
			err := out.w.Close()
			if err == nil {
				err = out.file.Sync()
			}
			if err != nil {
				fail(err)
			} else {
				out.file.Close()
				r.bytes.Add(uint64(out.w.Offset()))
				r.files.Add(1)
				out = nil
				if err := r.sweep(""); err != nil {
					r.errs.Add(1)
				}
			}
		}
		if last {
			return
		}
	}
}

// begin opens the next file and makes room for it.
func (r *Recorder) begin(part int, now time.Time) (*output, error) {
	meta, classes := r.meta, r.classes.Load()
	meta.Part, meta.Classes = part, *classes
	path := filepath.Join(r.cfg.Dir, fmt.Sprintf("%s-%s-%06d%s", fileName(r.cfg.Router), time.UnixMicro(r.meta.Incarnation).UTC().Format("20060102T150405.000000Z"), part, Extension))
	if err := r.sweep(path); err != nil {
		return nil, err
	}
	file, err := r.cfg.FS.Create(path)
	if err != nil {
		return nil, err
	}
	w, err := NewWriter(file, meta)
	if err != nil {
		file.Close()
		return nil, err
	}
	return &output{path: path, file: file, w: w, began: now, classes: classes}, nil
}

// sweep removes the router's oldest files until there is room for one more; never the open one.
func (r *Recorder) sweep(open string) error {
	names, err := r.cfg.FS.List(r.cfg.Dir)
	if err != nil {
		return err
	}
	var sizes []int64
	names = slices.DeleteFunc(names, func(n string) bool {
		return !strings.HasPrefix(n, fileName(r.cfg.Router)+"-") || !strings.HasSuffix(n, Extension) || strings.Contains(n, "-flight-") || filepath.Join(r.cfg.Dir, n) == open
	})
	total := int64(0)
	for _, n := range names { // their names are in the order of time
		src, size, err := r.cfg.FS.Open(filepath.Join(r.cfg.Dir, n))
		if err != nil {
			size = 0
		} else {
			src.Close()
		}
		sizes = append(sizes, size)
		total += size
	}
	for i, n := range names {
		if total <= r.cfg.Total-r.cfg.FileBytes || open == "" && i == len(names)-1 {
			break
		}
		if err := r.cfg.FS.Remove(filepath.Join(r.cfg.Dir, n)); err != nil {
			return err
		}
		total -= sizes[i]
		r.removed.Add(1)
	}
	return nil
}
