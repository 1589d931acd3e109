package store

import (
	"errors"
	"fmt"
)

var (
	// ErrReadOnly is the error of a write to a store that was opened read-only, or whose disk has failed in a way
	// that leaves its content unknown; then the cause is wrapped too.
	ErrReadOnly = errors.New("the store is read-only")
	// ErrClosed is the error of a write to a closed store.
	ErrClosed = errors.New("the store is closed")
	// ErrLocked is the error of opening a directory that another process has open.
	ErrLocked = errors.New("held by another process")
	// ErrNewerVersion is the error of opening a file that a newer version of the program has written.
	ErrNewerVersion = errors.New("written by a newer version of this program")
	// ErrNotEmpty is the error of repairing into a directory that holds a store.
	ErrNotEmpty = errors.New("the directory to repair into holds a store already")

	errNotSegment  = errors.New("not a segment of a store")
	errBadChecksum = errors.New("head does not match its checksum")
	errShortWrite  = errors.New("short write")
)

// CorruptionError is a place in the log that can't be read and is no torn tail of a crash. Nothing was changed.
type CorruptionError struct {
	File         string
	Offset       int64 // bytes
	BatchesAfter int   // whole batches that can be read after it
	Reason       string
}

func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s is damaged at byte %d: %s; %d whole batches can be read after it",
		e.File, e.Offset, e.Reason, e.BatchesAfter)
}
