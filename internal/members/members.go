// Package members owns one node's view of the other nodes: never seen, up, doubted, silent or left, each with its start and
// incarnation. It has no I/O, no clock and no goroutine: time is told with each call, datagrams go out through a Way, and the
// same calls give the same view. It must never decide anything about requests or servers, keep anything of a node that is not on
// its list, or take what others say of a node for more than their word.
//
// The protocol is SWIM (Das, Gupta and Motivala 2002) with parts of Lifeguard (Dadgar, Phillips and Currey 2017):
// docs/design/members.md tells what was kept and what was changed.
//
// Bounds, for any number of nodes. A round is ten beats. In a round a node sends by itself at most
//
//	2 probes · (4 pings + 6 asks) + 3 calls + 2 tells + 1 warning = 26 datagrams,
//
// and in answer to others at most 10 · answersABeat = 60. A datagram is shorter than Most = 1,200 bytes. Loads that other parts
// have carried come on top; theirs is the bound. Nothing is kept but one record for each node of the list (under 200 bytes), 64
// asks of others and 2 probes.
package members

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// State is what a node believes of another.
type State uint8

// The states, in the order in which one overrides another at the same incarnation.
const (
	Unknown State = iota // no word of it yet
	Alive
	Suspect // did not answer, nor others that were asked to try; it may say otherwise
	Dead
	Left // said so itself
)

var stateNames = [...]string{"never seen", "up", "doubted", "silent", "left"}

func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state %d", uint8(s))
}

const (
	ticksPerRound      = 10
	maxAnswersPerTick  = 6
	maxNodes           = 4096
	maxIndirectProbes  = 64 // of others, at work
	maxProbes          = 2  // at a time
	maxHealthScore     = 8
	reconnectsPerRound = 3 // of nodes that are not up, while some were never seen; else one
	maxConfirmations   = 3 // independent doubts that shorten the wait to its least
	recentProbes       = 8 // probes that tell whether this node hears anybody
	maxProbeResults    = 32
	conflictThreshold  = 3
	yieldTicks         = 20 * ticksPerRound
	maxIncarnation     = 1 << 53 // an incarnation beyond is nonsense, and could not be outbid for ever
)

// Settings of one node's view.
type Config struct {
	Name           string
	Nodes          []string                    // names of all nodes, its own among them
	Key            []byte                      // of the keyed hash on each datagram; empty: a checksum alone
	RoundNs        int64                       // nanoseconds; Beat is to be called ten times in each
	Seed           uint64                      // of all that is drawn
	RunID          uint32                      // tells this process from others of its name
	KnownStartsMs  map[string]uint64           // when others started, in milliseconds of their clocks, as this node knew in an earlier life; may be nil
	ReceivePayload func(from int, load []byte) // what another node carried here; nil: nobody wants it
}

// Way sends datagrams; it may lose them. A node is named by its place in Settings.Peers.
type Transport interface {
	Send(to int, datagram []byte)
}

// Counts of what has happened since the start. They only grow.
type Counters struct {
	Sent            int64 `json:"sent"`
	SentBytes       int64 `json:"sent_bytes"`
	Received        int64 `json:"heard"`
	ReceivedBytes   int64 `json:"heard_bytes"`
	Invalid         int64 `json:"bad"`          // not to be read: too long, spoilt, of another key
	UnknownVersions int64 `json:"versions"`     // of a form that this build does not know
	UnknownNodes    int64 `json:"strangers"`    // from or about a node that is not on the list
	Misdirected     int64 `json:"misled"`       // meant for another node
	Stale           int64 `json:"old"`          // from an earlier life of its sender
	AnswersWithheld int64 `json:"held"`         // answers not given, beyond the bound
	Probes          int64 `json:"probes"`       // ended
	FailedProbes    int64 `json:"unanswered"`   // of those
	Suspicions      int64 `json:"doubts"`       // raised by this node's own sight
	FalseSuspicions int64 `json:"false_doubts"` // and taken back by the one that was doubted
	Deaths          int64 `json:"silences"`     // doubts that ended so
	Refutations     int64 `json:"refuted"`      // doubts about this node that it took back
	Stalls          int64 `json:"standstills"`  // of this node itself
}

