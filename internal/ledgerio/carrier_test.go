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

// desk drives a carrier as a loop and a router would, and notes what a case server would have counted.
type desk struct {
	t       testing.TB
	fs      *durabletest.FS
	c       *Carrier
	options Options
	wall    atomic.Int64
	clock   time.Duration
	log     durabletest.Log
	next    int
	offered map[string]bool // calls told to the ledger
	seen    map[string]bool // calls whose set-up has left
	stood   map[string]bool // calls whose end has left
	up      []string        // stand at the server
}

func newDesk(t testing.TB, seed uint64) *desk {
	d := &desk{t: t, fs: durabletest.New(seed), options: Defaults(), offered: map[string]bool{}, seen: map[string]bool{}, stood: map[string]bool{}}
	d.wall.Store(1000 * minute)
	d.options.Dir, d.options.Export, d.options.Roll, d.options.Sync = "ledger", "out", 2000, 0
	d.options.Terms = ledger.Settings{Router: "n0", Length: minute, Grace: 1000, UnknownTimeout: 10 * minute}
	d.options.Keep = 0
	return d
}

func (d *desk) open() error {
	var err error
	d.c, err = Open(Config{Options: d.options, FS: d.fs, Classes: map[string]ledger.Class{"voice": {Aim: time.Second, WorthMilli: 1000}},
		Wall: d.wall.Load, Clock: func() time.Duration { return d.clock }, Log: zerolog.New(&d.log)})
	return err
}

func (d *desk) tell(kind router.Kind, call string, e router.Event) {
	e.Kind, e.Call, e.At = kind, call, d.clock
	d.c.Observe(e)
}

// turn ends a turn of the loop; true once its bytes may leave for good: written, not just let go.
func (d *desk) turn() bool {
	ticket := d.c.Commit()
	return durabletest.Wait(func() bool {
		p := d.c.Released()
		return p == math.MaxUint64 || p >= ticket || d.fs.Dead()
	}) && d.c.passed.Load() >= ticket
}

// call sets one up and releases one of those that stand.
func (d *desk) call() {
	id := fmt.Sprintf("%016x", d.next+1)
	d.next++
	d.offered[id] = true
	d.tell(router.Arrived, id, router.Event{Class: "voice"})
	d.tell(router.Sent, id, router.Event{Server: "s0"})
	if !d.turn() {
		return
	}
	d.seen[id] = true
	d.tell(router.Established, id, router.Event{})
	d.up = append(d.up, id)
	if len(d.up) > 2 {
		id, d.up = d.up[0], d.up[1:]
		d.tell(router.Ended, id, router.Event{Outcome: threadglade.Concluded})
		d.tell(router.Closed, id, router.Event{})
	}
	if d.turn() {
		d.stood[id] = true
	}
}

// minutes lets a period pass; what it closes is exported before this returns, if it can be.
func (d *desk) minutes(n int64) {
	d.wall.Add(n * minute)
	d.c.Tick()
	d.turn()
	durabletest.Wait(func() bool { return d.fs.Dead() || len(d.c.closed) == 0 })
}

// run is a short life: calls, closed periods, exports, compaction.
func (d *desk) run() {
	if d.open() != nil {
		return
	}
	for range 3 {
		for range 4 {
			d.call()
		}
		d.minutes(1)
	}
	d.c.Close()
}

// settle has the ledger go on after whatever was done to it, lets every call end, and checks all that was stated.
func (d *desk) settle(name string, power bool) {
	d.fs.Restart()
	require.NoError(d.t, d.open(), name)
	d.clock += time.Second
	for call := range d.offered { // the case server's releases come on the next connection, those heard before once more
		d.tell(router.UnknownServerRelease, call, router.Event{Outcome: threadglade.Concluded})
	}
	d.up = nil
	d.call()
	for _, id := range d.up {
		d.tell(router.Ended, id, router.Event{Outcome: threadglade.Concluded})
		d.tell(router.Closed, id, router.Event{})
	}
	d.minutes(11) // whatever is open still is closed as unknown
	d.minutes(2)
	require.NoError(d.t, d.c.Close(), name)
	_, err := CloseDue(d.fs, "ledger", func() int64 { return d.wall.Load() + 12*minute })
	require.NoError(d.t, err, name)
	_, err = Export(d.fs, "ledger", "out")
	require.NoError(d.t, err, name)
	_, err = Inspect(d.fs, "ledger")
	require.NoError(d.t, err, name)
	all, stated := ledger.Merged{}, map[string]int{}
	files, _ := d.fs.List("out")
	for _, f := range files {
		if !strings.HasSuffix(f, ".tgx") {
			continue
		}
		e, err := ReadExport(d.fs, "out/"+f, func(calls []uint64) error {
			for _, c := range calls {
				stated[ledger.FormatCallKey(c)]++
			}
			return nil
		})
		require.NoError(d.t, err, name)
		all = ledger.Join(all, ledger.Merge(e))
	}
	require.Empty(d.t, all.Findings(), name)
	for call, n := range stated {
		require.Equal(d.t, 1, n, "%s: %s is stated more than once", name, call)
		require.True(d.t, d.offered[call], "%s: %s", name, call)
	}
	total := all.Total()
	if power { // what was in the window may be lost, but nothing is there twice
		require.LessOrEqual(d.t, total[ledger.Offered], int64(len(d.offered)), name)
		return
	}
	for call := range d.seen {
		require.Equal(d.t, 1, stated[call], "%s: %s has left for a server and is stated nowhere", name, call)
	}
	require.LessOrEqual(d.t, total[ledger.Offered], int64(len(d.offered)), name)
	require.GreaterOrEqual(d.t, total[ledger.Offered], int64(len(d.seen)), name)
}

