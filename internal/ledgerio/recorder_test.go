package ledgerio

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"threadglade.example/threadglade"
	"threadglade.example/threadglade/internal/durable"
	"threadglade.example/threadglade/internal/durable/durabletest"
	"threadglade.example/threadglade/internal/settings"
	"threadglade.example/threadglade/ledger"
	"threadglade.example/threadglade/router"
)

const minute = int64(60_000)

// harness drives a Recorder as the event loop and a router would, and tracks what a case server would have counted.
type harness struct {
	t           testing.TB
	disk        *durabletest.FS
	recorder    *Recorder
	options     Options
	wall        atomic.Int64
	clock       time.Duration
	log         durabletest.LogBuffer
	nextCall    int
	offered     map[string]bool // calls reported to the ledger
	sent        map[string]bool // calls whose set-up was sent
	ended       map[string]bool // calls whose last output was released
	established []string        // calls established at the server
}

func newHarness(t testing.TB, seed uint64) *harness {
	h := &harness{
		t:       t,
		disk:    durabletest.New(seed),
		options: Defaults(),
		offered: map[string]bool{},
		sent:    map[string]bool{},
		ended:   map[string]bool{},
	}
	h.wall.Store(1000 * minute)
	h.options.Dir, h.options.ExportDir, h.options.MaxSegmentBytes, h.options.SyncInterval = "ledger", "out", 2000, 0
	h.options.Settings = ledger.Settings{Router: "n0", Length: minute, Grace: 1000, UnknownTimeout: 10 * minute}
	h.options.Retention = 0
	return h
}

func (h *harness) open() error {
	var err error
	h.recorder, err = Open(Config{
		Options:   h.options,
		FS:        h.disk,
		Classes:   map[string]ledger.Class{"voice": {Aim: time.Second, WorthMilli: 1000}},
		WallClock: h.wall.Load,
		Clock:     func() time.Duration { return h.clock },
		Log:       zerolog.New(&h.log),
	})
	return err
}

func (h *harness) observe(kind router.Kind, call string, e router.Event) {
	e.Kind, e.Call, e.At = kind, call, h.clock
	h.recorder.Observe(e)
}

// commit ends a loop iteration. It returns true if the iteration's entries were written, and false if its output
// was only released because the disk is bypassed.
func (h *harness) commit() bool {
	ticket := h.recorder.Commit()
	return durabletest.WaitFor(func() bool {
		released := h.recorder.Released()
		return released == math.MaxUint64 || released >= ticket || h.disk.Crashed()
	}) && h.recorder.writtenTicket.Load() >= ticket
}

// call sets up a call, and ends the oldest established one if there are more than two.
func (h *harness) call() {
	id := fmt.Sprintf("%016x", h.nextCall+1)
	h.nextCall++
	h.offered[id] = true
	h.observe(router.Arrived, id, router.Event{Class: "voice"})
	h.observe(router.Sent, id, router.Event{Server: "s0"})
	if !h.commit() {
		return
	}
	h.sent[id] = true
	h.observe(router.Established, id, router.Event{})
	h.established = append(h.established, id)
	if len(h.established) > 2 {
		id, h.established = h.established[0], h.established[1:]
		h.observe(router.Ended, id, router.Event{Outcome: threadglade.Concluded})
		h.observe(router.Closed, id, router.Event{})
	}
	if h.commit() {
		h.ended[id] = true
	}
}

// advanceMinutes advances the wall clock and waits until an export of the periods that this closes has begun.
func (h *harness) advanceMinutes(n int64) {
	h.wall.Add(n * minute)
	h.recorder.Tick()
	h.commit()
	durabletest.WaitFor(func() bool { return h.disk.Crashed() || len(h.recorder.periodClosed) == 0 })
}

// runSession runs a short session with calls, closed periods, exports and compaction.
func (h *harness) runSession() {
	if h.open() != nil {
		return
	}
	for range 3 {
		for range 4 {
			h.call()
		}
		h.advanceMinutes(1)
	}
	h.recorder.Close()
}

