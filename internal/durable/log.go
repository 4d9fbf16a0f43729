package durable

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// segmentSuffix is the end of a segment's file name.
const segmentSuffix = ".tgl"

// segmentName returns the file name of a segment: NAME-NNNNNNNN.tgl.
func segmentName(name string, number uint64) string {
	return fmt.Sprintf("%s-%08d%s", name, number, segmentSuffix)
}

// ListSegments returns the numbers of a log's segments in ascending order; none if the directory does not exist.
func ListSegments(fsys FS, dir, name string) ([]uint64, error) {
	names, err := fsys.List(dir)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	var numbers []uint64
	for _, file := range names {
		digits, ok := strings.CutPrefix(strings.TrimSuffix(file, segmentSuffix), name+"-")
		if number, parseErr := strconv.ParseUint(digits, 10, 64); ok && parseErr == nil &&
			file == segmentName(name, number) {
			numbers = append(numbers, number)
		}
	}
	return numbers, err
}

// Position is the position of a frame in a log.
type Position struct {
	Segment uint64
	Offset  int64
}

// Scan is the result of reading a log; ContinueLog continues the log at its end.
type Scan struct {
	Segments, Frames int
	Bytes            int64
	Torn             []string // tails cut off by crashes, as file, offset and length
	lastHeader       Header
	lastEnd          int64
	lastChain        uint32
}

// errStop ends a scan early without an error.
var errStop = errors.New("stop")

// StopScan returns the error by which the callback of ReadLog ends the scan early; ReadLog then returns nil.
func StopScan() error { return errStop }

// ReadLog reads a log's segments from number first on (0: from the oldest) and calls each with every frame, those
// of checkpoints included; the owner tells them apart by their kind. The payload is valid until each returns, and
// an error that it returns ends the scan. Missing or damaged data is reported as a *DamageError; tails cut off by
// crashes are skipped and listed in Scan.Torn.
func ReadLog(fsys FS, dir, name string, kind uint16, first uint64,
	each func(at Position, reader *Reader, kind uint16, payload []byte) error) (Scan, error) {
	var scan Scan
	numbers, err := ListSegments(fsys, dir, name)
	if err != nil {
		return scan, err
	}
	for len(numbers) > 0 && numbers[0] < first {
		numbers = numbers[1:]
	}
	for i, number := range numbers {
		var next *Header
		if i+1 < len(numbers) {
			reader, err := Open(fsys, filepath.Join(dir, segmentName(name, numbers[i+1])), kind)
			if err != nil {
				return scan, err
			}
			next = &reader.Header
			reader.Close()
		}
		if err := scan.readSegment(fsys, dir, name, kind, number, next, i == 0, each); err != nil {
			if err == errStop {
				err = nil
			}
			return scan, err
		}
	}
	return scan, nil
}

// readSegment reads one segment. next is the header of the segment after it, or nil for the last segment; oldest is
// true for the first segment read, whose predecessor is not checked.
func (s *Scan) readSegment(fsys FS, dir, name string, kind uint16, number uint64, next *Header, oldest bool,
	each func(Position, *Reader, uint16, []byte) error) error {
	reader, err := Open(fsys, filepath.Join(dir, segmentName(name, number)), kind)
	if err != nil {
		return err
	}
	defer reader.Close()
	if reader.Number != number {
		return &DamageError{reader.path, 16,
			fmt.Sprintf("the header is of segment %d, but the file name is of segment %d", reader.Number, number)}
	}
	if !oldest && reader.Previous != s.lastHeader.Number {
		return &DamageError{reader.path, 24,
			fmt.Sprintf("the segment continues segment %d, which is missing", reader.Previous)}
	}
	s.Segments++
	for next == nil || reader.offset < next.PrevEnd {
		at := Position{number, reader.offset}
		kind, payload, err := reader.Next()
		if err == io.EOF && next == nil {
			break
		}
		if errors.Is(err, ErrTorn) && next == nil {
			s.Torn = append(s.Torn, fmt.Sprintf("%s: offset %d: %d bytes",
				reader.path, reader.offset, reader.size-reader.offset))
			break
		}
		if err == io.EOF || errors.Is(err, ErrTorn) {
			return &DamageError{reader.path, reader.offset,
				fmt.Sprintf("the segment ends here, but the next one requires %d bytes of it", next.PrevEnd)}
		}
		if err != nil {
			return err
		}
		s.Frames++
		if err := each(at, reader, kind, payload); err != nil {
			return err
		}
	}
	if next != nil {
		if reader.offset != next.PrevEnd || reader.chain != next.PrevChain {
			return &DamageError{reader.path, reader.offset,
				"length or checksum of the segment differs from what the next segment records"}
		}
		if reader.size > reader.offset {
			s.Torn = append(s.Torn, fmt.Sprintf("%s: offset %d: %d bytes",
				reader.path, reader.offset, reader.size-reader.offset))
		}
	}
	s.Bytes += reader.offset
	s.lastHeader, s.lastEnd, s.lastChain = reader.Header, reader.offset, reader.chain
	return nil
}

