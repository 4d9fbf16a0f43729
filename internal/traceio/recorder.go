package traceio

import (
	"fmt"
	"io"
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
	// queueMost records may wait for the writer, which looks every lookEvery.
	queueMost = 8192
	lookEvery = 10 * time.Millisecond
	// followMost calls are followed at once, serversMost servers, and unansweredMost set-ups of one server.
	followMost     = 200_000
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
	s.Span("file-span", &o.FileSpan, time.Second, 24*time.Hour)
	s.Span("block", &o.Block, 100*time.Millisecond, time.Minute)
	s.Span("flight", &o.Flight, time.Second, time.Hour)
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
	calls   map[string]*followed
	free    []*followed
	servers map[string]*known
	ring    []trace.Record
	ringAt  int
	gap     int64 // records dropped since the last that was taken
	lost    [2]int64
	second  time.Duration
	dumped  time.Duration
	dumps   int
	count   Counters

	queue *xsync.SPSCQueue[trace.Record]
	stop  chan struct{}
	done  sync.WaitGroup

	written, missed, bytes, files, removed, errs, flights atomic.Uint64
}

// Counters of a Recorder. Open is what is held now.
type Counters struct {
	Records, Dropped, Unfollowed, Written, Bytes, Files, Removed, Errors, Flights uint64
	Open                                                                          int
}

// followed is a call that is open.
type followed struct {
	class, tenant, server string
	came, sent            time.Duration
	attempt               int
	out, stood            bool
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
	r := &Recorder{cfg: cfg, calls: map[string]*followed{}, servers: map[string]*known{}, stop: make(chan struct{}),
		meta: trace.Meta{Router: cfg.Router, Life: cfg.Clock().Microseconds(), Build: cfg.Build, Classes: cfg.Classes}}
	if cfg.Flight > 0 {
		r.ring = make([]trace.Record, 0, cfg.Records)
	}
	if cfg.Dir != "" {
		r.queue = xsync.NewSPSCQueue[trace.Record](queueMost)
		r.done.Add(1)
		go r.write()
	}
	r.put(&trace.Record{Kind: trace.Start})
	return r, nil
}

// Counters returns a copy.
func (r *Recorder) Counters() Counters {
	c := r.count
	c.Written, c.Bytes, c.Files, c.Removed, c.Errors, c.Flights = r.written.Load(), r.bytes.Load(), r.files.Load(), r.removed.Load(), r.errs.Load(), r.flights.Load()
	c.Open = len(r.calls)
	c.Dropped += r.missed.Load()
	return c
}

