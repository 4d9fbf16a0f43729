package ledgerio

import (
	"errors"
	"fmt"
	"io"
	"math"
	"path/filepath"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/puzpuzpuz/xsync/v4"
	"github.com/rs/zerolog"

	"threadglade.example/threadglade"
	"threadglade.example/threadglade/internal/durable"
	"threadglade.example/threadglade/ledger"
	"threadglade.example/threadglade/router"
)

const (
	// maxQueuedBatches and maxQueuedEntries limit what is queued for the writer. Beyond them entries stay with the
	// ledger.Keeper, which keeps only totals when it has too many.
	maxQueuedBatches = 256
	maxQueuedEntries = 16_384
	// retryDelay is the delay before a failed write is retried.
	retryDelay = 250 * time.Millisecond
	// refusalRetryAfter is the retry advice in refusals of calls that cannot be billed.
	refusalRetryAfter = time.Second
	// errorLogInterval is the minimum time between two log lines about a persisting error.
	errorLogInterval = 10 * time.Second
	// maxSpareBuffers is the number of entry buffers kept for reuse.
	maxSpareBuffers = 8
)

// Options are the ledger's settings.
type Options struct {
	Dir              string // the ledger's directory
	Settings         ledger.Settings
	SyncInterval     time.Duration // interval between fsyncs of the journal; 0: after every write
	ExportDir        string        // directory to which closed periods are exported; empty: only by command
	Retention        time.Duration // how long exported segments are kept
	RefuseUnbillable bool          // whether calls are refused while they cannot be recorded
	DiskTimeout      time.Duration // longest wait for the disk before calls proceed without it
	MaxSegmentBytes  int64         // segment size in bytes at which a new segment is started
	Tenants          *ledger.Directory
}

// Defaults returns the default Options; the router's name is left empty.
func Defaults() Options {
	return Options{
		Settings: ledger.Settings{
			Length:         time.Hour.Milliseconds(),
			Grace:          (30 * time.Second).Milliseconds(),
			UnknownTimeout: (15 * time.Minute).Milliseconds(),
		},
		SyncInterval:    200 * time.Millisecond,
		Retention:       35 * 24 * time.Hour,
		DiskTimeout:     20 * time.Millisecond,
		MaxSegmentBytes: 16 << 20,
	}
}

// Config holds the settings and dependencies of a Recorder.
type Config struct {
	Options
	FS        durable.FS
	Classes   map[string]ledger.Class
	WallClock func() int64 // time of day in milliseconds since the Unix epoch
	Clock     router.Clock
	WakeLoop  func() // makes the event loop call Released again; called from any goroutine
	Log       zerolog.Logger
}

// Recorder records a running router's ledger. As the router's observer it counts events; as the event loop's output
// gate it holds back the output of a loop iteration until the iteration's entries have been handed to the operating
// system. The loop never blocks on the disk: if a write takes longer than DiskTimeout, calls proceed without it and
// totals are kept in memory. Its methods are for the loop's goroutine; Close is called after the loop has ended.
type Recorder struct {
	cfg    Config
	keeper *ledger.Keeper
	lock   io.Closer

	// Used by the loop's goroutine only.
	ticket       uint64        // of the batch queued last
	waitingSince time.Duration // when unwritten entries last made progress; 0: everything is written
	lastWritten  uint64        // writtenTicket as last seen by Released
	bypassed     bool          // the disk is failing or too slow, and output does not wait for it
	bypassCount  uint64        // transitions to bypassed
	refusedCount uint64        // requests refused while bypassed

	queue           *xsync.SPSCQueue[batch]
	spareBuffers    *xsync.SPSCQueue[[]ledger.Entry]
	queuedEntries   atomic.Int64  // entries in the queue or with the writer
	queuedBatches   atomic.Int64  // batches in the queue
	writtenTicket   atomic.Uint64 // ticket of the last batch written
	loopWaiting     atomic.Bool   // the loop must be woken after the next write or failure
	writeFailed     atomic.Bool   // the last write failed
	wakeWriter      chan struct{}
	stop            chan struct{}
	writerDone      sync.WaitGroup // runWriter
	maintenanceDone sync.WaitGroup // runMaintenance

	// Used by the writer's goroutine; log.Sync is also called by the maintenance goroutine, which receives
	// periodClosed.
	state        *ledger.State // as of the last entry written
	log          *durable.Log
	lastErrorLog time.Time // when the writer last logged an error
	periodClosed chan struct{}

	writes, writeErrors, syncErrors, exported, exportErrors, removedSegments, writtenBytes atomic.Uint64
}

