package members

import "math"

// Piggybacking: each datagram carries up to maxUpdates of the states that changed last. Each state is sent a number of
// times that grows with the logarithm of the number of nodes.

const (
	maxUpdates            = 22 // in a datagram; each takes less than 48 bytes
	maxUpdatesWithPayload = 1  // in a datagram that carries a payload
	retransmitMultiplier  = 4
)

// broadcast queues a peer's state to be piggybacked on the next datagrams.
func (m *Members) broadcast(i int) {
	p := &m.peers[i]
	p.retransmitsRemaining = int8(retransmitMultiplier * math.Ceil(math.Log10(float64(len(m.peers)+2))))
	if !p.queued {
		p.queued = true
		m.broadcasts = append(m.broadcasts, int32(i))
	}
}

// send adds queued states to a message and sends it. The receiver's own state comes first if it is suspect, dead or
// left, so that the receiver can refute it.
func (m *Members) send(to int, msg *message) {
	receiver := &m.peers[to]
	msg.To = receiver.id
	msg.Self = m.selfUpdate()
	maxCount := maxUpdates
	if msg.Kind == payload {
		maxCount = maxUpdatesWithPayload
	}
	if receiver.state > Alive && !receiver.localOnly && len(msg.Updates) < maxCount {
		msg.Updates = append(msg.Updates, m.updateOf(to))
	}
	if msg.Kind != payload {
		m.piggyback(msg)
	}
	datagram := encode(m.config.Key, msg)
	m.counters.Sent++
	m.counters.SentBytes += int64(len(datagram))
	m.transport.Send(int(receiver.nodeIndex), datagram)
}

// piggyback adds queued states to a message, each at most once, up to maxUpdates.
func (m *Members) piggyback(msg *message) {
	for remaining := len(m.broadcasts); remaining > 0 && len(msg.Updates) < maxUpdates; remaining-- {
		i := m.broadcasts[0]
		m.broadcasts = m.broadcasts[1:]
		p := &m.peers[i]
		if p.retransmitsRemaining > 0 && !p.localOnly {
			p.retransmitsRemaining--
			msg.Updates = append(msg.Updates, m.updateOf(int(i)))
		}
		p.queued = p.retransmitsRemaining > 0 && !p.localOnly
		if p.queued {
			m.broadcasts = append(m.broadcasts, i)
		}
	}
}
