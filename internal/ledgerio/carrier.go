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
	// batchesMost turns may wait for the writer, and handedMost entries in them: beyond that they stay with the keeper,
	// which keeps totals when it has too many.
	batchesMost = 256
	handedMost  = 16_384
	// retryAfter is the pause after a write that failed.
	retryAfter = 250 * time.Millisecond
	// refuseFor is what callers are told while calls that cannot be billed are refused.
	refuseFor = time.Second
	// complainEvery is how often trouble that lasts is logged.
	complainEvery = 10 * time.Second
	// spareMost buffers of entries are kept for reuse.
	spareMost = 8
)

// Options are what the settings say of the ledger.
type Options struct {
	Dir      string
	Terms    ledger.Settings
	Sync     time.Duration // how often what was written is made to outlast a crash of the machine; 0: with every write
	Export   string        // folder that closed periods are exported to as they close; empty: only by command
	Keep     time.Duration // how long what was exported is kept
	Refuse   bool          // calls that cannot be written down are refused
	Patience time.Duration // how long anything waits for the disk before calls go on without
	Roll     int64         // size at which a new segment begins, in bytes
	Tenants  *ledger.Directory
}

// Defaults of Options, and of Terms but for the router's name.
func Defaults() Options {
	return Options{Terms: ledger.Settings{Length: time.Hour.Milliseconds(), Grace: (30 * time.Second).Milliseconds(),
		UnknownTimeout: (15 * time.Minute).Milliseconds()}, Sync: 200 * time.Millisecond, Keep: 35 * 24 * time.Hour,
		Patience: 20 * time.Millisecond, Roll: 16 << 20}
}

// Config is what a Carrier needs.
type Config struct {
	Options
	FS      durable.FS
	Classes map[string]ledger.Class
	Wall    func() int64 // time of day in milliseconds since the Unix epoch
	Clock   router.Clock
	Nudge   func() // has the loop ask Passed again; from any goroutine
	Log     zerolog.Logger
}

// Carrier keeps a running router's ledger. It is the router's observer, which counts, and the loop's gate: what the
// router writes in a turn leaves once the entries of that turn are in the operating system's hands. The loop never waits for
// the disk; where the disk takes longer than Patience, calls go on without.
type Carrier struct {
	cfg    Config
	keeper *ledger.Keeper
	lock   io.Closer

	// Of the loop.
	ticket uint64
	since  time.Duration // when the oldest ticket that has not passed was last closer to it; 0: all have passed
	seen   uint64        // the latest ticket that was seen to pass
	open   bool          // the disk is in trouble, and nothing waits for it
	opened uint64        // how often that came about
	turned uint64        // requests refused for it

	queue  *xsync.SPSCQueue[batch]
	spare  *xsync.SPSCQueue[[]ledger.Entry]
	handed atomic.Int64 // entries in the queue or with the writer
	queued atomic.Int64 // batches in the queue
	passed atomic.Uint64
	waits  atomic.Bool
	failed atomic.Bool
	wake   chan struct{}
	stop   chan struct{}
	done   sync.WaitGroup // the writer
	aside  sync.WaitGroup // what syncs and exports

	// Of the writer.
	book   *ledger.State
	log    *durable.Log
	told   time.Time // when a failure was last logged
	closed chan struct{}

	writes, errs, syncErrs, exported, exportErrs, dropped, bytes atomic.Uint64
}

// batch is the entries of one or more turns.
type batch struct {
	ticket  uint64
	entries []ledger.Entry
}

// Counters of a Carrier. Writing and Open are what is held now.
type Counters struct {
	ledger.KeeperCounters
	Writes, Bytes, Errors, SyncErrors, Troubles, Turned, Exported, ExportErrors, Dropped uint64
	Queued                                                                               int64
	Trouble                                                                              bool
}

// Open goes on with the ledger in a folder, or begins one. The error names the file where the folder holds a damaged one, is
// another router's, or is in use.
func Open(cfg Config) (*Carrier, error) {
	if err := cfg.Terms.Validate(); err != nil {
		return nil, err
	}
	if cfg.Nudge == nil {
		cfg.Nudge = func() {}
	}
	if err := cfg.FS.MakeDir(cfg.Dir); err != nil {
		return nil, fmt.Errorf("ledger: %w", err)
	}
	lock, err := cfg.FS.Lock(filepath.Join(cfg.Dir, lockName))
	if err != nil {
		return nil, fmt.Errorf("ledger: %w", err)
	}
	c, err := open(cfg)
	if err != nil {
		lock.Close()
		return nil, fmt.Errorf("ledger: %w", err)
	}
	c.lock = lock
	c.done.Add(1)
	c.aside.Add(1)
	go c.write()
	go c.look()
	return c, nil
}

