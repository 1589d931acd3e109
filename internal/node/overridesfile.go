package node

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"fawnglade/policy"
)

// The overrides file, one line each:
//
//	fawnglade-orders VERSION "NAME" LISTEN
//	drained
//	server "ENDPOINT" DISABLED_AT ENABLED_AT
//	end
//
// Times are Unix nanoseconds of the node's clock; ENABLED_AT is 0 while the endpoint is disabled. The file is replaced
// as a whole, under a lock, by whichever process of the node took the admin command.

const (
	overridesMagic      = "fawnglade-orders"
	overridesVersion    = "1"
	overridesDrained    = "drained"
	overridesEndpoint   = "server"
	overridesEnd        = "end"
	maxOverrides        = 4096
	maxOverridesBytes   = 2 << 20
	maxNameBytes        = 256
	maxParseErrorBytes  = 1000 // of all lines that can't be read, before the rest is left unread
	overridesLockRetry  = 2 * time.Millisecond
	overridesFileMode   = 0o600
	overridesTempSuffix = ".new"
)

var (
	errOverridesTruncated = errors.New("cut off before its end")
	errNotOverrides       = errors.New("not a file of overrides")
	errNotRegularFile     = errors.New("not a regular file")
)

// encode is the file's content.
func (o *overrideSet) encode(owner string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s %s\n", overridesMagic, overridesVersion, owner)
	if o.drained {
		b.WriteString(overridesDrained + "\n")
	}
	for _, name := range slices.Sorted(maps.Keys(o.endpoints)) {
		entry := o.endpoints[name]
		fmt.Fprintf(&b, "%s %s %d %d\n", overridesEndpoint, strconv.Quote(name), entry.disabledAt, entry.enabledAt)
	}
	b.WriteString(overridesEnd + "\n")
	return b.Bytes()
}

// parseOverrides reads a file's content. With an error it returns what could be read nevertheless, or nil if the file
// is not one of the owner's.
func parseOverrides(in io.Reader, owner string) (*overrideSet, error) {
	lines := bufio.NewReader(in)
	version, err := parseOverridesHeader(lines, owner)
	if err != nil {
		return nil, err
	}
	var bad error
	if version != overridesVersion {
		bad = fmt.Errorf("version: expected %s, got %.20q", overridesVersion, version)
	}
	set := &overrideSet{endpoints: map[string]endpointOverride{}}
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			return set, errors.Join(bad, errOverridesTruncated)
		}
		line = strings.TrimSuffix(line, "\n")
		if line == overridesEnd {
			return set, bad
		}
		if err := set.parseLine(line); err != nil {
			bad = errors.Join(bad, err)
		}
		if bad != nil && len(bad.Error()) > maxParseErrorBytes {
			return set, bad
		}
	}
}

// parseOverridesHeader reads the first line and returns the version.
func parseOverridesHeader(lines *bufio.Reader, owner string) (version string, err error) {
	first, err := lines.ReadString('\n')
	if err != nil {
		return "", errors.New("cut off in the first line, or empty")
	}
	fields := strings.SplitN(strings.TrimSuffix(first, "\n"), " ", 3)
	if len(fields) != 3 || fields[0] != overridesMagic {
		return "", errNotOverrides
	}
	if fields[2] != owner {
		return "", fmt.Errorf("overrides of another node: %.80q", fields[2])
	}
	return fields[1], nil
}

func (o *overrideSet) parseLine(line string) error {
	verb, rest, _ := strings.Cut(line, " ")
	switch {
	case line == overridesDrained:
		o.drained = true
		return nil
	case verb == overridesEndpoint && len(o.endpoints) < maxOverrides:
		name, entry, err := parseEndpointOverride(rest)
		if err == nil {
			o.endpoints[name] = entry
		}
		return err
	}
	return fmt.Errorf("invalid line: %.40q", line)
}

func parseEndpointOverride(text string) (name string, entry endpointOverride, err error) {
	quoted, err := strconv.QuotedPrefix(text)
	if err == nil {
		name, err = strconv.Unquote(quoted)
	}
	if err != nil || name == "" || len(name) > maxNameBytes {
		return "", endpointOverride{}, fmt.Errorf("invalid name of an endpoint: %.40q", text)
	}
	disabled, enabled, both := strings.Cut(strings.TrimPrefix(text[len(quoted):], " "), " ")
	disabledAt, disabledErr := strconv.ParseInt(disabled, 10, 64)
	enabledAt, enabledErr := strconv.ParseInt(enabled, 10, 64)
	if !both || disabledErr != nil || enabledErr != nil || disabledAt < 0 || enabledAt < 0 {
		return "", endpointOverride{}, fmt.Errorf("invalid times of an endpoint: %.40q", text)
	}
	return name, endpointOverride{policy.Time(disabledAt), policy.Time(enabledAt)}, nil
}

// lockFile takes the lock on a node's file, which ends when the returned file is closed or the process dies.
func lockFile(path string, timeout time.Duration) (*os.File, error) {
	flags := os.O_RDWR | os.O_CREATE | syscall.O_CLOEXEC | syscall.O_NOFOLLOW
	file, err := os.OpenFile(path, flags, overridesFileMode)
	if err != nil {
		return nil, err
	}
	for end := time.Now().Add(timeout); ; time.Sleep(overridesLockRetry) {
		if err = syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err == nil {
			return file, nil
		}
		if time.Now().After(end) {
			file.Close()
			return nil, fmt.Errorf("%s is held by another: %w", filepath.Base(path), err)
		}
	}
}

// replaceFile writes a file as a whole, so that a reader sees the old or the new content. Unsynced content survives
// the process, not a crash of the machine.
func replaceFile(path string, content []byte, sync bool) error {
	file, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+overridesTempSuffix)
	if err != nil {
		return err
	}
	_, err = file.Write(content)
	if err == nil && sync {
		err = file.Sync()
	}
	err = errors.Join(err, file.Close())
	if err == nil {
		err = os.Rename(file.Name(), path)
	}
	if err != nil {
		removeIfExists(file.Name())
	}
	return err
}

// removeIfExists removes a temporary file; one that stays does no harm.
func removeIfExists(path string) { _ = os.Remove(path) }