// recoverAndCheck restarts the disk, continues the ledger, ends every call, and checks all exported statements.
func (h *harness) recoverAndCheck(name string, power bool) {
	h.disk.Restart()
	require.NoError(h.t, h.open(), name)
	h.clock += time.Second
	for call := range h.offered { // the case server repeats all releases on the next connection
		h.observe(router.UnknownServerRelease, call, router.Event{Outcome: threadglade.Concluded})
	}
	h.established = nil
	h.call()
	for _, id := range h.established {
		h.observe(router.Ended, id, router.Event{Outcome: threadglade.Concluded})
		h.observe(router.Closed, id, router.Event{})
	}
	h.advanceMinutes(11) // calls still open are closed as unknown
	h.advanceMinutes(2)
	require.NoError(h.t, h.recorder.Close(), name)
	_, err := CloseDuePeriods(h.disk, "ledger", func() int64 { return h.wall.Load() + 12*minute })
	require.NoError(h.t, err, name)
	_, err = Export(h.disk, "ledger", "out")
	require.NoError(h.t, err, name)
	_, err = Inspect(h.disk, "ledger")
	require.NoError(h.t, err, name)
	all, stated := ledger.Merged{}, map[string]int{}
	files, _ := h.disk.List("out")
	for _, f := range files {
		if !strings.HasSuffix(f, ".tgx") {
			continue
		}
		e, err := ReadExport(h.disk, "out/"+f, func(calls []uint64) error {
			for _, c := range calls {
				stated[ledger.FormatCallKey(c)]++
			}
			return nil
		})
		require.NoError(h.t, err, name)
		all = ledger.Join(all, ledger.Merge(e))
	}
	require.Empty(h.t, all.Findings(), name)
	for call, n := range stated {
		require.Equal(h.t, 1, n, "%s: %s is stated more than once", name, call)
		require.True(h.t, h.offered[call], "%s: %s", name, call)
	}
	total := all.Total()
	if power { // entries not synced may be lost, but nothing may be counted twice
		require.LessOrEqual(h.t, total[ledger.Offered], int64(len(h.offered)), name)
		return
	}
	for call := range h.sent {
		require.Equal(h.t, 1, stated[call], "%s: %s was sent to a server but is not stated", name, call)
	}
	require.LessOrEqual(h.t, total[ledger.Offered], int64(len(h.offered)), name)
	require.GreaterOrEqual(h.t, total[ledger.Offered], int64(len(h.sent)), name)
}

// TestFaultAtEveryStep injects each fault at each write, sync, rename and removal of a short session: failures, torn
// writes, crashes of the process and power failures. Each call sent to a server must be stated exactly once, and each
// period must be exported exactly once.
func TestFaultAtEveryStep(t *testing.T) {
	faultless := newHarness(t, 1)
	faultless.runSession()
	faultless.recoverAndCheck("no fault", false)
	steps := len(faultless.disk.Steps())
	require.Greater(t, steps, 100)
	runs := 0
	for _, fault := range durabletest.Faults {
		for at := range steps {
			h := newHarness(t, uint64(at))
			injected := false
			h.disk.Plan = func(s durabletest.Step) durabletest.Fault {
				if s.Index == at && !injected {
					injected = true
					return fault
				}
				return durabletest.None
			}
			h.runSession()
			power := fault == durabletest.PowerOff
			h.disk.Kill(power)
			h.recoverAndCheck(fmt.Sprintf("%v at step %d", fault, at), power)
			runs++
		}
	}
	t.Logf("%d runs over %d steps", runs, steps)
}

