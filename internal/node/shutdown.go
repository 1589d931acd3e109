package node

import (
	"slices"
	"time"
)

// Graceful shutdown after SIGTERM or SIGINT, in order:
//
//  1. The node reports itself as not ready, notifies the other members, and announces to clients with each answer that
//     their connection ends. It still accepts connections and requests for acceptAfterTerm, as load balancers need that
//     long.
//  2. The listener is closed once its backlog is drained, idle client connections are closed, and requests in flight
//     run on, with retries, until they have their answers.
//  3. answerMargin before the platform may kill the process, each request without an answer gets one: rejected if no
//     attempt may have run or if the class is idempotent, failed otherwise (eventLoop.giveUpAll).
//  4. exitMargin before that moment, streams that still flow are cut off. Then state is written, and the process ends.
//
// The platform is whoever runs the process: it sends SIGTERM and, if the process has not ended by then, SIGKILL. By the
// deployment's contract SIGKILL comes no sooner than killDelay after the longest deadline of the settings, which counts
// as maxDrain at most. The answers to clients keep to this bound. The last write of state does not: it may take up to
// lastWriteTimeout, which is longer than exitMargin. If SIGKILL comes first, the batch that is being written is lost;
// the next start finds the state as of the batch before.
const (
	// Of the deployment's contract.
	maxDrain  = 3 * time.Second
	killDelay = 700 * time.Millisecond

	acceptAfterTerm              = 450 * time.Millisecond // until load balancers have seen that the node is not ready
	acceptAfterTermAsPredecessor = 700 * time.Millisecond // a successor takes new connections; idle ones here stay so long
	answerMargin                 = 150 * time.Millisecond // before SIGKILL, for the last answers to reach their clients
	exitMargin                   = 40 * time.Millisecond  // before SIGKILL, to reset streams and end the process
	clientPollInterval           = 10 * time.Millisecond  // between looks at whether clients are left
)

// beginShutdown starts the graceful shutdown; the channel is closed when clients have their answers.
func (n *Node) beginShutdown() chan struct{} {
	n.members.leave()
	ended := make(chan struct{})
	go func() {
		n.shutDown()
		close(ended)
	}()
	return ended
}

// killTimeout is how long after SIGTERM the platform may kill the process.
func (n *Node) killTimeout() time.Duration {
	longestDeadline := time.Duration(slices.Max(n.settings.Deadlines))
	return min(longestDeadline, maxDrain) + killDelay
}

// shutDown goes on accepting for a while, closes idle connections, waits for the requests in flight and answers what is
// left shortly before the platform may kill the process.
func (n *Node) shutDown() {
	n.log.Info("shutting down")
	killAt := time.Now().Add(n.killTimeout())
	n.shuttingDown.Store(true)
	if n.hotRestart.hasServingSuccessor() {
		time.Sleep(min(acceptAfterTermAsPredecessor, time.Until(killAt)-2*answerMargin))
	} else {
		time.Sleep(acceptAfterTerm)
	}
	answerBy := killAt.Add(-answerMargin)
	n.frontend.drainAndClose(answerBy)
	n.hotRestart.close()
	if n.awaitClients(answerBy) {
		return
	}
	n.log.Warn("shutdown timeout: rejecting or failing all requests without an answer")
	n.loop.post(n.loop.giveUpAll)
	n.awaitClients(killAt.Add(-exitMargin))
	n.frontend.abortStreams()
}

// awaitClients waits until no client connection is left, or until a time; it reports whether none is left.
func (n *Node) awaitClients(until time.Time) bool {
	for ; time.Now().Before(until); time.Sleep(clientPollInterval) {
		if n.frontend.evictAllIdle() == 0 {
			return true
		}
	}
	return false
}

// close ends all parts. The other process of a hot restart is notified last, when state is written.
func (n *Node) close() {
	n.members.end()
	n.persistence.close()
	n.gossiper.close()
	n.admin.close()
	n.hotRestart.closeSuccessor()
	n.counters.log(n.log, "at exit")
}