func open(cfg Config) (*Carrier, error) {
	book, scan, err := Recover(cfg.FS, cfg.Dir)
	if err != nil {
		return nil, err
	}
	if book == nil {
		book = ledger.NewInitializedState(cfg.Terms)
	}
	for _, torn := range scan.Torn {
		cfg.Log.Warn().Str("event", "ledger_torn").Str("where", torn).Msgf("ledger: a crash has cut off %s; it does not count", torn)
	}
	if book.Router != cfg.Terms.Router || book.Length != cfg.Terms.Length {
		return nil, fmt.Errorf("%s: is the ledger of %s by periods of %v, not of %s by %v; name another directory", cfg.Dir, book.Router,
			time.Duration(book.Length)*time.Millisecond, cfg.Terms.Router, time.Duration(cfg.Terms.Length)*time.Millisecond)
	}
	book.Settings = cfg.Terms
	book.CompactNames()
	c := &Carrier{cfg: cfg, book: book, queue: xsync.NewSPSCQueue[batch](batchesMost), spare: xsync.NewSPSCQueue[[]ledger.Entry](spareMost),
		wake: make(chan struct{}, 1), stop: make(chan struct{}), closed: make(chan struct{}, 1)}
	c.keeper = ledger.NewKeeper(ledger.KeeperConfig{Classes: cfg.Classes, Tenants: cfg.Tenants, WallClock: cfg.Wall}, book)
	if c.log, err = durable.Continue(journalConfig(cfg.FS, cfg.Dir, cfg.Roll, book), scan); err != nil {
		return nil, err
	}
	cfg.Log.Info().Str("event", "ledger_open").Str("dir", cfg.Dir).Int("open", len(book.Calls)).Uint64("statements", book.Sequence).
		Msgf("ledger: %s, %d calls open from before, closed up to %s", cfg.Dir, len(book.Calls), stamp(book.Closed))
	return c, nil
}

// ---- on the loop ----

// Observe implements router.Observer.
func (c *Carrier) Observe(e router.Event) { c.keeper.Observe(e) }

// Tick closes what is due; the loop calls it a few times a second.
func (c *Carrier) Tick() { c.keeper.Tick() }

// SetTenants replaces the tenants' tables.
func (c *Carrier) SetTenants(d *ledger.Directory) { c.keeper.SetTenants(d) }

// SetClasses has calls that come from now on earn by other classes.
func (c *Carrier) SetClasses(classes map[string]ledger.Class) { c.keeper.SetClasses(classes) }

// Adopt books a standing call taken over from another router; false: it is in the books already. Drop, Sleep and Wake are the keeper's, too: calls that are others' are dropped.
func (c *Carrier) Adopt(t ledger.TakenOverCall) bool { return c.keeper.Adopt(t) }

// Drop takes a call out of the books that is in another router's.
func (c *Carrier) Drop(id string) { c.keeper.RemoveCall(ledger.CallKey(id)) }

// Sleep has calls from before wait for Wake, and names them.
func (c *Carrier) Sleep() []string { return c.keeper.SuspendOpenCalls() }

// Wake says which of them others have taken over.
func (c *Carrier) Wake(taken []string) { c.keeper.ResumeOpenCalls(taken) }

// Admit says whether a request can be billed, where the settings want only such.
func (c *Carrier) Admit(router.Request) (threadglade.Reason, time.Duration) {
	if !c.cfg.Refuse || !c.open {
		return threadglade.NoReason, 0
	}
	c.turned++
	return threadglade.Unbillable, refuseFor
}

