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
	// maxQueuedRecords limits the records that wait for the writer, which polls every writerPollInterval. They
	// are handed over in chunks.
	maxQueuedRecords   = 8192
	chunkSize          = 256
	maxChunks          = maxQueuedRecords / chunkSize
	writerPollInterval = 10 * time.Millisecond
	// Limits of what is tracked at once: calls, servers, and pending set-ups of one server.
	maxTrackedCalls  = 200_000
	slotPageSize     = 1024 // calls in one page of the call table
	maxServers       = 10_000
	maxPendingSetups = 4096
	// minDumpInterval is the minimum time between two flight recordings written by a trigger.
	minDumpInterval = time.Minute
	// fileRetryDelay is the delay before the next file after one that could not be written.
	fileRetryDelay = time.Second
)

// Options are the settings of a Recorder, as read from a (trace ...) section.
type Options struct {
	Dir           string        // directory of trace files; empty: records are not written continuously
	FileBytes     int64         // size in bytes at which a file is closed and the next begins
	FileSpan      time.Duration // age at which a file is closed and the next begins
	TotalBytes    int64         // limit for all files of the router in Dir; the oldest are removed first
	MaxBlockDelay time.Duration // time after which pending records are written; SIGKILL may lose that much
	FlightSpan    time.Duration // time span of the flight recorder, a ring buffer in memory; 0 disables it
	FlightRecords int           // capacity of the flight recorder
	FlightDir     string        // directory of flight recordings
	FlightTrigger int           // refusals and failures per second that cause a dump; 0: only SIGUSR2 and the backstop do
}

// DefaultOptions returns the defaults of Options.
func DefaultOptions() Options {
	return Options{FileBytes: 64 << 20, FileSpan: time.Hour, TotalBytes: 1 << 30, MaxBlockDelay: 5 * time.Second,
		FlightRecords: 20_000}
}

// ReadOptions reads a (trace ...) section. Errors are reported through the section.
func ReadOptions(section *settings.Section) Options {
	options := DefaultOptions()
	section.String("directory", &options.Dir)
	megabytes := func(field string, value *int64, highest int) {
		n := int(*value >> 20)
		section.Int(field, &n, 1, highest)
		*value = int64(n) << 20
	}
	megabytes("file-mb", &options.FileBytes, 4096)
	megabytes("total-mb", &options.TotalBytes, 1<<20)
	section.Duration("file-span", &options.FileSpan, time.Second, 24*time.Hour)
	section.Duration("block", &options.MaxBlockDelay, 100*time.Millisecond, time.Minute)
	section.Duration("flight", &options.FlightSpan, time.Second, time.Hour)
	section.Int("flight-records", &options.FlightRecords, 1000, 1_000_000)
	section.String("flight-directory", &options.FlightDir)
	section.Int("trigger", &options.FlightTrigger, 1, 1_000_000)
	switch {
	case options.Dir == "" && options.FlightSpan == 0:
		section.Errorf("", "neither directory nor flight is set")
	case options.FlightSpan > 0 && options.FlightDir == "" && options.Dir == "":
		section.Errorf("flight-directory", "is missing; flight requires it if directory is not set")
	case options.TotalBytes < 2*options.FileBytes && options.Dir != "":
		section.Errorf("total-mb", "is less than twice file-mb")
	}
	if options.FlightDir == "" {
		options.FlightDir = options.Dir
	}
	return options
}

// Config holds the options and dependencies of a Recorder.
type Config struct {
	Options
	FS      durable.FS
	Router  string
	Build   string
	Classes []trace.ClassMeta
	Tenants *ledger.Directory // nil: the tenant is taken from the set-up as is
	Clock   router.Clock      // the router's clock
	Log     zerolog.Logger
}

