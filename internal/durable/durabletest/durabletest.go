// Package durabletest provides an in-memory file system that can fail, tear or lose any single operation and simulate
// crashes of the process and power failures of the machine. It must be imported by tests only.
package durabletest

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"io/fs"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"threadglade.example/threadglade/internal/durable"
)

// Errors returned by operations: ErrFault by one with an injected fault, ErrCrashed by all from a crash to the restart.
var (
	ErrFault   = errors.New("injected fault")
	ErrCrashed = errors.New("the process or machine has crashed")
)

// Fault is a fault that is injected into an operation of the file system.
type Fault int

// Kinds of faults. The operation at which a crash occurs, and all later ones, fail with ErrCrashed until Restart.
const (
	None         Fault = iota
	Fail               // the operation does nothing and fails
	Tear               // a write stores half of its bytes and fails; other operations succeed but return an error
	Crash              // the process ends before the operation; earlier writes are kept
	TearAndCrash       // the process ends in the middle of a write
	PowerOff           // the machine stops before the operation; Restart keeps what was synced and part of the rest
)

// Faults lists the faults that a test injects one at a time.
var Faults = []Fault{Fail, Tear, Crash, TearAndCrash, PowerOff}

// String returns the name of the fault.
func (f Fault) String() string {
	return [...]string{"none", "fail", "tear", "crash", "tear and crash", "power off"}[f]
}

// Step is one operation of the file system: create, write, sync, rename, remove or syncdir.
type Step struct {
	Index     int // counts from 0
	Operation string
	Path      string
}

// FS is an in-memory durable.FS. It is safe for concurrent use.
type FS struct {
	// Plan returns the fault to inject at a step. With a nil Plan no step fails. It is called with the lock held, so it
	// must not call methods of the FS.
	Plan func(Step) Fault

	mu        sync.Mutex
	files     map[string]*file // by path, as processes see them
	persisted map[string]*file // by path, as of the last SyncDir; a power failure may bring these names back
	locks     map[string]bool
	steps     []Step
	crashed   bool
	powerLost bool
	random    *rand.Rand
	stalled   chan struct{} // unless nil, steps wait until it is closed
}

// file is the content of a file.
type file struct {
	data   []byte
	synced int // bytes that survive a power failure
}

// New returns an empty file system. The seed determines what a power failure leaves of unsynced data.
func New(seed uint64) *FS {
	return &FS{
		files:     map[string]*file{},
		persisted: map[string]*file{},
		locks:     map[string]bool{},
		random:    rand.New(rand.NewPCG(seed, 7)),
	}
}

// Steps returns the steps so far.
func (f *FS) Steps() []Step {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.steps)
}

// Stall makes every step wait until the returned function is called.
func (f *FS) Stall() (resume func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	stalled := make(chan struct{})
	f.stalled = stalled
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.stalled = nil
		close(stalled)
	}
}

// step records a step and returns the fault planned for it. It returns with the lock held, even if it returns an error.
func (f *FS) step(operation, path string) (Fault, error) {
	f.mu.Lock()
	for f.stalled != nil {
		stalled := f.stalled
		f.mu.Unlock()
		<-stalled
		f.mu.Lock()
	}
	if f.crashed {
		return Fail, ErrCrashed
	}
	s := Step{len(f.steps), operation, path}
	f.steps = append(f.steps, s)
	fault := None
	if f.Plan != nil {
		fault = f.Plan(s)
	}
	switch fault {
	case Fail:
		return fault, fmt.Errorf("%s %s: %w", operation, path, ErrFault)
	case Crash, PowerOff:
		f.crashed, f.powerLost = true, fault == PowerOff
		return fault, ErrCrashed
	case TearAndCrash:
		f.crashed = true
		if operation != "write" {
			return fault, ErrCrashed
		}
	}
	return fault, nil
}

// stepResult returns the error of a step that was carried out, at least in part, despite the fault.
func stepResult(fault Fault) error {
	switch fault {
	case Tear:
		return ErrFault
	case TearAndCrash:
		return ErrCrashed
	}
	return nil
}

// Crashed reports whether the process or the machine has crashed and has not been restarted since.
func (f *FS) Crashed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashed
}

// Kill crashes the process, or cuts the machine's power if power is true.
func (f *FS) Kill(power bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashed, f.powerLost = true, power
}

// Restart restarts the process or the machine. It releases all locks and clears Plan. After a power failure a file
// contains what was synced and a random part of the rest, in which whole sectors may be zero; creations, renames and
// removals that were not synced may be lost.
func (f *FS) Restart() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashed, f.Plan, f.locks = false, nil, map[string]bool{}
	if !f.powerLost {
		return
	}
	f.powerLost = false
	names := map[string]*file{}
	for _, name := range sortedNames(f.files, f.persisted) {
		current, previous := f.files[name], f.persisted[name]
		if current != previous && f.random.IntN(2) == 0 {
			current = previous // the change of the name is lost
		}
		if current != nil {
			names[name] = current
		}
	}
	f.files = names
	f.persisted = map[string]*file{}
	for name, content := range names {
		f.persisted[name] = content
		unsynced := content.data[content.synced:]
		unsynced = unsynced[:f.random.IntN(len(unsynced)+1)]
		kept := append(bytes.Clone(content.data[:content.synced]), unsynced...)
		for at := (content.synced + 511) &^ 511; at+512 <= len(kept); at += 512 {
			if f.random.IntN(4) == 0 {
				clear(kept[at : at+512])
			}
		}
		content.data, content.synced = kept, len(kept)
	}
}