// LogConfig holds the parameters of a Log.
type LogConfig struct {
	FS   FS
	Dir  string
	Name string // prefix of the segments' file names
	Kind uint16 // of the files
	// MaxSegmentBytes is the size at which a new segment is started; the last write to a segment may exceed it.
	MaxSegmentBytes int64
	// Checkpoint returns the frames that a new segment begins with: the owner's current state.
	Checkpoint func() []Frame
}

// Frame is a frame to be written.
type Frame struct {
	Kind    uint16
	Payload []byte
}

// Log is a log opened for writing. Its files are segments, each of which begins with a checkpoint of the owner's
// state, so that earlier segments can be removed. A segment's header records where the one before it ends: bytes
// after that were cut off by a crash or a failed write and are ignored. The methods are for one goroutine, except
// that Sync may be called concurrently.
type Log struct {
	cfg         LogConfig
	header      Header // of the current segment, or of the previous one while none is open
	segmentOpen bool
	framePosition
	buf []byte

	syncMu sync.Mutex // held during a sync, so that startSegment waits for one that is running

	mu    sync.Mutex // guards file and dirty
	file  File
	dirty bool
}

// ContinueLog opens a log for writing at the end that scan has found. The first Append starts a new segment, so that
// existing segments are never modified. Temporary files in the directory are removed.
func ContinueLog(cfg LogConfig, scan Scan) (*Log, error) {
	if err := cfg.FS.MakeDir(cfg.Dir); err != nil {
		return nil, err
	}
	if err := RemoveTemporaryFiles(cfg.FS, cfg.Dir); err != nil {
		return nil, err
	}
	return &Log{
		cfg:    cfg,
		header: scan.lastHeader,
		framePosition: framePosition{
			fileNumber: scan.lastHeader.Number,
			offset:     scan.lastEnd,
			chain:      scan.lastChain,
		},
	}, nil
}

// Segment returns the number of the current segment.
func (l *Log) Segment() uint64 { return l.header.Number }

// Append writes frames in one write; without frames, it only ensures that a segment is open. After an error none of
// the frames is part of the log, and the next Append starts a new segment.
func (l *Log) Append(list ...Frame) error {
	if !l.segmentOpen || l.offset >= l.cfg.MaxSegmentBytes {
		if err := l.startSegment(); err != nil {
			return err
		}
	}
	if len(list) == 0 {
		return nil
	}
	before := l.framePosition
	l.buf = l.buf[:0]
	for _, f := range list {
		if len(f.Payload) > MaxPayloadBytes {
			l.framePosition = before
			return fmt.Errorf("durable: frame payload of %d bytes exceeds the maximum", len(f.Payload))
		}
		l.buf = l.framePosition.appendFrame(l.buf, f.Kind, f.Payload)
	}
	l.mu.Lock()
	file := l.file
	l.mu.Unlock()
	if _, err := file.Write(l.buf); err != nil {
		l.framePosition = before
		l.closeSegment()
		return fmt.Errorf("%s: %w", segmentName(l.cfg.Name, l.fileNumber), err)
	}
	l.mu.Lock()
	l.dirty = true
	l.mu.Unlock()
	return nil
}