// Commit implements loop.Gate: it hands the turn's entries to the writer. On one core the writer gets to run at once, and
// where the disk is quick it is done by the time this returns.
func (c *Carrier) Commit() uint64 {
	if !c.keeper.HasEntries() {
		return c.ticket
	}
	if c.handed.Load() >= handedMost || c.queued.Load() >= batchesMost {
		c.begin()
		return c.ticket + 1 // what is left with the keeper goes by the next ticket
	}
	next, _ := c.spare.TryDequeue()
	b := batch{c.ticket + 1, c.keeper.Take(next)}
	c.handed.Add(int64(len(b.entries)))
	c.queued.Add(1)
	c.queue.TryEnqueue(b) // there is room: queued counts what is in it
	c.ticket++
	c.begin()
	select {
	case c.wake <- struct{}{}:
	default:
	}
	runtime.Gosched()
	return c.ticket
}

// begin starts the patience with the disk.
func (c *Carrier) begin() {
	if c.since == 0 {
		c.since = c.cfg.Clock()
	}
}

// Passed implements loop.Gate.
func (c *Carrier) Released() uint64 {
	p := c.passed.Load()
	if p < c.ticket {
		c.waits.Store(true)
		p = c.passed.Load()
	}
	if p != c.seen { // it moves
		c.seen = p
		if c.since > 0 {
			c.since = c.cfg.Clock()
		}
	}
	if p >= c.ticket && !c.keeper.HasEntries() {
		c.since = 0
		c.waits.Store(false)
		if c.open && !c.failed.Load() {
			c.open = false
			c.cfg.Log.Warn().Str("event", "ledger_back").Msg("ledger: the disk has caught up, all totals are written")
		}
	}
	if !c.open && (c.failed.Load() || c.since > 0 && c.cfg.Clock()-c.since > c.cfg.Patience) {
		c.open = true
		c.opened++
		what := "calls go on without"
		if c.cfg.Refuse {
			what = "calls are refused"
		}
		c.cfg.Log.Error().Str("event", "ledger_trouble").Msgf("ledger: the disk does not keep up; %s until it does, totals are kept in memory", what)
	}
	if c.open {
		return math.MaxUint64
	}
	return p
}

// Left implements loop.Gate.
func (c *Carrier) Flushed() {}

// Patience implements loop.Gate.
func (c *Carrier) PollInterval() time.Duration { return c.cfg.Patience }

// Counters returns a copy.
func (c *Carrier) Counters() Counters {
	return Counters{c.keeper.Counters(), c.writes.Load(), c.bytes.Load(), c.errs.Load(), c.syncErrs.Load(), c.opened, c.turned,
		c.exported.Load(), c.exportErrs.Load(), c.dropped.Load(), c.handed.Load(), c.open}
}

// Close writes what is left, makes it last and closes the folder. It is called when the loop has ended; it waits for the disk
// for a second at most. The error says what may not have been written.
func (c *Carrier) Close() error {
	for patience := 100; ; patience-- {
		if c.Commit(); !c.keeper.HasEntries() || patience == 0 {
			break
		}
		time.Sleep(10 * time.Millisecond) // until the writer has room
	}
	close(c.stop)
	if !within(&c.done, time.Second) {
		return errors.New("ledger: the disk has not taken the last entries")
	}
	within(&c.aside, 250*time.Millisecond) // an export that is cut short goes on at the next start
	err := c.lock.Close()
	if c.failed.Load() || c.passed.Load() < c.ticket || c.keeper.HasEntries() {
		err = errors.Join(err, errors.New("ledger: the last entries could not be written"))
	}
	return err
}

// within waits for a while; false if it was not long enough.
func within(g *sync.WaitGroup, d time.Duration) bool {
	ended := make(chan struct{})
	go func() { g.Wait(); close(ended) }()
	select {
	case <-ended:
		return true
	case <-time.After(d):
		return false
	}
}

// ---- the writer ----

// write is the writer's goroutine: it takes all turns that wait and writes them in one go.
func (c *Carrier) write() {
	defer c.done.Done()
	if err := c.log.Append(); err != nil { // a ledger is there from the start; if not, the first entry tries again
		c.errs.Add(1)
		c.complain("ledger_write", err)
	}
	var pending []batch
	var list []durable.Frame
	retry := time.NewTimer(time.Hour)
	defer retry.Stop()
	for last := false; !last || len(pending) > 0; {
		if !last {
			select {
			case <-c.wake:
			case <-retry.C:
			case <-c.stop:
				last = true
			}
		}
		if !c.failed.Load() || last {
			for {
				b, ok := c.queue.TryDequeue()
				if !ok {
					break
				}
				c.queued.Add(-1)
				pending = append(pending, b)
			}
			list = nil
		}
		if len(pending) == 0 {
			continue
		}
		if list == nil {
			for _, b := range pending {
				list = append(list, frames(frameEntries, b.entries)...)
			}
		}
		if err := c.append(list); err != nil {
			c.trouble(err)
			if last {
				return
			}
			retry.Reset(retryAfter)
			continue
		}
		c.settle(pending)
		pending, list = pending[:0], nil
		if c.failed.Swap(false) {
			select { // more may have come meanwhile
			case c.wake <- struct{}{}:
			default:
			}
		}
	}
	if err := c.log.Close(); err != nil {
		c.trouble(err)
	}
}