// peer is what is believed of one other node.
type peer struct {
	id             uint64
	incarnation    uint64 // incarnation
	startMs        uint64 // milliseconds of its own clock
	stateSince     int64  // when its state was taken on
	heardAt        int64  // when it was last heard directly
	suspicionEnds  int64  // beat at which a doubt becomes silence
	suspicionBegan int64  // beat at which the doubt came up
	priorStartMs   uint64 // the start of its life before this one, as far as known
	runID          uint32
	place          int32
	state          State
	ownViewOnly    bool // judged by this node's sight alone while it heard nobody else: any word of others goes before it
	suspectedHere  bool // the doubt is this node's own
	conflicts      uint8
	confirmedBy    [maxConfirmations]uint64
	transmitsLeft  int8 // times that its state is still to be told
	queued         bool
}

// Members is one node's view.
type Members struct {
	config    Config
	transport Transport
	random    *rand.Rand

	// What it is itself.
	id                 uint64
	incarnation        uint64
	startMs            uint64
	rivalRunID         uint32 // another process of this name
	rivalBids          int    // of the rival against this one
	rivalIncarnation   uint64 // the rival's highest
	latestKnownStartMs uint64 // the latest start that others knew of another process of this name, milliseconds
	quietUntil         int64  // beat until which this one keeps quiet, as the other has the name
	hasLeft            bool   // it has said that it leaves

	// What it believes, by id.
	peers []peer

	// Time as told, and its own condition.
	tick         int64
	lastCallAt   int64 // when the last call came
	stalledUntil int64 // beat until which a standstill casts doubt on what it sees
	healthScore  int64
	probeResults []bool // own probes, the newest last: answered
	lastProbeAt  int64

	// What is under way.
	sequence       uint64
	probes         []*probe
	indirectProbes []indirectProbe
	probeOrder     []int32 // to be probed, drawn anew when used up
	reconnectOrder []int32 // to be called though they are not up
	broadcasts     []int32 // whose state is to be told
	suspects       []int32
	digestPart     int
	answersInTick  int // in this beat
	counters       Counters
}

// New makes the view of a node that starts now. now is Unix nanoseconds of the node's clock, which never goes back while
// the node runs.
func New(set Config, way Transport, now int64) (*Members, error) {
	if len(set.Nodes) > maxNodes {
		return nil, fmt.Errorf("members: expected at most %d nodes, got %d", maxNodes, len(set.Nodes))
	}
	if set.Name == "" || set.RoundNs <= 0 {
		return nil, errors.New("members: expected a name and a round above 0")
	}
	m := &Members{
		config: set, transport: way, random: rand.New(rand.NewPCG(set.Seed, uint64(set.RunID))), id: xxhash.Sum64String(set.Name),
		startMs: uint64(max(now, 0) / 1e6), lastCallAt: now,
	}
	m.incarnation = m.startMs
	for i, name := range set.Nodes {
		if name != set.Name {
			m.peers = append(m.peers, peer{id: xxhash.Sum64String(name), place: int32(i), stateSince: now, priorStartMs: set.KnownStartsMs[name]})
		}
	}
	if !slices.Contains(set.Nodes, set.Name) {
		return nil, fmt.Errorf("members: expected %q among the names of all nodes", set.Name)
	}
	slices.SortFunc(m.peers, func(a, b peer) int { return cmp.Compare(a.id, b.id) })
	for i := range m.peers {
		if p := &m.peers[i]; p.id == m.id || i > 0 && p.id == m.peers[i-1].id {
			return nil, fmt.Errorf("members: expected names that differ, got %q twice or two that are alike in hash", set.Nodes[p.place])
		}
	}
	return m, nil
}

func (m *Members) find(id uint64) int {
	i, found := slices.BinarySearchFunc(m.peers, id, func(p peer, id uint64) int { return cmp.Compare(p.id, id) })
	if !found {
		return -1
	}
	return i
}

func (m *Members) beatNs() int64 { return m.config.RoundNs / ticksPerRound }

