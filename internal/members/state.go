package members

import (
	"fmt"
	"slices"
)

// State is the state of a node in another node's view.
type State uint8

// The states. At the same incarnation a later state in this order overrides an earlier one.
const (
	Unknown State = iota // nothing has been received from or about the node
	Alive
	Suspect // did not answer a probe, directly or indirectly; it may still refute
	Dead    // did not refute the suspicion before its timeout
	Left    // has announced its shutdown
)

// stateNames are the names of the states in the admin API. They are part of its format and must not change.
var stateNames = [...]string{"never seen", "up", "doubted", "silent", "left"}

// String returns the state's name in the admin API.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state %d", uint8(s))
}

// maxIncarnation is the exclusive upper limit of both parts of an incarnation in an update. It leaves room above for
// refutations.
const maxIncarnation = 1 << 53

// peer is this node's record of another node.
type peer struct {
	id             uint64 // hash of the name
	incarnation    uint64
	startMs        uint64 // Unix milliseconds by the peer's clock; 0: not known
	priorStartMs   uint64 // of the peer's previous run; 0: not known
	runID          uint32
	nodeIndex      int32 // index in Config.Nodes
	stateSince     int64 // nanoseconds
	lastReceivedAt int64 // when the last datagram of its current run arrived, nanoseconds; 0: never
	state          State
	localOnly      bool // set while this node was isolated: not gossiped, and overridden by any update

	suspicion suspicion

	conflicts            uint8 // recent datagrams that show two processes of this name; see decayConflicts
	retransmitsRemaining int8  // number of times that the state is still to be gossiped
	queued               bool  // in Members.broadcasts
}

// update is the state of a node as sent in a message.
type update struct {
	ID                uint64 `cbor:"1,keyasint"`
	State             State  `cbor:"2,keyasint"`
	StartMs           uint64 `cbor:"3,keyasint"`
	IncarnationOffset uint64 `cbor:"4,keyasint,omitempty"` // incarnation minus StartMs
	RunID             uint32 `cbor:"5,keyasint"`
	SuspectedBy       uint64 `cbor:"6,keyasint,omitempty"`
}

// incarnation returns the node's incarnation. It begins at the node's start time and is raised by each refutation, so
// that a later run has a higher one.
func (u *update) incarnation() uint64 { return u.StartMs + u.IncarnationOffset }

// valid reports whether a node could have sent the update.
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

// applyUpdate applies an update. direct: the node has sent it about itself.
//
// A higher incarnation overrides a lower one. At the same incarnation the higher run ID overrides, and at the same run
// ID the later state in the order of the constants.
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
		if direct { // a delayed datagram, or a second process of that name that has not received the update of the first
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

// adoptState sets the state that an update has and queues it to be gossiped.
func (m *Members) adoptState(now int64, i int, state State, suspectedBy uint64) {
	m.setState(now, i, state)
	if state == Suspect {
		m.confirmSuspicion(&m.peers[i], suspectedBy)
	}
	m.broadcast(i)
}

// setState sets a peer's state, and starts or removes its suspicion.
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
