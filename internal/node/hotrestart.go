package node

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"go.uber.org/zap"
)

// A hot restart: a second process of the node starts, inherits the state of the first, and accepts all new connections
// once it serves. While both run, each has half of the limits. If the successor ends first, the predecessor accepts new
// connections again. A start never waits longer than hotRestartTimeout for the predecessor; one that does not respond
// in time or sends an invalid response is ignored.
//
// Both processes have the node's ports open at the same time:
//
//   - The listener for clients is one socket, whose descriptor both inherit from the platform (NODE_INHERITED_FD). One
//     process at a time accepts from it.
//   - Each process binds its own UDP sockets of gossip and membership with SO_REUSEPORT (package datagram).
//   - The admin API has a separate address in each process, set by NODE_CONSOLE: the second can't bind the same one.

const acceptRetryInterval = 5 * time.Millisecond

// hotRestart holds the socket that a successor connects to, and the connection to the node's other process.
type hotRestart struct {
	node *Node
	path string

	mu               sync.Mutex
	listener         *net.UnixListener
	successor        net.Conn
	predecessor      net.Conn // nil: none, or it has ended
	predecessorInput *bufio.Reader
	toPredecessor    <-chan recentChange
	successorServing bool // the successor accepts the new connections
	unusable         bool // a predecessor whose state could not be inherited may be running; set before the node starts
}

func newHotRestart(n *Node) *hotRestart {
	return &hotRestart{node: n, path: filepath.Join(n.config.filesDir, n.fileName(".sock"))}
}

func (h *hotRestart) hello() restartHello {
	return restartHello{Version: hotRestartVersion, Node: h.node.identity()}
}

// applyRecentChange applies a change of the node's other process.
func (h *hotRestart) applyRecentChange(change recentChange) {
	h.node.loop.post(func() { h.node.loop.recent.apply(change) })
}

// stopTelling ends the changes to a process that has ended.
func (h *hotRestart) stopTelling(changes <-chan recentChange) {
	h.node.loop.post(func() { h.node.loop.recent.stopListening(changes) })
}

// openSocket opens this process's socket at the node's path, replacing that of a process that is shutting down or has
// ended. On failure the node still serves; the next process then starts without a predecessor.
func (h *hotRestart) openSocket() {
	h.mu.Lock()
	defer h.mu.Unlock()
	listener, err := h.listen()
	if err != nil {
		h.node.log.Warn("hot restart: opening the socket failed; a successor will start without this process's state",
			zap.Error(err))
		return
	}
	if h.listener != nil {
		h.listener.Close() // only now, so that the path always has a listener
	}
	h.listener = listener
	go h.serve(listener)
}

// listen opens a socket at a path of its own and renames it to the node's path.
func (h *hotRestart) listen() (*net.UnixListener, error) {
	ownPath := fmt.Sprintf("%s.%d", h.path, os.Getpid())
	removeIfExists(ownPath)
	address, release, err := socketAddress(ownPath)
	if err != nil {
		return nil, err
	}
	defer release()
	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: address, Net: "unix"})
	if err != nil {
		return nil, err
	}
	listener.SetUnlinkOnClose(false) // by the time it closes, the path may be the successor's socket
	if err := errors.Join(os.Chmod(ownPath, 0o600), os.Rename(ownPath, h.path)); err != nil {
		listener.Close()
		removeIfExists(ownPath)
		return nil, err
	}
	return listener, nil
}

// close stops accepting successors.
func (h *hotRestart) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.listener != nil {
		h.listener.Close()
	}
}

// processCount returns the number of running processes of the node, including this one.
func (h *hotRestart) processCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.successor != nil || h.predecessor != nil {
		return 2
	}
	return 1
}
