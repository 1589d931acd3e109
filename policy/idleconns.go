package policy

import (
	"cmp"
	"time"

	"fawnglade/internal/idletimeout"
)

// A connection that was idle for a long time may have been dropped silently by a device between this node and the
// endpoint. Requests sent on it are lost. Inputs are the idle time of connections on which an attempt was reset or got
// no response in time, and messages from other nodes. internal/idletimeout estimates from them how long a connection
// may be idle and still be used; connections that were idle for longer are closed before use.
//
// A connection does not count as dead if it was used recently, if its endpoint has responded since, or if the attempt
// may have used any of several connections.
//
// See docs/design.md: "Idle connections".

// minDeadIdleTime is the minimum idle time of a connection that may count as dead.
const minDeadIdleTime = 300 * time.Millisecond

type idleConnections struct {
	timeout    idletimeout.Estimator
	gossipedAt Time // when the last message about a dead connection was sent
}

// prepareConnection closes the idle connections to an endpoint if they exceed the idle timeout. It returns the idle
// time of the connection that will be used; 0 if it is new or not known which one it is.
func (b *Balancer) prepareConnection(now Time, ep *endpoint) time.Duration {
	idleTime := time.Duration(0)
	if ep.inFlight == 0 {
		ep.lastActiveAt = now
		idleTime = now.Sub(cmp.Or(ep.lastUsedAt, now))
		if int64(idleTime) > b.idleConns.timeout.Limit {
			idleTime = 0
			b.closeIdle(ep)
		}
	}
	ep.lastUsedAt = now
	return idleTime
}

// closeIdle closes the idle connections to an endpoint.
func (b *Balancer) closeIdle(ep *endpoint) {
	ep.lastUsedAt = 0
	ep.maxInFlight = ep.inFlight
	b.effects.CloseIdle(ep.ID)
}

// updateConnectionUse records the last use of a connection when an attempt ends. Some outcomes also close the
// connection.
func (ep *endpoint) updateConnectionUse(now Time, outcome Outcome, streamsPerConnection int) {
	closed := outcome == OutcomeReset || outcome == OutcomeConnectFailed
	if streamsPerConnection < 2 && (outcome == OutcomeTimedOut || outcome == OutcomeCanceled) {
		closed = true
	}
	switch {
	case closed:
		ep.lastUsedAt = 0
	case ep.lastUsedAt > 0:
		ep.lastUsedAt = now
	}
}

// detectDeadConnection records an attempt without a response as a dead connection if that is the likely cause. It
// returns true only if the outcome is certainly not the endpoint's fault, that is for a reset of a connection that was
// dead. An overdue attempt counts before it ends, since a node that sends few requests would otherwise detect dead
// connections too late, but it may still be the endpoint's fault.
func (b *Balancer) detectDeadConnection(now Time, a *attempt, outcome Outcome) bool {
	if !b.isConnectionSuspect(a, outcome) {
		return false
	}
	if !a.connectionDead {
		a.connectionDead = true
		b.recordDeadConnection(now, a.idleTime)
		if b.settings.StreamsPerConnection > 1 {
			// With one stream per connection, the connection is closed with its attempt. Closing the others too would
			// require new ones, and opening connections may be what is slow.
			b.closeIdle(a.endpoint)
		}
	}
	return outcome == OutcomeReset
}

func (b *Balancer) isConnectionSuspect(a *attempt, outcome Outcome) bool {
	switch outcome {
	case OutcomeReset, OutcomeTimedOut, OutcomeCanceled:
	default:
		return false
	}
	isConnectionKnown := a.endpoint.maxInFlight <= b.settings.StreamsPerConnection
	return a.idleTime >= minDeadIdleTime && !a.endpoint.wasActiveAfter(a.sentAt) && isConnectionKnown
}

// recordDeadConnection handles a connection that was dead when used. Two in a row are a confirmation, if no connection
// with about the same idle time worked in between.
func (b *Balancer) recordDeadConnection(now Time, idleTime time.Duration) {
	if b.idleConns.timeout.RecordDead(int64(idleTime)) {
		b.confirmDeadConnection(idleTime)
		b.gossip(now, &b.idleConns.gossipedAt, GossipMessage{IdleTime: idleTime})
	}
}

// confirmDeadConnection counts a dead connection confirmed by this node or by another one.
func (b *Balancer) confirmDeadConnection(idleTime time.Duration) {
	b.idleConns.timeout.Confirm(int64(idleTime), b.settings.MayGossip, b.settings.NodeCount)
}
