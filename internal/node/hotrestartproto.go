package node

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// The protocol between a node's two processes at a hot restart, over a Unix socket that only the node's user may open.
// The successor connects and sends a restartHello as one line of JSON; the predecessor responds with a restartState as
// another. The successor sends readyMessage once it serves. After that each sends a line per recentChange. When the
// connection closes, the other process has ended.

const (
	hotRestartVersion = 2
	hotRestartTimeout = 1500 * time.Millisecond // for hello and state together; bounds the delay of a start
	maxRestartHello   = 4 << 10                 // bytes
	maxRestartState   = 16 << 20                // bytes
	maxSocketPath     = 100                     // bytes; the limit of the system is slightly higher
	readyMessage      = "ready\n"
)

var (
	errLineTooLong       = errors.New("hot restart message exceeds the maximum length")
	errRestartInProgress = errors.New("another process is already the successor")
	errNotReady          = errors.New("expected the ready message from the successor, got another line")
)

// restartHello identifies a process of the node.
type restartHello struct {
	Version int    `json:"handover"`
	Node    string `json:"node"`
}

// restartState is the state that the successor inherits. Overrides are not included: both processes read them from
// their file.
type restartState struct {
	restartHello
	Endpoints  json.RawMessage `json:"list"`             // in discovery's format, without overrides
	KnownNames []string        `json:"listed"`           // of all endpoints that have ever been on the list
	Estimates  json.RawMessage `json:"learned"`          // of the balancer
	Recent     []requestDigest `json:"recent,omitempty"` // requests that may have run
}

// check returns an error unless the other hello comes from a process of the same node and the same protocol version.
func (h restartHello) check(other restartHello) error {
	if other != h {
		return fmt.Errorf("expected protocol version %d of node %s, got version %d of node %.80q",
			h.Version, h.Node, other.Version, other.Node)
	}
	return nil
}

// requestState sends the successor's hello and reads the predecessor's state.
func requestState(conn net.Conn, in *bufio.Reader, own restartHello) (*restartState, error) {
	if err := checkSameUser(conn); err != nil {
		return nil, err
	}
	conn.SetDeadline(time.Now().Add(hotRestartTimeout))
	if err := json.NewEncoder(conn).Encode(own); err != nil {
		return nil, err
	}
	line, err := readLine(in, maxRestartState)
	if err != nil {
		return nil, err
	}
	var state restartState
	if err := json.Unmarshal(line, &state); err != nil {
		return nil, err
	}
	conn.SetDeadline(time.Time{})
	return &state, own.check(state.restartHello)
}

// readHello reads and checks the successor's hello.
func readHello(conn net.Conn, in *bufio.Reader, own restartHello) error {
	if err := checkSameUser(conn); err != nil {
		return err
	}
	conn.SetDeadline(time.Now().Add(hotRestartTimeout))
	line, err := readLine(in, maxRestartHello)
	if err != nil {
		return err
	}
	var other restartHello
	if err := json.Unmarshal(line, &other); err != nil {
		return err
	}
	return own.check(other)
}

// awaitReady waits, without a timeout, until the successor reports that it serves.
func awaitReady(conn net.Conn, in *bufio.Reader) error {
	conn.SetDeadline(time.Time{})
	line, err := readLine(in, len(readyMessage))
	if err == nil && string(line) != readyMessage {
		return errNotReady
	}
	return err
}

// readRecentChanges passes on what the other process sends, until it closes the connection or ends. A line that can't be
// parsed is skipped: it may be of a later version.
func readRecentChanges(in *bufio.Reader, apply func(recentChange)) {
	for {
		line, err := readLine(in, maxRecentLine)
		if err != nil {
			return
		}
		if change, err := parseRecentChange(string(line)); err == nil {
			apply(change)
		}
	}
}

// writeRecentChanges writes changes until the connection is closed.
func writeRecentChanges(conn net.Conn, changes <-chan recentChange) {
	for change := range changes {
		if _, err := io.WriteString(conn, change.line()); err != nil {
			return
		}
	}
}

// readLine reads one line of at most about maxBytes.
func readLine(in *bufio.Reader, maxBytes int) ([]byte, error) {
	var line []byte
	for {
		fragment, err := in.ReadSlice('\n')
		line = append(line, fragment...)
		if err == nil {
			return line, nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
		if len(line) > maxBytes {
			return nil, errLineTooLong
		}
	}
}

// socketAddress returns an address for a Unix socket's path. If the path is too long, the address refers to its
// directory by a descriptor, which release closes.
func socketAddress(path string) (address string, release func(), err error) {
	if len(path) <= maxSocketPath {
		return path, func() {}, nil
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return "", nil, err
	}
	address = fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path))
	return address, func() { dir.Close() }, nil
}

// checkSameUser checks that the peer runs as the same user. Guards against another user's process at the node's path:
// the directory may be writable by everyone.
func checkSameUser(conn net.Conn) error {
	raw, err := conn.(*net.UnixConn).SyscallConn()
	if err != nil {
		return err
	}
	var peer *syscall.Ucred
	var optErr error
	err = raw.Control(func(fd uintptr) {
		peer, optErr = syscall.GetsockoptUcred(int(fd), syscall.SOL_SOCKET, syscall.SO_PEERCRED)
	})
	if err = errors.Join(err, optErr); err != nil {
		return err
	}
	if int(peer.Uid) != os.Geteuid() {
		return fmt.Errorf("expected a process of the same user, got one of user ID %d", peer.Uid)
	}
	return nil
}