// TestPowerLossWindow checks that entries written before the last sync survive a power failure, and that with a
// sync after every write all entries do.
func TestPowerLossWindow(t *testing.T) {
	for seed := range uint64(20) {
		h := newHarness(t, seed)
		h.options.MaxSegmentBytes = 1 << 20
		require.NoError(t, h.open())
		for range 10 {
			h.call()
		}
		h.disk.Kill(true)
		h.recorder.Close()
		h.disk.Restart()
		state, _, err := Recover(h.disk, "ledger")
		require.NoError(t, err)
		require.Len(t, state.Calls, 2, "with (sync 0s) nothing is lost")
	}
	lost := 0
	for seed := range uint64(20) {
		h := newHarness(t, seed)
		h.options.MaxSegmentBytes, h.options.SyncInterval = 1<<20, time.Hour
		require.NoError(t, h.open())
		for range 10 {
			h.call()
		}
		require.NoError(t, h.recorder.log.Sync())
		for range 10 {
			h.call()
		}
		h.disk.Kill(true)
		h.recorder.Close()
		h.disk.Restart()
		entries := 0
		_, err := readJournal(h.disk, "ledger", 0, func(e *ledger.Entry) error {
			if e.Kind == ledger.KindEnd {
				entries++
			}
			return nil
		})
		require.NoError(t, err)
		require.GreaterOrEqual(t, entries, 8, "synced entries must survive")
		if entries < 18 {
			lost++
		}
	}
	require.NotZero(t, lost, "some seed must lose entries that were not synced")
}

// TestUnavailableDisk checks that a full or slow disk delays output for no longer than DiskTimeout, and that totals
// are kept in memory and written when the disk is available again. With (when-unwritable refuse), requests are
// refused meanwhile.
func TestUnavailableDisk(t *testing.T) {
	for name, injectFault := range map[string]func(*harness) (repair func()){
		"full": func(h *harness) func() {
			full := true
			var mu sync.Mutex
			h.disk.Plan = func(s durabletest.Step) durabletest.Fault {
				mu.Lock()
				defer mu.Unlock()
				if full && (s.Operation == "write" || s.Operation == "create") {
					return durabletest.Tear
				}
				return durabletest.None
			}
			return func() {
				mu.Lock()
				full = false
				mu.Unlock()
			}
		},
		"slow": func(h *harness) func() { return h.disk.Stall() },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.options.RefuseUnbillable, h.options.ExportDir = true, ""
			require.NoError(t, h.open())
			h.call()
			repair := injectFault(h)
			maxWaiting := 0
			for i := range 30_000 {
				id := fmt.Sprintf("%016x", 1000+i)
				h.offered[id] = true
				h.observe(router.Arrived, id, router.Event{Class: "voice"})
				h.observe(router.Sent, id, router.Event{Server: "s0"})
				ticket := h.recorder.Commit()
				h.clock += 30 * time.Millisecond
				released := h.recorder.Released()
				if i > 2 { // the first batch may not have reached the writer yet
					require.True(t, released >= ticket, "calls must proceed")
				}
				h.observe(router.Established, id, router.Event{})
				h.observe(router.Ended, id, router.Event{Outcome: threadglade.Concluded})
				h.observe(router.Closed, id, router.Event{})
				maxWaiting = max(maxWaiting, h.recorder.Counters().Waiting+int(h.recorder.Counters().Queued))
			}
			require.Less(t, maxWaiting, 3*maxQueuedEntries, "the number of waiting entries must be limited")
			require.NotZero(t, h.recorder.Counters().Spilled)
			reason, retryAfter := h.recorder.Admit(router.Request{})
			ok := reason == threadglade.NoReason
			require.False(t, ok)
			require.Equal(t, time.Second, retryAfter)
			require.True(t, h.log.Contains(`"ledger_trouble"`))
			repair()
			require.True(t, durabletest.WaitFor(func() bool {
				h.recorder.Commit()
				h.recorder.Released()
				reason, _ := h.recorder.Admit(router.Request{})
				ok := reason == threadglade.NoReason
				return ok
			}), "the disk must be used again without intervention")
			require.True(t, h.log.Contains(`"ledger_back"`))
			require.NoError(t, h.recorder.Close())
			view, err := Inspect(h.disk, "ledger")
			require.NoError(t, err)
			total := int64(0)
			for _, s := range view.Pending {
				for _, u := range s.Totals {
					total += u[ledger.Offered]
				}
			}
			require.EqualValues(t, 30_000, total)
			require.Len(t, view.State.Calls, 1)
		})
	}
	h := newHarness(t, 1)
	h.disk.Plan = func(durabletest.Step) durabletest.Fault { return durabletest.Fail }
	require.NoError(t, h.open(), "a failing disk must not prevent a router from starting")
	h.call()
	require.True(t, h.log.Contains(`"ledger_trouble"`))
	require.Error(t, h.recorder.Close(), "the loss must be reported")
}

