package members

import "math"

// Suspicion (Lifeguard): a node that fails a probe is suspect, and dead when it does not refute in time. The timeout
// starts at three times its least value and falls to it with each node that raises the same suspicion on its own. It
// never ends while a stall of this node may be the cause. A suspicion that came from others alone does not end in
// death here: this node probes the suspect first.

const (
	maxConfirmations              = 3   // independent suspicions that shorten the timeout to its least
	suspicionMultiplier           = 2.5 // rounds of the least timeout, for each factor of ten in the number of nodes
	suspicionMaxTimeoutMultiplier = 3   // the timeout of a suspicion that no other node confirms, in least ones
)

// suspicion is the state of one suspicion.
type suspicion struct {
	fromOwnProbe       bool  // raised by this node's own probe
	startTick, endTick int64 // ticks
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

// confirmSuspicion counts another node that suspects a peer by its own probe.
func (m *Members) confirmSuspicion(p *peer, by uint64) {
	if by == 0 || by == m.id || m.find(by) < 0 {
		return
	}
	for k, confirmedBy := range p.suspicion.confirmedBy {
		if confirmedBy == by {
			return
		}
		if confirmedBy == 0 {
			p.suspicion.confirmedBy[k] = by
			m.setSuspicionTimeout(p)
			return
		}
	}
}

// setSuspicionTimeout sets when a suspicion ends, by the number of nodes that have confirmed it.
func (m *Members) setSuspicionTimeout(p *peer) {
	nodes := len(m.peers) + 1
	least := float64(TicksPerPeriod) * math.Ceil(suspicionMultiplier*math.Log10(float64(nodes+1)))
	most := suspicionMaxTimeoutMultiplier * least
	timeout := least
	if wanted := min(maxConfirmations, nodes-2); wanted > 0 {
		confirmed := math.Log(float64(p.suspicion.confirmations()+1)) / math.Log(float64(wanted+1))
		timeout = max(least, most-(most-least)*confirmed)
	}
	p.suspicion.endTick = max(p.suspicion.startTick+int64(timeout), m.stallGraceUntil)
}

// raiseSuspicion takes in a probe that failed. While this node reaches no other node, the suspicion stays its own: others
// would have to refute it for nothing once the network is back.
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

// expireSuspicions declares suspects dead that did not refute in time.
func (m *Members) expireSuspicions(now int64) {
	for k := 0; k < len(m.suspects); {
		i := int(m.suspects[k])
		p := &m.peers[i]
		switch {
		case m.tick < p.suspicion.endTick || m.stalledRecently():
			k++
		case !p.suspicion.fromOwnProbe:
			m.probeNext(i) // guards against a refutation that was lost on its way here
			p.suspicion.endTick = m.tick + TicksPerPeriod + 2*probeTimeout
			k++
		default:
			m.declareDead(now, i) // which removes it from suspects
		}
	}
}

func (m *Members) declareDead(now int64, i int) {
	p := &m.peers[i]
	m.counters.Failures++
	ownViewOnly := p.localOnly || m.isIsolated()
	m.setState(now, i, Dead)
	p.localOnly = ownViewOnly
	if !ownViewOnly {
		m.broadcast(i)
	}
}

// pingSuspect pings one of the suspects of this node, in turn, so that it learns of the suspicion and can refute it
// even if gossip about it is lost.
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
