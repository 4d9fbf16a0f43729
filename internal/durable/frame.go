package durable

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
)

// A file is a header and frames; docs/formats/durable.md has every byte. All figures are little-endian.
//
//	header  8 magic "TGLDFILE", 2 version, 2 kind of file, 4 zero, 8 number, 8 previous number, 8 previous end, 4 previous
//	        chain, 4 CRC of the 44 bytes before
//	frame   4 length of the payload, 2 kind, 2 zero, 4 CRC of the payload, 4 CRC of file number, offset and the 12 bytes
//	        before; then the payload
const (
	magic      = "TGLDFILE"
	version    = 1
	headerSize = 48
	frameSize  = 16
	// PayloadMost bytes may stand in one frame.
	PayloadMost = 4 << 20
	sector      = 512
)

var table = crc32.MakeTable(crc32.Castagnoli)

// Header says what a file is and what it follows.
type Header struct {
	Kind      uint16 // of file, as its owner counts them
	Number    uint64
	Previous  uint64 // number of the file that it follows; 0: none
	PrevEnd   int64  // how much of that file counts, in bytes: what follows there was cut off by a crash
	PrevChain uint32 // checksum of checksums up to there
}

// Damage is why a file cannot be trusted: something in it is not what was written.
type Damage struct {
	File   string
	Offset int64
	What   string
}

func (d *Damage) Error() string { return fmt.Sprintf("%s: offset %d: %s", d.File, d.Offset, d.What) }

// ErrNewer is wrapped by the error for a file of a later version.
var ErrNewer = errors.New("file of a newer version")

// ErrTorn is wrapped by the error of a Reader at a place where a crash cut the file off.
var ErrTorn = errors.New("cut off by a crash")

// appendHeader writes a header.
func appendHeader(b []byte, h Header) []byte {
	start := len(b)
	b = append(b, magic...)
	b = binary.LittleEndian.AppendUint16(b, version)
	b = binary.LittleEndian.AppendUint16(b, h.Kind)
	b = append(b, 0, 0, 0, 0)
	b = binary.LittleEndian.AppendUint64(b, h.Number)
	b = binary.LittleEndian.AppendUint64(b, h.Previous)
	b = binary.LittleEndian.AppendUint64(b, uint64(h.PrevEnd))
	b = binary.LittleEndian.AppendUint32(b, h.PrevChain)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b[start:], table))
}

func readHeader(name string, b []byte, kind uint16) (Header, error) {
	bad := func(at int64, what string) (Header, error) { return Header{}, &Damage{name, at, what} }
	switch {
	case len(b) < headerSize:
		return bad(0, "the file is shorter than its header")
	case string(b[:8]) != magic:
		return bad(0, "this is no file of threadglade's")
	}
	if v := binary.LittleEndian.Uint16(b[8:]); v > version && crc32.Checksum(b[:44], table) == binary.LittleEndian.Uint32(b[44:]) {
		return Header{}, fmt.Errorf("%s: version %d, this program reads up to %d: %w", name, v, version, ErrNewer)
	}
	if crc32.Checksum(b[:44], table) != binary.LittleEndian.Uint32(b[44:]) {
		return bad(0, "the header's checksum is wrong")
	}
	h := Header{Kind: binary.LittleEndian.Uint16(b[10:]), Number: binary.LittleEndian.Uint64(b[16:]),
		Previous: binary.LittleEndian.Uint64(b[24:]), PrevEnd: int64(binary.LittleEndian.Uint64(b[32:])),
		PrevChain: binary.LittleEndian.Uint32(b[40:])}
	if h.Kind != kind {
		return bad(10, fmt.Sprintf("a file of kind %d stands where kind %d is wanted", h.Kind, kind))
	}
	return h, nil
}

// frames writes frames to one file and keeps count of where it is.
type frames struct {
	number uint64
	end    int64
	chain  uint32
}

func (f *frames) append(b []byte, kind uint16, payload []byte) []byte {
	start := len(b)
	sum := crc32.Checksum(payload, table)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint16(b, kind)
	b = append(b, 0, 0)
	b = binary.LittleEndian.AppendUint32(b, sum)
	b = binary.LittleEndian.AppendUint32(b, headSum(f.number, f.end, b[start:start+12]))
	b = append(b, payload...)
	f.end += int64(frameSize + len(payload))
	f.chain = link(f.chain, sum)
	return b
}

