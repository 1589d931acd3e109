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
	"syscall"
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

// closeSuccessor closes the connection to the successor, which tells it that this process ends. The system would close
// it slightly later.
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

// serveSuccessor sends the state to a successor and pauses accepting while the successor serves, until it ends.
func (h *hotRestart) serveSuccessor(conn net.Conn) {
	defer conn.Close()
	defer h.node.recoverPanic("hot restart", func() {})
	in := bufio.NewReader(conn)
	changes := make(chan (<-chan recentChange), 1)
	if err := h.sendState(conn, in, changes); err != nil {
		h.node.counters.add(hotRestartsIgnored)
		h.node.log.Warn("hot restart: successor ignored", zap.Error(err))
		return
	}
	h.node.log.Info("hot restart: sent the state to a successor")
	h.node.divideLimits()
	defer h.successorEnded()
	go func() {
		told := <-changes
		writeRecentChanges(conn, told)
		h.stopTelling(told)
	}()
	if err := awaitReady(conn, in); err != nil {
		return
	}
	h.mu.Lock()
	h.successorServing = true
	h.mu.Unlock()
	h.node.frontend.pause()
	h.node.log.Info("hot restart: successor accepts the new connections")
	readRecentChanges(in, h.applyRecentChange)
}

// successorEnded resumes accepting with the full limits, also while this process is shutting down, as no other process
// serves. The limits are restored last: once they are, a further successor must be able to connect to this process.
func (h *hotRestart) successorEnded() {
	h.mu.Lock()
	h.successor, h.successorServing = nil, false
	h.mu.Unlock()
	h.node.frontend.resume()
	if !h.node.shuttingDown.Load() {
		h.node.log.Warn("hot restart: successor has ended; accepting new connections again")
		h.openSocket()
	}
	h.node.divideLimits()
}

// sendState registers the caller as the successor, unless there is one already, and sends it the state.
// changes receives the channel of what changes after that state.
func (h *hotRestart) sendState(conn net.Conn, in *bufio.Reader, changes chan (<-chan recentChange)) error {
	if err := readHello(conn, in, h.hello()); err != nil {
		return err
	}
	if !h.registerSuccessor(conn) {
		return errRestartInProgress
	}
	if err := json.NewEncoder(conn).Encode(h.state(changes)); err != nil {
		h.mu.Lock()
		h.successor = nil
		h.mu.Unlock()
		go func() { h.stopTelling(<-changes) }()
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

// state collects what a successor inherits. If the event loop does not respond in time, only the known names are sent.
func (h *hotRestart) state(changes chan<- (<-chan recentChange)) restartState {
	state := restartState{restartHello: h.hello(), KnownNames: h.node.overrides.knownNames()}
	fromLoop := make(chan restartState, 1)
	go h.node.loop.post(func() {
		changes <- h.node.loop.recent.listen()
		fromLoop <- restartState{
			Recent:    h.node.loop.recent.all(),
			Endpoints: h.node.overrides.encodeListWithoutOverrides(),
			Estimates: h.node.loop.encodeEstimates(),
		}
	})
	select {
	case collected := <-fromLoop:
		state.Endpoints, state.Estimates, state.Recent = collected.Endpoints, collected.Estimates, collected.Recent
	case <-time.After(hotRestartTimeout / 2):
	}
	return state
}

// hasServingSuccessor reports whether a successor accepts the new connections.
func (h *hotRestart) hasServingSuccessor() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.successorServing
}

// awaitStartingSuccessor waits until a successor that does not serve yet serves or ends, or the given time is reached.
func (h *hotRestart) awaitStartingSuccessor(until time.Time) {
	for h.hasStartingSuccessor() && time.Now().Before(until) {
		time.Sleep(clientPollInterval)
	}
}

func (h *hotRestart) hasStartingSuccessor() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.successor != nil && !h.successorServing
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