// sortedNames returns the names in all maps, sorted and without duplicates.
func sortedNames(maps ...map[string]*file) []string {
	var names []string
	for _, m := range maps {
		for n := range m {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// FlipBit inverts one bit of a file.
func (f *FS) FlipBit(path string, bit int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.files[path].data[bit/8] ^= 1 << (bit % 8)
}

// Truncate shortens a file to size bytes.
func (f *FS) Truncate(path string, size int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.files[path].data = f.files[path].data[:size]
}

// Size returns a file's length in bytes, or -1 if it does not exist.
func (f *FS) Size(path string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if content := f.files[path]; content != nil {
		return len(content.data)
	}
	return -1
}

// Bytes returns the content of a file.
func (f *FS) Bytes(path string) []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	return bytes.Clone(f.files[path].data)
}

// Create implements durable.FS.
func (f *FS) Create(path string) (durable.File, error) {
	fault, err := f.step("create", path)
	defer f.mu.Unlock()
	if err != nil {
		return nil, err
	}
	content := &file{}
	f.files[path] = content
	if err := stepResult(fault); err != nil {
		return nil, err
	}
	return &handle{f, path, content}, nil
}

// Open implements durable.FS.
func (f *FS) Open(path string) (durable.Source, int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	content := f.files[path]
	switch {
	case f.crashed:
		return nil, 0, ErrCrashed
	case content == nil:
		return nil, 0, &fs.PathError{Op: "open", Path: path, Err: fs.ErrNotExist}
	}
	return source{bytes.NewReader(bytes.Clone(content.data))}, int64(len(content.data)), nil
}

// Rename implements durable.FS.
func (f *FS) Rename(from, to string) error {
	fault, err := f.step("rename", to)
	defer f.mu.Unlock()
	if err != nil {
		return err
	}
	if f.files[from] == nil {
		return &fs.PathError{Op: "rename", Path: from, Err: fs.ErrNotExist}
	}
	f.files[to] = f.files[from]
	delete(f.files, from)
	return stepResult(fault)
}

// Remove implements durable.FS.
func (f *FS) Remove(path string) error {
	fault, err := f.step("remove", path)
	defer f.mu.Unlock()
	if err != nil {
		return err
	}
	if f.files[path] == nil {
		return &fs.PathError{Op: "remove", Path: path, Err: fs.ErrNotExist}
	}
	delete(f.files, path)
	return stepResult(fault)
}

// List implements durable.FS.
func (f *FS) List(dir string) ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.crashed {
		return nil, ErrCrashed
	}
	var names []string
	for _, name := range sortedNames(f.files) {
		if filepath.Dir(name) == filepath.Clean(dir) {
			names = append(names, strings.TrimPrefix(name, filepath.Clean(dir)+"/"))
		}
	}
	return names, nil
}

// MakeDir implements durable.FS; it does nothing, since directories are implicit.
func (f *FS) MakeDir(string) error { return nil }

// SyncDir implements durable.FS.
func (f *FS) SyncDir(dir string) error {
	fault, err := f.step("syncdir", dir)
	defer f.mu.Unlock()
	if err != nil {
		return err
	}
	for _, name := range sortedNames(f.files, f.persisted) {
		if filepath.Dir(name) == filepath.Clean(dir) {
			if f.persisted[name] = f.files[name]; f.files[name] == nil {
				delete(f.persisted, name)
			}
		}
	}
	return stepResult(fault)
}

// lock is a held lock; closing it releases it.
type lock struct {
	fs   *FS
	path string
}

// Close releases the lock.
func (l lock) Close() error {
	l.fs.mu.Lock()
	defer l.fs.mu.Unlock()
	delete(l.fs.locks, l.path)
	return nil
}

// Lock implements durable.FS.
func (f *FS) Lock(path string) (io.Closer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.crashed {
		return nil, ErrCrashed
	}
	if f.locks[path] {
		return nil, fmt.Errorf("%s: %w", path, durable.ErrLocked)
	}
	f.locks[path] = true
	return lock{f, path}, nil
}

// source is a file opened for reading.
type source struct{ *bytes.Reader }

// Close implements durable.Source.
func (source) Close() error { return nil }

// handle is a file opened for writing.
type handle struct {
	fs   *FS
	path string
	file *file
}

// Write implements durable.File.
func (h *handle) Write(b []byte) (int, error) {
	fault, err := h.fs.step("write", h.path)
	defer h.fs.mu.Unlock()
	if err != nil {
		return 0, err
	}
	if fault == Tear || fault == TearAndCrash {
		h.file.data = append(h.file.data, b[:len(b)/2]...)
		return len(b) / 2, stepResult(fault)
	}
	h.file.data = append(h.file.data, b...)
	return len(b), nil
}

// Sync implements durable.File.
func (h *handle) Sync() error {
	fault, err := h.fs.step("sync", h.path)
	defer h.fs.mu.Unlock()
	if err != nil {
		return err
	}
	h.file.synced = len(h.file.data)
	return stepResult(fault)
}

// Close implements durable.File.
func (h *handle) Close() error { return nil }

// LogBuffer is an io.Writer that stores the log lines written to it. It is safe for concurrent use.
type LogBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (l *LogBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

// Contains reports whether the log contains a text.
func (l *LogBuffer) Contains(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.text.String(), text)
}

// WithNextVersion returns the content b of a durable file with the next format version and a valid header checksum.
func WithNextVersion(b []byte) []byte {
	b = bytes.Clone(b)
	binary.LittleEndian.PutUint16(b[8:], binary.LittleEndian.Uint16(b[8:])+1)
	binary.LittleEndian.PutUint32(b[44:], crc32.Checksum(b[:44], crc32.MakeTable(crc32.Castagnoli)))
	return b
}

// WaitFor polls f until it returns true. It gives up and returns false after five seconds or a little more.
func WaitFor(f func() bool) bool {
	for range 5000 {
		if f() {
			return true
		}
		time.Sleep(time.Millisecond)
	}
	return false
}
