package store

// This file owns what the store asks of a file system, so that tests can stand in for a disk that fills, fails or loses
// what was not made durable. It must never hide an error.

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"syscall"
)

// File is one open file.
type File interface {
	io.ReaderAt
	WriteAt(p []byte, at int64) (int, error)
	Truncate(size int64) error
	Sync() error
	Size() (int64, error)
	Close() error
}

// Files is one directory.
type Directory interface {
	Create(name string) (File, error) // a new file; one that is there is an error
	Open(name string, write bool) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	List() ([]string, error)
	SyncDir() error
	Lock() (release func() error, err error)
}

// Dir is a directory of the system's, made if it is not there.
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
		return nil, fmt.Errorf("%s: expected a directory", path)
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
	how := os.O_RDONLY
	if write {
		how = os.O_RDWR
	}
	f, err := os.OpenFile(d.path(name), how, 0)
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

// Lock takes the directory for this process alone. The system lets go of it when the process ends, however it does.
func (d systemDirectory) Lock() (func() error, error) {
	f, err := os.OpenFile(d.path("LOCK"), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return nil, fmt.Errorf("%s is held by another process", string(d))
	}
	return f.Close, nil
}