func (c *Carrier) append(list []durable.Frame) error {
	if err := c.log.Append(list...); err != nil {
		return err
	}
	c.writes.Add(1)
	for _, f := range list {
		c.bytes.Add(uint64(len(f.Payload)))
	}
	if c.cfg.Sync == 0 {
		if err := c.log.Sync(); err != nil {
			c.syncErrs.Add(1)
			c.complain("ledger_sync", err)
		}
	}
	return nil
}

// settle notes that batches are written.
func (c *Carrier) settle(list []batch) {
	closed := false
	for _, b := range list {
		for i := range b.entries {
			e := &b.entries[i]
			if err := c.book.Apply(e); err != nil {
				c.complain("ledger_fault", err)
			}
			closed = closed || e.Kind == ledger.KindClose
		}
		c.handed.Add(-int64(len(b.entries)))
		c.spare.TryEnqueue(b.entries)
	}
	c.passed.Store(list[len(list)-1].ticket)
	if c.waits.Swap(false) {
		c.cfg.Nudge()
	}
	if closed {
		select {
		case c.closed <- struct{}{}:
		default:
		}
	}
}

func (c *Carrier) trouble(err error) {
	c.errs.Add(1)
	if !c.failed.Swap(true) && c.waits.Swap(false) {
		c.cfg.Nudge()
	}
	c.complain("ledger_write", err)
}

// complain logs trouble with files, at most every ten seconds.
func (c *Carrier) complain(event string, err error) {
	if now := time.Now(); now.Sub(c.told) >= complainEvery {
		c.told = now
		c.cfg.Log.Error().Str("event", event).Msgf("ledger: %v", err)
	}
}

// look is the goroutine that syncs, exports and compacts, beside the writer.
func (c *Carrier) look() {
	defer c.aside.Done()
	every := c.cfg.Sync
	if every <= 0 {
		every = time.Hour
	}
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	var told time.Time
	if c.cfg.Export != "" { // what was closed before the start
		c.export()
	}
	for {
		select {
		case <-c.stop:
			return
		case <-ticker.C:
			if c.cfg.Sync <= 0 {
				continue
			}
			if err := c.log.Sync(); err != nil {
				c.syncErrs.Add(1)
				if now := time.Now(); now.Sub(told) >= complainEvery {
					told = now
					c.cfg.Log.Error().Str("event", "ledger_sync").Msgf("ledger: %v", err)
				}
			}
		case <-c.closed:
			if c.cfg.Export != "" {
				c.export()
			}
		}
	}
}

// export states what is closed, and removes what is not needed any more.
func (c *Carrier) export() {
	list, err := Export(c.cfg.FS, c.cfg.Dir, c.cfg.Export)
	for _, e := range list {
		c.exported.Add(1)
		c.cfg.Log.Info().Str("event", "ledger_exported").Str("file", e.Path).Str("id", e.ID).
			Msgf("ledger: statement %d up to %s is in %s", e.Sequence, stamp(e.To), e.Path)
	}
	if errors.Is(err, ErrNoLedger) || errors.Is(err, durable.ErrLocked) {
		return // nothing was ever written, or a command is at it
	}
	if err != nil {
		c.exportErrs.Add(1)
		c.cfg.Log.Error().Str("event", "ledger_export").Msgf("ledger: export: %v; it is tried again when the next period closes", err)
		return
	}
	n, err := Compact(c.cfg.FS, c.cfg.Dir, c.cfg.Keep, c.cfg.Wall())
	c.dropped.Add(uint64(n))
	if err != nil {
		c.exportErrs.Add(1)
		c.cfg.Log.Error().Str("event", "ledger_compact").Msgf("ledger: compaction: %v", err)
	}
}
