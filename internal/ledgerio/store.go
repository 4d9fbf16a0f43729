// Package ledgerio stores the ledger in files. store.go reads and checks a ledger's directory, recorder.go writes the
// entries of a running router and holds its output back until they are written, export.go exports closed periods, and
// settings.go reads the (ledger ...) section. The package owns the directory's files, its locks and the writer's
// goroutines. It must never count usage, decide about a call, or let the event loop wait for a disk.
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

// Kinds of files, and the names of the logs and locks in a ledger's directory.
const (
	kindJournal uint16 = iota + 1
	kindExports
	kindCorrections
	kindExport

	journalName         = "journal"
	exportsName         = "exports"
	correctionsName     = "corrections"
	lockName            = "lock"
	exportLockName      = "export.lock"
	correctionsLockName = "corrections.lock"
)

// Kinds of frames in the logs; package ledger defines those of an export file.
const (
	frameCheckpoint uint16 = iota + 1
	frameEntries
)

const (
	// targetFrameBytes is the payload size at which a frame of entries is closed.
	targetFrameBytes = 256 << 10
	// smallSegmentBytes is the segment size of the exports and corrections logs.
	smallSegmentBytes = 1 << 20
	// maxCorrections limits the corrections of one ledger.
	maxCorrections = 100_000
)

// ErrNoLedger is wrapped by errors for a directory without a ledger.
var ErrNoLedger = errors.New("is no ledger: it contains no journal")

// packEntries encodes entries into frames of a kind.
func packEntries(kind uint16, list []ledger.Entry) (out []durable.Frame) {
	var payload []byte
	for i := range list {
		payload = list[i].Append(payload)
		if len(payload) >= targetFrameBytes {
			out = append(out, durable.Frame{Kind: kind, Payload: payload})
			payload = nil
		}
	}
	if len(payload) > 0 {
		out = append(out, durable.Frame{Kind: kind, Payload: payload})
	}
	return out
}

// readJournal calls each with every entry of the journal's segments from first on (0: all). An error of the decoder
// or of each is reported as damage of the frame that contains the entry, unless it is a *durable.DamageError already
// or wraps errExport.
func readJournal(fsys durable.FS, dir string, first uint64, each func(*ledger.Entry) error) (durable.Scan, error) {
	return durable.ReadLog(fsys, dir, journalName, kindJournal, first,
		func(at durable.Position, r *durable.Reader, _ uint16, payload []byte) error {
			err := ledger.Decode(payload, each)
			var damage *durable.DamageError
			if err == nil || err == durable.StopScan() || errors.As(err, &damage) || errors.Is(err, errExport) {
				return err
			}
			return r.Damagef(at.Offset, "%v", err)
		})
}

// errExport is wrapped by errors of exporting, which are not damage of the journal.
var errExport = errors.New("export")

// Recover returns a ledger's state as of its last entry, or nil if the directory has no journal. It reads only the
// last segment, which begins with a checkpoint.
func Recover(fsys durable.FS, dir string) (*ledger.State, durable.Scan, error) {
	numbers, err := durable.ListSegments(fsys, dir, journalName)
	if err != nil || len(numbers) == 0 {
		return nil, durable.Scan{}, err
	}
	state := ledger.NewState()
	scan, err := readJournal(fsys, dir, numbers[len(numbers)-1], state.Apply)
	if err == nil && !state.HasCheckpoint() {
		err = &durable.DamageError{
			File:    filepath.Join(dir, fmt.Sprintf("%s-%08d.tgl", journalName, numbers[len(numbers)-1])),
			Offset:  0,
			Problem: "the checkpoint is incomplete",
		}
	}
	return state, scan, err
}

