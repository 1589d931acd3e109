package members

import "slices"

// Probes: each round one node in turn is pinged. If no ack comes, it is pinged again, then others are asked to ping it
// (ping-req). Without any ack in time the probe has failed. A node that was asked and gets no ack itself says so
// (nack): no nack either means that this node's own link is the likely cause.

const (
	maxProbes         = 2  // at a time
	maxIndirectProbes = 64 // for others, at a time
	pingReqNodes      = 3  // asked at each ping-req

	// Ticks after a probe began.
	secondPing    = 2
	thirdPing     = 4
	firstPingReq  = 5
	secondPingReq = 8
	probeTimeout  = 13

	// Ticks after a ping-req came.
	nackAfter            = 3
	indirectProbeTimeout = TicksPerPeriod

	// reconnectsPerPeriod is how many nodes that are not alive are pinged in a round while some are unknown; else it is
	// one.
	reconnectsPerPeriod = 3
)

// probe is a probe of this node's own.
type probe struct {
	peer         int
	sequence     uint64
	startTick    int64 // tick
	nextStep     int   // next in probeSteps
	pingReqPeers []int // peers that were sent a ping-req
	nacks        int
}

var probeSteps = [...]int64{0, secondPing, thirdPing, firstPingReq, secondPingReq, probeTimeout}

// indirectProbe is a probe that another node has asked for.
type indirectProbe struct {
	from            int
	requestSequence uint64
	sequence        uint64 // of the ping
	target          uint64
	receivedTick    int64 // tick
}

// startProbe begins the round's probe.
func (m *Members) startProbe() {
	if len(m.probes) >= maxProbes {
		return
	}
	for range 2 * len(m.peers) {
		i := m.nextInProbeOrder()
		if m.isProbeTarget(i) {
			m.sequence++
			p := &probe{peer: i, sequence: m.sequence, startTick: m.tick}
			m.probes = append(m.probes, p)
			m.sendProbePing(p)
			return
		}
	}
}

// nextInProbeOrder takes the next peer of the probe order, and shuffles a new order when it is used up.
func (m *Members) nextInProbeOrder() int {
	if len(m.probeOrder) == 0 {
		for i := range m.peers {
			m.probeOrder = append(m.probeOrder, int32(i))
		}
		m.shuffle(m.probeOrder)
	}
	i := int(m.probeOrder[0])
	m.probeOrder = m.probeOrder[1:]
	return i
}

// probeNext makes a peer the next to be probed.
func (m *Members) probeNext(i int) { m.probeOrder = append([]int32{int32(i)}, m.probeOrder...) }

// isProbeTarget reports whether a peer is in a state in which it is probed; others are reconnected.
func (m *Members) isProbeTarget(i int) bool {
	state := m.peers[i].state
	return state == Alive || state == Suspect
}

func (m *Members) shuffle(order []int32) {
	m.random.Shuffle(len(order), func(a, b int) { order[a], order[b] = order[b], order[a] })
}

func (m *Members) sendProbePing(p *probe) {
	p.nextStep++
	m.send(p.peer, m.withNextDigest(&message{Kind: ping, Sequence: p.sequence}))
}

func (m *Members) sendPingReqs(p *probe) {
	p.nextStep++
	for _, i := range m.randomAlive(pingReqNodes, p.peer) {
		p.pingReqPeers = append(p.pingReqPeers, i)
		m.send(i, &message{Kind: pingReq, Sequence: p.sequence, Target: m.peers[p.peer].id})
	}
}

// advanceProbes takes each probe its next step if that is due.
func (m *Members) advanceProbes(now int64) {
	kept := m.probes[:0]
	for _, p := range m.probes {
		if m.isProbeTarget(p.peer) && m.advanceProbe(now, p) {
			kept = append(kept, p)
		}
	}
	m.probes = kept
}

// advanceProbe reports whether the probe goes on.
func (m *Members) advanceProbe(now int64, p *probe) bool {
	due := probeSteps[p.nextStep]
	if m.tick < p.startTick+m.scaleByHealth(due) {
		return true
	}
	switch due {
	case secondPing, thirdPing:
		m.sendProbePing(p)
	case firstPingReq:
		m.sendPingReqs(p)
	case secondPingReq:
		m.send(p.peer, &message{Kind: ping, Sequence: p.sequence})
		m.sendPingReqs(p)
	default:
		m.handleProbeFailure(now, p)
		return false
	}
	return true
}

