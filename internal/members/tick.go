package members

// The schedule of a protocol period. Each node's phase depends on the hash of its name, so that nodes don't all send at
// the same time.

const (
	maxResponsesPerTick = 6 // to messages of other nodes

	probePhase        = 0
	firstGossipPhase  = 2
	reconnectPhase    = 4
	secondGossipPhase = 6
	suspectPhase      = 8
)

// Tick must be called TicksPerPeriod times per protocol period, with the time in Unix nanoseconds. Apart from Leave and
// SendPayload, it is the only call in which the node initiates messages.
func (m *Members) Tick(now int64) {
	if m.hasLeft {
		return
	}
	m.detectStall(now)
	m.tick++
	m.responsesInTick = 0
	if m.isQuiet() {
		return
	}
	m.advanceProbes(now)
	m.advanceIndirectProbes()
	m.expireSuspicions(now)
	switch (m.tick + int64(m.id%TicksPerPeriod)) % TicksPerPeriod {
	case probePhase:
		m.startProbe()
	case firstGossipPhase, secondGossipPhase:
		m.gossipUpdates()
	case reconnectPhase:
		m.reconnect()
		m.decayConflicts()
	case suspectPhase:
		m.pingSuspect()
	}
}

// gossipUpdates sends queued states, if there are any, to a random alive node.
func (m *Members) gossipUpdates() {
	if len(m.broadcasts) == 0 {
		return
	}
	for _, i := range m.randomAlive(1, -1) {
		m.send(i, &message{Kind: gossip})
	}
}

// allowResponse reports whether another response may be sent in this tick. It counts those that may not.
func (m *Members) allowResponse() bool {
	if m.responsesInTick >= maxResponsesPerTick {
		m.counters.RateLimited++
		return false
	}
	m.responsesInTick++
	return true
}