// woke notes that a call has come. Where none came for half a round this node itself stood still: what it then holds against
// others is its own doing first.
func (m *Members) noteCall(now int64) {
	if now-m.lastCallAt > m.config.RoundNs/2 {
		m.counters.Stalls++
		m.healthScore = min(m.healthScore+2, maxHealthScore)
		m.stalledUntil = m.tick + 3*ticksPerRound
		m.probes, m.indirectProbes = nil, nil
		for _, i := range m.suspects { // what came meanwhile is still to be read
			m.peers[i].suspicionEnds = max(m.peers[i].suspicionEnds, m.stalledUntil)
		}
	}
	m.lastCallAt = now
}

// alone tells whether none of the last probes was answered by anybody, directly or through others.
func (m *Members) isIsolated() bool {
	least := min(recentProbes, len(m.peers))
	if len(m.probeResults) < least {
		return false
	}
	return !slices.Contains(m.probeResults[len(m.probeResults)-least:], true)
}

// doubtful tells whether what this node sees may be its own trouble.
func (m *Members) doubtful() bool { return m.tick < m.stalledUntil || m.isIsolated() }

// rumour is what one node says of another.
type update struct {
	ID          uint64 `cbor:"1,keyasint"`
	State       State  `cbor:"2,keyasint"`
	StartMs     uint64 `cbor:"3,keyasint"`
	PastStart   uint64 `cbor:"4,keyasint,omitempty"` // how far the incarnation is past the start
	RunID       uint32 `cbor:"5,keyasint"`
	SuspectedBy uint64 `cbor:"6,keyasint,omitempty"` // who doubts
}

func (r *update) incarnation() uint64 { return r.StartMs + r.PastStart }

// sound tells what a node can say of another.
func (r *update) valid() bool {
	return r.State >= Alive && r.State <= Left && r.StartMs < maxIncarnation && r.PastStart < maxIncarnation
}

func (m *Members) selfUpdate() update {
	return update{ID: m.id, State: Alive, StartMs: m.startMs, PastStart: m.incarnation - m.startMs, RunID: m.config.RunID}
}

func (m *Members) updateOf(i int) update {
	p := &m.peers[i]
	r := update{ID: p.id, State: p.state, StartMs: p.startMs, PastStart: p.incarnation - p.startMs, RunID: p.runID}
	if p.state == Suspect {
		if r.SuspectedBy = p.confirmedBy[0]; p.suspectedHere {
			r.SuspectedBy = m.id
		}
	}
	return r
}

// told takes in what a sender says of a node, itself or another.
func (m *Members) applyUpdate(now int64, r update, direct bool) {
	if !r.valid() {
		m.counters.Invalid++
		return
	}
	if r.ID == m.id {
		m.refute(r)
		return
	}
	i := m.find(r.ID)
	if i < 0 {
		m.counters.UnknownNodes++
		return
	}
	p := &m.peers[i]
	newer := r.incarnation() > p.incarnation || r.incarnation() == p.incarnation && r.RunID > p.runID
	same := r.incarnation() == p.incarnation && r.RunID == p.runID
	switch {
	case p.state == Unknown || newer:
		if p.state == Suspect && p.suspectedHere && r.State == Alive && r.RunID == p.runID {
			m.counters.FalseSuspicions++
		}
		if p.state != Unknown && r.RunID != p.runID {
			p.priorStartMs = max(p.priorStartMs, p.startMs)
		}
		p.incarnation, p.startMs, p.runID = r.incarnation(), r.StartMs, r.RunID
		m.adopt(now, i, r.State, r.SuspectedBy)
	case !same:
		if direct {
			// An old message, or a second process of that name which does not know of the first.
			m.counters.Stale++
			p.conflicts = min(p.conflicts+1, 250)
		}
	case p.ownViewOnly && r.State != p.state || r.State > p.state:
		m.adopt(now, i, r.State, r.SuspectedBy)
	case r.State == Suspect && p.state == Suspect:
		m.confirm(p, r.SuspectedBy)
	}
}

// take makes a state that others told of this node's own belief, and passes it on.
func (m *Members) adopt(now int64, i int, s State, by uint64) {
	m.setState(now, i, s)
	if s == Suspect {
		m.confirm(&m.peers[i], by)
	}
	m.broadcast(i)
}