// batch holds the entries of one or more loop iterations.
type batch struct {
	ticket  uint64
	entries []ledger.Entry
}

// Counters are a Recorder's counters since its start. Troubles counts how often the disk was bypassed, Turned the calls
// refused meanwhile, and Dropped the removed segments. Queued (entries not written yet) and Trouble (the disk is
// bypassed) are current values. The names of the fields appear in the router's counters line.
type Counters struct {
	ledger.KeeperCounters
	Writes, Bytes, Errors, SyncErrors, Troubles, Turned, Exported, ExportErrors, Dropped uint64
	Queued                                                                               int64
	Trouble                                                                              bool
}

// Open continues the ledger in cfg.Dir, or creates one there. It fails if a file in the directory is damaged (the
// error names it), if the ledger belongs to another router or has another period length, or if another process has
// it open.
func Open(cfg Config) (*Recorder, error) {
	if err := cfg.Settings.Validate(); err != nil {
		return nil, err
	}
	if cfg.WakeLoop == nil {
		cfg.WakeLoop = func() {}
	}
	if err := cfg.FS.MakeDir(cfg.Dir); err != nil {
		return nil, fmt.Errorf("ledger: %w", err)
	}
	lock, err := cfg.FS.Lock(filepath.Join(cfg.Dir, lockName))
	if err != nil {
		return nil, fmt.Errorf("ledger: %w", err)
	}
	recorder, err := openRecorder(cfg)
	if err != nil {
		lock.Close()
		return nil, fmt.Errorf("ledger: %w", err)
	}
	recorder.lock = lock
	recorder.writerDone.Add(1)
	recorder.maintenanceDone.Add(1)
	go recorder.runWriter()
	go recorder.runMaintenance()
	return recorder, nil
}

// openRecorder recovers the ledger's state and returns a Recorder whose goroutines are not started yet.
func openRecorder(cfg Config) (*Recorder, error) {
	state, scan, err := Recover(cfg.FS, cfg.Dir)
	if err != nil {
		return nil, err
	}
	if state == nil {
		state = ledger.NewInitializedState(cfg.Settings)
	}
	for _, torn := range scan.Torn {
		cfg.Log.Warn().Str("event", "ledger_torn").Str("where", torn).
			Msgf("ledger: incomplete data left by a crash is ignored: %s", torn)
	}
	if state.Router != cfg.Settings.Router || state.Length != cfg.Settings.Length {
		return nil, fmt.Errorf("%s is the ledger of %s with periods of %v, not that of %s with %v; use another directory",
			cfg.Dir, state.Router, time.Duration(state.Length)*time.Millisecond,
			cfg.Settings.Router, time.Duration(cfg.Settings.Length)*time.Millisecond)
	}
	state.Settings = cfg.Settings
	state.CompactNames()
	recorder := &Recorder{
		cfg:          cfg,
		state:        state,
		queue:        xsync.NewSPSCQueue[batch](maxQueuedBatches),
		spareBuffers: xsync.NewSPSCQueue[[]ledger.Entry](maxSpareBuffers),
		wakeWriter:   make(chan struct{}, 1),
		stop:         make(chan struct{}),
		periodClosed: make(chan struct{}, 1),
	}
	recorder.keeper = ledger.NewKeeper(ledger.KeeperConfig{
		Classes:   cfg.Classes,
		Tenants:   cfg.Tenants,
		WallClock: cfg.WallClock,
	}, state)
	if recorder.log, err = durable.ContinueLog(
		journalConfig(cfg.FS, cfg.Dir, cfg.MaxSegmentBytes, state), scan); err != nil {
		return nil, err
	}
	cfg.Log.Info().Str("event", "ledger_open").Str("dir", cfg.Dir).Int("open", len(state.Calls)).
		Uint64("statements", state.Sequence).
		Msgf("ledger: opened %s: %d calls of earlier runs are open, periods are closed up to %s", cfg.Dir,
			len(state.Calls), formatTime(state.Closed))
	return recorder, nil
}

