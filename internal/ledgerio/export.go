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

// ExportedFile describes an export that was written. From and To are milliseconds since the Unix epoch.
type ExportedFile struct {
	Path     string `json:"path"`
	ID       string `json:"id"`
	Sequence uint64 `json:"sequence"`
	From     int64  `json:"from_ms"`
	To       int64  `json:"to_ms"`
}

// Export writes every closed period that has not been exported yet, in order, each as one file in the directory
// out, and returns the files it has written, even if it returns an error. After an interruption at any point, another
// run produces the same bytes. Only one process at a time can export a ledger; another gets durable.ErrLocked.
func Export(fsys durable.FS, dir, out string) (list []ExportedFile, err error) {
	lock, err := fsys.Lock(filepath.Join(dir, exportLockName))
	if err != nil {
		return nil, err
	}
	defer lock.Close()
	state, scan, err := readExportState(fsys, dir)
	if err != nil {
		return nil, err
	}
	first, err := findStartSegment(fsys, dir, state.LastEnd)
	if err != nil {
		return nil, err
	}
	if err := errors.Join(fsys.MakeDir(out), durable.RemoveTemporaryFiles(fsys, out)); err != nil {
		return nil, err
	}
	exports := &exporter{fsys: fsys, dir: dir, out: out, state: state, scan: scan}
	var collector *ledger.Collector
	collector = ledger.NewCollector(func(s *ledger.Statement) error {
		if s.Sequence <= exports.state.LastSequence {
			return nil
		}
		if s.Sequence != exports.state.LastSequence+1 || exports.state.LastEnd != 0 && s.From != exports.state.LastEnd {
			return fmt.Errorf("%w: statement %d from %s does not continue export %d, which ends at %s",
				errExport, s.Sequence, formatTime(s.From), exports.state.LastSequence, formatTime(exports.state.LastEnd))
		}
		done, err := exports.exportStatement(collector.State.Settings, s)
		if err != nil {
			return fmt.Errorf("%w of statement %d: %w", errExport, s.Sequence, err)
		}
		list = append(list, done)
		return nil
	})
	_, err = readJournal(fsys, dir, first, collector.Add)
	if exports.log != nil {
		err = errors.Join(err, exports.log.Close())
	}
	return list, err
}

// exporter writes the exports of one ledger, one after the other.
type exporter struct {
	fsys     durable.FS
	dir, out string
	state    exportState
	scan     durable.Scan
	log      *durable.Log
}

// saveState appends the state to the exports log and syncs it.
func (w *exporter) saveState(state exportState) error {
	if w.log == nil {
		log, err := durable.ContinueLog(durable.LogConfig{
			FS:              w.fsys,
			Dir:             w.dir,
			Name:            exportsName,
			Kind:            kindExports,
			MaxSegmentBytes: smallSegmentBytes,
			Checkpoint:      func() []durable.Frame { return []durable.Frame{w.encodeState(w.state)} },
		}, w.scan)
		if err != nil {
			return err
		}
		w.log = log
	}
	if err := w.log.Append(w.encodeState(state)); err != nil {
		return err
	}
	if err := w.log.Sync(); err != nil {
		return err
	}
	w.state = state
	return nil
}

// encodeState returns the state as a frame of the exports log.
func (w *exporter) encodeState(state exportState) durable.Frame {
	b, err := json.Marshal(state)
	if err != nil {
		panic(err) // cannot fail: the state consists of numbers and strings
	}
	return durable.Frame{Kind: frameEntries, Payload: b}
}

// exportStatement exports one statement: it saves the plan that fixes the export's content, writes the file, and then
// saves the export as done.
func (w *exporter) exportStatement(settings ledger.Settings, statement *ledger.Statement) (ExportedFile, error) {
	corrections, _, err := readCorrections(w.fsys, w.dir)
	if err != nil {
		return ExportedFile{}, err
	}
	if w.state.Plan == nil || w.state.Plan.Sequence != statement.Sequence {
		next := w.state
		next.Plan = &exportPlan{statement.Sequence, uint64(len(corrections))}
		if err := w.saveState(next); err != nil {
			return ExportedFile{}, err
		}
	}
	if uint64(len(corrections)) < w.state.Plan.Corrections {
		return ExportedFile{}, fmt.Errorf("%s: the export was planned with %d corrections, but only %d exist",
			w.dir, w.state.Plan.Corrections, len(corrections))
	}
	export, calls := ledger.NewExport(settings, statement, corrections[w.state.Corrections:w.state.Plan.Corrections])
	path := filepath.Join(w.out, export.FileName())
	if err := WriteExport(w.fsys, path, export, calls); err != nil {
		return ExportedFile{}, err
	}
	next := exportState{
		LastSequence: statement.Sequence,
		LastEnd:      statement.To,
		LastID:       export.ID,
		Corrections:  w.state.Plan.Corrections,
	}
	if err := w.saveState(next); err != nil {
		return ExportedFile{}, err
	}
	return ExportedFile{path, export.ID, export.Sequence, export.From, export.To}, nil
}

