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
// The successor connects and sends a restartHello as one line of JSON; the predecessor answers with a restartState as
// another. The successor sends readyMessage once it serves. From then on the connection carries nothing: its end means
// to either process that the other has ended.

const (
	hotRestartVersion = 2
	hotRestartTimeout = 1500 * time.Millisecond // for hello and state together; a start waits no longer
	maxRestartHello   = 4 << 10                 // bytes
	maxRestartState   = 16 << 20                // bytes
	maxSocketPath     = 100                     // the system allows a few bytes more
	readyMessage      = "ready\n"
)

var (
	errLineTooLong       = errors.New("line too long")
	errRestartInProgress = errors.New("another process is taking over already")
	errNotReady          = errors.New("the successor did not report that it serves")
)

// restartHello identifies a process of the node.
type restartHello struct {
	Version int    `json:"handover"`
	Node    string `json:"node"`
}

// restartState is what the successor inherits. Overrides are not part of it: both processes read them from their file.
type restartState struct {
	restartHello
	Endpoints  json.RawMessage `json:"list"`    // in discovery's form, without overrides
	KnownNames []string        `json:"listed"`  // every endpoint that was ever on the list
	Estimates  json.RawMessage `json:"learned"` // of the decisions
}

// check reports whether a hello comes from a process of the same node that speaks the same version.
func (h restartHello) check(other restartHello) error {
	if other != h {
		return fmt.Errorf("expected version %d of node %s, got %d of %.80q", h.Version, h.Node, other.Version, other.Node)
	}
	return nil
}

// requestState is the successor's side of the protocol up to the state.
func requestState(conn net.Conn, own restartHello) (*restartState, error) {
	if err := checkSameUser(conn); err != nil {
		return nil, err
	}
	conn.SetDeadline(time.Now().Add(hotRestartTimeout))
	if err := json.NewEncoder(conn).Encode(own); err != nil {
		return nil, err
	}
	line, err := readLine(bufio.NewReader(conn), maxRestartState)
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

// readHello is the predecessor's first step.
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

// awaitReady waits, for as long as the connection is open, until the successor serves.
func awaitReady(conn net.Conn, in *bufio.Reader) error {
	conn.SetDeadline(time.Time{})
	line, err := readLine(in, len(readyMessage))
	if err == nil && string(line) != readyMessage {
		return errNotReady
	}
	return err
}

// awaitClose waits until the other process has ended.
func awaitClose(c io.Reader) {
	_, _ = io.Copy(io.Discard, c) // any error is the end
}

// readLine reads one line of about maxBytes at most.
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

// socketAddress is how to name the path of a Unix socket: a path that is too long goes by its directory's descriptor,
// which release closes.
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

// checkSameUser guards against another user's process at the node's path: the directory may be open to anybody.
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
		return fmt.Errorf("a process of user %d", peer.Uid)
	}
	return nil
}
