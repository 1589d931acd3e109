package gossip

import (
	"maps"

	"fawnglade/policy"
)

const (
	maxAge        = 2000 * nanosPerMilli // of a message, and how far another clock may be ahead
	minInterval   = 900 * nanosPerMilli  // between messages of one key, which are sent every second at most
	maxRemembered = 8192                 // keys
)

// messageKey is what a message is about and who sent it. Idle times of a sender have one key, whatever their
// length.
type messageKey struct {
	from, class int
	endpoint    policy.EndpointID
	idleTime    bool
}

// Inbox accepts each message once. The zero value has accepted none. An Inbox is not safe for concurrent use.
type Inbox struct{ lastSent map[messageKey]int64 }

// Open decodes a message that has come from a sender, which is known by a number, at a time in Unix nanoseconds. It
// fails if the message is invalid, old or repeated.
func (b *Inbox) Open(from int, encoded []byte, now int64) (policy.GossipMessage, error) {
	m, sentAt, err := decode(encoded)
	if err != nil {
		return m, err
	}
	if sentAt < now-maxAge || sentAt > now+maxAge {
		return policy.GossipMessage{}, errOld
	}
	key := messageKey{from, m.Class, m.Endpoint, m.IdleTime > 0}
	if last, known := b.lastSent[key]; known && sentAt < last+minInterval {
		return policy.GossipMessage{}, errRepeated
	}
	if !b.makeRoom(now) {
		return policy.GossipMessage{}, errFull
	}
	b.lastSent[key] = sentAt
	return m, nil
}

// makeRoom forgets keys whose messages would be rejected for their age alone, if there are too many; false: there
// still are.
func (b *Inbox) makeRoom(now int64) bool {
	if b.lastSent == nil {
		b.lastSent = map[messageKey]int64{}
	}
	if len(b.lastSent) < maxRemembered {
		return true
	}
	maps.DeleteFunc(b.lastSent, func(_ messageKey, sentAt int64) bool { return sentAt < now-maxAge })
	return len(b.lastSent) < maxRemembered
}
