// Package members implements a node's membership view: the state of every node of the fleet (unknown, alive, suspect,
// dead or left) with its start time and incarnation. The protocol is SWIM (Das, Gupta and Motivala 2002) with the local
// health awareness and suspicion timeouts of Lifeguard (Dadgar, Phillips and Currey 2017); docs/design/members.md lists
// the differences.
//
// This package gossips node states only. Two other packages exchange messages between nodes: package gossip exchanges
// the messages of the policy, and package endpointgossip exchanges endpoint lists as payloads of this package.
//
// The package has no I/O, clock or goroutine: the caller passes the time to each call, and the same calls give the same
// view. A Members is not safe for concurrent use. It makes no decision about requests or endpoints, and keeps no state
// for nodes that are not in Config.Nodes.
//
// Traffic is bounded for any number of nodes. A protocol period has ten ticks, in which a node initiates at most
//
//	2 probes · (4 pings + 6 ping-reqs) + 3 reconnecting pings + 2 gossip messages + 1 ping of a suspect = 26 datagrams
//
// and sends at most 10 · maxResponsesPerTick = 60 responses to other nodes, each shorter than MaxDatagramBytes.
// Payloads are not included; the packages that send them limit them. Memory is bounded by one record of less than 200
// bytes per node, 64 indirect probes for other nodes and 2 probes of this node.
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
	// TicksPerPeriod is the number of calls of Tick per protocol period.
	TicksPerPeriod = 10
	maxNodes       = 4096
)

// Config configures a node's membership view.
type Config struct {
	// Name is the name of this node. It must be among Nodes.
	Name string
	// Nodes are the names of all nodes. Transport and ReceivePayload identify a node by its index in Nodes.
	Nodes []string
	// Key is the HMAC key that authenticates datagrams. It must be the same at all nodes. With an empty key datagrams
	// carry only a checksum.
	Key []byte
	// ProtocolPeriodNs is the protocol period in nanoseconds; Tick must be called TicksPerPeriod times in each.
	ProtocolPeriodNs int64
	// Seed seeds the random number generator.
	Seed uint64
	// RunID distinguishes this process from others of the same name.
	RunID uint32
	// KnownStartsMs are the start times of other nodes by name, as persisted by an earlier run, in Unix milliseconds
	// of the clocks of those nodes. It may be nil.
	KnownStartsMs map[string]uint64
	// ReceivePayload is called by Receive with each payload that another node has sent by SendPayload. If it is nil,
	// payloads are dropped.
	ReceivePayload func(from int, payload []byte)
}

// Transport sends datagrams without guaranteeing delivery. It identifies a node by its index in Config.Nodes.
type Transport interface {
	Send(to int, datagram []byte)
}

// Counters count events since the start.
type Counters struct {
	Sent              int64 `json:"sent"`
	SentBytes         int64 `json:"sent_bytes"`
	Received          int64 `json:"heard"`
	ReceivedBytes     int64 `json:"heard_bytes"`
	Invalid           int64 `json:"bad"`          // malformed, too long or of another key; also invalid updates
	UnknownVersions   int64 `json:"versions"`     // datagrams with an unknown version of the wire format
	UnknownNodes      int64 `json:"strangers"`    // datagrams from and updates about nodes that are not in Config.Nodes
	Misdirected       int64 `json:"misled"`       // datagrams to another node, or with this node's own name as the sender
	StaleIncarnations int64 `json:"old"`          // datagrams from an earlier run or another process of the sender
	RateLimited       int64 `json:"held"`         // responses not sent because of maxResponsesPerTick
	Probes            int64 `json:"probes"`       // completed probes
	FailedProbes      int64 `json:"unanswered"`   // probes without an ack
	Suspicions        int64 `json:"doubts"`       // suspicions raised by failed probes of this node
	FalseSuspicions   int64 `json:"false_doubts"` // of these, the ones refuted by the suspect
	Failures          int64 `json:"silences"`     // nodes declared dead by this node when their suspicion timed out
	Refutations       int64 `json:"refuted"`      // updates about this node that it refuted
	Stalls            int64 `json:"standstills"`  // stalls of this process
}

// Members is the membership view of one node.
type Members struct {
	config    Config
	transport Transport
	random    *rand.Rand

	// Identity.
	id          uint64 // hash of the name
	incarnation uint64
	startMs     uint64
	hasLeft     bool // Leave was called

	// Name conflict: another process that uses this node's name.
	conflictRunID       uint32
	conflictClaims      int    // number of times that the other process has raised its incarnation
	conflictIncarnation uint64 // highest incarnation of the other process
	quietUntil          int64  // tick until which this process sends nothing
	latestKnownStartMs  uint64 // latest start of an earlier run of this node that other nodes have reported

	peers []peer // by id

	// Time and local health awareness.
	tick            int64
	lastCallAt      int64 // nanoseconds
	stallGraceUntil int64 // tick until which missing answers may be due to a stall
	healthScore     int64
	probeResults    []bool // whether each of the last maxProbeResults probes was answered, oldest first
	lastProbeAt     int64  // when the last probe was completed, nanoseconds

	// Work in progress. Peers are identified by their index in peers.
	sequence        uint64
	probes          []*probe
	indirectProbes  []indirectProbe
	probeOrder      []int32 // peers still to be probed in this pass; reshuffled when empty
	reconnectOrder  []int32 // peers that are neither alive nor suspect, to be pinged by reconnect
	broadcasts      []int32 // peers whose state is still to be gossiped
	suspects        []int32
	digestBucket    int
	responsesInTick int
	counters        Counters
}

// New returns the view of a node that starts now. now is in Unix nanoseconds of a clock that is monotonic while the
// node runs.
func New(config Config, transport Transport, now int64) (*Members, error) {
	if len(config.Nodes) > maxNodes {
		return nil, fmt.Errorf("members: expected at most %d nodes, got %d", maxNodes, len(config.Nodes))
	}
	if config.Name == "" || config.ProtocolPeriodNs <= 0 {
		return nil, errors.New("members: expected a node name and a protocol period above 0")
	}
	if !slices.Contains(config.Nodes, config.Name) {
		return nil, fmt.Errorf("members: expected the node name %q among the names of all nodes", config.Name)
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
			return fmt.Errorf("members: expected distinct node names, got %q twice or two names with the same hash",
				m.config.Nodes[p.nodeIndex])
		}
	}
	return nil
}

// find returns the index of the peer with an ID, or -1.
func (m *Members) find(id uint64) int {
	i, found := slices.BinarySearchFunc(m.peers, id, func(p peer, id uint64) int { return cmp.Compare(p.id, id) })
	if !found {
		return -1
	}
	return i
}

// SendPayload sends a payload of another package to a node. Delivery is not guaranteed. A payload longer than
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

// Reachable returns the indexes of the other nodes that are neither dead nor left.
func (m *Members) Reachable() (nodes []int) {
	for i := range m.peers {
		if p := &m.peers[i]; p.state != Dead && p.state != Left {
			nodes = append(nodes, int(p.nodeIndex))
		}
	}
	return nodes
}

// Leave notifies some nodes that this node is shutting down; they gossip it to the others. Afterwards this node neither
// sends nor receives.
func (m *Members) Leave() {
	const rounds, nodesPerRound = 2, 5
	if m.isQuiet() || m.hasLeft {
		return
	}
	m.hasLeft = true
	leftUpdate := m.selfUpdate()
	leftUpdate.State = Left
	for range rounds {
		for _, i := range m.randomAlive(nodesPerRound, -1) {
			m.send(i, &message{Kind: gossip, Updates: []update{leftUpdate}})
		}
	}
}
