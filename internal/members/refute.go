package members

// Refutation: a node that receives an update in which it is suspect, dead or left raises its incarnation. In a name
// conflict, two processes with the same name keep raising their incarnations above each other's. After
// conflictThreshold such claims the process with the higher run ID keeps the name, and the other sends nothing for
// conflictQuietTicks.

const (
	conflictThreshold     = 3   // claims, or conflicting datagrams, after which a second process is assumed
	maxConflicts          = 250 // upper limit of peer.conflicts
	conflictQuietTicks    = 20 * TicksPerPeriod
	conflictHalfLifeTicks = 20 * TicksPerPeriod // interval at which peer.conflicts is halved
)

// refute handles an update about this node: it raises the incarnation above the update's if the update is wrong.
func (m *Members) refute(u update) {
	if u.incarnation() < m.incarnation || m.isQuiet() {
		return
	}
	if u.RunID != m.config.RunID {
		if m.yieldsNameTo(u) {
			return
		}
	} else {
		if u.State == Alive && u.incarnation() == m.incarnation {
			return
		}
		m.counters.Refutations++
		if m.healthScore < maxHealthScore && u.State == Suspect {
			m.healthScore++
		}
	}
	m.incarnation = u.incarnation() + 1
}

// yieldsNameTo counts the claims of another process to this node's name, and reports whether this process must yield
// it.
func (m *Members) yieldsNameTo(u update) bool {
	if m.conflictRunID != u.RunID {
		m.conflictRunID, m.conflictClaims, m.conflictIncarnation = u.RunID, 0, 0
	}
	if u.incarnation() > m.conflictIncarnation {
		m.conflictIncarnation = u.incarnation()
		m.conflictClaims++
	}
	if m.conflictClaims < conflictThreshold || m.config.RunID >= u.RunID {
		return false
	}
	m.quietUntil = m.tick + conflictQuietTicks
	return true
}

// isQuiet reports whether this process sends nothing because it has yielded its name to another process.
func (m *Members) isQuiet() bool { return m.tick < m.quietUntil }

// NameConflict reports whether another process uses this node's name.
func (m *Members) NameConflict() bool { return m.conflictClaims >= conflictThreshold || m.isQuiet() }

// decayConflicts halves the conflict counts of peers from time to time, so that delayed datagrams are forgotten while
// those of a second process keep adding up.
func (m *Members) decayConflicts() {
	if m.tick%conflictHalfLifeTicks >= TicksPerPeriod {
		return
	}
	for i := range m.peers {
		m.peers[i].conflicts /= 2
	}
}
