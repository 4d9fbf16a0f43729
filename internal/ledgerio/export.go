package ledgerio

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"time"

	"threadglade.example/threadglade/internal/durable"
	"threadglade.example/threadglade/ledger"
)

// Exported is one export that was made.
type Exported struct {
	Path     string `json:"path"`
	ID       string `json:"id"`
	Sequence uint64 `json:"sequence"`
	From     int64  `json:"from_ms"`
	To       int64  `json:"to_ms"`
}

// Export states every closed period that has not been exported, in order, each as one file in the folder out. Run again after
// an interruption at any point, it makes the same bytes. One process at a time exports a ledger.
func Export(f durable.FS, dir, out string) (list []Exported, err error) {
	lock, err := f.Lock(filepath.Join(dir, exportLock))
	if err != nil {
		return nil, err
	}
	defer lock.Close()
	st, scan, err := readState(f, dir)
	if err != nil {
		return nil, err
	}
	first, err := startFor(f, dir, st.To)
	if err != nil {
		return nil, err
	}
	if err := errors.Join(f.MakeDir(out), durable.Clean(f, out)); err != nil {
		return nil, err
	}
	w := &exporter{f: f, dir: dir, out: out, st: st, scan: scan}
	var c *ledger.Collector
	c = ledger.NewCollector(func(s *ledger.Statement) error {
		if s.Sequence <= w.st.Done {
			return nil
		}
		if s.Sequence != w.st.Done+1 || w.st.To != 0 && s.From != w.st.To {
			return fmt.Errorf("%w: statement %d from %s follows export %d up to %s", errHere, s.Sequence, stamp(s.From), w.st.Done, stamp(w.st.To))
		}
		done, err := w.state(c.State.Settings, s)
		if err != nil {
			return fmt.Errorf("%w of statement %d: %w", errHere, s.Sequence, err)
		}
		list = append(list, done)
		return nil
	})
	_, err = readJournal(f, dir, first, c.Add)
	if w.log != nil {
		err = errors.Join(err, w.log.Close())
	}
	return list, err
}

// exporter makes exports one after the other.
type exporter struct {
	f        durable.FS
	dir, out string
	st       exportState
	scan     durable.Scan
	log      *durable.Log
}

// note writes the state down for good.
func (w *exporter) note(st exportState) error {
	if w.log == nil {
		l, err := durable.Continue(durable.LogConfig{FS: w.f, Dir: w.dir, Name: exports, Kind: kindExports, Roll: smallRoll,
			Checkpoint: func() []durable.Frame { return []durable.Frame{w.frame(w.st)} }}, w.scan)
		if err != nil {
			return err
		}
		w.log = l
	}
	if err := w.log.Append(w.frame(st)); err != nil {
		return err
	}
	if err := w.log.Sync(); err != nil {
		return err
	}
	w.st = st
	return nil
}

func (w *exporter) frame(st exportState) durable.Frame {
	b, err := json.Marshal(st)
	if err != nil {
		panic(err) // of figures and strings: it cannot fail
	}
	return durable.Frame{Kind: frameEntries, Payload: b}
}

// state exports one statement: what goes into it is settled and written down first, then the file appears, then it counts
// as done.
func (w *exporter) state(t ledger.Settings, s *ledger.Statement) (Exported, error) {
	mends, _, err := readCorrections(w.f, w.dir)
	if err != nil {
		return Exported{}, err
	}
	if w.st.Plan == nil || w.st.Plan.Sequence != s.Sequence {
		next := w.st
		next.Plan = &plan{s.Sequence, uint64(len(mends))}
		if err := w.note(next); err != nil {
			return Exported{}, err
		}
	}
	if uint64(len(mends)) < w.st.Plan.Corrections {
		return Exported{}, fmt.Errorf("%s: of %d corrections that belong to it %d are there", w.dir, w.st.Plan.Corrections, len(mends))
	}
	e, calls := ledger.NewExport(t, s, mends[w.st.Corrections:w.st.Plan.Corrections])
	path := filepath.Join(w.out, e.FileName())
	if err := WriteExport(w.f, path, e, calls); err != nil {
		return Exported{}, err
	}
	next := exportState{Done: s.Sequence, To: s.To, ID: e.ID, Corrections: w.st.Plan.Corrections}
	if err := w.note(next); err != nil {
		return Exported{}, err
	}
	return Exported{path, e.ID, e.Sequence, e.From, e.To}, nil
}

