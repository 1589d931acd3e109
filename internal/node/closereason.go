package node

// Why connections are closed: to upstreams and from clients. Every close is counted under its reason; unusual ones are
// also logged (diagnostics.go).

import "fmt"

// closeReason is why the node closed a connection to an upstream.
type closeReason uint8

const (
	closeIdleTimeout       closeReason = iota // idle for most of the idle timeout
	closeByUpstream                           // the upstream closed or reset it while it was idle
	closeUnsolicitedInput                     // bytes arrived that no request asked for
	closeIneligible                           // its endpoint gets no new requests at this address
	closeSlotNeeded                           // its slot is needed for another connection
	closeIdleOfEndpoint                       // the idle connections of its endpoint are no longer trusted or wanted
	closeAskedByUpstream                      // the response says that the connection ends with it
	closeResponseFailed                       // the attempt ended without a complete response
	closeCanceled                             // the attempt was canceled after its first byte
	closeRequestIncomplete                    // the response came before the end of the request
	closeHealthCheckFailed
	closeReasonCount
)

var closeReasonNames = [closeReasonCount]string{
	closeIdleTimeout:       "idle timeout",
	closeByUpstream:        "closed by upstream",
	closeUnsolicitedInput:  "unsolicited input",
	closeIneligible:        "endpoint not eligible",
	closeSlotNeeded:        "slot needed",
	closeIdleOfEndpoint:    "endpoint's idle connections closed",
	closeAskedByUpstream:   "asked for by upstream",
	closeResponseFailed:    "no complete response",
	closeCanceled:          "attempt canceled",
	closeRequestIncomplete: "request incomplete",
	closeHealthCheckFailed: "health check failed",
}

func (r closeReason) String() string { return nameOf(closeReasonNames[:], int(r)) }

// isOrdinary reports whether such a close needs no explanation when a single request is followed.
func (r closeReason) isOrdinary() bool { return r == closeIdleTimeout || r == closeSlotNeeded }

// clientCloseReason is why a client connection ended.
type clientCloseReason uint8

const (
	clientCloseUnknown     clientCloseReason = iota
	clientCloseByClient                      // between requests, or with requests in flight
	clientCloseInRequest                     // the client ended or stalled within a request
	clientCloseIdle                          // idle for too long, or no request in time
	clientCloseEvicted                       // idle, closed to make room or for a drain
	clientCloseAsked                         // the client asked for it, or it delimits the response (HTTP/1.0)
	clientCloseMalformed                     // a request could not be read
	clientCloseNodeEnds                      // the node is drained, stopping, or replaced by a successor
	clientCloseRequestRate                   // more requests than can be answered in time
	clientCloseWriteFailed                   // a response could not be written or was cut off
	clientCloseReasonCount
)

var clientCloseReasonNames = [clientCloseReasonCount]string{
	clientCloseUnknown:     "unknown",
	clientCloseByClient:    "closed by client",
	clientCloseInRequest:   "ended within a request",
	clientCloseIdle:        "idle",
	clientCloseEvicted:     "evicted",
	clientCloseAsked:       "asked for by client",
	clientCloseMalformed:   "malformed request",
	clientCloseNodeEnds:    "node drained or stopping",
	clientCloseRequestRate: "request rate",
	clientCloseWriteFailed: "response not written",
}

func (r clientCloseReason) String() string { return nameOf(clientCloseReasonNames[:], int(r)) }

// isOrdinary reports whether such a close needs no explanation when a single request is followed.
func (r clientCloseReason) isOrdinary() bool {
	switch r {
	case clientCloseByClient, clientCloseIdle, clientCloseAsked:
		return true
	}
	return false
}

// nameOf returns the name of an enum's value.
func nameOf(names []string, value int) string {
	if value < len(names) {
		return names[value]
	}
	return fmt.Sprint("unknown value ", value)
}
