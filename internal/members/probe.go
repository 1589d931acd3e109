package members

// This file owns what a node does by itself, beat by beat: probing, asking others to probe, calling those that are not up,
// telling what is new. It must never send more than the bounds in the package's head, whatever it has heard.

const (
	pingAgain  = 2 // beats after the first ping
	pingThird  = 4
	askFirst   = 5
	askSecond  = 8
	probeEnds  = 13
	nackAfter  = 3 // an asked one says that it had no answer either
	helpers    = 3
	stallBeats = beatsARound
)

// probe is a question to one node whether it is there.
type probe struct {
	peer     int
	sequence uint64
	began    int64
	step     int
	asked    []int
	nacks    int
}

// ask is a probe that another has asked for.
type ask struct {
	from     int
	theirs   uint64 // sequence
	sequence uint64
	about    uint64
	since    int64
}

var probeSteps = [...]int64{0, pingAgain, pingThird, askFirst, askSecond, probeEnds}

// Beat is to be called ten times a round. Nothing else makes this node act by itself.
func (m *Members) Beat(now int64) {
	if m.gone {
		return
	}
	m.woke(now)
	m.beat++
	m.answers = 0
	if m.beat < m.yields {
		return
	}
	m.tryAgain(now)
	m.answerAsks()
	m.endDoubts(now)
	switch (m.beat + int64(m.id%beatsARound)) % beatsARound {
	case 0:
		m.begin()
	case 2, 6:
		if len(m.fresh) > 0 {
			for _, i := range m.some(1, -1) {
				m.send(i, &message{Kind: tell})
			}
		}
	case 8:
		m.warn()
	case 4:
		m.call()
		for i := range m.peers { // a second process of a name shows again and again, an old message does not
			if m.beat%(20*beatsARound) < beatsARound {
				m.peers[i].doubled /= 2
			}
		}
	}
}

