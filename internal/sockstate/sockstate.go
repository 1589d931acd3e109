// Package sockstate asks the machine about a connection.
package sockstate

// This file owns what the machine knows of a connection before anybody reads from it. It must never take a byte, wait, or change
// anything; what is no socket of the machine's counts as open and quiet.

import (
	"encoding/binary"
	"net"
	"syscall"
)

// States of a connection as Linux counts them (include/net/tcp_states.h); the others are those in which the peer has ended its side.
const (
	tcpEstablished = 1
	tcpFinWait1    = 4
	tcpFinWait2    = 5
)

// Ended tells whether the peer has closed, reset or half-closed the connection, also where bytes that nobody has read stand before the
// end, which a read would come to only behind them. A connection that is closed on this side has ended. It may be called beside reads
// and writes. Its source is TCP_INFO. It can't know an end that stands behind more bytes than the machine takes in unread: they
// wait at the peer, and its end with them.
func Ended(c net.Conn) (ended bool) {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return true
	}
	broken := control.Control(func(fd uintptr) {
		info, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO) // its first byte is the state
		var b [4]byte
		binary.NativeEndian.PutUint32(b[:], uint32(info))
		ended = err == nil && b[0] != tcpEstablished && b[0] != tcpFinWait1 && b[0] != tcpFinWait2
	})
	return ended || broken != nil
}

// Peek tells whether a byte can be read at once, taking none: 1 is a byte, 0 without an error the peer's end, less than 1 with EAGAIN
// that nothing has come. Of a reset only the first who asks is told as an error, later it looks like an end.
func Peek(c net.Conn) (n int, err error) {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return 0, syscall.EAGAIN
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return 0, err
	}
	var one [1]byte
	if broken := control.Control(func(fd uintptr) {
		n, _, err = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}); broken != nil {
		return 0, broken
	}
	return n, err
}
