package node

// Diagnostics: a log line with its reason for every retry, every request given up or refused, every unusual close of a
// connection, every response that is cut off, and every change of an endpoint's state; and what is in use while memory
// is high. The lines of each kind are limited in rate, so that a fault does
// not become a flood; the counters have all events. Lines are written by a goroutine of their own, as the event loop
// must not wait for whoever reads the log.

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"fawnglade/policy"
)

const (
	diagnosticsPerSecond = 5  // lines of each kind
	diagnosticsBurst     = 50 // lines of each kind, so that the onset of a fault is complete
	diagnosticsQueue     = 256
)

// diagnosticKind identifies a kind of line; its name is the line's message.
type diagnosticKind uint8

const (
	diagnosticRetry diagnosticKind = iota
	diagnosticGivenUp
	diagnosticRefused
	diagnosticUpstreamClose
	diagnosticClientClose
	diagnosticEndpointState
	diagnosticCutOff
	diagnosticHighMemory
	diagnosticKindCount
)

var diagnosticNames = [diagnosticKindCount]string{
	diagnosticRetry:         "request sent again",
	diagnosticGivenUp:       "request given up",
	diagnosticRefused:       "request refused",
	diagnosticUpstreamClose: "upstream connection closed",
	diagnosticClientClose:   "client connection closed",
	diagnosticEndpointState: "endpoint state changed",
	diagnosticCutOff:        "response cut off",
	diagnosticHighMemory:    "memory is high",
}

func (k diagnosticKind) String() string { return nameOf(diagnosticNames[:], int(k)) }

// diagnosticLine is a line that waits to be written.
type diagnosticLine struct {
	kind   diagnosticKind
	fields []zap.Field
}

// diagnostics limits and queues the lines. Its methods are safe for concurrent use and never block.
type diagnostics struct {
	log        *zap.Logger
	limits     [diagnosticKindCount]*rate.Limiter
	suppressed [diagnosticKindCount]atomic.Int64 // lines not written since the last one of their kind
	lines      chan diagnosticLine
}

func newDiagnostics(log *zap.Logger) *diagnostics {
	d := &diagnostics{log: log, lines: make(chan diagnosticLine, diagnosticsQueue)}
	for kind := range d.limits {
		d.limits[kind] = rate.NewLimiter(diagnosticsPerSecond, diagnosticsBurst)
	}
	return d
}

// record queues a line. fields is called only if the line is within the limit.
func (d *diagnostics) record(kind diagnosticKind, fields func() []zap.Field) {
	if !d.limits[kind].Allow() {
		d.suppressed[kind].Add(1)
		return
	}
	select {
	case d.lines <- diagnosticLine{kind, fields()}:
	default:
		d.suppressed[kind].Add(1)
	}
}

// run writes the queued lines. It never returns.
func (d *diagnostics) run() {
	for line := range d.lines {
		d.write(line)
	}
}

// flush writes the lines that are still queued. It is called once the node has ended.
func (d *diagnostics) flush() {
	for {
		select {
		case line := <-d.lines:
			d.write(line)
		default:
			return
		}
	}
}

func (d *diagnostics) write(line diagnosticLine) {
	if suppressed := d.suppressed[line.kind].Swap(0); suppressed > 0 {
		line.fields = append(line.fields, zap.Int64("suppressed before", suppressed))
	}
	d.log.Info(line.kind.String(), line.fields...)
}

// recordRetry records an attempt after the first of its request, with how the one before it ended.
func (l *eventLoop) recordRetry(next *attempt) {
	l.node.diagnostics.record(diagnosticRetry, func() []zap.Field {
		return append(l.requestFields(next.request),
			zap.Int("attempt", next.number), zap.String("endpoint", l.endpoints[next.target.endpoint].name))
	})
}