// Methods of the loop's goroutine.

// Observe implements router.Observer.
func (r *Recorder) Observe(e router.Event) { r.keeper.Observe(e) }

// Tick closes periods and calls that are due. The loop calls it a few times a second.
func (r *Recorder) Tick() { r.keeper.Tick() }

// SetTenants replaces the tenant directory for calls that arrive from now on.
func (r *Recorder) SetTenants(d *ledger.Directory) { r.keeper.SetTenants(d) }

// SetClasses replaces the classes by which calls that arrive from now on are valued.
func (r *Recorder) SetClasses(classes map[string]ledger.Class) { r.keeper.SetClasses(classes) }

// Adopt records an established call taken over from another router. It returns false if the ledger already has the
// call.
func (r *Recorder) Adopt(t ledger.TakenOverCall) bool { return r.keeper.Adopt(t) }

// RemoveCall removes a call that another router has taken over and now has in its ledger.
func (r *Recorder) RemoveCall(id string) { r.keeper.RemoveCall(ledger.CallKey(id)) }

// SuspendOpenCalls suspends the calls left open by earlier processes until ResumeOpenCalls, and returns their IDs.
func (r *Recorder) SuspendOpenCalls() []string { return r.keeper.SuspendOpenCalls() }

// ResumeOpenCalls ends the suspension; taken contains the IDs of the calls that other routers have taken over.
func (r *Recorder) ResumeOpenCalls(taken []string) { r.keeper.ResumeOpenCalls(taken) }

// Admit refuses a request, with retry advice, if it cannot be recorded now and Options.RefuseUnbillable is set.
func (r *Recorder) Admit(router.Request) (threadglade.Reason, time.Duration) {
	if !r.cfg.RefuseUnbillable || !r.bypassed {
		return threadglade.NoReason, 0
	}
	r.refusedCount++
	return threadglade.Unbillable, refusalRetryAfter
}

// Commit implements loop.OutputGate: it queues the iteration's entries for the writer and returns their ticket. It
// yields the processor, so that on one core the writer runs at once and, with a fast disk, is done when Commit
// returns.
func (r *Recorder) Commit() uint64 {
	if !r.keeper.HasEntries() {
		return r.ticket
	}
	if r.queuedEntries.Load() >= maxQueuedEntries || r.queuedBatches.Load() >= maxQueuedBatches {
		r.startWait()
		return r.ticket + 1 // the entries stay with the keeper and get the next ticket
	}
	next, _ := r.spareBuffers.TryDequeue()
	b := batch{r.ticket + 1, r.keeper.Take(next)}
	r.queuedEntries.Add(int64(len(b.entries)))
	r.queuedBatches.Add(1)
	r.queue.TryEnqueue(b) // cannot fail: queuedBatches is below the capacity
	r.ticket++
	r.startWait()
	select {
	case r.wakeWriter <- struct{}{}:
	default:
	}
	runtime.Gosched()
	return r.ticket
}

// startWait starts the DiskTimeout unless it is running.
func (r *Recorder) startWait() {
	if r.waitingSince == 0 {
		r.waitingSince = r.cfg.Clock()
	}
}

// Released implements loop.OutputGate: it returns the last written ticket, or math.MaxUint64 while the disk is
// bypassed.
func (r *Recorder) Released() uint64 {
	written := r.writtenTicket.Load()
	if written < r.ticket {
		r.loopWaiting.Store(true)
		written = r.writtenTicket.Load()
	}
	if written != r.lastWritten { // progress restarts the timeout
		r.lastWritten = written
		if r.waitingSince > 0 {
			r.waitingSince = r.cfg.Clock()
		}
	}
	if written >= r.ticket && !r.keeper.HasEntries() {
		r.waitingSince = 0
		r.loopWaiting.Store(false)
		if r.bypassed && !r.writeFailed.Load() {
			r.bypassed = false
			r.cfg.Log.Warn().Str("event", "ledger_back").
				Msg("ledger: the disk has caught up, and all totals have been written")
		}
	}
	if !r.bypassed && (r.writeFailed.Load() || r.waitingSince > 0 && r.cfg.Clock()-r.waitingSince > r.cfg.DiskTimeout) {
		r.bypassed = true
		r.bypassCount++
		consequence := "calls go on without it"
		if r.cfg.RefuseUnbillable {
			consequence = "calls are refused"
		}
		r.cfg.Log.Error().Str("event", "ledger_trouble").
			Msgf("ledger: the disk does not keep up; %s until it has caught up, and totals are kept in memory",
				consequence)
	}
	if r.bypassed {
		return math.MaxUint64
	}
	return written
}

