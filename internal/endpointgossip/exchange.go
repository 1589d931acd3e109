// Package endpointgossip fetches the endpoint list from other nodes while the node's own watch of discovery is down. It
// decides which nodes are sent requests and how often, which of several lists is accepted, and how requests of other
// nodes are answered.
//
// The package has no I/O, clock or goroutine: the caller passes the time to each call, messages are sent through a
// Transport, and the same calls give the same lists. An Exchange is not safe for concurrent use.
//
// Two other packages exchange messages between nodes: package members tracks which nodes are alive, and carries the
// messages of this package as payloads; package gossip exchanges the messages of the policy.
//
// Terms:
//
//   - A list is watched if the watch of some node has received it from discovery since that node started.
//   - A list is restored if it is only known from persisted state or configuration.
//   - A list is confirmed whenever a watch that has received it receives anything else.
//   - A witness of a list is a node whose own watch is up and that sends the list to this node.
//
// Which of two lists is used:
//
//   - An update of the node's own watch ends the use of gossiped lists.
//   - A watched list replaces a restored one of a lower version.
//   - Of two watched lists, or two restored ones, the one with the higher version is used. Two lists of the same
//     version, or a watched list and a restored one with a higher version, are merged cautiously: the result has all
//     endpoints of both. An endpoint on both is draining if either list says so. Its start time is the later of the
//     two, or that of the watched list if the other is restored. So all nodes get the same list in whatever order
//     responses arrive, unless lists of the same version differ so much that merged they leave less than half of the
//     endpoints active.
//   - An endpoint of the current list that is not on a newer list counts as draining, not as removed.
//   - A list that leaves less than half of the currently active endpoints active needs two witnesses.
//   - A list that was not confirmed within FreshForNs is trusted for which endpoints exist, but not for when they
//     started: endpoints that are new in it count as just started. Its age is counted from when the request was sent.
//
// Traffic is bounded: a node whose watch is up sends no requests, one whose watch is down sends at most
// maxRequestsPerTick requests per tick, and every node sends at most maxResponsesPerTick responses per tick. So N nodes
// send at most N · 28 messages per tick, each shorter than MaxMessageBytes. Requests go to random nodes, so that nodes
// that start at the same time don't all send theirs to the same node. Memory is bounded by two lists and the one that
// is being transferred, of at most MaxEndpoints endpoints each.
package endpointgossip

import (
	"maps"
	"math/rand/v2"
	"slices"
)

const (
	// MaxMessageBytes is the exclusive upper limit on the length of a message.
	MaxMessageBytes = 1000
	// MaxEndpoints is the maximum number of endpoints on a list.
	MaxEndpoints = 8192
	// FreshForNs is for how long after its last confirmation a list is trusted for the start times of endpoints, in
	// nanoseconds.
	FreshForNs = int64(5e9)

	nodesPerRequest     = 2
	maxRequestsPerTick  = 4
	maxResponsesPerTick = 24
	maxBackoffTicks     = 10 // maximum delay between requests
	watchGraceTicks     = 5  // without an event, after which a watch that resumed from a list is taken to have no changes
	randomStream        = 11 // second seed of the random number generator
)

// Transport sends messages to other nodes without guaranteeing delivery. It identifies a node by its index.
type Transport interface {
	SendPayload(to int, message []byte)
	// Reachable returns the other nodes that are neither dead nor left.
	Reachable() []int
}

// Counters count events since the start.
type Counters struct {
	Requests    int64 `json:"asked"`
	Responses   int64 `json:"answered"`
	RateLimited int64 `json:"held"` // responses not sent because of maxResponsesPerTick
	Invalid     int64 `json:"bad"`  // messages that were malformed or answered no request of this node
	Accepted    int64 `json:"taken"`
	Unconfirmed int64 `json:"doubted"` // lists not accepted yet because they remove most endpoints and lack witnesses
}

// Exchange exchanges endpoint lists with other nodes on behalf of one node.
type Exchange struct {
	transport Transport
	random    *rand.Rand

	// The node's own watch.
	watchedEndpoints  map[string]Endpoint // the list that the watch has sent or resumes from
	watchedVersion    int64               // 0: none
	watchUp           bool
	watchReceivedAt   int64 // when the watch last received anything, nanoseconds
	ticksWithoutEvent int   // for which the watch has been up without an event

	current          *list // the list to respond with, and to use while the watch is down; nil: see currentList
	usesGossipedList bool  // current was accepted from other nodes and is in use
	transfer         *transfer

	startedAt       int64 // nanoseconds
	now             int64 // nanoseconds
	tick            int64
	nextRequestTick int64
	backoffTicks    int64
	betterListNode  int // node whose request showed that it has a better list; -1: none
	requestsInTick  int
	responsesInTick int
	counters        Counters
}

