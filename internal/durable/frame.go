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

// A file consists of a header and frames; docs/formats/durable.md specifies every byte. Integers are little-endian,
// checksums are CRC-32C. Sizes are in bytes:
//
//	header  8 magic "TGLDFILE", 2 version, 2 kind of file, 4 zero, 8 file number, 8 previous file number,
//	        8 previous end, 4 previous chain, 4 CRC of the 44 bytes before
//	frame   4 length of the payload, 2 kind, 2 zero, 4 CRC of the payload, 4 CRC of file number, offset and the
//	        12 bytes before; then the payload
const (
	magic           = "TGLDFILE"
	formatVersion   = 1
	fileHeaderSize  = 48
	frameHeaderSize = 16
	// MaxPayloadBytes limits the payload of one frame.
	MaxPayloadBytes = 4 << 20
	sectorSize      = 512
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// Header is the header of a file: its kind and number, and the end of the file that it continues.
type Header struct {
	Kind      uint16 // of file, as defined by its owner
	Number    uint64
	Previous  uint64 // number of the file that it continues; 0: none
	PrevEnd   int64  // valid length of that file in bytes; only a frame that a crash cut off may follow
	PrevChain uint32 // cumulative checksum of that file's frames up to PrevEnd
}

// DamageError reports that the content of a file differs from what was written to it.
type DamageError struct {
	File    string // path
	Offset  int64  // in bytes
	Problem string // what is wrong there
}

// Error implements error.
func (d *DamageError) Error() string {
	return fmt.Sprintf("%s: offset %d: %s", d.File, d.Offset, d.Problem)
}

// ErrNewerVersion is wrapped by the error for a file whose format version is newer than this program's.
var ErrNewerVersion = errors.New("file of a newer version")

// ErrTorn is wrapped by a Reader's error at the offset where a crash cut the file off.
var ErrTorn = errors.New("cut off by a crash")

// appendHeader appends an encoded header.
func appendHeader(b []byte, h Header) []byte {
	start := len(b)
	b = append(b, magic...)
	b = binary.LittleEndian.AppendUint16(b, formatVersion)
	b = binary.LittleEndian.AppendUint16(b, h.Kind)
	b = append(b, 0, 0, 0, 0)
	b = binary.LittleEndian.AppendUint64(b, h.Number)
	b = binary.LittleEndian.AppendUint64(b, h.Previous)
	b = binary.LittleEndian.AppendUint64(b, uint64(h.PrevEnd))
	b = binary.LittleEndian.AppendUint32(b, h.PrevChain)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b[start:], crcTable))
}

// readHeader decodes and checks b, the header of the file at path, which must be of the given kind.
func readHeader(path string, b []byte, kind uint16) (Header, error) {
	damaged := func(at int64, what string) (Header, error) { return Header{}, &DamageError{path, at, what} }
	switch {
	case len(b) < fileHeaderSize:
		return damaged(0, "the file is shorter than a header")
	case string(b[:8]) != magic:
		return damaged(0, "not a threadglade file")
	}
	if v := binary.LittleEndian.Uint16(b[8:]); v > formatVersion &&
		crc32.Checksum(b[:44], crcTable) == binary.LittleEndian.Uint32(b[44:]) {
		return Header{}, fmt.Errorf("%s: version %d, this program reads up to %d: %w",
			path, v, formatVersion, ErrNewerVersion)
	}
	if crc32.Checksum(b[:44], crcTable) != binary.LittleEndian.Uint32(b[44:]) {
		return damaged(0, "file header checksum mismatch")
	}
	h := Header{Kind: binary.LittleEndian.Uint16(b[10:]), Number: binary.LittleEndian.Uint64(b[16:]),
		Previous: binary.LittleEndian.Uint64(b[24:]), PrevEnd: int64(binary.LittleEndian.Uint64(b[32:])),
		PrevChain: binary.LittleEndian.Uint32(b[40:])}
	if h.Kind != kind {
		return damaged(10, fmt.Sprintf("file is of kind %d, want kind %d", h.Kind, kind))
	}
	return h, nil
}

// framePosition tracks the offset and the cumulative checksum in a file while its frames are read or written in
// order.
type framePosition struct {
	fileNumber uint64
	offset     int64
	chain      uint32
}

// appendFrame appends an encoded frame to b and advances the position.
func (f *framePosition) appendFrame(b []byte, kind uint16, payload []byte) []byte {
	start := len(b)
	sum := crc32.Checksum(payload, crcTable)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint16(b, kind)
	b = append(b, 0, 0)
	b = binary.LittleEndian.AppendUint32(b, sum)
	b = binary.LittleEndian.AppendUint32(b, frameHeaderChecksum(f.fileNumber, f.offset, b[start:start+12]))
	b = append(b, payload...)
	f.offset += int64(frameHeaderSize + len(payload))
	f.chain = chainChecksum(f.chain, sum)
	return b
}