// Recorder is a router.Observer that writes a trace. Its methods are for the event loop only, which never blocks
// on them: records that the writer can't keep up with are dropped and counted, and a Gap record marks the place.
type Recorder struct {
	cfg               Config
	meta              trace.Meta
	classes           atomic.Pointer[[]trace.ClassMeta] // for the metadata of the next file; read by the writer
	calls             [][]trackedCall                   // by slot, in pages that never move
	openCalls         int                               // calls that are tracked now
	servers           map[string]*serverState
	ring              []rawRecord   // flight recorder; nil if off
	ringStart         int           // index of the oldest record once the ring is full
	unreportedDrops   int64         // records dropped since the last one that was queued
	lossCounts        [2]int64      // refusals and failures in the previous and the current window
	lossWindowStart   time.Duration // windows last at least a second
	lastTriggeredDump time.Duration
	dumpCount         int
	counters          Counters

	// The loop fills one chunk at a time. The chunk is queued before its first record, so that the writer can
	// read records as they arrive. Chunks that the writer has emptied are returned and reused last in, first out,
	// so that few are in use and stay in the processor's cache.
	writeQueue, returnQueue *xsync.SPSCQueue[*chunk]
	currentChunk            *chunk // being filled; nil if the next record needs a new one
	emptyChunks             []*chunk
	chunkCount              int       // chunks allocated so far
	scratch                 rawRecord // holds a record that is dropped, or kept only in the ring

	stop chan struct{}
	done sync.WaitGroup

	writtenCount, lostByWriter, byteCount, fileCount, removedCount, errorCount, flightCount atomic.Uint64
}

// Counters holds the cumulative counters of a Recorder. Open is a gauge: the calls that are tracked now.
type Counters struct {
	Records    uint64 // recorded, including dropped ones
	Dropped    uint64 // not written, as the queue was full or a file failed
	Unfollowed uint64 // calls in slots above maxTrackedCalls
	Written    uint64 // records in blocks that were written
	Bytes      uint64 // of closed files
	Files      uint64 // closed
	Removed    uint64 // files removed to keep within Options.TotalBytes
	Errors     uint64 // failures to write or remove a file
	Flights    uint64 // flight recordings written
	Open       int
}

// trackedCall is the state of an open call.
type trackedCall struct {
	id, class, tenant     string
	server                string
	arrivedAt, sentAt     time.Duration
	attempt               int
	slot                  uint32
	inFlight, established bool
}

// rawRecord is a record as the loop hands it over: only the columns of its kind, with strings as the router has
// them. The writer converts it to a trace.Record.
type rawRecord struct {
	at                          int64
	slot                        uint32 // slot of its call; 0: none
	kind                        trace.Kind
	call, server, class, tenant string // server holds the called number if kind is Request
	identity, front             string // set for Request
	figures                     [trace.MaxFigures]int64
}

// Indexes in rawRecord.figures of the caller's address of a Request, after its own figures.
const (
	addrHigh = trace.MaxFigures - 3 + iota
	addrLow
	addrKind // 0 unknown, 4 or 6
)

// figurePositions maps the figures of each kind to their index in rawRecord.figures.
var figurePositions = func() (list [trace.KindLimit][trace.FigureCount]uint8) {
	for k := range list {
		_, columns := trace.Columns(trace.Kind(k))
		for i, f := range columns {
			list[k][f] = uint8(i)
		}
	}
	return list
}()

// set sets a figure, which must be a column of the record's kind.
func (s *rawRecord) set(f trace.Figure, n int64) { s.figures[figurePositions[s.kind][f]] = n }

// setAddr sets the caller's address of a Request without allocating its text.
func (s *rawRecord) setAddr(a netip.Addr) {
	if !a.IsValid() {
		return
	}
	b := a.As16()
	s.figures[addrHigh], s.figures[addrLow], s.figures[addrKind] =
		int64(binary.BigEndian.Uint64(b[:8])), int64(binary.BigEndian.Uint64(b[8:])), 6
	if a.Is4() {
		s.figures[addrKind] = 4
	}
}

// recordBuilder converts rawRecords to trace.Records. It is not safe for concurrent use.
type recordBuilder struct {
	record   trace.Record
	addrText map[netip.Addr]string // text of recently seen addresses
}

// maxCachedAddrs limits the addresses whose text a recordBuilder caches.
const maxCachedAddrs = 4096

