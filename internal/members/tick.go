package members

// The schedule of a round of ten ticks. A node's phase comes from its name, so that nodes do not act all at once.

const (
	maxAnswersPerTick = 6 // that others can make this node send

	probePhase       = 0
	firstGossipPhase = 2
	reconnectPhase   = 4
	nextGossipPhase  = 6
	suspectPhase     = 8
)

// Tick is to be called ten times a round, with the time in Unix nanoseconds. Only in it a node acts on its own.
func (m *Members) Tick(now int64) {
	if m.hasLeft {
		return
	}
	m.noteCall(now)
	m.tick++
	m.answersInTick = 0
	if m.isQuiet() {
		return
	}
	m.continueProbes(now)
	m.continueIndirectProbes()
	m.endSuspicions(now)
	switch (m.tick + int64(m.id%TicksPerRound)) % TicksPerRound {
	case probePhase:
		m.beginProbe()
	case firstGossipPhase, nextGossipPhase:
		m.gossipUpdates()
	case reconnectPhase:
		m.reconnect()
		m.forgetConflicts()
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

// mayAnswer bounds what others can make this node send.
func (m *Members) mayAnswer() bool {
	if m.answersInTick >= maxAnswersPerTick {
		m.counters.AnswersWithheld++
		return false
	}
	m.answersInTick++
	return true
}
