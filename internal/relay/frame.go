// Package relay is the TCP shell of internal/distribution: a server that hands records out, a client that follows one of several
// upstreams, and the process of an origin or a relay around them. What is sent, kept and believed is internal/distribution's.
//
// On the wire: the server speaks first, with a greeting; the client then sends one hello, and nothing after it; from there on the
// server sends frames. Greeting, hello and frames are each a length (4 bytes, big-endian, in bytes) and so many bytes.
package relay

// This file owns the framing. It must never look into a frame, nor hold more of one than it was allowed.

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
)

const (
	lengthBytes     = 4
	greetingBytes   = 4
	protocolVersion = 1
	flagFresh       = 1 // the server has all it should have, and is not behind
)

var (
	errOversizedFrame = errors.New("a frame over the limit")
	errBadGreeting    = errors.New("not a relay: no greeting of this version")
)

// writeFrame sends one frame in a single call.
func writeFrame(w io.Writer, frame []byte) error {
	var head [lengthBytes]byte
	binary.BigEndian.PutUint32(head[:], uint32(len(frame)))
	parts := net.Buffers{head[:], frame}
	_, err := parts.WriteTo(w)
	return err
}

// readHead reads the length of the next frame.
func readLength(r io.Reader, most int) (size int, err error) {
	var head [lengthBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, err
	}
	if n := binary.BigEndian.Uint32(head[:]); n > uint32(most) {
		return 0, fmt.Errorf("%w: %d bytes, %d allowed", errOversizedFrame, n, most)
	} else {
		return int(n), nil
	}
}

// greeting is what a server says first: a client that gets none talks to a frozen process, or to no relay.
func greeting(fresh bool) []byte {
	g := []byte{'f', 'g', protocolVersion, 0}
	if fresh {
		g[3] |= flagFresh
	}
	return g
}

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
	if g[0] != 'f' || g[1] != 'g' || g[2] != protocolVersion {
		return false, errBadGreeting
	}
	return g[3]&flagFresh != 0, nil
}