// build converts a rawRecord. The result is valid until the next call.
func (u *recordBuilder) build(raw *rawRecord) *trace.Record {
	record := &u.record
	*record = trace.Record{Kind: raw.kind, At: raw.at}
	record.Texts[trace.Call], record.Texts[trace.Class], record.Texts[trace.Tenant] = raw.call, raw.class, raw.tenant
	_, columns := trace.Columns(raw.kind)
	for i, figure := range columns {
		record.Figures[figure] = raw.figures[i]
	}
	if raw.kind != trace.Request {
		record.Texts[trace.Server] = raw.server
		if raw.kind == trace.Avoidance {
			record.Texts[trace.Front] = raw.front
		}
		return record
	}
	record.Texts[trace.Number], record.Texts[trace.Identity], record.Texts[trace.Front] =
		raw.server, raw.identity, raw.front
	if raw.figures[addrKind] == 0 {
		return record
	}
	var addrBytes [16]byte
	binary.BigEndian.PutUint64(addrBytes[:8], uint64(raw.figures[addrHigh]))
	binary.BigEndian.PutUint64(addrBytes[8:], uint64(raw.figures[addrLow]))
	addr := netip.AddrFrom16(addrBytes)
	if raw.figures[addrKind] == 4 {
		addr = addr.Unmap()
	}
	text, known := u.addrText[addr]
	if !known {
		if u.addrText == nil || len(u.addrText) >= maxCachedAddrs {
			u.addrText = map[netip.Addr]string{}
		}
		text = addr.String()
		u.addrText[addr] = text
	}
	record.Texts[trace.Caller] = text
	return record
}

// serverState holds the latest reports of a server and its pending set-ups.
type serverState struct {
	freeAgents, totalAgents int
	agentsAt                time.Duration
	latency                 time.Duration
	rate                    float64
	loadAt                  time.Duration
	phase                   threadglade.Phase
	pendingSetups           []pendingSetup // oldest first, from pendingHead on; removed at the head once answered
	pendingHead             int
}

// pendingSetup is a set-up sent to a server.
type pendingSetup struct {
	tracked *trackedCall // may be reused for another call by now
	callID  string
	sentAt  time.Duration
}

// NewRecorder starts a Recorder and, if Dir is set, its writer goroutine. The error names the directory that
// can't be created. The caller must call Close.
func NewRecorder(cfg Config) (*Recorder, error) {
	for _, dir := range []string{cfg.Dir, cfg.FlightDir} {
		if dir == "" {
			continue
		}
		if err := cfg.FS.MakeDir(dir); err != nil {
			return nil, fmt.Errorf("trace: %w", err)
		}
	}
	recorder := &Recorder{cfg: cfg, servers: map[string]*serverState{}, stop: make(chan struct{}),
		meta: trace.Meta{Router: cfg.Router, Incarnation: cfg.Clock().Microseconds(), Build: cfg.Build}}
	recorder.classes.Store(&cfg.Classes)
	if cfg.FlightSpan > 0 {
		recorder.ring = make([]rawRecord, 0, cfg.FlightRecords)
	}
	if cfg.Dir != "" {
		recorder.writeQueue, recorder.returnQueue =
			xsync.NewSPSCQueue[*chunk](maxChunks), xsync.NewSPSCQueue[*chunk](maxChunks)
		recorder.done.Add(1)
		go recorder.runWriter()
	}
	recorder.commitRecord(recorder.beginRecord(trace.Start, 0))
	return recorder, nil
}

// Counters returns a snapshot of the counters.
func (r *Recorder) Counters() Counters {
	c := r.counters
	c.Written, c.Bytes, c.Files, c.Removed, c.Errors, c.Flights =
		r.writtenCount.Load(), r.byteCount.Load(), r.fileCount.Load(),
		r.removedCount.Load(), r.errorCount.Load(), r.flightCount.Load()
	c.Open = r.openCalls
	c.Dropped += r.lostByWriter.Load()
	return c
}

// chunk carries records to the writer. The loop writes records and then count, the writer reads count and then
// records.
type chunk struct {
	records [chunkSize]rawRecord
	count   atomic.Int32
}

// beginRecord returns a new record to fill in, which commitRecord completes. If at is 0, the record has the
// current time.
func (r *Recorder) beginRecord(kind trace.Kind, at time.Duration) *rawRecord {
	if at == 0 {
		at = r.cfg.Clock()
	}
	if r.currentChunk == nil && r.writeQueue != nil {
		r.takeChunk(at)
	}
	record := &r.scratch
	if r.currentChunk != nil {
		record = &r.currentChunk.records[r.currentChunk.count.Load()]
	}
	*record = rawRecord{kind: kind, at: at.Microseconds()}
	return record
}

