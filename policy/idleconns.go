package policy

import (
	"cmp"
	"time"

	"fawnglade/internal/idletimeout"
)

// A connection that was idle for long may have been dropped unseen by something between this node and the endpoint;
// what is sent on it is lost. Inputs: for how long a connection had been idle when an attempt on it was reset, or got
// no answer in time, and messages of other nodes. internal/idletimeout learns from them for how long an idle connection
// can be trusted; one that was idle for longer is closed before use. Not taken for dead are a connection that was used
// lately, one of an endpoint that has answered since, and one of several where it is not known which it was.
// docs/design.md: "Idle connections".

// minDeadIdleTime is the shortest idle time after which a connection may be taken for dead.
const minDeadIdleTime = 300 * time.Millisecond

type idleConnections struct {
	timeout    idletimeout.Estimator
	gossipedAt Time // of the last message about a dead one
}

// prepareConnection closes the idle connections to an endpoint that are not to be trusted, and returns for how long the
// one that is used had been idle; 0: a new one, or not known which.
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

// closeIdle closes what is idle to an endpoint.
func (b *Balancer) closeIdle(ep *endpoint) {
	ep.lastUsedAt = 0
	ep.maxInFlight = ep.inFlight
	b.effects.CloseIdle(ep.ID)
}

// updateConnectionUse follows the connection of an attempt that ended: some outcomes end the connection too.
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

// detectDeadConnection takes an attempt that got no answer. It reports whether that is certainly no fault of the
// endpoint: a reset of a connection that was dead. Silence counts before its end, or a node that sends seldom would
// learn too late, but it may still be the endpoint's own.
func (b *Balancer) detectDeadConnection(now Time, a *attempt, outcome Outcome) bool {
	if !b.isConnectionSuspect(a, outcome) {
		return false
	}
	if !a.connectionDead {
		a.connectionDead = true
		b.recordDeadConnection(now, a.idleTime)
		if b.settings.StreamsPerConnection > 1 {
			// A connection of one attempt ends with it, and opening others in vain may be what is slow.
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
	knownConnection := a.endpoint.maxInFlight <= b.settings.StreamsPerConnection
	return a.idleTime >= minDeadIdleTime && !a.endpoint.wasActiveAfter(a.sentAt) && knownConnection
}

// recordDeadConnection takes a connection that was dead when used. Two in a row count, if none between lived about as long.
func (b *Balancer) recordDeadConnection(now Time, idleTime time.Duration) {
	if b.idleConns.timeout.RecordDead(int64(idleTime)) {
		b.confirmDeadConnection(idleTime)
		b.gossip(now, &b.idleConns.gossipedAt, GossipMessage{IdleTime: idleTime})
	}
}

// confirmDeadConnection counts a dead connection that this node or another is sure of.
func (b *Balancer) confirmDeadConnection(idleTime time.Duration) {
	b.idleConns.timeout.Confirm(int64(idleTime), b.settings.MayGossip, b.settings.NodeCount)
}
