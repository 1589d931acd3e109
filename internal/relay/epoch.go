package relay

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// nextEpoch returns the epoch of an origin that starts at now, in nanoseconds of Unix time. The epoch is now, or one
// more than the last epoch in the file at path if that is higher; it is stored in the file before it is used. If path
// is empty and the clock has been set back, subscribers ignore the origin until the clock has passed the time of its
// previous start.
func nextEpoch(path string, now int64) (uint64, error) {
	if path == "" {
		return uint64(now), nil
	}
	last, err := readEpoch(path)
	if err != nil {
		return 0, fmt.Errorf("origin.state: %w", err)
	}
	epoch := max(uint64(now), last+1)
	if err := writeFileAtomically(path, fmt.Sprintf("%d\n", epoch)); err != nil {
		return 0, fmt.Errorf("origin.state: %w", err)
	}
	return epoch, nil
}

// readEpoch returns the epoch in a file, or 0 if there is no file.
func readEpoch(path string) (uint64, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	epoch, err := strconv.ParseUint(strings.TrimSpace(string(text)), 10, 63)
	if err != nil {
		return 0, fmt.Errorf("%s: expected a number, found %.40q", path, text)
	}
	return epoch, nil
}

// writeFileAtomically writes a file such that after a crash it contains either the text or its previous content.
func writeFileAtomically(path, text string) error {
	temporary, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return err
	}
	_, err = temporary.WriteString(text)
	err = errors.Join(err, temporary.Sync(), temporary.Close())
	if err == nil {
		err = os.Rename(temporary.Name(), path)
	}
	if err != nil {
		return errors.Join(err, os.Remove(temporary.Name()))
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}
