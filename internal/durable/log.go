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

// Segments are the files of one log, in order: NAME-NNNNNNNN.tgl. Each begins with a checkpoint of its owner's, so that
// the ones before it can be removed, and names the place where the one before it ended: bytes that stand after it
// there were cut off by a crash or a failed write and do not count.

const suffix = ".tgl"

func segmentName(name string, number uint64) string {
	return fmt.Sprintf("%s-%08d%s", name, number, suffix)
}

// Segments lists the numbers of a log's segments, ascending.
func Segments(f FS, dir, name string) ([]uint64, error) {
	names, err := f.List(dir)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	var numbers []uint64
	for _, n := range names {
		digits, ok := strings.CutPrefix(strings.TrimSuffix(n, suffix), name+"-")
		if number, bad := strconv.ParseUint(digits, 10, 64); ok && bad == nil && n == segmentName(name, number) {
			numbers = append(numbers, number)
		}
	}
	return numbers, err
}

// Place is where a frame stands.
type Place struct {
	Segment uint64
	Offset  int64
}

// Scan is what reading a log has found.
type Scan struct {
	Segments, Frames int
	Bytes            int64
	Torn             []string // where crashes cut the log off, as file and offset
	last             Header
	end              int64
	chain            uint32
}

// errStop ends a scan early without an error.
var errStop = errors.New("stop")

// Stop is returned by a scan's function that has seen enough.
func Stop() error { return errStop }

// Read reads a log's segments from number first on (0: from the oldest there) and calls each with every frame: first is true for
// those of a segment's checkpoint as counted by the owner's kinds. What is missing or damaged is an error that names file
// and offset; what a crash cut off is noted and left out.
func Read(f FS, dir, name string, kind uint16, first uint64, each func(at Place, r *Reader, kind uint16, payload []byte) error) (Scan, error) {
	var s Scan
	numbers, err := Segments(f, dir, name)
	if err != nil {
		return s, err
	}
	for len(numbers) > 0 && numbers[0] < first {
		numbers = numbers[1:]
	}
	for i, number := range numbers {
		var next *Header
		if i+1 < len(numbers) {
			r, err := Open(f, filepath.Join(dir, segmentName(name, numbers[i+1])), kind)
			if err != nil {
				return s, err
			}
			next = &r.Header
			r.Close()
		}
		if err := s.segment(f, dir, name, kind, number, next, i == 0, each); err != nil {
			if err == errStop {
				err = nil
			}
			return s, err
		}
	}
	return s, nil
}

func (s *Scan) segment(f FS, dir, name string, kind uint16, number uint64, next *Header, oldest bool,
	each func(Place, *Reader, uint16, []byte) error) error {
	r, err := Open(f, filepath.Join(dir, segmentName(name, number)), kind)
	if err != nil {
		return err
	}
	defer r.Close()
	if r.Number != number {
		return &Damage{r.name, 16, fmt.Sprintf("segment %d stands under the name of %d", r.Number, number)}
	}
	if !oldest && r.Previous != s.last.Number {
		return &Damage{r.name, 24, fmt.Sprintf("it follows segment %d, which is not there", r.Previous)}
	}
	s.Segments++
	for next == nil || r.end < next.PrevEnd {
		at := Place{number, r.end}
		kind, payload, err := r.Next()
		if err == io.EOF && next == nil {
			break
		}
		if errors.Is(err, ErrTorn) && next == nil {
			s.Torn = append(s.Torn, fmt.Sprintf("%s: offset %d: %d bytes", r.name, r.end, r.size-r.end))
			break
		}
		if err == io.EOF || errors.Is(err, ErrTorn) {
			return &Damage{r.name, r.end, fmt.Sprintf("it ends here, but %d bytes were written", next.PrevEnd)}
		}
		if err != nil {
			return err
		}
		s.Frames++
		if err := each(at, r, kind, payload); err != nil {
			return err
		}
	}
	if next != nil {
		if r.end != next.PrevEnd || r.chain != next.PrevChain {
			return &Damage{r.name, r.end, "the segment is not the one that the next one follows"}
		}
		if r.size > r.end {
			s.Torn = append(s.Torn, fmt.Sprintf("%s: offset %d: %d bytes", r.name, r.end, r.size-r.end))
		}
	}
	s.Bytes += r.end
	s.last, s.end, s.chain = r.Header, r.end, r.chain
	return nil
}

// LogConfig is what a Log needs.
type LogConfig struct {
	FS   FS
	Dir  string
	Name string // of the log: what its files' names begin with
	Kind uint16 // of its files
	// Roll is the size in bytes at which a new segment begins.
	Roll int64
	// Checkpoint returns the frames that a new segment begins with: the owner's state as of then.
	Checkpoint func() []Frame
}

// Frame is one frame to be written.
type Frame struct {
	Kind    uint16
	Payload []byte
}

