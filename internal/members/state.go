package members

import (
	"fmt"
	"slices"
)

// State is what a node knows of another.
type State uint8

// The states, in the order in which one overrides another at the same incarnation.
const (
	Unknown State = iota // nothing was received from or about it
	Alive
	Suspect // failed a probe, direct and indirect; it may refute
	Dead    // did not refute in time
	Left    // has notified others that it ends
)

// stateNames are the names on the admin API, whose format they are part of.
var stateNames = [...]string{"never seen", "up", "doubted", "silent", "left"}

// String is the state's name in views and on consoles.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state %d", uint8(s))
}

// maxIncarnation rejects an incarnation that nothing could refute any more.
const maxIncarnation = 1 << 53

// peer is what is known of one other node.
type peer struct {
	id             uint64 // hash of its name
	incarnation    uint64
	startMs        uint64 // milliseconds of its own clock
	priorStartMs   uint64 // of its run before this one, as far as known
	runID          uint32
	nodeIndex      int32 // index in Config.Nodes
	stateSince     int64 // nanoseconds
	lastReceivedAt int64 // when a datagram of its current run last came, nanoseconds; 0: never
	state          State
	localOnly      bool // judged while this node reached no other: any update of others overrides it

	suspicion suspicion

	conflicts            uint8 // datagrams of two processes under its name, halved from time to time
	retransmitsRemaining int8  // times that its state is still to be gossiped
	queued               bool  // in Members.broadcasts
}

// update is the state of one node as another sends it.
type update struct {
	ID                uint64 `cbor:"1,keyasint"`
	State             State  `cbor:"2,keyasint"`
	StartMs           uint64 `cbor:"3,keyasint"`
	IncarnationOffset uint64 `cbor:"4,keyasint,omitempty"` // incarnation less StartMs
	RunID             uint32 `cbor:"5,keyasint"`
	SuspectedBy       uint64 `cbor:"6,keyasint,omitempty"`
}

// incarnation begins at a node's start and grows with each refutation, so a later run has a higher one.
func (u *update) incarnation() uint64 { return u.StartMs + u.IncarnationOffset }

// valid reports whether the update is one that a node can send.
func (u *update) valid() bool {
	return u.State >= Alive && u.State <= Left && u.StartMs < maxIncarnation && u.IncarnationOffset < maxIncarnation
}

func (m *Members) selfUpdate() update {
	return update{
		ID:                m.id,
		State:             Alive,
		StartMs:           m.startMs,
		IncarnationOffset: m.incarnation - m.startMs,
		RunID:             m.config.RunID,
	}
}

func (m *Members) updateOf(i int) update {
	p := &m.peers[i]
	u := update{ID: p.id, State: p.state, StartMs: p.startMs, IncarnationOffset: p.incarnation - p.startMs, RunID: p.runID}
	if p.state == Suspect {
		u.SuspectedBy = p.suspicion.confirmedBy[0]
		if p.suspicion.fromOwnProbe {
			u.SuspectedBy = m.id
		}
	}
	return u
}

// applyUpdate takes in an update that a node sends about itself (direct) or about another.
//
// A higher incarnation overrides a lower one, and of two processes with the same incarnation the one with the higher
// run ID. At the same incarnation and run the later state in the order of the constants overrides.
func (m *Members) applyUpdate(now int64, u update, direct bool) {
	if !u.valid() {
		m.counters.Invalid++
		return
	}
	if u.ID == m.id {
		m.refute(u)
		return
	}
	i := m.find(u.ID)
	if i < 0 {
		m.counters.UnknownNodes++
		return
	}
	p := &m.peers[i]
	newer := u.incarnation() > p.incarnation || u.incarnation() == p.incarnation && u.RunID > p.runID
	same := u.incarnation() == p.incarnation && u.RunID == p.runID
	switch {
	case p.state == Unknown || newer:
		m.applyNewer(now, i, u)
	case !same:
		if direct { // a delayed datagram, or a second process of that name which has not received the first one's
			m.counters.StaleIncarnations++
			p.conflicts = min(p.conflicts+1, maxConflicts)
		}
	case p.localOnly && u.State != p.state || u.State > p.state:
		m.adoptState(now, i, u.State, u.SuspectedBy)
	case u.State == Suspect && p.state == Suspect:
		m.confirmSuspicion(p, u.SuspectedBy)
	}
}

func (m *Members) applyNewer(now int64, i int, u update) {
	p := &m.peers[i]
	if p.state == Suspect && p.suspicion.fromOwnProbe && u.State == Alive && u.RunID == p.runID {
		m.counters.FalseSuspicions++
	}
	if p.state != Unknown && u.RunID != p.runID {
		p.priorStartMs = max(p.priorStartMs, p.startMs)
	}
	p.incarnation, p.startMs, p.runID = u.incarnation(), u.StartMs, u.RunID
	m.adoptState(now, i, u.State, u.SuspectedBy)
}

// adopt sets a state that others sent, and passes it on.
func (m *Members) adoptState(now int64, i int, state State, suspectedBy uint64) {
	m.setState(now, i, state)
	if state == Suspect {
		m.confirmSuspicion(&m.peers[i], suspectedBy)
	}
	m.broadcast(i)
}

// setState sets a peer's state, and begins or ends its suspicion.
func (m *Members) setState(now int64, i int, state State) {
	p := &m.peers[i]
	if p.state == Suspect {
		m.suspects = slices.DeleteFunc(m.suspects, func(suspect int32) bool { return int(suspect) == i })
	}
	p.state = state
	p.stateSince = now
	p.localOnly = false
	p.suspicion = suspicion{startTick: p.suspicion.startTick, endTick: p.suspicion.endTick}
	if state == Suspect {
		p.suspicion.startTick = m.tick
		m.suspects = append(m.suspects, int32(i))
		m.setSuspicionTimeout(p)
	}
}