// headSum covers a frame's head and its place, so that a frame that has come to stand elsewhere is found out.
func headSum(number uint64, at int64, head []byte) uint32 {
	var place [16]byte
	binary.LittleEndian.PutUint64(place[:], number)
	binary.LittleEndian.PutUint64(place[8:], uint64(at))
	return crc32.Update(crc32.Checksum(place[:], table), table, head)
}

func link(chain, sum uint32) uint32 {
	var b [8]byte
	binary.LittleEndian.PutUint32(b[:], chain)
	binary.LittleEndian.PutUint32(b[4:], sum)
	return crc32.Checksum(b[:], table)
}

// Reader reads the frames of one file in order.
type Reader struct {
	Header
	name   string
	size   int64
	src    Source
	r      *bufio.Reader
	buf    []byte
	frames // where the next frame begins
}

// Open opens a file of a kind. Its errors are those of the file system, Damage, or wrap ErrNewer.
func Open(f FS, path string, kind uint16) (*Reader, error) {
	return OpenBuffered(f, path, kind, 64<<10)
}

// OpenBuffered is Open with a buffer of a size, for those who have many files open at once.
func OpenBuffered(f FS, path string, kind uint16, buffer int) (*Reader, error) {
	src, size, err := f.Open(path)
	if err != nil {
		return nil, err
	}
	r := &Reader{name: path, size: size, src: src, r: bufio.NewReaderSize(src, buffer)}
	head := make([]byte, min(size, headerSize))
	if _, err = io.ReadFull(r.r, head); err == nil {
		r.Header, err = readHeader(path, head, kind)
	}
	if err != nil {
		src.Close()
		return nil, err
	}
	r.frames = frames{number: r.Number, end: headerSize}
	return r, nil
}

// Close closes the file.
func (r *Reader) Close() error { return r.src.Close() }

// Offset is where the next frame begins.
func (r *Reader) Offset() int64 { return r.end }

// Name is the file's path.
func (r *Reader) Name() string { return r.name }

// Damaged is the error for content that its owner cannot make sense of at the frame that was read last.
func (r *Reader) Damaged(at int64, format string, args ...any) error {
	return &Damage{r.name, at, fmt.Sprintf(format, args...)}
}

// Next returns the next frame; the payload is valid until the next call. At the end it returns io.EOF, at one that a
// crash has cut off an error that wraps ErrTorn, and at anything else that was not written so a *Damage.
func (r *Reader) Next() (kind uint16, payload []byte, err error) {
	rest := r.size - r.end
	if rest == 0 {
		return 0, nil, io.EOF
	}
	torn := func() error { return fmt.Errorf("%s: offset %d: %w", r.name, r.end, ErrTorn) }
	var head [frameSize]byte
	if rest < frameSize {
		return 0, nil, torn()
	}
	if _, err := io.ReadFull(r.r, head[:]); err != nil {
		return 0, nil, fmt.Errorf("%s: offset %d: %w", r.name, r.end, err)
	}
	size := int64(binary.LittleEndian.Uint32(head[:]))
	if headSum(r.number, r.end, head[:12]) != binary.LittleEndian.Uint32(head[12:]) {
		if zeros, err := r.zeros(head[:]); err != nil || zeros {
			return 0, nil, errors.Join(err, torn())
		}
		return 0, nil, &Damage{r.name, r.end, "a frame's head does not match its checksum"}
	}
	if size > PayloadMost {
		return 0, nil, &Damage{r.name, r.end, fmt.Sprintf("a frame of %d bytes", size)}
	}
	if size > rest-frameSize {
		return 0, nil, torn()
	}
	if int64(cap(r.buf)) < size {
		r.buf = make([]byte, size)
	}
	payload = r.buf[:size]
	if _, err := io.ReadFull(r.r, payload); err != nil {
		return 0, nil, fmt.Errorf("%s: offset %d: %w", r.name, r.end, err)
	}
	sum := crc32.Checksum(payload, table)
	if sum != binary.LittleEndian.Uint32(head[8:]) {
		// A crash of the machine leaves sectors that never reached the disk as zeros; what follows them was not
		// synced either.
		if hollow(r.end+frameSize, payload) {
			return 0, nil, torn()
		}
		return 0, nil, &Damage{r.name, r.end, "a frame does not match its checksum"}
	}
	r.end += frameSize + size
	r.chain = link(r.chain, sum)
	return binary.LittleEndian.Uint16(head[4:]), payload, nil
}

