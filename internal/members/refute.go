package members

// Refutation: a node that is said to be suspect, dead or left sends a higher incarnation. Two processes of one name
// (a name conflict) each raise their incarnation above the other's again and again. After conflictThreshold such claims
// the one with the higher run ID keeps the name, and the other sends nothing for conflictQuietTicks.

const (
	conflictThreshold     = 3   // claims of another process, or conflicting datagrams, that show a second process
	maxConflicts          = 250 // counted
	conflictQuietTicks    = 20 * TicksPerPeriod
	conflictHalfLifeTicks = 20 * TicksPerPeriod // after which counted conflicts are halved
)

// refute takes in an update about this node.
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

// yieldsNameTo counts the claims of another process of this name, and reports whether this one has to give up the name.
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

// isQuiet reports whether this process sends nothing, as another has its name.
func (m *Members) isQuiet() bool { return m.tick < m.quietUntil }

// NameConflict reports whether another process has this node's name.
func (m *Members) NameConflict() bool { return m.conflictClaims >= conflictThreshold || m.isQuiet() }

// decayConflicts lets the conflicts of a delayed datagram fade; those of a second process come again and again.
func (m *Members) decayConflicts() {
	if m.tick%conflictHalfLifeTicks >= TicksPerPeriod {
		return
	}
	for i := range m.peers {
		m.peers[i].conflicts /= 2
	}
}
