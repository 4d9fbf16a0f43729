// Package ledgerio carries the ledger to files: store.go reads and checks a ledger's folder, carrier.go writes what a running
// router counts and lets nothing leave before it is written, export.go states closed periods, settings.go reads the
// (ledger ...) section. It owns the folder's files, its locks and the writer's goroutines. It must never count, decide
// about a call, or have the loop wait for a disk.
package ledgerio

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"path/filepath"
	"time"

	"threadglade.example/threadglade/internal/durable"
	"threadglade.example/threadglade/ledger"
)

// Kinds of files, and the names of the logs in a ledger's folder.
const (
	kindJournal uint16 = iota + 1
	kindExports
	kindCorrections
	kindExport

	journal     = "journal"
	exports     = "exports"
	corrections = "corrections"
	lockName    = "lock"
	exportLock  = "export.lock"
	correctLock = "corrections.lock"
)

// Kinds of frames in the logs; those of an export are package ledger's.
const (
	frameCheckpoint uint16 = iota + 1
	frameEntries
)

const (
	// frameBytes is where a frame of entries ends and the next begins.
	frameBytes = 256 << 10
	// smallRoll is when the small logs begin a new segment.
	smallRoll = 1 << 20
	// correctionsMost corrections a ledger may have.
	correctionsMost = 100_000
)

// ErrNoLedger is wrapped by errors for a folder without one.
var ErrNoLedger = errors.New("is no ledger: no journal is in it")

// frames packs entries.
func frames(kind uint16, list []ledger.Entry) (out []durable.Frame) {
	var b []byte
	for i := range list {
		b = list[i].Append(b)
		if len(b) >= frameBytes {
			out = append(out, durable.Frame{Kind: kind, Payload: b})
			b = nil
		}
	}
	if len(b) > 0 {
		out = append(out, durable.Frame{Kind: kind, Payload: b})
	}
	return out
}

// readJournal calls each with every entry of the journal's segments from first on (0: all). An entry that its reader cannot make
// sense of is damage at the frame that it stands in.
func readJournal(f durable.FS, dir string, first uint64, each func(*ledger.Entry) error) (durable.Scan, error) {
	return durable.Read(f, dir, journal, kindJournal, first, func(at durable.Place, r *durable.Reader, _ uint16, payload []byte) error {
		err := ledger.Decode(payload, each)
		var damage *durable.Damage
		if err == nil || err == durable.Stop() || errors.As(err, &damage) || errors.Is(err, errHere) {
			return err
		}
		return r.Damaged(at.Offset, "%v", err)
	})
}

// errHere is wrapped by errors that are not the journal's fault.
var errHere = errors.New("export")

// Recover reads a ledger's book as of its last entry; that takes its last segment alone.
func Recover(f durable.FS, dir string) (*ledger.State, durable.Scan, error) {
	numbers, err := durable.Segments(f, dir, journal)
	if err != nil || len(numbers) == 0 {
		return nil, durable.Scan{}, err
	}
	book := ledger.NewState()
	s, err := readJournal(f, dir, numbers[len(numbers)-1], book.Apply)
	if err == nil && !book.HasCheckpoint() {
		err = &durable.Damage{File: filepath.Join(dir, fmt.Sprintf("%s-%08d.tgl", journal, numbers[len(numbers)-1])), Offset: 0, What: "its checkpoint is not whole"}
	}
	return book, s, err
}

// mark reads the end of a segment's checkpoint: its time and how many statements there were.
func mark(f durable.FS, dir string, number uint64) (m ledger.Entry, err error) {
	err = errors.New("no checkpoint")
	_, bad := durable.Read(f, dir, journal, kindJournal, number, func(at durable.Place, r *durable.Reader, _ uint16, payload []byte) error {
		if at.Segment != number {
			return durable.Stop()
		}
		return ledger.Decode(payload, func(e *ledger.Entry) error {
			if e.Kind != ledger.KindCheckpointEnd {
				return nil
			}
			m, err = *e, nil
			return durable.Stop()
		})
	})
	return m, errors.Join(bad, err)
}

// startFor is the segment from which the journal must be read to state what begins at a time: the last that was begun before it.
func startFor(f durable.FS, dir string, from int64) (uint64, error) {
	numbers, err := durable.Segments(f, dir, journal)
	if err != nil {
		return 0, err
	}
	if len(numbers) == 0 {
		return 0, fmt.Errorf("%s: %w", dir, ErrNoLedger)
	}
	start := uint64(0)
	for _, n := range numbers {
		m, err := mark(f, dir, n)
		if err != nil {
			return 0, err
		}
		if start == 0 && m.Sequence == 0 || m.At < from {
			start = n
		}
		if m.At >= from {
			break
		}
	}
	if start == 0 {
		return 0, fmt.Errorf("%s: the journal's oldest segment is %d; what came before it is not there", dir, numbers[0])
	}
	return start, nil
}

