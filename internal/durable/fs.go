// Package durable writes crash-safe files: framing and checksums, grouped writes, syncs, atomic replacement,
// recovery from torn writes, and the file-system interface that lets a test double fail, tear or lose any single
// operation. It must never interpret a record, modify bytes that were written, or accept a damaged record as valid.
// No other package of the program opens files for writing.
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

// File is a file opened for writing.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// Source is a file opened for reading.
type Source interface {
	io.Reader
	io.ReaderAt
	io.Closer
}

// FS is the part of a file system that durable files need. Paths are slash-separated; errors satisfy errors.Is with
// those of package io/fs. Its methods are safe for concurrent use.
type FS interface {
	// Create creates a file, or truncates an existing one.
	Create(path string) (File, error)
	// Open opens a file for reading and returns its length in bytes.
	Open(path string) (Source, int64, error)
	// Rename renames a file and atomically replaces an existing file at to.
	Rename(from, to string) error
	Remove(path string) error
	// List returns the names of the files in a directory, sorted.
	List(dir string) ([]string, error)
	// MakeDir creates a directory and its parents.
	MakeDir(dir string) error
	// SyncDir makes creations, renames and removals in a directory survive a crash of the machine.
	SyncDir(dir string) error
	// Lock takes an exclusive lock, which Close releases. It returns ErrLocked if another process holds the lock.
	Lock(path string) (io.Closer, error)
}

// OS is the operating system's file system.
type OS struct{}

// Create implements FS. Only the owner can access the files, since they may contain callers' numbers.
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
		err = fmt.Errorf("%s: is a directory", path)
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

// Lock implements FS. The operating system releases the lock when the process ends, even by a crash.
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

// temporarySuffix is the end of a file's name until the file is complete.
const temporarySuffix = ".tmp"

// WriteFile writes a file atomically: it is written under a temporary name, synced, and renamed to path.
func WriteFile(fsys FS, path string, write func(io.Writer) error) error {
	_, err := writeAtomic(fsys, path, write, true)
	return err
}

// writeAtomic is like WriteFile. Unless closeFile is set, it returns the file still open for writing.
func writeAtomic(fsys FS, path string, write func(io.Writer) error, closeFile bool) (File, error) {
	temporaryPath := path + temporarySuffix
	file, err := fsys.Create(temporaryPath)
	if err != nil {
		return nil, err
	}
	if err = write(file); err == nil {
		err = file.Sync()
	}
	if err == nil && closeFile {
		err = file.Close()
	} else if err != nil {
		file.Close()
	}
	if err == nil {
		err = fsys.Rename(temporaryPath, path)
	}
	if err == nil {
		err = fsys.SyncDir(filepath.Dir(path))
	}
	if err != nil {
		fsys.Remove(temporaryPath)
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return file, nil
}

// RemoveTemporaryFiles removes the files that interrupted writes left in a directory. A missing directory is not an
// error.
func RemoveTemporaryFiles(fsys FS, dir string) error {
	names, err := fsys.List(dir)
	for _, name := range names {
		if strings.HasSuffix(name, temporarySuffix) {
			err = errors.Join(err, fsys.Remove(filepath.Join(dir, name)))
		}
	}
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	return err
}
