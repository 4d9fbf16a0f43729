// Package durabletest is a file system in memory that fails, tears or loses any single step of what is asked of it, and
// that can be cut off like a machine that loses its power. It must never be imported by anything but tests.
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

// Errors that steps fail with.
var (
	ErrFault = errors.New("injected fault")
	ErrDead  = errors.New("the machine is off")
)

// Fault is what happens to a step.
type Fault int

// Faults. Whatever Crash stops, and all after it, fails with ErrDead until Restart.
const (
	None     Fault = iota
	Fail           // the step does nothing and fails
	Tear           // a write takes half of its bytes and fails; any other step is done and fails all the same
	Crash          // the process dies before the step; what the system was given stays
	TearDie        // the process dies in the middle of a write
	PowerOff       // the machine dies before the step; Restart keeps what was synced and part of the rest
)

// Faults that a test injects one at a time.
var Faults = []Fault{Fail, Tear, Crash, TearDie, PowerOff}

func (f Fault) String() string {
	return [...]string{"none", "fail", "tear", "crash", "tear and die", "power off"}[f]
}

// Step is one step asked of the file system: create, write, sync, rename, remove or syncdir.
type Step struct {
	N    int
	What string
	Path string
}

// FS is the file system. Plan is asked for every step; nil: none fails.
type FS struct {
	Plan func(Step) Fault

	mu     sync.Mutex
	files  map[string]*file // as processes see them
	disk   map[string]*file // as after a loss of power: names last synced
	locks  map[string]bool
	steps  []Step
	dead   bool
	power  bool
	random *rand.Rand
	slow   chan struct{} // if not nil, steps wait until it is closed
}

type file struct {
	data   []byte
	synced int // bytes that outlast a loss of power
	whole  []byte
}

// New makes an empty file system; the seed decides what a loss of power leaves of what was not synced.
func New(seed uint64) *FS {
	return &FS{files: map[string]*file{}, disk: map[string]*file{}, locks: map[string]bool{}, random: rand.New(rand.NewPCG(seed, 7))}
}

// Steps lists the steps so far.
func (f *FS) Steps() []Step {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.steps)
}

// Slow has every step wait from now on until the returned function is called.
func (f *FS) Slow() (again func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	slow := make(chan struct{})
	f.slow = slow
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.slow = nil
		close(slow)
	}
}

// step notes a step and says what is to happen to it. The lock is held on return.
func (f *FS) step(what, path string) (Fault, error) {
	f.mu.Lock()
	for f.slow != nil {
		slow := f.slow
		f.mu.Unlock()
		<-slow
		f.mu.Lock()
	}
	if f.dead {
		return Fail, ErrDead
	}
	s := Step{len(f.steps), what, path}
	f.steps = append(f.steps, s)
	fault := None
	if f.Plan != nil {
		fault = f.Plan(s)
	}
	switch fault {
	case Fail:
		return fault, fmt.Errorf("%s %s: %w", what, path, ErrFault)
	case Crash, PowerOff:
		f.dead, f.power = true, fault == PowerOff
		return fault, ErrDead
	case TearDie:
		f.dead = true
		if what != "write" {
			return fault, ErrDead
		}
	}
	return fault, nil
}

// done is what a step returns that was carried out.
func done(fault Fault) error {
	switch fault {
	case Tear:
		return ErrFault
	case TearDie:
		return ErrDead
	}
	return nil
}

// Dead says whether the process has died.
func (f *FS) Dead() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dead
}

// Kill has the process die now; with power, the machine.
func (f *FS) Kill(power bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dead, f.power = true, power
}

// Restart brings the process, or the machine, up again without a plan. After a loss of power, a file holds what was synced
// and a random part of the rest, of which whole sectors may be zero; names that were not synced may be as before.
func (f *FS) Restart() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dead, f.Plan, f.locks = false, nil, map[string]bool{}
	if !f.power {
		return
	}
	f.power = false
	names := map[string]*file{}
	for _, name := range sorted(f.files, f.disk) {
		now, was := f.files[name], f.disk[name]
		if now != was && f.random.IntN(2) == 0 {
			now = was // the change of the name was lost
		}
		if now != nil {
			names[name] = now
		}
	}
	f.files = names
	f.disk = map[string]*file{}
	for name, one := range names {
		f.disk[name] = one
		rest := one.data[one.synced:]
		rest = rest[:f.random.IntN(len(rest)+1)]
		kept := append(bytes.Clone(one.data[:one.synced]), rest...)
		for at := (one.synced + 511) &^ 511; at+512 <= len(kept); at += 512 {
			if f.random.IntN(4) == 0 {
				clear(kept[at : at+512])
			}
		}
		one.data, one.synced = kept, len(kept)
	}
}