// believe sets a state.
func (m *Members) setState(now int64, i int, s State) {
	p := &m.peers[i]
	if p.state == Suspect {
		m.suspects = slices.DeleteFunc(m.suspects, func(k int32) bool { return int(k) == i })
	}
	p.state, p.stateSince, p.ownViewOnly, p.suspectedHere, p.confirmedBy = s, now, false, false, [maxConfirmations]uint64{}
	if s == Suspect {
		p.suspicionBegan = m.tick
		m.suspects = append(m.suspects, int32(i))
		m.setSuspicionTimeout(p)
	}
}

// confirm counts another node that doubts by its own sight.
func (m *Members) confirm(p *peer, by uint64) {
	if by == 0 || by == m.id || m.find(by) < 0 {
		return
	}
	for k := range p.confirmedBy {
		if p.confirmedBy[k] == by {
			return
		}
		if p.confirmedBy[k] == 0 {
			p.confirmedBy[k] = by
			m.setSuspicionTimeout(p)
			return
		}
	}
}

// wait sets when a doubt becomes silence: after the longest time for a single doubt, the least one where several nodes came to
// it by themselves (Lifeguard), never while this node's own trouble may be the cause.
func (m *Members) setSuspicionTimeout(p *peer) {
	n := len(m.peers) + 1
	least := float64(ticksPerRound) * math.Ceil(2.5*math.Log10(float64(n+1)))
	most, want, have := 3*least, min(maxConfirmations, n-2), 0
	for _, by := range p.confirmedBy {
		if by != 0 {
			have++
		}
	}
	span := least
	if want > 0 {
		span = max(least, most-(most-least)*math.Log(float64(have+1))/math.Log(float64(want+1)))
	}
	p.suspicionEnds = max(p.suspicionBegan+int64(span), m.stalledUntil)
}

// tellOf has a state passed on with the next datagrams, a number of times that grows with the logarithm of the fleet.
func (m *Members) broadcast(i int) {
	p := &m.peers[i]
	if p.transmitsLeft = int8(4 * math.Ceil(math.Log10(float64(len(m.peers)+2)))); !p.queued {
		p.queued = true
		m.broadcasts = append(m.broadcasts, int32(i))
	}
}

// toldOfMe takes back what is said of this node and is not so. Another process of the same name shows by bidding again and
// again; the one with the higher run keeps the name, and the other goes quiet for a while.
func (m *Members) refute(r update) {
	switch {
	case r.incarnation() < m.incarnation || m.tick < m.quietUntil:
		return
	case r.RunID == m.config.RunID:
		if r.State == Alive && r.incarnation() == m.incarnation {
			return
		}
		m.counters.Refutations++
		if m.healthScore < maxHealthScore && r.State == Suspect {
			m.healthScore++
		}
	default:
		if m.rivalRunID != r.RunID {
			m.rivalRunID, m.rivalBids, m.rivalIncarnation = r.RunID, 0, 0
		}
		if r.incarnation() > m.rivalIncarnation {
			m.rivalIncarnation, m.rivalBids = r.incarnation(), m.rivalBids+1
		}
		if m.rivalBids >= conflictThreshold && m.config.RunID < r.RunID {
			m.quietUntil = m.tick + yieldTicks
			return
		}
	}
	m.incarnation = r.incarnation() + 1
}

// Carry takes a load of another part of the node to a node, once, and may lose it. Longer than MostLoad it goes nowhere.
func (m *Members) SendPayload(to int, load []byte) {
	if m.hasLeft || m.tick < m.quietUntil || len(load) > MaxPayloadBytes {
		return
	}
	for i := range m.peers {
		if int(m.peers[i].place) == to {
			m.send(i, &message{Kind: payload, Payload: load})
			return
		}
	}
}

// Others are the places of the nodes that may hear: all that are not silent and have not left.
func (m *Members) Reachable() (out []int) {
	for i := range m.peers {
		if p := &m.peers[i]; p.state != Dead && p.state != Left {
			out = append(out, int(p.place))
		}
	}
	return out
}

// Leave tells some others that this node ends, which they pass on. Nothing is sent or taken in after it.
func (m *Members) Leave(now int64) {
	if m.tick < m.quietUntil || m.hasLeft {
		return
	}
	m.hasLeft = true
	r := m.selfUpdate()
	r.State = Left
	for range 2 {
		for _, i := range m.randomAlive(5, -1) {
			m.send(i, &message{Kind: gossip, Updates: []update{r}})
		}
	}
}
