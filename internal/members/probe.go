package members

// This file owns what a node does by itself, beat by beat: probing, asking others to probe, calling those that are not up,
// telling what is new. It must never send more than the bounds in the package's head, whatever it has heard.

const (
	secondPing           = 2 // beats after the first ping
	thirdPing            = 4
	firstPingReq         = 5
	secondPingReq        = 8
	probeTimeout         = 13
	nackAfter            = 3 // an asked one says that it had no answer either
	pingReqNodes         = 3
	indirectProbeTimeout = ticksPerRound
)

// probe is a question to one node whether it is there.
type probe struct {
	peer     int
	sequence uint64
	began    int64
	step     int
	helpers  []int
	nacks    int
}

// ask is a probe that another has asked for.
type indirectProbe struct {
	from            int
	requestSequence uint64 // sequence
	sequence        uint64
	target          uint64
	receivedAt      int64
}

var probeSteps = [...]int64{0, secondPing, thirdPing, firstPingReq, secondPingReq, probeTimeout}

// Beat is to be called ten times a round. Nothing else makes this node act by itself.
func (m *Members) Tick(now int64) {
	if m.hasLeft {
		return
	}
	m.noteCall(now)
	m.tick++
	m.answersInTick = 0
	if m.tick < m.quietUntil {
		return
	}
	m.continueProbes(now)
	m.endIndirectProbes()
	m.endSuspicions(now)
	switch (m.tick + int64(m.id%ticksPerRound)) % ticksPerRound {
	case 0:
		m.beginProbe()
	case 2, 6:
		if len(m.broadcasts) > 0 {
			for _, i := range m.randomAlive(1, -1) {
				m.send(i, &message{Kind: gossip})
			}
		}
	case 8:
		m.pingSuspect()
	case 4:
		m.reconnect()
		for i := range m.peers { // a second process of a name shows again and again, an old message does not
			if m.tick%(20*ticksPerRound) < ticksPerRound {
				m.peers[i].conflicts /= 2
			}
		}
	}
}

// begin starts the round's probe.
func (m *Members) beginProbe() {
	if len(m.probes) >= maxProbes {
		return
	}
	for range 2 * len(m.peers) {
		if len(m.probeOrder) == 0 {
			for i := range m.peers {
				m.probeOrder = append(m.probeOrder, int32(i))
			}
			m.random.Shuffle(len(m.probeOrder), func(a, b int) { m.probeOrder[a], m.probeOrder[b] = m.probeOrder[b], m.probeOrder[a] })
		}
		i := int(m.probeOrder[0])
		m.probeOrder = m.probeOrder[1:]
		if s := m.peers[i].state; s == Alive || s == Suspect {
			m.sequence++
			p := &probe{peer: i, sequence: m.sequence, began: m.tick}
			m.probes = append(m.probes, p)
			m.ping(p)
			return
		}
	}
}

func (m *Members) ping(p *probe) {
	p.step++
	m.send(p.peer, m.withDigest(&message{Kind: ping, Sequence: p.sequence}))
}

// tryAgain takes each probe its next step. A node under strain gives the others longer.
func (m *Members) continueProbes(now int64) {
	kept := m.probes[:0]
	for _, p := range m.probes {
		if s := m.peers[p.peer].state; s != Alive && s != Suspect {
			continue
		}
		if m.tick < p.began+probeSteps[p.step]*(4+m.healthScore)/4 {
			kept = append(kept, p)
			continue
		}
		switch probeSteps[p.step] {
		case secondPing, thirdPing:
			m.ping(p)
		case firstPingReq, secondPingReq:
			if probeSteps[p.step] == secondPingReq {
				m.send(p.peer, &message{Kind: ping, Sequence: p.sequence})
			}
			p.step++
			for _, i := range m.randomAlive(pingReqNodes, p.peer) {
				p.helpers = append(p.helpers, i)
				m.send(i, &message{Kind: pingReq, Sequence: p.sequence, Target: m.peers[p.peer].id})
			}
		default:
			m.probeFailed(now, p)
			continue
		}
		kept = append(kept, p)
	}
	m.probes = kept
}

// warn has one that this node doubts hear of it, so that it can say otherwise in time: where much is lost and much is new, the
// others' passing on of the doubt may come too late. 300 nodes with three in ten messages lost took 46 well ones a minute for silent.
func (m *Members) pingSuspect() {
	for range m.suspects {
		i := m.suspects[0]
		m.suspects = append(m.suspects[1:], i) // in turn
		if m.peers[i].suspectedHere {
			m.sequence++
			m.send(int(i), &message{Kind: ping, Sequence: m.sequence})
			return
		}
	}
}