// takeChunk sets currentChunk to an empty chunk, if there is one, and queues it. The chunk starts with a Gap
// record if records were dropped while there was none.
func (r *Recorder) takeChunk(at time.Duration) {
	for {
		returned, ok := r.returnQueue.TryDequeue()
		if !ok {
			break
		}
		r.emptyChunks = append(r.emptyChunks, returned)
	}
	switch n := len(r.emptyChunks); {
	case n > 0:
		r.currentChunk, r.emptyChunks = r.emptyChunks[n-1], r.emptyChunks[:n-1]
	case r.chunkCount < maxChunks:
		r.currentChunk = &chunk{}
		r.chunkCount++
	default:
		return
	}
	r.currentChunk.count.Store(0)
	r.writeQueue.TryEnqueue(r.currentChunk) // the queue has room for all chunks
	if r.unreportedDrops > 0 {
		gap := &r.currentChunk.records[0]
		*gap = rawRecord{kind: trace.Gap, at: at.Microseconds()}
		gap.set(trace.Count, r.unreportedDrops)
		r.unreportedDrops = 0
		r.currentChunk.count.Store(1)
	}
}

// commitRecord completes a record that beginRecord returned: it is added to the ring and made visible to the
// writer, or counted as dropped if there was no chunk for it.
func (r *Recorder) commitRecord(record *rawRecord) {
	r.counters.Records++
	if r.ring != nil {
		if len(r.ring) < cap(r.ring) {
			r.ring = append(r.ring, *record)
		} else {
			r.ring[r.ringStart] = *record
			r.ringStart = (r.ringStart + 1) % len(r.ring)
		}
	}
	switch {
	case r.currentChunk != nil:
		if r.currentChunk.count.Add(1) == chunkSize {
			r.currentChunk = nil
		}
	case r.writeQueue != nil:
		r.unreportedDrops++
		r.counters.Dropped++
	}
}

// serverFor returns the state of a server, which is created if it is missing.
func (r *Recorder) serverFor(id string) *serverState {
	s := r.servers[id]
	if s == nil {
		// Servers that were removed but mentioned again afterwards would accumulate.
		if len(r.servers) >= maxServers {
			clear(r.servers)
		}
		s = &serverState{agentsAt: -1, loadAt: -1}
		r.servers[id] = s
	}
	return s
}

// Observe implements router.Observer. It never blocks.
func (r *Recorder) Observe(event router.Event) {
	switch event.Kind {
	case router.Listed:
		record := r.beginRecord(trace.ListEntry, event.At)
		record.server = event.Server
		record.set(trace.State, int64(event.State))
		if event.State == threadglade.Removed {
			delete(r.servers, event.Server)
		}
		r.commitRecord(record)
		return
	case router.AgentsReported:
		server := r.serverFor(event.Server)
		server.freeAgents, server.totalAgents, server.agentsAt = event.Free, event.Total, event.At
		r.recordReport(&event, server)
		return
	case router.LoadReported:
		server := r.serverFor(event.Server)
		server.latency, server.rate, server.loadAt = event.Latency, event.Rate, event.At
		r.recordReport(&event, server)
		return
	case router.Avoided:
		record := r.beginRecord(trace.Avoidance, event.At)
		record.server, record.front = event.Server, strings.TrimSpace(event.Class+" "+event.Front)
		record.set(trace.ElapsedUs, event.Latency.Microseconds())
		record.set(trace.DeadlineMs, event.RetryAfter.Milliseconds())
		record.set(trace.Count, int64(event.Free))
		record.set(trace.Total, int64(event.Total))
		r.commitRecord(record)
		return
	case router.UnknownServerRelease, router.UnknownCallerRelease:
		record := r.beginRecord(trace.UnexpectedRelease, event.At)
		record.call = event.Call
		record.set(trace.Outcome, int64(event.Outcome))
		r.commitRecord(record)
		return
	case router.Arrived:
		r.recordArrival(&event)
		return
	}
	call := r.callAt(event.Slot)
	if call == nil || call.slot == 0 {
		return
	}
	switch event.Kind {
	case router.Sent, router.Held, router.Withdrawn:
		r.recordDecision(call, &event)
	case router.Refused:
		r.recordDecision(call, &event)
		r.recordAnswer(&event, call, trace.AnswerRefused)
	case router.Failed:
		r.recordDecision(call, &event)
		r.recordAnswer(&event, call, trace.AnswerFailed)
	case router.CallerLeft:
		r.recordAnswer(&event, call, trace.AnswerAbandoned)
	case router.Established:
		call.inFlight, call.established = false, true
		r.recordAnswer(&event, call, trace.AnswerEstablished)
		call.sentAt = event.At // Release measures from the time of establishment
	case router.AttemptEnded:
		record := r.beginCallRecord(trace.AttemptEnd, call, &event)
		record.set(trace.Attempt, int64(event.Attempt))
		record.set(trace.Outcome, int64(event.Outcome))
		record.set(trace.Cause, int64(event.Cause))
		if call.inFlight {
			record.set(trace.ElapsedUs, (event.At - call.sentAt).Microseconds())
		}
		r.commitRecord(record)
		if event.Outcome == threadglade.NotSent && !call.inFlight { // the backstop prevented the send
			r.triggerDump(event.At, "backstop")
		}
		call.inFlight = false
	case router.Ended:
		record := r.beginCallRecord(trace.Release, call, &event)
		record.set(trace.Outcome, int64(event.Outcome))
		record.set(trace.Cause, int64(event.Cause))
		record.set(trace.ElapsedUs, (event.At - call.sentAt).Microseconds())
		r.commitRecord(record)
	case router.Closed:
		*call = trackedCall{}
		r.openCalls--
	}
}

