package node

// The names that the protocol uses on sockets: headers, paths, states and the status codes' meaning. They are mapped to
// the terms of the code here and nowhere else in this package; the field names of an endpoint list are in
// internal/endpointlist. The wire has its own words for what the code calls by the field's terms:
//
//	header, cookie         meaning                                    field of policy.Request
//	X-Txn                  identifies the request                     ID
//	X-Lane                 class; "category" in error texts           Class
//	X-Org                  tenant; "customer" in error texts          Tenant
//	X-Remaining-Ms         time until the deadline, milliseconds      Deadline
//	X-Resent               the client has sent the request before     ClientRetry
//	X-Estimate             expected work at an endpoint               CostHint
//	cookie "key"           what the request concerns                  Key
//	X-Pressure             load report, in responses                  (policy.LoadReport)
//	X-Turned-Away          the request was rejected, in responses     (policy.OutcomeRejected)
//
// In the settings classes are "profiles" and tenants "parties"; a pod is "cell" or "block". Error texts for clients keep
// the wire's words, as clients may match them.

import (
	"errors"
	"fmt"
	"hash/fnv"
	"net/http"
	"net/netip"
	"slices"
	"strings"

	"fawnglade/internal/endpointlist"
	"fawnglade/internal/loadreport"
	"fawnglade/policy"
)

const (
	headerRequestID   = "X-Txn"
	headerClass       = "X-Lane"
	headerTenant      = "X-Org"
	headerRemaining   = "X-Remaining-Ms"
	headerClientRetry = "X-Resent"
	headerCostHint    = "X-Estimate"
	headerLoadReport  = "X-Pressure"
	headerNotExecuted = "X-Turned-Away"
	headerRetryAfter  = "Retry-After"
	affinityCookie    = "key" // whose value is the request's affinity key

	pathReady   = "/ready"
	pathDisable = "/servers/disable"
	pathEnable  = "/servers/enable"
	pathDrain   = "/drain"
	pathUndrain = "/undrain"
	pathMembers = "/members"
	pathState   = "/state"
	pathRelays  = "/relays"
	queryTarget = "target"

	pathList = "/v1/endpoints"
	pathLoad = "/status/load"

	envConsole   = "NODE_CONSOLE"
	envInherited = "NODE_INHERITED_FD" // the descriptor of the listening socket for clients, if the platform opened it
)

// adminMethods are the methods of the admin API, by path.
var adminMethods = map[string]string{
	pathReady: http.MethodGet, pathDisable: http.MethodPut, pathEnable: http.MethodPut, pathDrain: http.MethodPut,
	pathUndrain: http.MethodPut, pathMembers: http.MethodGet,
	pathState: http.MethodGet, pathRelays: http.MethodGet,
}

// hopByHopHeaders are not passed on: they concern one connection, or one attempt, or are written by the node itself.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true, "Host": true,
	headerRemaining: true, headerLoadReport: true, headerNotExecuted: true,
}

// removeHopByHopHeaders removes, in place, the headers that are not passed on, also those that the sender names in Connection. The
// request id is always passed on.
func removeHopByHopHeaders(h http.Header) http.Header {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			name = http.CanonicalHeaderKey(strings.TrimSpace(name))
			if name != headerRequestID {
				delete(h, name)
			}
		}
	}
	for name := range hopByHopHeaders {
		delete(h, name)
	}
	return h
}

// watchHead is the request that watches the endpoint list for changes after a version.
func watchHead(address string, version int64) string {
	return fmt.Sprintf("GET %s?watch=1&after=%d HTTP/1.1\r\nHost: %s\r\n\r\n", pathList, version, address)
}

// healthCheckHead is the request of a health check.
func healthCheckHead(address string) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", pathLoad, address)
}

// isRequestFault reports a status that finds fault with the request itself. Any endpoint would, so the response is
// passed on to the client and says nothing about the endpoint.
func isRequestFault(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooEarly, http.StatusTooManyRequests:
		return false
	}
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError
}