// TestEveryStep has each single write, sync, rename and removal of a short run fail, tear, kill the process and power the machine off
// in turn. What had left for a server is stated, each call once and each period once.
func TestEveryStep(t *testing.T) {
	plain := newDesk(t, 1)
	plain.run()
	plain.settle("nothing", false)
	steps := len(plain.fs.Steps())
	require.Greater(t, steps, 100)
	runs := 0
	for _, fault := range durabletest.Faults {
		for at := range steps {
			d := newDesk(t, uint64(at))
			hit := false
			d.fs.Plan = func(s durabletest.Step) durabletest.Fault {
				if s.N == at && !hit {
					hit = true
					return fault
				}
				return durabletest.None
			}
			d.run()
			power := fault == durabletest.PowerOff
			d.fs.Kill(power)
			d.settle(fmt.Sprintf("%v at step %d", fault, at), power)
			runs++
		}
	}
	t.Logf("%d runs over %d steps", runs, steps)
}

// TestWindow: after a loss of power, what was written before the last sync is there; with a sync in every write, all is.
func TestWindow(t *testing.T) {
	for seed := range uint64(20) {
		d := newDesk(t, seed)
		d.options.Roll = 1 << 20
		require.NoError(t, d.open())
		for range 10 {
			d.call()
		}
		d.fs.Kill(true)
		d.c.Close()
		d.fs.Restart()
		book, _, err := Recover(d.fs, "ledger")
		require.NoError(t, err)
		require.Len(t, book.Calls, 2, "with (sync 0s) nothing is lost")
	}
	lost := 0
	for seed := range uint64(20) {
		d := newDesk(t, seed)
		d.options.Roll, d.options.Sync = 1<<20, time.Hour
		require.NoError(t, d.open())
		for range 10 {
			d.call()
		}
		require.NoError(t, d.c.log.Sync())
		for range 10 {
			d.call()
		}
		d.fs.Kill(true)
		d.c.Close()
		d.fs.Restart()
		entries := 0
		_, err := readJournal(d.fs, "ledger", 0, func(e *ledger.Entry) error {
			if e.Kind == ledger.KindEnd {
				entries++
			}
			return nil
		})
		require.NoError(t, err)
		require.GreaterOrEqual(t, entries, 8, "what was synced is there")
		if entries < 18 {
			lost++
		}
	}
	require.NotZero(t, lost, "and what was not may be lost: the window is real")
}