// callAt returns the state of the call in a slot; nil for slots above maxTrackedCalls.
func (r *Recorder) callAt(slot uint32) *trackedCall {
	if slot == 0 || slot > maxTrackedCalls {
		return nil
	}
	page := int(slot / slotPageSize)
	for page >= len(r.calls) {
		r.calls = append(r.calls, make([]trackedCall, slotPageSize))
	}
	return &r.calls[page][slot%slotPageSize]
}

// beginCallRecord begins a record of a call.
func (r *Recorder) beginCallRecord(kind trace.Kind, call *trackedCall, event *router.Event) *rawRecord {
	record := r.beginRecord(kind, event.At)
	record.call, record.server, record.class, record.tenant, record.slot =
		call.id, event.Server, call.class, call.tenant, call.slot
	return record
}

// recordReport records the latest report of a server. Latency and rate are -1 if they were never reported.
func (r *Recorder) recordReport(event *router.Event, server *serverState) {
	record := r.beginRecord(trace.Report, event.At)
	record.server = event.Server
	record.set(trace.Free, int64(server.freeAgents))
	record.set(trace.Total, int64(server.totalAgents))
	record.set(trace.LatencyUs, -1)
	record.set(trace.QPSMilli, -1)
	if server.loadAt >= 0 {
		record.set(trace.LatencyUs, server.latency.Microseconds())
		record.set(trace.QPSMilli, int64(1000*server.rate))
	}
	r.commitRecord(record)
}

// recordArrival starts to track a call and records its request.
func (r *Recorder) recordArrival(event *router.Event) {
	call := r.callAt(event.Slot)
	if call == nil {
		r.counters.Unfollowed++
		return
	}
	r.openCalls++
	call.slot = event.Slot
	call.id, call.class, call.tenant, call.arrivedAt = event.Call, event.Class, event.Tenant, event.At
	if r.cfg.Tenants != nil {
		call.tenant = r.cfg.Tenants.Tenant(event.Tenant, event.Identity, event.Caller, event.Number)
	}
	record := r.beginCallRecord(trace.Request, call, event)
	record.server, record.identity, record.front = event.Number, event.Identity, event.Front
	record.setAddr(event.Caller)
	record.set(trace.DeadlineMs, (event.Deadline - event.At).Milliseconds())
	record.set(trace.Destination, int64(event.Destination))
	if event.Retry {
		record.set(trace.Retry, 1)
	}
	r.commitRecord(record)
}

// actions maps the decision events of the router to the actions of a Decision.
var actions = [32]trace.Action{router.Sent: trace.ActionSent, router.Held: trace.ActionHeld,
	router.Withdrawn: trace.ActionWithdrawn, router.Refused: trace.ActionRefused, router.Failed: trace.ActionFailed}