// handleProbeFailure takes in a probe without an ack.
func (m *Members) handleProbeFailure(now int64, p *probe) {
	m.recordProbeResult(now, false)
	m.counters.FailedProbes++
	if len(p.pingReqPeers) > 0 && p.nacks == 0 {
		m.healthScore = min(m.healthScore+1, maxHealthScore)
	}
	if !m.stalledRecently() {
		m.raiseSuspicion(now, p.peer)
	}
}

// handleAck ends the probe that an ack belongs to, or passes it on to the node that asked for the probe.
func (m *Members) handleAck(now int64, from int, msg *message) {
	acked := m.peers[from].id
	if msg.Target != 0 {
		acked = msg.Target
	}
	for k, p := range m.probes {
		if p.sequence == msg.Sequence && m.peers[p.peer].id == acked {
			m.recordProbeResult(now, true)
			m.probes = append(m.probes[:k], m.probes[k+1:]...)
			return
		}
	}
	for k, indirect := range m.indirectProbes {
		if indirect.sequence == msg.Sequence && indirect.target == acked && msg.Target == 0 {
			m.indirectProbes = append(m.indirectProbes[:k], m.indirectProbes[k+1:]...)
			if m.allowResponse() {
				m.send(indirect.from, &message{Kind: ack, Sequence: indirect.requestSequence, Target: indirect.target})
			}
			return
		}
	}
}

// handleNack counts a nack at the probe that it belongs to.
func (m *Members) handleNack(msg *message) {
	for _, p := range m.probes {
		if p.sequence == msg.Sequence && m.peers[p.peer].id == msg.Target {
			p.nacks++
		}
	}
}

// handlePingReq begins an indirect probe.
func (m *Members) handlePingReq(from int, msg *message) {
	target := m.find(msg.Target)
	if target < 0 || target == from || len(m.indirectProbes) >= maxIndirectProbes || !m.allowResponse() {
		return
	}
	m.sequence++
	m.indirectProbes = append(m.indirectProbes, indirectProbe{
		from:            from,
		requestSequence: msg.Sequence,
		sequence:        m.sequence,
		target:          msg.Target,
		receivedTick:    m.tick,
	})
	m.send(target, &message{Kind: ping, Sequence: m.sequence})
}

// advanceIndirectProbes sends the nacks that are due, and drops indirect probes that have timed out. An ack may still
// come after a nack.
func (m *Members) advanceIndirectProbes() {
	kept := m.indirectProbes[:0]
	for _, indirect := range m.indirectProbes {
		if m.tick == indirect.receivedTick+nackAfter && m.allowResponse() {
			m.send(indirect.from, &message{Kind: nack, Sequence: indirect.requestSequence, Target: indirect.target})
		}
		if m.tick < indirect.receivedTick+indirectProbeTimeout {
			kept = append(kept, indirect)
		}
	}
	m.indirectProbes = kept
}

// reconnect pings nodes that are not alive, in turn: they may be back, or reachable again.
func (m *Members) reconnect() {
	for pinged := 0; pinged < reconnectsPerPeriod; {
		if len(m.reconnectOrder) == 0 {
			m.refillReconnectOrder()
		}
		if len(m.reconnectOrder) == 0 {
			return
		}
		i := int(m.reconnectOrder[0])
		m.reconnectOrder = m.reconnectOrder[1:]
		if m.isProbeTarget(i) {
			continue
		}
		pinged++
		m.sequence++
		m.send(i, m.withNextDigest(&message{Kind: ping, Sequence: m.sequence}))
		if m.peers[i].state != Unknown {
			return
		}
	}
}

func (m *Members) refillReconnectOrder() {
	for i := range m.peers {
		if !m.isProbeTarget(i) {
			m.reconnectOrder = append(m.reconnectOrder, int32(i))
		}
	}
	m.shuffle(m.reconnectOrder)
}

// randomAlive draws up to so many peers that are alive, without one. A few draws find them while most are alive; after
// that all are searched from a drawn place.
func (m *Members) randomAlive(wanted, without int) (drawn []int) {
	const drawsPerPeer = 4
	if len(m.peers) == 0 {
		return nil
	}
	first := m.random.IntN(len(m.peers))
	draws := drawsPerPeer * wanted
	for k := range len(m.peers) + draws {
		i := m.random.IntN(len(m.peers))
		if k >= draws {
			i = (first + k) % len(m.peers)
		}
		if i == without || m.peers[i].state != Alive || slices.Contains(drawn, i) {
			continue
		}
		drawn = append(drawn, i)
		if len(drawn) == wanted {
			break
		}
	}
	return drawn
}