// TestTrouble: a disk that is full, read-only or slow keeps nothing waiting for longer than the patience; totals are kept and written
// when it is back. With (when-unwritable refuse), requests are refused meanwhile.
func TestTrouble(t *testing.T) {
	for name, trouble := range map[string]func(*desk) (mend func()){
		"full": func(d *desk) func() {
			full := true
			var mu sync.Mutex
			d.fs.Plan = func(s durabletest.Step) durabletest.Fault {
				mu.Lock()
				defer mu.Unlock()
				if full && (s.What == "write" || s.What == "create") {
					return durabletest.Tear
				}
				return durabletest.None
			}
			return func() { mu.Lock(); full = false; mu.Unlock() }
		},
		"slow": func(d *desk) func() { return d.fs.Slow() },
	} {
		t.Run(name, func(t *testing.T) {
			d := newDesk(t, 1)
			d.options.Refuse, d.options.Export = true, ""
			require.NoError(t, d.open())
			d.call()
			mend := trouble(d)
			most := 0
			for i := range 30_000 {
				id := fmt.Sprintf("%016x", 1000+i)
				d.offered[id] = true
				d.tell(router.Arrived, id, router.Event{Class: "voice"})
				d.tell(router.Sent, id, router.Event{Server: "s0"})
				ticket := d.c.Commit()
				d.clock += 30 * time.Millisecond
				p := d.c.Released()
				if i > 2 { // the first batch may still be on its way to the writer
					require.True(t, p >= ticket, "calls go on")
				}
				d.tell(router.Established, id, router.Event{})
				d.tell(router.Ended, id, router.Event{Outcome: threadglade.Concluded})
				d.tell(router.Closed, id, router.Event{})
				most = max(most, d.c.Counters().Waiting+int(d.c.Counters().Queued))
			}
			require.Less(t, most, 3*handedMost, "what waits is bounded")
			require.NotZero(t, d.c.Counters().Spilled)
			why, after := d.c.Admit(router.Request{})
			ok := why == threadglade.NoReason
			require.False(t, ok)
			require.Equal(t, time.Second, after)
			require.True(t, d.log.Has(`"ledger_trouble"`))
			mend()
			require.True(t, durabletest.Wait(func() bool {
				d.c.Commit()
				d.c.Released()
				why, _ := d.c.Admit(router.Request{})
				ok := why == threadglade.NoReason
				return ok
			}), "it comes back by itself")
			require.True(t, d.log.Has(`"ledger_back"`))
			require.NoError(t, d.c.Close())
			v, err := Inspect(d.fs, "ledger")
			require.NoError(t, err)
			total := int64(0)
			for _, s := range v.Unstated {
				for _, u := range s.Totals {
					total += u[ledger.Offered]
				}
			}
			require.EqualValues(t, 30_000, total)
			require.Len(t, v.Book.Calls, 1)
		})
	}
	d := newDesk(t, 1)
	d.fs.Plan = func(durabletest.Step) durabletest.Fault { return durabletest.Fail }
	require.NoError(t, d.open(), "a disk that takes nothing keeps no router from starting")
	d.call()
	require.True(t, d.log.Has(`"ledger_trouble"`))
	require.Error(t, d.c.Close(), "but what was lost is told")
}

// TestInterrupted: an export that was cut off anywhere is made again with the same bytes, whatever was corrected meanwhile.
func TestInterrupted(t *testing.T) {
	made := map[string][]byte{}
	for at := 0; ; at++ {
		d := newDesk(t, 1)
		d.options.Export = ""
		require.NoError(t, d.open())
		for range 3 {
			d.call()
			d.minutes(2)
		}
		require.NoError(t, d.c.Close())
		first := len(d.fs.Steps())
		d.fs.Plan = func(s durabletest.Step) durabletest.Fault {
			if s.N == first+at {
				return durabletest.TearDie
			}
			return durabletest.None
		}
		_, err := Export(d.fs, "ledger", "out")
		died := d.fs.Dead()
		d.fs.Restart()
		if died {
			require.Error(t, err)
		}
		// A correction that comes after the plan waits for the next export.
		st, _, err := readState(d.fs, "ledger")
		require.NoError(t, err)
		if st.Done > 0 {
			_, err = Correct(d.fs, "ledger", ledger.Correction{Period: st.To - minute, Tenant: "x", Class: "voice", Field: "offered", Delta: 1, Reason: "r", By: "b"})
			require.NoError(t, err)
		}
		_, err = Export(d.fs, "ledger", "out")
		require.NoError(t, err)
		names, _ := d.fs.List("out")
		require.NotEmpty(t, names)
		if st.Plan != nil { // the file of the plan is the one that would have been
			name := names[st.Plan.Sequence-1]
			if made[name] != nil && st.Corrections == 0 {
				require.Equal(t, made[name], d.fs.Bytes("out/"+name), "step %d", at)
			}
		} else if st.Done == 0 {
			for _, n := range names {
				made[n] = d.fs.Bytes("out/" + n)
			}
		}
		if !died {
			require.Greater(t, at, 20)
			break
		}
	}
}