// recordDecision records a decision with what the router knew of the server then, after a ControlChange record if the
// server's phase has changed.
func (r *Recorder) recordDecision(call *trackedCall, event *router.Event) {
	var server *serverState
	rate, lambda := int64(-1), int64(1000*event.View.Lambda)
	if event.View.Rate >= 0 {
		rate = int64(1000 * event.View.Rate)
	}
	if event.Server != "" {
		if server = r.serverFor(event.Server); server.phase != event.View.Phase {
			server.phase = event.View.Phase
			phaseChange := r.beginRecord(trace.ControlChange, event.At)
			phaseChange.server = event.Server
			phaseChange.set(trace.State, int64(server.phase))
			phaseChange.set(trace.RateMilli, rate)
			phaseChange.set(trace.LambdaMilli, lambda)
			r.commitRecord(phaseChange)
		}
	}
	record := r.beginCallRecord(trace.Decision, call, event)
	record.set(trace.ActionCode, int64(actions[event.Kind]))
	record.set(trace.Reason, int64(event.Reason))
	record.set(trace.Attempt, int64(event.Attempt))
	record.set(trace.FreeAgeMs, -1)
	record.set(trace.LoadAgeMs, -1)
	record.set(trace.RateMilli, -1)
	if server != nil {
		if server.agentsAt >= 0 {
			record.set(trace.Free, int64(server.freeAgents))
			record.set(trace.FreeAgeMs, (event.At - server.agentsAt).Milliseconds())
		}
		if server.loadAt >= 0 {
			record.set(trace.LatencyUs, server.latency.Microseconds())
			record.set(trace.QPSMilli, int64(1000*server.rate))
			record.set(trace.LoadAgeMs, (event.At - server.loadAt).Milliseconds())
		}
		record.set(trace.RateMilli, rate)
		record.set(trace.LambdaMilli, lambda)
		record.set(trace.InFlight, int64(event.View.InFlight))
		record.set(trace.OldestPendingMs, r.oldestPending(server, event.At).Milliseconds())
		if event.Kind == router.Sent {
			call.server, call.sentAt, call.attempt, call.inFlight = event.Server, event.At, event.Attempt, true
			if len(server.pendingSetups)-server.pendingHead < maxPendingSetups {
				server.pendingSetups = append(server.pendingSetups, pendingSetup{call, event.Call, event.At})
			}
		}
	}
	r.commitRecord(record)
}

// oldestPending returns the age of the oldest set-up that is pending at a server; 0 if there is none.
func (r *Recorder) oldestPending(server *serverState, now time.Duration) time.Duration {
	for server.pendingHead < len(server.pendingSetups) {
		oldest := server.pendingSetups[server.pendingHead]
		if oldest.tracked.inFlight && oldest.tracked.sentAt == oldest.sentAt && oldest.tracked.id == oldest.callID {
			return now - oldest.sentAt
		}
		server.pendingSetups[server.pendingHead] = pendingSetup{}
		// Compact now and then, so that the array is reused.
		if server.pendingHead++; server.pendingHead > 64 && server.pendingHead > len(server.pendingSetups)/2 {
			server.pendingSetups =
				server.pendingSetups[:copy(server.pendingSetups, server.pendingSetups[server.pendingHead:])]
			server.pendingHead = 0
		}
	}
	server.pendingSetups, server.pendingHead = server.pendingSetups[:0], 0
	return 0
}

// recordAnswer records the final answer to a caller, and dumps the flight recorder if refusals and failures in
// the current second reach FlightTrigger.
func (r *Recorder) recordAnswer(event *router.Event, call *trackedCall, end trace.AnswerResult) {
	record := r.beginCallRecord(trace.Answer, call, event)
	record.server = call.server
	record.set(trace.FinalAnswer, int64(end))
	record.set(trace.FailureCode, int64(event.Failure))
	record.set(trace.RetryAfterMs, event.RetryAfter.Milliseconds())
	record.set(trace.ElapsedUs, (event.At - call.arrivedAt).Microseconds())
	r.commitRecord(record)
	if end == trace.AnswerRefused || end == trace.AnswerFailed {
		if event.At-r.lossWindowStart >= time.Second {
			r.lossWindowStart, r.lossCounts = event.At, [2]int64{r.lossCounts[1], 0}
		}
		if r.lossCounts[1]++; r.cfg.FlightTrigger > 0 && r.lossCounts[1] == int64(r.cfg.FlightTrigger) {
			r.triggerDump(event.At, "losses")
		}
	}
}

// RecordList records the receipt of a server list.
func (r *Recorder) RecordList(serial uint32, servers int) {
	record := r.beginRecord(trace.List, 0)
	record.set(trace.Serial, int64(serial))
	record.set(trace.Count, int64(servers))
	r.commitRecord(record)
}

// RecordReload records that the configuration was reloaded.
func (r *Recorder) RecordReload() { r.commitRecord(r.beginRecord(trace.Reload, 0)) }

// SetClasses replaces the classes in the metadata of trace files. The writer starts a new file for them.
func (r *Recorder) SetClasses(classes []trace.ClassMeta) { r.classes.Store(&classes) }

// SetTenants replaces the directory that maps calls to tenants.
func (r *Recorder) SetTenants(d *ledger.Directory) { r.cfg.Tenants = d }