// New returns an Exchange that begins with the restored list, which may be empty. watchResumes: the node's watch
// resumes from that list, so that it gets later changes only. now is in Unix nanoseconds of a clock that is monotonic
// while the node runs.
func New(
	seed uint64, transport Transport, now, version int64, restored []Endpoint, watchResumes bool,
) *Exchange {
	e := &Exchange{
		transport:        transport,
		random:           rand.New(rand.NewPCG(seed, randomStream)),
		watchedEndpoints: map[string]Endpoint{},
		betterListNode:   -1,
		backoffTicks:     1,
		startedAt:        now,
		now:              now,
	}
	if len(restored) > 0 && len(restored) <= MaxEndpoints {
		e.current = newList(version, slices.Clone(restored), 0, true)
		for _, endpoint := range restored {
			e.watchedEndpoints[endpoint.Name] = endpoint
		}
		if watchResumes {
			e.watchedVersion = version
		}
	}
	e.nextRequestTick = 1 + e.random.Int64N(2)
	return e
}

// WatchUpdated applies an update of the node's own watch: endpoints, and the names of removed ones. complete: endpoints
// are the complete list. If the node has used a gossiped list, it returns the complete watched list to use instead;
// otherwise it returns nil.
func (e *Exchange) WatchUpdated(
	now, version int64, endpoints []Endpoint, removed []string, complete bool,
) []Endpoint {
	if complete {
		e.watchedEndpoints = map[string]Endpoint{}
	}
	for _, endpoint := range endpoints {
		e.watchedEndpoints[endpoint.Name] = endpoint
	}
	for _, name := range removed {
		delete(e.watchedEndpoints, name)
	}
	e.now = max(e.now, now)
	e.watchedVersion = version
	return e.watchRecovered(e.now)
}

// watchRecovered ends the use of gossiped lists. It returns the watched list if a gossiped one was used, and nil
// otherwise.
func (e *Exchange) watchRecovered(receivedAt int64) (endpoints []Endpoint) {
	e.watchUp = true
	e.watchReceivedAt = receivedAt
	e.ticksWithoutEvent = 0
	e.transfer = nil
	e.betterListNode = -1
	e.current = nil // built by currentList when it is needed
	if e.usesGossipedList {
		endpoints = e.currentList().endpoints
	}
	e.usesGossipedList = false
	return endpoints
}

// currentList returns the list to respond with, or nil if there is none.
func (e *Exchange) currentList() *list {
	if e.watchUp {
		if e.current == nil {
			e.current = newList(e.watchedVersion, slices.Collect(maps.Values(e.watchedEndpoints)), 0, false)
		}
		e.current.confirmedAt = e.watchReceivedAt
	}
	return e.current
}

// Tick must be called at regular intervals, ten times per protocol period of package members. watchReceivedAt is when
// the node's own watch last received anything, including an empty line; 0: the watch is down. Tick returns a list as
// WatchUpdated does.
func (e *Exchange) Tick(now, watchReceivedAt int64) []Endpoint {
	e.now = max(e.now, now)
	e.tick++
	e.requestsInTick, e.responsesInTick = 0, 0
	if watchReceivedAt > 0 && e.watchUp {
		e.watchReceivedAt = max(e.watchReceivedAt, watchReceivedAt)
		return nil
	}
	if watchReceivedAt == 0 {
		e.ticksWithoutEvent = 0
	} else {
		e.ticksWithoutEvent++
	}
	if e.ticksWithoutEvent > watchGraceTicks && e.watchedVersion > 0 { // the watch has resumed, and its list is unchanged
		return e.watchRecovered(watchReceivedAt)
	}
	if e.watchUp {
		e.watchFailed()
	}
	e.continueTransfer()
	if e.tick >= e.nextRequestTick {
		e.requestFromRandomNodes()
	}
	return nil
}

// watchFailed schedules the first request after a random delay, because all nodes may lose discovery at the same time.
func (e *Exchange) watchFailed() {
	e.currentList() // builds the watched list, which is only possible while watchUp is set
	e.watchUp = false
	e.backoffTicks = 1
	e.nextRequestTick = e.tick + e.random.Int64N(maxBackoffTicks)
}

// Receive handles a message of another node. It returns endpoints for the node to use from now on, or nil if nothing
// changes; endpoints that are not returned stay unchanged.
func (e *Exchange) Receive(now int64, from int, encoded []byte) []Endpoint {
	e.now = max(e.now, now)
	m, ok := decode(encoded)
	if !ok {
		e.counters.Invalid++
		return nil
	}
	if m.Kind == requestKind {
		e.respond(from, &m)
		return nil
	}
	if e.watchUp {
		return nil
	}
	if m.RequestedAt < e.startedAt || m.RequestedAt > e.now { // response to an earlier run, or to no request of this node
		e.counters.Invalid++
		return nil
	}
	return e.handleResponse(from, &m)
}
