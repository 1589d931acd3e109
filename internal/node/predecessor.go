package node

// The successor's side of a hot restart (hotrestart.go): the connection to the predecessor.

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"syscall"

	"go.uber.org/zap"
)

// connectPredecessor connects to the node's other process, if there is one, and returns its state. It returns nil if
// there is no usable predecessor.
func (h *hotRestart) connectPredecessor() *restartState {
	state, err := h.dialPredecessor()
	switch {
	case errors.Is(err, os.ErrNotExist):
		return nil
	case err != nil:
		h.unusable = !errors.Is(err, syscall.ECONNREFUSED) // refused: that process has ended
		h.node.counters.add(hotRestartsIgnored)
		h.node.log.Warn("hot restart: predecessor is not usable; starting without its state",
			zap.String("socket", h.path), zap.Error(err))
		return nil
	}
	h.node.log.Info("hot restart: inherited the predecessor's state", zap.Int("names", len(state.KnownNames)))
	return state
}

func (h *hotRestart) dialPredecessor() (*restartState, error) {
	address, release, err := socketAddress(h.path)
	if err != nil {
		return nil, err
	}
	defer release()
	conn, err := net.DialTimeout("unix", address, hotRestartTimeout)
	if err != nil {
		return nil, err
	}
	in := bufio.NewReader(conn)
	state, err := requestState(conn, in, h.hello())
	if err != nil {
		conn.Close()
		return nil, err
	}
	h.predecessor = conn
	h.predecessorInput = in
	for _, id := range state.Recent { // the event loop does not run yet
		h.node.loop.recent.apply(recentChange{id: id})
	}
	h.toPredecessor = h.node.loop.recent.listen()
	return state, nil
}

// hasPredecessor reports whether a predecessor is running.
func (h *hotRestart) hasPredecessor() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.predecessor != nil
}

// mayShareListener reports whether another process may be accepting clients from the same socket.
func (h *hotRestart) mayShareListener() bool { return h.unusable || h.hasPredecessor() }

// followPredecessor applies the changes of the predecessor, if there is one, until it ends.
func (h *hotRestart) followPredecessor() {
	if h.predecessor != nil {
		go h.awaitPredecessorEnd(h.predecessor)
	}
}

// announceServing notifies the predecessor that this process serves, and opens the socket for a successor.
func (h *hotRestart) announceServing() {
	h.mu.Lock()
	predecessor := h.predecessor
	h.mu.Unlock()
	if predecessor != nil {
		if _, err := io.WriteString(predecessor, readyMessage); err != nil {
			h.node.log.Warn("hot restart: notifying the predecessor failed", zap.Error(err))
		}
		go writeRecentChanges(predecessor, h.toPredecessor)
	}
	h.openSocket()
}

// awaitPredecessorEnd restores the full limits once the predecessor has ended.
func (h *hotRestart) awaitPredecessorEnd(predecessor net.Conn) {
	readRecentChanges(h.predecessorInput, h.applyRecentChange)
	predecessor.Close()
	h.stopTelling(h.toPredecessor)
	h.mu.Lock()
	h.predecessor = nil
	h.mu.Unlock()
	h.node.divideLimits()
	h.node.log.Info("hot restart: predecessor has ended")
}
