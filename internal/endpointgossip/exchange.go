// Package endpointgossip gives a node the endpoint list of other nodes while its own watch of discovery is down: which
// nodes it asks, how often, which of several lists it accepts, and what it responds when asked.
//
// The package has no I/O, clock or goroutine: the caller passes the time to each call, messages go out through a
// Transport, and the same calls give the same lists. An Exchange is not safe for concurrent use.
//
// Two other packages exchange messages between nodes: package members which nodes are alive (it carries the messages of
// this one), and package gossip those of the decisions.
//
// The terms: a list is watched if some node's own watch of discovery has sent it since that node started, and
// remembered if it is only known from before a start (persisted, or configured). It is confirmed whenever a watch that
// has sent it receives anything. A witness is a node whose own watch is up and that sends the list to this one.
//
// Which of two lists wins:
//
//   - An update of the node's own watch ends the use of gossiped lists.
//   - A watched list wins over a remembered one.
//   - Of two such lists, or two remembered ones, the higher version wins. Two of the same version, or a remembered one
//     with a higher version than a watched one, are merged with caution: more endpoints, more of them draining, later
//     starts. So nodes come to the same list in whatever order responses come, unless lists of one version differ so
//     much that together they leave less than half of the endpoints.
//   - An endpoint that was known and is not on a newer list counts as draining, not as removed.
//   - A list that leaves less than half of the endpoints that the node could use is accepted once it has two witnesses.
//   - A list that was not confirmed within FreshForNs says which endpoints serve, not since when: endpoints that are new
//     in it count as just started. Its age is counted from when the request went out.
//
// What is sent: a node whose watch is up sends no requests. One whose watch is down sends at most maxRequestsPerTick,
// and any node at most maxResponsesPerTick responses in a tick; so N nodes send at most N · 28 messages in a tick, each
// below MaxMessageBytes. Nodes to ask are drawn at random, so that nodes that start together do not ask the same one.
// What is kept: at most two lists and the one that is being gathered, of MaxEndpoints each.
package endpointgossip

import (
	"maps"
	"math/rand/v2"
	"slices"
)

const (
	// MaxMessageBytes is the length that no message reaches.
	MaxMessageBytes = 1000
	// MaxEndpoints is how many endpoints a list may have.
	MaxEndpoints = 8192
	// FreshForNs is for how long after its confirmation a list says since when endpoints run, nanoseconds.
	FreshForNs = int64(5e9)

	nodesPerRequest     = 2
	maxRequestsPerTick  = 4
	maxResponsesPerTick = 24
	maxBackoffTicks     = 10 // between requests
	watchGraceTicks     = 5  // for which a watch that is up may be without its first event
	randomStream        = 11 // of the seed
)

// Transport sends messages to other nodes, which are named by their index; it may lose them.
type Transport interface {
	SendPayload(to int, message []byte)
	// Reachable are the nodes that are not known to be gone.
	Reachable() []int
}

// Counters count events since the start.
type Counters struct {
	Requests    int64 `json:"asked"`
	Responses   int64 `json:"answered"`
	RateLimited int64 `json:"held"` // beyond maxResponsesPerTick
	Invalid     int64 `json:"bad"`  // messages
	Accepted    int64 `json:"taken"`
	Unconfirmed int64 `json:"doubted"` // lists that would have removed most endpoints with too few witnesses
}

// Exchange is one node's part in the exchange of endpoint lists.
type Exchange struct {
	transport Transport
	random    *rand.Rand

	// The node's own watch.
	watchedEndpoints  map[string]Endpoint // the list that it has sent, or goes on from
	watchedVersion    int64               // 0: none
	watchUp           bool
	watchReceivedAt   int64 // when it last received anything, nanoseconds
	ticksWithoutEvent int   // for which it has been up without an event

	current          *list // the list to respond with; while the watch is down the node uses it
	usesGossipedList bool  // the node uses a gossiped list
	transfer         *transfer

	startedAt       int64 // nanoseconds
	now             int64 // nanoseconds
	tick            int64
	nextRequestTick int64 // tick
	backoffTicks    int64 // ticks
	betterListNode  int   // a node that has reported a better list; -1: none
	requestsInTick  int
	responsesInTick int
	counters        Counters
}

// New begins with the list that the node remembers, which may be empty. watchResumes: the node's watch goes on from
// that list. now is in Unix nanoseconds of the node's clock, which never goes back while the node runs.
func New(
	seed uint64, transport Transport, now, version int64, remembered []Endpoint, watchResumes bool,
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
	if len(remembered) > 0 && len(remembered) <= MaxEndpoints {
		e.current = newList(version, slices.Clone(remembered), 0, true)
		for _, endpoint := range remembered {
			e.watchedEndpoints[endpoint.Name] = endpoint
		}
		if watchResumes {
			e.watchedVersion = version
		}
	}
	e.nextRequestTick = 1 + e.random.Int64N(2)
	return e
}

// WatchUpdated takes in an update of the node's own watch: endpoints, and the names of those that were removed. Where
// the node has used a gossiped list it returns the whole watched list to use instead, else nil.
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

// watchRecovered ends the use of gossiped lists; it returns the watched list if one was used.
func (e *Exchange) watchRecovered(heardAt int64) (endpoints []Endpoint) {
	e.watchUp = true
	e.watchReceivedAt = heardAt
	e.ticksWithoutEvent = 0
	e.transfer = nil
	e.betterListNode = -1
	e.current = nil // made when it is needed
	if e.usesGossipedList {
		endpoints = e.currentList().endpoints
	}
	e.usesGossipedList = false
	return endpoints
}

// currentList is the list to respond with; nil: there is none.
func (e *Exchange) currentList() *list {
	if e.watchUp {
		if e.current == nil {
			e.current = newList(e.watchedVersion, slices.Collect(maps.Values(e.watchedEndpoints)), 0, false)
		}
		e.current.confirmedAt = e.watchReceivedAt
	}
	return e.current
}

// Tick is called at regular times, ten times in a round of the membership. watchReceivedAt is when the node's own watch
// last received anything, an empty line included; 0: it is down. It returns a list as WatchUpdated does.
func (e *Exchange) Tick(now, watchHeardAt int64) []Endpoint {
	e.now = max(e.now, now)
	e.tick++
	e.requestsInTick, e.responsesInTick = 0, 0
	if watchHeardAt > 0 && e.watchUp {
		e.watchReceivedAt = max(e.watchReceivedAt, watchHeardAt)
		return nil
	}
	if watchHeardAt == 0 {
		e.ticksWithoutEvent = 0
	} else {
		e.ticksWithoutEvent++
	}
	if e.ticksWithoutEvent > watchGraceTicks && e.watchedVersion > 0 { // it goes on from the list before, unchanged
		return e.watchRecovered(watchHeardAt)
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

// watchFailed schedules the first request at random, as all nodes lose discovery at one moment.
func (e *Exchange) watchFailed() {
	e.currentList() // built while the watch counts as up, so that it is not lost
	e.watchUp = false
	e.backoffTicks = 1
	e.nextRequestTick = e.tick + e.random.Int64N(maxBackoffTicks)
}

// Receive takes in a message of another node. It returns the endpoints that the node is to use from now on, nil if
// nothing changes; an endpoint that is not among them stays as it is.
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
	if m.RequestedAt < e.startedAt || m.RequestedAt > e.now { // to an earlier run, or to no request of this node
		e.counters.Invalid++
		return nil
	}
	return e.handleResponse(from, &m)
}
