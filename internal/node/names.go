package node

// This file owns every name that the protocol uses on a socket: headers, paths and states; those of a list's fields are
// internal/endpointlist's. It must never decide anything; no other file of the node holds a protocol name.

import (
	"errors"
	"fawnglade/internal/endpointlist"
	"fawnglade/internal/loadreport"
	"fawnglade/policy"
	"fmt"
	"hash/fnv"
	"net/http"
	"net/netip"
	"strings"
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
	affinityCookie    = "key" // what a request concerns

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
	envInherited = "NODE_INHERITED_FD" // the descriptor of the clients' listening socket, where the platform holds it
)

// adminMethods are the calls of the console.
var adminMethods = map[string]string{
	pathReady: http.MethodGet, pathDisable: http.MethodPut, pathEnable: http.MethodPut, pathDrain: http.MethodPut,
	pathUndrain: http.MethodPut, pathMembers: http.MethodGet,
	pathState: http.MethodGet, pathRelays: http.MethodGet,
}

// ownHeaders are written by the node itself or end at it: a connection's own, and those that tell of one attempt.
var ownHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true, "Host": true,
	headerRemaining: true, headerLoadReport: true, headerNotExecuted: true,
}

// endToEnd removes what concerns one connection only, also what the sender says does.
func endToEnd(h http.Header) http.Header {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if name = http.CanonicalHeaderKey(strings.TrimSpace(name)); name != headerRequestID {
				delete(h, name)
			}
		}
	}
	for name := range ownHeaders {
		delete(h, name)
	}
	return h
}

func watchHead(address string, version int64) string {
	return fmt.Sprintf("GET %s?watch=1&after=%d HTTP/1.1\r\nHost: %s\r\n\r\n", pathList, version, address)
}

// healthCheckHead is a probe.
func healthCheckHead(address string) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", pathLoad, address)
}

// isRequestFault tells an answer that finds fault with the request itself. Any server would, so it is the request's answer and says
// nothing of the server.
func isRequestFault(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooEarly, http.StatusTooManyRequests:
		return false
	}
	return status >= 400 && status < 500
}

// outcomeOf tells what a server's whole answer means.
func outcomeOf(status int, h http.Header) policy.Outcome {
	switch {
	case isRequestFault(status):
		return policy.OutcomeNotSent
	case status == http.StatusOK:
		return policy.OutcomeSucceeded
	case (status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout) && h.Get(headerNotExecuted) == "1":
		return policy.OutcomeRejected
	}
	return policy.OutcomeError
}

func parseLoadReport(text string) policy.LoadReport { return loadreport.Parse(text) }

// endpointEntry is one server of the list, with the address that this node is to use for it.
type endpointEntry struct {
	policy.EndpointInfo
	name    string
	address string
}

func (e *endpointEntry) zone(zones []string) string {
	if e.Zone < 0 || e.Zone >= len(zones) {
		return ""
	}
	return zones[e.Zone]
}

// entryFrom takes in one server of a list. A server that wants nothing new needs no address.
func entryFrom(in endpointlist.Entry, zones []string) (endpointEntry, error) {
	e := endpointEntry{name: in.Name, address: in.Address, EndpointInfo: policy.EndpointInfo{
		ID: endpointID(in.Name), Zone: zoneIndex(in.Zone, zones), Pod: in.Pod, Weight: in.Weight,
		StartedAt: policy.Time(in.StartedMs * 1e6),
	}}
	switch in.State {
	case "up":
		e.State = policy.StateActive
	case "draining":
		e.State = policy.StateDraining
	case "removed":
		e.State = policy.StateRemoved
	default:
		return endpointEntry{}, fmt.Errorf("health: expected up, draining or removed, got %q", in.State)
	}
	if in.Name == "" {
		return endpointEntry{}, errors.New("host: expected a name, got none")
	}
	if _, err := netip.ParseAddrPort(in.Address); err != nil && e.State == policy.StateActive {
		return endpointEntry{}, fmt.Errorf("dial: %w", err)
	}
	if in.Weight < 0 || in.StartedMs < 0 || in.StartedMs > 9e12 {
		return endpointEntry{}, errors.New("share, born_ms: expected numbers that can be a weight and a time")
	}
	return e, nil
}

// encodeList is a list in discovery's form.
func encodeList(version int64, entries []endpointEntry, zones []string) []byte {
	list := make([]endpointlist.Entry, len(entries))
	for i, e := range entries {
		list[i] = endpointlist.Entry{
			Name: e.name, Address: e.address, Zone: e.zone(zones), Pod: e.Pod, Weight: e.Weight, StartedMs: float64(e.StartedAt) / 1e6,
			State: [...]string{policy.StateActive: "up", policy.StateDraining: "draining", policy.StateRemoved: "removed"}[e.State],
		}
	}
	return endpointlist.Encode(version, list)
}

// endpointID makes the number that the decisions know a server by. It comes from the name alone, so that all nodes
// agree on it without talking.
func endpointID(host string) policy.EndpointID {
	h := fnv.New32a()
	h.Write([]byte(host))
	return policy.EndpointID(h.Sum32())
}

func zoneIndex(name string, zones []string) int {
	for i, z := range zones {
		if z == name {
			return i
		}
	}
	return -1
}