// Flushed implements loop.OutputGate; it does nothing.
func (r *Recorder) Flushed() {}

// PollInterval implements loop.OutputGate.
func (r *Recorder) PollInterval() time.Duration { return r.cfg.DiskTimeout }

// Counters returns the current counters.
func (r *Recorder) Counters() Counters {
	return Counters{r.keeper.Counters(), r.writes.Load(), r.writtenBytes.Load(), r.writeErrors.Load(),
		r.syncErrors.Load(), r.bypassCount, r.refusedCount, r.exported.Load(), r.exportErrors.Load(),
		r.removedSegments.Load(), r.queuedEntries.Load(), r.bypassed}
}

// Close writes and syncs the remaining entries and releases the directory's lock. It must be called after the loop has
// ended. It waits up to a second for space in the queue and up to another for the writer, and returns an error if
// entries may be lost.
func (r *Recorder) Close() error {
	for attempts := 100; ; attempts-- {
		if r.Commit(); !r.keeper.HasEntries() || attempts == 0 {
			break
		}
		time.Sleep(10 * time.Millisecond) // until the queue has room
	}
	close(r.stop)
	if !waitTimeout(&r.writerDone, time.Second) {
		return errors.New("ledger: timed out writing the last entries")
	}
	waitTimeout(&r.maintenanceDone, 250*time.Millisecond) // an interrupted export continues at the next start
	err := r.lock.Close()
	if r.writeFailed.Load() || r.writtenTicket.Load() < r.ticket || r.keeper.HasEntries() {
		err = errors.Join(err, errors.New("ledger: the last entries could not be written"))
	}
	return err
}

// waitTimeout waits for group; it returns false if that takes longer than timeout.
func waitTimeout(group *sync.WaitGroup, timeout time.Duration) bool {
	done := make(chan struct{})
	go func() {
		group.Wait()
		close(done)
	}()
	select {
	case <-done:
		return true
	case <-time.After(timeout):
		return false
	}
}

// Methods of the writer's goroutine.

// runWriter is the writer's goroutine: it writes all queued batches in one append, and retries failed appends.
func (r *Recorder) runWriter() {
	defer r.writerDone.Done()
	// Creates the first segment, so that the ledger exists from the start; if that fails, the first entry retries it.
	if err := r.log.Append(); err != nil {
		r.writeErrors.Add(1)
		r.logError("ledger_write", err)
	}
	var pending []batch
	var frames []durable.Frame
	retry := time.NewTimer(time.Hour)
	defer retry.Stop()
	for stopping := false; !stopping || len(pending) > 0; {
		if !stopping {
			select {
			case <-r.wakeWriter:
			case <-retry.C:
			case <-r.stop:
				stopping = true
			}
		}
		if !r.writeFailed.Load() || stopping {
			for {
				b, ok := r.queue.TryDequeue()
				if !ok {
					break
				}
				r.queuedBatches.Add(-1)
				pending = append(pending, b)
			}
			frames = nil
		}
		if len(pending) == 0 {
			continue
		}
		if frames == nil {
			for _, b := range pending {
				frames = append(frames, packEntries(frameEntries, b.entries)...)
			}
		}
		if err := r.appendFrames(frames); err != nil {
			r.recordFailure(err)
			if stopping {
				return
			}
			retry.Reset(retryDelay)
			continue
		}
		r.markWritten(pending)
		pending, frames = pending[:0], nil
		if r.writeFailed.Swap(false) {
			select { // batches queued during the failure have not been taken yet
			case r.wakeWriter <- struct{}{}:
			default:
			}
		}
	}
	if err := r.log.Close(); err != nil {
		r.recordFailure(err)
	}
}