// triggerDump dumps the flight recorder, at most once per minDumpInterval.
func (r *Recorder) triggerDump(now time.Duration, trigger string) {
	if r.ring != nil && (r.lastTriggeredDump == 0 || now-r.lastTriggeredDump >= minDumpInterval) {
		r.lastTriggeredDump = now
		r.DumpFlight(trigger)
	}
}

// DumpFlight writes the records of the flight recorder to a file, in a goroutine of its own. Copying them takes
// the loop about a millisecond for 20,000 records.
func (r *Recorder) DumpFlight(trigger string) {
	if r.ring == nil {
		r.cfg.Log.Warn().Str("event", "trace_flight_off").
			Msg("trace: the flight recorder is off; (flight SPAN) in the trace settings turns it on")
		return
	}
	records := make([]rawRecord, 0, len(r.ring))
	records = append(append(records, r.ring[r.ringStart:]...), r.ring[:r.ringStart]...)
	now := r.cfg.Clock()
	r.dumpCount++
	path := filepath.Join(r.cfg.FlightDir, fmt.Sprintf("%s-flight-%s-%d%s",
		fileName(r.cfg.Router),
		time.UnixMicro(now.Microseconds()).UTC().Format("20060102T150405Z"),
		r.dumpCount, Extension))
	meta := r.meta
	meta.Part, meta.Classes = 1, *r.classes.Load()
	r.done.Add(1)
	go func() {
		defer r.done.Done()
		first := 0
		for first < len(records) && records[first].at < (now-r.cfg.FlightSpan).Microseconds() {
			first++
		}
		err := durable.WriteFile(r.cfg.FS, path, func(out io.Writer) error {
			var builder recordBuilder
			writer, err := NewWriter(out, meta)
			for i := first; i < len(records) && err == nil; i++ {
				err = writer.Add(builder.build(&records[i]), records[i].slot)
			}
			if err != nil {
				return err
			}
			return writer.Close()
		})
		if err != nil {
			r.errorCount.Add(1)
			r.cfg.Log.Error().Str("event", "trace_flight_failed").
				Msgf("trace: writing the flight recording failed: %v", err)
			return
		}
		r.flightCount.Add(1)
		r.cfg.Log.Warn().Str("event", "trace_flight").Str("file", path).Str("why", trigger).
			Msgf("trace: wrote the records of the last %v to %s, triggered by %s", r.cfg.FlightSpan, path, trigger)
	}()
}

// Close stops the writer, which flushes and closes its file, and waits for pending dumps. It returns an error if
// that takes more than a second.
func (r *Recorder) Close() error {
	close(r.stop)
	ended := make(chan struct{})
	go func() {
		r.done.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-time.After(time.Second):
		return fmt.Errorf("trace: the remaining records were not written within a second")
	}
}

// fileName replaces the characters of a router's name that are not safe in a file name.
func fileName(name string) string {
	return strings.Map(func(c rune) rune {
		if c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_' || c == '.' {
			return c
		}
		return '_'
	}, name)
}

// output is the file that the writer has open.
type output struct {
	path         string
	file         durable.File
	writer       *Writer
	openedAt     time.Time
	pendingSince time.Time          // when the first pending record was taken
	classes      *[]trace.ClassMeta // in its metadata
}