// TestFlip flips bits all over a ledger: each is found, with file and offset, and no total is stated that is wrong.
func TestFlip(t *testing.T) {
	d := newDesk(t, 1)
	d.run()
	for _, dir := range []string{"ledger", "out"} {
		names, _ := d.fs.List(dir)
		for _, name := range names {
			path := dir + "/" + name
			for bit := 0; bit < 8*d.fs.Size(path); bit += 13 {
				d.fs.Flip(path, bit)
				var err error
				if dir == "ledger" {
					_, err = Inspect(d.fs, "ledger")
				} else {
					_, err = ReadExport(d.fs, path, nil)
				}
				d.fs.Flip(path, bit)
				var damage *durable.Damage
				require.True(t, errors.As(err, &damage) && damage.File != "" || errors.Is(err, durable.ErrNewer), "%s bit %d: %v", path, bit, err)
			}
		}
	}
	_, err := Inspect(d.fs, "ledger")
	require.NoError(t, err)
}

// TestEnds: an export that ends early, and one of a later version, are refused by name.
func TestEnds(t *testing.T) {
	d := newDesk(t, 1)
	write := func(path string, change func([]byte) []byte) {
		var b bytes.Buffer
		_, err := durable.NewWriter(&b, durable.Header{Kind: kindExport, Number: 1})
		require.NoError(t, err)
		require.NoError(t, durable.WriteFile(d.fs, path, func(w io.Writer) error { _, err := w.Write(change(b.Bytes())); return err }))
	}
	write("out/x.tgx", func(b []byte) []byte { return b })
	_, err := ReadExport(d.fs, "out/x.tgx", nil)
	require.ErrorContains(t, err, "out/x.tgx: offset 48: the file ends before the export does")
	write("out/y.tgx", durabletest.Newer)
	_, err = ReadExport(d.fs, "out/y.tgx", nil)
	require.ErrorIs(t, err, durable.ErrNewer)
	require.ErrorContains(t, err, "out/y.tgx: version 2")
}

func TestSettings(t *testing.T) {
	read := func(text string) (Options, error) {
		s, err := settings.Parse("f", "(threadglade (ledger "+text+"))")
		require.NoError(t, err)
		o := Read(s.Sub("ledger"), "n0")
		return o, s.Finish()
	}
	o, err := read(`(directory "d") (period 1m) (tenant "lda" (networks "10.4.0.0/16") (identities "spiffe://b.example/lda/*"))`)
	require.NoError(t, err)
	require.Equal(t, minute, o.Terms.Length)
	tenants, networks := o.Tenants.Size()
	require.Equal(t, []int{1, 1}, []int{tenants, networks})
	for text, want := range map[string]string{
		"(period 1h)":                                     "directory: is missing",
		"(directory d) (period 7m)":                       "period: period: 7m0s is no part of a day",
		"(directory d) (period 25h)":                      "period",
		"(directory d) (sync 1y)":                         "sync",
		"(directory d) (grace 2h)":                        "grace",
		"(directory d) (when-unwritable panic)":           "when-unwritable",
		"(directory d) (precedence moon)":                 "precedence",
		"(directory d)\n(tenant a (networks 10.0.0.1/8))": "f:2: threadglade ledger tenant networks",
		"(directory d)\n(tenant a)\n(tenant a)":           `f:3: threadglade ledger tenant: "a" stands twice`,
		"(directory d) (colour red)":                      `unknown field "colour"`,
	} {
		_, err := read(text)
		require.ErrorContains(t, err, want, text)
	}
}

func TestDropKeepsWhatIsNeeded(t *testing.T) {
	d := newDesk(t, 1)
	d.options.Export = ""
	require.NoError(t, d.open())
	for range 10 {
		for range 5 {
			d.call()
		}
		d.minutes(1)
	}
	require.NoError(t, d.c.Close())
	all, _ := durable.Segments(d.fs, "ledger", journal)
	require.Greater(t, len(all), 3)
	n, err := Compact(d.fs, "ledger", 0, d.wall.Load())
	require.NoError(t, err)
	require.Zero(t, n, "nothing is exported yet")
	first, err := Export(d.fs, "ledger", "out")
	require.NoError(t, err)
	n, err = Compact(d.fs, "ledger", 100*time.Minute, d.wall.Load())
	require.NoError(t, err)
	require.Zero(t, n, "nothing is old enough")
	n, err = Compact(d.fs, "ledger", time.Minute, d.wall.Load())
	require.NoError(t, err)
	require.NotZero(t, n)
	require.NoError(t, d.open())
	d.minutes(2)
	require.NoError(t, d.c.Close())
	more, err := Export(d.fs, "ledger", "out")
	require.NoError(t, err)
	require.Equal(t, first[len(first)-1].Sequence+1, more[0].Sequence)
	require.True(t, slices.IsSortedFunc(more, func(a, b Exported) int { return int(a.Sequence) - int(b.Sequence) }))
}