// Log is a log being written. Its methods are for one goroutine; only Sync may be called from another.
type Log struct {
	cfg  LogConfig
	last Header // of the present segment, or the one before while there is none
	open bool
	size int64
	frames
	buf []byte

	syncing sync.Mutex // held during a sync, so that roll cannot overtake one

	mu    sync.Mutex // guards file and dirty
	file  File
	dirty bool
}

// Continue opens a log for writing after a Scan has read it. The first Append begins a new segment, so that nothing
// that was written is ever changed.
func Continue(cfg LogConfig, s Scan) (*Log, error) {
	if err := cfg.FS.MakeDir(cfg.Dir); err != nil {
		return nil, err
	}
	if err := Clean(cfg.FS, cfg.Dir); err != nil {
		return nil, err
	}
	return &Log{cfg: cfg, last: s.last, frames: frames{number: s.last.Number, end: s.end, chain: s.chain}}, nil
}

// Segment is the number of the present segment.
func (l *Log) Segment() uint64 { return l.last.Number }

// Append writes frames in one write; without any, it only makes sure that there is a segment. After an error nothing of them counts, and the next Append begins a new segment.
func (l *Log) Append(list ...Frame) error {
	if !l.open || l.end >= l.cfg.Roll {
		if err := l.roll(); err != nil {
			return err
		}
	}
	if len(list) == 0 {
		return nil
	}
	before := l.frames
	l.buf = l.buf[:0]
	for _, f := range list {
		if len(f.Payload) > PayloadMost {
			l.frames = before
			return fmt.Errorf("durable: a frame of %d bytes", len(f.Payload))
		}
		l.buf = l.frames.append(l.buf, f.Kind, f.Payload)
	}
	l.mu.Lock()
	file := l.file
	l.mu.Unlock()
	if _, err := file.Write(l.buf); err != nil {
		l.frames = before
		l.shut()
		return fmt.Errorf("%s: %w", segmentName(l.cfg.Name, l.number), err)
	}
	l.mu.Lock()
	l.dirty = true
	l.mu.Unlock()
	return nil
}

// roll begins a new segment, whole with its checkpoint or not at all.
func (l *Log) roll() error {
	h := Header{Kind: l.cfg.Kind, Number: l.last.Number + 1, Previous: l.last.Number, PrevEnd: l.end, PrevChain: l.chain}
	w := frames{number: h.Number, end: headerSize}
	b := appendHeader(nil, h)
	for _, f := range l.cfg.Checkpoint() {
		b = w.append(b, f.Kind, f.Payload)
	}
	if l.open { // what stands in the present segment must not be lost while the next one lasts
		if err := l.Sync(); err != nil {
			return err
		}
	}
	file, err := writeOpen(l.cfg.FS, filepath.Join(l.cfg.Dir, segmentName(l.cfg.Name, h.Number)),
		func(w io.Writer) error { _, err := w.Write(b); return err }, false)
	if err != nil {
		// Where the rename was done and only the sync of the folder failed, the number is used up.
		if r, bad := Open(l.cfg.FS, filepath.Join(l.cfg.Dir, segmentName(l.cfg.Name, h.Number)), l.cfg.Kind); bad == nil {
			r.Close()
			l.cfg.FS.Remove(filepath.Join(l.cfg.Dir, segmentName(l.cfg.Name, h.Number)))
		}
		return err
	}
	l.shut()
	l.mu.Lock()
	l.file, l.dirty = file, false
	l.mu.Unlock()
	l.open, l.last, l.frames = true, h, w
	return nil
}

// shut closes the present segment; what it holds stays as it is.
func (l *Log) shut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.file != nil {
		l.file.Close()
	}
	l.file, l.open = nil, false
}

// Sync makes what was appended outlast a crash of the machine. It may run beside Append.
func (l *Log) Sync() error {
	l.syncing.Lock()
	defer l.syncing.Unlock()
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

// Drop removes the segments before a number. What was removed already is no error.
func (l *Log) Drop(before uint64) (removed int, err error) {
	return Drop(l.cfg.FS, l.cfg.Dir, l.cfg.Name, min(before, l.last.Number))
}

// Drop removes a log's segments before a number, oldest first and each for good before the next, so that whatever remains
// after a crash of the machine has no hole.
func Drop(f FS, dir, name string, before uint64) (removed int, err error) {
	numbers, err := Segments(f, dir, name)
	for _, n := range numbers {
		if err != nil || n >= before {
			break
		}
		if err = f.Remove(filepath.Join(dir, segmentName(name, n))); err == nil {
			removed++
			err = f.SyncDir(dir)
		}
	}
	return removed, err
}

// Close syncs and closes the log.
func (l *Log) Close() error {
	err := l.Sync()
	l.shut()
	return err
}

// Stamp is a time as files hold it: milliseconds since the Unix epoch.
func Stamp(t time.Time) int64 { return t.UnixMilli() }
