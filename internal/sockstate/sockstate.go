// Package sockstate reports what the kernel knows of a connection before anybody reads from it. It takes no byte, does not
// wait and changes nothing, so that its functions may be called beside reads and writes. A net.Conn that is no socket
// counts as open and quiet.
package sockstate

import (
	"encoding/binary"
	"net"
	"syscall"
)

// tcpState is the state of a connection as Linux numbers them (include/net/tcp_states.h).
type tcpState byte

// The states in which the peer has not ended its side.
const (
	tcpEstablished tcpState = 1
	tcpFinWait1    tcpState = 4
	tcpFinWait2    tcpState = 5
)

func (s tcpState) closedByPeer() bool {
	return s != tcpEstablished && s != tcpFinWait1 && s != tcpFinWait2
}

// Ended reports whether the peer has closed, reset or half-closed the connection, also where unread bytes precede the
// end, which a read would come to only after them. A connection that is closed on this side has ended.
//
// Its source is TCP_INFO. It can't know of an end that follows more bytes than the kernel takes in unread: these wait at
// the peer, and the end with them.
func PeerClosed(conn net.Conn) (ended bool) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	closedHere := raw.Control(func(fd uintptr) {
		state, err := readState(int(fd))
		ended = err == nil && state.closedByPeer()
	})
	return ended || closedHere != nil
}

// readState reads a connection's state: the first byte of its TCP_INFO.
func readState(fd int) (tcpState, error) {
	info, err := syscall.GetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_INFO)
	if err != nil {
		return 0, err
	}
	var b [4]byte
	binary.NativeEndian.PutUint32(b[:], uint32(info))
	return tcpState(b[0]), nil
}

// Peek reports whether a byte can be read at once, and takes none: n is 1 if it can, and 0 without an error at the peer's
// end. The error is syscall.EAGAIN if nothing has come. A reset is reported as an error only to the first who asks, to
// others as an end.
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
	closedHere := raw.Control(func(fd uintptr) {
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if closedHere != nil {
		return 0, closedHere
	}
	return n, err
}