// frameHeaderChecksum covers a frame's header and its position, so that a frame copied to another position is detected.
func frameHeaderChecksum(number uint64, offset int64, header []byte) uint32 {
	var position [16]byte
	binary.LittleEndian.PutUint64(position[:], number)
	binary.LittleEndian.PutUint64(position[8:], uint64(offset))
	return crc32.Update(crc32.Checksum(position[:], crcTable), crcTable, header)
}

// chainChecksum adds a payload checksum to the cumulative checksum.
func chainChecksum(chain, sum uint32) uint32 {
	var b [8]byte
	binary.LittleEndian.PutUint32(b[:], chain)
	binary.LittleEndian.PutUint32(b[4:], sum)
	return crc32.Checksum(b[:], crcTable)
}

// Reader reads the frames of one file. It is not safe for concurrent use.
type Reader struct {
	Header
	path          string
	size          int64
	src           Source
	buffered      *bufio.Reader
	buf           []byte
	framePosition // of the next frame
}

// Open opens a file and checks that it is of the given kind. An error is one of the file system or a *DamageError, or
// wraps ErrNewerVersion.
func Open(fsys FS, path string, kind uint16) (*Reader, error) {
	return OpenBuffered(fsys, path, kind, 64<<10)
}

// OpenBuffered is Open with a read buffer of the given size in bytes, for callers that have many files open at once.
func OpenBuffered(fsys FS, path string, kind uint16, buffer int) (*Reader, error) {
	src, size, err := fsys.Open(path)
	if err != nil {
		return nil, err
	}
	reader := &Reader{path: path, size: size, src: src, buffered: bufio.NewReaderSize(src, buffer)}
	head := make([]byte, min(size, fileHeaderSize))
	if _, err = io.ReadFull(reader.buffered, head); err == nil {
		reader.Header, err = readHeader(path, head, kind)
	}
	if err != nil {
		src.Close()
		return nil, err
	}
	reader.framePosition = framePosition{fileNumber: reader.Number, offset: fileHeaderSize}
	return reader, nil
}

// Close closes the file.
func (r *Reader) Close() error { return r.src.Close() }

// Offset returns the offset of the next frame.
func (r *Reader) Offset() int64 { return r.offset }

// Name returns the file's path.
func (r *Reader) Name() string { return r.path }

// Damagef returns a *DamageError for a frame at an offset whose payload its owner cannot decode.
func (r *Reader) Damagef(at int64, format string, args ...any) error {
	return &DamageError{r.path, at, fmt.Sprintf(format, args...)}
}

// Next returns the next frame; the payload is valid until the next call. It returns io.EOF at the end of the file, an
// error that wraps ErrTorn at a frame that a crash has cut off, and a *DamageError at any other invalid frame.
func (r *Reader) Next() (kind uint16, payload []byte, err error) {
	remaining := r.size - r.offset
	if remaining == 0 {
		return 0, nil, io.EOF
	}
	torn := func() error { return fmt.Errorf("%s: offset %d: %w", r.path, r.offset, ErrTorn) }
	var head [frameHeaderSize]byte
	if remaining < frameHeaderSize {
		return 0, nil, torn()
	}
	if _, err := io.ReadFull(r.buffered, head[:]); err != nil {
		return 0, nil, fmt.Errorf("%s: offset %d: %w", r.path, r.offset, err)
	}
	size := int64(binary.LittleEndian.Uint32(head[:]))
	if frameHeaderChecksum(r.fileNumber, r.offset, head[:12]) != binary.LittleEndian.Uint32(head[12:]) {
		if zeros, err := r.onlyZeros(head[:]); err != nil || zeros {
			return 0, nil, errors.Join(err, torn())
		}
		return 0, nil, &DamageError{r.path, r.offset, "frame header checksum mismatch"}
	}
	if size > MaxPayloadBytes {
		return 0, nil, &DamageError{r.path, r.offset, fmt.Sprintf("frame payload of %d bytes exceeds the maximum", size)}
	}
	if size > remaining-frameHeaderSize {
		return 0, nil, torn()
	}
	if int64(cap(r.buf)) < size {
		r.buf = make([]byte, size)
	}
	payload = r.buf[:size]
	if _, err := io.ReadFull(r.buffered, payload); err != nil {
		return 0, nil, fmt.Errorf("%s: offset %d: %w", r.path, r.offset, err)
	}
	sum := crc32.Checksum(payload, crcTable)
	if sum != binary.LittleEndian.Uint32(head[8:]) {
		// After a crash of the machine, sectors that did not reach the disk may read as zeros. Nothing after them was
		// synced either, so the frame is torn, not damaged.
		if hasZeroSector(r.offset+frameHeaderSize, payload) {
			return 0, nil, torn()
		}
		return 0, nil, &DamageError{r.path, r.offset, "frame payload checksum mismatch"}
	}
	r.offset += frameHeaderSize + size
	r.chain = chainChecksum(r.chain, sum)
	return binary.LittleEndian.Uint16(head[4:]), payload, nil
}

