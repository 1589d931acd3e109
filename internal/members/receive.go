package members

import "errors"

// Receive handles a datagram that arrived at now, in Unix nanoseconds. The sender is identified by the node ID in the
// datagram, not by the address that it came from; responses are sent only to the configured address of that node.
func (m *Members) Receive(now int64, datagram []byte) {
	if m.hasLeft {
		return
	}
	m.detectStall(now)
	m.counters.Received++
	m.counters.ReceivedBytes += int64(len(datagram))
	msg, err := decode(m.config.Key, datagram)
	if errors.Is(err, errVersion) {
		m.counters.UnknownVersions++
		return
	}
	if err != nil || !msg.valid() {
		m.counters.Invalid++
		return
	}
	from, ok := m.senderOf(msg)
	if !ok {
		return
	}
	m.applyUpdate(now, msg.Self, true)
	for _, u := range msg.Updates {
		m.applyUpdate(now, u, false)
	}
	p := &m.peers[from]
	if p.incarnation != msg.Self.incarnation() || p.runID != msg.Self.RunID {
		m.notifyStaleSender(from)
		return
	}
	p.lastReceivedAt = now
	if !m.isQuiet() {
		m.handleMessage(now, from, msg)
	}
}

// valid reports whether a node could have sent the message.
func (msg *message) valid() bool {
	senderState := msg.Self.State == Alive || msg.Self.State == Left
	return senderState && msg.Self.valid() && len(msg.Updates) <= maxUpdates
}

// senderOf returns the peer that has sent a message. ok is false if the message is not for this node or not from a
// peer.
func (m *Members) senderOf(msg *message) (from int, ok bool) {
	if msg.To != m.id {
		m.counters.Misdirected++
		return -1, false
	}
	if msg.Self.ID == m.id { // a reflected datagram, or another process of this name
		m.counters.Misdirected++
		m.refute(msg.Self)
		return -1, false
	}
	from = m.find(msg.Self.ID)
	if from < 0 {
		m.counters.UnknownNodes++
	}
	return from, from >= 0
}

// notifyStaleSender responds to a message of an earlier run of a node, or of another process of its name. It sends only
// the state that this node has for the sender, so that the sender can refute it.
func (m *Members) notifyStaleSender(from int) {
	if !m.isQuiet() && m.allowResponse() {
		m.send(from, &message{Kind: gossip, Updates: []update{m.updateOf(from)}})
	}
}

// handleMessage handles a message by its kind.
func (m *Members) handleMessage(now int64, from int, msg *message) {
	switch msg.Kind {
	case ping:
		m.handlePing(from, msg)
	case ack:
		m.latestKnownStartMs = max(m.latestKnownStartMs, msg.KnownStartMs)
		m.handleAck(now, from, msg)
		if m.digestDiffers(msg) && m.allowResponse() {
			m.send(from, &message{Kind: pushPull, Updates: m.bucketUpdates(msg.Bucket)})
		}
	case pingReq:
		m.handlePingReq(from, msg)
	case nack:
		m.handleNack(msg)
	case payload:
		if m.config.ReceivePayload != nil {
			m.config.ReceivePayload(int(m.peers[from].nodeIndex), msg.Payload)
		}
	}
}

// handlePing sends an ack. If the digests of the bucket differ, the ack carries the states of that bucket.
func (m *Members) handlePing(from int, msg *message) {
	if !m.allowResponse() {
		return
	}
	reply := &message{Kind: ack, Sequence: msg.Sequence, KnownStartMs: m.peers[from].priorStartMs}
	if m.digestDiffers(msg) {
		reply.Buckets, reply.Bucket, reply.Digest = msg.Buckets, msg.Bucket, m.digest(msg.Bucket)
		reply.Updates = m.bucketUpdates(msg.Bucket)
	}
	m.send(from, reply)
}