// recordGivenUp records a request that the policy rejected or failed.
func (l *eventLoop) recordGivenUp(request *pendingRequest, status int, reason policy.Reason) {
	l.node.diagnostics.record(diagnosticGivenUp, func() []zap.Field {
		return append(l.requestFields(request), zap.Int("status", status), zap.Stringer("reason", reason))
	})
}

// requestFields describes a request and its last attempt.
func (l *eventLoop) requestFields(request *pendingRequest) []zap.Field {
	fields := []zap.Field{
		zap.String("request", string(request.request.ID)),
		zap.String("class", l.node.settings.Classes[request.request.Class]),
		zap.Duration("left", request.request.Deadline.Sub(l.now)),
	}
	for i := len(request.attempts) - 1; i >= 0; i-- {
		if earlier := request.attempts[i]; earlier.ended {
			return append(fields, zap.String("last endpoint", l.endpoints[earlier.target.endpoint].name),
				zap.Stringer("last outcome", earlier.outcome), zap.String("last error", earlier.failure),
				zap.Uint64("last connection", earlier.connection))
		}
	}
	return fields
}

// recordRefused records a request that was answered before the policy saw it. The ID is empty if it could not be read.
func (n *Node) recordRefused(requestID string, status int, reason string) {
	n.diagnostics.record(diagnosticRefused, func() []zap.Field {
		return []zap.Field{
			zap.String("request", requestID), zap.Int("status", status), zap.String("reason", reason),
		}
	})
}

// recordClose counts the close of an upstream connection and records it with the last requests that it carried: input
// that nobody asked for may have been taken for the response to the last of them.
func (u *upstreams) recordClose(conn *upstreamConn, reason closeReason) {
	u.node.counters.add(closeCounter(reason))
	if reason.isOrdinary() {
		return
	}
	u.node.diagnostics.record(diagnosticUpstreamClose, func() []zap.Field {
		return []zap.Field{
			zap.Stringer("reason", reason), zap.Uint64("connection", conn.id), zap.String("address", conn.target.address),
			zap.Int("requests", conn.requestCount),
			zap.String("last request", conn.lastRequest), zap.String("request before", conn.previousRequest),
			zap.Duration("idle before last request", conn.idleBeforeLast),
			zap.String("error", conn.failure),
		}
	})
}

// recordClose counts the end of a client connection and records it.
func (c *clientConn) recordClose() {
	c.mu.Lock()
	reason := c.closeReason
	c.mu.Unlock()
	node := c.frontend.node
	node.counters.add(clientCloseCounter(reason))
	if reason.isOrdinary() {
		return
	}
	node.diagnostics.record(diagnosticClientClose, func() []zap.Field {
		return []zap.Field{zap.Stringer("reason", reason), zap.Stringer("client", c.conn.RemoteAddr())}
	})
}

// recordCutOff records a response that was passed on in part. upstreamErr is why the upstream's rest is missing; nil: the
// client did not take it.
func (c *clientConn) recordCutOff(pending *pendingRequest, stream *responseStream, passedOn int64, upstreamErr error) {
	c.frontend.node.diagnostics.record(diagnosticCutOff, func() []zap.Field {
		return []zap.Field{
			zap.String("request", string(pending.request.ID)), zap.Int64("bytes", passedOn),
			zap.Int64("length", stream.length), zap.Duration("since its start", time.Since(stream.startedAt)),
			zap.NamedError("upstream error", upstreamErr),
		}
	})
}

// recordEndpointState records that an endpoint's state, address or start time has changed.
func (l *eventLoop) recordEndpointState(old knownEndpoint, e endpointEntry) {
	if old.address == "" || old.State == e.State && old.address == e.address && old.StartedAt == e.StartedAt {
		return
	}
	l.node.diagnostics.record(diagnosticEndpointState, func() []zap.Field {
		return []zap.Field{
			zap.String("endpoint", old.name), zap.Stringer("from", old.State), zap.Stringer("to", e.State),
			zap.Bool("moved", old.address != e.address), zap.Bool("restarted", e.StartedAt > old.StartedAt),
		}
	})
}
