// Package news owns the form in which instances' news travel: a version, a kind, and whole numbers of up to ten bytes,
// at most Most bytes together. It must never decide what to make of news; what makes no sense is an error.
package news

import (
	"encoding/binary"
	"errors"
	"math"

	"fawnglade/policy"
)

// Most is the length of the longest message.
const Most = 256

const (
	version = 1
	idle    = 1 // microseconds
	fails   = 2 // server, category

	micro       = 1000
	longestIdle = 3600e6 // in microseconds; longer makes no sense
)

var errNonsense = errors.New("news: expected version 1 with a known kind and its numbers")

// Encode writes news down.
func Encode(n policy.News) []byte {
	if n.Idle > 0 {
		return binary.AppendUvarint([]byte{version, idle}, uint64(n.Idle/micro))
	}
	return binary.AppendUvarint(binary.AppendUvarint([]byte{version, fails}, uint64(n.Server)), uint64(n.Category))
}

// Decode reads news. Whether server and category are known is for the reader to see.
func Decode(message []byte) (policy.News, error) {
	if len(message) < 3 || len(message) > Most || message[0] != version {
		return policy.News{}, errNonsense
	}
	first, n := binary.Uvarint(message[2:])
	if n <= 0 {
		return policy.News{}, errNonsense
	}
	rest := message[2+n:]
	switch message[1] {
	case idle:
		if first > 0 && first <= longestIdle && len(rest) == 0 {
			return policy.News{Idle: int64(first) * micro}, nil
		}
	case fails:
		if category, m := binary.Uvarint(rest); m > 0 && m == len(rest) && first <= math.MaxUint32 && category < math.MaxInt32 {
			return policy.News{Server: policy.ServerID(first), Category: int(category)}, nil
		}
	}
	return policy.News{}, errNonsense
}