// begin starts the round's probe.
func (m *Members) begin() {
	if len(m.probes) >= mostProbes {
		return
	}
	for range 2 * len(m.peers) {
		if len(m.order) == 0 {
			for i := range m.peers {
				m.order = append(m.order, int32(i))
			}
			m.draw.Shuffle(len(m.order), func(a, b int) { m.order[a], m.order[b] = m.order[b], m.order[a] })
		}
		i := int(m.order[0])
		m.order = m.order[1:]
		if s := m.peers[i].state; s == Up || s == Doubted {
			m.sequence++
			p := &probe{peer: i, sequence: m.sequence, began: m.beat}
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
func (m *Members) tryAgain(now int64) {
	kept := m.probes[:0]
	for _, p := range m.probes {
		if s := m.peers[p.peer].state; s != Up && s != Doubted {
			continue
		}
		if m.beat < p.began+probeSteps[p.step]*(4+m.strain)/4 {
			kept = append(kept, p)
			continue
		}
		switch probeSteps[p.step] {
		case pingAgain, pingThird:
			m.ping(p)
		case askFirst, askSecond:
			if probeSteps[p.step] == askSecond {
				m.send(p.peer, &message{Kind: ping, Sequence: p.sequence})
			}
			p.step++
			for _, i := range m.some(helpers, p.peer) {
				p.asked = append(p.asked, i)
				m.send(i, &message{Kind: please, Sequence: p.sequence, About: m.peers[p.peer].id})
			}
		default:
			m.unanswered(now, p)
			continue
		}
		kept = append(kept, p)
	}
	m.probes = kept
}

// warn has one that this node doubts hear of it, so that it can say otherwise in time: where much is lost and much is new, the
// others' passing on of the doubt may come too late. 300 nodes with three in ten messages lost took 46 well ones a minute for silent.
func (m *Members) warn() {
	for range m.doubts {
		i := m.doubts[0]
		m.doubts = append(m.doubts[1:], i) // in turn
		if m.peers[i].mine {
			m.sequence++
			m.send(int(i), &message{Kind: ping, Sequence: m.sequence})
			return
		}
	}
}

// over notes the end of a probe.
func (m *Members) over(now int64, answered bool) {
	m.counts.Probes++
	m.endedAt = now
	if m.ended = append(m.ended, answered); len(m.ended) > mostCounted {
		m.ended = m.ended[1:]
	}
	if answered {
		m.strain = max(m.strain-1, 0)
	}
}

// unanswered raises a doubt, unless this node itself has only just stood still. Where it hears nobody at all the doubt stays
// its own: the others would have to take it back for nothing once the way is mended.
func (m *Members) unanswered(now int64, p *probe) {
	m.over(now, false)
	m.counts.Unanswered++
	if len(p.asked) > 0 && p.nacks == 0 {
		m.strain = min(m.strain+1, mostStrain) // not even a word from those that were asked
	}
	if m.beat < m.stood {
		return
	}
	x, alone := &m.peers[p.peer], m.alone()
	switch x.state {
	case Up:
		m.counts.Doubts++
		m.believe(now, p.peer, Doubted)
		x.mine, x.own = true, alone
	case Doubted:
		if x.own && !alone {
			x.own = false
		}
		x.mine = true
	default:
		return
	}
	if !x.own {
		m.tellOf(p.peer)
	}
}

// endDoubts has those that did not say otherwise in time taken for silent. Where this node has a doubt from others alone it looks for
// itself first: guards against one that heard of a doubt late, and missed that it was taken back.
func (m *Members) endDoubts(now int64) {
	for k := 0; k < len(m.doubts); {
		i := int(m.doubts[k])
		p := &m.peers[i]
		if m.beat < p.ends || m.beat < m.stood {
			k++
			continue
		}
		if !p.mine {
			m.order = append([]int32{int32(i)}, m.order...)
			p.ends = m.beat + beatsARound + 2*probeEnds
			k++
			continue
		}
		m.counts.Silences++
		own := p.own || m.alone()
		m.believe(now, i, Silent) // takes it off the list
		if p.own = own; !own {
			m.tellOf(i)
		}
	}
}

// call asks after those that are not up, in turn: they may be back, or behind a way that is mended.
func (m *Members) call() {
	for n := 0; n < callsARound; n++ {
		if len(m.calls) == 0 {
			for i := range m.peers {
				if s := m.peers[i].state; s != Up && s != Doubted {
					m.calls = append(m.calls, int32(i))
				}
			}
			m.draw.Shuffle(len(m.calls), func(a, b int) { m.calls[a], m.calls[b] = m.calls[b], m.calls[a] })
		}
		if len(m.calls) == 0 {
			return
		}
		i := int(m.calls[0])
		m.calls = m.calls[1:]
		if s := m.peers[i].state; s == Up || s == Doubted {
			n--
			continue
		}
		m.sequence++
		m.send(i, m.withDigest(&message{Kind: ping, Sequence: m.sequence}))
		if m.peers[i].state != Never {
			return
		}
	}
}

// some draws nodes that are up, without one.
func (m *Members) some(want, without int) []int {
	var out []int
	if len(m.peers) == 0 {
		return nil
	}
	// A few draws find enough while most are up; then all are looked through from a drawn place.
	first := m.draw.IntN(len(m.peers))
	for k := range len(m.peers) + 4*want {
		i := m.draw.IntN(len(m.peers))
		if k >= 4*want {
			i = (first + k) % len(m.peers)
		}
		taken := i == without || m.peers[i].state != Up
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
func (m *Members) answerAsks() {
	kept := m.asks[:0]
	for _, a := range m.asks {
		if m.beat == a.since+nackAfter && m.mayAnswer() {
			m.send(a.from, &message{Kind: nack, Sequence: a.theirs, About: a.about})
		}
		if m.beat < a.since+stallBeats {
			kept = append(kept, a)
		}
	}
	m.asks = kept
}

// mayAnswer holds what others can make this node send within the bound.
func (m *Members) mayAnswer() bool {
	if m.answers >= answersABeat {
		m.counts.Held++
		return false
	}
	m.answers++
	return true
}
