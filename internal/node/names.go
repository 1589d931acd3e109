package node

// The names of the wire protocol: headers, paths, endpoint states and the meaning of status codes. Only this file maps
// them to the terms used in the code; the field names of an endpoint list are in internal/endpointlist. The wire names
// differ from the terms in the code:
//
//	header, cookie         meaning                                    field of policy.Request
//	X-Txn                  identifies the request                     ID
//	X-Lane                 class; "category" in error texts           Class
//	X-Org                  tenant; "customer" in error texts          Tenant
//	X-Remaining-Ms         time until the deadline, milliseconds      Deadline
//	X-Resent               the client has sent the request before     ClientRetry
//	X-Estimate             expected work at an endpoint               CostHint
//	cookie "key"           affinity key                               Key
//	X-Pressure             load report, in responses                  (policy.LoadReport)
//	X-Turned-Away          the request was rejected, in responses     (policy.OutcomeRejected)
//
// In the settings, classes are called "profiles" and tenants "parties"; a pod is "cell" or "block". Error texts for
// clients use the wire names, because clients may match them.

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
	affinityCookie    = "key" // its value is the request's affinity key

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
	envInherited = "NODE_INHERITED_FD" // descriptor of the client listener, if the platform opened it
)

// adminMethods maps each path of the admin API to its allowed method.
var adminMethods = map[string]string{
	pathReady: http.MethodGet, pathDisable: http.MethodPut, pathEnable: http.MethodPut, pathDrain: http.MethodPut,
	pathUndrain: http.MethodPut, pathMembers: http.MethodGet,
	pathState: http.MethodGet, pathRelays: http.MethodGet,
}

// hopByHopHeaders are not forwarded: they concern one connection or one attempt, or the node writes them itself.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true, "Host": true,
	headerRemaining: true, headerLoadReport: true, headerNotExecuted: true,
}

// removeHopByHopHeaders removes, in place, the headers that are not forwarded, including those that the sender lists in
// Connection. The request ID is always forwarded.
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

// watchHead returns the request that watches the endpoint list for changes after a version.
func watchHead(address string, version int64) string {
	return fmt.Sprintf("GET %s?watch=1&after=%d HTTP/1.1\r\nHost: %s\r\n\r\n", pathList, version, address)
}

// healthCheckHead returns the request of a health check.
func healthCheckHead(address string) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", pathLoad, address)
}

// isRequestFault reports whether a status means that the request itself is at fault. Any endpoint would respond like
// this, so the response is forwarded to the client and says nothing about the endpoint.
func isRequestFault(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooEarly, http.StatusTooManyRequests:
		return false
	}
	return status >= http.StatusBadRequest && status < http.StatusInternalServerError
}

// outcomeOf maps the status and headers of a complete response to its outcome, as the protocol defines it: 200 is the
// only success; any other 2xx and every 3xx is an error. A rejection proves that the request did not run, and requires
// X-Turned-Away in addition to the status. A request fault counts as OutcomeNotSent although the request was sent, so
// that the policy draws no conclusion about the endpoint.
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

// parseLoadReport parses the load report of a response header or of a health check. An empty text is an empty report.
func parseLoadReport(text string) policy.LoadReport { return loadreport.Parse(text) }

// endpointEntry is one entry of the endpoint list, with the address that this node connects to.
type endpointEntry struct {
	policy.EndpointInfo
	name    string
	address string
}

// zone returns the name of the endpoint's zone, or an empty string if the settings don't list that zone.
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

// maxStartedMs bounds an endpoint's start time in milliseconds of Unix time, so that it fits an int64 in nanoseconds.
const maxStartedMs = 9e12

// newEndpointEntry validates one entry of an endpoint list and converts it. Only an active endpoint needs an address.
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
		return endpointEntry{}, errors.New("share, born_ms: expected a weight of at least 0 and a start time from 0 to 9e12 ms")
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

// encodeList encodes an endpoint list in the discovery service's JSON format.
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

// endpointID returns the number that identifies an endpoint in the policy. It is a hash of the name, so that all nodes
// compute the same one.
func endpointID(name string) policy.EndpointID {
	hash := fnv.New32a()
	hash.Write([]byte(name))
	return policy.EndpointID(hash.Sum32())
}

// zoneIndex returns a zone's index in the settings, or -1.
func zoneIndex(name string, zones []string) int { return slices.Index(zones, name) }
