// Package members keeps one node's view of the other nodes of the fleet: unknown, alive, suspect, dead or left, each
// with its start and incarnation. The protocol is SWIM (Das, Gupta and Motivala 2002) with local health awareness and
// suspicion timeouts of Lifeguard (Dadgar, Phillips and Currey 2017); docs/design/members.md lists the differences.
//
// Its gossip is about the nodes themselves. Two other packages exchange messages between nodes: package gossip those of
// the decisions, and package endpointgossip endpoint lists, as payloads of this one.
//
// The package has no I/O, clock or goroutine: the caller passes the time to each call, and the same calls give the same
// view. A Members is not safe for concurrent use. No decision about requests or endpoints is made here, and nothing is
// kept of a node that is not in Config.Nodes.
//
// What is sent, for any number of nodes: a round is ten ticks, in which a node sends on its own at most
//
//	2 probes · (4 pings + 6 ping-reqs) + 3 reconnecting pings + 2 gossip messages + 1 ping of a suspect = 26 datagrams,
//
// and in answer to others at most 10 · maxResponsesPerTick = 60, each below MaxDatagramBytes. Payloads of other parts of
// the node come on top; these parts bound them. What is kept: one record of less than 200 bytes for each node, 64
// indirect probes for others and 2 own probes.
package members

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// TicksPerPeriod is how often Tick is to be called in a round.
	TicksPerPeriod = 10
	maxNodes       = 4096
)

// Config is the configuration of one node's view.
type Config struct {
	// Name is this node's, which is to be among Nodes.
	Name string
	// Nodes are the names of all nodes; a node's index is its identity towards Transport and ReceivePayload.
	Nodes []string
	// Key authenticates datagrams and has to be alike at all nodes. Empty: datagrams carry a checksum alone.
	Key []byte
	// ProtocolPeriodNs is the length of a round in nanoseconds; Tick is to be called ten times in each.
	ProtocolPeriodNs int64
	// Seed is that of all random draws.
	Seed uint64
	// RunID distinguishes this process from others of the same name.
	RunID uint32
	// KnownStartsMs are the starts of other nodes, in milliseconds of their clocks by name, from an earlier run. May be
	// nil.
	KnownStartsMs map[string]uint64
	// ReceivePayload is called from within Receive with what another node has sent by SendPayload. Nil: payloads are
	// dropped.
	ReceivePayload func(from int, payload []byte)
}

// Transport sends datagrams, which it may lose. A node is named by its index in Config.Nodes.
type Transport interface {
	Send(to int, datagram []byte)
}

// Counters count events since the start.
type Counters struct {
	Sent              int64 `json:"sent"`
	SentBytes         int64 `json:"sent_bytes"`
	Received          int64 `json:"heard"`
	ReceivedBytes     int64 `json:"heard_bytes"`
	Invalid           int64 `json:"bad"`          // too long, damaged, or of another key
	UnknownVersions   int64 `json:"versions"`     // of the wire format
	UnknownNodes      int64 `json:"strangers"`    // datagrams from and updates about nodes that are not configured
	Misdirected       int64 `json:"misled"`       // addressed to another node
	StaleIncarnations int64 `json:"old"`          // from an earlier run of the sender
	RateLimited       int64 `json:"held"`         // beyond maxResponsesPerTick
	Probes            int64 `json:"probes"`       // that have ended
	FailedProbes      int64 `json:"unanswered"`   // of these
	Suspicions        int64 `json:"doubts"`       // raised by this node's own probes
	FalseSuspicions   int64 `json:"false_doubts"` // of these, refuted by the suspect
	Failures          int64 `json:"silences"`     // suspicions that timed out here
	Refutations       int64 `json:"refuted"`      // suspicions of this node that it refuted
	Stalls            int64 `json:"standstills"`  // of this node's process
}