// runWriter is the writer goroutine. It moves records from the queue to the open file until Close is called, and
// then writes the remaining ones.
func (r *Recorder) runWriter() {
	defer r.done.Done()
	var out *output
	var builder recordBuilder
	var current *chunk // being read
	position := int32(0)
	// lostRecords counts the records lost with files that failed, for the next Gap record.
	part, lostRecords, retryTime := 0, int64(0), time.Time{}
	ticker := time.NewTicker(writerPollInterval)
	defer ticker.Stop()
	fail := func(err error) {
		r.errorCount.Add(1)
		r.cfg.Log.Error().Str("event", "trace_failed").
			Msgf("trace: %v; records are dropped until a file can be written again", err)
		if out != nil {
			out.file.Close()
			lost := out.writer.PendingRecords() + out.writer.LostRecords
			lostRecords += int64(lost)
			r.lostByWriter.Add(uint64(lost))
		}
		out, retryTime = nil, time.Now().Add(fileRetryDelay)
	}
	for stopping := false; ; {
		select {
		case <-r.stop:
			stopping = true
		case <-ticker.C:
		}
		now := time.Now()
		if out == nil && now.After(retryTime) {
			part++
			var err error
			if out, err = r.openFile(part, now); err != nil {
				out = nil
				fail(err)
			} else if lostRecords > 0 {
				gap := trace.Record{Kind: trace.Gap, At: r.cfg.Clock().Microseconds()}
				gap.Figures[trace.Count], lostRecords = lostRecords, 0
				out.writer.Add(&gap, 0) // buffered only, can't fail yet
			}
		}
		for out != nil {
			if current == nil {
				var more bool
				if current, more = r.writeQueue.TryDequeue(); !more {
					current = nil
					break
				}
				position = 0
			}
			if position == current.count.Load() {
				if position < chunkSize {
					break
				}
				r.returnQueue.TryEnqueue(current) // the queue has room for all chunks
				current = nil
				continue
			}
			if out.writer.PendingRecords() == 0 {
				out.pendingSince = now
			}
			record, writtenBefore := &current.records[position], out.writer.WrittenRecords
			position++
			if err := out.writer.Add(builder.build(record), record.slot); err != nil {
				fail(err)
				break
			}
			r.writtenCount.Add(uint64(out.writer.WrittenRecords - writtenBefore))
		}
		if out != nil && out.writer.PendingRecords() > 0 && (stopping || now.Sub(out.pendingSince) >= r.cfg.MaxBlockDelay) {
			writtenBefore := out.writer.WrittenRecords
			if err := out.writer.Flush(); err != nil {
				fail(err)
			} else {
				r.writtenCount.Add(uint64(out.writer.WrittenRecords - writtenBefore))
			}
		}
		if out != nil && (stopping ||
			out.writer.Offset() >= r.cfg.FileBytes ||
			now.Sub(out.openedAt) >= r.cfg.FileSpan ||
			out.classes != r.classes.Load()) {
			err := out.writer.Close()
			if err == nil {
				err = out.file.Sync()
			}
			if err != nil {
				fail(err)
			} else {
				out.file.Close()
				r.byteCount.Add(uint64(out.writer.Offset()))
				r.fileCount.Add(1)
				out = nil
				if err := r.removeOldFiles(""); err != nil {
					r.errorCount.Add(1)
				}
			}
		}
		if stopping {
			return
		}
	}
}

// openFile removes old files as needed and creates the next one.
func (r *Recorder) openFile(part int, now time.Time) (*output, error) {
	meta, classes := r.meta, r.classes.Load()
	meta.Part, meta.Classes = part, *classes
	path := filepath.Join(r.cfg.Dir, fmt.Sprintf("%s-%s-%06d%s",
		fileName(r.cfg.Router),
		time.UnixMicro(r.meta.Incarnation).UTC().Format("20060102T150405.000000Z"),
		part, Extension))
	if err := r.removeOldFiles(path); err != nil {
		return nil, err
	}
	file, err := r.cfg.FS.Create(path)
	if err != nil {
		return nil, err
	}
	writer, err := NewWriter(file, meta)
	if err != nil {
		file.Close()
		return nil, err
	}
	return &output{path: path, file: file, writer: writer, openedAt: now, classes: classes}, nil
}

// removeOldFiles removes the router's oldest files until one more of FileBytes fits within TotalBytes. It keeps
// the file at path open or, if open is empty, the newest file.
func (r *Recorder) removeOldFiles(openPath string) error {
	names, err := r.cfg.FS.List(r.cfg.Dir)
	if err != nil {
		return err
	}
	var sizes []int64
	names = slices.DeleteFunc(names, func(name string) bool {
		return !strings.HasPrefix(name, fileName(r.cfg.Router)+"-") ||
			!strings.HasSuffix(name, Extension) ||
			strings.Contains(name, "-flight-") ||
			filepath.Join(r.cfg.Dir, name) == openPath
	})
	total := int64(0)
	for _, name := range names { // names sort by time
		file, size, err := r.cfg.FS.Open(filepath.Join(r.cfg.Dir, name))
		if err != nil {
			size = 0
		} else {
			file.Close()
		}
		sizes = append(sizes, size)
		total += size
	}
	for i, name := range names {
		if total <= r.cfg.TotalBytes-r.cfg.FileBytes || openPath == "" && i == len(names)-1 {
			break
		}
		if err := r.cfg.FS.Remove(filepath.Join(r.cfg.Dir, name)); err != nil {
			return err
		}
		total -= sizes[i]
		r.removedCount.Add(1)
	}
	return nil
}
