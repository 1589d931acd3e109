package members

import "math"

// Piggybacking: each datagram carries the states that changed last, up to maxUpdates. A state is sent a number of times
// that grows with the logarithm of the number of nodes.

const (
	maxUpdates         = 22 // in a datagram, each under 48 bytes
	maxPayloadUpdates  = 1  // beside a payload
	transmitMultiplier = 4
)

// broadcast queues a peer's state for the next datagrams.
func (m *Members) broadcast(i int) {
	p := &m.peers[i]
	p.transmitsLeft = int8(transmitMultiplier * math.Ceil(math.Log10(float64(len(m.peers)+2))))
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
		room = maxPayloadUpdates
	}
	if receiver.state > Alive && !receiver.ownViewOnly && len(msg.Updates) < room {
		msg.Updates = append(msg.Updates, m.updateOf(to))
	}
	if msg.Kind != payload {
		m.piggyback(msg)
	}
	datagram := encode(m.config.Key, msg)
	m.counters.Sent++
	m.counters.SentBytes += int64(len(datagram))
	m.transport.Send(int(receiver.place), datagram)
}

// piggyback adds queued states, each of them once, while there is room.
func (m *Members) piggyback(msg *message) {
	for queued := len(m.broadcasts); queued > 0 && len(msg.Updates) < maxUpdates; queued-- {
		i := m.broadcasts[0]
		m.broadcasts = m.broadcasts[1:]
		p := &m.peers[i]
		if p.transmitsLeft > 0 && !p.ownViewOnly {
			p.transmitsLeft--
			msg.Updates = append(msg.Updates, m.updateOf(int(i)))
		}
		p.queued = p.transmitsLeft > 0 && !p.ownViewOnly
		if p.queued {
			m.broadcasts = append(m.broadcasts, i)
		}
	}
}
