package members

import "slices"

// Local health awareness (Lifeguard): a node that stalls, receives neither acks nor nacks for a probe, or has to refute
// a suspicion may itself be the cause. Each of these raises its local health score, from 0 (healthy) to maxHealthScore;
// a higher score lengthens the timeouts of its probes.

const (
	maxHealthScore  = 8
	stallPenalty    = 2
	stallGraceTicks = 3 * TicksPerPeriod // after a stall; meanwhile no suspicion is raised or expires
	isolationProbes = 8                  // latest probes that must all have failed for the node to count as isolated
	maxProbeResults = 32
)

// detectStall records the time of a call. If the previous call was more than half a protocol period ago, the process
// has stalled: the probes in progress are dropped, because the missing answers may be waiting in the socket buffer.
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

// stalledRecently reports whether a recent stall of this process may be the cause of missing answers.
func (m *Members) stalledRecently() bool { return m.tick < m.stallGraceUntil }

// isIsolated reports whether none of the last isolationProbes probes was answered, directly or indirectly.
func (m *Members) isIsolated() bool {
	required := min(isolationProbes, len(m.peers))
	if len(m.probeResults) < required {
		return false
	}
	return !slices.Contains(m.probeResults[len(m.probeResults)-required:], true)
}

// recordProbeResult records whether a probe was answered; an answered one lowers the health score.
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

// scaleByHealth returns a probe timeout in ticks, lengthened by a quarter for each point of the health score.
func (m *Members) scaleByHealth(ticks int64) int64 { return ticks * (4 + m.healthScore) / 4 }