// WriteExport writes an export file atomically. A file that already exists is left as it is; if its content differs, an
// error is returned, since an export is never changed.
func WriteExport(fsys durable.FS, path string, export *ledger.Export, calls []uint64) error {
	encode := func(to io.Writer) error {
		writer, err := durable.NewWriter(to, durable.Header{Kind: kindExport, Number: export.Sequence})
		if err != nil {
			return err
		}
		return export.Encode(calls, writer.WriteFrame)
	}
	src, size, err := fsys.Open(path)
	if isNotExist(err) {
		return durable.WriteFile(fsys, path, encode)
	}
	if err != nil {
		return err
	}
	defer src.Close()
	comparison := &comparer{src: src, remaining: size}
	if err := encode(comparison); err != nil {
		return err
	}
	if comparison.differs || comparison.remaining != 0 {
		return fmt.Errorf("%s already exists with different content", path)
	}
	return nil
}

// comparer is a writer that compares what is written to it with a file.
type comparer struct {
	src       io.Reader // the file
	remaining int64     // bytes of the file not compared yet; negative if the file is shorter
	buf       []byte
	differs   bool
}

// Write implements io.Writer; it never fails.
func (c *comparer) Write(b []byte) (int, error) {
	c.remaining -= int64(len(b))
	if c.remaining < 0 {
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

// CloseDuePeriods closes the periods and calls that are due in the ledger of a router that is not running. It returns
// false if a running router holds the ledger's lock, since the router does this itself.
func CloseDuePeriods(fsys durable.FS, dir string, wallClock func() int64) (bool, error) {
	lock, err := fsys.Lock(filepath.Join(dir, lockName))
	if errors.Is(err, durable.ErrLocked) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	defer lock.Close()
	state, scan, err := Recover(fsys, dir)
	if err != nil {
		return false, err
	}
	if state == nil {
		return false, fmt.Errorf("%s: %w", dir, ErrNoLedger)
	}
	keeper := ledger.NewKeeper(ledger.KeeperConfig{WallClock: wallClock}, state)
	keeper.Tick()
	if !keeper.HasEntries() {
		return true, nil
	}
	log, err := durable.ContinueLog(journalConfig(fsys, dir, smallSegmentBytes, state), scan)
	if err != nil {
		return false, err
	}
	if err := log.Append(packEntries(frameEntries, keeper.Take(nil))...); err != nil {
		return false, err
	}
	return true, log.Close()
}

// journalConfig returns the configuration of a journal whose segments begin with a checkpoint of state.
func journalConfig(fsys durable.FS, dir string, maxSegmentBytes int64, state *ledger.State) durable.LogConfig {
	return durable.LogConfig{
		FS:              fsys,
		Dir:             dir,
		Name:            journalName,
		Kind:            kindJournal,
		MaxSegmentBytes: maxSegmentBytes,
		Checkpoint:      func() []durable.Frame { return packEntries(frameCheckpoint, state.Checkpoint()) },
	}
}

// Compact removes the journal's segments that no future export needs and whose last entry is older than retention. It
// returns how many it has removed; now is in milliseconds since the Unix epoch.
func Compact(fsys durable.FS, dir string, retention time.Duration, now int64) (removed int, err error) {
	lock, err := fsys.Lock(filepath.Join(dir, exportLockName))
	if err != nil {
		return 0, err
	}
	defer lock.Close()
	exported, _, err := readExportState(fsys, dir)
	if err != nil || exported.LastEnd == 0 {
		return 0, err
	}
	firstNeeded, err := findStartSegment(fsys, dir, exported.LastEnd)
	if err != nil {
		return 0, err
	}
	numbers, err := durable.ListSegments(fsys, dir, journalName)
	if err != nil {
		return 0, err
	}
	before := numbers[0]
	for _, number := range numbers[1:] {
		checkpointEnd, err := readCheckpointEnd(fsys, dir, number) // a segment starts when the one before it ends
		if err != nil {
			return 0, err
		}
		if number > firstNeeded || now-checkpointEnd.At <= retention.Milliseconds() {
			break
		}
		before = number
	}
	return durable.RemoveSegments(fsys, dir, journalName, before)
}
