// Package gossip owns the form in which instances' news travel, and which of what comes is news at all: a version, a kind,
// when it was told in milliseconds, and whole numbers, at most Most bytes together. It must never decide what to make of
// news; what makes no sense, is old or was told before is an error.
package gossip

import (
	"encoding/binary"
	"errors"
	"fawnglade/policy"
	"maps"
	"math"
	"time"
)

// MaxMessageBytes is the length of the longest message.
const MaxMessageBytes = 256

const (
	version           = 1
	kindIdleTime      = 1 // microseconds
	kindEndpointFails = 2 // server, class

	micro, milli = int64(1e3), int64(1e6)

	maxAge        = 2000 * milli // how long ago, or ahead by another clock, news may have been told
	minInterval   = 900 * milli  // nobody tells the same more than once a second; a millisecond is lost in writing
	maxRemembered = 8192         // kept against repeats
)

var (
	errInvalid  = errors.New("news: expected version 1 with a known kind and its numbers")
	errOld      = errors.New("news: told too long ago, or by a clock that is ahead")
	errRepeated = errors.New("news: told before")
	errFull     = errors.New("news: too many at once")
)

// Encode writes down news told now.
func Encode(n policy.GossipMessage, now int64) []byte {
	kind, numbers := byte(kindEndpointFails), []uint64{uint64(now / milli), uint64(n.Endpoint), uint64(n.Class)}
	if n.IdleTime > 0 {
		kind, numbers = kindIdleTime, []uint64{uint64(now / milli), uint64(n.IdleTime / time.Microsecond)}
	}
	message := []byte{version, kind}
	for _, v := range numbers {
		message = binary.AppendUvarint(message, v)
	}
	return message
}

// decode reads news. Whether server and class are known is for the reader to see.
func decode(message []byte) (n policy.GossipMessage, told int64, err error) {
	if len(message) < 2 || len(message) > MaxMessageBytes || message[0] != version {
		return n, 0, errInvalid
	}
	var numbers []uint64
	for rest := message[2:]; len(rest) > 0; {
		v, length := binary.Uvarint(rest)
		if length <= 0 {
			return n, 0, errInvalid
		}
		numbers, rest = append(numbers, v), rest[length:]
	}
	if len(numbers) == 0 || numbers[0] > uint64(math.MaxInt64/milli) {
		return n, 0, errInvalid
	}
	told = int64(numbers[0]) * milli
	switch numbers = numbers[1:]; {
	case message[1] == kindIdleTime && len(numbers) == 1 && numbers[0] > 0 && numbers[0] < 1<<32:
		return policy.GossipMessage{IdleTime: time.Duration(numbers[0]) * time.Microsecond}, told, nil
	case message[1] == kindEndpointFails && len(numbers) == 2 && numbers[0] <= math.MaxUint32 && numbers[1] < math.MaxInt32:
		return policy.GossipMessage{Endpoint: policy.EndpointID(numbers[0]), Class: int(numbers[1])}, told, nil
	}
	return n, 0, errInvalid
}

// what is what a sender told of: how long a connection stood is no other news.
type subject struct {
	from, category int
	server         policy.EndpointID
	idle           bool
}

// Inbox tells news from what is old or was told before. The zero value has met nothing.
type Inbox struct{ lastSent map[subject]int64 }

// Open reads a message that has come from a sender, known by a number of its own.
func (b *Inbox) Open(from int, message []byte, now int64) (policy.GossipMessage, error) {
	n, told, err := decode(message)
	if err != nil {
		return n, err
	}
	if told < now-maxAge || told > now+maxAge {
		return policy.GossipMessage{}, errOld
	}
	of := subject{from, n.Class, n.Endpoint, n.IdleTime > 0}
	if last, met := b.lastSent[of]; met && told < last+minInterval {
		return policy.GossipMessage{}, errRepeated
	}
	if b.lastSent == nil {
		b.lastSent = map[subject]int64{}
	}
	if len(b.lastSent) >= maxRemembered {
		// One that old is rejected for its age alone.
		maps.DeleteFunc(b.lastSent, func(_ subject, told int64) bool { return told < now-maxAge })
		if len(b.lastSent) >= maxRemembered {
			return policy.GossipMessage{}, errFull
		}
	}
	b.lastSent[of] = told
	return n, nil
}
