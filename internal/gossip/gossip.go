// Package gossip encodes the messages that the decisions of nodes send one another, and rejects received ones that are
// invalid, old or repeated. What a message means is for package policy to decide.
//
// Two other packages exchange messages between nodes: package members which nodes are alive, and package endpointgossip
// endpoint lists.
//
// A message is a version, a kind, the time when it was sent in Unix milliseconds, and the kind's numbers as varints;
// together at most MaxMessageBytes.
package gossip

import (
	"encoding/binary"
	"errors"
	"math"
	"time"

	"fawnglade/policy"
)

// MaxMessageBytes is the length of the longest message.
const MaxMessageBytes = 256

const (
	version           = 1
	kindIdleTime      = 1 // idle time in microseconds
	kindEndpointFails = 2 // endpoint, class

	nanosPerMilli = int64(time.Millisecond)
)

var (
	errInvalid  = errors.New("gossip: expected version 1 with a known kind and its numbers")
	errOld      = errors.New("gossip: sent too long ago, or by a clock that is ahead")
	errRepeated = errors.New("gossip: repeated")
	errFull     = errors.New("gossip: too many messages at once")
)

// Encode encodes a message that is sent now, in Unix nanoseconds.
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

// decode decodes a message and the time when it was sent, in Unix nanoseconds. It does not know which endpoints and
// classes there are.
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
