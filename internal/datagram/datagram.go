// Package datagram opens UDP sockets for messages between nodes.
package datagram

import (
	"context"
	"errors"
	"net"
	"syscall"
)

const soReusePort = 0xf // on Linux; package syscall lacks it

// Listen opens a socket. Another process of the node may have the same address open during a hot restart; each
// sets SO_REUSEPORT, and the kernel picks which of them receives a datagram.
func Listen(address string) (*net.UDPConn, error) {
	config := net.ListenConfig{Control: setReusePort}
	socket, err := config.ListenPacket(context.Background(), "udp", address)
	if err != nil {
		return nil, err
	}
	return socket.(*net.UDPConn), nil
}

func setReusePort(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, soReusePort, 1)
	})
	return errors.Join(err, optErr)
}
