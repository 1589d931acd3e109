package store

import (
	"errors"
	"fmt"
)

var (
	// ErrReadOnly is returned by writes to a store that was opened read-only. It is also returned, with the cause
	// wrapped, after a disk error that leaves the content of the log unknown.
	ErrReadOnly = errors.New("the store is read-only")
	// ErrClosed is returned by writes to a closed store.
	ErrClosed = errors.New("the store is closed")
	// ErrLocked is returned when a directory is opened that another process has open.
	ErrLocked = errors.New("locked by another process")
	// ErrNewerVersion is returned when a file is opened that a newer version of the program has written.
	ErrNewerVersion = errors.New("written by a newer version of this program")
	// ErrNotEmpty is returned by Repair if the target directory contains a store.
	ErrNotEmpty = errors.New("the target directory of the repair already contains a store")

	errNotSegment  = errors.New("file is not a segment of a store")
	errBadChecksum = errors.New("segment header does not match its checksum")
	errShortWrite  = errors.New("short write")
)

// CorruptionError reports a place in the log that can't be decoded and is not the torn write of a crash. No file was
// changed.
type CorruptionError struct {
	File         string
	Offset       int64 // bytes
	BatchesAfter int   // complete batches that can be decoded after Offset
	Reason       string
}

func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s is damaged at byte %d: %s; %d complete batches can be read after it",
		e.File, e.Offset, e.Reason, e.BatchesAfter)
}
