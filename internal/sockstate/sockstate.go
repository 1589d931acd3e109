// Package sockstate queries the kernel for the state of a connection without reading from it. Its functions consume no
// bytes, don't block and change nothing, so that they may be called concurrently with reads and writes. A net.Conn that
// is not a socket counts as open and idle.
package sockstate

import (
	"encoding/binary"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpState is the state of a TCP connection, with the numbers of Linux (include/net/tcp_states.h).
type tcpState byte

// The states in which the peer has not closed its side of the connection.
const (
	tcpEstablished tcpState = 1
	tcpFinWait1    tcpState = 4
	tcpFinWait2    tcpState = 5
)

func (s tcpState) closedByPeer() bool {
	return s != tcpEstablished && s != tcpFinWait1 && s != tcpFinWait2
}

// PeerClosed reports whether the peer has closed, reset or half-closed the connection. Unlike a read, it detects this
// also while there are unread bytes. It returns true for a connection that is closed locally, too.
//
// It uses TCP_INFO. It can't detect a close after more bytes than the receive buffer of the kernel holds: the peer has
// not sent the rest of them yet, nor the FIN that follows.
func PeerClosed(conn net.Conn) (closed bool) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	controlErr := raw.Control(func(fd uintptr) {
		state, err := readState(int(fd))
		closed = err == nil && state.closedByPeer()
	})
	return closed || controlErr != nil
}

// readState returns the state of a connection, which is the first byte of its TCP_INFO.
func readState(fd int) (tcpState, error) {
	info, err := syscall.GetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_INFO)
	if err != nil {
		return 0, err
	}
	var b [4]byte
	binary.NativeEndian.PutUint32(b[:], uint32(info))
	return tcpState(b[0]), nil
}

// Peek reports whether a read would return at once, without consuming any byte: n is 1 if there is a byte to read, and
// 0 without an error at end of file. The error is syscall.EAGAIN if nothing has been received. A reset of the
// connection is returned as an error only once; later calls report end of file.
func Peek(conn net.Conn) (n int, err error) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return 0, syscall.EAGAIN
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, err
	}
	var b [1]byte
	controlErr := raw.Control(func(fd uintptr) {
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if controlErr != nil {
		return 0, controlErr
	}
	return n, err
}

// UnreadBytes returns how many bytes have been received from the peer and not read yet. It returns 0 if that is
// unknown.
func UnreadBytes(conn net.Conn) int { return queueLength(conn, unix.TIOCINQ) }

// UnacknowledgedBytes returns how many written bytes the peer's machine has not acknowledged yet. It returns 0 if that
// is unknown.
func UnacknowledgedBytes(conn net.Conn) int { return queueLength(conn, unix.TIOCOUTQ) }

// queueLength returns the length in bytes of the socket's queue that an ioctl request selects, or 0 if it is unknown.
func queueLength(conn net.Conn, request uint) (length int) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0
	}
	controlErr := raw.Control(func(fd uintptr) {
		length, err = unix.IoctlGetInt(int(fd), request)
	})
	if err != nil || controlErr != nil {
		return 0
	}
	return length
}
