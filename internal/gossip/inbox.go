package gossip

import (
	"maps"

	"fawnglade/policy"
)

const (
	maxAge        = 2000 * nanosPerMilli // of a message; also how far the sender's clock may be ahead
	minInterval   = 900 * nanosPerMilli  // between messages of one key; a node sends one per second at most
	maxRemembered = 8192                 // keys
)

// messageKey identifies the sender and the subject of a message. All idle times of a sender have the same key.
type messageKey struct {
	from, class int
	endpoint    policy.EndpointID
	idleTime    bool
}

// Inbox accepts each message once. The zero value is ready for use. An Inbox is not safe for concurrent use.
type Inbox struct{ lastSent map[messageKey]int64 }

// Open decodes a message that was received from the sender with the given number, at a time in Unix nanoseconds. It
// returns an error if the message is invalid, old or repeated, or if too many messages are remembered.
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

// makeRoom ensures that another key can be remembered, if necessary by deleting keys whose messages would now be
// rejected for their age. It returns false if there are still too many.
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