// onlyZeros reports whether the file consists of zeros from a position in head, the header of the next frame, to its
// end. That is space which the file system had allocated for bytes that were never written. The position is the first
// sector boundary in head or, if there is none, the last byte of head.
func (r *Reader) onlyZeros(head []byte) (bool, error) {
	allZero := len(bytes.Trim(head[min(len(head)-1, int((sectorSize-r.offset%sectorSize)%sectorSize)):], "\x00")) == 0
	b := make([]byte, 64<<10)
	for at := r.offset + frameHeaderSize; allZero && at < r.size; {
		n, err := r.src.ReadAt(b[:min(int64(len(b)), r.size-at)], at)
		if n == 0 && err != nil {
			return false, err
		}
		allZero = len(bytes.Trim(b[:n], "\x00")) == 0
		at += int64(n)
	}
	return allZero, nil
}

// hasZeroSector reports whether b, which starts at offset at of a file, contains a sector that is all zero. Of a last
// sector that extends beyond b, the part in b is examined. Bytes before the first sector boundary are only examined if
// no boundary lies within b.
func hasZeroSector(at int64, b []byte) bool {
	skip := int((sectorSize - at%sectorSize) % sectorSize)
	if skip >= len(b) {
		return len(bytes.Trim(b, "\x00")) == 0
	}
	for b = b[skip:]; len(b) > 0; b = b[min(sectorSize, len(b)):] {
		if len(bytes.Trim(b[:min(sectorSize, len(b))], "\x00")) == 0 {
			return true
		}
	}
	return false
}

// Writer writes one file frame by frame, for files that are written as a whole with WriteFile. It is not safe for
// concurrent use.
type Writer struct {
	w   io.Writer
	buf []byte
	framePosition
}

// NewWriter writes the header h to w and returns a Writer for the frames.
func NewWriter(w io.Writer, h Header) (*Writer, error) {
	_, err := w.Write(appendHeader(nil, h))
	return &Writer{w: w, framePosition: framePosition{fileNumber: h.Number, offset: fileHeaderSize}}, err
}

// WriteFrame writes one frame. It fails if the payload is longer than MaxPayloadBytes.
func (w *Writer) WriteFrame(kind uint16, payload []byte) error {
	if len(payload) > MaxPayloadBytes {
		return fmt.Errorf("durable: frame payload of %d bytes exceeds the maximum", len(payload))
	}
	w.buf = w.framePosition.appendFrame(w.buf[:0], kind, payload)
	_, err := w.w.Write(w.buf)
	return err
}

// Offset returns the offset that the next frame will have.
func (w *Writer) Offset() int64 { return w.offset }

// FrameHeaderSize is the number of bytes that a frame takes in addition to its payload.
const FrameHeaderSize = frameHeaderSize

// Size returns the file's length in bytes when it was opened.
func (r *Reader) Size() int64 { return r.size }

// FrameAt reads the frame at an offset, independently of Next. The payload is stored in buf if that is large
// enough, and otherwise newly allocated; it stays valid after further calls unless buf is reused.
func (r *Reader) FrameAt(offset int64, buf []byte) (kind uint16, payload []byte, err error) {
	var head [frameHeaderSize]byte
	if offset < fileHeaderSize || offset > r.size-frameHeaderSize {
		return 0, nil, &DamageError{r.path, offset, "no frame can start at this offset"}
	}
	if _, err := r.src.ReadAt(head[:], offset); err != nil {
		return 0, nil, fmt.Errorf("%s: offset %d: %w", r.path, offset, err)
	}
	size := int64(binary.LittleEndian.Uint32(head[:]))
	if frameHeaderChecksum(r.fileNumber, offset, head[:12]) != binary.LittleEndian.Uint32(head[12:]) ||
		size > MaxPayloadBytes || size > r.size-frameHeaderSize-offset {
		return 0, nil, &DamageError{r.path, offset, "frame header checksum mismatch"}
	}
	if int64(cap(buf)) < size {
		buf = make([]byte, size)
	}
	payload = buf[:size]
	if _, err := r.src.ReadAt(payload, offset+frameHeaderSize); err != nil {
		return 0, nil, fmt.Errorf("%s: offset %d: %w", r.path, offset, err)
	}
	if crc32.Checksum(payload, crcTable) != binary.LittleEndian.Uint32(head[8:]) {
		return 0, nil, &DamageError{r.path, offset, "frame payload checksum mismatch"}
	}
	return binary.LittleEndian.Uint16(head[4:]), payload, nil
}
