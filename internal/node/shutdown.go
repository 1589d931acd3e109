package node

import (
	"slices"
	"time"
)

// Graceful shutdown after SIGTERM or SIGINT, in order:
//
//  1. The node reports that it is not ready, notifies the other members, and announces with each response that it will
//     close the client connection. It still accepts connections and requests for acceptAfterTerm, because load
//     balancers need that long to notice, and while a successor is still starting, because nobody else accepts then.
//  2. The listener is closed after its backlog is drained, idle client connections are closed, and requests in flight
//     continue, with retries, until they are answered.
//  3. At answerMargin before the platform may kill the process, each unanswered request is answered: rejected if no
//     attempt may have been executed or if the class is idempotent, failed otherwise (eventLoop.giveUpAll).
//  4. At exitMargin before the platform may kill the process, open streams are reset. Then state is written, and the
//     process ends.
//
// The platform sends SIGTERM and, if the process has not ended by then, SIGKILL. By the deployment's contract SIGKILL
// is sent no earlier than killDelay after the longest deadline of the settings, which counts as at most maxDrain. The
// responses to clients keep to this bound. The last write of state does not: it may take up to lastWriteTimeout, which
// is longer than exitMargin. If SIGKILL is sent first, the batch being written is lost, and the next start reads the
// state of the batch before.
const (
	// Given by the deployment's contract.
	maxDrain  = 3 * time.Second
	killDelay = 700 * time.Millisecond

	acceptAfterTerm              = 450 * time.Millisecond // until load balancers notice that the node is not ready
	acceptAfterTermAsPredecessor = 700 * time.Millisecond // a successor accepts new connections; idle ones stay open
	answerMargin                 = 150 * time.Millisecond // before SIGKILL, for the last responses to reach clients
	exitMargin                   = 40 * time.Millisecond  // before SIGKILL, to reset streams and end the process
	clientPollInterval           = 10 * time.Millisecond  // between checks for remaining client connections
)

// beginShutdown starts the graceful shutdown and returns a channel that is closed when all clients are answered. A node
// that does not serve yet never will. It is called once.
func (n *Node) beginShutdown() chan struct{} {
	n.lifecycle.Lock()
	close(n.shutdownBegan)
	served := n.serving.Load()
	n.lifecycle.Unlock()
	if !served && !n.hotRestart.hasPredecessor() {
		n.frontend.startAccepting() // what is in the listen backlog is rejected
	}
	n.members.leave()
	ended := make(chan struct{})
	go func() {
		n.shutDown()
		close(ended)
	}()
	return ended
}

// killTimeout returns how long after SIGTERM the platform may kill the process.
func (n *Node) killTimeout() time.Duration {
	longestDeadline := time.Duration(slices.Max(n.settings.Deadlines))
	return min(longestDeadline, maxDrain) + killDelay
}

// shutDown keeps accepting for a while, closes idle connections, waits for the requests in flight and answers the
// remaining ones shortly before the platform may kill the process.
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
	n.hotRestart.awaitStartingSuccessor(answerBy)
	n.frontend.drainAndClose(answerBy)
	n.hotRestart.close()
	if n.awaitClients(answerBy) {
		return
	}
	n.log.Warn("shutdown timeout: rejecting or failing all unanswered requests")
	n.loop.post(n.loop.giveUpAll)
	n.awaitClients(killAt.Add(-exitMargin))
	n.frontend.abortStreams()
}

// awaitClients waits until no client connection remains or the given time is reached. It reports whether none remains.
func (n *Node) awaitClients(until time.Time) bool {
	for ; time.Now().Before(until); time.Sleep(clientPollInterval) {
		if n.frontend.evictAllIdle() == 0 {
			return true
		}
	}
	return false
}

// close ends all components. A successor is notified only after the last write of state has ended or timed out.
func (n *Node) close() {
	n.members.end()
	n.persistence.close()
	n.gossiper.close()
	n.admin.close()
	n.hotRestart.closeSuccessor()
	n.diagnostics.flush()
	n.counters.log(n.log, "at exit")
}
