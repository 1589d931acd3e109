package members

import "slices"

// Probes: in each protocol period one node, in shuffled order, is pinged. If no ack arrives, it is pinged again, and
// then other nodes are asked to ping it (ping-req). The probe fails if no ack arrives before probeTimeout. A node that
// was sent a ping-req and receives no ack answers with a nack; if no nack arrives either, this node's own link is the
// likely cause.

const (
	maxProbes         = 2  // at the same time
	maxIndirectProbes = 64 // for other nodes, at the same time
	pingReqNodes      = 3  // nodes that are sent each ping-req

	// Schedule of a probe, in ticks after its start.
	secondPing    = 2
	thirdPing     = 4
	firstPingReq  = 5
	secondPingReq = 8
	probeTimeout  = 13

	// Schedule of an indirect probe, in ticks after its ping-req was received.
	nackAfter            = 3
	indirectProbeTimeout = TicksPerPeriod

	// reconnectsPerPeriod is the maximum number of nodes that reconnect pings in a protocol period. reconnect stops after
	// the first dead or left node, so that only unknown nodes are pinged several at a time.
	reconnectsPerPeriod = 3
)

// probe is a probe that this node has started.
type probe struct {
	peer         int
	sequence     uint64
	startTick    int64
	nextStep     int   // index in probeSteps
	pingReqPeers []int // peers that were sent a ping-req
	nacks        int
}

var probeSteps = [...]int64{0, secondPing, thirdPing, firstPingReq, secondPingReq, probeTimeout}

// indirectProbe is a probe that another node has requested by a ping-req.
type indirectProbe struct {
	from            int
	requestSequence uint64
	sequence        uint64 // of the ping
	target          uint64
	receivedTick    int64
}

// startProbe starts the probe of this protocol period.
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

// nextInProbeOrder removes and returns the next peer of the probe order, and shuffles a new order when it is empty.
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

// probeNext puts a peer at the front of the probe order.
func (m *Members) probeNext(i int) { m.probeOrder = append([]int32{int32(i)}, m.probeOrder...) }

// isProbeTarget reports whether a peer is alive or suspect. Peers in other states are pinged by reconnect instead.
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

// advanceProbes performs the next step of each probe for which it is due.
func (m *Members) advanceProbes(now int64) {
	remaining := m.probes[:0]
	for _, p := range m.probes {
		if m.isProbeTarget(p.peer) && m.advanceProbe(now, p) {
			remaining = append(remaining, p)
		}
	}
	m.probes = remaining
}

// advanceProbe performs the next step of a probe if it is due, and reports whether the probe is still in progress.
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

// handleProbeFailure raises a suspicion after a probe without an ack, unless a stall of this process may be the cause.
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

// handleAck completes the probe that an ack answers, or forwards the ack to the node that requested the probe.
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

// handleNack counts a nack for the probe that it answers.
func (m *Members) handleNack(msg *message) {
	for _, p := range m.probes {
		if p.sequence == msg.Sequence && m.peers[p.peer].id == msg.Target {
			p.nacks++
		}
	}
}

// handlePingReq starts an indirect probe.
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
// be forwarded after a nack.
func (m *Members) advanceIndirectProbes() {
	remaining := m.indirectProbes[:0]
	for _, indirect := range m.indirectProbes {
		if m.tick == indirect.receivedTick+nackAfter && m.allowResponse() {
			m.send(indirect.from, &message{Kind: nack, Sequence: indirect.requestSequence, Target: indirect.target})
		}
		if m.tick < indirect.receivedTick+indirectProbeTimeout {
			remaining = append(remaining, indirect)
		}
	}
	m.indirectProbes = remaining
}

// reconnect pings unknown, dead and left nodes in turn, as they may have restarted or become reachable again.
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

// randomAlive selects up to count alive peers at random, other than exclude. While most peers are alive, a few random
// tries find them; after randomTries all peers are searched from a random index.
func (m *Members) randomAlive(count, exclude int) (selected []int) {
	const triesPerPeer = 4
	if len(m.peers) == 0 {
		return nil
	}
	first := m.random.IntN(len(m.peers))
	randomTries := triesPerPeer * count
	for k := range len(m.peers) + randomTries {
		i := m.random.IntN(len(m.peers))
		if k >= randomTries {
			i = (first + k) % len(m.peers)
		}
		if i == exclude || m.peers[i].state != Alive || slices.Contains(selected, i) {
			continue
		}
		selected = append(selected, i)
		if len(selected) == count {
			break
		}
	}
	return selected
}
