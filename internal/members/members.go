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
	Never State = iota // no word of it yet
	Up
	Doubted // did not answer, nor others that were asked to try; it may say otherwise
	Silent
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
	beatsARound  = 10
	answersABeat = 6
	mostPeers    = 4096
	mostAsks     = 64 // of others, at work
	mostProbes   = 2  // at a time
	mostStrain   = 8
	callsARound  = 3 // of nodes that are not up, while some were never seen; else one
	confirmers   = 3 // independent doubts that shorten the wait to its least
	lately       = 8 // probes that tell whether this node hears anybody
	mostCounted  = 32
	twiceAfter   = 3
	yieldFor     = 20 * beatsARound
	mostNumber   = 1 << 53 // an incarnation beyond is nonsense, and could not be outbid for ever
)

// Settings of one node's view.
type Settings struct {
	Name  string
	Peers []string                    // names of all nodes, its own among them
	Key   []byte                      // of the keyed hash on each datagram; empty: a checksum alone
	Round int64                       // nanoseconds; Beat is to be called ten times in each
	Seed  uint64                      // of all that is drawn
	Run   uint32                      // tells this process from others of its name
	Known map[string]uint64           // when others started, in milliseconds of their clocks, as this node knew in an earlier life; may be nil
	Take  func(from int, load []byte) // what another node carried here; nil: nobody wants it
}

// Way sends datagrams; it may lose them. A node is named by its place in Settings.Peers.
type Way interface {
	Send(to int, datagram []byte)
}

// Counts of what has happened since the start. They only grow.
type Counts struct {
	Sent        int64 `json:"sent"`
	SentBytes   int64 `json:"sent_bytes"`
	Heard       int64 `json:"heard"`
	HeardBytes  int64 `json:"heard_bytes"`
	Bad         int64 `json:"bad"`          // not to be read: too long, spoilt, of another key
	Versions    int64 `json:"versions"`     // of a form that this build does not know
	Strangers   int64 `json:"strangers"`    // from or about a node that is not on the list
	Misled      int64 `json:"misled"`       // meant for another node
	Old         int64 `json:"old"`          // from an earlier life of its sender
	Held        int64 `json:"held"`         // answers not given, beyond the bound
	Probes      int64 `json:"probes"`       // ended
	Unanswered  int64 `json:"unanswered"`   // of those
	Doubts      int64 `json:"doubts"`       // raised by this node's own sight
	FalseDoubts int64 `json:"false_doubts"` // and taken back by the one that was doubted
	Silences    int64 `json:"silences"`     // doubts that ended so
	Refuted     int64 `json:"refuted"`      // doubts about this node that it took back
	Standstills int64 `json:"standstills"`  // of this node itself
}

// peer is what is believed of one other node.
type peer struct {
	id      uint64
	number  uint64 // incarnation
	start   uint64 // milliseconds of its own clock
	since   int64  // when its state was taken on
	heard   int64  // when it was last heard directly
	ends    int64  // beat at which a doubt becomes silence
	began   int64  // beat at which the doubt came up
	prior   uint64 // the start of its life before this one, as far as known
	run     uint32
	place   int32
	state   State
	own     bool // judged by this node's sight alone while it heard nobody else: any word of others goes before it
	mine    bool // the doubt is this node's own
	doubled uint8
	by      [confirmers]uint64
	left    int8 // times that its state is still to be told
	queued  bool
}

// Members is one node's view.
type Members struct {
	set  Settings
	way  Way
	draw *rand.Rand

	// What it is itself.
	id     uint64
	number uint64
	start  uint64
	rival  uint32 // another process of this name
	bids   int    // of the rival against this one
	bid    uint64 // the rival's highest
	before uint64 // the latest start that others knew of another process of this name, milliseconds
	yields int64  // beat until which this one keeps quiet, as the other has the name
	gone   bool   // it has said that it leaves

	// What it believes, by id.
	peers []peer

	// Time as told, and its own condition.
	beat    int64
	last    int64 // when the last call came
	stood   int64 // beat until which a standstill casts doubt on what it sees
	strain  int64
	ended   []bool // own probes, the newest last: answered
	endedAt int64

	// What is under way.
	sequence uint64
	probes   []*probe
	asks     []ask
	order    []int32 // to be probed, drawn anew when used up
	calls    []int32 // to be called though they are not up
	fresh    []int32 // whose state is to be told
	doubts   []int32
	part     int
	answers  int // in this beat
	counts   Counts
}