// readCheckpointEnd returns the last entry of a segment's checkpoint, which contains the time of the checkpoint and the
// number of statements before it.
func readCheckpointEnd(fsys durable.FS, dir string, number uint64) (checkpointEnd ledger.Entry, err error) {
	err = errors.New("no checkpoint")
	_, readErr := durable.ReadLog(fsys, dir, journalName, kindJournal, number,
		func(at durable.Position, r *durable.Reader, _ uint16, payload []byte) error {
			if at.Segment != number {
				return durable.StopScan()
			}
			return ledger.Decode(payload, func(e *ledger.Entry) error {
				if e.Kind != ledger.KindCheckpointEnd {
					return nil
				}
				checkpointEnd, err = *e, nil
				return durable.StopScan()
			})
		})
	return checkpointEnd, errors.Join(readErr, err)
}

// findStartSegment returns the segment from which the journal must be read to obtain all periods that begin at or
// after from (milliseconds since the Unix epoch): the last one that was started before it.
func findStartSegment(fsys durable.FS, dir string, from int64) (uint64, error) {
	numbers, err := durable.ListSegments(fsys, dir, journalName)
	if err != nil {
		return 0, err
	}
	if len(numbers) == 0 {
		return 0, fmt.Errorf("%s: %w", dir, ErrNoLedger)
	}
	start := uint64(0)
	for _, number := range numbers {
		checkpointEnd, err := readCheckpointEnd(fsys, dir, number)
		if err != nil {
			return 0, err
		}
		if start == 0 && checkpointEnd.Sequence == 0 || checkpointEnd.At < from {
			start = number
		}
		if checkpointEnd.At >= from {
			break
		}
	}
	if start == 0 {
		return 0, fmt.Errorf("%s: the journal's oldest segment is %d; the segments before it are missing", dir, numbers[0])
	}
	return start, nil
}

// exportState is the content of an entry of the exports log; the last entry is the current state.
type exportState struct {
	LastSequence uint64      `json:"done"`        // sequence number of the last export
	LastEnd      int64       `json:"to_ms"`       // end of its period, in milliseconds since the Unix epoch
	LastID       string      `json:"id"`          // its content id
	Corrections  uint64      `json:"corrections"` // entries of the corrections log that are included in exports
	Plan         *exportPlan `json:"plan,omitempty"`
}

// exportPlan fixes the content of an export that has begun, so that resuming it produces the same bytes.
type exportPlan struct {
	Sequence    uint64 `json:"sequence"`
	Corrections uint64 `json:"corrections"` // number of the last corrections entry that it includes
}

// readExportState reads the exports log; each of its frames holds the complete state.
func readExportState(fsys durable.FS, dir string) (state exportState, scan durable.Scan, err error) {
	scan, err = durable.ReadLog(fsys, dir, exportsName, kindExports, 0,
		func(at durable.Position, r *durable.Reader, _ uint16, payload []byte) error {
			var next exportState
			if err := json.Unmarshal(payload, &next); err != nil {
				return r.Damagef(at.Offset, "%v", err)
			}
			if next.LastSequence < state.LastSequence || next.LastSequence > state.LastSequence+1 && scan.Frames > 0 {
				return r.Damagef(at.Offset, "export %d is out of order after export %d", next.LastSequence,
					state.LastSequence)
			}
			state = next
			return nil
		})
	return state, scan, err
}

// readCorrections reads the operators' corrections in the order in which they were made.
func readCorrections(fsys durable.FS, dir string) (list []ledger.Correction, scan durable.Scan, err error) {
	scan, err = durable.ReadLog(fsys, dir, correctionsName, kindCorrections, 0,
		func(at durable.Position, r *durable.Reader, kind uint16, payload []byte) error {
			if kind == frameCheckpoint {
				return nil
			}
			var correction ledger.Correction
			if err := json.Unmarshal(payload, &correction); err != nil {
				return r.Damagef(at.Offset, "%v", err)
			}
			if err := correction.Validate(); err != nil || correction.Entry != uint64(len(list)+1) {
				return r.Damagef(at.Offset, "correction %d after %d corrections is invalid or out of order: %v",
					correction.Entry, len(list), err)
			}
			list = append(list, correction)
			return nil
		})
	return list, scan, err
}

