package members

import "math"

// Piggybacking: each datagram carries the states that changed last, up to maxUpdates. A state is sent a number of times
// that grows with the logarithm of the number of nodes.

const (
	maxUpdates            = 22 // in a datagram, each under 48 bytes
	maxUpdatesWithPayload = 1  // beside a payload
	retransmitMultiplier  = 4
)

// broadcast queues a peer's state for the next datagrams.
func (m *Members) broadcast(i int) {
	p := &m.peers[i]
	p.retransmitsRemaining = int8(retransmitMultiplier * math.Ceil(math.Log10(float64(len(m.peers)+2))))
	if !p.queued {
		p.queued = true
		m.broadcasts = append(m.broadcasts, int32(i))
	}
}

// send adds queued states to a message and sends it. What is known of the receiver comes first, so that it can refute.
func (m *Members) send(to int, msg *message) {
	receiver := &m.peers[to]
	msg.To = receiver.id
	msg.Self = m.selfUpdate()
	room := maxUpdates
	if msg.Kind == payload {
		room = maxUpdatesWithPayload
	}
	if receiver.state > Alive && !receiver.localOnly && len(msg.Updates) < room {
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

// piggyback adds queued states, each of them once, while there is room.
func (m *Members) piggyback(msg *message) {
	for queued := len(m.broadcasts); queued > 0 && len(msg.Updates) < maxUpdates; queued-- {
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