// outcomeOf maps the head of a complete response to its outcome, as the protocol defines it: 200 is the only success,
// any other 2xx and a 3xx are errors. A rejection is proof that the request did not run, and needs its header besides
// the status. A request fault was sent and answered, but counts as OutcomeNotSent: the decisions are to draw no
// conclusion about the endpoint from it.
func outcomeOf(status int, h http.Header) policy.Outcome {
	unavailable := status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
	switch {
	case isRequestFault(status):
		return policy.OutcomeNotSent
	case status == http.StatusOK:
		return policy.OutcomeSucceeded
	case unavailable && h.Get(headerNotExecuted) == "1":
		return policy.OutcomeRejected
	}
	return policy.OutcomeError
}

// parseLoadReport reads the load report of a response's header or of a health check; an empty text is an empty report.
func parseLoadReport(text string) policy.LoadReport { return loadreport.Parse(text) }

// endpointEntry is one endpoint of the list, with the address that this node uses for it.
type endpointEntry struct {
	policy.EndpointInfo
	name    string
	address string
}

// zone is the name of the endpoint's zone; empty if it is none of the settings' zones.
func (e *endpointEntry) zone(zones []string) string {
	if e.Zone < 0 || e.Zone >= len(zones) {
		return ""
	}
	return zones[e.Zone]
}

// The states of an endpoint in the list.
const (
	stateUp       = "up"
	stateDraining = "draining"
	stateRemoved  = "removed"
)

var endpointStates = map[string]policy.EndpointState{
	stateUp:       policy.StateActive,
	stateDraining: policy.StateDraining,
	stateRemoved:  policy.StateRemoved,
}

var endpointStateNames = [...]string{
	policy.StateActive:   stateUp,
	policy.StateDraining: stateDraining,
	policy.StateRemoved:  stateRemoved,
}

// maxStartedMs bounds an endpoint's start time, in milliseconds of Unix time, so that nanoseconds fit an int64.
const maxStartedMs = 9e12

// newEndpointEntry checks one endpoint of a list and maps it to the terms of the decisions. An endpoint that is draining or
// removed needs no address.
func newEndpointEntry(listed endpointlist.Entry, zones []string) (endpointEntry, error) {
	state, ok := endpointStates[listed.State]
	if !ok {
		return endpointEntry{}, fmt.Errorf("health: expected up, draining or removed, got %q", listed.State)
	}
	if listed.Name == "" {
		return endpointEntry{}, errors.New("host: expected a name, got none")
	}
	if _, err := netip.ParseAddrPort(listed.Address); err != nil && state == policy.StateActive {
		return endpointEntry{}, fmt.Errorf("dial: %w", err)
	}
	if listed.Weight < 0 || listed.StartedMs < 0 || listed.StartedMs > maxStartedMs {
		return endpointEntry{}, errors.New("share, born_ms: expected numbers that can be a weight and a time")
	}
	return endpointEntry{
		name:    listed.Name,
		address: listed.Address,
		EndpointInfo: policy.EndpointInfo{
			ID:        endpointID(listed.Name),
			Zone:      zoneIndex(listed.Zone, zones),
			Pod:       listed.Pod,
			Weight:    listed.Weight,
			State:     state,
			StartedAt: policy.Time(listed.StartedMs * 1e6),
		},
	}, nil
}

// encodeList encodes a list in the form in which the discovery service sends it.
func encodeList(version int64, entries []endpointEntry, zones []string) []byte {
	list := make([]endpointlist.Entry, len(entries))
	for i, e := range entries {
		list[i] = endpointlist.Entry{
			Name:      e.name,
			Address:   e.address,
			Zone:      e.zone(zones),
			Pod:       e.Pod,
			Weight:    e.Weight,
			StartedMs: float64(e.StartedAt) / 1e6,
			State:     endpointStateNames[e.State],
		}
	}
	return endpointlist.Encode(version, list)
}

// endpointID is the number by which the decisions know an endpoint. It comes from the name alone, so that all nodes agree
// on it without messages.
func endpointID(name string) policy.EndpointID {
	hash := fnv.New32a()
	hash.Write([]byte(name))
	return policy.EndpointID(hash.Sum32())
}

// zoneIndex is a zone's place in the settings, or -1.
func zoneIndex(name string, zones []string) int { return slices.Index(zones, name) }
