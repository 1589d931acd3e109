// Package endpointsource decides which of two sources of the endpoint list is active on a node: the relays of the
// distribution tree, or the node's own watch of discovery. It does no I/O, reads no clock and starts no goroutines. The
// caller passes the time to each call, and the same calls return the same updates.
//
// Both sources send the endpoint list with versions that discovery assigns; relays forward the origin's version. The
// rules are:
//
//   - No source is active until one has sent a complete list. Discovery is not watched for the first
//     RelayStartupWaitNs, as relays may answer.
//   - Relays are active while they are fresh: they have sent a complete list, their list was current less than the
//     configured time ago, and the origin's watch of discovery is connected. They take over from a connected discovery
//     watch once they have reached the version that discovery had when they became fresh.
//   - Otherwise discovery is active, as soon as its watch is connected and has sent a complete list. Until then the
//     current list stays in use.
//
// The list of a source that takes over with a lower or unknown version may be older than the previous list. It is then
// merged with the previous list (the overlay, see Selector.resolve), so that no endpoint is lost, and none that was
// draining or removed is used again.
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

// String returns the name of the source in the admin API.
func (s Source) String() string {
	switch s {
	case SourceNone:
		return "nobody" // kept for clients of the admin API
	case SourceRelays:
		return "relays"
	case SourceDiscovery:
		return "discovery"
	}
	return fmt.Sprintf("Source(%d)", int(s))
}

// EndpointState is the state of an endpoint in a list. Higher values are closer to removal.
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
	StartedAtNs int64 // start of the endpoint's process, Unix time in nanoseconds; 0: long ago
	Value       V     // data of the caller, passed through unchanged
}

// Update holds the changes to the list in use. The zero value stands for no change.
type Update[V any] struct {
	Endpoints []Endpoint[V] // sorted by name
	Complete  bool          // Endpoints is the complete list; all others are removed
	Version   int64         // of the active source's list; 0: unknown
	Changed   bool          // the update must be applied, even if it is an empty complete list
}

// list is the endpoint list as one source has sent it.
type list[V any] struct {
	endpoints map[string]Endpoint[V]
	complete  bool  // the source has sent a complete list at least once
	version   int64 // 0: unknown
	connected bool  // the source is connected and sends changes
	asOfNs    int64 // when the list was last known to be current
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
