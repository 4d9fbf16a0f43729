// Package durable owns files that last: their framing and checksums, writes in groups, syncs, atomic replacement, the
// recovery of what a crash cut off, and the file-system interface behind which a test double fails, tears or loses any
// single step. It must never know what a record means, change a byte that was written, or take a damaged record for
// a good one. Nobody else in the product opens a file for writing.
package durable

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"golang.org/x/sys/unix"
)

// ErrLocked is returned by FS.Lock while another process holds the lock.
var ErrLocked = errors.New("locked by another process")

// File is a file being written.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// Source is a file being read.
type Source interface {
	io.Reader
	io.ReaderAt
	io.Closer
}

// FS is the part of a file system that durable files need. Paths are slash-separated; errors satisfy errors.Is with those of
// package io/fs.
type FS interface {
	// Create makes a new file, or empties one that is there.
	Create(path string) (File, error)
	Open(path string) (Source, int64, error) // and its length in bytes
	Rename(from, to string) error            // replaces to, at once
	Remove(path string) error
	List(dir string) ([]string, error) // names of the files in it, sorted
	MakeDir(dir string) error          // and those above it
	SyncDir(dir string) error          // makes creations, renames and removals in it last
	Lock(path string) (io.Closer, error)
}

// OS is the operating system's file system.
type OS struct{}

// Create implements FS; files are for the owner only, since what lasts may name callers.
func (OS) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
}

// Open implements FS.
func (OS) Open(path string) (Source, int64, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, 0, err
	}
	info, err := f.Stat()
	if err == nil && info.IsDir() {
		err = fmt.Errorf("%s: is a folder", path)
	}
	if err != nil {
		f.Close()
		return nil, 0, err
	}
	return f, info.Size(), nil
}

// Rename implements FS.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OS) Remove(path string) error { return os.Remove(path) }

// MakeDir implements FS.
func (OS) MakeDir(dir string) error { return os.MkdirAll(dir, 0o700) }

// List implements FS.
func (OS) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if !e.IsDir() {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

// SyncDir implements FS.
func (OS) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// Lock implements FS: the lock ends with the process, however it dies.
func (OS) Lock(path string) (io.Closer, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		f.Close()
		if err == unix.EWOULDBLOCK {
			return nil, fmt.Errorf("%s: %w", path, ErrLocked)
		}
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return f, nil
}

// temporary is what the name of a file ends in until it is whole.
const temporary = ".tmp"

// WriteFile makes a file appear at path whole or not at all: it is written under another name, synced, and renamed.
func WriteFile(f FS, path string, write func(io.Writer) error) error {
	_, err := writeOpen(f, path, write, true)
	return err
}

// writeOpen is WriteFile; without shut, it returns the file still open for more.
func writeOpen(f FS, path string, write func(io.Writer) error, shut bool) (File, error) {
	part := path + temporary
	file, err := f.Create(part)
	if err != nil {
		return nil, err
	}
	if err = write(file); err == nil {
		err = file.Sync()
	}
	if err == nil && shut {
		err = file.Close()
	} else if err != nil {
		file.Close()
	}
	if err == nil {
		err = f.Rename(part, path)
	}
	if err == nil {
		err = f.SyncDir(filepath.Dir(path))
	}
	if err != nil {
		f.Remove(part)
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return file, nil
}

// Clean removes what interrupted writes left in a folder.
func Clean(f FS, dir string) error {
	names, err := f.List(dir)
	for _, name := range names {
		if strings.HasSuffix(name, temporary) {
			err = errors.Join(err, f.Remove(filepath.Join(dir, name)))
		}
	}
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	return err
}
