package node

import (
	"fmt"
	"sync/atomic"

	"go.uber.org/zap"

	"fawnglade/policy"
)

// counter identifies a kind of event that is counted from the start of the process. The counters are logged under their
// counterNames for operators; nothing reads them to make decisions.
type counter int

const (
	clientsAccepted counter = iota
	clientsEvicted
	clientsQueued
	requestsAccepted
	requestsMalformed
	requestsOverCapacity
	requestsBeforeServing
	requestsPaced
	requestsSucceeded
	requestsRejected
	requestsFailed
	requestsCanceled
	attemptsSent
	attemptsRetried
	attemptsSucceeded
	attemptsErrored
	attemptsRequestFault
	attemptsRejected
	attemptsTimedOut
	attemptsConnectFailed
	attemptsReset
	attemptsCanceled
	attemptsNotSent
	upstreamConnsOpened
	upstreamConnsIdleClosed
	upstreamConnsFoundClosed
	listWatches
	listWatchesFailed
	listUpdates
	listEntriesSkipped
	healthChecksAnswered
	healthChecksFailed
	gossipSent
	gossipReceived
	gossipIgnored
	gossipDropped
	configReloads
	configReloadsRejected
	requestsStreamed
	responsesStreamed
	responsesTruncated
	responseCopiesDiscarded
	adminCallsAnswered
	adminCallsBad
	adminCallsDropped
	overridesUnreadable
	hotRestartsIgnored
	panics
	counterCount
)

// givenUpCounter returns the counter of the requests that the policy rejected or failed for a reason.
func givenUpCounter(reason policy.Reason) counter { return counterCount + counter(reason) }

// closeCounter returns the counter of the upstream connections closed for a reason.
func closeCounter(reason closeReason) counter { return firstCloseCounter + counter(reason) }

// clientCloseCounter returns the counter of the client connections that ended for a reason.
func clientCloseCounter(reason clientCloseReason) counter {
	return firstClientCloseCounter + counter(reason)
}

// The counters by reason follow those with a name of their own.
const (
	firstCloseCounter       = counterCount + counter(policy.ReasonCount)
	firstClientCloseCounter = firstCloseCounter + counter(closeReasonCount)
	totalCounters           = firstClientCloseCounter + counter(clientCloseReasonCount)
)

// name returns the counter's key in the log.
func (c counter) name() string {
	switch {
	case c >= firstClientCloseCounter:
		return "client connections closed: " + clientCloseReason(c-firstClientCloseCounter).String()
	case c >= firstCloseCounter:
		return "upstream connections closed: " + closeReason(c-firstCloseCounter).String()
	case c >= counterCount:
		return "requests given up: " + policy.Reason(c-counterCount).String()
	}
	return counterNames[c]
}

var counterNames = [counterCount]string{
	clientsAccepted:          "client connections accepted",
	clientsEvicted:           "client connections evicted",
	clientsQueued:            "client connections queued",
	requestsAccepted:         "requests accepted",
	requestsMalformed:        "requests malformed",
	requestsOverCapacity:     "requests over capacity",
	requestsBeforeServing:    "requests before serving",
	requestsPaced:            "requests paced",
	requestsSucceeded:        "requests succeeded",
	requestsRejected:         "requests rejected",
	requestsFailed:           "requests failed",
	requestsCanceled:         "requests canceled",
	attemptsSent:             "attempts sent",
	attemptsRetried:          "attempts after the first",
	attemptsSucceeded:        "attempts succeeded",
	attemptsErrored:          "attempts error",
	attemptsRequestFault:     "attempts request fault",
	attemptsRejected:         "attempts rejected",
	attemptsTimedOut:         "attempts timed out",
	attemptsConnectFailed:    "attempts connect failed",
	attemptsReset:            "attempts reset",
	attemptsCanceled:         "attempts canceled",
	attemptsNotSent:          "attempts not sent",
	upstreamConnsOpened:      "upstream connections opened",
	upstreamConnsIdleClosed:  "upstream connections closed idle",
	upstreamConnsFoundClosed: "upstream connections found closed",
	listWatches:              "list watches",
	listWatchesFailed:        "list watches failed",
	listUpdates:              "list updates",
	listEntriesSkipped:       "list entries skipped",
	healthChecksAnswered:     "health checks answered",
	healthChecksFailed:       "health checks failed",
	gossipSent:               "gossip sent",
	gossipReceived:           "gossip received",
	gossipIgnored:            "gossip ignored",
	gossipDropped:            "gossip dropped",
	configReloads:            "configurations reloaded",
	configReloadsRejected:    "configurations refused",
	requestsStreamed:         "requests streamed",
	responsesStreamed:        "responses streamed",
	responsesTruncated:       "responses truncated",
	responseCopiesDiscarded:  "response copies discarded",
	adminCallsAnswered:       "admin calls answered",
	adminCallsBad:            "admin calls bad",
	adminCallsDropped:        "admin calls dropped",
	overridesUnreadable:      "overrides unreadable",
	hotRestartsIgnored:       "hot restarts ignored",
	panics:                   "panics",
}

type counters [totalCounters]atomic.Int64

// add counts one event. It is safe for concurrent use.
func (c *counters) add(id counter) { c[id].Add(1) }

// log writes all counters as one log entry. The occasion completes its message.
func (c *counters) log(log *zap.Logger, occasion string) {
	fields := make([]zap.Field, totalCounters)
	for i := range fields {
		fields[i] = zap.Int64(counter(i).name(), c[i].Load())
	}
	log.Info("counters "+occasion, fields...)
}

// recoverPanic, when deferred, recovers from a panic, so that it ends only one connection or event. It counts and logs
// the panic and then calls cleanUp.
func (n *Node) recoverPanic(component string, cleanUp func()) {
	if recovered := recover(); recovered != nil {
		n.counters.add(panics)
		n.log.Error("panic stopped", zap.String("where", component), zap.String("what", fmt.Sprint(recovered)),
			zap.Stack("stack"))
		cleanUp()
	}
}