// appendFrames appends frames to the journal, and syncs it if SyncInterval is 0.
func (r *Recorder) appendFrames(frames []durable.Frame) error {
	if err := r.log.Append(frames...); err != nil {
		return err
	}
	r.writes.Add(1)
	for _, f := range frames {
		r.writtenBytes.Add(uint64(len(f.Payload)))
	}
	if r.cfg.SyncInterval == 0 {
		if err := r.log.Sync(); err != nil {
			r.syncErrors.Add(1)
			r.logError("ledger_sync", err)
		}
	}
	return nil
}

// markWritten applies written batches to the state and releases their output.
func (r *Recorder) markWritten(batches []batch) {
	hasClose := false
	for _, b := range batches {
		for i := range b.entries {
			e := &b.entries[i]
			if err := r.state.Apply(e); err != nil {
				r.logError("ledger_fault", err)
			}
			hasClose = hasClose || e.Kind == ledger.KindClose
		}
		r.queuedEntries.Add(-int64(len(b.entries)))
		r.spareBuffers.TryEnqueue(b.entries)
	}
	r.writtenTicket.Store(batches[len(batches)-1].ticket)
	if r.loopWaiting.Swap(false) {
		r.cfg.WakeLoop()
	}
	if hasClose {
		select {
		case r.periodClosed <- struct{}{}:
		default:
		}
	}
}

// recordFailure notes a failed write and wakes the loop, which then bypasses the disk.
func (r *Recorder) recordFailure(err error) {
	r.writeErrors.Add(1)
	if !r.writeFailed.Swap(true) && r.loopWaiting.Swap(false) {
		r.cfg.WakeLoop()
	}
	r.logError("ledger_write", err)
}

// logError logs an error of the writer, at most one per errorLogInterval.
func (r *Recorder) logError(event string, err error) {
	if now := time.Now(); now.Sub(r.lastErrorLog) >= errorLogInterval {
		r.lastErrorLog = now
		r.cfg.Log.Error().Str("event", event).Msgf("ledger: %v", err)
	}
}

// runMaintenance is the goroutine that syncs, exports and compacts, concurrently with the writer.
func (r *Recorder) runMaintenance() {
	defer r.maintenanceDone.Done()
	interval := r.cfg.SyncInterval
	if interval <= 0 {
		interval = time.Hour
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var lastErrorLog time.Time
	if r.cfg.ExportDir != "" { // periods closed before the start
		r.exportPeriods()
	}
	for {
		select {
		case <-r.stop:
			return
		case <-ticker.C:
			if r.cfg.SyncInterval <= 0 {
				continue
			}
			if err := r.log.Sync(); err != nil {
				r.syncErrors.Add(1)
				if now := time.Now(); now.Sub(lastErrorLog) >= errorLogInterval {
					lastErrorLog = now
					r.cfg.Log.Error().Str("event", "ledger_sync").Msgf("ledger: %v", err)
				}
			}
		case <-r.periodClosed:
			if r.cfg.ExportDir != "" {
				r.exportPeriods()
			}
		}
	}
}

// exportPeriods exports closed periods and then removes segments that are no longer needed.
func (r *Recorder) exportPeriods() {
	list, err := Export(r.cfg.FS, r.cfg.Dir, r.cfg.ExportDir)
	for _, e := range list {
		r.exported.Add(1)
		r.cfg.Log.Info().Str("event", "ledger_exported").Str("file", e.Path).Str("id", e.ID).
			Msgf("ledger: exported statement %d (up to %s) to %s", e.Sequence, formatTime(e.To), e.Path)
	}
	if errors.Is(err, ErrNoLedger) || errors.Is(err, durable.ErrLocked) {
		return // nothing has been written yet, or a command is exporting
	}
	if err != nil {
		r.exportErrors.Add(1)
		r.cfg.Log.Error().Str("event", "ledger_export").
			Msgf("ledger: export failed: %v; it will be retried when the next period closes", err)
		return
	}
	n, err := Compact(r.cfg.FS, r.cfg.Dir, r.cfg.Retention, r.cfg.WallClock())
	r.removedSegments.Add(uint64(n))
	if err != nil {
		r.exportErrors.Add(1)
		r.cfg.Log.Error().Str("event", "ledger_compact").Msgf("ledger: removing old segments failed: %v", err)
	}
}