func sorted(maps ...map[string]*file) []string {
	var names []string
	for _, m := range maps {
		for n := range m {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Flip changes one bit of a file.
func (f *FS) Flip(path string, bit int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.files[path].data[bit/8] ^= 1 << (bit % 8)
}

// Cut shortens a file.
func (f *FS) Cut(path string, size int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.files[path].data = f.files[path].data[:size]
}

// Size is a file's length in bytes; -1 if there is none.
func (f *FS) Size(path string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if one := f.files[path]; one != nil {
		return len(one.data)
	}
	return -1
}

// Bytes is what a file holds.
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
	one := &file{}
	f.files[path] = one
	if err := done(fault); err != nil {
		return nil, err
	}
	return &handle{f, path, one}, nil
}

// Open implements durable.FS.
func (f *FS) Open(path string) (durable.Source, int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	one := f.files[path]
	switch {
	case f.dead:
		return nil, 0, ErrDead
	case one == nil:
		return nil, 0, &fs.PathError{Op: "open", Path: path, Err: fs.ErrNotExist}
	}
	return source{bytes.NewReader(bytes.Clone(one.data))}, int64(len(one.data)), nil
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
	return done(fault)
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
	return done(fault)
}

// List implements durable.FS.
func (f *FS) List(dir string) ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dead {
		return nil, ErrDead
	}
	var names []string
	for _, name := range sorted(f.files) {
		if filepath.Dir(name) == filepath.Clean(dir) {
			names = append(names, strings.TrimPrefix(name, filepath.Clean(dir)+"/"))
		}
	}
	return names, nil
}

// MakeDir implements durable.FS; folders need no making here.
func (f *FS) MakeDir(string) error { return nil }

// SyncDir implements durable.FS.
func (f *FS) SyncDir(dir string) error {
	fault, err := f.step("syncdir", dir)
	defer f.mu.Unlock()
	if err != nil {
		return err
	}
	for _, name := range sorted(f.files, f.disk) {
		if filepath.Dir(name) == filepath.Clean(dir) {
			if f.disk[name] = f.files[name]; f.files[name] == nil {
				delete(f.disk, name)
			}
		}
	}
	return done(fault)
}

type lock struct {
	f    *FS
	path string
}

func (l lock) Close() error {
	l.f.mu.Lock()
	defer l.f.mu.Unlock()
	delete(l.f.locks, l.path)
	return nil
}

// Lock implements durable.FS.
func (f *FS) Lock(path string) (io.Closer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dead {
		return nil, ErrDead
	}
	if f.locks[path] {
		return nil, fmt.Errorf("%s: %w", path, durable.ErrLocked)
	}
	f.locks[path] = true
	return lock{f, path}, nil
}

type source struct{ *bytes.Reader }

func (source) Close() error { return nil }

// handle is an open file.
type handle struct {
	f    *FS
	path string
	one  *file
}

func (h *handle) Write(b []byte) (int, error) {
	fault, err := h.f.step("write", h.path)
	defer h.f.mu.Unlock()
	if err != nil {
		return 0, err
	}
	if fault == Tear || fault == TearDie {
		h.one.data = append(h.one.data, b[:len(b)/2]...)
		return len(b) / 2, done(fault)
	}
	h.one.data = append(h.one.data, b...)
	return len(b), nil
}

func (h *handle) Sync() error {
	fault, err := h.f.step("sync", h.path)
	defer h.f.mu.Unlock()
	if err != nil {
		return err
	}
	h.one.synced = len(h.one.data)
	return done(fault)
}

func (h *handle) Close() error { return nil }

// Log keeps what is logged to it.
type Log struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *Log) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

// Has says whether it holds a text.
func (l *Log) Has(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.text.String(), text)
}

// Newer makes a durable file one of the next version, whole in itself.
func Newer(b []byte) []byte {
	b = bytes.Clone(b)
	binary.LittleEndian.PutUint16(b[8:], binary.LittleEndian.Uint16(b[8:])+1)
	binary.LittleEndian.PutUint32(b[44:], crc32.Checksum(b[:44], crc32.MakeTable(crc32.Castagnoli)))
	return b
}

// Wait calls f until it holds, for a while; false if it never does.
func Wait(f func() bool) bool {
	for range 5000 {
		if f() {
			return true
		}
		time.Sleep(time.Millisecond)
	}
	return false
}