// AddCorrection records an operator's correction of a period that has been exported, and returns its entry number.
// The correction is included in the next export. It is rejected if it is invalid or its period is not exported yet.
func AddCorrection(fsys durable.FS, dir string, correction ledger.Correction) (entry uint64, err error) {
	lock, err := fsys.Lock(filepath.Join(dir, correctionsLockName))
	if err != nil {
		return 0, err
	}
	defer lock.Close()
	state, _, err := Recover(fsys, dir)
	if err != nil {
		return 0, err
	}
	if state == nil {
		return 0, fmt.Errorf("%s: %w", dir, ErrNoLedger)
	}
	exported, _, err := readExportState(fsys, dir)
	if err != nil {
		return 0, err
	}
	if correction.Period%state.Length != 0 {
		return 0, fmt.Errorf("period: %s is not the start of a period of %v", formatTime(correction.Period),
			time.Duration(state.Length)*time.Millisecond)
	}
	if correction.Period >= exported.LastEnd {
		return 0, fmt.Errorf("period: %s is not exported yet; exports go up to %s",
			formatTime(correction.Period), formatTime(exported.LastEnd))
	}
	if err := correction.Validate(); err != nil {
		return 0, err
	}
	list, scan, err := readCorrections(fsys, dir)
	if err != nil {
		return 0, err
	}
	if len(list) >= maxCorrections {
		return 0, fmt.Errorf("%s: there are already %d corrections, which is the maximum", dir, len(list))
	}
	correction.Entry = uint64(len(list) + 1)
	text, err := json.Marshal(correction)
	if err != nil {
		return 0, err
	}
	log, err := durable.ContinueLog(durable.LogConfig{
		FS:              fsys,
		Dir:             dir,
		Name:            correctionsName,
		Kind:            kindCorrections,
		MaxSegmentBytes: smallSegmentBytes,
		Checkpoint:      func() []durable.Frame { return []durable.Frame{{Kind: frameCheckpoint}} },
	}, scan)
	if err != nil {
		return 0, err
	}
	if err := log.Append(durable.Frame{Kind: frameEntries, Payload: text}); err != nil {
		return 0, err
	}
	return correction.Entry, log.Close()
}

// formatTime formats milliseconds since the Unix epoch for messages; 0 stands for "nothing yet".
func formatTime(ms int64) string {
	if ms == 0 {
		return "(nothing)"
	}
	return time.UnixMilli(ms).UTC().Format(time.RFC3339)
}

// View is the content of a ledger's directory, as read by Inspect.
type View struct {
	Settings   ledger.Settings
	State      *ledger.State
	Statements []*ledger.Statement // closed periods, as far back as segments are kept
	Pending    []*ledger.Statement // periods that are not closed yet
	// Late is usage that belongs to closed periods and will be stated with a later one, by the start of its period.
	Late              map[int64]map[ledger.Key]*ledger.Usage
	Corrections       []ledger.Correction
	Exported          uint64   // sequence number of the last export
	ExportedTo        int64    // end of its period, in milliseconds since the Unix epoch
	ExportInterrupted bool     // an export has begun and is not finished
	Torn              []string // tails cut off by crashes, as file, offset and length
	Segments          int      // of the journal
	Bytes             int64    // of the journal
}

