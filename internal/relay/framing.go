// Package relay implements the TCP transport of internal/distribution: a server that sends records to subscribers, a
// client that follows one of several upstreams, and the origin and relay processes that use them. The content of frames
// is defined and processed by internal/distribution.
//
// The server sends the first message, a greeting. The client then sends one hello and nothing more; from then on the
// server sends frames. Greeting, hello and frames are each preceded by their length in bytes, as four bytes in
// big-endian order.
package relay

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
)

const (
	lengthBytes     = 4 // size of the length before each message
	greetingBytes   = 4 // two bytes of magic, one of version, one of flags
	protocolVersion = 1
	flagFresh       = 1 // the server is complete and doesn't lag behind its upstream
	greetingMagic   = "fg"
)

var (
	errOversizedFrame = errors.New("message exceeds the size limit")
	errBadGreeting    = errors.New("peer is not a relay of this protocol version: invalid greeting")
)

// writeFrame writes the length of a message and the message in a single call.
func writeFrame(w io.Writer, frame []byte) error {
	var length [lengthBytes]byte
	binary.BigEndian.PutUint32(length[:], uint32(len(frame)))
	parts := net.Buffers{length[:], frame}
	_, err := parts.WriteTo(w)
	return err
}

// readLength reads the length of the next message. An error wraps errOversizedFrame if it is over maxBytes.
func readLength(r io.Reader, maxBytes int) (int, error) {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		return 0, err
	}
	n := binary.BigEndian.Uint32(length[:])
	if n > uint32(maxBytes) {
		return 0, fmt.Errorf("%w: found %d bytes, expected at most %d", errOversizedFrame, n, maxBytes)
	}
	return int(n), nil
}

// greeting returns a server's first message. It lets a client detect that the peer is a stopped process or not a relay.
func greeting(fresh bool) []byte {
	flags := byte(0)
	if fresh {
		flags |= flagFresh
	}
	return append([]byte(greetingMagic), protocolVersion, flags)
}

// readGreeting reads the greeting of a server and returns whether the server is fresh. It returns errBadGreeting if the
// peer is not a relay of this protocol version.
func readGreeting(r io.Reader) (fresh bool, err error) {
	size, err := readLength(r, greetingBytes)
	if errors.Is(err, errOversizedFrame) || err == nil && size != greetingBytes {
		return false, errBadGreeting
	}
	if err != nil {
		return false, err
	}
	var g [greetingBytes]byte
	if _, err := io.ReadFull(r, g[:]); err != nil {
		return false, err
	}
	if string(g[:2]) != greetingMagic || g[2] != protocolVersion {
		return false, errBadGreeting
	}
	return g[3]&flagFresh != 0, nil
}