// WriteExport makes an export appear whole. One that is there already with the same bytes stays; with others, it is an error:
// no export is ever changed.
func WriteExport(f durable.FS, path string, e *ledger.Export, calls []uint64) error {
	encode := func(to io.Writer) error {
		w, err := durable.NewWriter(to, durable.Header{Kind: kindExport, Number: e.Sequence})
		if err != nil {
			return err
		}
		return e.Encode(calls, w.Frame)
	}
	src, size, err := f.Open(path)
	if missing(err) {
		return durable.WriteFile(f, path, encode)
	}
	if err != nil {
		return err
	}
	defer src.Close()
	same := &comparer{src: src, left: size}
	if err := encode(same); err != nil {
		return err
	}
	if same.differs || same.left != 0 {
		return fmt.Errorf("%s is there with other content", path)
	}
	return nil
}

// comparer compares what is written to it with a file.
type comparer struct {
	src     io.Reader
	left    int64
	buf     []byte
	differs bool
}

func (c *comparer) Write(b []byte) (int, error) {
	c.left -= int64(len(b))
	if c.left < 0 {
		c.differs = true
	}
	if !c.differs {
		c.buf = append(c.buf[:0], b...)
		if _, err := io.ReadFull(c.src, c.buf); err != nil || !bytes.Equal(c.buf, b) {
			c.differs = true
		}
	}
	return len(b), nil
}

// CloseDue closes what is due in the ledger of a router that is not running, and returns whether that could be looked at: where
// a router runs, it does so itself.
func CloseDue(f durable.FS, dir string, wall func() int64) (bool, error) {
	lock, err := f.Lock(filepath.Join(dir, lockName))
	if errors.Is(err, durable.ErrLocked) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	defer lock.Close()
	book, scan, err := Recover(f, dir)
	if err != nil {
		return false, err
	}
	if book == nil {
		return false, fmt.Errorf("%s: %w", dir, ErrNoLedger)
	}
	k := ledger.NewKeeper(ledger.KeeperConfig{WallClock: wall}, book)
	k.Tick()
	if !k.HasEntries() {
		return true, nil
	}
	l, err := durable.Continue(journalConfig(f, dir, smallRoll, book), scan)
	if err != nil {
		return false, err
	}
	if err := l.Append(frames(frameEntries, k.Take(nil))...); err != nil {
		return false, err
	}
	return true, l.Close()
}

// journalConfig is the journal of a book: its segments begin with what the book holds then.
func journalConfig(f durable.FS, dir string, roll int64, book *ledger.State) durable.LogConfig {
	return durable.LogConfig{FS: f, Dir: dir, Name: journal, Kind: kindJournal, Roll: roll,
		Checkpoint: func() []durable.Frame { return frames(frameCheckpoint, book.Checkpoint()) }}
}

// Compact removes the journal's segments that no export needs any more and whose last entry is older than keep.
func Compact(f durable.FS, dir string, keep time.Duration, now int64) (removed int, err error) {
	lock, err := f.Lock(filepath.Join(dir, exportLock))
	if err != nil {
		return 0, err
	}
	defer lock.Close()
	st, _, err := readState(f, dir)
	if err != nil || st.To == 0 {
		return 0, err
	}
	need, err := startFor(f, dir, st.To)
	if err != nil {
		return 0, err
	}
	numbers, err := durable.Segments(f, dir, journal)
	if err != nil {
		return 0, err
	}
	before := numbers[0]
	for _, n := range numbers[1:] {
		m, err := mark(f, dir, n) // as it began, the one before it ended
		if err != nil {
			return 0, err
		}
		if n > need || now-m.At <= keep.Milliseconds() {
			break
		}
		before = n
	}
	return durable.Drop(f, dir, journal, before)
}