// put takes a record.
func (r *Recorder) put(rec *trace.Record) {
	if rec.At == 0 {
		rec.At = r.cfg.Clock().Microseconds()
	}
	r.count.Records++
	if r.ring != nil {
		if len(r.ring) < cap(r.ring) {
			r.ring = append(r.ring, *rec)
		} else {
			r.ring[r.ringAt] = *rec
			r.ringAt = (r.ringAt + 1) % len(r.ring)
		}
	}
	if r.queue == nil {
		return
	}
	if r.gap > 0 {
		gap := trace.Record{Kind: trace.Gap, At: rec.At}
		gap.N[trace.Count] = r.gap
		if r.queue.TryEnqueue(gap) {
			r.gap = 0
		}
	}
	if r.gap > 0 || !r.queue.TryEnqueue(*rec) {
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
	rec := trace.Record{At: e.At.Microseconds()}
	rec.S[trace.Call], rec.S[trace.Server] = e.Call, e.Server
	switch e.Kind {
	case router.Listed:
		rec.Kind, rec.N[trace.State] = trace.Listed, int64(e.State)
		if e.State == threadglade.Removed {
			delete(r.servers, e.Server)
		}
		r.put(&rec)
		return
	case router.Reported:
		s := r.server(e.Server)
		s.free, s.total, s.freeAt = e.Free, e.Total, e.At
		r.report(&rec, s)
		return
	case router.Loaded:
		s := r.server(e.Server)
		s.latency, s.rate, s.loadAt = e.Latency, e.Rate, e.At
		r.report(&rec, s)
		return
	case router.OrphanRelease, router.StrayRelease:
		rec.Kind, rec.N[trace.Outcome] = trace.Stray, int64(e.Outcome)
		r.put(&rec)
		return
	case router.Arrived:
		r.arrived(&rec, e)
		return
	}
	c := r.calls[e.Call]
	if c == nil {
		return
	}
	rec.S[trace.Class], rec.S[trace.Tenant] = c.class, c.tenant
	switch e.Kind {
	case router.Sent, router.Held, router.Withdrawn:
		r.decided(&rec, c, e)
	case router.Refused:
		r.decided(&rec, c, e)
		r.answered(e, c, trace.EndRefused)
	case router.Failed:
		r.decided(&rec, c, e)
		r.answered(e, c, trace.EndFailed)
	case router.Left:
		r.answered(e, c, trace.EndLeft)
	case router.Stood:
		c.out, c.stood = false, true
		r.answered(e, c, trace.EndStood)
		c.sent = e.At // it stands from now on
	case router.AttemptEnded:
		rec.Kind = trace.AttemptEnd
		rec.N[trace.Attempt], rec.N[trace.Outcome], rec.N[trace.Cause] = int64(e.Attempt), int64(e.Outcome), int64(e.Cause)
		if c.out {
			rec.N[trace.TookUs] = (e.At - c.sent).Microseconds()
		}
		r.put(&rec)
		if e.Outcome == threadglade.NotSent && !c.out { // the backstop stopped it
			r.trigger(e.At, "backstop")
		}
		c.out = false
	case router.Ended:
		rec.Kind = trace.Release
		rec.N[trace.Outcome], rec.N[trace.Cause], rec.N[trace.TookUs] = int64(e.Outcome), int64(e.Cause), (e.At - c.sent).Microseconds()
		r.put(&rec)
	case router.Over:
		delete(r.calls, e.Call)
		if len(r.free) < 1024 {
			r.free = append(r.free, c)
		}
	}
}

func (r *Recorder) report(rec *trace.Record, s *known) {
	rec.Kind = trace.Report
	rec.N[trace.Free], rec.N[trace.Total], rec.N[trace.LatencyUs], rec.N[trace.QpsMilli] = int64(s.free), int64(s.total), -1, -1
	if s.loadAt >= 0 {
		rec.N[trace.LatencyUs], rec.N[trace.QpsMilli] = s.latency.Microseconds(), int64(1000*s.rate)
	}
	r.put(rec)
}

func (r *Recorder) arrived(rec *trace.Record, e router.Event) {
	if len(r.calls) >= followMost {
		r.count.Unfollowed++
		return
	}
	var c *followed
	if n := len(r.free); n > 0 {
		c, r.free = r.free[n-1], r.free[:n-1]
		*c = followed{}
	} else {
		c = &followed{}
	}
	c.class, c.tenant, c.came = e.Class, e.Tenant, e.At
	if r.cfg.Tenants != nil {
		c.tenant = r.cfg.Tenants.Tenant(e.Tenant, e.Identity, e.Caller, e.Number)
	}
	r.calls[e.Call] = c
	rec.Kind = trace.Request
	rec.S[trace.Class], rec.S[trace.Tenant], rec.S[trace.Number], rec.S[trace.Identity], rec.S[trace.Front] = e.Class, c.tenant, e.Number, e.Identity, e.Front
	if e.Caller.IsValid() {
		rec.S[trace.Caller] = e.Caller.String()
	}
	rec.N[trace.DeadlineMs], rec.N[trace.Destination] = (e.Deadline - e.At).Milliseconds(), int64(e.Destination)
	if e.Retry {
		rec.N[trace.Retry] = 1
	}
	r.put(rec)
}

var acts = [32]trace.Action{router.Sent: trace.Sent, router.Held: trace.Held, router.Withdrawn: trace.GivenUp,
	router.Refused: trace.Refused, router.Failed: trace.Failed}

// decided records a decision with what was known of its server.
func (r *Recorder) decided(rec *trace.Record, c *followed, e router.Event) {
	rec.Kind = trace.Decision
	rec.N[trace.Act], rec.N[trace.Reason], rec.N[trace.Attempt] = int64(acts[e.Kind]), int64(e.Reason), int64(e.Attempt)
	rec.N[trace.FreeAgeMs], rec.N[trace.LoadAgeMs], rec.N[trace.RateMilli] = -1, -1, -1
	if e.Server != "" {
		s := r.server(e.Server)
		if s.freeAt >= 0 {
			rec.N[trace.Free], rec.N[trace.FreeAgeMs] = int64(s.free), (e.At - s.freeAt).Milliseconds()
		}
		if s.loadAt >= 0 {
			rec.N[trace.LatencyUs], rec.N[trace.QpsMilli], rec.N[trace.LoadAgeMs] = s.latency.Microseconds(), int64(1000*s.rate), (e.At - s.loadAt).Milliseconds()
		}
		if e.View.Rate >= 0 {
			rec.N[trace.RateMilli] = int64(1000 * e.View.Rate)
		}
		rec.N[trace.LambdaMilli], rec.N[trace.Out], rec.N[trace.OldestMs] = int64(1000*e.View.Lambda), int64(e.View.Out), r.oldest(s, e.At).Milliseconds()
		if s.phase != e.View.Phase {
			s.phase = e.View.Phase
			turn := trace.Record{Kind: trace.Turn, At: rec.At}
			turn.S[trace.Server] = e.Server
			turn.N[trace.State], turn.N[trace.RateMilli], turn.N[trace.LambdaMilli] = int64(s.phase), rec.N[trace.RateMilli], rec.N[trace.LambdaMilli]
			r.put(&turn)
		}
		if e.Kind == router.Sent {
			c.server, c.sent, c.attempt, c.out = e.Server, e.At, e.Attempt, true
			if len(s.unanswered)-s.head < unansweredMost {
				s.unanswered = append(s.unanswered, pending{e.Call, e.At})
			}
		}
	}
	r.put(rec)
}

// oldest is the age of the oldest set-up that a server has not answered.
func (r *Recorder) oldest(s *known, now time.Duration) time.Duration {
	for s.head < len(s.unanswered) {
		p := s.unanswered[s.head]
		if c := r.calls[p.call]; c != nil && c.out && c.sent == p.at {
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

func (r *Recorder) answered(e router.Event, c *followed, end trace.End) {
	rec := trace.Record{Kind: trace.Answer, At: e.At.Microseconds()}
	rec.S[trace.Call], rec.S[trace.Class], rec.S[trace.Tenant], rec.S[trace.Server] = e.Call, c.class, c.tenant, c.server
	rec.N[trace.Final], rec.N[trace.Why], rec.N[trace.RetryAfterMs], rec.N[trace.TookUs] = int64(end), int64(e.Why), e.RetryAfter.Milliseconds(), (e.At - c.came).Microseconds()
	r.put(&rec)
	if end == trace.EndRefused || end == trace.EndFailed {
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
	rec := trace.Record{Kind: trace.List}
	rec.N[trace.Serial], rec.N[trace.Count] = int64(serial), int64(servers)
	r.put(&rec)
}

// Reload records that the configuration was read anew.
func (r *Recorder) Reload() { r.put(&trace.Record{Kind: trace.Reload}) }

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
	list := make([]trace.Record, 0, len(r.ring))
	list = append(append(list, r.ring[r.ringAt:]...), r.ring[:r.ringAt]...)
	now := r.cfg.Clock()
	r.dumps++
	path := filepath.Join(r.cfg.FlightDir, fmt.Sprintf("%s-flight-%s-%d%s", fileName(r.cfg.Router), time.UnixMicro(now.Microseconds()).UTC().Format("20060102T150405Z"), r.dumps, Extension))
	meta := r.meta
	meta.Part = 1
	r.done.Add(1)
	go func() {
		defer r.done.Done()
		first := 0
		for first < len(list) && list[first].At < (now-r.cfg.Flight).Microseconds() {
			first++
		}
		err := durable.WriteFile(r.cfg.FS, path, func(out io.Writer) error {
			w, err := NewWriter(out, meta)
			for i := first; i < len(list) && err == nil; i++ {
				err = w.Add(&list[i])
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
}

// write is the writer's goroutine.
func (r *Recorder) write() {
	defer r.done.Done()
	var out *output
	part, gone, again := 0, int64(0), time.Time{} // gone: records that a failed file had taken
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	fail := func(err error) {
		r.errs.Add(1)
		r.cfg.Log.Error().Str("event", "trace_failed").Msgf("trace: %v; records are dropped until it works again", err)
		if out != nil {
			out.file.Close()
			gone += int64(out.w.Waiting())
			r.missed.Add(uint64(out.w.Waiting()))
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
				gap.N[trace.Count], gone = gone, 0
				out.w.Add(&gap) // it only waits for its block
			}
		}
		for out != nil {
			rec, ok := r.queue.TryDequeue()
			if !ok {
				break
			}
			if out.w.Waiting() == 0 {
				out.block = now
			}
			before := out.w.Count
			if err := out.w.Add(&rec); err != nil {
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
		if out != nil && (last || out.w.Offset() >= r.cfg.FileBytes || now.Sub(out.began) >= r.cfg.FileSpan) {
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
	meta := r.meta
	meta.Part = part
	path := filepath.Join(r.cfg.Dir, fmt.Sprintf("%s-%s-%06d%s", fileName(r.cfg.Router), time.UnixMicro(r.meta.Life).UTC().Format("20060102T150405.000000Z"), part, Extension))
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
	return &output{path: path, file: file, w: w, began: now}, nil
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