// New makes the view of a node that starts now. now is Unix nanoseconds of the node's clock, which never goes back while
// the node runs.
func New(set Settings, way Way, now int64) (*Members, error) {
	if len(set.Peers) > mostPeers {
		return nil, fmt.Errorf("members: expected at most %d nodes, got %d", mostPeers, len(set.Peers))
	}
	if set.Name == "" || set.Round <= 0 {
		return nil, errors.New("members: expected a name and a round above 0")
	}
	m := &Members{
		set: set, way: way, draw: rand.New(rand.NewPCG(set.Seed, uint64(set.Run))), id: xxhash.Sum64String(set.Name),
		start: uint64(max(now, 0) / 1e6), last: now,
	}
	m.number = m.start
	for i, name := range set.Peers {
		if name != set.Name {
			m.peers = append(m.peers, peer{id: xxhash.Sum64String(name), place: int32(i), since: now, prior: set.Known[name]})
		}
	}
	if !slices.Contains(set.Peers, set.Name) {
		return nil, fmt.Errorf("members: expected %q among the names of all nodes", set.Name)
	}
	slices.SortFunc(m.peers, func(a, b peer) int { return cmp.Compare(a.id, b.id) })
	for i := range m.peers {
		if p := &m.peers[i]; p.id == m.id || i > 0 && p.id == m.peers[i-1].id {
			return nil, fmt.Errorf("members: expected names that differ, got %q twice or two that are alike in hash", set.Peers[p.place])
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

func (m *Members) beatNs() int64 { return m.set.Round / beatsARound }

// woke notes that a call has come. Where none came for half a round this node itself stood still: what it then holds against
// others is its own doing first.
func (m *Members) woke(now int64) {
	if now-m.last > m.set.Round/2 {
		m.counts.Standstills++
		m.strain = min(m.strain+2, mostStrain)
		m.stood = m.beat + 3*beatsARound
		m.probes, m.asks = nil, nil
		for _, i := range m.doubts { // what came meanwhile is still to be read
			m.peers[i].ends = max(m.peers[i].ends, m.stood)
		}
	}
	m.last = now
}

// alone tells whether none of the last probes was answered by anybody, directly or through others.
func (m *Members) alone() bool {
	least := min(lately, len(m.peers))
	if len(m.ended) < least {
		return false
	}
	return !slices.Contains(m.ended[len(m.ended)-least:], true)
}

// doubtful tells whether what this node sees may be its own trouble.
func (m *Members) doubtful() bool { return m.beat < m.stood || m.alone() }

// rumour is what one node says of another.
type rumour struct {
	ID    uint64 `cbor:"1,keyasint"`
	State State  `cbor:"2,keyasint"`
	Start uint64 `cbor:"3,keyasint"`
	Over  uint64 `cbor:"4,keyasint,omitempty"` // how far the incarnation is past the start
	Run   uint32 `cbor:"5,keyasint"`
	By    uint64 `cbor:"6,keyasint,omitempty"` // who doubts
}

func (r *rumour) number() uint64 { return r.Start + r.Over }

// sound tells what a node can say of another.
func (r *rumour) sound() bool {
	return r.State >= Up && r.State <= Left && r.Start < mostNumber && r.Over < mostNumber
}

func (m *Members) own() rumour {
	return rumour{ID: m.id, State: Up, Start: m.start, Over: m.number - m.start, Run: m.set.Run}
}

func (m *Members) rumourOf(i int) rumour {
	p := &m.peers[i]
	r := rumour{ID: p.id, State: p.state, Start: p.start, Over: p.number - p.start, Run: p.run}
	if p.state == Doubted {
		if r.By = p.by[0]; p.mine {
			r.By = m.id
		}
	}
	return r
}

// told takes in what a sender says of a node, itself or another.
func (m *Members) told(now int64, r rumour, direct bool) {
	if !r.sound() {
		m.counts.Bad++
		return
	}
	if r.ID == m.id {
		m.toldOfMe(r)
		return
	}
	i := m.find(r.ID)
	if i < 0 {
		m.counts.Strangers++
		return
	}
	p := &m.peers[i]
	newer := r.number() > p.number || r.number() == p.number && r.Run > p.run
	same := r.number() == p.number && r.Run == p.run
	switch {
	case p.state == Never || newer:
		if p.state == Doubted && p.mine && r.State == Up && r.Run == p.run {
			m.counts.FalseDoubts++
		}
		if p.state != Never && r.Run != p.run {
			p.prior = max(p.prior, p.start)
		}
		p.number, p.start, p.run = r.number(), r.Start, r.Run
		m.take(now, i, r.State, r.By)
	case !same:
		if direct {
			// An old message, or a second process of that name which does not know of the first.
			m.counts.Old++
			p.doubled = min(p.doubled+1, 250)
		}
	case p.own && r.State != p.state || r.State > p.state:
		m.take(now, i, r.State, r.By)
	case r.State == Doubted && p.state == Doubted:
		m.confirm(p, r.By)
	}
}

// take makes a state that others told of this node's own belief, and passes it on.
func (m *Members) take(now int64, i int, s State, by uint64) {
	m.believe(now, i, s)
	if s == Doubted {
		m.confirm(&m.peers[i], by)
	}
	m.tellOf(i)
}

// believe sets a state.
func (m *Members) believe(now int64, i int, s State) {
	p := &m.peers[i]
	if p.state == Doubted {
		m.doubts = slices.DeleteFunc(m.doubts, func(k int32) bool { return int(k) == i })
	}
	p.state, p.since, p.own, p.mine, p.by = s, now, false, false, [confirmers]uint64{}
	if s == Doubted {
		p.began = m.beat
		m.doubts = append(m.doubts, int32(i))
		m.wait(p)
	}
}

// confirm counts another node that doubts by its own sight.
func (m *Members) confirm(p *peer, by uint64) {
	if by == 0 || by == m.id || m.find(by) < 0 {
		return
	}
	for k := range p.by {
		if p.by[k] == by {
			return
		}
		if p.by[k] == 0 {
			p.by[k] = by
			m.wait(p)
			return
		}
	}
}

// wait sets when a doubt becomes silence: after the longest time for a single doubt, the least one where several nodes came to
// it by themselves (Lifeguard), never while this node's own trouble may be the cause.
func (m *Members) wait(p *peer) {
	n := len(m.peers) + 1
	least := float64(beatsARound) * math.Ceil(2.5*math.Log10(float64(n+1)))
	most, want, have := 3*least, min(confirmers, n-2), 0
	for _, by := range p.by {
		if by != 0 {
			have++
		}
	}
	span := least
	if want > 0 {
		span = max(least, most-(most-least)*math.Log(float64(have+1))/math.Log(float64(want+1)))
	}
	p.ends = max(p.began+int64(span), m.stood)
}

// tellOf has a state passed on with the next datagrams, a number of times that grows with the logarithm of the fleet.
func (m *Members) tellOf(i int) {
	p := &m.peers[i]
	if p.left = int8(4 * math.Ceil(math.Log10(float64(len(m.peers)+2)))); !p.queued {
		p.queued = true
		m.fresh = append(m.fresh, int32(i))
	}
}

// toldOfMe takes back what is said of this node and is not so. Another process of the same name shows by bidding again and
// again; the one with the higher run keeps the name, and the other goes quiet for a while.
func (m *Members) toldOfMe(r rumour) {
	switch {
	case r.number() < m.number || m.beat < m.yields:
		return
	case r.Run == m.set.Run:
		if r.State == Up && r.number() == m.number {
			return
		}
		m.counts.Refuted++
		if m.strain < mostStrain && r.State == Doubted {
			m.strain++
		}
	default:
		if m.rival != r.Run {
			m.rival, m.bids, m.bid = r.Run, 0, 0
		}
		if r.number() > m.bid {
			m.bid, m.bids = r.number(), m.bids+1
		}
		if m.bids >= twiceAfter && m.set.Run < r.Run {
			m.yields = m.beat + yieldFor
			return
		}
	}
	m.number = r.number() + 1
}

// Carry takes a load of another part of the node to a node, once, and may lose it. Longer than MostLoad it goes nowhere.
func (m *Members) Carry(to int, load []byte) {
	if m.gone || m.beat < m.yields || len(load) > MostLoad {
		return
	}
	for i := range m.peers {
		if int(m.peers[i].place) == to {
			m.send(i, &message{Kind: carried, Load: load})
			return
		}
	}
}

// Others are the places of the nodes that may hear: all that are not silent and have not left.
func (m *Members) Others() (out []int) {
	for i := range m.peers {
		if p := &m.peers[i]; p.state != Silent && p.state != Left {
			out = append(out, int(p.place))
		}
	}
	return out
}

// Leave tells some others that this node ends, which they pass on. Nothing is sent or taken in after it.
func (m *Members) Leave(now int64) {
	if m.beat < m.yields || m.gone {
		return
	}
	m.gone = true
	r := m.own()
	r.State = Left
	for range 2 {
		for _, i := range m.some(5, -1) {
			m.send(i, &message{Kind: tell, Told: []rumour{r}})
		}
	}
}
