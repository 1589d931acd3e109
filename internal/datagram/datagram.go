// Package datagram owns sockets for messages between nodes. It must never hold an address for itself alone.
package datagram

import (
	"context"
	"errors"
	"net"
	"syscall"
)

const soReusePort = 0xf // on Linux; package syscall lacks it

// Listen binds a socket. Another process of this node may hold the same address during an upgrade; who hears
// which message then is left to the machine, as news may be lost.
func Listen(address string) (*net.UDPConn, error) {
	how := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		broken := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, soReusePort, 1)
		})
		return errors.Join(broken, err)
	}}
	socket, err := how.ListenPacket(context.Background(), "udp", address)
	if err != nil {
		return nil, err
	}
	return socket.(*net.UDPConn), nil
}