// startSegment atomically creates the next segment with its checkpoint and makes it the current one.
func (l *Log) startSegment() error {
	header := Header{
		Kind:      l.cfg.Kind,
		Number:    l.header.Number + 1,
		Previous:  l.header.Number,
		PrevEnd:   l.offset,
		PrevChain: l.chain,
	}
	position := framePosition{fileNumber: header.Number, offset: fileHeaderSize}
	content := appendHeader(nil, header)
	for _, f := range l.cfg.Checkpoint() {
		content = position.appendFrame(content, f.Kind, f.Payload)
	}
	if l.segmentOpen { // the current segment must not lose frames that the next one builds on
		if err := l.Sync(); err != nil {
			return err
		}
	}
	file, err := writeAtomic(l.cfg.FS, filepath.Join(l.cfg.Dir, segmentName(l.cfg.Name, header.Number)),
		func(w io.Writer) error {
			_, err := w.Write(content)
			return err
		}, false)
	if err != nil {
		// If the rename succeeded and only syncing the directory failed, the segment exists: remove it, since its
		// number is used again.
		if r, openErr := Open(l.cfg.FS, filepath.Join(l.cfg.Dir, segmentName(l.cfg.Name, header.Number)),
			l.cfg.Kind); openErr == nil {
			r.Close()
			l.cfg.FS.Remove(filepath.Join(l.cfg.Dir, segmentName(l.cfg.Name, header.Number)))
		}
		return err
	}
	l.closeSegment()
	l.mu.Lock()
	l.file, l.dirty = file, false
	l.mu.Unlock()
	l.segmentOpen, l.header, l.framePosition = true, header, position
	return nil
}

// closeSegment closes the current segment without syncing it.
func (l *Log) closeSegment() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.file != nil {
		l.file.Close()
	}
	l.file, l.segmentOpen = nil, false
}

// Sync makes appended frames survive a crash of the machine. It may be called concurrently with Append.
func (l *Log) Sync() error {
	l.syncMu.Lock()
	defer l.syncMu.Unlock()
	l.mu.Lock()
	file, dirty := l.file, l.dirty
	l.dirty = false
	l.mu.Unlock()
	if file == nil || !dirty {
		return nil
	}
	if err := file.Sync(); err != nil && !errors.Is(err, fs.ErrClosed) {
		l.mu.Lock()
		l.dirty = true
		l.mu.Unlock()
		return err
	}
	return nil
}

// RemoveSegments removes the segments with lower numbers than before, but never the current one, and returns how many
// it has removed.
func (l *Log) RemoveSegments(before uint64) (removed int, err error) {
	return RemoveSegments(l.cfg.FS, l.cfg.Dir, l.cfg.Name, min(before, l.header.Number))
}

// RemoveSegments removes a log's segments with lower numbers than before and returns how many it has removed. It
// removes the oldest first and syncs each removal before the next, so that the remaining segments are contiguous after
// a crash of the machine.
func RemoveSegments(fsys FS, dir, name string, before uint64) (removed int, err error) {
	numbers, err := ListSegments(fsys, dir, name)
	for _, number := range numbers {
		if err != nil || number >= before {
			break
		}
		if err = fsys.Remove(filepath.Join(dir, segmentName(name, number))); err == nil {
			removed++
			err = fsys.SyncDir(dir)
		}
	}
	return removed, err
}

// Close syncs and closes the log.
func (l *Log) Close() error {
	err := l.Sync()
	l.closeSegment()
	return err
}

// UnixMillis converts a time to the form stored in files: milliseconds since the Unix epoch.
func UnixMillis(t time.Time) int64 { return t.UnixMilli() }
