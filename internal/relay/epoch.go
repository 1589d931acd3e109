package relay

// This file owns an origin's epoch: the time of its start, and always higher than the last one that its file knows of. It must never
// give one twice.

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// nextEpoch draws an epoch and keeps it, before anybody hears of it. Without a file the clock alone decides: an origin whose clock
// went back is then not believed until the clock has passed its last start.
func nextEpoch(path string, now int64) (uint64, error) {
	if path == "" {
		return uint64(now), nil
	}
	var last uint64
	text, err := os.ReadFile(path)
	switch {
	case err == nil:
		if last, err = strconv.ParseUint(strings.TrimSpace(string(text)), 10, 63); err != nil {
			return 0, fmt.Errorf("origin.state: %s: expected a number, found %.40q", path, text)
		}
	case !errors.Is(err, fs.ErrNotExist):
		return 0, fmt.Errorf("origin.state: %w", err)
	}
	epoch := max(uint64(now), last+1)
	if err := writeFileAtomically(path, fmt.Sprintf("%d\n", epoch)); err != nil {
		return 0, fmt.Errorf("origin.state: %w", err)
	}
	return epoch, nil
}

// replaceFile has a file hold a text, or what it held before.
func writeFileAtomically(path, text string) (err error) {
	f, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	_, err = f.WriteString(text)
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return err
	}
	if err := os.Rename(f.Name(), path); err != nil {
		return err
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}
