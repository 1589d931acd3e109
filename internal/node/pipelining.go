package node

// Responses leave a client connection in the order of its requests, so a request that a client sends ahead can't be
// answered before those ahead of it. If one of these has a later deadline, it is given up when the response behind it is
// due: a client that waits no longer for that one closes the connection, and so waits no longer for any.

import (
	"time"

	"fawnglade/policy"
)

// headOfLineGrace is how long after the deadline of a request those ahead of it may still keep its response waiting. By
// the deployment's contract a response is lost half a second after its deadline, before that it is only late.
const headOfLineGrace = 400 * time.Millisecond

// limitRequestsAhead limits the unanswered requests of a connection by the deadline of the last of them.
func (c *clientConn) limitRequestsAhead(unanswered []*pendingRequest) {
	last := len(unanswered) - 1
	deadline := unanswered[last].request.Deadline
	if deadline == 0 {
		return // answered without the event loop
	}
	loop := c.frontend.node.loop
	giveUpAt := deadline.Add(headOfLineGrace)
	for _, ahead := range unanswered[:last] {
		// The time of a streamed request starts anew with the last byte of its body.
		if ahead.source != nil || ahead.request.Deadline > giveUpAt {
			loop.post(func() { loop.limitRequest(ahead, giveUpAt) })
		}
	}
}

// limitRequest gives up a request at a time unless it is answered by then. If that time has passed, the response that it
// keeps waiting is lost in any case.
func (l *eventLoop) limitRequest(request *pendingRequest, at policy.Time) {
	isLimited := request.giveUpAt != 0 && request.giveUpAt <= at
	if request.answered.Load() || isLimited || at <= l.now {
		return
	}
	request.giveUpAt = at
	time.AfterFunc(at.Sub(l.now), func() {
		l.post(func() { l.giveUpHeadOfLine(request) })
	})
}

// giveUpHeadOfLine gives up a request that keeps the response of a later one waiting, and cancels its attempts.
func (l *eventLoop) giveUpHeadOfLine(request *pendingRequest) {
	id := request.request.ID
	if request.answered.Load() || l.requests[id] != request {
		return
	}
	l.giveUp(id, request, policy.ReasonHeadOfLine)
	l.handle(request, func() { l.balancer.ClientGone(l.now, id) })
	l.removeIfDone(request)
}
