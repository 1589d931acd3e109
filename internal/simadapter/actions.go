package simadapter

import (
	"encoding/base64"
	"strconv"
	"time"

	"fawnglade/internal/gossip"
	"fawnglade/policy"
)

// action builds the line of one action in the session's buffer.
type action struct{ session *session }

func (i *instance) action(name string) action {
	line := append(i.session.actionLine[:0], name...)
	line = append(line, ' ')
	i.session.actionLine = append(line, i.number...)
	return action{i.session}
}

func (a action) text(s string) action {
	a.session.actionLine = append(append(a.session.actionLine, ' '), s...)
	return a
}

func (a action) int(v int64) action {
	a.session.actionLine = strconv.AppendInt(append(a.session.actionLine, ' '), v, 10)
	return a
}

func (a action) write() {
	a.session.actionLine = append(a.session.actionLine, '\n')
	a.session.out.Write(a.session.actionLine) //nolint:errcheck // Flush returns the error
}

// roundUpToMicroseconds rounds up so that a timer is never early and a positive delay never becomes zero.
func roundUpToMicroseconds(nanos int64) int64 {
	return (nanos + nanosPerMicrosecond - 1) / nanosPerMicrosecond
}

// Send implements policy.Effects.
func (i *instance) Send(request policy.RequestID, endpoint policy.EndpointID, timeout time.Duration) {
	i.action(actionSend).text(string(request)).int(int64(endpoint)).int(max(1, timeout.Microseconds())).write()
}

// Cancel implements policy.Effects.
func (i *instance) Cancel(request policy.RequestID, attempt int) {
	i.action(actionCancel).text(string(request)).int(int64(attempt)).write()
}

// Reject implements policy.Effects.
func (i *instance) Reject(request policy.RequestID, retryAfter time.Duration, _ policy.Reason) {
	i.action(actionReject).text(string(request)).int(roundUpToMicroseconds(int64(retryAfter))).write()
}

// Fail implements policy.Effects.
func (i *instance) Fail(request policy.RequestID, _ policy.Reason) {
	i.action(actionFail).text(string(request)).write()
}

// SetTimer implements policy.Effects.
func (i *instance) SetTimer(at policy.Time, timer uint64) {
	i.action(actionSetTimer).int(roundUpToMicroseconds(int64(at))).int(int64(timer)).write()
}

// WatchEndpoints implements policy.Effects.
func (i *instance) WatchEndpoints() { i.action(actionWatch).int(watchOn).write() }

// CloseIdle implements policy.Effects.
func (i *instance) CloseIdle(endpoint policy.EndpointID) {
	i.action(actionCloseIdle).int(int64(endpoint)).write()
}

// Gossip implements policy.Effects.
func (i *instance) Gossip(message policy.GossipMessage) {
	encoded := base64.StdEncoding.EncodeToString(gossip.Encode(message, int64(i.session.now)))
	i.action(actionGossip).text(gossipToAll).text(encoded).write()
}

// CheckHealth implements policy.Effects.
func (i *instance) CheckHealth(endpoint policy.EndpointID) {
	i.action(actionCheckHealth).int(int64(endpoint)).write()
}