// exportState is what the log of exports comes to.
type exportState struct {
	Done        uint64 `json:"done"`        // sequence of the last export
	To          int64  `json:"to_ms"`       // and the end of its time
	ID          string `json:"id"`          // and its content
	Corrections uint64 `json:"corrections"` // entries of the corrections' log that are in exports
	Plan        *plan  `json:"plan,omitempty"`
}

// plan is an export that has begun: whoever goes on with it makes the same bytes.
type plan struct {
	Sequence    uint64 `json:"sequence"`
	Corrections uint64 `json:"corrections"` // entries up to which it takes in
}

// readState reads the log of exports; every frame in it holds the state as of then.
func readState(f durable.FS, dir string) (st exportState, s durable.Scan, err error) {
	s, err = durable.Read(f, dir, exports, kindExports, 0, func(at durable.Place, r *durable.Reader, _ uint16, payload []byte) error {
		var next exportState
		if err := json.Unmarshal(payload, &next); err != nil {
			return r.Damaged(at.Offset, "%v", err)
		}
		if next.Done < st.Done || next.Done > st.Done+1 && s.Frames > 0 {
			return r.Damaged(at.Offset, "export %d follows %d", next.Done, st.Done)
		}
		st = next
		return nil
	})
	return st, s, err
}

// readCorrections reads the operators' corrections.
func readCorrections(f durable.FS, dir string) (list []ledger.Correction, s durable.Scan, err error) {
	s, err = durable.Read(f, dir, corrections, kindCorrections, 0, func(at durable.Place, r *durable.Reader, kind uint16, payload []byte) error {
		if kind == frameCheckpoint {
			return nil
		}
		var c ledger.Correction
		if err := json.Unmarshal(payload, &c); err != nil {
			return r.Damaged(at.Offset, "%v", err)
		}
		if err := c.Validate(); err != nil || c.Entry != uint64(len(list)+1) {
			return r.Damaged(at.Offset, "correction %d follows %d: %v", c.Entry, len(list), err)
		}
		list = append(list, c)
		return nil
	})
	return list, s, err
}

// Correct notes an operator's correction of a period that has been exported; it goes out with the next export. The
// error says why it cannot be taken.
func Correct(f durable.FS, dir string, c ledger.Correction) (entry uint64, err error) {
	lock, err := f.Lock(filepath.Join(dir, correctLock))
	if err != nil {
		return 0, err
	}
	defer lock.Close()
	book, _, err := Recover(f, dir)
	if err != nil {
		return 0, err
	}
	if book == nil {
		return 0, fmt.Errorf("%s: %w", dir, ErrNoLedger)
	}
	st, _, err := readState(f, dir)
	if err != nil {
		return 0, err
	}
	if c.Period%book.Length != 0 {
		return 0, fmt.Errorf("period: %s begins no period of %v", stamp(c.Period), time.Duration(book.Length)*time.Millisecond)
	}
	if c.Period >= st.To {
		return 0, fmt.Errorf("period: %s is not exported yet; exports go up to %s", stamp(c.Period), stamp(st.To))
	}
	if err := c.Validate(); err != nil {
		return 0, err
	}
	list, scan, err := readCorrections(f, dir)
	if err != nil {
		return 0, err
	}
	if len(list) >= correctionsMost {
		return 0, fmt.Errorf("%s: there are %d corrections, no more are taken", dir, len(list))
	}
	c.Entry = uint64(len(list) + 1)
	text, err := json.Marshal(c)
	if err != nil {
		return 0, err
	}
	l, err := durable.Continue(durable.LogConfig{FS: f, Dir: dir, Name: corrections, Kind: kindCorrections, Roll: smallRoll,
		Checkpoint: func() []durable.Frame { return []durable.Frame{{Kind: frameCheckpoint}} }}, scan)
	if err != nil {
		return 0, err
	}
	if err := l.Append(durable.Frame{Kind: frameEntries, Payload: text}); err != nil {
		return 0, err
	}
	return c.Entry, l.Close()
}

func stamp(ms int64) string {
	if ms == 0 {
		return "(nothing)"
	}
	return time.UnixMilli(ms).UTC().Format(time.RFC3339)
}