// TestInterruptedExport interrupts an export at each step. The next run must produce the same bytes, even if
// corrections were added meanwhile.
func TestInterruptedExport(t *testing.T) {
	exports := map[string][]byte{}
	for at := 0; ; at++ {
		h := newHarness(t, 1)
		h.options.ExportDir = ""
		require.NoError(t, h.open())
		for range 3 {
			h.call()
			h.advanceMinutes(2)
		}
		require.NoError(t, h.recorder.Close())
		first := len(h.disk.Steps())
		h.disk.Plan = func(s durabletest.Step) durabletest.Fault {
			if s.Index == first+at {
				return durabletest.TearAndCrash
			}
			return durabletest.None
		}
		_, err := Export(h.disk, "ledger", "out")
		crashed := h.disk.Crashed()
		h.disk.Restart()
		if crashed {
			require.Error(t, err)
		}
		// A correction added after the plan was saved belongs to the next export.
		state, _, err := readExportState(h.disk, "ledger")
		require.NoError(t, err)
		if state.LastSequence > 0 {
			_, err = AddCorrection(h.disk, "ledger", ledger.Correction{
				Period: state.LastEnd - minute,
				Tenant: "x",
				Class:  "voice",
				Field:  "offered",
				Delta:  1,
				Reason: "r",
				By:     "b",
			})
			require.NoError(t, err)
		}
		_, err = Export(h.disk, "ledger", "out")
		require.NoError(t, err)
		names, _ := h.disk.List("out")
		require.NotEmpty(t, names)
		if state.Plan != nil { // the planned file must equal the uninterrupted one
			name := names[state.Plan.Sequence-1]
			if exports[name] != nil && state.Corrections == 0 {
				require.Equal(t, exports[name], h.disk.Bytes("out/"+name), "step %d", at)
			}
		} else if state.LastSequence == 0 {
			for _, n := range names {
				exports[n] = h.disk.Bytes("out/" + n)
			}
		}
		if !crashed {
			require.Greater(t, at, 20)
			break
		}
	}
}

// TestBitFlips flips every 13th bit of a ledger's files and exports: reading must fail with an error that names the
// file, so that no wrong total is reported.
func TestBitFlips(t *testing.T) {
	h := newHarness(t, 1)
	h.runSession()
	for _, dir := range []string{"ledger", "out"} {
		names, _ := h.disk.List(dir)
		for _, name := range names {
			path := dir + "/" + name
			for bit := 0; bit < 8*h.disk.Size(path); bit += 13 {
				h.disk.FlipBit(path, bit)
				var err error
				if dir == "ledger" {
					_, err = Inspect(h.disk, "ledger")
				} else {
					_, err = ReadExport(h.disk, path, nil)
				}
				h.disk.FlipBit(path, bit)
				var damage *durable.DamageError
				require.True(t, errors.As(err, &damage) && damage.File != "" || errors.Is(err, durable.ErrNewerVersion),
					"%s bit %d: %v", path, bit, err)
			}
		}
	}
	_, err := Inspect(h.disk, "ledger")
	require.NoError(t, err)
}

