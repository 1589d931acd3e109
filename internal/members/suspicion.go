package members

import "math"

// Suspicion (Lifeguard): a node that fails a probe becomes suspect, and dead if it doesn't refute the suspicion before
// a timeout. The timeout starts at three times its minimum and is reduced towards the minimum by each further node that
// suspects the same node by a probe of its own (a confirmation). It doesn't expire while a stall of this node may be
// the cause. This node never declares a node dead only because other nodes suspect it: it probes the suspect first.

const (
	maxConfirmations              = 3   // number of confirmations that reduce the timeout to its minimum
	suspicionMultiplier           = 2.5 // minimum timeout in protocol periods, per factor of ten in the number of nodes
	suspicionMaxTimeoutMultiplier = 3   // ratio of the timeout without confirmations to the minimum timeout
)

// suspicion is the state of the suspicion of a peer.
type suspicion struct {
	fromOwnProbe       bool // raised by a failed probe of this node
	startTick, endTick int64
	confirmedBy        [maxConfirmations]uint64
}

func (s *suspicion) confirmations() (n int) {
	for _, id := range s.confirmedBy {
		if id != 0 {
			n++
		}
	}
	return n
}

// confirmSuspicion records that another node suspects a peer by its own probe.
func (m *Members) confirmSuspicion(p *peer, suspectedBy uint64) {
	if suspectedBy == 0 || suspectedBy == m.id || m.find(suspectedBy) < 0 {
		return
	}
	for k, confirmedBy := range p.suspicion.confirmedBy {
		if confirmedBy == suspectedBy {
			return
		}
		if confirmedBy == 0 {
			p.suspicion.confirmedBy[k] = suspectedBy
			m.setSuspicionTimeout(p)
			return
		}
	}
}

// setSuspicionTimeout sets when a suspicion expires, by the number of its confirmations.
func (m *Members) setSuspicionTimeout(p *peer) {
	nodes := len(m.peers) + 1
	minTimeout := float64(TicksPerPeriod) * math.Ceil(suspicionMultiplier*math.Log10(float64(nodes+1)))
	maxTimeout := suspicionMaxTimeoutMultiplier * minTimeout
	timeout := minTimeout
	if expectedConfirmations := min(maxConfirmations, nodes-2); expectedConfirmations > 0 {
		confirmedFraction := math.Log(float64(p.suspicion.confirmations()+1)) / math.Log(float64(expectedConfirmations+1))
		timeout = max(minTimeout, maxTimeout-(maxTimeout-minTimeout)*confirmedFraction)
	}
	p.suspicion.endTick = max(p.suspicion.startTick+int64(timeout), m.stallGraceUntil)
}

// raiseSuspicion makes a peer suspect after a failed probe. While this node is isolated, the suspicion is not gossiped:
// otherwise the peer would have to refute it once the network recovers, although this node was the cause.
func (m *Members) raiseSuspicion(now int64, i int) {
	p := &m.peers[i]
	isolated := m.isIsolated()
	switch p.state {
	case Alive:
		m.counters.Suspicions++
		m.setState(now, i, Suspect)
		p.localOnly = isolated
	case Suspect:
		if !isolated {
			p.localOnly = false
		}
	default:
		return
	}
	p.suspicion.fromOwnProbe = true
	if !p.localOnly {
		m.broadcast(i)
	}
}

// expireSuspicions declares suspects dead whose suspicion has timed out.
func (m *Members) expireSuspicions(now int64) {
	for k := 0; k < len(m.suspects); {
		i := int(m.suspects[k])
		p := &m.peers[i]
		switch {
		case m.tick < p.suspicion.endTick || m.stalledRecently():
			k++
		case !p.suspicion.fromOwnProbe:
			m.probeNext(i) // in case a refutation to this node was lost
			p.suspicion.endTick = m.tick + TicksPerPeriod + 2*probeTimeout
			k++
		default:
			m.declareDead(now, i) // removes it from m.suspects
		}
	}
}

func (m *Members) declareDead(now int64, i int) {
	p := &m.peers[i]
	m.counters.Failures++
	localOnly := p.localOnly || m.isIsolated()
	m.setState(now, i, Dead)
	p.localOnly = localOnly
	if !localOnly {
		m.broadcast(i)
	}
}

// pingSuspect pings one of the nodes that this node suspects by its own probe, in turn. The ping carries the suspicion,
// so that the suspect can refute it even if gossip about it is lost.
func (m *Members) pingSuspect() {
	for range m.suspects {
		i := m.suspects[0]
		m.suspects = append(m.suspects[1:], i)
		if m.peers[i].suspicion.fromOwnProbe {
			m.sequence++
			m.send(int(i), &message{Kind: ping, Sequence: m.sequence})
			return
		}
	}
}
