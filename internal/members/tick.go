package members

// The schedule of a round of ten ticks. A node's phase comes from its name, so that nodes do not act all at once.

const (
	maxResponsesPerTick = 6 // that others can make this node send

	probePhase        = 0
	firstGossipPhase  = 2
	reconnectPhase    = 4
	secondGossipPhase = 6
	suspectPhase      = 8
)

// Tick is to be called ten times a round, with the time in Unix nanoseconds. Only in it a node acts on its own.
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

// gossipUpdates sends a random node the states that changed last, if any did.
func (m *Members) gossipUpdates() {
	if len(m.broadcasts) == 0 {
		return
	}
	for _, i := range m.randomAlive(1, -1) {
		m.send(i, &message{Kind: gossip})
	}
}

// allowResponse bounds what others can make this node send.
func (m *Members) allowResponse() bool {
	if m.responsesInTick >= maxResponsesPerTick {
		m.counters.RateLimited++
		return false
	}
	m.responsesInTick++
	return true
}