// TestTruncatedAndNewerExport checks that a truncated export and one of a newer version are rejected with an error
// that names the file.
func TestTruncatedAndNewerExport(t *testing.T) {
	h := newHarness(t, 1)
	write := func(path string, change func([]byte) []byte) {
		var b bytes.Buffer
		_, err := durable.NewWriter(&b, durable.Header{Kind: kindExport, Number: 1})
		require.NoError(t, err)
		require.NoError(t, durable.WriteFile(h.disk, path, func(w io.Writer) error {
			_, err := w.Write(change(b.Bytes()))
			return err
		}))
	}
	write("out/x.tgx", func(b []byte) []byte { return b })
	_, err := ReadExport(h.disk, "out/x.tgx", nil)
	require.ErrorContains(t, err, "out/x.tgx: offset 48: the file ends before the export does")
	write("out/y.tgx", durabletest.WithNextVersion)
	_, err = ReadExport(h.disk, "out/y.tgx", nil)
	require.ErrorIs(t, err, durable.ErrNewerVersion)
	require.ErrorContains(t, err, "out/y.tgx: version 2")
}

func TestSettings(t *testing.T) {
	read := func(text string) (Options, error) {
		s, err := settings.Parse("f", "(threadglade (ledger "+text+"))")
		require.NoError(t, err)
		o := ReadSettings(s.Sub("ledger"), "n0")
		return o, s.Finish()
	}
	o, err := read(`(directory "d") (period 1m) ` +
		`(tenant "lda" (networks "10.4.0.0/16") (identities "spiffe://b.example/lda/*"))`)
	require.NoError(t, err)
	require.Equal(t, minute, o.Settings.Length)
	tenants, networks := o.Tenants.Size()
	require.Equal(t, []int{1, 1}, []int{tenants, networks})
	for text, want := range map[string]string{
		"(period 1h)":                                     "directory: is missing",
		"(directory d) (period 7m)":                       "period: period: 7m0s must divide a day evenly",
		"(directory d) (period 25h)":                      "period",
		"(directory d) (sync 1y)":                         "sync",
		"(directory d) (grace 2h)":                        "grace",
		"(directory d) (when-unwritable panic)":           "when-unwritable",
		"(directory d) (precedence moon)":                 "precedence",
		"(directory d)\n(tenant a (networks 10.0.0.1/8))": "f:2: threadglade ledger tenant networks",
		"(directory d)\n(tenant a)\n(tenant a)":           `f:3: threadglade ledger tenant: "a" is listed twice`,
		"(directory d) (colour red)":                      `unknown field "colour"`,
	} {
		_, err := read(text)
		require.ErrorContains(t, err, want, text)
	}
}

func TestCompactKeepsNeededSegments(t *testing.T) {
	h := newHarness(t, 1)
	h.options.ExportDir = ""
	require.NoError(t, h.open())
	for range 10 {
		for range 5 {
			h.call()
		}
		h.advanceMinutes(1)
	}
	require.NoError(t, h.recorder.Close())
	all, _ := durable.ListSegments(h.disk, "ledger", journalName)
	require.Greater(t, len(all), 3)
	n, err := Compact(h.disk, "ledger", 0, h.wall.Load())
	require.NoError(t, err)
	require.Zero(t, n, "nothing is exported yet")
	first, err := Export(h.disk, "ledger", "out")
	require.NoError(t, err)
	n, err = Compact(h.disk, "ledger", 100*time.Minute, h.wall.Load())
	require.NoError(t, err)
	require.Zero(t, n, "nothing is old enough")
	n, err = Compact(h.disk, "ledger", time.Minute, h.wall.Load())
	require.NoError(t, err)
	require.NotZero(t, n)
	require.NoError(t, h.open())
	h.advanceMinutes(2)
	require.NoError(t, h.recorder.Close())
	more, err := Export(h.disk, "ledger", "out")
	require.NoError(t, err)
	require.Equal(t, first[len(first)-1].Sequence+1, more[0].Sequence)
	require.True(t, slices.IsSortedFunc(more, func(a, b ExportedFile) int { return int(a.Sequence) - int(b.Sequence) }))
}
