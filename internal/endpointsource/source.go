// Package endpointsource decides which of two sources of the endpoint list is active on a node: the relays of the
// distribution tree, or discovery's own watch. It is pure: no I/O, no clock and no goroutine. The caller passes the
// time in, and the same calls give the same updates.
//
// Both sources carry the endpoint list at versions counted by discovery; relays pass the origin's version on. The
// rule:
//
//   - No source is active until one has sent a complete list. Discovery is not watched for the first
//     RelayStartupWaitNs, as relays may answer.
//   - Relays are active while they are fresh: they have sent a complete list, what they sent was current less than
//     the configured time ago, and the origin's own watch of discovery is connected. They take over from a connected
//     discovery watch once they have reached the version that discovery had when they became fresh.
//   - Otherwise discovery is active, as soon as its watch is connected and has sent a complete list. Until then the
//     current list stays in use.
//
// A source that takes over with a lower version, or an unknown one, may know less than the previous source. Its list
// is then merged with the previous list (the overlay, see Selector.resolve), so that no endpoint is lost and none
// that was draining or removed comes back.
package endpointsource

import "fmt"

// Source is one of the sources of the endpoint list.
type Source int

// The sources of the endpoint list.
const (
	SourceNone      Source = iota // no complete list yet
	SourceRelays                  // the relays of the distribution tree
	SourceDiscovery               // the node's own watch of discovery
	sourceCount
)

// String returns the name that the admin API shows.
func (s Source) String() string {
	switch s {
	case SourceNone:
		return "nobody" // a value that clients of the admin API know
	case SourceRelays:
		return "relays"
	case SourceDiscovery:
		return "discovery"
	}
	return fmt.Sprintf("Source(%d)", int(s))
}

// EndpointState is the state of an endpoint in a list. A higher value is further withdrawn from service.
type EndpointState uint8

// The states of an endpoint.
const (
	StateUp EndpointState = iota
	StateDraining
	StateRemoved
)

// String returns the state's name.
func (s EndpointState) String() string {
	switch s {
	case StateUp:
		return "up"
	case StateDraining:
		return "draining"
	case StateRemoved:
		return "removed"
	}
	return fmt.Sprintf("EndpointState(%d)", uint8(s))
}

// Endpoint is one endpoint as a source describes it.
type Endpoint[V any] struct {
	Name        string
	State       EndpointState
	StartedAtNs int64 // Unix time in nanoseconds; 0: long ago
	Value       V     // the caller's own description, passed through
}

// Update is what has changed in the list that the node uses. The zero value says that nothing has.
type Update[V any] struct {
	Endpoints []Endpoint[V] // sorted by name
	Complete  bool          // endpoints that are not in Endpoints are removed
	Version   int64         // of the active source's list; 0: not known
	Changed   bool          // there is something to apply, be it an empty complete list
}

// list is the endpoint list as one source has sent it.
type list[V any] struct {
	endpoints map[string]Endpoint[V]
	complete  bool  // the source has sent a complete list at least once
	version   int64 // 0: not known
	connected bool  // the source sends changes
	asOfNs    int64 // when it last sent anything, or when what it sent was current
}

func (l *list[V]) apply(endpoints []Endpoint[V]) {
	for _, endpoint := range endpoints {
		if endpoint.State == StateRemoved {
			delete(l.endpoints, endpoint.Name)
		} else {
			l.endpoints[endpoint.Name] = endpoint
		}
	}
}
