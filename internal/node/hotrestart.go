package node

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"go.uber.org/zap"
)

// A hot restart: a second process of the node starts, inherits the state of the first, and takes the new connections
// once it serves. Until one of them has ended each has half of the limits. If the successor ends first, the
// predecessor takes new connections again. A start never waits longer than hotRestartTimeout for the other process:
// one that does not answer in time, or not correctly, is ignored.
//
// Both processes have the node's ports open at once:
//
//   - The listener for clients is one socket, whose descriptor both inherit from the platform (NODE_INHERITED_FD). One
//     process at a time accepts from it.
//   - The UDP sockets of gossip and membership are bound by each process with SO_REUSEPORT (package datagram).
//   - The admin API has an address of its own in each process, set by NODE_CONSOLE: the second can't bind the same.

const acceptRetryInterval = 5 * time.Millisecond

// hotRestart holds the socket that a successor connects to and the connections to the node's other process.
type hotRestart struct {
	node *Node
	path string

	mu               sync.Mutex
	listener         *net.UnixListener
	successor        net.Conn
	predecessor      net.Conn // nil once it has ended
	successorServing bool     // the successor takes the new connections
}

func newHotRestart(n *Node) *hotRestart {
	return &hotRestart{node: n, path: filepath.Join(n.config.filesDir, n.fileName(".sock"))}
}

func (h *hotRestart) hello() restartHello {
	return restartHello{Version: hotRestartVersion, Node: h.node.identity()}
}

// connectPredecessor looks for the node's other process and inherits its state; nil where there is none.
func (h *hotRestart) connectPredecessor() *restartState {
	state, err := h.dialPredecessor()
	switch {
	case errors.Is(err, os.ErrNotExist):
		return nil
	case err != nil:
		h.node.counters.add(hotRestartsIgnored)
		h.node.log.Warn("hot restart: no predecessor answers, a plain start", zap.String("socket", h.path), zap.Error(err))
		return nil
	}
	h.node.log.Info("hot restart: state inherited from the predecessor", zap.Int("names", len(state.KnownNames)))
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
	state, err := requestState(conn, h.hello())
	if err != nil {
		conn.Close()
		return nil, err
	}
	h.predecessor = conn
	return state, nil
}

// announceServing notifies the predecessor that this process serves, and opens the socket for the next one.
func (h *hotRestart) announceServing() {
	h.mu.Lock()
	predecessor := h.predecessor
	h.mu.Unlock()
	if predecessor != nil {
		if _, err := io.WriteString(predecessor, readyMessage); err != nil {
			h.node.log.Warn("hot restart: the predecessor was not notified", zap.Error(err))
		}
		go h.awaitPredecessorEnd(predecessor)
	}
	h.openSocket()
}

// awaitPredecessorEnd takes the full limits once the predecessor has ended.
func (h *hotRestart) awaitPredecessorEnd(predecessor net.Conn) {
	awaitClose(predecessor)
	predecessor.Close()
	h.mu.Lock()
	h.predecessor = nil
	h.mu.Unlock()
	h.node.divideLimits()
	h.node.log.Info("hot restart: the predecessor has ended")
}

// open takes over the path of the socket, also from a process that is shutting down or has died. Without it the node
// serves all the same, and the next restart is a plain start.
func (h *hotRestart) openSocket() {
	h.mu.Lock()
	defer h.mu.Unlock()
	listener, err := h.listen()
	if err != nil {
		h.node.log.Warn("hot restart: a successor will not find this process", zap.Error(err))
		return
	}
	if h.listener != nil {
		h.listener.Close() // after the new one is in place, as else nothing would stand at the path for a moment
	}
	h.listener = listener
	go h.serve(listener)
}

// listen opens a socket under a path of this process's own and renames it into place.
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
	listener.SetUnlinkOnClose(false) // the path may be the successor's by then
	if err := errors.Join(os.Chmod(ownPath, 0o600), os.Rename(ownPath, h.path)); err != nil {
		listener.Close()
		removeIfExists(ownPath)
		return nil, err
	}
	return listener, nil
}

// close stops taking successors.
func (h *hotRestart) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.listener != nil {
		h.listener.Close()
	}
}

// closeSuccessor notifies the successor that this process has ended, a moment before the system would.
func (h *hotRestart) closeSuccessor() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.successor != nil {
		h.successor.Close()
	}
}

func (h *hotRestart) serve(listener *net.UnixListener) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryInterval)
			continue
		}
		go h.serveSuccessor(conn)
	}
}

// serveSuccessor hands the state to a successor and yields new connections to it, until it ends.
func (h *hotRestart) serveSuccessor(conn net.Conn) {
	defer conn.Close()
	defer h.node.recoverPanic("hot restart", func() {})
	in := bufio.NewReader(conn)
	if err := h.sendState(conn, in); err != nil {
		h.node.counters.add(hotRestartsIgnored)
		h.node.log.Warn("hot restart: a successor was ignored", zap.Error(err))
		return
	}
	h.node.log.Info("hot restart: state handed to a successor")
	h.node.divideLimits()
	defer h.successorEnded()
	if err := awaitReady(conn, in); err != nil {
		return
	}
	h.mu.Lock()
	h.successorServing = true
	h.mu.Unlock()
	h.node.frontend.pause()
	h.node.log.Info("hot restart: the successor takes the new connections")
	awaitClose(in)
}

// successorEnded takes new connections and the full limits again, also while this process is shutting down: there is
// no other that would. The full limits come last: from then on a further successor must find this process.
func (h *hotRestart) successorEnded() {
	h.mu.Lock()
	h.successor, h.successorServing = nil, false
	h.mu.Unlock()
	h.node.frontend.resume()
	if !h.node.shuttingDown.Load() {
		h.node.log.Warn("hot restart: the successor has ended, this process goes on")
		h.openSocket()
	}
	h.node.divideLimits()
}

// sendState makes the caller the successor, if there is none, and sends it the state.
func (h *hotRestart) sendState(conn net.Conn, in *bufio.Reader) error {
	if err := readHello(conn, in, h.hello()); err != nil {
		return err
	}
	if !h.registerSuccessor(conn) {
		return errRestartInProgress
	}
	if err := json.NewEncoder(conn).Encode(h.state()); err != nil {
		h.mu.Lock()
		h.successor = nil
		h.mu.Unlock()
		return err
	}
	return nil
}

func (h *hotRestart) registerSuccessor(conn net.Conn) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.successor != nil {
		return false
	}
	h.successor = conn
	return true
}

// state collects what a successor inherits. If the loop does not answer in time, the names alone are sent.
func (h *hotRestart) state() restartState {
	state := restartState{restartHello: h.hello(), KnownNames: h.node.overrides.knownNames()}
	fromLoop := make(chan restartState, 1)
	go h.node.loop.post(func() {
		fromLoop <- restartState{
			Endpoints: h.node.overrides.encodeListWithoutOverrides(),
			Estimates: h.node.loop.encodeEstimates(),
		}
	})
	select {
	case collected := <-fromLoop:
		state.Endpoints, state.Estimates = collected.Endpoints, collected.Estimates
	case <-time.After(hotRestartTimeout / 2):
	}
	return state
}

// hasServingSuccessor reports whether a successor takes the new connections.
func (h *hotRestart) hasServingSuccessor() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.successorServing
}

// processes is how many processes the node has now, this one included.
func (h *hotRestart) processCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.successor != nil || h.predecessor != nil {
		return 2
	}
	return 1
}
