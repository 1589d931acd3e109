// Package gossip encodes and decodes the messages that the balancers of nodes exchange, and rejects received messages
// that are invalid, old or repeated. Package policy defines what a message means.
//
// Two other packages also exchange messages between nodes: package members for the membership, and package
// endpointgossip for endpoint lists.
//
// A message consists of a version byte, a kind byte, and varints: the time of sending in Unix milliseconds, and the
// numbers of the kind. It has at most MaxMessageBytes.
package gossip

import (
	"encoding/binary"
	"errors"
	"math"
	"time"

	"fawnglade/policy"
)

// MaxMessageBytes is the maximum length of a message.
const MaxMessageBytes = 256

const (
	version           = 1
	kindIdleTime      = 1 // idle time in microseconds
	kindEndpointFails = 2 // endpoint, class

	nanosPerMilli = int64(time.Millisecond)
)

var (
	errInvalid  = errors.New("gossip: expected version 1 with a known kind and its numbers")
	errOld      = errors.New("gossip: expected a time of sending within 2 s of this node's clock")
	errRepeated = errors.New("gossip: expected a message that was not received before")
	errFull     = errors.New("gossip: too many messages within 2 s")
)

// Encode encodes a message. now is the time of sending, in Unix nanoseconds.
func Encode(m policy.GossipMessage, now int64) []byte {
	sentMs := uint64(now / nanosPerMilli)
	if m.IdleTime > 0 {
		return encode(kindIdleTime, sentMs, uint64(m.IdleTime/time.Microsecond))
	}
	return encode(kindEndpointFails, sentMs, uint64(m.Endpoint), uint64(m.Class))
}

func encode(kind byte, numbers ...uint64) []byte {
	encoded := []byte{version, kind}
	for _, number := range numbers {
		encoded = binary.AppendUvarint(encoded, number)
	}
	return encoded
}

// decode decodes a message and its time of sending, in Unix nanoseconds. It does not check whether the endpoint and the
// class exist.
func decode(encoded []byte) (m policy.GossipMessage, sentAt int64, err error) {
	if len(encoded) < 2 || len(encoded) > MaxMessageBytes || encoded[0] != version {
		return m, 0, errInvalid
	}
	numbers, ok := decodeNumbers(encoded[2:])
	if !ok || len(numbers) == 0 || numbers[0] > uint64(math.MaxInt64/nanosPerMilli) {
		return m, 0, errInvalid
	}
	if m, ok = fromNumbers(encoded[1], numbers[1:]); !ok {
		return m, 0, errInvalid
	}
	return m, int64(numbers[0]) * nanosPerMilli, nil
}

func decodeNumbers(encoded []byte) (numbers []uint64, ok bool) {
	for len(encoded) > 0 {
		number, length := binary.Uvarint(encoded)
		if length <= 0 {
			return nil, false
		}
		numbers = append(numbers, number)
		encoded = encoded[length:]
	}
	return numbers, true
}

func fromNumbers(kind byte, numbers []uint64) (m policy.GossipMessage, ok bool) {
	const maxIdleMicroseconds = 1<<32 - 1
	switch {
	case kind == kindIdleTime && len(numbers) == 1 && numbers[0] > 0 && numbers[0] <= maxIdleMicroseconds:
		m.IdleTime = time.Duration(numbers[0]) * time.Microsecond
		return m, true
	case kind == kindEndpointFails && len(numbers) == 2 && numbers[0] <= math.MaxUint32 && numbers[1] < math.MaxInt32:
		m.Endpoint, m.Class = policy.EndpointID(numbers[0]), int(numbers[1])
		return m, true
	}
	return m, false
}
