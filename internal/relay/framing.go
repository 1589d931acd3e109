// Package relay serves internal/distribution over TCP: a server that sends records to subscribers, a client that
// follows one of several upstreams, and the process of an origin or a relay around them. What frames contain, and
// what is made of them, is internal/distribution's.
//
// On the wire the server speaks first, with a greeting. The client then sends one hello, and nothing after it; from
// there on the server sends frames. Greeting, hello and frames each have four bytes of length before them
// (big-endian, in bytes).
package relay

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
)

const (
	lengthBytes     = 4 // of the length before each message
	greetingBytes   = 4 // two bytes of magic, the version, flags
	protocolVersion = 1
	flagFresh       = 1 // the server is complete and not behind its upstream
	greetingMagic   = "fg"
)

var (
	errOversizedFrame = errors.New("a frame over the limit")
	errBadGreeting    = errors.New("not a relay: no greeting of this version")
)

// writeFrame writes a message with its length in a single call.
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
		return 0, fmt.Errorf("%w: %d bytes, %d allowed", errOversizedFrame, n, maxBytes)
	}
	return int(n), nil
}

// greeting returns a server's first message. A client that gets none talks to a stopped process, or to no relay.
func greeting(fresh bool) []byte {
	flags := byte(0)
	if fresh {
		flags |= flagFresh
	}
	return append([]byte(greetingMagic), protocolVersion, flags)
}

// readGreeting reads the greeting of a server, and whether it is fresh. errBadGreeting: it is no relay of this version.
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
