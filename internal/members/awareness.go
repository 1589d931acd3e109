package members

import "slices"

// Local health awareness (Lifeguard): a node that stalls, fails probes for lack of any answer, or has to refute, takes
// its own trouble for a possible cause. Its health score, 0 (healthy) to maxHealthScore, stretches its probes.

const (
	maxHealthScore  = 8
	stallPenalty    = 2
	stallGraceTicks = 3 * TicksPerPeriod // after a stall, in which no suspicion is raised or ends
	isolationProbes = 8                  // that show whether this node reaches anybody
	maxProbeResults = 32
)

// detectStall takes in the time of a call. If none came for half a round, the process has stalled: what was in progress is
// dropped, as the answers that are missing may be waiting to be read.
func (m *Members) detectStall(now int64) {
	if now-m.lastCallAt > m.config.ProtocolPeriodNs/2 {
		m.counters.Stalls++
		m.healthScore = min(m.healthScore+stallPenalty, maxHealthScore)
		m.stallGraceUntil = m.tick + stallGraceTicks
		m.probes, m.indirectProbes = nil, nil
		for _, i := range m.suspects {
			s := &m.peers[i].suspicion
			s.endTick = max(s.endTick, m.stallGraceUntil)
		}
	}
	m.lastCallAt = now
}

// stalledRecently reports whether a stall of this process may be the cause of what it sees.
func (m *Members) stalledRecently() bool { return m.tick < m.stallGraceUntil }

// isIsolated reports whether none of the last probes was answered, directly or indirectly.
func (m *Members) isIsolated() bool {
	wanted := min(isolationProbes, len(m.peers))
	if len(m.probeResults) < wanted {
		return false
	}
	return !slices.Contains(m.probeResults[len(m.probeResults)-wanted:], true)
}

// recordProbeResult notes the result of a probe.
func (m *Members) recordProbeResult(now int64, answered bool) {
	m.counters.Probes++
	m.lastProbeAt = now
	m.probeResults = append(m.probeResults, answered)
	if len(m.probeResults) > maxProbeResults {
		m.probeResults = m.probeResults[1:]
	}
	if answered {
		m.healthScore = max(m.healthScore-1, 0)
	}
}

// stretch is a time of a probe in ticks, longer with a higher health score.
func (m *Members) scaleByHealth(ticks int64) int64 { return ticks * (4 + m.healthScore) / 4 }