// Inspect reads and checks a whole ledger. It changes nothing, and a router may be writing to the ledger meanwhile.
// Damage is reported as a *durable.DamageError with file and offset.
func Inspect(fsys durable.FS, dir string) (*View, error) {
	numbers, err := durable.ListSegments(fsys, dir, journalName)
	if err != nil {
		return nil, err
	}
	if len(numbers) == 0 {
		return nil, fmt.Errorf("%s: %w", dir, ErrNoLedger)
	}
	view := &View{}
	collector := ledger.NewCollector(func(s *ledger.Statement) error {
		view.Statements = append(view.Statements, s)
		return nil
	})
	scan, err := readJournal(fsys, dir, 0, collector.Add)
	if err != nil {
		return nil, err
	}
	view.Settings, view.State, view.Torn, view.Segments, view.Bytes =
		collector.State.Settings, collector.State, scan.Torn, scan.Segments, scan.Bytes
	view.Pending, view.Late = collector.Pending()
	list, scan, err := readCorrections(fsys, dir)
	if err != nil {
		return nil, err
	}
	view.Corrections, view.Torn = list, append(view.Torn, scan.Torn...)
	exported, scan, err := readExportState(fsys, dir)
	if err != nil {
		return nil, err
	}
	view.Exported, view.ExportedTo, view.ExportInterrupted, view.Torn =
		exported.LastSequence, exported.LastEnd, exported.Plan != nil, append(view.Torn, scan.Torn...)
	if exported.LastSequence > collector.State.Sequence || exported.Corrections > uint64(len(list)) {
		return nil, fmt.Errorf(
			"%s: %d periods were exported, but the journal has closed %d: part of the journal is missing",
			dir, exported.LastSequence, collector.State.Sequence)
	}
	return view, nil
}

// ReadCallStates returns the keys of the calls in a directory's journal by state: counted as established (in a closed
// period or not), closed as unknown, and still open. It takes no lock; no process may be writing to the ledger.
func ReadCallStates(fsys durable.FS, dir string) (counted, unknown, open map[uint64]bool, err error) {
	counted, unknown, open = map[uint64]bool{}, map[uint64]bool{}, map[uint64]bool{}
	add := func(s *ledger.Statement) error {
		for _, key := range s.Calls {
			counted[key] = true
		}
		for _, call := range s.Unknown {
			unknown[ledger.CallKey(call.Call)] = true
		}
		return nil
	}
	collector := ledger.NewCollector(add)
	if _, err = readJournal(fsys, dir, 0, collector.Add); err != nil {
		return nil, nil, nil, err
	}
	list, _ := collector.Pending()
	for _, s := range list {
		add(s)
	}
	for call := range collector.State.Calls {
		open[call] = true
	}
	return counted, unknown, open, nil
}

// ReadExport reads and checks an export file. Unless calls is nil, it is called with the keys of the listed calls, in
// parts.
func ReadExport(fsys durable.FS, path string, calls func([]uint64) error) (*ledger.Export, error) {
	reader, err := durable.Open(fsys, path, kindExport)
	if err != nil {
		return nil, err
	}
	defer reader.Close()
	at := int64(0)
	export, err := ledger.DecodeExport(func() (uint16, []byte, error) {
		at = reader.Offset()
		kind, payload, err := reader.Next()
		if errors.Is(err, io.EOF) || errors.Is(err, durable.ErrTorn) {
			err = reader.Damagef(at, "the file ends before the export does")
		}
		return kind, payload, err
	}, calls)
	if errors.Is(err, ledger.ErrInvalidExport) {
		return nil, reader.Damagef(at, "%v", err)
	}
	if err == nil {
		if _, _, more := reader.Next(); more != io.EOF {
			return nil, reader.Damagef(reader.Offset(), "unexpected data follows the export")
		}
	}
	return export, err
}

// OpenCallList opens the list of calls of an export file for reading part by part, with a read buffer of the given size
// in bytes. The caller must close the returned io.Closer.
func OpenCallList(fsys durable.FS, path string, buffer int) (ledger.CallSource, io.Closer, error) {
	reader, err := durable.OpenBuffered(fsys, path, kindExport, buffer)
	if err != nil {
		return nil, nil, err
	}
	return &callReader{reader: reader}, reader, nil
}

// callReader reads the list of calls of an export file.
type callReader struct {
	reader *durable.Reader
	list   ledger.CallList
}

// Next implements ledger.CallSource; it returns nil at the end.
func (c *callReader) Next() ([]uint64, error) {
	for {
		kind, payload, err := c.reader.Next()
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

// isNotExist reports whether err means that a file does not exist.
func isNotExist(err error) bool { return errors.Is(err, fs.ErrNotExist) }