// Members is one node's view of the fleet.
type Members struct {
	config    Config
	transport Transport
	random    *rand.Rand

	// Identity.
	id          uint64 // hash of the name
	incarnation uint64
	startMs     uint64
	hasLeft     bool // Leave was called

	// Another process of this name.
	conflictRunID       uint32
	conflictClaims      int    // how often it has raised its incarnation above this node's
	conflictIncarnation uint64 // the highest bid
	quietUntil          int64  // tick until which this process sends nothing
	latestKnownStartMs  uint64 // of earlier runs of this node, as other nodes know it

	peers []peer // by id

	// Time and local health awareness.
	tick            int64
	lastCallAt      int64 // nanoseconds
	stallGraceUntil int64 // tick until which a stall may be the cause of what is seen
	healthScore     int64
	probeResults    []bool // of the last probes, whether they were answered; the newest last
	lastProbeAt     int64  // when the newest of these ended, nanoseconds

	// Work in progress. Peers are named by their index.
	sequence        uint64
	probes          []*probe
	indirectProbes  []indirectProbe
	probeOrder      []int32 // peers to be probed, shuffled anew when it is used up
	reconnectOrder  []int32 // peers that are not alive, to be pinged
	broadcasts      []int32 // peers whose state is to be gossiped
	suspects        []int32
	digestBucket    int
	responsesInTick int
	counters        Counters
}

// New makes the view of a node that starts now, in Unix nanoseconds of a clock that never goes back while the node
// runs.
func New(config Config, transport Transport, now int64) (*Members, error) {
	if len(config.Nodes) > maxNodes {
		return nil, fmt.Errorf("members: expected at most %d nodes, got %d", maxNodes, len(config.Nodes))
	}
	if config.Name == "" || config.ProtocolPeriodNs <= 0 {
		return nil, errors.New("members: expected a name and a round above 0")
	}
	if !slices.Contains(config.Nodes, config.Name) {
		return nil, fmt.Errorf("members: expected %q among the names of all nodes", config.Name)
	}
	startMs := uint64(max(now, 0) / 1e6)
	m := &Members{
		config:      config,
		transport:   transport,
		random:      rand.New(rand.NewPCG(config.Seed, uint64(config.RunID))),
		id:          xxhash.Sum64String(config.Name),
		startMs:     startMs,
		incarnation: startMs,
		lastCallAt:  now,
	}
	if err := m.addPeers(now); err != nil {
		return nil, err
	}
	return m, nil
}

func (m *Members) addPeers(now int64) error {
	for i, name := range m.config.Nodes {
		if name == m.config.Name {
			continue
		}
		m.peers = append(m.peers, peer{
			id:           xxhash.Sum64String(name),
			nodeIndex:    int32(i),
			stateSince:   now,
			priorStartMs: m.config.KnownStartsMs[name],
		})
	}
	slices.SortFunc(m.peers, func(a, b peer) int { return cmp.Compare(a.id, b.id) })
	for i := range m.peers {
		p := &m.peers[i]
		if p.id == m.id || i > 0 && p.id == m.peers[i-1].id {
			return fmt.Errorf("members: expected names that differ, got %q twice or two that are alike in hash",
				m.config.Nodes[p.nodeIndex])
		}
	}
	return nil
}

// find returns the index of a peer, or -1.
func (m *Members) find(id uint64) int {
	i, found := slices.BinarySearchFunc(m.peers, id, func(p peer, id uint64) int { return cmp.Compare(p.id, id) })
	if !found {
		return -1
	}
	return i
}

// SendPayload sends a payload of another part of the node to a node. It is sent once and may be lost; one longer than
// MaxPayloadBytes is not sent.
func (m *Members) SendPayload(to int, content []byte) {
	if m.hasLeft || m.isQuiet() || len(content) > MaxPayloadBytes {
		return
	}
	for i := range m.peers {
		if int(m.peers[i].nodeIndex) == to {
			m.send(i, &message{Kind: payload, Payload: content})
			return
		}
	}
}

// Reachable are the indexes of the nodes that are neither dead nor have left.
func (m *Members) Reachable() (nodes []int) {
	for i := range m.peers {
		if p := &m.peers[i]; p.state != Dead && p.state != Left {
			nodes = append(nodes, int(p.nodeIndex))
		}
	}
	return nodes
}

// Leave notifies some nodes, which pass it on, that this node ends. Nothing is sent or received afterwards.
func (m *Members) Leave() {
	const rounds, nodesPerRound = 2, 5
	if m.isQuiet() || m.hasLeft {
		return
	}
	m.hasLeft = true
	left := m.selfUpdate()
	left.State = Left
	for range rounds {
		for _, i := range m.randomAlive(nodesPerRound, -1) {
			m.send(i, &message{Kind: gossip, Updates: []update{left}})
		}
	}
}