// zeros says whether head and all that follows in the file is zero: room that a file system had made for bytes that
// never came.
func (r *Reader) zeros(head []byte) (bool, error) {
	zero := len(bytes.Trim(head[min(len(head)-1, int((sector-r.end%sector)%sector)):], "\x00")) == 0
	b := make([]byte, 64<<10)
	for at := r.end + frameSize; zero && at < r.size; {
		n, err := r.src.ReadAt(b[:min(int64(len(b)), r.size-at)], at)
		if n == 0 && err != nil {
			return false, err
		}
		zero = len(bytes.Trim(b[:n], "\x00")) == 0
		at += int64(n)
	}
	return zero, nil
}

// hollow says whether a whole sector of what stands at an offset, or its last part, is zero.
func hollow(at int64, b []byte) bool {
	skip := int((sector - at%sector) % sector)
	if skip >= len(b) {
		return len(bytes.Trim(b, "\x00")) == 0
	}
	for b = b[skip:]; len(b) > 0; b = b[min(sector, len(b)):] {
		if len(bytes.Trim(b[:min(sector, len(b))], "\x00")) == 0 {
			return true
		}
	}
	return false
}

// Writer writes one file frame by frame; it is for files that are written in one go, by WriteFile.
type Writer struct {
	w   io.Writer
	buf []byte
	frames
}

// NewWriter begins a file.
func NewWriter(w io.Writer, h Header) (*Writer, error) {
	_, err := w.Write(appendHeader(nil, h))
	return &Writer{w: w, frames: frames{number: h.Number, end: headerSize}}, err
}

// Frame writes one frame.
func (w *Writer) Frame(kind uint16, payload []byte) error {
	if len(payload) > PayloadMost {
		return fmt.Errorf("durable: a frame of %d bytes", len(payload))
	}
	w.buf = w.frames.append(w.buf[:0], kind, payload)
	_, err := w.w.Write(w.buf)
	return err
}

// Offset is where the next frame will stand.
func (w *Writer) Offset() int64 { return w.end }

// FrameSize is how many bytes a frame takes beside its payload.
const FrameSize = frameSize

// Size is the file's length as it was opened.
func (r *Reader) Size() int64 { return r.size }

// At reads the frame at an offset, wherever Next stands; the payload is the caller's if buf is nil, and else uses its room.
func (r *Reader) At(offset int64, buf []byte) (kind uint16, payload []byte, err error) {
	var head [frameSize]byte
	if offset < headerSize || offset > r.size-frameSize {
		return 0, nil, &Damage{r.name, offset, "no frame can stand there"}
	}
	if _, err := r.src.ReadAt(head[:], offset); err != nil {
		return 0, nil, fmt.Errorf("%s: offset %d: %w", r.name, offset, err)
	}
	size := int64(binary.LittleEndian.Uint32(head[:]))
	if headSum(r.number, offset, head[:12]) != binary.LittleEndian.Uint32(head[12:]) || size > PayloadMost || size > r.size-frameSize-offset {
		return 0, nil, &Damage{r.name, offset, "a frame's head does not match its checksum"}
	}
	if int64(cap(buf)) < size {
		buf = make([]byte, size)
	}
	payload = buf[:size]
	if _, err := r.src.ReadAt(payload, offset+frameSize); err != nil {
		return 0, nil, fmt.Errorf("%s: offset %d: %w", r.name, offset, err)
	}
	if crc32.Checksum(payload, table) != binary.LittleEndian.Uint32(head[8:]) {
		return 0, nil, &Damage{r.name, offset, "a frame does not match its checksum"}
	}
	return binary.LittleEndian.Uint16(head[4:]), payload, nil
}
