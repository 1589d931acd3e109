package store

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"syscall"
)

// File and Directory are the operations of a file system that the store needs. Tests implement them to simulate a disk
// that is full, fails, or loses data that was not synced. Implementations must return all errors.

// File is an open file.
type File interface {
	io.ReaderAt
	// WriteAt writes p at an offset. It may write fewer bytes than len(p), with or without an error.
	WriteAt(p []byte, offset int64) (int, error)
	Truncate(size int64) error
	// Sync makes the content of the file durable.
	Sync() error
	Size() (int64, error)
	Close() error
}

// Directory is the directory of one store.
type Directory interface {
	// Create creates a file. It returns an error if the file exists.
	Create(name string) (File, error)
	Open(name string, write bool) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// List returns the names of all files, sorted.
	List() ([]string, error)
	// SyncDir makes the entries of the directory durable: created, renamed and removed files.
	SyncDir() error
	// Lock locks the directory for this process. An error wraps ErrLocked if another process has locked it.
	Lock() (unlock func() error, err error)
}

// SystemDirectory returns the directory at a path of the operating system's file system. If write is true, it is
// created if it doesn't exist.
func SystemDirectory(path string, write bool) (Directory, error) {
	if write {
		if err := os.MkdirAll(path, 0o700); err != nil {
			return nil, err
		}
	}
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return nil, fmt.Errorf("%s: expected a directory, found a file", path)
	}
	return systemDirectory(path), nil
}

type systemDirectory string

type systemFile struct{ *os.File }

func (f systemFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

func (d systemDirectory) path(name string) string { return filepath.Join(string(d), name) }

func (d systemDirectory) Create(name string) (File, error) {
	f, err := os.OpenFile(d.path(name), os.O_RDWR|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return nil, err
	}
	return systemFile{f}, nil
}

func (d systemDirectory) Open(name string, write bool) (File, error) {
	flag := os.O_RDONLY
	if write {
		flag = os.O_RDWR
	}
	f, err := os.OpenFile(d.path(name), flag, 0)
	if err != nil {
		return nil, err
	}
	return systemFile{f}, nil
}

func (d systemDirectory) Rename(from, to string) error { return os.Rename(d.path(from), d.path(to)) }
func (d systemDirectory) Remove(name string) error     { return os.Remove(d.path(name)) }

func (d systemDirectory) List() ([]string, error) {
	entries, err := os.ReadDir(string(d))
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	slices.Sort(names)
	return names, nil
}

func (d systemDirectory) SyncDir() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// Lock locks the directory. The operating system unlocks it when the process ends for any reason.
func (d systemDirectory) Lock() (func() error, error) {
	f, err := os.OpenFile(d.path("LOCK"), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return nil, fmt.Errorf("%s is %w", string(d), ErrLocked)
	}
	return f.Close, nil
}