// View is what a ledger's folder holds.
type View struct {
	Terms       ledger.Settings
	Book        *ledger.State
	Statements  []*ledger.Statement // of the segments that are there
	Unstated    []*ledger.Statement // periods that are not closed
	Late        map[int64]map[ledger.Key]*ledger.Usage
	Corrections []ledger.Correction
	Exported    uint64 // sequence of the last export
	ExportedTo  int64
	Planned     bool     // an export was interrupted
	Torn        []string // what crashes cut off
	Segments    int
	Bytes       int64
}

// Inspect reads all of a ledger and checks it; nothing is changed, and a router may be writing meanwhile. Damage is an
// error that names file and offset.
func Inspect(f durable.FS, dir string) (*View, error) {
	numbers, err := durable.Segments(f, dir, journal)
	if err != nil {
		return nil, err
	}
	if len(numbers) == 0 {
		return nil, fmt.Errorf("%s: %w", dir, ErrNoLedger)
	}
	v := &View{}
	c := ledger.NewCollector(func(s *ledger.Statement) error { v.Statements = append(v.Statements, s); return nil })
	s, err := readJournal(f, dir, 0, c.Add)
	if err != nil {
		return nil, err
	}
	v.Terms, v.Book, v.Torn, v.Segments, v.Bytes = c.State.Settings, c.State, s.Torn, s.Segments, s.Bytes
	v.Unstated, v.Late = c.Pending()
	list, s, err := readCorrections(f, dir)
	if err != nil {
		return nil, err
	}
	v.Corrections, v.Torn = list, append(v.Torn, s.Torn...)
	st, s, err := readState(f, dir)
	if err != nil {
		return nil, err
	}
	v.Exported, v.ExportedTo, v.Planned, v.Torn = st.Done, st.To, st.Plan != nil, append(v.Torn, s.Torn...)
	if st.Done > c.State.Sequence || st.Corrections > uint64(len(list)) {
		return nil, fmt.Errorf("%s: %d periods were exported, but the journal has closed %d: a part of it is not there", dir, st.Done, c.State.Sequence)
	}
	return v, nil
}

// Standing is what a folder's journal says of calls: which have stood and are counted, stated or not yet, which ended as unknown, and which are open. It needs no lock: nobody writes any more.
func Standing(f durable.FS, dir string) (counted, unknown, open map[uint64]bool, err error) {
	counted, unknown, open = map[uint64]bool{}, map[uint64]bool{}, map[uint64]bool{}
	take := func(s *ledger.Statement) error {
		for _, c := range s.Calls {
			counted[c] = true
		}
		for _, c := range s.Unknown {
			unknown[ledger.CallKey(c.Call)] = true
		}
		return nil
	}
	c := ledger.NewCollector(take)
	if _, err = readJournal(f, dir, 0, c.Add); err != nil {
		return nil, nil, nil, err
	}
	list, _ := c.Pending()
	for _, s := range list {
		take(s)
	}
	for call := range c.State.Calls {
		open[call] = true
	}
	return counted, unknown, open, nil
}

// ReadExport reads an export file; calls, unless nil, gets the calls that stood.
func ReadExport(f durable.FS, path string, calls func([]uint64) error) (*ledger.Export, error) {
	r, err := durable.Open(f, path, kindExport)
	if err != nil {
		return nil, err
	}
	defer r.Close()
	at := int64(0)
	e, err := ledger.DecodeExport(func() (uint16, []byte, error) {
		at = r.Offset()
		kind, payload, err := r.Next()
		if errors.Is(err, io.EOF) || errors.Is(err, durable.ErrTorn) {
			err = r.Damaged(at, "the file ends before the export does")
		}
		return kind, payload, err
	}, calls)
	if errors.Is(err, ledger.ErrInvalidExport) {
		return nil, r.Damaged(at, "%v", err)
	}
	if err == nil {
		if _, _, more := r.Next(); more != io.EOF {
			return nil, r.Damaged(r.Offset(), "something follows the export")
		}
	}
	return e, err
}

// CallsOf opens the list of calls of an export file, to be read part by part.
func CallsOf(f durable.FS, path string, buffer int) (ledger.CallSource, io.Closer, error) {
	r, err := durable.OpenBuffered(f, path, kindExport, buffer)
	if err != nil {
		return nil, nil, err
	}
	return &callFile{r: r}, r, nil
}

type callFile struct {
	r    *durable.Reader
	list ledger.CallList
}

// Next implements ledger.CallSource.
func (c *callFile) Next() ([]uint64, error) {
	for {
		kind, payload, err := c.r.Next()
		if err == io.EOF {
			return nil, nil
		}
		if err != nil {
			return nil, err
		}
		if part, err := c.list.Decode(kind, payload); err != nil || len(part) > 0 {
			return part, err
		}
	}
}

// missing says whether a file is not there.
func missing(err error) bool { return errors.Is(err, fs.ErrNotExist) }
