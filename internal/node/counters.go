package node

// This file owns the counters of what the node takes in, sends and answers. They only ever grow, and nothing may be
// decided by them.

import (
	"fmt"
	"sync/atomic"

	"go.uber.org/zap"
)

type counter int

const (
	clientsAccepted counter = iota
	clientsEvicted
	clientsQueued
	requestsAccepted
	requestsMalformed
	requestsOverCapacity
	requestsSucceeded
	requestsRejected
	requestsFailed
	requestsCanceled
	attemptsSent
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
	adminCallsAnswered
	adminCallsBad
	adminCallsDropped
	overridesUnreadable
	hotRestartsIgnored
	panics
	counterCount
)

var counterNames = [counterCount]string{
	"client connections accepted", "client connections evicted", "client connections queued",
	"requests accepted", "requests malformed", "requests over capacity", "requests succeeded", "requests rejected", "requests failed",
	"requests canceled",
	"attempts sent", "attempts succeeded", "attempts error", "attempts request fault", "attempts rejected", "attempts timed out",
	"attempts connect failed", "attempts reset", "attempts canceled", "attempts not sent",
	"upstream connections opened", "upstream connections closed idle", "upstream connections found closed",
	"list watches", "list watches failed", "list updates", "list entries skipped",
	"health checks answered", "health checks failed", "gossip sent", "gossip received", "gossip ignored", "gossip dropped",
	"configurations reloaded", "configurations refused",
	"requests streamed", "responses streamed", "responses truncated", "admin calls answered", "admin calls bad", "admin calls dropped",
	"overrides unreadable", "hot restarts ignored", "panics",
}

type counters [counterCount]atomic.Int64

func (c *counters) add(what counter) { c[what].Add(1) }

func (c *counters) log(log *zap.Logger, why string) {
	fields := make([]zap.Field, counterCount)
	for i := range fields {
		fields[i] = zap.Int64(counterNames[i], c[i].Load())
	}
	log.Info("counters "+why, fields...)
}

// caught, when deferred, stops a panic where it is: at one connection or one event.
func (n *Node) recoverPanic(where string, then func()) {
	if broken := recover(); broken != nil {
		n.counters.add(panics)
		n.log.Error("panic stopped", zap.String("where", where), zap.String("what", fmt.Sprint(broken)), zap.Stack("stack"))
		then()
	}
}