// over notes the end of a probe.
func (m *Members) probeEnded(now int64, answered bool) {
	m.counters.Probes++
	m.lastProbeAt = now
	if m.probeResults = append(m.probeResults, answered); len(m.probeResults) > maxProbeResults {
		m.probeResults = m.probeResults[1:]
	}
	if answered {
		m.healthScore = max(m.healthScore-1, 0)
	}
}

// unanswered raises a doubt, unless this node itself has only just stood still. Where it hears nobody at all the doubt stays
// its own: the others would have to take it back for nothing once the way is mended.
func (m *Members) probeFailed(now int64, p *probe) {
	m.probeEnded(now, false)
	m.counters.FailedProbes++
	if len(p.helpers) > 0 && p.nacks == 0 {
		m.healthScore = min(m.healthScore+1, maxHealthScore) // not even a word from those that were asked
	}
	if m.tick < m.stalledUntil {
		return
	}
	x, alone := &m.peers[p.peer], m.isIsolated()
	switch x.state {
	case Alive:
		m.counters.Suspicions++
		m.setState(now, p.peer, Suspect)
		x.suspectedHere, x.ownViewOnly = true, alone
	case Suspect:
		if x.ownViewOnly && !alone {
			x.ownViewOnly = false
		}
		x.suspectedHere = true
	default:
		return
	}
	if !x.ownViewOnly {
		m.broadcast(p.peer)
	}
}

// endDoubts has those that did not say otherwise in time taken for silent. Where this node has a doubt from others alone it looks for
// itself first: guards against one that heard of a doubt late, and missed that it was taken back.
func (m *Members) endSuspicions(now int64) {
	for k := 0; k < len(m.suspects); {
		i := int(m.suspects[k])
		p := &m.peers[i]
		if m.tick < p.suspicionEnds || m.tick < m.stalledUntil {
			k++
			continue
		}
		if !p.suspectedHere {
			m.probeOrder = append([]int32{int32(i)}, m.probeOrder...)
			p.suspicionEnds = m.tick + ticksPerRound + 2*probeTimeout
			k++
			continue
		}
		m.counters.Deaths++
		own := p.ownViewOnly || m.isIsolated()
		m.setState(now, i, Dead) // takes it off the list
		if p.ownViewOnly = own; !own {
			m.broadcast(i)
		}
	}
}

// call asks after those that are not up, in turn: they may be back, or behind a way that is mended.
func (m *Members) reconnect() {
	for n := 0; n < reconnectsPerRound; n++ {
		if len(m.reconnectOrder) == 0 {
			for i := range m.peers {
				if s := m.peers[i].state; s != Alive && s != Suspect {
					m.reconnectOrder = append(m.reconnectOrder, int32(i))
				}
			}
			m.random.Shuffle(len(m.reconnectOrder), func(a, b int) { m.reconnectOrder[a], m.reconnectOrder[b] = m.reconnectOrder[b], m.reconnectOrder[a] })
		}
		if len(m.reconnectOrder) == 0 {
			return
		}
		i := int(m.reconnectOrder[0])
		m.reconnectOrder = m.reconnectOrder[1:]
		if s := m.peers[i].state; s == Alive || s == Suspect {
			n--
			continue
		}
		m.sequence++
		m.send(i, m.withDigest(&message{Kind: ping, Sequence: m.sequence}))
		if m.peers[i].state != Unknown {
			return
		}
	}
}

// some draws nodes that are up, without one.
func (m *Members) randomAlive(want, without int) []int {
	var out []int
	if len(m.peers) == 0 {
		return nil
	}
	// A few draws find enough while most are up; then all are looked through from a drawn place.
	first := m.random.IntN(len(m.peers))
	for k := range len(m.peers) + 4*want {
		i := m.random.IntN(len(m.peers))
		if k >= 4*want {
			i = (first + k) % len(m.peers)
		}
		taken := i == without || m.peers[i].state != Alive
		for _, o := range out {
			taken = taken || o == i
		}
		if !taken {
			if out = append(out, i); len(out) == want {
				break
			}
		}
	}
	return out
}

// answerAsks tells those that had this node probe that it has no answer either; the answer may still come.
func (m *Members) endIndirectProbes() {
	kept := m.indirectProbes[:0]
	for _, a := range m.indirectProbes {
		if m.tick == a.receivedAt+nackAfter && m.mayAnswer() {
			m.send(a.from, &message{Kind: nack, Sequence: a.requestSequence, Target: a.target})
		}
		if m.tick < a.receivedAt+indirectProbeTimeout {
			kept = append(kept, a)
		}
	}
	m.indirectProbes = kept
}

// mayAnswer holds what others can make this node send within the bound.
func (m *Members) mayAnswer() bool {
	if m.answersInTick >= maxAnswersPerTick {
		m.counters.AnswersWithheld++
		return false
	}
	m.answersInTick++
	return true
}
