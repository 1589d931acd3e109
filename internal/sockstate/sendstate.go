package sockstate

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// SendState is what the kernel knows of the bytes that have been written to a connection.
type SendState struct {
	Unacknowledged int // bytes that the peer's machine has not acknowledged yet
	// PeerWindow is how many bytes more the peer's machine was ready to take in when it last told, which it does with
	// each acknowledgment. It shrinks while the peer's process does not read. 0: none, or unknown.
	PeerWindow int
	RoundTrip  time.Duration // the shortest measured on this connection; 0: unknown
	// SegmentsReceived is how many segments have come from the peer on this connection, acknowledgments included. 0:
	// unknown.
	SegmentsReceived int
}

// Send returns the state of a connection's sending side. It is zero if it is unknown.
func Send(conn net.Conn) SendState {
	state := SendState{Unacknowledged: UnacknowledgedBytes(conn)}
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return state
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return state
	}
	var info *unix.TCPInfo
	controlErr := raw.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err == nil && controlErr == nil {
		state.PeerWindow = int(info.Snd_wnd)
		state.SegmentsReceived = int(info.Segs_in)
		state.RoundTrip = time.Duration(info.Min_rtt) * time.Microsecond
	}
	return state
}
